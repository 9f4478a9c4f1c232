package resolver_test

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func directory(t *testing.T, generation int64) *resolver.Directory {
	t.Helper()
	split := []resolver.Split{{Service: "s", Weight: 1}}
	d, err := resolver.New(generation, resolver.Limits{}, []resolver.Service{{Name: "s"}}, []resolver.Route{
		{Name: "short", Host: "Host.example", PathPrefix: "/a/", Splits: split},
		{Name: "long", Host: "host.example", PathPrefix: "/a/b/", Splits: split},
		{Name: "open", Host: "host.example", PathPrefix: "/open/", Public: true, Splits: split},
	}, []resolver.Workspace{{Name: "w", Keys: []authenticator.Hash{authenticator.HashKey("key")}}})
	assert.NilError(t, err)
	return d
}

// Guards against matching a route of another host or with a shorter prefix.
func TestRouteWithTheLongestPrefixWins(t *testing.T) {
	for name, c := range map[string]struct{ host, path, want string }{
		"longest":          {"host.example", "/a/b/c", "long"},
		"shorter":          {"host.example", "/a/x", "short"},
		"host in capitals": {"HOST.example", "/a/x", "short"},
		"other host":       {"other.example", "/a/x", ""},
		"prefix not whole": {"host.example", "/a", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := directory(t, 1).Route(c.host, c.path)
			assert.Equal(t, r.Name, c.want)
			assert.Equal(t, errors.Is(err, resolver.ErrRouteUnknown), c.want == "")
		})
	}
}

// Guards against requests that run without a key or for another workspace.
func TestKeysNameTheirWorkspace(t *testing.T) {
	d := directory(t, 1)
	for name, c := range map[string]struct {
		path, key, want string
		known           bool
	}{
		"known key":                 {"/a/x", "key", "w", true},
		"unknown key":               {"/a/x", "other", "", false},
		"no key":                    {"/a/x", "", "", false},
		"open route":                {"/open/x", "", "", true},
		"open route, unknown key":   {"/open/x", "other", "", true},
		"open route with known key": {"/open/x", "key", "w", true},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := d.Route("host.example", c.path)
			assert.NilError(t, err)
			workspace, err := d.Workspace(r, c.key)
			assert.Equal(t, workspace, c.want)
			assert.Equal(t, err == nil, c.known)
		})
	}
}

// Guards against adopting an inconsistent configuration.
func TestARouteToAnUnknownServiceIsRefused(t *testing.T) {
	_, err := resolver.New(1, resolver.Limits{}, nil, []resolver.Route{{Name: "r", Splits: []resolver.Split{{Service: "x", Weight: 1}}}}, nil)
	assert.ErrorContains(t, err, `route "r" names service "x"`)
}

// Guards against splits that ignore weights or choose a service of weight zero.
func TestChooseFollowsWeights(t *testing.T) {
	r := resolver.Route{Splits: []resolver.Split{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Choose(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
}

// Guards against adopting an older configuration, and against an age that omits the
// time in which the machine was suspended.
func TestHolderKeepsTheNewestAndReportsItsAge(t *testing.T) {
	clock := timekeeper.NewManual(1_000_000)
	h := resolver.NewHolder(clock.Clock())
	none, _ := h.Current()
	assert.Assert(t, none == nil)
	assert.Assert(t, h.Adopt(directory(t, 7)))
	h.Confirm(clock.Clock().Read())
	assert.Assert(t, !h.Adopt(directory(t, 7)))
	assert.Assert(t, !h.Adopt(directory(t, 3)))
	clock.Advance(100)
	clock.Suspend(2000)
	d, age := h.Current()
	assert.Equal(t, d.Generation(), int64(7))
	assert.Equal(t, age, timekeeper.Millis(2100))
}
