// Package limiter holds contract limits over all instances: each instance admits
// a share of every limit that follows the demand which peers publish.
//
// Overshoot bound: over any span of T seconds all instances together admit at
// most Overshoot x limit x (T + burst), plus one request for each instance,
// which may go into debt. At any time they run at most Overshoot x limit
// concurrent requests plus one for each instance. The burst is one second for
// requests and tokens and one minute for spend.
//
// The bound rests on these rules. A rise of an instance's own demand counts only
// after it must have reached every peer, while a peer's rise counts at once, so
// proportional shares never add up to more than one. An instance that does not
// hear a known peer says so and falls back to limit / known instances, and so
// does every instance that hears this. A change between the two kinds of share
// passes through the smaller of both. Requests that still run at a peer whose
// share fell are taken off the own share of concurrent requests.
//
// The bound holds while a record that arrives does so within Timing.Delivery.
// Beyond it are an instance that starts, which adds at most limit / known
// instances for the hold time, and concurrent requests that outlast the hold
// time of a peer's silence, because their end is not heard.
package limiter

import (
	"math"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Overshoot is the most that the shares of all instances add up to.
const Overshoot = 1 + 1.0/floorDivisor

// Bounds of shares and of retry times.
const (
	// floorDivisor: the floors of all instances add up to a quarter of the limit,
	// so that demand which appears at an instance is served before peers know it.
	floorDivisor = 4
	// refreshEvery bounds how often shares are computed again.
	refreshEvery = 100 * timekeeper.Millisecond
	minRetry     = 50 * timekeeper.Millisecond
	maxRetry     = 5 * timekeeper.Minute
	// lightPressure is the known demand below which an instance whose share of a
	// small concurrency limit rounds to none may still run one request.
	lightPressure = 0.5
)

// Dimension names what a limit counts.
type Dimension string

// Dimensions of limits.
const (
	Requests   Dimension = "requests-per-second"
	Tokens     Dimension = "tokens-per-second"
	Spend      Dimension = "spend-ceiling-per-hour"
	Concurrent Dimension = "concurrent-requests"
)

// Amount is what one request uses of the limits.
type Amount struct {
	// Tokens are prompt and output tokens.
	Tokens float64
	// Spend is target cost, in the currency of the spend ceilings.
	Spend float64
}

// Grant is the permission for one request and what was charged for it. It is immutable.
type Grant struct {
	workspace string
	charged   Amount
	limited   bool
	at        timekeeper.Millis
}

// Refusal says which limit refused a request and when to try again.
type Refusal struct {
	Dimension  Dimension
	RetryAfter timekeeper.Millis
}

// Limiter admits requests under contract limits. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	self        string
	incarnation int64
	timing      Timing
	entries     map[string]*entry
	peers       map[string]*peer
	demands     map[string]map[string]WorkspaceDemand
	known       []string
	index       int
	published   []WorkspaceDemand
	complained  bool
	version     int64
	refreshed   timekeeper.Millis
	// deaf tells that a known peer is not heard; silent that this instance or one
	// that it hears is deaf, since the time given.
	deaf   bool
	silent bool
	since  timekeeper.Millis
}

