package commander

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/server"
)

// maxPageLines keeps pages short enough to read during an incident.
const maxPageLines = 150

var (
	testName       = regexp.MustCompile(`([a-z/]*)(\.?)\b((?:Test|Benchmark|Fuzz)[A-Z]\w*)`)
	eventName      = regexp.MustCompile(`\b([1-9]\d\d) ([a-z]+(?:-[a-z]+)+)\b`)
	eventNumber    = regexp.MustCompile(`\bevents? ([1-9]\d\d)\b`)
	refusalsLine   = regexp.MustCompile(`(?m)^- Refusal codes: (.*)$`)
	refusalInText  = regexp.MustCompile("refus(?:al|als|ed as|es with) `([a-z-]+)`")
	refusalInJSON  = regexp.MustCompile(`"code":\s*"([a-z-]+)"`)
	refusalInCause = regexp.MustCompile(`cause="([a-z-]+) \((?:not-run|ran|unknown)\)`)
	quoted         = regexp.MustCompile("`([^`]+)`")
	link           = regexp.MustCompile(`\]\(([^)]+)\)`)
	mentionedPage  = regexp.MustCompile(`\bdocs/[\w./-]+\.(?:md|svg)\b`)
)

func readPage(t *testing.T, parts ...string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(append([]string{".."}, parts...)...))
	assert.NilError(t, err)
	return string(data)
}

// operatorsPages returns the operators' pages by path.
func operatorsPages(t *testing.T) map[string]string {
	t.Helper()
	files, err := filepath.Glob("../docs/operators/*.md")
	assert.NilError(t, err)
	pages := map[string]string{}
	for _, file := range append(files, "../docs/operators.md") {
		pages[file] = readPage(t, strings.TrimPrefix(file, "../"))
	}
	return pages
}

// testsOf returns the names of the tests, benchmarks and fuzz targets of a folder.
func testsOf(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
	assert.NilError(t, err)
	var names []string
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		for _, declared := range parsed.Decls {
			if f, ok := declared.(*ast.FuncDecl); ok && f.Recv == nil {
				names = append(names, f.Name.Name)
			}
		}
	}
	return names
}

// Guards against a page of promises that names a test or benchmark that does not
// exist, or that lacks a promise.
func TestPromisesPageNamesRealTests(t *testing.T) {
	page := readPage(t, "docs", "promises.md")
	names := testName.FindAllStringSubmatch(page, -1)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		if !assert.Check(t, name[1] != "" && name[2] == ".", "%s has no package", name[3]) {
			continue
		}
		assert.Check(t, slices.Contains(testsOf(t, name[1]), name[3]), "%s does not exist in package %s", name[3], name[1])
	}
	for n := 1; n <= 12; n++ {
		assert.Check(t, strings.Contains(page, "\n### P"+strconv.Itoa(n)+": "), "P%d is missing", n)
	}
}

// Guards against tests that are known to fail but are not marked so on the page of promises.
func TestPromisesPageNamesKnownFailures(t *testing.T) {
	knownFailures := regexp.MustCompile(`(?m)^red: (\w+)(?:/\w+)? `).FindAllStringSubmatch(readPage(t, "KNOWN-RED.txt"), -1)
	page := readPage(t, "docs", "promises.md")
	for _, name := range knownFailures {
		mentions := strings.Count(page, "."+name[1]+"`")
		marked := strings.Count(page, "."+name[1]+"` (known to fail)")
		assert.Check(t, mentions == marked, "%s is in KNOWN-RED.txt and not marked on the page", name[1])
	}
}

// Guards against operators' pages with events that do not exist or changed their number.
func TestOperatorsPagesNameRealEvents(t *testing.T) {
	names := map[string]string{}
	for code, entry := range recorder.Catalogue {
		names[strconv.Itoa(int(code))] = entry.Name
	}
	for file, page := range operatorsPages(t) {
		for _, event := range eventName.FindAllStringSubmatch(page, -1) {
			assert.Check(t, names[event[1]] == event[2], "%s: event %s is %q, not %q", file, event[1], names[event[1]], event[2])
		}
		for _, event := range eventNumber.FindAllStringSubmatch(page, -1) {
			assert.Check(t, names[event[1]] != "", "%s: event %s does not exist", file, event[1])
		}
	}
}

