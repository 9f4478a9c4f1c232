package declarer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/checker"
)

const validDeclaration = `{
  "data-centres": [{"name": "dc-1", "region": "north"}],
  "classes": [{"name": "quick", "deadline-milliseconds": 1000}, {"name": "slow", "deadline-milliseconds": 60000}],
  "models": [{"name": "small"}],
  "routes": [{"name": "chat", "kind": "model", "model": "small", "class": "quick"},
    {"name": "tables", "kind": "service", "path": "/tables", "service": "booking", "class": "quick",
     "calls": [{"method": "GET", "path": "/free", "idempotent": true}, {"method": "POST", "path": "/", "idempotent": false}]}],
  "targets": [{"name": "e1", "kind": "engine", "url": "http://127.0.0.1:1", "data-centre": "dc-1", "models": ["small"]}],
  "workspaces": [{"name": "acme", "keys": [{"name": "main", "hash": "` + hash + `"}], "grants": [{"route": "chat", "class": "slow"}, {"route": "tables"}]}]
}`

const hash = "00000000000000000000000000000000000000000000000000000000000000aa"

// Guards against references to undeclared items that are accepted, and errors without line and field.
func TestParseNamesEveryFault(t *testing.T) {
	cases := map[string]struct{ from, to, fault string }{
		"unknown class of route":  {`"model": "small", "class": "quick"`, `"model": "small", "class": "quik"`, `d.json:5: routes.0.class: "quik" is not among the declared classes`},
		"unknown model of route":  {`"model": "small", "class"`, `"model": "large", "class"`, `d.json:5: routes.0.model: "large"`},
		"unknown granted route":   {`{"route": "tables"}`, `{"route": "chairs"}`, `d.json:9: workspaces.0.grants.1.route: "chairs"`},
		"unknown data centre":     {`"data-centre": "dc-1", "models"`, `"data-centre": "dc-9", "models"`, `d.json:8: targets.0.data-centre: "dc-9"`},
		"duplicate route":         {`"name": "tables"`, `"name": "chat"`, `d.json:6: routes.1.name: duplicate route "chat"`},
		"engine without models":   {`, "models": ["small"]}`, `}`, `d.json:8: targets.0.models: an engine needs at least one model`},
		"first token too late":    {`"deadline-milliseconds": 1000}`, `"deadline-milliseconds": 1000, "first-token-milliseconds": 2000}`, `classes.0.first-token-milliseconds: must not exceed deadline-milliseconds (1000)`},
		"service without calls":   {`"calls": [{"method": "GET", "path": "/free", "idempotent": true}, {"method": "POST", "path": "/", "idempotent": false}]`, `"calls": []`, `routes.1.calls: a service route needs at least one call`},
		"open without workspace":  {`"service": "booking", "class": "quick"`, `"service": "booking", "class": "quick", "open": true`, `routes.1.open-workspace: an open route needs the workspace`},
		"idempotency not stated":  {`"path": "/free", "idempotent": true`, `"path": "/free"`, `calls.0.idempotent: required field is missing`},
		"misspelt limit":          {`"name": "acme",`, `"name": "acme", "limits": {"request-per-second": 1},`, `workspaces.0.limits.request-per-second: unknown field`},
		"hash of the wrong shape": {hash, "abc", `workspaces.0.keys.0.hash: `},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validDeclaration, tc.from, tc.to, 1)
			assert.Assert(t, text != validDeclaration)
			_, err := Parse("d.json", []byte(text))
			var faults checker.Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			assert.ErrorContains(t, err, tc.fault)
		})
	}
}

// Guards against example declarations that no longer pass the checks.
func TestExamplesHaveNoFaults(t *testing.T) {
	for name, sizes := range map[string]struct{ targets, workspaces int }{"tafelgast": {14, 8}, "kidcare": {15, 8}} {
		d, err := LoadDir(filepath.Join("..", "examples", name))
		assert.NilError(t, err)
		assert.Equal(t, len(d.Targets), sizes.targets)
		assert.Equal(t, len(d.Workspaces), sizes.workspaces)
	}
}

// Guards against accepting a name that two files of a folder declare, or a folder without declarations.
func TestLoadDirMergesFiles(t *testing.T) {
	dir := t.TempDir()
	_, err := LoadDir(dir)
	assert.ErrorIs(t, err, ErrNoFiles)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "a.json"), []byte(validDeclaration), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "b.jsonc"), []byte(`{"models": [{"name": "small"}]} // again`), 0o600))
	_, err = LoadDir(dir)
	assert.ErrorContains(t, err, `duplicate model "small"`)
}

// Guards against a catalogue that returns grants that do not exist or the wrong route.
func TestCatalogue(t *testing.T) {
	d, err := Parse("d.json", []byte(validDeclaration))
	assert.NilError(t, err)
	c := NewCatalogue(7, d)
	owner, ok := c.KeyOwner(hash)
	assert.Assert(t, ok)
	assert.Equal(t, owner, KeyOwner{Workspace: "acme", Key: "main"})
	class, ok := c.Grant("acme", "chat")
	assert.Assert(t, ok)
	assert.Equal(t, class.Name, "slow")
	_, ok = c.Grant("other", "chat")
	assert.Assert(t, !ok)
	for path, found := range map[string]bool{"/tables/free": true, "/tables/free/x": true, "/tables": false, "/tablesfree": false} {
		_, _, ok := c.ServiceRoute("GET", path)
		assert.Equal(t, ok, found, path)
	}
	_, call, ok := c.ServiceRoute("POST", "/tables/anything")
	assert.Assert(t, ok && !call.Idempotent)
}

// Guards against a plan with missing or spurious changes.
func TestDiff(t *testing.T) {
	before, err := Parse("d.json", []byte(validDeclaration))
	assert.NilError(t, err)
	after, err := Parse("d.json", []byte(strings.NewReplacer(`"name": "acme"`, `"name": "acme", "weight": 3`, `{"name": "small"}]`, `{"name": "small"}, {"name": "large"}]`).Replace(validDeclaration)))
	assert.NilError(t, err)
	assert.Equal(t, len(Diff(before, before)), 0)
	assert.DeepEqual(t, Diff(before, after), []Change{{"add", "model", "large"}, {"change", "workspace", "acme"}})
	assert.DeepEqual(t, Diff(after, before), []Change{{"remove", "model", "large"}, {"change", "workspace", "acme"}})
}

// Guards against declarations that crash the parser, or are accepted with grants of undeclared classes.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDeclaration))
	f.Add([]byte(`{"workspaces": [{"name": "a", "grants": [{"route": "r"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("d.json", data)
		if err != nil {
			return
		}
		c := NewCatalogue(1, d)
		for _, w := range d.Workspaces {
			for _, g := range w.Grants {
				if class, ok := c.Grant(w.Name, g.Route); !ok || class.Name == "" {
					t.Fatalf("accepted a grant without a class: %q", data)
				}
			}
		}
	})
}
