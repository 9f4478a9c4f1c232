package router

import (
	"math"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// soloForget frees a reservation whose caller no longer asks.
	soloForget = 2 * timekeeper.Second
	// soloHold keeps a target free after a suspect ended: the next one need not
	// wait until it is idle again. It is longer than news takes to reach the peers.
	soloHold = timekeeper.Second
	// soloSettle is how long a reservation must stand before it is used, so that
	// of two instances that reserve a target at once both know it. It is longer
	// than an urgent delta takes.
	soloSettle = 300 * timekeeper.Millisecond
	// holdMark stands for no suspect in a reservation.
	holdMark = "hold"
	// soloShare is the largest share of a pool that suspects use, as a divisor.
	soloShare = 3
	// idleRequests is the estimated load below which a target counts as idle.
	idleRequests = 0.5
)

// chooseSolo reserves a target for a suspect and returns it once it is idle; work
// of peers, of which the view may be wrong, is waited for at most SoloWait.
func (r *Router) chooseSolo(p *pool, q Request, s snapshot) (Choice, error) {
	t := r.soloTarget(p, q, s.now)
	if t == nil {
		return Choice{}, r.unavailable(p, q, s.now)
	}
	r.forgetSolo(t, s.now)
	if t.soloRuns || (t.solo != "" && t.solo != q.Solo) {
		return Choice{}, ErrNotIdle
	}
	// Of two instances that reserve a target at once, the lower name goes first.
	peer := t.reservedUntil > s.now && t.reservedFor != holdMark
	if peer && (t.solo == "" || t.reservedBy < r.options.Instance) {
		r.urgent = r.urgent || t.solo != ""
		t.solo = ""
		return Choice{}, ErrNotIdle
	}
	if t.solo == "" {
		t.solo, t.soloSince, r.urgent = q.Solo, s.now, true
	}
	t.soloSeen = s.now
	stood := s.now - t.soloSince
	if t.own.requests > 0 || stood < soloSettle || (stood < r.options.SoloWait && !r.idle(t, s)) {
		return Choice{}, ErrNotIdle
	}
	c := candidate{target: t, load: r.load(t, s), warmth: 1}
	t.soloRuns = true
	return r.start(q, r.estimate(&c, q, s.now).choice(), s.now), nil
}

// idle reports whether no work of peers is known on the target. The pool's mean,
// to which stale reports tend otherwise, says nothing about a reserved target.
func (r *Router) idle(t *target, s snapshot) bool {
	fresh := math.Exp2(-float64(s.now-t.reportAt) / float64(r.options.ReportLag))
	return max(t.peers.requests*s.decay, t.reported.requests*fresh) <= idleRequests
}

// soloTarget returns the target on which a suspect runs. All instances take the
// same few targets of a pool and the same one for a fingerprint, so that copies of
// a suspect meet on one target and a target that is idle serves the next suspect.
func (r *Router) soloTarget(p *pool, q Request, now timekeeper.Millis) *target {
	key := hashName(q.Solo)
	// Never on a reclaimable target: its end would count as a crash.
	q.Solo, q.Idempotent = "", false
	var few []*target
	for range max(1, len(p.targets)/soloShare) {
		var best *target
		for _, t := range p.targets {
			if !slices.Contains(few, t) && r.eligible(t.unreserved(), q, now) && (best == nil || t.salt > best.salt) {
				best = t
			}
		}
		if best != nil {
			few = append(few, best)
		}
	}
	var (
		chosen *target
		high   uint64
	)
	for _, t := range few {
		if h := mix(key ^ t.salt); chosen == nil || h > high {
			chosen, high = t, h
		}
	}
	return chosen
}

// unreserved returns the target as it would be without reservations.
func (t *target) unreserved() *target {
	free := *t
	free.solo, free.reservedUntil, free.holdUntil = "", 0, 0
	return &free
}

// forgetSolo frees a reservation whose caller no longer asks.
func (r *Router) forgetSolo(t *target, now timekeeper.Millis) {
	if t.solo != "" && !t.soloRuns && t.soloSeen+soloForget < now {
		t.solo = ""
	}
}

// reservation returns what peers must know of the target's reservation.
func (t *target) reservation(now timekeeper.Millis) (Reservation, bool) {
	switch {
	case t.solo != "":
		return Reservation{Target: t.Name, Fingerprint: t.solo}, true
	case t.holdUntil > now:
		return Reservation{Target: t.Name, Fingerprint: holdMark}, true
	default:
		return Reservation{}, false
	}
}

// unavailable is ErrNotIdle if a target is only reserved for a suspect, otherwise ErrNoTarget.
func (r *Router) unavailable(p *pool, q Request, now timekeeper.Millis) error {
	for _, t := range p.targets {
		if !r.eligible(t, q, now) && r.eligible(t.unreserved(), q, now) {
			return ErrNotIdle
		}
	}
	return ErrNoTarget
}
