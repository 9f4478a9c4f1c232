// Package relayer serves a request: it checks the key, admits the request,
// chooses a target, sends attempts, retries where that is allowed, relays the
// answer to the caller and counts the request for billing. It is independent of
// the wire format.
package relayer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
	"github.com/gypsumwharf/gypsumwharf/triager"
)

// Options configure a relayer.
type Options struct {
	DataCentre string
	// MaxConfigurationAge is how long API keys are trusted after the configuration was
	// last confirmed to be the newest.
	MaxConfigurationAge timekeeper.Millis
	// RetryShare is the number of retries that each request adds to the retry budget of
	// its service.
	RetryShare float64
	// RetryAllowance is how many more retries of a service are allowed in ten seconds,
	// over all instances; 0 means that none is declared.
	RetryAllowance float64
	// StartupTime is how long a new process expects its first configuration and list of
	// targets; requests wait for them a while. After that, or if it is 0, requests are
	// refused at once until both are there.
	StartupTime timekeeper.Millis
	// OrderByUrgency lets requests of more urgent workspaces go first when targets are
	// short of capacity.
	OrderByUrgency bool
}

// Dependencies are the components that a relayer uses.
type Dependencies struct {
	Clock   timekeeper.Clock
	Holder  *resolver.Holder
	Tracker *tracker.Tracker
	// Profiler estimates the speed of engines from measured times.
	Profiler *profiler.Profiler
	Sender   Sender
	Counter  Counter
	Record   func(recorder.Event)
	Stats    *Stats
	// Quarantine refuses prompts with parts that crash targets.
	Quarantine *quarantiner.PartQuarantine
	// MayTry reports whether this instance makes the trials of a part whose quarantine
	// has ended.
	MayTry func(quarantiner.Part) bool
	// Quotas may be nil, if no workspace has a quota.
	Quotas Quotas
}

// Relayer serves the requests of one instance. It is safe for concurrent use.
type Relayer struct {
	Dependencies
	options  Options
	placer   *placer.Placer
	budget   *retrier.FleetBudget
	prober   *prober
	silences *silences
	triager  *triager.Triager
	draining atomic.Bool
	end      atomic.Int64 // Of the instance, on the monotonic clock; 0 if it isn't known.
	startup  startup
	closed   context.Context // Ends with Close.
	close    context.CancelFunc
}

const (
	// retryReserve is the number of retries that an instance may save up if no allowance
	// is declared.
	retryReserve = 2
	// retryWindow is the span to which the declared allowance applies.
	retryWindow = 10 * timekeeper.Second
	// retryMargin keeps the retries that requests add below the configured share, because
	// retries may arrive later than the requests that added them.
	retryMargin = 0.8
	// minRetryTime is the least remaining time for which a retry is sent.
	minRetryTime = 50 * timekeeper.Millisecond
)

// New returns a relayer.
func New(o Options, d Dependencies) *Relayer {
	if d.Quarantine != nil {
		d.Quarantine.SetHeard(func(c quarantiner.Crash) (timekeeper.Reading, bool) { return d.Tracker.Heard(c.Target, c.Started) })
	}
	closed, end := context.WithCancel(context.Background())
	return &Relayer{
		closed: closed, close: end,
		Dependencies: d, options: o, placer: placer.New(o.DataCentre), prober: &prober{probes: map[quarantiner.Crash]*probe{}}, triager: triager.New(),
		silences: &silences{byTarget: map[quarantiner.Crash]*silence{}, awaited: map[quarantiner.Crash]bool{}}, startup: startup{until: d.Clock.Read().Monotonic + o.StartupTime},
		budget: retrier.NewFleetBudget(retrier.FleetOptions{
			Share: o.RetryShare * retryMargin, Allowance: o.RetryAllowance, Window: retryWindow, Reserve: retryReserve,
		}),
	}
}

// DivideAllowance divides the declared retry allowance evenly among the instances; rank
// is this instance's place among them, from 0.
func (r *Relayer) DivideAllowance(instances, rank int) { r.budget.Divide(instances, rank) }

// Close ends the work that the relayer does by itself; requests are still served.
func (r *Relayer) Close() { r.close() }

// Drain makes Ready report that the instance is shutting down; requests are still served.
func (r *Relayer) Drain() { r.draining.Store(true) }

// FinishBy makes the relayer refuse requests as not run that nothing was sent of yet, and that
// may last beyond a time on the monotonic clock, at which the instance ends.
func (r *Relayer) FinishBy(end timekeeper.Millis) { r.end.Store(int64(end)) }

