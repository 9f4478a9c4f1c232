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
	// prefillTimeFactor multiplies the expected time of a prefill, an estimate based on
	// load reports of other instances, to give the timeout after which another target
	// is tried.
	prefillTimeFactor = 3
	// prefillErrorFactor multiplies the mean error of that estimate, which is added to
	// the timeout.
	prefillErrorFactor = 6
	// prefillTimeoutShare is the share of the remaining time that a prefill may always
	// take. lowPriorityTimeoutShare is the share that the prefill of a low-priority
	// request may take, because it waits for others.
	prefillTimeoutShare     = 0.3
	lowPriorityTimeoutShare = 0.8
	// maxPrefills bounds the engines tried for the prefill of one request.
	maxPrefills = 2
)

// prepare chooses the target of the next attempt. A long prompt is first prefilled on
// a separate engine.
func (p *pendingRequest) prepare(ctx context.Context) (Attempt, Refusal, bool) {
	a := Attempt{Request: p.request, Workspace: p.workspace, LastEventID: p.lastEvent, AtMostOnce: !p.route.Retryable(), LowPriority: p.lowPriority}
	if p.kvCache != nil {
		if decode, ok := p.placer.DecodeTarget(p.candidates(), p.request.Prompt, p.kvCache.DataCentre, p.longRunning(), p.costs()); ok {
			a.KVCache, a.Target, a.utilization, p.kvCache = p.kvCache, decode.Target, decode.Utilization, nil
			return a, Refusal{}, true
		}
	}
	if !p.service.Engines || p.sends > 0 || !p.costs().DisaggregatesPrefill(p.request.Prompt) {
		return p.prepareSingleTarget(a)
	}
	for prefills := 0; prefills < maxPrefills && ctx.Err() == nil; prefills++ {
		if refusal, ok := p.quarantined(); ok {
			return a, refusal, false
		}
		choice, refusal, ok := p.choosePrefill()
		if !ok {
			return a, refusal, false
		}
		a.Target, a.LowPriority = choice.Target, p.lowPriority
		if choice.Target.Role != tracker.Prefill {
			return a, Refusal{}, true
		}
		if p.prefill(ctx, &a, choice) {
			return a, Refusal{}, true
		}
	}
	return p.prepareSingleTarget(a)
}

// choosePrefill chooses the engine that prefills the prompt, or refuses the request.
func (p *pendingRequest) choosePrefill() (placer.Choice, Refusal, bool) {
	admission := p.placer.Admit(p.candidates(), p.request.Prompt, p.costs(), p.longRunning(), p.limits())
	p.lowPriority = admission.LowPriority
	switch admission.Verdict {
	case placer.NoTarget:
		return admission.Prefill, p.noTarget(), false
	case placer.TooLate:
		refusal, ok := p.overloaded(admission.Refused)
		return admission.Prefill, refusal, ok
	default:
		return admission.Prefill, Refusal{}, true
	}
}

// prepareSingleTarget chooses one target for the whole request, prefill included.
func (p *pendingRequest) prepareSingleTarget(a Attempt) (Attempt, Refusal, bool) {
	choice, ok := p.chooseTarget()
	if !ok {
		return a, p.noTarget(), false
	}
	a.Target, a.LowPriority, a.utilization = choice.Target, p.lowPriority, choice.Utilization
	refusal, ok := p.admit(choice)
	return a, refusal, ok
}

// noTarget returns the refusal of a request that no target can take. If targets asked for
// a pause, the caller is told when the first of them takes requests again.
func (p *pendingRequest) noTarget() Refusal {
	if left, paused := p.Tracker.PauseLeft(p.service.Name); paused {
		return Refusal{ReasonPaused, true, left + withJitter(rejectedRetryAfter)}
	}
	if p.cutOff {
		return Refusal{ReasonUnreachable, true, p.retryAfter(rejectedRetryAfter)} // Others may reach them.
	}
	return Refusal{ReasonNoTarget, true, p.retryAfter(unavailableRetryAfter)}
}

// limits returns the time limits of the request.
func (p *pendingRequest) limits() placer.Limits {
	return placer.Limits{
		TargetLatency: p.route.TargetLatency, Remaining: p.remaining(), Silence: p.route.EventTimeout,
		Reserve: p.standing.Reserve, SlotReserve: p.standing.SlotReserve, Overdue: p.standing.Overdue,
	}
}

// admit refuses a new request that would wait too long for a slot. Requests that
// decode share their engine, and plain services don't prioritize requests, so answers
// much later than the route's target latency help few callers and delay all others.
func (p *pendingRequest) admit(c placer.Choice) (Refusal, bool) {
	if p.sends > 0 || p.begun || c.Wait <= p.limits().MaxWait() {
		return Refusal{}, true
	}
	return p.overloaded(c)
}

