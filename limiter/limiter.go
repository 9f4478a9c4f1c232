// Package limiter enforces contract limits across all instances. Each instance
// admits requests up to its share of every limit; the shares follow the demand
// that the instances publish.
//
// Overshoot bound: over any span of T seconds all instances together admit at
// most OvershootFactor x limit x (T + burst), plus one request for each instance,
// which may take a bucket below zero. At any time they run at most
// OvershootFactor x limit concurrent requests plus one for each instance. The
// burst is one second for requests and tokens and one minute for spend.
//
// The bound rests on these rules. An increase of the local demand counts only
// after it must have reached every peer, while a peer's increase counts at once,
// so proportional shares never add up to more than one. If a peer is stale, that
// is, not seen for the stale timeout, an instance reports this in its record and
// falls back to the equal share, limit / instances, and so does every instance
// that receives the record. On a change between proportional and equal shares
// the smaller of both applies for a while. Requests that still run at a peer
// whose share fell are subtracted from the local share of concurrent requests.
//
// The bound assumes that records are delivered within Timing.Delivery or not at
// all. Two cases exceed it: an instance that starts adds at most limit /
// instances for the confirmation time, and concurrent requests at a stale peer
// may run on after the confirmation time, when they are no longer counted.
package limiter

import (
	"math"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// OvershootFactor is the largest sum of the shares of all instances.
const OvershootFactor = 1 + 1.0/floorDivisor

// Bounds of shares and of retry times.
const (
	// floorDivisor sets the minimum shares, which add up to a quarter of the limit,
	// so that new demand at an instance is served before its peers know of it.
	floorDivisor = 4
	// refreshInterval is the shortest time between two computations of shares.
	refreshInterval = 100 * timekeeper.Millisecond
	minRetry        = 50 * timekeeper.Millisecond
	maxRetry        = 5 * timekeeper.Minute
	// lightPressure is the total demand below which an instance whose share of a
	// small concurrency limit rounds to zero may still run one request.
	lightPressure = 0.5
)

// Dimension is the quantity that a limit bounds.
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

// Grant records the admission of one request and the amount charged. It is immutable.
type Grant struct {
	workspace  string
	charged    Amount
	limited    bool
	admittedAt timekeeper.Millis
}

// Refusal says which limit refused a request and when to try again.
type Refusal struct {
	Dimension  Dimension
	RetryAfter timekeeper.Millis
}

// Limiter admits requests under contract limits. It is safe for concurrent use.
type Limiter struct {
	mu             sync.Mutex
	self           string
	incarnation    int64
	timing         Timing
	entries        map[string]*entry
	peers          map[string]*peer
	remoteDemand   map[string]map[string]WorkspaceDemand
	instances      []string
	selfIndex      int
	published      []WorkspaceDemand
	publishedStale bool
	version        int64
	refreshedAt    timekeeper.Millis
	// hasStalePeer means that some peer was not seen for the stale timeout;
	// degraded means that this instance or a peer has a stale peer.
	hasStalePeer      bool
	degraded          bool
	degradedChangedAt timekeeper.Millis
}

// New returns the limiter of an instance that has no peers yet.
func New(now timekeeper.Millis, instance string, incarnation int64, options ...Option) *Limiter {
	l := &Limiter{
		self:              instance,
		incarnation:       incarnation,
		timing:            Timing{Period: timekeeper.Second, Delivery: timekeeper.Second},
		entries:           map[string]*entry{},
		peers:             map[string]*peer{},
		remoteDemand:      map[string]map[string]WorkspaceDemand{},
		instances:         []string{instance},
		degradedChangedAt: now,
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Admit admits a request and charges its estimated amount, or refuses it.
func (l *Limiter) Admit(now timekeeper.Millis, w declarer.Workspace, a Amount) (Grant, *Refusal) {
	return l.admit(now, w, a, true)
}

// RetryAdmission retries a refused request without counting its demand again.
func (l *Limiter) RetryAdmission(now timekeeper.Millis, w declarer.Workspace, a Amount) (Grant, *Refusal) {
	return l.admit(now, w, a, false)
}

func (l *Limiter) admit(now timekeeper.Millis, w declarer.Workspace, a Amount, countDemand bool) (Grant, *Refusal) {
	limits := limitsOf(w)
	if limits.unlimited() {
		return Grant{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateDegraded(now)
	e := l.entry(now, w.Name, limits)
	e.refill(now, l)
	if countDemand {
		e.recordLoad(now, a)
	}
	if refusal := e.refusal(a); refusal != nil {
		return Grant{}, refusal
	}
	e.charge(1, a)
	e.running++
	return Grant{workspace: w.Name, charged: a, limited: true, admittedAt: now}, nil
}

// UpdateCharge replaces the charged amount by a better estimate and returns the new grant.
func (l *Limiter) UpdateCharge(now timekeeper.Millis, g Grant, a Amount) Grant {
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

// Release ends a request that did not run and refunds all that was charged.
func (l *Limiter) Release(now timekeeper.Millis, g Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.correct(now, g, Amount{})
	if e, ok := l.entries[g.workspace]; ok && g.limited {
		e.running--
		e.charge(-1, Amount{})
	}
}

// Done ends a request that ran and replaces the charge by the amount used. Call
// Done or Release once for each grant.
func (l *Limiter) Done(now timekeeper.Millis, g Grant, used Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.correct(now, g, used)
	if e, ok := l.entries[g.workspace]; ok && g.limited {
		e.running--
		e.meanSeconds += (max(now-g.admittedAt, 0).Seconds() - e.meanSeconds) / 8
	}
}

// Len returns the number of workspaces with state.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

func (l *Limiter) entry(now timekeeper.Millis, name string, limits limits) *entry {
	e, ok := l.entries[name]
	if !ok {
		e = &entry{name: name, limits: limits, meanSeconds: 1, sharesUpdatedAt: now, refilledAt: now, decayedAt: now}
		e.updateShares(now, l)
		e.level = e.capacity()
		l.entries[name] = e
	}
	if e.limits != limits {
		e.limits = limits
		e.updateShares(now, l)
	}
	return e
}

// updateDegraded updates whether this instance or a peer has a stale peer.
func (l *Limiter) updateDegraded(now timekeeper.Millis) {
	if now < l.refreshedAt+refreshInterval && l.refreshedAt != 0 {
		return
	}
	l.refreshedAt = now
	degraded := false
	l.hasStalePeer = false
	for _, p := range l.peers {
		l.hasStalePeer = l.hasStalePeer || now-p.lastSeen > l.timing.staleTimeout()
		degraded = degraded || p.reportsStale
	}
	if degraded = degraded || l.hasStalePeer; degraded != l.degraded {
		l.degraded, l.degradedChangedAt = degraded, now
	}
}

// shareMode selects how the share of a limit is computed.
type shareMode int

const (
	proportionalShare shareMode = iota
	equalShare
	smallerShare
)

// shareMode chooses between the proportional and the equal share. A peer may
// detect the same change later, so until then the smaller share applies, in both
// directions.
func (l *Limiter) shareMode(now timekeeper.Millis) shareMode {
	age := now - l.degradedChangedAt
	switch {
	case l.degraded && age < l.timing.convergenceTime():
		return smallerShare
	case l.degraded, age < l.timing.confirmationTime():
		return equalShare
	case age < l.timing.confirmationTime()+l.timing.convergenceTime():
		return smallerShare
	default:
		return proportionalShare
	}
}

// demandShare is the instance's share of the demand for a workspace: local out of
// total, with before as the sum of the instances with smaller names.
type demandShare struct {
	before, local, total float64
	// remoteRunning is the number of running requests at all peers.
	remoteRunning int
}

func (l *Limiter) demandShare(now timekeeper.Millis, workspace string, local float64) demandShare {
	p := demandShare{local: local, total: local}
	for name, d := range l.remoteDemand[workspace] {
		p.total += d.Pressure
		if name < l.self {
			p.before += d.Pressure
		}
		if now-l.peers[name].lastSeen < l.timing.staleTimeout()+l.timing.confirmationTime() {
			p.remoteRunning += d.Running
		}
	}
	if p.total < minPressure {
		n := float64(len(l.instances))
		p.before, p.local, p.total = float64(l.selfIndex)/n, 1/n, 1
	}
	return p
}

// fraction returns the share of a limit that this instance may use.
func (l *Limiter) fraction(m shareMode, p demandShare) float64 {
	equal := 1 / float64(len(l.instances))
	fraction := equal
	switch m {
	case proportionalShare:
		fraction = p.local / p.total
	case smallerShare:
		fraction = min(equal, p.local/p.total)
	}
	return max(fraction, equal/floorDivisor)
}

// slots returns the number of concurrent requests that this instance may run.
// Each instance rounds its own interval of the limit, so the sum is exact when
// all instances have the same mode and demand.
func (l *Limiter) slots(m shareMode, p demandShare, workspace string, limit float64) int {
	n, position := float64(len(l.instances)), float64((l.selfIndex+slotRotation(workspace))%len(l.instances))
	equal := wholeSlots(limit, position/n, (position+1)/n)
	minimum := wholeSlots(max(limit/floorDivisor, 1), position/n, (position+1)/n)
	slots := equal
	switch m {
	case proportionalShare:
		slots = wholeSlots(limit, p.before/p.total, (p.before+p.local)/p.total)
	case smallerShare:
		slots = min(equal, wholeSlots(limit, p.before/p.total, (p.before+p.local)/p.total))
	}
	return max(min(slots, int(limit)-p.remoteRunning), minimum)
}

func wholeSlots(limit, from, to float64) int {
	const rounding = 1e-9
	return int(math.Floor(limit*to+rounding) - math.Floor(limit*from+rounding))
}

// slotRotation returns a hash of the workspace that spreads the remainders of
// small limits over the instances.
func slotRotation(workspace string) int {
	h := uint32(2166136261)
	for i := range len(workspace) {
		h = (h ^ uint32(workspace[i])) * 16777619
	}
	return int(h >> 1)
}
