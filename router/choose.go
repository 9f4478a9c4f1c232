package router

import (
	"slices"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// remoteMillis is added to the expected time on a target of another data centre.
	remoteMillis = 10
	// typicalWeight is the weight of a request in the running mean of requests.
	typicalWeight = 0.05
	// warmDraws bounds the draws of a random candidate while targets warm up.
	warmDraws = 4
)

// candidate is a target with its load at the moment of the choice.
type candidate struct {
	*target
	load   work
	busy   float64 // Milliseconds of work, divided by the warm-up weight.
	warmth float64
}

// estimate is what a request would meet at a candidate.
type estimate struct {
	*candidate
	cached, wait, total float64
}

// Choose picks the target for one attempt and counts its work as in flight; the
// caller ends it with Finish.
func (r *Router) Choose(q Request, now timekeeper.Millis) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[q.Route]
	if p == nil {
		return Choice{}, ErrUnknownRoute
	}
	s := r.snapshot(p, now)
	if q.Solo != "" {
		return r.chooseSolo(p, q, s)
	}
	whole, ok := r.chooseTier(p, q, s, func(t *target) bool { return t.Role == declarer.TargetRoleMixed })
	if c, better := r.chooseSplit(p, q, s, whole, ok); better {
		return r.start(q, c, now), nil
	}
	if !ok {
		// A target of another role answers slowly, which is better than not at all.
		whole, ok = r.chooseTier(p, q, s, func(t *target) bool { return t.Role != declarer.TargetRoleMixed })
	}
	if !ok {
		return Choice{}, r.unavailable(p, q, now)
	}
	return r.start(q, whole.choice(), now), nil
}

func (e estimate) choice() Choice {
	return Choice{Target: e.Name, URL: e.URL, Cached: int(e.cached), Wait: e.wait, Total: e.total}
}

// eligible reports whether a target may get the request at all.
func (r *Router) eligible(t *target, q Request, now timekeeper.Millis) bool {
	switch {
	case t.leaving, t.ejectedUntil > now, t.solo != "", t.reservedUntil > now, t.holdUntil > now:
		return false
	case t.ejections > 0 && t.own.requests > 0:
		return false // One probe at a time until an ejected target has answered.
	case slices.Contains(q.Exclude, t.Name):
		return false
	}
	return t.Purchase != declarer.TargetPurchaseReclaimable || r.harmless(t, q, now)
}

// harmless reports whether the request may be lost with a reclaimable target:
// it can be repeated, has time for that, and its workspace allows it.
func (r *Router) harmless(t *target, q Request, now timekeeper.Millis) bool {
	if !q.Idempotent || !q.Reclaimable || len(q.Exclude) > 0 {
		return false
	}
	alone := t.total(work{}, float64(q.PromptTokens), float64(q.OutputTokens))
	return float64(q.Deadline-now) >= 2*alone+float64(r.options.ReclaimNotice)
}

// tiers are the groups of targets in the order in which they are tried.
var tiers = []func(r *Router, t *target) bool{
	func(r *Router, t *target) bool {
		return t.DataCentre == r.options.DataCentre && t.Purchase == declarer.TargetPurchaseReclaimable
	},
	func(r *Router, t *target) bool { return t.DataCentre == r.options.DataCentre },
	func(r *Router, t *target) bool { return t.DataCentre != r.options.DataCentre },
}

// chooseTier picks a target for the whole request: from the first tier that can
// serve it in time without queueing, otherwise the shortest over all tiers.
func (r *Router) chooseTier(p *pool, q Request, s snapshot, role func(t *target) bool) (estimate, bool) {
	var (
		best  estimate
		found bool
	)
	for i, tier := range tiers {
		group := r.group(p, q, s, func(t *target) bool { return role(t) && tier(r, t) })
		if len(group) == 0 {
			continue
		}
		e := r.pick(group, q, s)
		if i == len(tiers)-1 {
			e.total += remoteMillis
		}
		if !found || e.total < best.total {
			// The group's buffer is reused by the next tier.
			c := *e.candidate
			e.candidate = &c
			best, found = e, true
		}
		fits := float64(s.now)+e.total <= float64(q.Deadline) && e.load.requests < float64(e.Concurrency)
		if fits && best.target == e.target {
			break
		}
	}
	return best, found
}

