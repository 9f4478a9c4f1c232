package relayer

import (
	"context"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// readFactor multiplies the expected time of a reading, which rests on reports of
	// other instances' work; after that another way is tried.
	readFactor = 3
	// readErrors is how many times the mean error of expected readings is waited besides.
	readErrors = 6
	// readShare is the part of the remaining time that a reading may take whatever is
	// expected, and lateReadShare that for a reading that gives way to others.
	readShare     = 0.3
	lateReadShare = 0.8
	// maxReads bounds the engines that are asked to read one prompt.
	maxReads = 2
)

// prepare chooses the target of the next attempt and has a long prompt read first.
func (p *passage) prepare(ctx context.Context) (Attempt, Refusal, bool) {
	a := Attempt{Request: p.request, Workspace: p.workspace, After: p.lastEvent, Once: !p.route.Repeatable(), Late: p.late}
	if p.memory != nil {
		if runner, ok := p.placer.Runner(p.candidates(), p.request.Prompt, p.memory.DataCentre, p.lasting(), p.costs()); ok {
			a.Memory, a.Target, a.taken, p.memory = p.memory, runner.Target, runner.Taken, nil
			return a, Refusal{}, true
		}
	}
	if !p.service.Engines || p.sends > 0 || !p.costs().Splits(p.request.Prompt) {
		return p.prepareWhole(a)
	}
	for reads := 0; reads < maxReads && ctx.Err() == nil; reads++ {
		reader, refusal, ok := p.chooseReader()
		if !ok {
			return a, refusal, false
		}
		a.Target, a.Late = reader.Target, p.late
		if reader.Target.Role != tracker.Prefill {
			return a, Refusal{}, true
		}
		if p.read(ctx, &a, reader) {
			return a, Refusal{}, true
		}
	}
	return p.prepareWhole(a)
}

// chooseReader chooses the engine that reads the prompt, or refuses the request.
func (p *passage) chooseReader() (placer.Choice, Refusal, bool) {
	admission := p.placer.Admit(p.candidates(), p.request.Prompt, p.costs(), p.lasting(), p.limits())
	p.late = admission.Late
	switch admission.Verdict {
	case placer.NoTarget:
		return admission.Reader, Refusal{ReasonNoTarget, true, p.backIn(missingReturn)}, false
	case placer.TooLate:
		refusal, ok := p.overloaded(admission.Refused)
		return admission.Reader, refusal, ok
	default:
		return admission.Reader, Refusal{}, true
	}
}

func (p *passage) prepareWhole(a Attempt) (Attempt, Refusal, bool) {
	choice, ok := p.place()
	if !ok {
		return a, Refusal{ReasonNoTarget, true, p.backIn(missingReturn)}, false
	}
	a.Target, a.Late, a.taken = choice.Target, p.late, choice.Taken
	refusal, ok := p.admitRun(choice)
	return a, refusal, ok
}

// limits returns what the request allows.
func (p *passage) limits() placer.Limits {
	return placer.Limits{Target: p.route.TargetLatency, Left: p.left(), Silence: p.route.Silence}
}

// admitRun refuses a new request that would wait too long for a place. Runs share
// their engine, and plain services know no order of requests, so answers that come
// much later than the route's target serve few callers and delay all others.
func (p *passage) admitRun(c placer.Choice) (Refusal, bool) {
	if p.sends > 0 || p.begun || c.Wait <= p.limits().InTime() {
		return Refusal{}, true
	}
	return p.overloaded(c)
}

func (p *passage) overloaded(c placer.Choice) (Refusal, bool) {
	p.lastChoice = c
	return Refusal{ReasonOverloaded, true, p.backIn(c.Wait)}, false
}

// read has the prompt read by an engine and chooses the target that goes on from its memory.
func (p *passage) read(ctx context.Context, a *Attempt, reader placer.Choice) bool {
	memory, ok := p.readAt(ctx, *a, reader)
	if !ok {
		return false
	}
	runner, ok := p.placer.Runner(p.candidates(), p.request.Prompt, memory.DataCentre, p.lasting(), p.costs())
	if !ok {
		p.Sender.Free(*a, memory)
		return false
	}
	a.Memory, a.Target, a.taken = &memory, runner.Target, runner.Taken
	return true
}

// readPatience is how long an engine may take to read before another way is tried.
func (p *passage) readPatience(c placer.Choice) timekeeper.Millis {
	if p.late {
		return timekeeper.Millis(lateReadShare * float64(p.left()))
	}
	errors := timekeeper.Millis(readErrors * p.costs().Error)
	return max(readFactor*c.Reading+errors, timekeeper.Millis(readShare*float64(p.left())))
}

func (p *passage) readAt(ctx context.Context, a Attempt, reader placer.Choice) (Memory, bool) {
	if !p.spend() {
		return Memory{}, false
	}
	target := reader.Target
	ticket := p.Tracker.Begin(target.ID, tracker.Work{Effort: reader.Effort, Late: p.late, Memory: p.request.Prompt.Input})
	if ticket == nil {
		return Memory{}, false
	}
	a.Patience = p.left()
	bounded, cancel := context.WithTimeout(ctx, p.readPatience(reader).Duration())
	defer cancel()
	begun := p.Clock.Read()
	memory, load, failure := p.Sender.Read(bounded, a)
	took := p.Clock.Read().Since(begun)
	if failure != nil {
		if failure.Outcome != tracker.Unreachable {
			p.arrivals++
		}
		p.tried[target.ID] = true
		p.lastCause = failure.Cause
		p.attemptFailed(a, failure)
		ticket.End(failure.Outcome, causeText(failure))
		return Memory{}, false
	}
	ticket.Heard(load)
	ticket.Paced(float64(took) / float64(max(reader.Reading, 1)))
	ticket.End(tracker.Answered, "")
	if !reader.Suspect {
		p.Profiler.Read(p.service.Name, profiler.Reading{Tokens: reader.Tokens, Prompt: p.request.Prompt.Input, Ahead: reader.Ahead, Took: took})
	}
	p.placer.Taken(target.ID, p.request.Prompt)
	p.Stats.Reads.Add(1)
	p.Stats.Reading.Record(took)
	p.record(recorder.PromptRead, target.ID, "", zap.Int64("milliseconds", int64(took)),
		zap.Int64("expected-wait-milliseconds", int64(reader.Wait)), zap.Int("tokens", reader.Tokens), zap.Int("effort", reader.Effort), zap.Bool("late", p.late), zap.Int64("expected-milliseconds", int64(reader.Reading)))
	return memory, true
}
