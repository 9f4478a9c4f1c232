package relayer

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// maxUnreachable bounds the targets tried in vain for one request; none of them was sent anything.
const maxUnreachable = 4

var (
	errUntracked    = errors.New("target is gone")
	errTargetFailed = errors.New("target answered with a failure")
)

// run makes attempts until the caller has a final answer.
func (p *passage) run(ctx context.Context) {
	for {
		a, refusal, ok := p.prepare(ctx)
		if !ok {
			p.fail(ctx, refusal)
			return
		}
		failure := p.send(ctx, a)
		if failure == nil {
			return
		}
		if a.Memory != nil {
			p.keepMemory(ctx, a, failure)
		}
		if !p.again(ctx, a, failure) {
			p.fail(ctx, Refusal{ReasonRejected, true, p.backIn(shortReturn)})
			return
		}
	}
}

// again decides whether another attempt may follow a failed one.
func (p *passage) again(ctx context.Context, a Attempt, f *Failure) bool {
	if ctx.Err() != nil || f.Cause == errBudget {
		p.state = further(p.state, f.State)
		return false
	}
	p.lastCause = f.Cause
	p.tried[a.Target.ID] = true
	p.state = further(p.state, f.State)
	if f.Outcome == tracker.Unreachable {
		p.unreachable++
		return p.unreachable < maxUnreachable
	}
	if p.sends >= max(p.route.MaxAttempts, 1) {
		return false
	}
	return f.State == retrier.NotSent || p.route.Repeatable()
}

// further returns the state that promises less.
func further(a, b retrier.State) retrier.State {
	if a == retrier.NotSent {
		return b
	}
	return a
}

// spend takes an arrival at a target from the budget of repeats; the first of a request is free.
func (p *passage) spend() bool {
	if p.arrivals == 0 {
		return true
	}
	now := p.Clock.Now()
	_, err := p.budget.Retry(retrier.Attempt{
		Workspace: p.workspace, Target: p.service.Name, Number: 1, State: retrier.NotSent, Deadline: now + p.left(),
	}, now)
	if err != nil {
		p.record(recorder.AttemptFailed, "", "not repeated: "+err.Error())
		return false
	}
	p.Stats.Repeats.Add(1)
	return true
}

// place finds a target without reading the prompt apart.
func (p *passage) place() (placer.Choice, bool) {
	candidates := p.candidates()
	if !p.service.Engines {
		return p.placer.Plain(candidates)
	}
	return p.placer.Runner(candidates, p.request.Prompt, "", p.lasting(), p.costs())
}

// costs returns what is known of the engines of the request's service.
func (p *passage) costs() placer.Costs {
	return placer.Costs{Profile: p.Profiler.Profile(p.service.Name), Engine: p.service.Engine, Late: p.late}
}

// lasting reports whether the request runs for so long that it may lose its target.
// Where it can be resumed, its whole prompt has to be read again.
func (p *passage) lasting() bool {
	return p.route.Kind == resolver.Stream && p.costs().Lasts(p.request.Prompt)
}

// candidates returns the targets that were not tried, or all if each was.
func (p *passage) candidates() []tracker.Candidate {
	all := p.Tracker.Candidates(p.service.Name)
	fresh := make([]tracker.Candidate, 0, len(all))
	for _, c := range all {
		if !p.tried[c.ID] {
			fresh = append(fresh, c)
		}
	}
	if len(fresh) == 0 {
		return all
	}
	return fresh
}

// fail gives the final answer of a request that no target answered with success.
func (p *passage) fail(ctx context.Context, r Refusal) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller went away; nobody waits for an answer.
	case p.held != nil && !p.begun:
		p.finish(p.held.attempt, p.held.answer, p.held.body, tracker.Failed)
	case p.begun:
		p.record(recorder.RequestBroken, "", "stream broke and could not go on", zap.Int64("after-milliseconds", int64(p.age())))
		p.Stats.Refusals.Add(string(ReasonFailed), 1)
		p.caller.Break()
	case p.state != retrier.NotSent && ctx.Err() != nil:
		p.refuse(Refusal{Reason: ReasonDeadline})
	case p.state != retrier.NotSent:
		p.refuse(Refusal{Reason: ReasonFailed})
	case ctx.Err() != nil:
		p.refuse(Refusal{ReasonDeadline, true, p.backIn(shortReturn)})
	default:
		p.refuse(r)
	}
}

