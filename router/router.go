// Package router chooses the target of a request from what one instance knows:
// its own work in flight, peers' deltas and the targets' lagging reports.
package router

import (
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of a choice. None of them means that anything was sent.
var (
	// ErrUnknownRoute means that the configuration has no such route.
	ErrUnknownRoute = errors.New("route does not exist")
	// ErrNoTarget means that no target may take the request now.
	ErrNoTarget = errors.New("no target may take the request")
	// ErrNotIdle means that a target is reserved for a suspect and not free yet; ask again soon.
	ErrNotIdle = errors.New("target is reserved and not free yet")
)

// Request is what a choice depends on.
type Request struct {
	Workspace    string
	Route        string
	Prefixes     []Prefix // Starts of the prompt, from Prefixes; may be empty.
	PromptBytes  int      // Length of the prompt that Prefixes describes.
	PromptTokens int
	OutputTokens int // Expected output tokens.
	Idempotent   bool
	Reclaimable  bool // Whether the workspace allows reclaimable targets.
	Deadline     timekeeper.Millis
	Exclude      []string // Targets that already failed this request.
	Solo         string   // Fingerprint of a suspect, which runs alone; empty otherwise.
}

// Choice is a target for one attempt. Its work counts as in flight until Finish.
type Choice struct {
	ID       uint64
	Target   string
	URL      string
	Prefill  string  // Target that computes the prompt first; empty when Target does.
	Cached   int     // Prompt tokens expected in the target's prefix cache.
	Wait     float64 // Expected wait before the prompt is computed, in milliseconds.
	Total    float64 // Expected time of the whole attempt, in milliseconds.
	Transfer float64 // Expected time of the KV cache transfer, in milliseconds.
}

// Router holds one instance's view of the targets. It is safe for concurrent use.
type Router struct {
	options Options

	mu         sync.Mutex
	random     *rand.Rand
	adopted    bool
	targets    map[string]*target
	pools      map[string]*pool
	flights    map[uint64]flight
	nextID     uint64
	epoch      timekeeper.Millis // Reference time to which peers' work is scaled.
	peers      map[string]Delta
	notices    map[string]Notice
	unsent     map[string]bool // Targets with a notice that was in no delta yet.
	noticeTurn int             // Rotates the notices that are repeated.
	hints      *hints
	split      Calibration
	scratch    []candidate
	urgent     bool // Whether the next delta holds news that peers need at once.
	typical    work // Running mean of requests, for reports without tokens.
}

type pool struct {
	route   declarer.Route
	kvBytes float64
	splits  bool // Whether a target has the role prefill.
	targets []*target
}

type flight struct {
	choice   Choice
	work     work // Counts on the target; the prompt counts on the prefill target of a split.
	prefill  work // Counts on the prefill target of a split.
	prefixes []Prefix
	deadline timekeeper.Millis
	started  timekeeper.Millis
	solo     string
}

// New returns a router without targets.
func New(o Options) *Router {
	o = o.withDefaults()
	return &Router{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, hashName(o.Instance))),
		targets: map[string]*target{},
		pools:   map[string]*pool{},
		flights: map[uint64]flight{},
		peers:   map[string]Delta{},
		notices: map[string]Notice{},
		unsent:  map[string]bool{},
		hints:   newHints(o.MaxHints, o.HintLife),
		split:   Calibration{Factor: 1},
	}
}

// Adopt takes over the targets and routes of a configuration. Targets that were
// not known before warm up, except at the first adoption: then the instance is
// new, not the targets.
func (r *Router) Adopt(c *declarer.Catalogue, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	declaration := c.Declaration()
	targets := make(map[string]*target, len(declaration.Targets))
	for _, d := range declaration.Targets {
		targets[d.Name] = r.adoptTarget(d, now)
	}
	for name := range r.notices {
		if targets[name] == nil {
			delete(r.notices, name)
			delete(r.unsent, name)
		}
	}
	r.hints.keepTargets(targets)
	kvBytes := map[string]float64{}
	for _, m := range declaration.Models {
		kvBytes[m.Name] = float64(m.KVBytesPerToken)
	}
	r.targets, r.pools, r.adopted = targets, map[string]*pool{}, true
	for _, route := range declaration.Routes {
		p := &pool{route: route, kvBytes: kvBytes[route.Model]}
		for _, d := range c.TargetsOf(route) {
			p.targets = append(p.targets, targets[d.Name])
			p.splits = p.splits || d.Role == declarer.TargetRolePrefill
		}
		r.pools[route.Name] = p
	}
	r.recount(now)
}

func (r *Router) adoptTarget(d declarer.Target, now timekeeper.Millis) *target {
	t, known := r.targets[d.Name]
	if !known {
		t = &target{salt: hashName(d.Name)}
	}
	if r.adopted && (!known || t.Role != d.Role || t.URL != d.URL) {
		t.warmFrom = now
	}
	t.Target = d
	return t
}

// RouteTargets returns how many targets serve a route.
func (r *Router) RouteTargets(route string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[route]; p != nil {
		return len(p.targets)
	}
	return 0
}

// maxEpochHalfLives keeps the scale of peers' work far inside the range of float64.
const maxEpochHalfLives = 64

// decay is the factor from work scaled to the epoch to work as it counts now.
func (r *Router) decay(now timekeeper.Millis) float64 {
	return math.Exp2(-float64(now-r.epoch) / float64(r.options.PeerHalfLife))
}

// rebase moves the epoch to now when the scale has grown large.
func (r *Router) rebase(now timekeeper.Millis) {
	if now-r.epoch <= maxEpochHalfLives*r.options.PeerHalfLife {
		return
	}
	r.recount(now)
}

// recount computes the targets' sums of peers' work anew, in a fixed order so
// that rounding is the same on every run.
func (r *Router) recount(now timekeeper.Millis) {
	r.epoch = now
	for _, t := range r.targets {
		t.peers, t.heard = work{}, evidence{}
	}
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		r.apply(r.peers[name], 1)
	}
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads the bits of x (the finaliser of SplitMix64), so that close inputs give unrelated outputs.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
