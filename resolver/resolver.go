// Package resolver holds one generation of the configuration as an immutable
// directory and resolves requests: the route of a host and path, the workspace of
// a key, and the service that serves the request.
package resolver

import (
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of a look-up.
var (
	// ErrRouteUnknown means that no route of the host has a prefix of the path.
	ErrRouteUnknown = errors.New("no route matches")
	// ErrKeyUnknown means that the key belongs to no workspace.
	ErrKeyUnknown = errors.New("key is unknown")
	// ErrMalformed means that a configuration is inconsistent.
	ErrMalformed = errors.New("malformed configuration")
)

// Kind says how requests of a route may be retried.
type Kind int

// Kinds of routes.
const (
	AtMostOnce Kind = iota // A request must not run more than once.
	Idempotent             // A request may run more than once.
	Stream                 // The answer is a stream of events; it is retried only if the route is resumable.
)

// Split sends a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  int
}

// Route says which services handle the requests of a host and path, and how.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string
	Kind          Kind
	Resumable     bool
	Public        bool // No key is needed.
	Timeout       timekeeper.Millis
	TargetLatency timekeeper.Millis
	MaxAttempts   int
	Priority      int // 0 is the most urgent; a workspace's own priority overrides it.
	// EventTimeout is how long a caller waits for the next event of a stream before it
	// disconnects; 0 if unknown.
	EventTimeout timekeeper.Millis
	// MaxPause is the longest pause between events with which a stream is in time; 0 if
	// not declared.
	MaxPause timekeeper.Millis
	Splits   []Split
}

// Retryable reports whether a request may run again after it may have run.
func (r Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service is a group of targets that answer the same requests.
type Service struct {
	Name    string
	Engines bool     // Its targets are model engines, which prefill prompts and decode.
	Engine  Engine   // Published figures of each engine.
	Scaling *Scaling // Set if the number of targets may be ordered.
}

// Engine holds the published figures of a service's engines; 0 means not published.
type Engine struct {
	KVCacheTokens int // KV cache capacity of an engine, in tokens.
	// KVTransferRate is the KV cache transfer rate of a link, in tokens per
	// millisecond.
	KVTransferRate float64
}

// Scaling bounds the number of targets per data centre.
type Scaling struct {
	Min, Max    int
	DataCentres []string // Where targets can be ordered.
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name     string
	Keys     []authenticator.Hash
	Quota    Quota // No limit if its rate is 0.
	Priority *int  // 0 is the most urgent; nil is that of the route.
}

// Limits bound requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout timekeeper.Millis
	IdleTimeout   timekeeper.Millis
}

// Directory is one generation of the configuration. It is immutable.
type Directory struct {
	generation int64
	limits     Limits
	services   map[string]Service
	routes     map[string][]Route // By host, longest prefix first.
	keys       map[authenticator.Hash]string
	quotas     map[string]Quota // By workspace; only those with a limit.
	keyed      bool
	workspaces map[string]Workspace
	ranks      map[string][]int // Priorities in force, by service.
}

// New returns a directory, or ErrMalformed if a route names an unknown service. If there are
// no workspaces, requests need no key.
func New(generation int64, limits Limits, services []Service, routes []Route, workspaces []Workspace) (*Directory, error) {
	d := &Directory{
		generation: generation, limits: limits, services: map[string]Service{},
		routes: map[string][]Route{}, keys: map[authenticator.Hash]string{}, quotas: map[string]Quota{}, keyed: len(workspaces) > 0,
		workspaces: map[string]Workspace{}, ranks: rankPriorities(routes, workspaces),
	}
	for _, s := range services {
		d.services[s.Name] = s
	}
	for _, r := range routes {
		for _, s := range r.Splits {
			if _, ok := d.services[s.Service]; !ok {
				return nil, errors.Wrapf(ErrMalformed, "route %q names service %q, which does not exist", r.Name, s.Service)
			}
		}
		host := strings.ToLower(r.Host)
		d.routes[host] = append(d.routes[host], r)
	}
	for _, list := range d.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, w := range workspaces {
		d.workspaces[w.Name] = w
		for _, k := range w.Keys {
			d.keys[k] = w.Name
		}
		if w.Quota.Rate > 0 {
			d.quotas[w.Name] = w.Quota
		}
	}
	return d, nil
}

// WithKeysRequired returns a directory whose routes need a key, unless they are public, also
// if no workspace has one.
func (d *Directory) WithKeysRequired() *Directory {
	keyed := *d
	keyed.keyed = true
	return &keyed
}

// Generation returns the number of the configuration; a newer one has a higher number.
func (d *Directory) Generation() int64 { return d.generation }

// Limits returns the limits on requests and connections of callers.
func (d *Directory) Limits() Limits { return d.limits }

// Service returns a service by name.
func (d *Directory) Service(name string) (Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Services returns all services, ordered by name.
func (d *Directory) Services() []Service {
	list := make([]Service, 0, len(d.services))
	for _, s := range d.services {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Route returns the route of a host with the longest prefix of the path.
func (d *Directory) Route(host, path string) (Route, error) {
	for _, r := range d.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, nil
		}
	}
	return Route{}, errors.Wrapf(ErrRouteUnknown, "host %q, path %q", host, path)
}

// Workspace returns the name of the workspace that the key belongs to. On a public
// route, or if no keys are required, it returns an empty name for an unknown key.
func (d *Directory) Workspace(r Route, key string) (string, error) {
	if key != "" {
		if name, ok := d.keys[authenticator.HashKey(key)]; ok {
			return name, nil
		}
	}
	if r.Public || !d.keyed {
		return "", nil
	}
	return "", ErrKeyUnknown
}

// RequiresKey reports whether requests on a route need a key.
func (d *Directory) RequiresKey(r Route) bool { return d.keyed && !r.Public }

// Choose returns the service for a request by the weights of the splits; draw is a
// random number in [0, 1).
func (r Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}
