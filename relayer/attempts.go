package relayer

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// maxUnreachable bounds the unreachable targets tried for one request; nothing was
	// sent to any of them.
	maxUnreachable = 4
	// maxRefusing is the same while all of them refuse the connection at once and others
	// have not been tried: crashed engines look idle, so they are chosen first.
	maxRefusing = 32
	// unreachableTimeShare is the share of the request's time that such attempts may take.
	unreachableTimeShare = 0.05
)

var (
	errTargetUntracked = errors.New("target is no longer known or takes no requests")
	errTargetFailed    = errors.New("target answered with a failure")
)

// attemptUntilAnswered makes attempts until the caller has its final answer.
func (p *pendingRequest) attemptUntilAnswered(ctx context.Context) {
	for {
		a, refusal, ok := p.prepare(ctx)
		if !ok {
			p.fail(ctx, refusal)
			return
		}
		if p.mayOutlast() {
			p.kvCache = a.KVCache
			p.fail(ctx, p.leaving())
			return
		}
		if refusal, ok := p.quarantined(); ok { // The verdict may be newer than the last attempt.
			p.kvCache = a.KVCache
			p.fail(ctx, refusal)
			return
		}
		failure := p.send(ctx, a)
		p.trial = false // One attempt shows it.
		if failure == nil {
			return
		}
		if a.KVCache != nil {
			p.keepKVCache(ctx, a, failure)
		}
		if !p.mayRetry(ctx, a, failure) {
			reason := ReasonRejected
			if failure.Outcome == tracker.LocalFailure {
				reason = ReasonNoConnection
			}
			p.fail(ctx, Refusal{reason, true, p.retryAfter(rejectedRetryAfter)})
			return
		}
	}
}

// mayRetry records a failed attempt and reports whether another may follow.
func (p *pendingRequest) mayRetry(ctx context.Context, a Attempt, f *Failure) bool {
	if ctx.Err() != nil || f.Cause == errRetryBudget || f.Outcome == tracker.LocalFailure {
		p.state = mergeStates(p.state, f.State)
		return false
	}
	p.lastCause = f.Cause
	p.tried[a.Target.ID] = true
	p.state = mergeStates(p.state, f.State)
	if f.Outcome == tracker.Unreachable || f.Outcome == tracker.Withheld {
		p.unreachable++
		return p.mayReachAnother()
	}
	if p.sends >= max(p.route.MaxAttempts, 1) {
		return false
	}
	return f.State == retrier.NotSent || p.route.Retryable()
}

// mayReachAnother reports whether another target may be tried after unreachable ones.
func (p *pendingRequest) mayReachAnother() bool {
	if p.unreachable < maxUnreachable {
		return true
	}
	whole := p.deadline - p.request.Arrived.Monotonic
	return p.unreachable < maxRefusing && float64(p.reaching) < unreachableTimeShare*float64(whole) && p.hasUntried()
}

// hasUntried reports whether a target that may serve the whole request was not tried.
func (p *pendingRequest) hasUntried() bool {
	return slices.ContainsFunc(p.Tracker.Candidates(p.service.Name), func(c tracker.Candidate) bool {
		return !p.tried[c.ID] && !c.Unreachable && c.Role != tracker.Prefill
	})
}

// mergeStates returns the state of two attempts together: NotSent only if both are.
func mergeStates(a, b retrier.State) retrier.State {
	if a == retrier.NotSent {
		return b
	}
	return a
}

// takeRetryBudget charges a call to a target to the retry budget and reports whether
// the budget allowed it. The first prefill and the first decode of a request are free.
func (p *pendingRequest) takeRetryBudget(prefill bool) bool {
	if p.calls == 0 && !(prefill && p.prefills > 0) {
		return true
	}
	if p.retryPaid {
		p.retryPaid = false
		p.Stats.Retries.Add(1)
		return true
	}
	if err := p.spendRetryBudget(); err != nil {
		p.record(recorder.AttemptFailed, "", "not repeated: "+err.Error())
		return false
	}
	p.Stats.Retries.Add(1)
	return true
}

// spendRetryBudget charges a call to the retry budget, or returns why that is not allowed.
func (p *pendingRequest) spendRetryBudget() error {
	if p.remaining() < minRetryTime {
		return retrier.ErrDeadline
	}
	return p.budget.Take(p.workspace, p.service.Name, p.Clock.Read().Monotonic)
}

