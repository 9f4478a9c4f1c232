package router

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

const (
	// soloForget frees a reservation whose caller no longer asks.
	soloForget = 2 * timekeeper.Second
	// idleRequests is the estimated load below which a target counts as idle.
	idleRequests = 0.5
)

// chooseSolo reserves a target for a suspect and returns it once it is idle; work
// of peers, of which the view may be wrong, is waited for at most SoloWait. All instances choose the target by the same rendezvous hash of
// the fingerprint, so copies of a suspect meet on one target.
func (r *Router) chooseSolo(p *pool, q Request, s snapshot) (Choice, error) {
	free := q
	free.Solo, free.Idempotent = "", false // Never on a reclaimable target: its end would count as a crash.
	var (
		best       *target
		high, held = uint64(0), 0
		key        = hashName(q.Solo)
	)
	for _, t := range p.targets {
		r.refreshSolo(t, free, s.now)
		mine := t.solo == q.Solo
		if t.solo != "" || t.reservedUntil > s.now {
			held++
		}
		if mine && t.soloRuns {
			return Choice{}, ErrNotIdle
		}
		if t.reservedUntil > s.now && t.reservedFor == q.Solo && (!mine || t.reservedBy < r.options.Instance) {
			return Choice{}, ErrNotIdle // A peer runs it; of two at once, the lower name goes first.
		}
		if !mine && !r.eligible(t, free, s.now) {
			continue
		}
		if h := mix(key ^ t.salt); best == nil || mine || (h > high && best.solo != q.Solo) {
			best, high = t, h
		}
	}
	switch {
	case best == nil && held == 0:
		return Choice{}, ErrNoTarget
	case best == nil, best.solo == "" && held >= max(1, len(p.targets)/ejectedShare):
		return Choice{}, ErrNotIdle
	case best.solo == "":
		best.solo, best.soloSince = q.Solo, s.now
	}
	best.soloSeen = s.now
	l := r.load(best, s)
	waits := l.requests > idleRequests && s.now-best.soloSince < r.options.SoloWait
	if waits || best.own.requests > 0 {
		return Choice{}, ErrNotIdle
	}
	c := candidate{target: best, load: l, warmth: 1}
	best.soloRuns = true
	return r.start(q, r.estimate(&c, q, s.now).choice(), s.now), nil
}

// refreshSolo frees a reservation whose caller no longer asks or whose target may
// get no work any more.
func (r *Router) refreshSolo(t *target, q Request, now timekeeper.Millis) {
	if t.solo == "" || t.soloRuns {
		return
	}
	fingerprint := t.solo
	t.solo = ""
	if t.soloSeen+soloForget >= now && r.eligible(t, q, now) {
		t.solo = fingerprint
	}
}
