package router

import (
	"slices"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// crossDataCentreMillis is added to the expected duration on a target in another data centre.
	crossDataCentreMillis = 10
	// averageRequestWeight is the weight of a request in the moving average of requests.
	averageRequestWeight = 0.05
	// maxDraws bounds the random draws that follow one of a target in its warm-up.
	maxDraws = 4
)

// candidate is a target with its load at the time of the choice.
type candidate struct {
	*target
	load             work
	weightedWorkTime float64 // Work time in milliseconds, divided by weight.
	weight           float64
}

// estimate holds what a request can expect on a candidate: cached prompt tokens,
// wait before the prefill and total duration, both in milliseconds.
type estimate struct {
	*candidate
	cached, wait, total float64
}

// Choose returns the target of one attempt and counts its work as in flight until
// the caller calls Finish.
func (r *Router) Choose(q Request, now timekeeper.Millis) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[q.Route]
	if p == nil {
		return Choice{}, ErrUnknownRoute
	}
	s := r.snapshot(p, now)
	if q.SuspectFingerprint != "" {
		return r.chooseSolo(p, q, s)
	}
	combined, ok := r.chooseTier(p, q, s, func(t *target) bool { return t.Role == declarer.TargetRoleMixed })
	if c, better := r.chooseSplit(p, q, s, combined, ok); better {
		return r.startAttempt(q, c, now), nil
	}
	if !ok {
		// A prefill or decode target serves a whole request slowly, but better than not at all.
		combined, ok = r.chooseTier(p, q, s, func(t *target) bool { return t.Role != declarer.TargetRoleMixed })
	}
	if !ok {
		return Choice{}, r.unavailableError(p, q, now)
	}
	return r.startAttempt(q, combined.choice(), now), nil
}

func (e estimate) choice() Choice {
	return Choice{Target: e.Name, URL: e.URL, CachedTokens: int(e.cached), Wait: e.wait, ExpectedTime: e.total}
}

// eligible reports whether a target may serve the request now.
func (r *Router) eligible(t *target, q Request, now timekeeper.Millis) bool {
	switch {
	case t.leaving, t.ejectedUntil > now, t.soloFingerprint != "", t.reservedUntil > now, t.holdUntil > now:
		return false
	case t.ejections > 0 && t.local.requests > 0:
		return false // One probe at a time until an ejected target has answered.
	case slices.Contains(q.Exclude, t.Name):
		return false
	}
	return t.Purchase != declarer.TargetPurchaseReclaimable || r.preemptible(t, q, now)
}

// preemptible reports whether the request may be lost with a reclaimable target:
// it can be retried, has time for that, and its workspace allows it.
func (r *Router) preemptible(t *target, q Request, now timekeeper.Millis) bool {
	if !q.Idempotent || !q.Reclaimable || len(q.Exclude) > 0 {
		return false
	}
	unloaded := t.totalTime(work{}, float64(q.PromptTokens), float64(q.OutputTokens))
	return float64(q.Deadline-now) >= 2*unloaded+float64(r.options.PreemptionSlack)
}

// tiers are groups of targets, in the order in which they are tried.
var tiers = []func(r *Router, t *target) bool{
	func(r *Router, t *target) bool {
		return t.DataCentre == r.options.DataCentre && t.Purchase == declarer.TargetPurchaseReclaimable
	},
	func(r *Router, t *target) bool { return t.DataCentre == r.options.DataCentre },
	func(r *Router, t *target) bool { return t.DataCentre != r.options.DataCentre },
}