// Ready reports whether requests can be served, and the reason if they can't.
func (r *Relayer) Ready() (bool, Reason) {
	directory, age := r.Holder.Current()
	switch {
	case r.draining.Load():
		return false, ReasonLeaving
	case directory == nil || !r.Tracker.HasList():
		return false, ReasonUnready
	case age > r.options.MaxConfigurationAge:
		return false, ReasonStale
	}
	return true, ""
}

// RecordRefused records a request that the entrance refused before it reached the
// relayer, with the inputs that decided.
func (r *Relayer) RecordRefused(id string, reason Reason, inputs ...zap.Field) {
	r.Stats.Refusals.Add(string(reason), 1)
	r.Record(recorder.Event{Code: recorder.RequestRefused, Request: id, Cause: string(reason), Inputs: inputs})
}

// pendingRequest is the state of one request until its final answer.
type pendingRequest struct {
	*Relayer
	request     Request
	caller      Caller
	route       resolver.Route
	service     resolver.Service
	workspace   string
	deadline    timekeeper.Millis // On the monotonic clock.
	sends       int               // Attempts that reached a target.
	calls       int               // Calls that reached a target, except successful prefills. All but the first need retry budget.
	prefills    int               // Successful prefills.
	unreachable int
	cutOff      bool              // All targets are in data centres that can't be reached.
	reaching    timekeeper.Millis // Time that attempts at unreachable targets took.
	tried       map[string]bool
	contacted   map[string]bool // Addresses that were sent the request, or its prefill.
	state       retrier.State   // NotSent only if no attempt may have run.
	counted     bool
	begun       bool   // The head of an answer was sent to the caller.
	lastEvent   string // ID of the last event sent to the caller.
	firstAt     timekeeper.Reading
	lastCause   error
	lastChoice  placer.Choice // The target whose queue was too long for the request.
	held        *heldFailure
	kvCache     *KVCache           // KV cache of the prompt, kept for the next attempt.
	parts       []quarantiner.Part // What may crash a target.
	retryPaid   bool               // The next retry was charged to the budget already.
	unwatch     func()             // Ends the watch on the silence of the attempt's target.
	trial       bool               // The request shows whether its quarantined parts still crash targets.
	grant       Grant              // What the request uses of the workspace's quota.
	urgency     resolver.Urgency
	standing    triager.Standing
	started     bool // Work on the request started at a target.
	lowPriority bool // The request can't meet the target latency, so it yields to requests that can.
}

// Serve gives the caller exactly one final answer, unless the context ends first.
func (r *Relayer) Serve(ctx context.Context, q Request, c Caller) {
	p := &pendingRequest{Relayer: r, request: q, caller: c, tried: map[string]bool{}, contacted: map[string]bool{}, state: retrier.NotSent, lastEvent: q.LastEventID, unwatch: func() {}}
	defer p.returnUnused()
	if refusal, ok := p.accept(ctx); !ok {
		p.refuse(refusal)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, p.remaining().Duration())
	defer cancel()
	p.budget.Started(p.workspace, p.service.Name, r.Clock.Read().Monotonic)
	if p.service.Engines {
		r.Profiler.RecordArrival(p.service.Name, p.costs().PrefillWork(q.Prompt.UnsharedTokens(), q.Prompt.Input))
	}
	p.standing = r.triager.Arrive(p.triageRequest(), r.Clock.Read().Monotonic)
	p.attemptUntilAnswered(bounded)
	if p.kvCache != nil {
		p.free(Attempt{Request: q}, *p.kvCache)
	}
	if callerGone(ctx) {
		r.Stats.Abandoned.Add(1)
		p.record(recorder.RequestAbandoned, "", "caller went away", zap.Int64("after-milliseconds", int64(p.age())))
	}
}

// defaultTimeout bounds a request if neither the caller nor the route sets a timeout.
const defaultTimeout = 60 * timekeeper.Second

// setDeadline sets the deadline of the request from its route and its caller's time.
func (p *pendingRequest) setDeadline() {
	timeout := p.route.Timeout
	if p.request.Timeout > 0 && (timeout <= 0 || p.request.Timeout < timeout) {
		timeout = p.request.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	p.deadline = p.request.Arrived.Monotonic + timeout
}

// mayOutlast reports whether nothing of the request was sent yet and the instance may end
// before its answer.
func (p *pendingRequest) mayOutlast() bool {
	end := timekeeper.Millis(p.end.Load())
	return end != 0 && p.deadline > end && p.state == retrier.NotSent && !p.begun
}

// leaving returns the refusal of a request because the instance ends. Others serve it at once.
func (p *pendingRequest) leaving() Refusal {
	return Refusal{ReasonLeaving, p.state == retrier.NotSent, withJitter(leavingRetryAfter)}
}

// ErrAborted is the cause with which the contexts of requests end that get their final answer
// because the instance ends.
var ErrAborted = errors.New("instance is shutting down")

// callerGone reports whether a request's context has ended because nobody waits for an answer.
func callerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), ErrAborted)
}

