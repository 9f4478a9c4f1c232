// Package checker validates JSON with comments against a JSON Schema, decodes it
// and reports every fault of a file, not only the first, with its line and field.
package checker

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/gypsumwharf/gypsumwharf/schema"
)

// Fault is a single defect of a document.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error formats the fault as file:line: field: problem.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Problem)
}

// Faults are the defects of one or more documents.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the faults in order of file, line and field.
func (f Faults) Sorted() Faults {
	sorted := append(Faults(nil), f...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Field < b.Field
	})
	return sorted
}

// Document is a parsed file that knows the line of each field.
type Document struct {
	file string
	data []byte
	root hujson.Value
}

// Parse parses JSON with comments. Duplicate member names are faults.
func Parse(file string, data []byte) (Document, Faults) {
	// A comment on the last line must end with a newline, which many files lack.
	data = append(append(make([]byte, 0, len(data)+1), data...), '\n')
	root, err := hujson.Parse(data)
	if err != nil {
		return Document{}, Faults{{File: file, Line: syntaxLine(err), Field: "/", Problem: err.Error()}}
	}
	d := Document{file: file, data: data, root: root}
	return d, d.duplicateNames("", &d.root)
}

// syntaxLine extracts the line number of a hujson syntax error.
func syntaxLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column); scanErr != nil {
		return 1
	}
	return line
}

// Fault returns a fault at the field with the given JSON pointer.
func (d Document) Fault(pointer, problem string) Fault {
	return Fault{File: d.file, Line: d.line(pointer), Field: fieldName(pointer), Problem: problem}
}

func fieldName(pointer string) string {
	if pointer == "" {
		return "/"
	}
	return strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", ".")
}

// line returns the line of the value at a JSON pointer, or of its nearest parent
// that exists.
func (d Document) line(pointer string) int {
	for {
		if v := d.root.Find(pointer); v != nil {
			return 1 + strings.Count(string(d.data[:v.StartOffset]), "\n")
		}
		i := strings.LastIndex(pointer, "/")
		if i < 0 {
			return 1
		}
		pointer = pointer[:i]
	}
}

func (d Document) duplicateNames(pointer string, v *hujson.Value) Faults {
	var faults Faults
	switch value := v.Value.(type) {
	case *hujson.Object:
		seen := map[string]bool{}
		for i := range value.Members {
			name := value.Members[i].Name.Value.(hujson.Literal).String()
			member := pointer + "/" + escapePointer(name)
			if seen[name] {
				faults = append(faults, d.Fault(member, "duplicate name"))
			}
			seen[name] = true
			faults = append(faults, d.duplicateNames(member, &value.Members[i].Value)...)
		}
	case *hujson.Array:
		for i := range value.Elements {
			faults = append(faults, d.duplicateNames(fmt.Sprintf("%s/%d", pointer, i), &value.Elements[i])...)
		}
	}
	return faults
}

func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}

// Decode validates the document against the named schema and decodes it into v.
func (d Document) Decode(schemaName string, v any) error {
	root := d.root.Clone()
	root.Standardize()
	standard := root.Pack()
	compiled, err := compile(schemaName)
	if err != nil {
		return err
	}
	value, err := jsonschema.UnmarshalJSON(strings.NewReader(string(standard)))
	if err != nil {
		return Faults{d.Fault("", err.Error())}
	}
	if err := compiled.Validate(value); err != nil {
		var invalid *jsonschema.ValidationError
		if !errors.As(err, &invalid) {
			return errors.Wrapf(err, "validate %s", d.file)
		}
		return d.schemaFaults(invalid).Sorted()
	}
	if err := json.Unmarshal(standard, v); err != nil {
		return Faults{d.Fault("", err.Error())}
	}
	return nil
}

func (d Document) schemaFaults(e *jsonschema.ValidationError) Faults {
	if len(e.Causes) > 0 {
		var faults Faults
		for _, cause := range e.Causes {
			faults = append(faults, d.schemaFaults(cause)...)
		}
		return faults
	}
	pointer := ""
	for _, part := range e.InstanceLocation {
		pointer += "/" + escapePointer(part)
	}
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		var faults Faults
		for _, name := range k.Properties {
			faults = append(faults, d.Fault(pointer+"/"+escapePointer(name), "unknown field"))
		}
		return faults
	case *kind.Required:
		var faults Faults
		for _, name := range k.Missing {
			faults = append(faults, d.Fault(pointer+"/"+escapePointer(name), "required field is missing"))
		}
		return faults
	default:
		printer := message.NewPrinter(language.English)
		return Faults{d.Fault(pointer, e.ErrorKind.LocalizedString(printer))}
	}
}

var (
	compiledMu sync.Mutex
	compiled   = map[string]*jsonschema.Schema{}
)

func compile(name string) (*jsonschema.Schema, error) {
	compiledMu.Lock()
	defer compiledMu.Unlock()
	if s, ok := compiled[name]; ok {
		return s, nil
	}
	data, err := schema.Files.ReadFile(name)
	if err != nil {
		return nil, errors.Wrapf(err, "read schema %s", name)
	}
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(string(data)))
	if err != nil {
		return nil, errors.Wrapf(err, "parse schema %s", name)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, document); err != nil {
		return nil, errors.Wrapf(err, "add schema %s", name)
	}
	s, err := c.Compile(name)
	if err != nil {
		return nil, errors.Wrapf(err, "compile schema %s", name)
	}
	compiled[name] = s
	return s, nil
}
