package router

import (
	"math"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// localReservationTTL frees a reservation whose suspect is no longer passed to Choose.
	localReservationTTL = 2 * timekeeper.Second
	// holdTime keeps a target free after a suspect ended, so that the next one need
	// not wait until the target is idle again. It is longer than a delta takes to
	// reach the peers.
	holdTime = timekeeper.Second
	// soloSettleTime is the minimum age of a reservation before it is used, so that
	// two instances that reserve a target at once learn of each other. It is longer
	// than an urgent delta takes to reach the peers.
	soloSettleTime = 300 * timekeeper.Millisecond
	// holdFingerprint marks a reservation that keeps a target free for any suspect.
	holdFingerprint = "hold"
	// soloDivisor limits the targets of a pool that suspects use: to the pool's size
	// divided by it, but at least one.
	soloDivisor = 3
	// idleRequests is the maximum estimated number of requests on an idle target.
	idleRequests = 0.5
)

// chooseSolo reserves a target for a suspect and returns it once it is idle. It
// waits at most MaxSoloWait for work of peers, because the view of it may be wrong.
func (r *Router) chooseSolo(p *pool, q Request, s snapshot) (Choice, error) {
	t := r.soloTarget(p, q, s.now)
	if t == nil {
		return Choice{}, r.unavailableError(p, q, s.now)
	}
	r.expireSoloReservation(t, s.now)
	if t.soloRunning || (t.soloFingerprint != "" && t.soloFingerprint != q.SuspectFingerprint) {
		return Choice{}, ErrReserved
	}
	// Of two instances that reserve a target at once, the one with the lower name wins.
	peerReserved := t.reservedUntil > s.now && t.reservedFingerprint != holdFingerprint
	if peerReserved && (t.soloFingerprint == "" || t.reservedBy < r.options.Instance) {
		r.urgent = r.urgent || t.soloFingerprint != ""
		t.soloFingerprint = ""
		return Choice{}, ErrReserved
	}
	if t.soloFingerprint == "" {
		t.soloFingerprint, t.soloSince, r.urgent = q.SuspectFingerprint, s.now, true
	}
	t.soloRequestedAt = s.now
	reservedTime := s.now - t.soloSince
	if t.local.requests > 0 || reservedTime < soloSettleTime || (reservedTime < r.options.MaxSoloWait && !r.idle(t, s)) {
		return Choice{}, ErrReserved
	}
	c := candidate{target: t, load: r.load(t, s), weight: 1}
	t.soloRunning = true
	return r.startAttempt(q, r.estimate(&c, q, s.now).choice(), s.now), nil
}

// idle reports whether no work of peers is known on the target. It ignores the
// pool's mean, which says nothing about the load of a reserved target.
func (r *Router) idle(t *target, s snapshot) bool {
	reportWeight := math.Exp2(-float64(s.now-t.reportedAt) / float64(r.options.ReportHalfLife))
	return max(t.remote.requests*s.decay, t.reported.requests*reportWeight) <= idleRequests
}

// soloTarget returns the target on which a suspect runs. All instances use the
// same few targets of a pool and the same one for a fingerprint, so that copies of
// a suspect run on one target and an idle target is reused for the next suspect.
func (r *Router) soloTarget(p *pool, q Request, now timekeeper.Millis) *target {
	key := hashName(q.SuspectFingerprint)
	// Reclaimable targets are excluded: their withdrawal would count as a crash.
	q.SuspectFingerprint, q.Idempotent = "", false
	var shortlist []*target
	for range max(1, len(p.targets)/soloDivisor) {
		var best *target
		for _, t := range p.targets {
			if !slices.Contains(shortlist, t) && r.eligible(t.unreserved(), q, now) && (best == nil || t.nameHash > best.nameHash) {
				best = t
			}
		}
		if best != nil {
			shortlist = append(shortlist, best)
		}
	}
	var (
		chosen *target
		high   uint64
	)
	for _, t := range shortlist {
		if h := mix(key ^ t.nameHash); chosen == nil || h > high {
			chosen, high = t, h
		}
	}
	return chosen
}

// unreserved returns a copy of the target without reservations.
func (t *target) unreserved() *target {
	free := *t
	free.soloFingerprint, free.reservedUntil, free.holdUntil = "", 0, 0
	return &free
}

// expireSoloReservation frees a reservation older than localReservationTTL.
func (r *Router) expireSoloReservation(t *target, now timekeeper.Millis) {
	if t.soloFingerprint != "" && !t.soloRunning && t.soloRequestedAt+localReservationTTL < now {
		t.soloFingerprint = ""
	}
}

// reservation returns this instance's reservation of the target, for its peers.
func (t *target) reservation(now timekeeper.Millis) (Reservation, bool) {
	switch {
	case t.soloFingerprint != "":
		return Reservation{Target: t.Name, Fingerprint: t.soloFingerprint}, true
	case t.holdUntil > now:
		return Reservation{Target: t.Name, Fingerprint: holdFingerprint}, true
	default:
		return Reservation{}, false
	}
}

// unavailableError returns ErrReserved if a reservation is all that makes some
// target ineligible, otherwise ErrNoTarget.
func (r *Router) unavailableError(p *pool, q Request, now timekeeper.Millis) error {
	for _, t := range p.targets {
		if !r.eligible(t, q, now) && r.eligible(t.unreserved(), q, now) {
			return ErrReserved
		}
	}
	return ErrNoTarget
}
