package configurer

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/schema"
)

// property holds the parts of a schema property that docs/settings.md shows.
type property struct {
	Type        string   `json:"type"`
	Description string   `json:"description"`
	Default     any      `json:"default"`
	Minimum     *float64 `json:"minimum"`
	Maximum     *float64 `json:"maximum"`
	Pattern     string   `json:"pattern"`
	Enum        []string `json:"enum"`
}

// Document renders docs/settings.md from the schemas of the settings.
func Document() (string, error) {
	var b strings.Builder
	b.WriteString("# Settings\n\nSettings of one instance, in JSON with comments. Units stand in the names and descriptions. The page is generated from `schema/settings.json` and `schema/entry.json`; a test keeps them equal.\n")
	for _, section := range []struct{ title, file string }{
		{"Command serve", "settings.json"}, {"Command entry, on a platform", "entry.json"},
	} {
		table, err := table(section.file)
		if err != nil {
			return "", err
		}
		b.WriteString("\n## " + section.title + "\n\n" + table)
	}
	return b.String(), nil
}

// table renders the properties of a schema as a Markdown table.
func table(file string) (string, error) {
	data, err := schema.Files.ReadFile(file)
	if err != nil {
		return "", err
	}
	var s struct {
		Required   []string            `json:"required"`
		Properties map[string]property `json:"properties"`
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return "", err
	}
	required := map[string]bool{}
	for _, name := range s.Required {
		required[name] = true
	}
	names := make([]string, 0, len(s.Properties))
	for name := range s.Properties {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteString("| setting | meaning | default | values |\n| --- | --- | --- | --- |\n")
	for _, name := range names {
		p := s.Properties[name]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, p.Description, p.defaultText(required[name]), p.values())
	}
	return b.String(), nil
}

func (p property) defaultText(required bool) string {
	if required {
		return "required"
	}
	data, err := json.Marshal(p.Default)
	if err != nil || p.Default == nil {
		return "none"
	}
	return "`" + string(data) + "`"
}

func (p property) values() string {
	switch {
	case len(p.Enum) > 0:
		return strings.Join(p.Enum, ", ")
	case p.Minimum != nil && p.Maximum != nil:
		return fmt.Sprintf("%.0f to %.0f", *p.Minimum, *p.Maximum)
	case p.Pattern != "":
		return "`" + strings.ReplaceAll(p.Pattern, "|", "\\|") + "`"
	default:
		return p.Type
	}
}