// accept authenticates the request, resolves its route, workspace and service, and
// charges the workspace's quota, or returns a refusal.
func (p *pendingRequest) accept(ctx context.Context) (Refusal, bool) {
	p.awaitStartup(ctx)
	directory, age := p.Holder.Current()
	if directory == nil {
		return Refusal{ReasonUnready, true, withJitter(unavailableRetryAfter)}, false
	}
	route, err := directory.Route(p.request.Host, p.request.Path)
	if err != nil {
		if age > p.options.MaxConfigurationAge {
			return Refusal{ReasonStale, true, withJitter(unavailableRetryAfter)}, false
		}
		return Refusal{Reason: ReasonRoute, NotRun: true}, false
	}
	if directory.RequiresKey(route) && age > p.options.MaxConfigurationAge {
		return Refusal{ReasonStale, true, withJitter(unavailableRetryAfter)}, false
	}
	p.route = route
	workspace, err := directory.Workspace(route, p.request.Key)
	if err != nil {
		return Refusal{Reason: ReasonKey, NotRun: true}, false
	}
	p.workspace = workspace
	p.setDeadline()
	if p.mayOutlast() {
		return p.leaving(), false
	}
	name := route.Choose(rand.Float64())
	service, ok := directory.Service(name)
	if !ok {
		return Refusal{ReasonNoTarget, true, withJitter(unavailableRetryAfter)}, false
	}
	if p.options.OrderByUrgency {
		p.urgency = directory.Urgency(route, workspace, service.Name)
	}
	p.service, p.parts = service, p.suspectableParts(service.Name)
	if refusal, ok := p.withinQuota(ctx, directory); !ok {
		return refusal, false
	}
	if refusal, ok := p.quarantined(); ok {
		return refusal, false
	}
	return Refusal{}, true
}

// withJitter lengthens a span at random by up to half of it, so that refused callers
// don't all retry at the same time.
func withJitter(span timekeeper.Millis) timekeeper.Millis {
	return span + timekeeper.Millis(rand.Int64N(int64(span/2)+1))
}

// remaining returns the time until the request's deadline.
func (p *pendingRequest) remaining() timekeeper.Millis {
	return max(p.deadline-p.Clock.Read().Monotonic, 0)
}

// age returns the time since the request arrived.
func (p *pendingRequest) age() timekeeper.Millis {
	return p.Clock.Read().Monotonic - p.request.Arrived.Monotonic
}

func (p *pendingRequest) refuse(r Refusal) {
	p.Stats.Refusals.Add(string(r.Reason), 1)
	code := recorder.RequestRefused
	if !r.NotRun {
		code = recorder.RequestFailed
	}
	_, configurationAge := p.Holder.Current()
	cause := string(r.Reason)
	if p.lastCause != nil {
		cause += ": " + p.lastCause.Error()
	}
	inputs := append(p.quotaInputs(), zap.Int64("expected-wait-milliseconds", int64(p.lastChoice.Wait)), zap.Float64("load-of-target", p.lastChoice.Load),
		zap.String("role-of-target", p.lastChoice.Target.Role.String()), zap.Bool("late", p.lowPriority),
		zap.String("route", p.route.Name), zap.Int64("after-milliseconds", int64(p.age())),
		zap.Int64("configuration-age-milliseconds", int64(configurationAge)),
		zap.Int("sends", p.sends), zap.Int64("retry-after-milliseconds", int64(r.RetryAfter)), p.standingField())
	p.record(code, p.lastChoice.Target.ID, cause, inputs...)
	if r.NotRun {
		p.countByUrgency("refused")
	} else {
		p.countByUrgency("failed")
	}
	p.caller.Refuse(r)
}

func (p *pendingRequest) record(code recorder.Code, target, cause string, inputs ...zap.Field) {
	p.Record(recorder.Event{Code: code, Request: p.request.ID, Workspace: p.workspace, Target: target, Cause: cause, Inputs: inputs})
}
