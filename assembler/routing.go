package assembler

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/gossiper"
	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/router"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// soloRetryInterval is the wait between attempts to get the idle target that is
	// reserved for a solo run.
	soloRetryInterval = 50 * timekeeper.Millisecond
	// assumedOutputTokens is the expected output of a request without max_tokens.
	assumedOutputTokens = 256
)

// routing chooses targets, decides on retries and quarantine, and shares load and
// crash data with the other instances.
type routing struct {
	instance    *Instance
	router      *router.Router
	retrier     *retrier.Retrier
	quarantiner *quarantiner.Quarantiner
	reports     *reports
	peers       *peers
}

// placement is the target of one attempt.
type placement struct {
	target   declarer.Target
	choice   router.Choice
	identity quarantiner.Identity
	solo     bool
}

func newRouting(i *Instance) *routing {
	name, seed := i.settings.Instance, uint64(i.incarnation)
	r := &routing{
		instance: i,
		// KV caches are not transferred between engines yet.
		router:      router.New(router.Options{Instance: name, DataCentre: i.settings.DataCentre, Seed: seed, DisableSplit: true}),
		retrier:     retrier.New(retrier.Options{Instance: name, Seed: seed}),
		quarantiner: quarantiner.New(quarantiner.Options{Instance: name}),
	}
	r.reports = newReports(r)
	r.peers = newPeers(r)
	return r
}

// run polls the targets' load and exchanges updates with peers until the context ends.
func (r *routing) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.peers.run(ctx)
	}()
	r.reports.run(ctx)
	<-done
}

// choose returns a target for the request that was not tried yet. It waits while
// the quarantine delays the request or no target is idle for a solo run, and checks
// the quarantine again after each wait, as the request may be suspected by then.
func (r *routing) choose(ctx context.Context, q request, tried []string) (placement, *server.Refusal) {
	r.reports.adoptConfiguration()
	p, routerRequest := placement{identity: identify(q)}, r.routerRequest(q, tried)
	for {
		now := r.instance.clock.Now()
		wait := soloRetryInterval
		switch d := r.quarantiner.Admit(p.identity, now); d.Verdict {
		case quarantiner.Refuse:
			r.instance.recorder.Record(recorder.Event{Code: recorder.RequestQuarantined, Request: q.ID, Workspace: q.workspace.Name})
			return p, server.Refuse(server.CodeQuarantined, "requests like this one crashed their targets").WithRetryAfter(d.RetryAt - now)
		case quarantiner.Wait:
			wait = d.RetryAt - now
		default:
			p.solo = d.Verdict == quarantiner.Solo
			err := r.place(&p, routerRequest, now)
			if err == nil {
				return p, nil
			}
			if !errors.Is(err, router.ErrReserved) {
				return p, server.Refuse(server.CodeNoTarget, "no target serves route %q now", q.Route.Name).WithRetryAfter(timekeeper.Second)
			}
		}
		if !timekeeper.Sleep(ctx, wait) {
			return p, server.Refuse(server.CodeDeadline, "held back until the deadline because a target crashed")
		}
	}
}

// place asks the router for a target. If there is none, a suspected request gives
// back its permission for a solo run.
func (r *routing) place(p *placement, routerRequest router.Request, now timekeeper.Millis) error {
	if p.solo {
		routerRequest.SuspectFingerprint = p.identity.Fingerprint
	}
	choice, err := r.router.Choose(routerRequest, now)
	r.peers.scheduleUrgent()
	if err != nil {
		if p.solo {
			r.quarantiner.Abandon(p.identity)
		}
		return err
	}
	p.choice = choice
	p.target, _ = r.instance.Catalogue().Target(choice.Target)
	return nil
}

// routerRequest converts a request for the router.
func (r *routing) routerRequest(q request, tried []string) router.Request {
	output := int(q.MaxTokens)
	if output == 0 && q.Route.Kind == declarer.RouteKindModel {
		output = assumedOutputTokens
	}
	return router.Request{
		Workspace: q.workspace.Name, Route: q.Route.Name, Prefixes: router.Prefixes(q.workspace.Name, q.Route.Model, q.Prompt),
		PromptBytes: len(q.Prompt), PromptTokens: int(q.PromptTokens), OutputTokens: output,
		Idempotent: q.Idempotent, Reclaimable: q.workspace.Reclaimable, Deadline: q.deadline, Exclude: tried,
	}
}

