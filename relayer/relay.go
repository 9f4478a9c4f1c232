package relayer

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// relay passes an answer to the caller. If it returns a failure, the caller has no
// final answer yet.
func (p *pendingRequest) relay(a Attempt, ticket *tracker.Ticket, answer Answer) (tracker.Outcome, *Failure) {
	report := answer.Report()
	ticket.RecordResponse(report.Load)
	p.recordReport(a.Target, report)
	if answer.Streamed() && answer.Succeeded() {
		return tracker.Answered, p.relayStream(a, ticket, answer)
	}
	return p.relayWhole(a, answer)
}

// relayWhole passes on an answer after its whole body was received.
func (p *pendingRequest) relayWhole(a Attempt, answer Answer) (tracker.Outcome, *Failure) {
	body, failure := answer.ReadAll()
	if failure != nil {
		return failure.Outcome, failure
	}
	p.count()
	outcome := tracker.Answered
	if answer.Succeeded() {
		p.Quarantine.RecordAnswer(p.parts)
	}
	if answer.Failed() {
		outcome = tracker.Failed
		if !p.begun && p.route.Retryable() && p.mayTryAnother(a) {
			p.held = &heldFailure{a, answer, body}
			return outcome, &Failure{Outcome: outcome, State: retrier.Ran, Cause: errTargetFailed}
		}
	}
	if p.begun {
		// The head of another answer was sent already, so this one can't follow it.
		return outcome, &Failure{Outcome: outcome, State: retrier.Ran, Cause: errTargetFailed}
	}
	p.finish(a, answer, body, outcome)
	return outcome, nil
}

// heldFailure is a target's failure response that is relayed if no other target
// succeeds.
type heldFailure struct {
	attempt Attempt
	answer  Answer
	body    []byte
}

// finish sends the caller a whole answer.
func (p *pendingRequest) finish(a Attempt, answer Answer, body []byte, o tracker.Outcome) {
	if p.caller.Begin(answer) != nil || p.caller.Write(body) != nil {
		p.caller.Abort()
		return
	}
	p.caller.End()
	p.firstAt = p.Clock.Read()
	p.recordServed(a, o)
}

// mayTryAnother reports whether the request may be retried at another target
// instead of relaying a failure response.
func (p *pendingRequest) mayTryAnother(a Attempt) bool {
	if p.sends >= max(p.route.MaxAttempts, 1) {
		return false
	}
	for _, c := range p.candidates() {
		if c.ID != a.Target.ID && !c.Suspected {
			return true
		}
	}
	return false
}

// errEmptyResume means that the answer to a resumed stream has no events. It does not
// show that the stream was whole before it broke off.
var errEmptyResume = errors.New("resumed stream has no events")

// relayStream passes on each event of a stream once it was received whole.
func (p *pendingRequest) relayStream(a Attempt, ticket *tracker.Ticket, answer Answer) *Failure {
	empty := true
	var pace streamPace
	for {
		event, failure := answer.NextEvent()
		if failure != nil {
			return failure
		}
		readAt := p.Clock.Read()
		if event == nil && empty && p.begun {
			return &Failure{Outcome: tracker.InvalidAnswer, State: retrier.Ran, Cause: errEmptyResume}
		}
		empty = false
		if !p.begun {
			p.begun = true
			p.unwatch()
			p.firstAt = p.Clock.Read()
			p.count()
			if event != nil {
				p.Quarantine.RecordAnswer(p.parts)
			}
			if err := p.caller.Begin(answer); err != nil {
				p.caller.Abort()
				return nil
			}
		}
		if event == nil {
			p.recordPace(a, ticket, pace)
			p.caller.End()
			p.recordServed(a, tracker.Answered)
			return nil
		}
		ticket.RecordResponse(nil)
		pace.add(readAt)
		if event.ID != "" {
			if event.ID == p.lastEvent {
				continue
			}
			p.lastEvent = event.ID
		}
		if err := p.caller.Write(event.Raw); err != nil {
			p.caller.Abort()
			return nil
		}
		pace.writing += p.Clock.Read().Since(readAt)
	}
}

// count counts the request for billing, once, when it is known to have started.
func (p *pendingRequest) count() {
	if p.counted || p.workspace == "" {
		return
	}
	p.counted = true
	p.Counter.Count(p.workspace, p.Clock.Now())
}

func (p *pendingRequest) recordServed(a Attempt, o tracker.Outcome) {
	first := p.firstAt.Monotonic - p.request.Arrived.Monotonic
	p.Stats.Served.Add(1)
	p.Stats.FirstAnswer.Record(first)
	p.Stats.WholeAnswer.Record(p.age())
	if p.route.TargetLatency > 0 && first > p.route.TargetLatency {
		p.countByUrgency("late")
	} else {
		p.countByUrgency("in-time")
	}
	p.record(recorder.RequestServed, a.Target.ID, "", zap.String("route", p.route.Name), zap.String("outcome", o.String()),
		zap.Int("sends", p.sends), zap.Int64("first-milliseconds", int64(first)), zap.Int64("whole-milliseconds", int64(p.age())),
		zap.Bool("prompt-read-apart", a.KVCache != nil), p.standingField())
}