// chooseTarget chooses one target for the whole request, without a separate prefill.
func (p *pendingRequest) chooseTarget() (placer.Choice, bool) {
	candidates := p.candidates()
	if !p.service.Engines {
		return p.placer.PlainTarget(candidates)
	}
	return p.placer.DecodeTarget(candidates, p.request.Prompt, "", p.longRunning(), p.costs())
}

// costs returns the estimated costs of the engines of the request's service.
func (p *pendingRequest) costs() placer.Costs {
	c := placer.Costs{Profile: p.Profiler.Profile(p.service.Name), Engine: p.service.Engine, LowPriority: p.lowPriority, Yielding: p.standing.Yielding}
	if p.route.MaxPause > 0 {
		c.MaxPause, c.PeakSlowness = float64(p.route.MaxPause), p.Tracker.PeakSlowness(p.service.Name)
	}
	return c
}

// longRunning reports whether the request runs for so long that its target may be
// reclaimed meanwhile. Even if it can be resumed, its whole prompt must be prefilled
// again.
func (p *pendingRequest) longRunning() bool {
	return p.route.Kind == resolver.Stream && p.costs().LongRunning(p.request.Prompt)
}

// candidates returns the targets not yet tried, or all targets if each was tried, of those
// that can be reached.
func (p *pendingRequest) candidates() []tracker.Candidate {
	known := p.Tracker.Candidates(p.service.Name)
	all := slices.DeleteFunc(known, func(c tracker.Candidate) bool { return c.Unreachable })
	p.cutOff = len(all) == 0 && len(known) > 0
	untried := make([]tracker.Candidate, 0, len(all))
	for _, c := range all {
		if !p.tried[c.ID] {
			untried = append(untried, c)
		}
	}
	if len(untried) == 0 {
		return all
	}
	return untried
}

// fail gives the final answer of a request that no target served successfully.
func (p *pendingRequest) fail(ctx context.Context, r Refusal) {
	switch {
	case callerGone(ctx):
	case p.held != nil && !p.begun:
		p.finish(p.held.attempt, p.held.answer, p.held.body, tracker.Failed)
	case p.begun:
		p.record(recorder.RequestBroken, "", "stream broke and could not be resumed", zap.Int64("after-milliseconds", int64(p.age())))
		p.Stats.Refusals.Add(string(ReasonFailed), 1)
		p.countByUrgency("broken")
		p.caller.Abort()
	case errors.Is(context.Cause(ctx), ErrAborted):
		p.refuse(p.leaving())
	case p.state != retrier.NotSent && ctx.Err() != nil:
		p.refuse(Refusal{Reason: ReasonDeadline})
	case p.state != retrier.NotSent:
		p.refuse(Refusal{Reason: ReasonFailed})
	case ctx.Err() != nil:
		p.refuse(Refusal{ReasonDeadline, true, p.retryAfter(rejectedRetryAfter)})
	default:
		p.refuse(r)
	}
}

// keepKVCache keeps the KV cache of a prompt for the next attempt if the decode target
// rejected the request or could not be reached, which leaves the cache in place, and
// frees it otherwise.
func (p *pendingRequest) keepKVCache(ctx context.Context, a Attempt, f *Failure) {
	inPlace := f.Outcome == tracker.Rejected && p.sends < p.route.MaxAttempts || f.Outcome == tracker.Unreachable || f.Outcome == tracker.Withheld
	if ctx.Err() == nil && inPlace {
		p.kvCache = a.KVCache
		return
	}
	p.free(a, *a.KVCache)
}

// free releases a KV cache that won't be used. That of a target that asked for a pause
// expires by itself.
func (p *pendingRequest) free(a Attempt, c KVCache) {
	if !p.Tracker.Paused(c.Target) {
		p.Sender.Free(a, c)
	}
}