// group collects the eligible targets that keep accepts, in the router's buffer.
func (r *Router) group(p *pool, q Request, s snapshot, keep func(t *target) bool) []candidate {
	r.scratch = r.scratch[:0]
	for _, t := range p.targets {
		if !keep(t) || !r.eligible(t, q, s.now) {
			continue
		}
		c := candidate{target: t, load: r.load(t, s), warmth: r.warmth(t, s.now)}
		c.busy = t.busy(c.load) / c.warmth
		r.scratch = append(r.scratch, c)
	}
	return r.scratch
}

func (r *Router) estimate(c *candidate, q Request, now timekeeper.Millis) estimate {
	e := estimate{candidate: c, cached: r.cached(c.target, q, now), wait: c.wait(c.load) / c.warmth}
	e.total = e.wait - c.wait(c.load) + c.total(c.load, float64(q.PromptTokens)-e.cached, float64(q.OutputTokens))
	return e
}

// pick chooses within a group: a target with the prompt's prefix under bounded
// load, otherwise the shorter of two random ones. Random choice keeps instances
// that read the same report from all sending to the one idle target in it.
func (r *Router) pick(group []candidate, q Request, s snapshot) estimate {
	mean := 0.0
	for i := range group {
		mean += group[i].busy
	}
	mean /= float64(len(group))
	holder := r.holder(q, group, s.now)
	first, second := rendezvous(group, affineKey(q.Prefixes))
	for _, c := range []*candidate{holder, first, second} {
		if c != nil && r.underBound(c, q, mean) {
			return r.estimate(c, q, s.now)
		}
	}
	best := r.draw(group, q, s.now)
	if other := r.draw(group, q, s.now); other.total < best.total {
		best = other
	}
	if holder != nil {
		if e := r.estimate(holder, q, s.now); e.total < best.total {
			best = e
		}
	}
	return best
}

// underBound reports whether the candidate with the request stays under the
// bounded load, counted in milliseconds of work.
func (r *Router) underBound(c *candidate, q Request, mean float64) bool {
	mine := c.target.busy(work{1, float64(q.PromptTokens), float64(q.OutputTokens)})
	return c.load.requests < float64(c.Concurrency) && c.busy+mine/c.warmth <= r.options.BoundedLoad*(mean+mine)
}

// draw takes a random candidate, a target that warms up with the probability of its weight.
func (r *Router) draw(group []candidate, q Request, now timekeeper.Millis) estimate {
	c := &group[r.random.IntN(len(group))]
	for range warmDraws {
		if c.warmth >= 1 || r.random.Float64() < c.warmth {
			break
		}
		c = &group[r.random.IntN(len(group))]
	}
	return r.estimate(c, q, now)
}

// rendezvous returns the two candidates with the highest hash of key and target.
func rendezvous(group []candidate, key uint64) (first, second *candidate) {
	if key == 0 {
		return nil, nil
	}
	var high, next uint64
	for i := range group {
		c := &group[i]
		switch h := mix(key ^ c.salt); {
		case first == nil || h > high:
			second, next = first, high
			first, high = c, h
		case second == nil || h > next:
			second, next = c, h
		}
	}
	return first, second
}

// start counts the work of a choice as in flight.
func (r *Router) start(q Request, c Choice, now timekeeper.Millis) Choice {
	r.typical.prefill += typicalWeight * (float64(q.PromptTokens) - r.typical.prefill)
	r.typical.output += typicalWeight * (float64(q.OutputTokens) - r.typical.output)
	r.nextID++
	c.ID = r.nextID
	prompt := max(float64(q.PromptTokens-c.Cached), 0)
	f := flight{choice: c, prefixes: q.Prefixes, deadline: q.Deadline, started: now, solo: q.Solo}
	f.work = work{1, prompt, float64(q.OutputTokens)}
	if c.Prefill != "" {
		f.work.prefill, f.prefill = 0, work{1, prompt, 0}
		r.targets[c.Prefill].own = r.targets[c.Prefill].own.plus(f.prefill)
	}
	t := r.targets[c.Target]
	t.own = t.own.plus(f.work)
	r.flights[c.ID] = f
	return c
}
