package relayer

import (
	"context"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// readSlack is how much longer than expected an engine may read before another way is tried.
	readSlack = 400 * timekeeper.Millisecond
	// readFactor multiplies the expected wait, which rests on reports of other instances' work.
	readFactor = 3
	// maxReads bounds the engines that are asked to read one prompt.
	maxReads = 2
	// queueTargets is the longest wait for a target, in multiples of the route's target
	// latency. It holds for callers that come back after a refusal too: if they might
	// wait longer, they would fill the queue at a peak and make all answers late.
	queueTargets = 0.8
	// queueShare is the longest wait as a share of the remaining time.
	queueShare = 0.4
)

// prepare chooses the target of the next attempt and has a long prompt read first.
func (p *passage) prepare(ctx context.Context) (Attempt, Refusal, bool) {
	a := Attempt{Request: p.request, Workspace: p.workspace, After: p.lastEvent, Once: !p.route.Repeatable()}
	if p.memory != nil {
		if runner, ok := p.placer.Runner(p.candidates(), p.request.Prompt, p.memory.DataCentre, p.lasting()); ok {
			a.Memory, a.Target, p.memory = p.memory, runner.Target, nil
			return a, Refusal{}, true
		}
	}
	if !p.service.Engines || !p.request.Prompt.Splits() || p.sends > 0 {
		return p.prepareWhole(a)
	}
	for reads := 0; reads < maxReads && ctx.Err() == nil; reads++ {
		reader, ok := p.placer.Reader(p.candidates(), p.request.Prompt)
		if !ok {
			break
		}
		if refusal, ok := p.admit(reader); !ok {
			return a, refusal, false
		}
		a.Target = reader.Target
		if reader.Target.Role != tracker.Prefill {
			return a, Refusal{}, true
		}
		// A prompt is read in vain if no engine has a place to go on from it.
		runner, ok := p.placer.Runner(p.candidates(), p.request.Prompt, reader.Target.DataCentre, p.lasting())
		if !ok {
			return a, Refusal{ReasonNoTarget, true, p.backIn(missingReturn)}, false
		}
		if refusal, ok := p.admit(runner); !ok {
			return a, refusal, false
		}
		if p.read(ctx, &a, reader) {
			return a, Refusal{}, true
		}
	}
	return p.prepareWhole(a)
}

func (p *passage) prepareWhole(a Attempt) (Attempt, Refusal, bool) {
	choice, ok := p.place()
	if !ok {
		return a, Refusal{ReasonNoTarget, true, p.backIn(missingReturn)}, false
	}
	a.Target = choice.Target
	refusal, ok := p.admit(choice)
	return a, refusal, ok
}

// admit refuses a new request that would wait too long.
func (p *passage) admit(c placer.Choice) (Refusal, bool) {
	if p.sends > 0 || p.begun || c.Wait <= longestWait(p.route.TargetLatency, p.left()) {
		return Refusal{}, true
	}
	return Refusal{ReasonOverloaded, true, p.backIn(c.Wait)}, false
}

// longestWait is how long a request may wait for its target. Answers that come
// much later than the route's target serve few callers and delay all that follow.
func longestWait(target, left timekeeper.Millis) timekeeper.Millis {
	longest := queueShare * float64(left)
	if target > 0 {
		longest = min(longest, queueTargets*float64(target))
	}
	return timekeeper.Millis(longest)
}

// read has the prompt read by an engine and chooses the target that goes on from its memory.
func (p *passage) read(ctx context.Context, a *Attempt, reader placer.Choice) bool {
	memory, ok := p.readAt(ctx, *a, reader)
	if !ok {
		return false
	}
	runner, ok := p.placer.Runner(p.candidates(), p.request.Prompt, memory.DataCentre, p.lasting())
	if !ok {
		p.Sender.Free(*a, memory)
		return false
	}
	a.Memory, a.Target = &memory, runner.Target
	return true
}

func (p *passage) readAt(ctx context.Context, a Attempt, reader placer.Choice) (Memory, bool) {
	if !p.spend() {
		return Memory{}, false
	}
	target := reader.Target
	ticket := p.Tracker.Begin(target.ID, tracker.Work{PromptTokens: reader.Tokens})
	if ticket == nil {
		return Memory{}, false
	}
	a.Patience = p.left()
	bounded, cancel := context.WithTimeout(ctx, (reader.Wait*readFactor + readSlack).Duration())
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
	p.placer.Taken(target.ID, p.request.Prompt)
	p.Stats.Reads.Add(1)
	p.Stats.Reading.Record(took)
	p.record(recorder.PromptRead, target.ID, "", zap.Int64("milliseconds", int64(took)),
		zap.Int64("expected-wait-milliseconds", int64(reader.Wait)), zap.Int("tokens", reader.Tokens), zap.Int64("expected-milliseconds", int64(reader.Reading)))
	return memory, true
}
