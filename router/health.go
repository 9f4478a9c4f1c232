package router

import (
	"sort"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// minFailures is the number of failed attempts that an ejection requires.
	minFailures = 3
	// ejectedDivisor limits the ejected targets of a pool: to the pool's size divided by it.
	ejectedDivisor = 3
	// maxEjectionDoublings bounds how often the length of repeated ejections doubles.
	maxEjectionDoublings = 3
	// abandonedAfter is the time after its deadline when an attempt without Finish no longer counts.
	abandonedAfter = 60 * timekeeper.Second
)

// Result is the result of an attempt, as it affects the health of its target.
type Result int

// Results of an attempt.
const (
	Answered  Result = iota // The target answered, even if it rejected the request.
	Failed                  // The target failed: no connection, a broken stream or a server error.
	Cancelled               // The attempt ended for a reason that says nothing about the target.
)

// Change is the effect of an attempt's outcome on its target's health.
type Change int

// Changes of a target's health.
const (
	Unchanged Change = iota
	Ejected          // The target gets no requests until the ejection ends.
	Restored         // An ejected target answered a request and warms up again.
)

// Outcome is the result of an attempt and what was measured.
type Outcome struct {
	Result       Result
	CachedTokens int     // Prompt tokens that the target had in its prefix cache; -1 if unknown.
	Transfer     float64 // Duration of the KV cache transfer, in milliseconds; 0 if there was none.
}

type outcomeCounts struct {
	start              timekeeper.Millis
	attempts, failures int
}

// recentOutcomes counts the attempts of this instance and its peers within OutcomeWindow.
func (r *Router) recentOutcomes(t *target, now timekeeper.Millis) outcomeCounts {
	var e outcomeCounts
	for _, part := range []outcomeCounts{t.localOutcomes, t.remoteOutcomes} {
		if now-part.start <= r.options.OutcomeWindow {
			e.attempts += part.attempts
			e.failures += part.failures
		}
	}
	return e
}

// PrefillDone records the end of an attempt's prefill, usually at its first token.
func (r *Router) PrefillDone(id uint64, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.inFlight[id]
	if !ok {
		return
	}
	r.removeWork(a.choice.Target, work{prefill: a.work.prefill})
	r.removeWork(a.choice.Prefill, a.prefill)
	a.work.prefill, a.prefill = 0, work{}
	r.inFlight[id] = a
	r.recordPrefixes(a, now)
}

// recordPrefixes adds hints that the attempt's target has cached the prompt's prefixes.
func (r *Router) recordPrefixes(a attempt, now timekeeper.Millis) {
	holder := a.choice.Target
	if a.choice.Prefill != "" {
		holder = a.choice.Prefill
	}
	for _, p := range a.prefixes {
		r.hints.put(p.Digest, holder, now, true)
	}
}

// Finish ends an attempt: its work no longer counts as in flight, and its outcome
// counts for the health of its target. It returns the effect on the target.
func (r *Router) Finish(id uint64, o Outcome, now timekeeper.Millis) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.inFlight[id]
	if !ok {
		return Unchanged
	}
	r.endAttempt(id, a, now)
	if o.Transfer > 0 && a.choice.Transfer > 0 {
		r.transferCalibration = r.transferCalibration.observe(a.choice.Transfer, o.Transfer)
	}
	t := r.targets[a.choice.Target]
	if t == nil || o.Result == Cancelled {
		return Unchanged
	}
	if o.Result == Answered {
		r.recordPrefixes(a, now)
	}
	return r.recordOutcome(t, o.Result == Failed, now)
}

func (r *Router) endAttempt(id uint64, a attempt, now timekeeper.Millis) {
	delete(r.inFlight, id)
	r.removeWork(a.choice.Target, a.work)
	r.removeWork(a.choice.Prefill, a.prefill)
	if t := r.targets[a.choice.Target]; t != nil && a.soloFingerprint != "" && t.soloFingerprint == a.soloFingerprint {
		t.soloFingerprint, t.soloRunning, t.holdUntil = "", false, now+holdTime
		r.urgent = true
	}
}

func (r *Router) removeWork(name string, w work) {
	if t := r.targets[name]; t != nil {
		t.local = t.local.minus(w)
	}
}

// recordOutcome counts an attempt and ejects its target if at least half of the recent attempts failed.
func (r *Router) recordOutcome(t *target, failed bool, now timekeeper.Millis) Change {
	if !failed && t.ejections > 0 && t.ejectedUntil <= now {
		t.ejections, t.localOutcomes, t.warmUpStart = 0, outcomeCounts{}, now
		return Restored
	}
	if now-t.localOutcomes.start > r.options.OutcomeWindow && t.ejections == 0 {
		t.localOutcomes = outcomeCounts{start: now}
	}
	t.localOutcomes.attempts++
	if !failed {
		return Unchanged
	}
	t.localOutcomes.failures++
	e := r.recentOutcomes(t, now)
	if t.ejections > 0 {
		e = t.localOutcomes // A failed probe counts with the failures before the ejection, however old.
	}
	enough := e.failures >= minFailures && 2*e.failures >= e.attempts
	if !enough || t.ejectedUntil > now || !r.mayEject(t, now) {
		return Unchanged
	}
	t.ejectedUntil = now + r.options.EjectionTime<<min(t.ejections, maxEjectionDoublings)
	t.ejections++
	return Ejected
}

// mayEject reports whether at most a third of each pool of t would then be ejected.
func (r *Router) mayEject(t *target, now timekeeper.Millis) bool {
	for _, p := range r.pools {
		ejected, member := 1, false
		for _, other := range p.targets {
			member = member || other == t
			if other != t && other.ejectedUntil > now {
				ejected++
			}
		}
		if member && ejected*ejectedDivisor > len(p.targets) {
			return false
		}
	}
	return true
}

// Ejected returns the names of the ejected targets, sorted.
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

// expireAttempts ends attempts for which Finish was never called, so that memory stays bounded.
func (r *Router) expireAttempts(now timekeeper.Millis) {
	for id, a := range r.inFlight {
		if now > a.deadline+abandonedAfter && now > a.started+abandonedAfter {
			r.endAttempt(id, a, now)
		}
	}
}
