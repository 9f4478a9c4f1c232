package declarer

import (
	"fmt"

	"github.com/gypsumwharf/gypsumwharf/checker"
)

// declaredNames holds the declared names of each kind of item.
type declaredNames map[string]map[string]bool

func (n declaredNames) has(kind, name string) bool { return n[kind][name] }

func collectNames(d Declaration) declaredNames {
	n := declaredNames{"data-centres": {}, "classes": {}, "models": {}, "routes": {}, "targets": {}, "workspaces": {}}
	for _, item := range d.DataCentres {
		n["data-centres"][item.Name] = true
	}
	for _, item := range d.Classes {
		n["classes"][item.Name] = true
	}
	for _, item := range d.Models {
		n["models"][item.Name] = true
	}
	for _, item := range d.Routes {
		n["routes"][item.Name] = true
	}
	for _, item := range d.Targets {
		n["targets"][item.Name] = true
	}
	for _, item := range d.Workspaces {
		n["workspaces"][item.Name] = true
	}
	return n
}

// referenceCheck collects duplicate names, invalid references between items and
// other faults that the schema cannot express.
type referenceCheck struct {
	declared declaredNames
	seen     map[string]string
	document checker.Document
	faults   checker.Faults
}

func crossCheck(merged Declaration, sources []source) checker.Faults {
	c := &referenceCheck{declared: collectNames(merged), seen: map[string]string{}}
	for _, s := range sources {
		c.document = s.document
		c.dataCentres(s.declaration.DataCentres)
		c.classes(s.declaration.Classes)
		c.models(s.declaration.Models)
		c.routes(s.declaration.Routes)
		c.targets(s.declaration.Targets)
		c.workspaces(s.declaration.Workspaces)
	}
	return c.faults
}

func (c *referenceCheck) fault(pointer, format string, args ...any) {
	c.faults = append(c.faults, c.document.Fault(pointer, fmt.Sprintf(format, args...)))
}

// requireUnique records a name of a kind; a second use is a fault.
func (c *referenceCheck) requireUnique(kind, name, pointer string) {
	id := kind + "\x00" + name
	if _, ok := c.seen[id]; ok {
		c.fault(pointer, "duplicate %s %q", kind, name)
		return
	}
	c.seen[id] = pointer
}

func (c *referenceCheck) requireDeclared(kind, name, pointer string) {
	if name != "" && !c.declared.has(kind, name) {
		c.fault(pointer, "%q is not among the declared %s", name, kind)
	}
}

func (c *referenceCheck) dataCentres(items []DataCentre) {
	for i, item := range items {
		c.requireUnique("data centre", item.Name, fmt.Sprintf("/data-centres/%d/name", i))
	}
}

func (c *referenceCheck) classes(items []Class) {
	for i, item := range items {
		at := fmt.Sprintf("/classes/%d", i)
		c.requireUnique("class", item.Name, at+"/name")
		if item.FirstTokenMilliseconds > item.DeadlineMilliseconds {
			c.fault(at+"/first-token-milliseconds", "must not exceed deadline-milliseconds (%d)", item.DeadlineMilliseconds)
		}
	}
}

func (c *referenceCheck) models(items []Model) {
	for i, item := range items {
		c.requireUnique("model", item.Name, fmt.Sprintf("/models/%d/name", i))
	}
}

func (c *referenceCheck) routes(items []Route) {
	for i, item := range items {
		at := fmt.Sprintf("/routes/%d", i)
		c.requireUnique("route", item.Name, at+"/name")
		c.requireDeclared("classes", item.Class, at+"/class")
		if item.Class == "" {
			c.fault(at+"/class", "a route needs a class")
		}
		c.routeKind(item, at)
		if item.Open {
			c.requireDeclared("workspaces", item.OpenWorkspace, at+"/open-workspace")
			if item.OpenWorkspace == "" {
				c.fault(at+"/open-workspace", "an open route needs the workspace that its requests run for")
			}
		}
	}
}

func (c *referenceCheck) routeKind(item Route, at string) {
	if item.Kind == RouteKindModel {
		if item.Model == "" {
			c.fault(at+"/model", "a model route needs a model")
		}
		c.requireDeclared("models", item.Model, at+"/model")
		return
	}
	if item.Service == "" {
		c.fault(at+"/service", "a service route needs a service")
	}
	if item.Path == "" || item.Path[0] != '/' {
		c.fault(at+"/path", "a service route needs a path that starts with /")
	}
	c.requireUnique("route path", item.Path, at+"/path")
	if len(item.Calls) == 0 {
		c.fault(at+"/calls", "a service route needs at least one call")
	}
	for k, call := range item.Calls {
		c.requireUnique("call of route "+item.Name, string(call.Method)+" "+call.Path, fmt.Sprintf("%s/calls/%d", at, k))
	}
}

func (c *referenceCheck) targets(items []Target) {
	for i, item := range items {
		at := fmt.Sprintf("/targets/%d", i)
		c.requireUnique("target", item.Name, at+"/name")
		c.requireDeclared("data-centres", item.DataCentre, at+"/data-centre")
		if item.Kind == TargetKindEngine && len(item.Models) == 0 {
			c.fault(at+"/models", "an engine needs at least one model")
		}
		if item.Kind == TargetKindService && item.Service == "" {
			c.fault(at+"/service", "a service target needs a service")
		}
		for k, model := range item.Models {
			c.requireDeclared("models", model, fmt.Sprintf("%s/models/%d", at, k))
		}
	}
}

func (c *referenceCheck) workspaces(items []Workspace) {
	for i, item := range items {
		at := fmt.Sprintf("/workspaces/%d", i)
		c.requireUnique("workspace", item.Name, at+"/name")
		for k, key := range item.Keys {
			c.requireUnique("key hash", key.Hash, fmt.Sprintf("%s/keys/%d/hash", at, k))
			c.requireUnique("key of workspace "+item.Name, key.Name, fmt.Sprintf("%s/keys/%d/name", at, k))
		}
		for k, grant := range item.Grants {
			c.requireDeclared("routes", grant.Route, fmt.Sprintf("%s/grants/%d/route", at, k))
			c.requireDeclared("classes", grant.Class, fmt.Sprintf("%s/grants/%d/class", at, k))
			c.requireUnique("grant of workspace "+item.Name, grant.Route, fmt.Sprintf("%s/grants/%d/route", at, k))
		}
	}
}