// Guards against operators' pages with refusal codes that do not exist.
func TestOperatorsPagesNameRealRefusals(t *testing.T) {
	document := server.Document()
	for file, page := range operatorsPages(t) {
		var codes []string
		for _, line := range refusalsLine.FindAllStringSubmatch(page, -1) {
			for _, code := range quoted.FindAllStringSubmatch(line[1], -1) {
				codes = append(codes, code[1])
			}
		}
		for _, pattern := range []*regexp.Regexp{refusalInText, refusalInJSON, refusalInCause} {
			for _, code := range pattern.FindAllStringSubmatch(page, -1) {
				codes = append(codes, code[1])
			}
		}
		for _, code := range codes {
			assert.Check(t, strings.Contains(document, "| `"+code+"` |"), "%s: refusal code %s does not exist", file, code)
		}
	}
}

// Guards against an operating condition without a page, a page that lacks one of its
// sections, and pages that are too long.
func TestConditionsHaveWholePages(t *testing.T) {
	pages := operatorsPages(t)
	for _, name := range []string{
		"platform-down", "data-centre-cut-off", "lease-keeps-moving", "workspace-starves", "request-in-quarantine",
		"usage-late", "key-withdrawal-not-everywhere", "cheap-zone-gone", "lost-claims",
	} {
		page := pages["../docs/operators/"+name+".md"]
		for _, heading := range []string{"How it shows", "What the system does", "What to do", "What not to do"} {
			assert.Check(t, strings.Contains(page, "\n## "+heading+"\n"), "%s: part %q is missing", name, heading)
		}
		assert.Check(t, strings.Contains(page, "\n- Refusal codes: "), "%s: refusal codes are missing", name)
		assert.Check(t, strings.Contains(pages["../docs/operators.md"], "(operators/"+name+".md)"), "%s: no link", name)
	}
	pages["promises.md"], pages["architecture.md"] = readPage(t, "docs", "promises.md"), readPage(t, "docs", "architecture.md")
	for file, page := range pages {
		assert.Check(t, strings.Count(page, "\n") < maxPageLines, "%s is too long", file)
	}
}

// Guards against metrics that the page for operators does not explain, or explains wrongly.
func TestOperatorsPageNamesMetrics(t *testing.T) {
	data, err := json.Marshal(assembler.Metrics{})
	assert.NilError(t, err)
	var fields map[string]any
	assert.NilError(t, json.Unmarshal(data, &fields))
	_, section, found := strings.Cut(readPage(t, "docs", "operators.md"), "\n## Metrics\n")
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	rows := regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|").FindAllStringSubmatch(section, -1)
	assert.Equal(t, len(rows), len(fields))
	for _, row := range rows {
		_, ok := fields[row[1]]
		assert.Check(t, ok, "metric %s does not exist", row[1])
	}
}

// Guards against broken links between pages.
func TestLinksLeadSomewhere(t *testing.T) {
	var files []string
	for _, pattern := range []string{"../*.md", "../docs/*.md", "../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		files = append(files, found...)
	}
	for _, file := range files {
		page := readPage(t, strings.TrimPrefix(file, "../"))
		for _, target := range link.FindAllStringSubmatch(page, -1) {
			if strings.Contains(target[1], "://") {
				continue
			}
			checkLink(t, file, target[1])
		}
		// The design page names pages that are still to be written.
		if file == "../docs/design.md" {
			continue
		}
		for _, name := range mentionedPage.FindAllString(page, -1) {
			_, err := os.Stat(filepath.Join("..", name))
			assert.Check(t, err == nil, "%s names %s, which does not exist", file, name)
		}
	}
}

// checkLink follows a link to a page and to a heading on it.
func checkLink(t *testing.T, from, target string) {
	t.Helper()
	path, anchor, _ := strings.Cut(target, "#")
	to := from
	if path != "" {
		to = filepath.Join(filepath.Dir(from), path)
	}
	data, err := os.ReadFile(to)
	if !assert.Check(t, err == nil, "%s links to %s, which does not exist", from, target) || anchor == "" {
		return
	}
	found := false
	for line := range strings.Lines(string(data)) {
		found = found || strings.HasPrefix(line, "#") && anchorOf(line) == anchor
	}
	assert.Check(t, found, "%s links to %s, whose heading does not exist", from, target)
}

// anchorOf returns the anchor that a heading gets when the page is rendered.
func anchorOf(heading string) string {
	text := strings.ToLower(strings.TrimSpace(strings.TrimLeft(heading, "#")))
	text = regexp.MustCompile(`[^a-z0-9 _-]`).ReplaceAllString(text, "")
	return strings.ReplaceAll(text, " ", "-")
}