// identify returns the identity under which the request may be quarantined.
func identify(q request) quarantiner.Identity {
	if q.Route.Kind == declarer.RouteKindModel {
		return quarantiner.Identify(q.workspace.Name, q.Route.Model, q.Prompt)
	}
	return quarantiner.Identify(q.workspace.Name, q.Route.Name, append([]byte(q.Method+" "+q.Path+"?"+q.Query+"\n"), q.Body...))
}

// markLeaving stops new work to a target at this instance at once and notifies the
// peers, whatever the source of the notice.
func (r *routing) markLeaving(ctx context.Context, target, cause string) {
	r.router.Drain(target, r.instance.clock.Now())
	r.instance.recorder.Record(recorder.Event{Code: recorder.TargetLeaving, Target: target, Cause: cause})
	r.peers.publishLoad(gossiper.Urgent)
}

// startAttempt registers an attempt. The caller passes its result to the returned function.
func (r *routing) startAttempt(ctx context.Context, q request, p placement, number int) func(dispatcher.Result) {
	if number == 1 {
		r.retrier.Started(q.workspace.Name, p.target.Name, r.instance.clock.Now())
	}
	r.quarantiner.Started(q.ID, p.identity, p.target.Name, p.solo, r.instance.clock.Now())
	return func(result dispatcher.Result) {
		if endedEarly(result) && r.crashed(ctx, p.target) {
			r.recordCrash(ctx, p.target)
		}
		now := r.instance.clock.Now()
		r.peers.sendStrikes(ctx, r.quarantiner.Ended(q.ID, result.State == dispatcher.StateAnswered, now))
		outcome := router.Outcome{Result: classify(ctx, result), CachedTokens: int(result.Usage.CachedTokens)}
		switch r.router.Finish(p.choice.ID, outcome, now) {
		case router.Ejected:
			r.instance.recorder.Record(recorder.Event{Code: recorder.TargetEjected, Target: p.target.Name, Cause: failureCause(result)})
		case router.Restored:
			r.instance.recorder.Record(recorder.Event{Code: recorder.TargetReturned, Target: p.target.Name})
		case router.Unchanged:
		}
		r.peers.scheduleUrgent()
	}
}

// failureCause returns why a result counts as a failure of its target.
func failureCause(result dispatcher.Result) string {
	if result.Err != nil {
		return result.Err.Error()
	}
	return "status " + strconv.Itoa(result.Status)
}

// classify returns what an attempt's result means for its target's health.
func classify(ctx context.Context, result dispatcher.Result) router.Result {
	switch {
	case result.State == dispatcher.StateAnswered && result.Status < http.StatusInternalServerError:
		return router.Answered
	case ctx.Err() != nil, errors.Is(result.Err, dispatcher.ErrCallerGone), errors.Is(result.Err, dispatcher.ErrTooLarge), errors.Is(result.Err, dispatcher.ErrLocalFailure):
		return router.Cancelled
	default:
		return router.Failed
	}
}

// firstOutputSink reports the first part of an answer to the router, which then treats
// the prompt as computed.
type firstOutputSink struct {
	dispatcher.Sink
	routing  *routing
	choiceID uint64
	reported bool
}

// Write implements dispatcher.Sink.
func (f *firstOutputSink) Write(data []byte) error {
	if !f.reported {
		f.reported = true
		f.routing.router.PrefillDone(f.choiceID, f.routing.instance.clock.Now())
	}
	return f.Sink.Write(data)
}

// mayRetry waits for the backoff and reports whether another attempt is allowed.
func (r *routing) mayRetry(ctx context.Context, q request, p placement, number int, result dispatcher.Result) bool {
	now := r.instance.clock.Now()
	at, err := r.retrier.Retry(retrier.Attempt{
		Workspace: q.workspace.Name, Target: p.target.Name, Number: number, State: retrier.State(result.State.String()),
		Idempotent: q.Idempotent, Deadline: q.deadline, Expected: timekeeper.Millis(p.choice.ExpectedTime),
	}, now)
	return err == nil && timekeeper.Sleep(ctx, at-now)
}
