package router

import (
	"sort"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// minEvidence is how many attempts must have failed before an ejection.
	minEvidence = 3
	// ejectedShare is the largest share of a pool that may be ejected, as a divisor.
	ejectedShare = 3
	// maxEjectDoublings bounds the growth of repeated ejections.
	maxEjectDoublings = 3
	// lostFlightMillis is how long past its deadline work without Finish still counts.
	lostFlightMillis = 60 * timekeeper.Second
)

// Result is how an attempt ended, as evidence on its target.
type Result int

// Results of an attempt.
const (
	Answered  Result = iota // The target answered, also with a refusal of the request itself.
	Failed                  // The target failed: no connection, a broken stream or a server error.
	Cancelled               // The attempt ended for a reason that says nothing about the target.
)

// Change is what an attempt's outcome changed for its target.
type Change int

// Changes of a target.
const (
	Unchanged Change = iota
	Ejected          // The target gets no work for a while.
	Restored         // A target that was ejected answered and warms up again.
)

// Outcome is what an attempt measured.
type Outcome struct {
	Result       Result
	CachedTokens int     // Prompt tokens that the target took from its cache; -1 when unknown.
	Transfer     float64 // Measured KV cache transfer, in milliseconds; 0 when there was none.
}

type evidence struct {
	start              timekeeper.Millis
	attempts, failures int
}

// evidence returns the recent attempts of this instance and its peers.
func (r *Router) evidence(t *target, now timekeeper.Millis) evidence {
	var e evidence
	for _, part := range []evidence{t.evidence, t.heard} {
		if now-part.start <= r.options.EvidenceWindow {
			e.attempts += part.attempts
			e.failures += part.failures
		}
	}
	return e
}

// Computed notes that an attempt's prompt is computed, usually at its first token.
func (r *Router) Computed(id uint64, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flights[id]
	if !ok {
		return
	}
	r.drop(f.choice.Target, work{prefill: f.work.prefill})
	r.drop(f.choice.Prefill, f.prefill)
	f.work.prefill, f.prefill = 0, work{}
	r.flights[id] = f
	r.stored(f, now)
}

// stored remembers where the prompt's prefixes are cached now.
func (r *Router) stored(f flight, now timekeeper.Millis) {
	holder := f.choice.Target
	if f.choice.Prefill != "" {
		holder = f.choice.Prefill
	}
	for _, p := range f.prefixes {
		r.hints.put(p.Digest, holder, now, true)
	}
}

// Finish ends an attempt: its work no longer counts and its outcome is evidence.
// It returns what that changed for the target.
func (r *Router) Finish(id uint64, o Outcome, now timekeeper.Millis) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flights[id]
	if !ok {
		return Unchanged
	}
	r.end(id, f, now)
	if o.Transfer > 0 && f.choice.Transfer > 0 {
		r.split = r.split.observe(f.choice.Transfer, o.Transfer)
	}
	t := r.targets[f.choice.Target]
	if t == nil || o.Result == Cancelled {
		return Unchanged
	}
	if o.Result == Answered {
		r.stored(f, now)
	}
	return r.weigh(t, o.Result == Failed, now)
}

func (r *Router) end(id uint64, f flight, now timekeeper.Millis) {
	delete(r.flights, id)
	r.drop(f.choice.Target, f.work)
	r.drop(f.choice.Prefill, f.prefill)
	if t := r.targets[f.choice.Target]; t != nil && f.solo != "" && t.solo == f.solo {
		t.solo, t.soloRuns, t.holdUntil = "", false, now+soloHold
		r.urgent = true
	}
}

func (r *Router) drop(name string, w work) {
	if t := r.targets[name]; t != nil {
		t.own = t.own.minus(w)
	}
}

// weigh adds an attempt to the evidence on a target and ejects it when most recent attempts failed.
func (r *Router) weigh(t *target, failed bool, now timekeeper.Millis) Change {
	if !failed && t.ejections > 0 && t.ejectedUntil <= now {
		t.ejections, t.evidence, t.warmFrom = 0, evidence{}, now
		return Restored
	}
	if now-t.evidence.start > r.options.EvidenceWindow && t.ejections == 0 {
		t.evidence = evidence{start: now}
	}
	t.evidence.attempts++
	if !failed {
		return Unchanged
	}
	t.evidence.failures++
	e := r.evidence(t, now)
	if t.ejections > 0 {
		e = t.evidence // A failed probe adds to the evidence of the ejection, however old.
	}
	enough := e.failures >= minEvidence && 2*e.failures >= e.attempts
	if !enough || t.ejectedUntil > now || !r.mayEject(t, now) {
		return Unchanged
	}
	t.ejectedUntil = now + r.options.EjectFor<<min(t.ejections, maxEjectDoublings)
	t.ejections++
	return Ejected
}

// mayEject keeps the ejected targets of every pool of t to at most a third.
func (r *Router) mayEject(t *target, now timekeeper.Millis) bool {
	for _, p := range r.pools {
		out, member := 1, false
		for _, other := range p.targets {
			member = member || other == t
			if other != t && other.ejectedUntil > now {
				out++
			}
		}
		if member && out*ejectedShare > len(p.targets) {
			return false
		}
	}
	return true
}

// Ejected returns the names of the targets that are ejected, in order.
func (r *Router) Ejected(now timekeeper.Millis) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, t := range r.targets {
		if t.ejectedUntil > now {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// expire drops work whose caller never called Finish, so that memory stays bounded.
func (r *Router) expire(now timekeeper.Millis) {
	for id, f := range r.flights {
		if now > f.deadline+lostFlightMillis && now > f.started+lostFlightMillis {
			r.end(id, f, now)
		}
	}
}
