package placer

import (
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// targetLatencyShare is the longest wait of a request that can meet its target
	// latency, as a share of that latency.
	targetLatencyShare = 0.8
	// remainingTimeShare is the longest wait of such a request, as a share of the remaining time.
	remainingTimeShare = 0.4
	// lowPriorityShare is the longest wait of a low-priority request, as a share of the
	// remaining time and of the time for which callers accept silence.
	lowPriorityShare = 0.6
	// maxLowPriorityLoad is the load of an engine from which it gets no more
	// low-priority requests, in multiples of its slots; engines queue a few more
	// requests than they run.
	maxLowPriorityLoad = 1.5
)

// Limits are the time limits of a request.
type Limits struct {
	TargetLatency timekeeper.Millis // Target latency; 0 is none.
	Remaining     timekeeper.Millis // The caller's remaining time.
	Silence       timekeeper.Millis // How long the caller accepts silence; 0 is not known.
	// Reserve is the share of the longest wait for prefill that is left to requests that
	// go before, and SlotReserve that of the longest wait for a slot.
	Reserve, SlotReserve float64
	// Overdue tells that requests like this one have waited so long for a start that it
	// goes first, as long as the answer is still useful.
	Overdue bool
}

// MaxWait returns the longest wait for a slot after which a request can still meet its
// target latency. The prompt's length does not count, so that long prompts are not
// disadvantaged.
func (l Limits) MaxWait() timekeeper.Millis { return l.maxWait(l.SlotReserve) }

// maxWait returns the longest wait less the reserve for other requests.
func (l Limits) maxWait(reserve float64) timekeeper.Millis {
	if l.Overdue {
		return l.LowPriorityWait()
	}
	longest := remainingTimeShare * float64(l.Remaining)
	if l.TargetLatency > 0 {
		longest = min(longest, targetLatencyShare*float64(l.TargetLatency))
	}
	return timekeeper.Millis((1 - reserve) * longest)
}

// missesTarget reports whether a request with the wait can't meet its target latency.
func (l Limits) missesTarget(wait timekeeper.Millis) bool {
	return !l.Overdue && l.TargetLatency > 0 && float64(wait) > (1-l.Reserve)*targetLatencyShare*float64(l.TargetLatency)
}

// LowPriorityWait returns the longest wait of a low-priority request.
func (l Limits) LowPriorityWait() timekeeper.Millis {
	remaining := l.Remaining
	if l.Silence > 0 {
		remaining = min(remaining, l.Silence)
	}
	return timekeeper.Millis(lowPriorityShare * float64(remaining))
}

// Verdict is the result of admission.
type Verdict int

// Verdicts.
const (
	Served   Verdict = iota // A target was chosen.
	NoTarget                // There is no target.
	TooLate                 // The answer would be too late to be useful.
)

// Admission is the decision on a request, with its prefill target.
type Admission struct {
	Verdict     Verdict
	Prefill     Choice
	LowPriority bool // The request has low priority.
	// Refused is the target at which the request would wait too long.
	Refused Choice
}

// Admit chooses the engine that prefills a prompt: one where the request can meet its
// target latency, or else one where it waits with low priority. In an overload a FIFO
// queue would make all answers late, so requests that miss their target wait behind
// all others, as long as an answer is still useful to the caller. Decodes run
// concurrently on their engine, so a request for which no engine has room is refused
// before its prompt is prefilled in vain.
func (p *Placer) Admit(candidates []tracker.Candidate, prompt Prompt, costs Costs, longRunning bool, limits Limits) Admission {
	a := Admission{LowPriority: costs.LowPriority}
	prefill, ok := p.PrefillTarget(candidates, prompt, costs)
	if !ok {
		a.Verdict = NoTarget
		return a
	}
	longest := limits.maxWait(limits.Reserve)
	if limits.missesTarget(prefill.Wait) {
		a.LowPriority = true
	}
	if a.LowPriority {
		costs.LowPriority = true
		prefill, _ = p.PrefillTarget(candidates, prompt, costs)
		longest = limits.LowPriorityWait()
	}
	a.Prefill = prefill
	if prefill.Wait > longest || a.LowPriority && prefill.Load >= maxLowPriorityLoad {
		a.Verdict, a.Refused = TooLate, prefill
		return a
	}
	if prefill.Target.Role != tracker.Prefill {
		return a
	}
	decode, ok := p.DecodeTarget(candidates, prompt, prefill.Target.DataCentre, longRunning, costs)
	switch {
	case !ok:
		a.Verdict = NoTarget
	case decode.Wait > limits.MaxWait():
		a.Verdict, a.Refused = TooLate, decode
	}
	return a
}
