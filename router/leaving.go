package router

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Leave stops new work to a target at once; the deltas spread it.
func (r *Router) Leave(target string, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notice(Notice{Target: target, At: now, Leaving: true}, true)
}

// Return lets a target that left get work again, with a warm-up.
func (r *Router) Return(target string, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The notice must be newer than the one it ends, whose clock may be ahead.
	r.notice(Notice{Target: target, At: max(now, r.notices[target].At+1)}, true)
	if t := r.targets[target]; t != nil {
		t.warmFrom = now
	}
}

// Leaving reports whether a target gets no new work because it leaves.
func (r *Router) Leaving(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notices[target].Leaving
}

// notice keeps the newest notice of a known target; of two equally new ones,
// leaving wins. Only own notices are passed on: the owner of the others does that.
func (r *Router) notice(n Notice, own bool) {
	t := r.targets[n.Target]
	if t == nil {
		return
	}
	old, known := r.notices[n.Target]
	if !known || n.At > old.At || (n.At == old.At && n.Leaving) {
		r.notices[n.Target] = n
		t.noticed = own
		if own && t.leaving != n.Leaving {
			r.unsent[n.Target], r.urgent = true, true
		}
		t.leaving = n.Leaving
	}
}

// Capacity is the free capacity of a route's targets.
type Capacity struct {
	Targets          int     // Targets that take new work.
	Slots            float64 // Requests that run at once, warm-up considered.
	Free             float64 // Slots without known work.
	PrefillPerSecond float64 // Prompt tokens per second over all targets.
	DecodePerSecond  float64 // Output tokens per second over all targets.
	PrefillQueued    float64 // Prompt tokens not yet computed.
}

// Capacity returns the capacity of a route for work that needs steady targets, or
// for harmless work, which may also use reclaimable ones.
func (r *Router) Capacity(route string, harmless bool, now timekeeper.Millis) Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[route]
	if p == nil {
		return Capacity{}
	}
	s := r.snapshot(p, now)
	q := Request{Idempotent: harmless, Reclaimable: harmless, Deadline: now + timekeeper.Hour}
	var c Capacity
	for _, t := range p.targets {
		if !r.eligible(t, q, now) {
			continue
		}
		l, warmth := r.load(t, s), r.warmth(t, now)
		slots := float64(t.Concurrency) * warmth
		c.Targets++
		c.Slots += slots
		c.Free += max(slots-l.requests, 0)
		c.PrefillPerSecond += t.PrefillTokensPerSecond * warmth
		c.DecodePerSecond += t.DecodeTokensPerSecond * warmth
		c.PrefillQueued += l.prefill
	}
	return c
}