// send makes one attempt, relays its answer and records the outcome.
func (p *pendingRequest) send(ctx context.Context, a Attempt) *Failure {
	if !p.takeRetryBudget(false) {
		return &Failure{Outcome: tracker.Cancelled, State: p.state, Cause: errRetryBudget}
	}
	ticket := p.Tracker.Begin(a.Target.ID, p.work(a))
	if ticket == nil {
		return &Failure{Outcome: tracker.Unreachable, State: retrier.NotSent, Cause: errTargetUntracked}
	}
	p.startWork()
	a.Timeout = p.remaining()
	p.record(recorder.RequestPlaced, a.Target.ID, "", zap.String("data-centre-of-target", a.Target.DataCentre),
		zap.Int64("left-milliseconds", int64(a.Timeout)), zap.Bool("prompt-read-apart", a.KVCache != nil))
	a.sentAt = p.Clock.Read()
	a = p.contact(a)
	bounded, stop := p.untilSilent(ctx, a)
	defer stop()
	a = p.watchSilence(ctx, a)
	answer, failure := p.Sender.Send(bounded, a)
	if failure == nil || failure.Outcome.Connected() {
		p.sends++
		p.calls++
	}
	outcome := tracker.Answered
	if failure == nil {
		outcome, failure = p.relay(a, ticket, answer)
		answer.Close()
	}
	p.explainSilence(bounded, failure)
	p.examineAfter(ctx, a, failure)
	if failure != nil {
		outcome = failure.Outcome
		p.attemptFailed(a, failure)
		p.recordReport(a.Target, failure.Report)
	}
	if outcome == tracker.Unreachable {
		p.reaching += p.Clock.Read().Since(a.sentAt)
	}
	if p.service.Engines && outcome == tracker.Answered {
		p.Profiler.RecordDecode(p.service.Name, p.Clock.Read().Since(a.sentAt), p.request.Prompt.Output, a.utilization)
	}
	p.Stats.Outcomes.Add(outcome.String(), 1)
	if a.KVCache != nil {
		ticket.EndFromKVCache(a.KVCache.Target, outcome, causeText(failure))
	} else {
		ticket.End(outcome, causeText(failure))
	}
	p.examineDataCentre(a.Target, outcome)
	if p.lostBeforeAnswer(failure) {
		p.suspectParts(ctx, a)
	}
	return failure
}

// recordReport records what a target said of itself with an answer to the request.
func (p *pendingRequest) recordReport(target tracker.Target, r tracker.Report) {
	p.Tracker.RecordReport(target, r, p.request.ID)
	if r.Leaving {
		p.Stats.Reports.Add("leaving", 1)
	}
	if r.Pause > 0 {
		p.Stats.Reports.Add("pause", 1)
	}
	if r.InvalidPause != "" {
		p.Stats.Reports.Add("pause-invalid", 1)
	}
}

// contact marks an attempt whose target's address was sent the request before.
func (p *pendingRequest) contact(a Attempt) Attempt {
	a.Repeated = p.contacted[a.Target.Address]
	p.contacted[a.Target.Address] = true
	return a
}

func (p *pendingRequest) attemptFailed(a Attempt, f *Failure) {
	if f.Outcome == tracker.Cancelled {
		return
	}
	p.record(recorder.AttemptFailed, a.Target.ID, causeText(f), zap.String("outcome", f.Outcome.String()),
		zap.String("state", string(f.State)), zap.Int64("after-milliseconds", int64(p.age())),
		zap.Bool("answer-begun", p.begun), zap.Int64("target-started", int64(a.Target.Started)),
		zap.Strings("shared-parts", p.request.Prompt.SharedParts()), zap.Any("parts", p.parts))
}

func causeText(f *Failure) string {
	if f == nil || f.Cause == nil {
		return ""
	}
	return f.Cause.Error()
}

// work returns the load that an attempt puts on its target.
func (p *pendingRequest) work(a Attempt) tracker.Work {
	if !p.service.Engines {
		return tracker.Work{}
	}
	w := tracker.Work{LowPriority: a.LowPriority, PromptTokens: p.request.Prompt.Input}
	if a.KVCache == nil {
		w.PrefillWork = p.costs().PrefillWork(p.request.Prompt.UnsharedTokens(), p.request.Prompt.Input)
	}
	return w
}

var errRetryBudget = errors.New("retry budget is spent")

const (
	// rejectedRetryAfter is the retry delay for a caller whose request busy targets rejected.
	rejectedRetryAfter = 100 * timekeeper.Millisecond
	// leavingRetryAfter is the same if this instance ends.
	leavingRetryAfter = 10 * timekeeper.Millisecond
	// unavailableRetryAfter is the same if no target or no fresh configuration is available.
	unavailableRetryAfter = 300 * timekeeper.Millisecond
	// retryAfterShare bounds the retry delay, as a share of the request's remaining time.
	retryAfterShare = 0.3
)

// retryAfter returns how long a refused caller should wait before a retry: a span with
// jitter, but short enough to leave time to be served.
func (p *pendingRequest) retryAfter(span timekeeper.Millis) timekeeper.Millis {
	limit := timekeeper.Millis(retryAfterShare * float64(p.remaining()))
	if p.deadline == 0 || limit <= 0 {
		limit = span
	}
	return min(withJitter(span), limit)
}