// New returns a limiter of an instance that knows no other instance yet.
func New(now timekeeper.Millis, instance string, incarnation int64, options ...Option) *Limiter {
	l := &Limiter{
		self:        instance,
		incarnation: incarnation,
		timing:      Timing{Period: timekeeper.Second, Delivery: timekeeper.Second},
		entries:     map[string]*entry{},
		peers:       map[string]*peer{},
		demands:     map[string]map[string]WorkspaceDemand{},
		known:       []string{instance},
		since:       now,
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Admit charges a request with its estimated amount, or refuses it.
func (l *Limiter) Admit(now timekeeper.Millis, w declarer.Workspace, a Amount) (Grant, *Refusal) {
	return l.admit(now, w, a, true)
}

// Readmit asks again for a request that was refused; its demand counts only once.
func (l *Limiter) Readmit(now timekeeper.Millis, w declarer.Workspace, a Amount) (Grant, *Refusal) {
	return l.admit(now, w, a, false)
}

func (l *Limiter) admit(now timekeeper.Millis, w declarer.Workspace, a Amount, first bool) (Grant, *Refusal) {
	limits := limitsOf(w)
	if limits.none() {
		return Grant{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	e := l.entry(now, w.Name, limits)
	e.refill(now, l)
	if first {
		e.offer(now, a)
	}
	if refusal := e.refuse(a); refusal != nil {
		return Grant{}, refusal
	}
	e.charge(1, a)
	e.running++
	return Grant{workspace: w.Name, charged: a, limited: true, at: now}, nil
}

// Correct replaces the charged amount by a better estimate and returns the new grant.
func (l *Limiter) Correct(now timekeeper.Millis, g Grant, a Amount) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.correct(now, g, a)
}

func (l *Limiter) correct(now timekeeper.Millis, g Grant, a Amount) Grant {
	e, ok := l.entries[g.workspace]
	if !g.limited || !ok {
		return g
	}
	e.refill(now, l)
	e.charge(0, Amount{Tokens: a.Tokens - g.charged.Tokens, Spend: a.Spend - g.charged.Spend})
	g.charged = a
	return g
}

// Release ends a request that did not run; nothing of it stays charged.
func (l *Limiter) Release(now timekeeper.Millis, g Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.correct(now, g, Amount{})
	if e, ok := l.entries[g.workspace]; ok && g.limited {
		e.running--
		e.charge(-1, Amount{})
	}
}

// Done ends a request that ran: the charge becomes what it really used. Call it
// or Release once for each grant.
func (l *Limiter) Done(now timekeeper.Millis, g Grant, used Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.correct(now, g, used)
	if e, ok := l.entries[g.workspace]; ok && g.limited {
		e.running--
		e.held += (max(now-g.at, 0).Seconds() - e.held) / 8
	}
}

// Len returns the number of workspaces that are kept.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

func (l *Limiter) entry(now timekeeper.Millis, name string, limits limits) *entry {
	e, ok := l.entries[name]
	if !ok {
		e = &entry{name: name, limits: limits, held: 1, computed: now, filled: now, counted: now}
		e.share(now, l)
		e.level = e.capacity()
		l.entries[name] = e
	}
	if e.limits != limits {
		e.limits = limits
		e.share(now, l)
	}
	return e
}

// refresh notes whether some instance does not hear a known one.
func (l *Limiter) refresh(now timekeeper.Millis) {
	if now < l.refreshed+refreshEvery && l.refreshed != 0 {
		return
	}
	l.refreshed = now
	silent := false
	l.deaf = false
	for _, p := range l.peers {
		l.deaf = l.deaf || now-p.heard > l.timing.silence()
		silent = silent || p.silence
	}
	if silent = silent || l.deaf; silent != l.silent {
		l.silent, l.since = silent, now
	}
}

// view says which share is in force.
type view int

const (
	proportional view = iota
	safe
	smaller
)

// view chooses between the proportional and the safe share. A peer may notice the
// same change later, so both changes pass through the smaller share meanwhile.
func (l *Limiter) view(now timekeeper.Millis) view {
	age := now - l.since
	switch {
	case l.silent && age < l.timing.settle():
		return smaller
	case l.silent, age < l.timing.hold():
		return safe
	case age < l.timing.hold()+l.timing.settle():
		return smaller
	default:
		return proportional
	}
}

// portion is an instance's part of all known demand for a workspace: own of
// total, after the instances with smaller names, which have before.
type portion struct {
	before, own, total float64
	// running are the requests at all peers.
	running int
}

func (l *Limiter) portion(now timekeeper.Millis, workspace string, own float64) portion {
	p := portion{own: own, total: own}
	for name, d := range l.demands[workspace] {
		p.total += d.Pressure
		if name < l.self {
			p.before += d.Pressure
		}
		if now-l.peers[name].heard < l.timing.silence()+l.timing.hold() {
			p.running += d.Running
		}
	}
	if p.total < minPressure {
		n := float64(len(l.known))
		p.before, p.own, p.total = float64(l.index)/n, 1/n, 1
	}
	return p
}

// fraction returns the share of a limit that this instance may use.
func (l *Limiter) fraction(v view, p portion) float64 {
	equal := 1 / float64(len(l.known))
	fraction := equal
	switch v {
	case proportional:
		fraction = p.own / p.total
	case smaller:
		fraction = min(equal, p.own/p.total)
	}
	return max(fraction, equal/floorDivisor)
}

// slots returns the whole number of concurrent requests that this instance may
// run. Each instance rounds its own stretch of the limit, so the sum is exact
// when all hold the same view.
func (l *Limiter) slots(v view, p portion, workspace string, limit float64) int {
	n, at := float64(len(l.known)), float64((l.index+rotation(workspace))%len(l.known))
	equal := stretch(limit, at/n, (at+1)/n)
	least := stretch(max(limit/floorDivisor, 1), at/n, (at+1)/n)
	slots := equal
	switch v {
	case proportional:
		slots = stretch(limit, p.before/p.total, (p.before+p.own)/p.total)
	case smaller:
		slots = min(equal, stretch(limit, p.before/p.total, (p.before+p.own)/p.total))
	}
	return max(min(slots, int(limit)-p.running), least)
}

func stretch(limit, from, to float64) int {
	const rounding = 1e-9
	return int(math.Floor(limit*to+rounding) - math.Floor(limit*from+rounding))
}

// rotation spreads the remainders of small limits over the instances.
func rotation(workspace string) int {
	h := uint32(2166136261)
	for i := range len(workspace) {
		h = (h ^ uint32(workspace[i])) * 16777619
	}
	return int(h >> 1)
}