// keepMemory keeps the memory of a prompt for the next attempt if the run from it
// was rejected, which leaves it where it was, and frees it otherwise.
func (p *passage) keepMemory(ctx context.Context, a Attempt, f *Failure) {
	if ctx.Err() == nil && f.Outcome == tracker.Rejected && p.sends < p.route.MaxAttempts {
		p.memory = a.Memory
		return
	}
	p.Sender.Free(a, *a.Memory)
}

// send makes one sending and records it.
func (p *passage) send(ctx context.Context, a Attempt) *Failure {
	if !p.spend() {
		return &Failure{Outcome: tracker.Cancelled, State: p.state, Cause: errBudget}
	}
	ticket := p.Tracker.Begin(a.Target.ID, p.work(a))
	if ticket == nil {
		return &Failure{Outcome: tracker.Unreachable, State: retrier.NotSent, Cause: errUntracked}
	}
	a.Patience = p.left()
	p.record(recorder.RequestPlaced, a.Target.ID, "", zap.String("data-centre-of-target", a.Target.DataCentre),
		zap.Int64("left-milliseconds", int64(a.Patience)), zap.Bool("prompt-read-apart", a.Memory != nil))
	a.sent = p.Clock.Read()
	answer, failure := p.Sender.Send(ctx, a)
	if failure == nil || failure.Outcome != tracker.Unreachable {
		p.sends++
		p.arrivals++
	}
	outcome := tracker.Answered
	if failure == nil {
		outcome, failure = p.relay(a, ticket, answer)
		answer.Close()
	}
	if failure != nil {
		outcome = failure.Outcome
		p.attemptFailed(a, failure)
	}
	if p.service.Engines && outcome == tracker.Answered {
		p.Profiler.Ran(p.service.Name, p.Clock.Read().Since(a.sent), p.request.Prompt.Output, a.taken)
	}
	p.Stats.Outcomes.Add(outcome.String(), 1)
	if a.Memory != nil {
		ticket.EndFromMemory(a.Memory.Target, outcome, causeText(failure))
	} else {
		ticket.End(outcome, causeText(failure))
	}
	return failure
}

func (p *passage) attemptFailed(a Attempt, f *Failure) {
	if f.Outcome == tracker.Cancelled {
		return
	}
	p.record(recorder.AttemptFailed, a.Target.ID, causeText(f), zap.String("outcome", f.Outcome.String()),
		zap.String("state", string(f.State)), zap.Int64("after-milliseconds", int64(p.age())))
}

func causeText(f *Failure) string {
	if f == nil || f.Cause == nil {
		return ""
	}
	return f.Cause.Error()
}

// work returns what an attempt asks of its target.
func (p *passage) work(a Attempt) tracker.Work {
	if !p.service.Engines {
		return tracker.Work{}
	}
	w := tracker.Work{Late: a.Late, Memory: p.request.Prompt.Input}
	if a.Memory == nil {
		w.Effort = p.costs().Effort(p.request.Prompt.Own(), p.request.Prompt.Input)
	}
	return w
}

var errBudget = errors.New("budget of repeats is spent")

const (
	// shortReturn is when a caller may come back that a busy target rejected.
	shortReturn = 100 * timekeeper.Millisecond
	// missingReturn is the same where no target is there, or no fresh configuration.
	missingReturn = 300 * timekeeper.Millisecond
	// patienceShare is the part of its remaining time that a caller is asked to wait at most.
	patienceShare = 0.3
)

// backIn returns when a refused caller should come back: spread over a span, and
// early enough to be served.
func (p *passage) backIn(span timekeeper.Millis) timekeeper.Millis {
	longest := timekeeper.Millis(patienceShare * float64(p.left()))
	if p.deadline == 0 || longest <= 0 {
		longest = span
	}
	return min(soon(span), longest)
}
