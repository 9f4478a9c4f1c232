package assembler

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// maxAttempts bounds the attempts of one request, whatever the budgets allow.
const maxAttempts = 4

// request is a call on its way through the pipeline.
type request struct {
	server.Call
	workspace declarer.Workspace
	keyName   string
	keyHash   string
	class     declarer.Class
	arrived   timekeeper.Millis
	deadline  timekeeper.Millis
}

// Serve implements server.Backend: authenticate, admit, claim, then attempt and relay.
func (i *Instance) Serve(ctx context.Context, call server.Call, sink dispatcher.Sink) *server.Refusal {
	if i.Catalogue().Generation() == 0 {
		return server.Refuse(server.CodeNotReady, "%v", errNoConfiguration).WithRetryAfter(timekeeper.Second)
	}
	r, refusal := i.authenticate(call)
	if refusal == nil {
		i.recorder.Record(recorder.Event{Code: recorder.RequestAccepted, Request: r.ID, Workspace: r.workspace.Name})
		i.running.Add(1)
		defer i.running.Add(-1)
		ctx, cancel := context.WithTimeoutCause(ctx, (r.deadline - r.arrived).Duration(), errDeadline)
		defer cancel()
		refusal = i.admitted(ctx, r, sink)
	}
	if refusal != nil {
		i.recorder.Record(recorder.Event{
			Code: recorder.RequestRefused, Request: call.ID, Workspace: r.workspace.Name, Cause: refusal.Error(),
		})
	}
	return refusal
}

var (
	errDeadline        = errors.New("deadline of the request's class passed")
	errNoConfiguration = errors.New("no configuration yet")
)

// HashKey returns the SHA-256 of an access key in hexadecimal, as contracts hold it.
func HashKey(key string) string {
	return authenticator.HashKey(key).String()
}

// admitted waits for the request's turn and runs it.
func (i *Instance) admitted(ctx context.Context, r request, sink dispatcher.Sink) *server.Refusal {
	admitted, refusal := i.admission.enter(ctx, r)
	if refusal != nil {
		return refusal
	}
	sink = admitted.watch(sink)
	var result dispatcher.Result
	if r.Idempotent || r.IdempotencyKey == "" {
		result, refusal = i.attempts(ctx, r, sink)
	} else {
		result, refusal = i.claimed(ctx, r, sink)
	}
	admitted.leave(result)
	return refusal
}

// claimed runs a non-idempotent request under its idempotency key.
func (i *Instance) claimed(ctx context.Context, r request, sink dispatcher.Sink) (dispatcher.Result, *server.Refusal) {
	grant, stored, refusal := i.claims.claim(ctx, r)
	if refusal != nil {
		return dispatcher.Result{}, refusal
	}
	if stored != nil {
		i.recorder.Record(recorder.Event{Code: recorder.ClaimRepeated, Request: r.ID, Workspace: r.workspace.Name})
		return dispatcher.Result{}, stored.replay(sink)
	}
	recording := &recordingSink{next: sink}
	result, refusal := i.attempts(ctx, r, recording)
	// The claim is settled even when the caller is gone: its repeat needs the answer.
	i.claims.settle(context.WithoutCancel(ctx), r, grant, result, recording.answer())
	if refusal != nil {
		return result, refusal
	}
	return result, recording.flush()
}

