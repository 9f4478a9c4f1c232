package declarer

import (
	"net/url"
	"strings"
)

// Catalogue is one generation of declarations, indexed for lookups. It is immutable.
type Catalogue struct {
	generation  int64
	declaration Declaration
	workspaces  map[string]Workspace
	keys        map[string]KeyOwner
	routes      map[string]Route
	models      map[string]Route
	services    []Route
	targets     map[string]Target
	classes     map[string]Class
	grants      map[grantID]Class
	regions     map[string]string
}

type grantID struct{ workspace, route string }

// KeyOwner is the workspace and name of a key.
type KeyOwner struct {
	Workspace string
	Key       string
}

// NewCatalogue indexes checked declarations of a generation.
func NewCatalogue(generation int64, d Declaration) *Catalogue {
	c := &Catalogue{
		generation:  generation,
		declaration: d,
		workspaces:  make(map[string]Workspace, len(d.Workspaces)),
		keys:        map[string]KeyOwner{},
		routes:      map[string]Route{},
		models:      map[string]Route{},
		targets:     map[string]Target{},
		classes:     map[string]Class{},
		grants:      map[grantID]Class{},
		regions:     map[string]string{},
	}
	for _, item := range d.Classes {
		c.classes[item.Name] = item
	}
	for _, item := range d.DataCentres {
		c.regions[item.Name] = item.Region
	}
	for _, item := range d.Targets {
		c.targets[item.Name] = item
	}
	for _, item := range d.Routes {
		c.addRoute(item)
	}
	for _, item := range d.Workspaces {
		c.addWorkspace(item)
	}
	return c
}

func (c *Catalogue) addRoute(r Route) {
	c.routes[r.Name] = r
	if r.Kind == RouteKindService {
		c.services = append(c.services, r)
		return
	}
	if _, ok := c.models[r.Model]; !ok {
		c.models[r.Model] = r
	}
}

func (c *Catalogue) addWorkspace(w Workspace) {
	c.workspaces[w.Name] = w
	for _, key := range w.Keys {
		c.keys[key.Hash] = KeyOwner{Workspace: w.Name, Key: key.Name}
	}
	for _, grant := range w.Grants {
		class := grant.Class
		if class == "" {
			class = c.routes[grant.Route].Class
		}
		c.grants[grantID{w.Name, grant.Route}] = c.classes[class]
	}
}

// Generation returns the generation of the configuration; 0 means none yet.
func (c *Catalogue) Generation() int64 { return c.generation }

// Declaration returns the declarations that the catalogue indexes.
func (c *Catalogue) Declaration() Declaration { return c.declaration }

// Workspace returns a workspace by name.
func (c *Catalogue) Workspace(name string) (Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// KeyOwner returns the owner of a key by the key's SHA-256 in hexadecimal.
func (c *Catalogue) KeyOwner(hash string) (KeyOwner, bool) {
	o, ok := c.keys[hash]
	return o, ok
}

// ModelRoute returns the model route with the given name or, if there is none, the
// first one of the model with that name.
func (c *Catalogue) ModelRoute(name string) (Route, bool) {
	if r, ok := c.routes[name]; ok && r.Kind == RouteKindModel {
		return r, true
	}
	r, ok := c.models[name]
	return r, ok
}

// ServiceRoute returns the service route with the longest path prefix of path, and
// its call with the method and the longest path prefix of the rest. It reports
// whether there is such a call.
func (c *Catalogue) ServiceRoute(method, path string) (Route, Call, bool) {
	var best Route
	for _, r := range c.services {
		if matches(r.Path, path) && len(r.Path) > len(best.Path) {
			best = r
		}
	}
	if best.Name == "" {
		return Route{}, Call{}, false
	}
	rest := best.Subpath(path)
	var found Call
	for _, call := range best.Calls {
		if string(call.Method) == method && matches(call.Path, rest) && len(call.Path) > len(found.Path) {
			found = call
		}
	}
	return best, found, found.Path != ""
}

// Subpath returns the part of a path after a service route's prefix; it starts with a slash.
func (j Route) Subpath(path string) string {
	rest := strings.TrimPrefix(path, strings.TrimSuffix(j.Path, "/"))
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

// EncodedSubpath returns Subpath of a path as the caller encoded it. If the caller also
// encoded the prefix, the path is encoded anew.
func (j Route) EncodedSubpath(path, encoded string) string {
	prefix := strings.TrimSuffix(j.Path, "/")
	if rest, ok := strings.CutPrefix(encoded, prefix); ok && (rest == "" || rest[0] == '/') {
		return j.Subpath(encoded)
	}
	return (&url.URL{Path: j.Subpath(path)}).EscapedPath()
}

// matches reports whether path equals the pattern or is below it.
func matches(pattern, path string) bool {
	return path == pattern || strings.HasPrefix(path, strings.TrimSuffix(pattern, "/")+"/")
}

// Target returns a target by name.
func (c *Catalogue) Target(name string) (Target, bool) {
	t, ok := c.targets[name]
	return t, ok
}

// TargetsOf returns the targets that can run requests of a route, in order of name.
func (c *Catalogue) TargetsOf(r Route) []Target {
	var targets []Target
	for _, t := range c.declaration.Targets {
		if t.Serves(r) {
			targets = append(targets, t)
		}
	}
	return targets
}

// Class returns a class by name.
func (c *Catalogue) Class(name string) (Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Grant returns the class under which a workspace may call a route.
func (c *Catalogue) Grant(workspace, route string) (Class, bool) {
	class, ok := c.grants[grantID{workspace, route}]
	return class, ok
}

// Region returns the region of a data centre.
func (c *Catalogue) Region(dataCentre string) string { return c.regions[dataCentre] }