func (p *pendingRequest) overloaded(c placer.Choice) (Refusal, bool) {
	p.lastChoice = c
	// More urgent requests take the reserved share of the capacity that becomes free.
	wait := float64(c.Wait) / (1 - p.standing.Reserve)
	return Refusal{ReasonOverloaded, true, p.retryAfter(timekeeper.Millis(wait))}, false
}

// prefill has an engine prefill the prompt and chooses the target that decodes from its
// KV cache.
func (p *pendingRequest) prefill(ctx context.Context, a *Attempt, choice placer.Choice) bool {
	kvCache, ok := p.prefillAt(ctx, *a, choice)
	if !ok {
		return false
	}
	decode, ok := p.placer.DecodeTarget(p.candidates(), p.request.Prompt, kvCache.DataCentre, p.longRunning(), p.costs())
	if !ok {
		p.free(*a, kvCache)
		return false
	}
	a.KVCache, a.Target, a.utilization = &kvCache, decode.Target, decode.Utilization
	return true
}

// prefillTimeout returns how long a prefill may take before another target is tried.
func (p *pendingRequest) prefillTimeout(c placer.Choice) timekeeper.Millis {
	if p.lowPriority {
		return timekeeper.Millis(lowPriorityTimeoutShare * float64(p.remaining()))
	}
	errorMargin := timekeeper.Millis(prefillErrorFactor * p.costs().PrefillError)
	// Requests that arrive later and go before prolong the wait.
	expected := timekeeper.Millis(float64(c.PrefillTime) / (1 - p.standing.Reserve))
	return max(prefillTimeFactor*expected+errorMargin, timekeeper.Millis(prefillTimeoutShare*float64(p.remaining())))
}

// prefillAt has the chosen engine prefill the prompt and records the measured time.
func (p *pendingRequest) prefillAt(ctx context.Context, a Attempt, choice placer.Choice) (KVCache, bool) {
	if !p.takeRetryBudget(true) {
		return KVCache{}, false
	}
	target := choice.Target
	ticket := p.Tracker.Begin(target.ID, tracker.Work{PrefillWork: choice.PrefillWork, LowPriority: p.lowPriority, PromptTokens: p.request.Prompt.Input})
	if ticket == nil {
		return KVCache{}, false
	}
	p.startWork()
	a.Timeout, a.Urgency = p.remaining(), p.standing.Urgency
	bounded, cancel := context.WithTimeout(ctx, p.prefillTimeout(choice).Duration())
	defer cancel()
	started := p.Clock.Read()
	a = p.contact(a)
	a.sentAt = started
	a = p.watchSilence(ctx, a)
	kvCache, report, failure := p.Sender.Prefill(bounded, a)
	p.examineAfter(ctx, a, failure)
	took := p.Clock.Read().Since(started)
	if failure != nil {
		if failure.Outcome.Connected() {
			p.calls++
		}
		p.tried[target.ID] = true
		p.lastCause = failure.Cause
		p.attemptFailed(a, failure)
		p.recordReport(target, failure.Report)
		ticket.End(failure.Outcome, causeText(failure))
		p.examineDataCentre(target, failure.Outcome)
		if p.lostBeforeAnswer(failure) {
			p.suspectParts(ctx, a)
		}
		return KVCache{}, false
	}
	ticket.RecordResponse(report.Load)
	p.recordReport(target, report)
	// Behind a queue that others may pass, the time tells little of the engine's speed.
	measured := !p.urgency.Differs() || choice.QueuedWork == 0
	if measured {
		r := choice.Reference
		ticket.RecordPrefill(tracker.PrefillSample{Took: float64(took), Base: r.Base, Own: r.Own, Wait: r.Wait})
	}
	ticket.End(tracker.Answered, "")
	if !choice.Suspected && measured {
		p.Profiler.RecordPrefill(p.service.Name, profiler.Prefill{Tokens: choice.Tokens, Prompt: p.request.Prompt.Input, QueuedWork: choice.QueuedWork, Duration: took})
	}
	p.prefills++
	p.placer.RecordPrefill(target.ID, p.request.Prompt)
	p.Stats.Prefills.Add(1)
	p.Stats.Paces.Add(paceLabel(choice.Pace), 1)
	p.Stats.PrefillTime.Record(took)
	p.record(recorder.PromptPrefilled, target.ID, "", zap.Int64("milliseconds", int64(took)),
		zap.Int64("expected-wait-milliseconds", int64(choice.Wait)), zap.Int("tokens", choice.Tokens), zap.Int("effort", choice.PrefillWork), zap.Bool("late", p.lowPriority), zap.Int64("expected-milliseconds", int64(choice.PrefillTime)),
		zap.Float64("pace", choice.Pace), zap.Float64("slowness", choice.Slowness), p.standingField())
	return kvCache, true
}