// attempts tries targets until the request is answered, must not be sent again,
// or may not be retried.
func (i *Instance) attempts(ctx context.Context, r request, sink dispatcher.Sink) (dispatcher.Result, *server.Refusal) {
	var (
		progress = &progressSink{next: sink}
		result   dispatcher.Result
		furthest dispatcher.State // over all attempts: "not-run" must hold for each
		tried    []string
	)
	for attempt := 0; attempt < maxAttempts; attempt++ {
		p, refusal := i.routing.choose(ctx, r, tried)
		if refusal != nil {
			if attempt > 0 {
				break
			}
			return result, refusal
		}
		if refusal := i.recheck(r); refusal != nil && attempt == 0 {
			i.routing.unused(p)
			return result, refusal
		}
		tried = append(tried, p.target.Name)
		end := i.usage.sink(r, progress)
		result = i.attempt(ctx, r, p, attempt+1, end)
		i.usage.count(ctx, r, result, end.counted)
		result = end.release(result)
		i.planning.count(r, result.Usage)
		furthest = max(furthest, result.State)
		if result.State == dispatcher.StateAnswered {
			i.recorder.Record(recorder.Event{Code: recorder.RequestAnswered, Request: r.ID, Workspace: r.workspace.Name, Target: p.target.Name})
			return result, nil
		}
		if errors.Is(result.Err, dispatcher.ErrCaller) || ctx.Err() != nil || progress.begun {
			break
		}
		if !r.Idempotent && result.State != dispatcher.StateNotSent {
			break
		}
		if !i.routing.mayRetry(ctx, r, p, attempt+1, result) {
			break
		}
	}
	result.State = furthest
	return result, i.failure(ctx, r, result, progress.begun)
}

func (i *Instance) attempt(ctx context.Context, r request, p placement, number int, sink dispatcher.Sink) dispatcher.Result {
	if i.clock.Now() >= r.deadline {
		// A process that was suspended must not send under a claim that others count as ended.
		i.routing.unused(p)
		return dispatcher.Result{Err: errDeadline}
	}
	target := p.target
	sink = &computedSink{Sink: sink, routing: i.routing, choice: p.choice.ID}
	i.recorder.Record(recorder.Event{Code: recorder.AttemptStarted, Request: r.ID, Workspace: r.workspace.Name, Target: target.Name})
	path := r.Path
	if r.Route.Kind == declarer.RouteKindService {
		path = r.Route.Below(path)
	}
	finish := i.routing.started(ctx, r, p, number)
	result := i.dispatcher.Do(ctx, target, dispatcher.Request{
		ID: r.ID, Method: r.Method, Path: path, Query: r.Query, Header: r.Header, Body: r.Body,
		Idempotent: r.Idempotent, IdempotencyKey: r.IdempotencyKey, Priority: r.class.Priority,
		Silence: timekeeper.Millis(i.settings.StreamSilenceMilliseconds),
	}, sink)
	finish(result)
	if result.Err != nil {
		code := recorder.AttemptFailed
		if errors.Is(result.Err, dispatcher.ErrMismatched) {
			code = recorder.AnswerMismatched
		}
		i.recorder.Record(recorder.Event{
			Code: code, Request: r.ID, Workspace: r.workspace.Name, Target: target.Name,
			Cause: result.State.String() + ": " + result.Err.Error(),
		})
	}
	return result
}

// failure turns the last attempt's result into what the caller is told.
func (i *Instance) failure(ctx context.Context, r request, result dispatcher.Result, begun bool) *server.Refusal {
	refusal := server.Refuse(server.CodeTargetFailed, "no target answered: %v", result.Err)
	switch {
	case begun:
		refusal = server.Refuse(server.CodeAnswerBroken, "the answer ended before it was whole: %v", result.Err)
		i.recorder.Record(recorder.Event{Code: recorder.RequestBroken, Request: r.ID, Workspace: r.workspace.Name, Cause: result.Err.Error()})
	case errors.Is(context.Cause(ctx), errDeadline):
		refusal = server.Refuse(server.CodeDeadline, "%v", errDeadline)
	}
	if result.State == dispatcher.StateNotSent {
		return refusal.WithRetryAfter(timekeeper.Second)
	}
	if result.State == dispatcher.StateRan {
		return refusal.WithRan(server.DidRun)
	}
	return refusal.WithRan(server.Unknown)
}

// progressSink notes whether anything of the answer reached the caller.
type progressSink struct {
	next  dispatcher.Sink
	begun bool
}

// Begin implements dispatcher.Sink.
func (p *progressSink) Begin(status int, header http.Header, stream bool) error {
	p.begun = true
	return p.next.Begin(status, header, stream)
}

// Write implements dispatcher.Sink.
func (p *progressSink) Write(data []byte) error { return p.next.Write(data) }
