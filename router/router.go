// Package router chooses the target of a request from one instance's view: its
// own work in flight, the deltas of its peers and the targets' delayed reports.
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

// Errors returned by Choose. All of them mean that nothing was sent.
var (
	// ErrUnknownRoute means that the configuration has no route of that name.
	ErrUnknownRoute = errors.New("route does not exist")
	// ErrNoTarget means that no target of the route is eligible for the request now.
	ErrNoTarget = errors.New("no target of the route is eligible for the request")
	// ErrReserved means that a target is reserved for a suspect request and not idle yet; retry shortly.
	ErrReserved = errors.New("target is reserved for a suspect request and not idle yet")
)

// Request describes a request to Choose.
type Request struct {
	Workspace          string
	Route              string
	Prefixes           []Prefix // Prefixes of the prompt, as returned by Prefixes; may be empty.
	PromptBytes        int      // Length of the prompt that Prefixes describes.
	PromptTokens       int
	OutputTokens       int // Expected output tokens.
	Idempotent         bool
	Reclaimable        bool // Whether the workspace allows reclaimable targets.
	Deadline           timekeeper.Millis
	Exclude            []string // Targets on which this request already failed.
	SuspectFingerprint string   // Fingerprint if the request is suspected of crashing targets and must run alone; otherwise empty.
}

// Choice is the target of one attempt. Its work counts as in flight until Finish.
type Choice struct {
	ID           uint64
	Target       string
	URL          string
	Prefill      string  // Target that prefills the prompt; empty if Target does.
	CachedTokens int     // Prompt tokens expected in the prefix cache of the target that prefills.
	Wait         float64 // Expected wait before the prefill starts, in milliseconds.
	ExpectedTime float64 // Expected duration of the attempt, in milliseconds.
	Transfer     float64 // Expected duration of the KV cache transfer, in milliseconds.
}

// Router holds one instance's view of the targets. It is safe for concurrent use.
type Router struct {
	options Options

	mu                  sync.Mutex
	random              *rand.Rand
	configured          bool
	targets             map[string]*target
	pools               map[string]*pool
	inFlight            map[uint64]attempt
	nextID              uint64
	epoch               timekeeper.Millis // Reference time to which the peers' work is scaled.
	peers               map[string]Delta
	notices             map[string]Notice
	unsent              map[string]bool // Targets whose notice was in no delta yet.
	noticeOffset        int             // Position at which the resent notices start.
	hints               *hints
	transferCalibration Calibration
	scratch             []candidate
	urgent              bool // Whether the next delta holds a change that peers need at once.
	averageRequest      work // Moving average of requests, for reports without token counts.
}

type pool struct {
	route             declarer.Route
	kvBytes           float64
	hasPrefillTargets bool // Whether a target has the prefill role.
	targets           []*target
}

type attempt struct {
	choice          Choice
	work            work // Counts on the target; without the prompt if it is prefilled on a separate target.
	prefill         work // Counts on the separate prefill target.
	prefixes        []Prefix
	deadline        timekeeper.Millis
	started         timekeeper.Millis
	soloFingerprint string
}

// New returns a router without targets.
func New(o Options) *Router {
	o = o.withDefaults()
	return &Router{
		options:             o,
		random:              rand.New(rand.NewPCG(o.Seed, hashName(o.Instance))),
		targets:             map[string]*target{},
		pools:               map[string]*pool{},
		inFlight:            map[uint64]attempt{},
		peers:               map[string]Delta{},
		notices:             map[string]Notice{},
		unsent:              map[string]bool{},
		hints:               newHints(o.MaxHints, o.HintTTL),
		transferCalibration: Calibration{Factor: 1},
	}
}

// ApplyConfiguration applies the targets and routes of a configuration. Targets that
// are new, or have another role or URL than before, warm up. The first
// configuration is an exception: then the instance is new, not the targets.
func (r *Router) ApplyConfiguration(c *declarer.Catalogue, now timekeeper.Millis) {
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
	r.targets, r.pools, r.configured = targets, map[string]*pool{}, true
	for _, route := range declaration.Routes {
		p := &pool{route: route, kvBytes: kvBytes[route.Model]}
		for _, d := range c.TargetsOf(route) {
			p.targets = append(p.targets, targets[d.Name])
			p.hasPrefillTargets = p.hasPrefillTargets || d.Role == declarer.TargetRolePrefill
		}
		r.pools[route.Name] = p
	}
	r.recount(now)
}

func (r *Router) adoptTarget(d declarer.Target, now timekeeper.Millis) *target {
	t, known := r.targets[d.Name]
	if !known {
		t = &target{nameHash: hashName(d.Name)}
	}
	if r.configured && (!known || t.Role != d.Role || t.URL != d.URL) {
		t.warmUpStart = now
	}
	t.Target = d
	return t
}

// RouteTargets returns the number of targets that serve a route.
func (r *Router) RouteTargets(route string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[route]; p != nil {
		return len(p.targets)
	}
	return 0
}

// maxEpochHalfLives bounds the age of the epoch, so that scaled work stays far inside the range of float64.
const maxEpochHalfLives = 64

// decay returns the factor that converts work scaled to the epoch into work as it counts now.
func (r *Router) decay(now timekeeper.Millis) float64 {
	return math.Exp2(-float64(now-r.epoch) / float64(r.options.PeerHalfLife))
}

// rebase moves the epoch to now if it is older than maxEpochHalfLives.
func (r *Router) rebase(now timekeeper.Millis) {
	if now-r.epoch <= maxEpochHalfLives*r.options.PeerHalfLife {
		return
	}
	r.recount(now)
}

// recount moves the epoch to now and sums up the peers' deltas again, in a fixed
// order so that rounding is deterministic.
func (r *Router) recount(now timekeeper.Millis) {
	r.epoch = now
	for _, t := range r.targets {
		t.remote, t.remoteOutcomes = work{}, outcomeCounts{}
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

// mix is the finaliser of SplitMix64: similar inputs give unrelated outputs.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