// chooseTier picks a target for both prefill and decode: from the first tier that
// meets the deadline without queueing, otherwise the fastest of all tiers.
func (r *Router) chooseTier(p *pool, q Request, s snapshot, role func(t *target) bool) (estimate, bool) {
	var (
		best  estimate
		found bool
	)
	for i, tier := range tiers {
		group := r.candidates(p, q, s, func(t *target) bool { return role(t) && tier(r, t) })
		if len(group) == 0 {
			continue
		}
		e := r.pick(group, q, s)
		if i == len(tiers)-1 {
			e.total += crossDataCentreMillis
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

// candidates returns the eligible targets that keep accepts, in the router's buffer.
func (r *Router) candidates(p *pool, q Request, s snapshot, keep func(t *target) bool) []candidate {
	r.scratch = r.scratch[:0]
	for _, t := range p.targets {
		if !keep(t) || !r.eligible(t, q, s.now) {
			continue
		}
		c := candidate{target: t, load: r.load(t, s), weight: r.weight(t, s.now)}
		c.weightedWorkTime = t.workTime(c.load) / c.weight
		r.scratch = append(r.scratch, c)
	}
	return r.scratch
}

func (r *Router) estimate(c *candidate, q Request, now timekeeper.Millis) estimate {
	e := estimate{candidate: c, cached: r.cached(c.target, q, now), wait: c.waitTime(c.load) / c.weight}
	e.total = e.wait - c.waitTime(c.load) + c.totalTime(c.load, float64(q.PromptTokens)-e.cached, float64(q.OutputTokens))
	return e
}

// pick chooses within a group: a target with affinity to the prompt's prefix if it
// is under the load bound, otherwise the faster of two random ones. The random
// choice keeps instances with the same report from all choosing the same idle target.
func (r *Router) pick(group []candidate, q Request, s snapshot) estimate {
	mean := 0.0
	for i := range group {
		mean += group[i].weightedWorkTime
	}
	mean /= float64(len(group))
	holder := r.longestPrefixHolder(q, group, s.now)
	first, second := rendezvous(group, affinityKey(q.Prefixes))
	for _, c := range []*candidate{holder, first, second} {
		if c != nil && r.underLoadBound(c, q, mean) {
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

// underLoadBound reports whether the candidate has a free slot and, with the
// request, a work time of at most BoundedLoad times the group's mean.
func (r *Router) underLoadBound(c *candidate, q Request, mean float64) bool {
	added := c.target.workTime(work{1, float64(q.PromptTokens), float64(q.OutputTokens)})
	return c.load.requests < float64(c.Concurrency) && c.weightedWorkTime+added/c.weight <= r.options.BoundedLoad*(mean+added)
}

// draw takes a random candidate; one with a weight below 1 is accepted with that probability.
func (r *Router) draw(group []candidate, q Request, now timekeeper.Millis) estimate {
	c := &group[r.random.IntN(len(group))]
	for range maxDraws {
		if c.weight >= 1 || r.random.Float64() < c.weight {
			break
		}
		c = &group[r.random.IntN(len(group))]
	}
	return r.estimate(c, q, now)
}

// rendezvous returns the two candidates with the highest hash of key and name.
func rendezvous(group []candidate, key uint64) (first, second *candidate) {
	if key == 0 {
		return nil, nil
	}
	var high, next uint64
	for i := range group {
		c := &group[i]
		switch h := mix(key ^ c.nameHash); {
		case first == nil || h > high:
			second, next = first, high
			first, high = c, h
		case second == nil || h > next:
			second, next = c, h
		}
	}
	return first, second
}

// startAttempt counts the work of a choice as in flight and assigns its ID.
func (r *Router) startAttempt(q Request, c Choice, now timekeeper.Millis) Choice {
	r.averageRequest.prefill += averageRequestWeight * (float64(q.PromptTokens) - r.averageRequest.prefill)
	r.averageRequest.output += averageRequestWeight * (float64(q.OutputTokens) - r.averageRequest.output)
	r.nextID++
	c.ID = r.nextID
	prompt := max(float64(q.PromptTokens-c.CachedTokens), 0)
	a := attempt{choice: c, prefixes: q.Prefixes, deadline: q.Deadline, started: now, soloFingerprint: q.SuspectFingerprint}
	a.work = work{1, prompt, float64(q.OutputTokens)}
	if c.Prefill != "" {
		a.work.prefill, a.prefill = 0, work{1, prompt, 0}
		r.targets[c.Prefill].local = r.targets[c.Prefill].local.plus(a.prefill)
	}
	t := r.targets[c.Target]
	t.local = t.local.plus(a.work)
	r.inFlight[c.ID] = a
	return c
}
