// Package resolver holds one generation of the configuration as an immutable
// directory and answers what it allows: which route a request takes, which
// workspace a key belongs to, which service serves it.
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
	// ErrRouteUnknown means that no route of the host begins the path.
	ErrRouteUnknown = errors.New("no route matches")
	// ErrKeyUnknown means that no workspace holds the key.
	ErrKeyUnknown = errors.New("key is unknown")
	// ErrMalformed means that a configuration contradicts itself.
	ErrMalformed = errors.New("malformed configuration")
)

// Kind says what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	AtMostOnce Kind = iota // A request runs once at most.
	Idempotent             // A request may run more than once.
	Stream                 // The answer is a series of events; it is repeated only where it may be resumed.
)

// Split sends a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path go and how they are treated.
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
	// Silence is how long a caller waits for the next event of a stream before it
	// leaves; 0 is not known.
	Silence timekeeper.Millis
	Splits  []Split
}

// Repeatable reports whether a request may run again after it may have run.
func (r Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service is a group of targets that answer the same requests.
type Service struct {
	Name    string
	Engines bool     // Its targets are model engines, which read prompts and generate.
	Engine  Engine   // What is published of each of the engines.
	Scaling *Scaling // Set if the number of targets may be ordered.
}

// Engine is what a service publishes of its engines; a figure of 0 is not published.
type Engine struct {
	Memory int // Tokens that fit into an engine's memory.
	// MoveRate is how many tokens of memory a link moves in a millisecond.
	MoveRate float64
}

// Scaling bounds the number of targets per data centre.
type Scaling struct {
	Min, Max    int
	DataCentres []string // Where targets can be ordered.
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []authenticator.Hash
}

// Limits bound what a caller may send.
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
	keyed      bool
}

// New returns a directory, or ErrMalformed if a route names an unknown service.
func New(generation int64, limits Limits, services []Service, routes []Route, workspaces []Workspace) (*Directory, error) {
	d := &Directory{
		generation: generation, limits: limits, services: map[string]Service{},
		routes: map[string][]Route{}, keys: map[authenticator.Hash]string{}, keyed: len(workspaces) > 0,
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
		for _, k := range w.Keys {
			d.keys[k] = w.Name
		}
	}
	return d, nil
}

// Generation numbers the configuration; a newer one has a higher number.
func (d *Directory) Generation() int64 { return d.generation }

// Limits returns the bounds on what callers send.
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

// Route returns the route of a host with the longest prefix that begins the path.
func (d *Directory) Route(host, path string) (Route, error) {
	for _, r := range d.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, nil
		}
	}
	return Route{}, errors.Wrapf(ErrRouteUnknown, "host %q, path %q", host, path)
}

// Workspace returns the name of the workspace that holds the key. On a public
// route, or where no workspaces exist, a request without a known key has none.
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

// Keyed reports whether requests on a route need a key.
func (d *Directory) Keyed(r Route) bool { return d.keyed && !r.Public }

// Choose returns the service for a request of a route; draw is in [0, 1).
func (r Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	point := draw * float64(total)
	for _, s := range r.Splits {
		point -= float64(s.Weight)
		if point < 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}
