package router

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Drain excludes a target from routing at once; the next deltas notify the peers.
func (r *Router) Drain(target string, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordNotice(Notice{Target: target, At: now, Leaving: true}, true)
}

// EndDrain ends the exclusion of a leaving target, which then warms up.
func (r *Router) EndDrain(target string, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The notice must be newer than the one it replaces, which may be from a clock that is ahead.
	r.recordNotice(Notice{Target: target, At: max(now, r.notices[target].At+1)}, true)
	if t := r.targets[target]; t != nil {
		t.warmUpStart = now
	}
}

// Draining reports whether a target is excluded from routing because it is leaving.
func (r *Router) Draining(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notices[target].Leaving
}

// recordNotice keeps the newest notice of a known target; of two with the same
// time, leaving wins. Deltas hold only local notices: peers send their own.
func (r *Router) recordNotice(n Notice, local bool) {
	t := r.targets[n.Target]
	if t == nil {
		return
	}
	old, known := r.notices[n.Target]
	if !known || n.At > old.At || (n.At == old.At && n.Leaving) {
		r.notices[n.Target] = n
		t.localNotice = local
		if local && t.leaving != n.Leaving {
			r.unsent[n.Target], r.urgent = true, true
		}
		t.leaving = n.Leaving
	}
}

// Capacity is the free capacity of a route's targets.
type Capacity struct {
	Targets          int     // Targets that are eligible for new requests.
	Slots            float64 // Concurrent requests, reduced for targets with a weight below 1.
	Free             float64 // Slots that no known request uses.
	PrefillPerSecond float64 // Prompt tokens per second over all targets.
	DecodePerSecond  float64 // Output tokens per second over all targets.
	PrefillQueued    float64 // Prompt tokens not yet prefilled.
}

// Capacity returns the capacity of a route for requests that need on-demand
// targets, or for preemptible requests, which may also use reclaimable ones.
func (r *Router) Capacity(route string, preemptible bool, now timekeeper.Millis) Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[route]
	if p == nil {
		return Capacity{}
	}
	s := r.snapshot(p, now)
	q := Request{Idempotent: preemptible, Reclaimable: preemptible, Deadline: now + timekeeper.Hour}
	var c Capacity
	for _, t := range p.targets {
		if !r.eligible(t, q, now) {
			continue
		}
		l, weight := r.load(t, s), r.weight(t, now)
		slots := float64(t.Concurrency) * weight
		c.Targets++
		c.Slots += slots
		c.Free += max(slots-l.requests, 0)
		c.PrefillPerSecond += t.PrefillTokensPerSecond * weight
		c.DecodePerSecond += t.DecodeTokensPerSecond * weight
		c.PrefillQueued += l.prefill
	}
	return c
}
