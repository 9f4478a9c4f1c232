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

// maxAttempts bounds the attempts of one request, whatever the retry budgets allow.
const maxAttempts = 4

// request is a call that the pipeline processes.
type request struct {
	server.Call
	workspace declarer.Workspace
	keyName   string
	keyHash   string
	class     declarer.Class
	arrived   timekeeper.Millis
	deadline  timekeeper.Millis
}

// Serve implements server.Backend. It authenticates and admits the call, claims its
// idempotency key if needed, and relays the answer of a target.
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
		refusal = i.admitAndRun(ctx, r, sink)
		if refusal != nil && refusal.Ran == server.NotRun && errors.Is(context.Cause(ctx), server.ErrAborted) {
			refusal = server.RefuseLeaving()
		}
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

// HashKey returns the SHA-256 of an access key in hexadecimal, the form in which
// declarations store it.
func HashKey(key string) string {
	return authenticator.HashKey(key).String()
}

// mayOutlast reports whether a request may last longer than the instance, which is shutting
// down.
func (i *Instance) mayOutlast(r request) bool {
	end := timekeeper.Millis(i.end.Load())
	return end != 0 && r.deadline > end
}

// admitAndRun waits until the request is admitted and runs it.
func (i *Instance) admitAndRun(ctx context.Context, r request, sink dispatcher.Sink) *server.Refusal {
	if i.mayOutlast(r) {
		return server.RefuseLeaving()
	}
	admitted, refusal := i.admission.admit(ctx, r)
	if refusal != nil {
		return refusal
	}
	sink = admitted.watch(sink)
	var result dispatcher.Result
	if r.Idempotent || r.IdempotencyKey == "" {
		result, refusal = i.runAttempts(ctx, r, sink)
	} else {
		result, refusal = i.runClaimed(ctx, r, sink)
	}
	admitted.finish(result)
	return refusal
}

// runClaimed runs a non-idempotent request under its idempotency key.
func (i *Instance) runClaimed(ctx context.Context, r request, sink dispatcher.Sink) (dispatcher.Result, *server.Refusal) {
	grant, stored, refusal := i.claims.claim(ctx, r)
	if refusal != nil {
		return dispatcher.Result{}, refusal
	}
	if stored != nil {
		i.recorder.Record(recorder.Event{Code: recorder.ClaimRepeated, Request: r.ID, Workspace: r.workspace.Name})
		return dispatcher.Result{}, stored.replay(sink)
	}
	buffered := &bufferingSink{next: sink}
	result, refusal := i.runAttempts(ctx, r, buffered)
	// The claim is settled even when the caller has disconnected: a retry needs the answer.
	i.claims.settle(context.WithoutCancel(ctx), r, grant, result, buffered.answer())
	if refusal != nil {
		return result, refusal
	}
	return result, buffered.flush()
}

// runAttempts tries targets until the request is answered, cannot be retried safely,
// or the retry policy refuses another attempt.
func (i *Instance) runAttempts(ctx context.Context, r request, sink dispatcher.Sink) (dispatcher.Result, *server.Refusal) {
	var (
		progress = &progressSink{next: sink}
		result   dispatcher.Result
		furthest dispatcher.State // of all attempts: "not-run" must hold for each
		tried    []string
	)
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if furthest == dispatcher.StateNotSent && i.mayOutlast(r) {
			return result, server.RefuseLeaving()
		}
		p, refusal := i.routing.choose(ctx, r, tried)
		if refusal != nil {
			if attempt > 0 {
				break
			}
			return result, refusal
		}
		if refusal := i.recheckKey(r); refusal != nil && attempt == 0 {
			i.routing.releaseUnused(p)
			return result, refusal
		}
		tried = append(tried, p.target.Name)
		metered := i.usage.sink(r, progress)
		result = i.attempt(ctx, r, p, attempt+1, metered)
		i.usage.count(ctx, r, result, metered.counted)
		result = metered.release(result)
		i.planning.recordUsage(r, result.Usage)
		furthest = max(furthest, result.State)
		if result.State == dispatcher.StateAnswered {
			i.recorder.Record(recorder.Event{Code: recorder.RequestAnswered, Request: r.ID, Workspace: r.workspace.Name, Target: p.target.Name})
			return result, nil
		}
		if errors.Is(result.Err, dispatcher.ErrCallerGone) || ctx.Err() != nil || progress.begun {
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
	return result, i.refusalFor(ctx, r, result, progress.begun)
}

func (i *Instance) attempt(ctx context.Context, r request, p placement, number int, sink dispatcher.Sink) dispatcher.Result {
	if i.clock.Now() >= r.deadline {
		// A process that was suspended must not send under a claim that other instances
		// already treat as expired.
		i.routing.releaseUnused(p)
		return dispatcher.Result{Err: errDeadline}
	}
	target := p.target
	sink = &firstOutputSink{Sink: sink, routing: i.routing, choiceID: p.choice.ID}
	i.recorder.Record(recorder.Event{Code: recorder.AttemptStarted, Request: r.ID, Workspace: r.workspace.Name, Target: target.Name})
	path := r.EncodedPath
	if r.Route.Kind == declarer.RouteKindService {
		path = r.Route.EncodedSubpath(r.Path, path)
	}
	finish := i.routing.startAttempt(ctx, r, p, number)
	result := i.dispatcher.Do(ctx, target, dispatcher.Request{
		ID: r.ID, Method: r.Method, Path: path, Query: r.Query, Header: r.Header, Body: r.Body,
		Idempotent: r.Idempotent, IdempotencyKey: r.IdempotencyKey, Priority: r.class.Priority,
		IdleTimeout: timekeeper.Millis(i.settings.StreamSilenceMilliseconds),
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

// refusalFor converts the result of the last attempt into the caller's error.
func (i *Instance) refusalFor(ctx context.Context, r request, result dispatcher.Result, begun bool) *server.Refusal {
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

// progressSink records whether any part of the answer was sent to the caller.
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
