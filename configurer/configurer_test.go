package configurer

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/gypsumwharf/gypsumwharf/checker"
)

const validSettings = `{
  // comment
  "instance": "a", "data-centre": "dc-1", "region": "north",
  "caller-address": "127.0.0.1:8000",
  "operator-address": "127.0.0.1:8001",
  "peer-address": "[::1]:8002",
  "platform-url": "http://127.0.0.1:9",
}`

// Guards against defaults that are not applied.
func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("s.jsonc", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.ShutdownSeconds, 60)
	assert.Equal(t, s.LeaseMilliseconds, 15000)
	assert.Equal(t, string(s.LogLevel), "info")
}

// Guards against faulty settings that are accepted, and errors without file, line and field.
func TestParseNamesEveryFault(t *testing.T) {
	cases := map[string]struct {
		from, to string
		faults   []string
	}{
		"unknown field":      {`"region": "north",`, `"region": "north", "regoin": "x",`, []string{"s.jsonc:3: regoin: unknown field"}},
		"duplicate name":     {`"region": "north",`, `"region": "north", "region": "south",`, []string{"s.jsonc:3: region: duplicate name"}},
		"missing field":      {`"platform-url": "http://127.0.0.1:9",`, ``, []string{"s.jsonc:1: platform-url: required field is missing"}},
		"wrong type":         {`"region": "north",`, `"region": 7,`, []string{"s.jsonc:3: region: "}},
		"out of range":       {`"region": "north",`, `"region": "north", "shutdown-seconds": 0,`, []string{"s.jsonc:3: shutdown-seconds: "}},
		"host name":          {`127.0.0.1:8000`, `abc.de:8000`, []string{"s.jsonc:4: caller-address: "}},
		"port out of range":  {`127.0.0.1:8000`, `127.0.0.1:80000`, []string{"s.jsonc:4: caller-address: not an IP address and port"}},
		"same address twice": {`127.0.0.1:8001`, `127.0.0.1:8000`, []string{"s.jsonc:5: operator-address: same address as caller-address"}},
		"two faults":         {`"region": "north",`, `"regoin": "x", "shutdown-seconds": -1,`, []string{"s.jsonc:3: regoin: unknown field", "s.jsonc:3: shutdown-seconds: ", "region: required field is missing"}},
		"half a certificate": {`"region": "north",`, `"region": "north", "peer-key-file": "k.pem",`, []string{"peer-certificate-file: needed together", "peer-authority-file: needed together"}},
		"syntax":             {`"region": "north",`, `"region" "north",`, []string{"s.jsonc:3: "}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("s.jsonc", []byte(strings.Replace(validSettings, tc.from, tc.to, 1)))
			var faults checker.Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			assert.Equal(t, len(faults), len(tc.faults), "%v", err)
			for _, fault := range tc.faults {
				assert.ErrorContains(t, err, fault)
			}
		})
	}
}

// Guards against a docs/settings.md that differs from the schemas; run with -update to rewrite it.
func TestDocumentMatchesPage(t *testing.T) {
	page, err := Document()
	assert.NilError(t, err)
	golden.Assert(t, page, "../../docs/settings.md")
}

// Guards against example settings that no longer pass the checks.
func TestExamplesHaveNoFaults(t *testing.T) {
	for dir, count := range map[string]int{"tafelgast": 14, "kidcare": 13} {
		files, err := filepath.Glob(filepath.Join("..", "examples", dir, "instances", "*.jsonc"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), count)
		for _, file := range files {
			_, err := Load(file)
			assert.NilError(t, err)
		}
	}
}

// Guards against settings that crash the parser, or are accepted without their required fields.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"instance": "a"`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("s.jsonc", data)
		if err == nil && (s.Instance == "" || s.PlatformURL == "" || s.LeaseMilliseconds < 1000) {
			t.Fatalf("accepted %q as %+v", data, s)
		}
	})
}

// Guards against accepting misspelt or invalid settings of an entry instance, and
// against rejecting the trailing commas and comments of a template.
func TestEntrySettings(t *testing.T) {
	const good = `{
		// Comment.
		"instance": "i", "data-centre": "a", "region": "r", "caller-address": "10.0.0.1:80",
		"readiness-address": "10.0.0.1:81", "metrics-address": "10.0.0.1:82", "store-address": "10.0.0.9:83",
	}`
	for name, c := range map[string]struct{ from, to, fault string }{
		"good":            {"", "", ""},
		"misspelt":        {`"region"`, `"regoin"`, "regoin"},
		"name as address": {"10.0.0.9:83", "store:83", "store-address"},
		"text for number": {`"region": "r"`, `"region": "r", "shutdown-seconds": "8"`, "shutdown-seconds"},
		"out of range":    {`"region": "r"`, `"region": "r", "retry-share": 2`, "retry-share"},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := ParseEntry("entry.jsonc", []byte(strings.Replace(good, c.from, c.to, 1)))
			if c.fault != "" {
				assert.ErrorContains(t, err, c.fault)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, e.Instance, "i")
			assert.Equal(t, e.ShutdownSeconds, 8.0)
			assert.Equal(t, e.LogLinesPerSecond, 200)
		})
	}
}
