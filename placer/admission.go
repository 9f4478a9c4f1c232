package placer

import (
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// queueTargets is the longest wait of a request that is to be in time, in multiples
	// of its target latency.
	queueTargets = 0.8
	// queueShare is the longest wait of such a request as a share of the remaining time.
	queueShare = 0.4
	// lateShare is the part of the remaining time, and of the time for which callers
	// bear silence, in which a late answer has to begin.
	lateShare = 0.6
	// queuedPlaces bounds the requests at an engine that a late one may join, in
	// multiples of its places; engines queue a few more requests than they run.
	queuedPlaces = 1.5
)

// Limits are what a request allows.
type Limits struct {
	Target  timekeeper.Millis // Target latency; 0 is none.
	Left    timekeeper.Millis // The caller's remaining time.
	Silence timekeeper.Millis // How long the caller bears silence; 0 is not known.
}

// InTime returns the longest wait after which a request can still be in time. Its own
// length does not count: long prompts are not put last.
func (l Limits) InTime() timekeeper.Millis {
	longest := queueShare * float64(l.Left)
	if l.Target > 0 {
		longest = min(longest, queueTargets*float64(l.Target))
	}
	return timekeeper.Millis(longest)
}

// Late returns the longest wait of a request that gives way to others.
func (l Limits) Late() timekeeper.Millis {
	left := l.Left
	if l.Silence > 0 {
		left = min(left, l.Silence)
	}
	return timekeeper.Millis(lateShare * float64(left))
}

// Verdict is what becomes of a request.
type Verdict int

// Verdicts.
const (
	Served   Verdict = iota // The target is chosen.
	NoTarget                // There is none.
	TooLate                 // An answer would come too late to be of use.
)

// Admission is where a prompt is read and where its run goes on.
type Admission struct {
	Verdict Verdict
	Reader  Choice
	Late    bool // It gives way to requests that can be in time.
	// Refused is the target for which the request would wait too long.
	Refused Choice
}

// Admit chooses the engine that reads a prompt: one where the request is in time, or
// else one where it gives way to those that can be. It answers an overload in which a
// queue in the order of arrival would make all answers late: who is late waits behind
// all others, as long as the caller still gains from an answer. Runs share their
// engine, so a request for which no engine has room is refused before its prompt is
// read in vain.
func (p *Placer) Admit(candidates []tracker.Candidate, prompt Prompt, costs Costs, lasting bool, limits Limits) Admission {
	a := Admission{Late: costs.Late}
	reader, ok := p.Reader(candidates, prompt, costs)
	if !ok {
		a.Verdict = NoTarget
		return a
	}
	longest := limits.InTime()
	if limits.Target > 0 && float64(reader.Wait) > queueTargets*float64(limits.Target) {
		a.Late = true
	}
	if a.Late {
		costs.Late = true
		reader, _ = p.Reader(candidates, prompt, costs)
		longest = limits.Late()
	}
	a.Reader = reader
	if reader.Wait > longest || a.Late && reader.Load >= queuedPlaces {
		a.Verdict, a.Refused = TooLate, reader
		return a
	}
	if reader.Target.Role != tracker.Prefill {
		return a
	}
	runner, ok := p.Runner(candidates, prompt, reader.Target.DataCentre, lasting, costs)
	switch {
	case !ok:
		a.Verdict = NoTarget
	case runner.Wait > limits.InTime():
		a.Verdict, a.Refused = TooLate, runner
	}
	return a
}
