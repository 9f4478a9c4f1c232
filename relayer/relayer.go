// Package relayer leads a request from its caller to a target and the answer
// back: it checks the key, admits, places, attempts, repeats where that is
// allowed, relays and counts. It knows no wire format.
package relayer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Options set the bounds of a relayer; zero fields take the defaults.
type Options struct {
	Instance   string
	DataCentre string
	// Freshness is the longest time since the configuration was confirmed in which keys are trusted.
	Freshness timekeeper.Millis
	// RetryShare is how many repeats the requests of a service earn.
	RetryShare float64
	// RetryAllowance is how many repeats of a service are allowed besides in ten
	// seconds, over all instances; 0 is not declared.
	RetryAllowance float64
}

// Parts are what a relayer works with.
type Parts struct {
	Clock   timekeeper.Clock
	Holder  *resolver.Holder
	Tracker *tracker.Tracker
	// Profiler learns how fast engines work.
	Profiler *profiler.Profiler
	Sender   Sender
	Counter  Counter
	Record   func(recorder.Event)
	Stats    *Stats
}

// Relayer serves the requests of one instance. It is safe for concurrent use.
type Relayer struct {
	Parts
	options Options
	placer  *placer.Placer
	budget  *retrier.Retrier
	leaving atomic.Bool
}

const (
	// retryReserve is how many repeats a service has saved up at most where no
	// allowance is declared.
	retryReserve = 2
	// allowanceShare is the part of the declared allowance that the instances save up
	// together: a window may see what was saved, and the reserve granted twice.
	allowanceShare = 0.3
	// retryMargin keeps the earned repeats below the deployment's share, for windows that cut across bursts.
	retryMargin = 0.8
	// manyAttempts leaves the bound on attempts to the route.
	manyAttempts = 1000
)

// New returns a relayer.
func New(o Options, p Parts) *Relayer {
	return &Relayer{
		Parts: p, options: o, placer: placer.New(o.DataCentre),
		budget: retrier.New(retrier.Options{
			Instance: o.Instance, Share: o.RetryShare * retryMargin, Reserve: retryReserve,
			Burst: retryReserve, MaxAttempts: manyAttempts,
		}),
	}
}

// DivideAllowance divides the declared allowance of repeats by the instances of the fleet.
func (r *Relayer) DivideAllowance(instances int) {
	if r.options.RetryAllowance > 0 {
		r.budget.Reserve(allowanceShare * r.options.RetryAllowance / float64(max(instances, 1)))
	}
}

// Leave makes the relayer tell that it is not ready; requests are still served.
func (r *Relayer) Leave() { r.leaving.Store(true) }

// Ready reports whether requests can be served, and if not, why.
func (r *Relayer) Ready() (bool, Reason) {
	directory, age := r.Holder.Current()
	switch {
	case r.leaving.Load():
		return false, ReasonLeaving
	case directory == nil || !r.Tracker.Listed():
		return false, ReasonUnready
	case age > r.options.Freshness:
		return false, ReasonStale
	}
	return true, ""
}

// Unserved records a request that an entrance refused before it could be served.
func (r *Relayer) Unserved(id string, reason Reason) {
	r.Stats.Refusals.Add(string(reason), 1)
	r.Record(recorder.Event{Code: recorder.RequestRefused, Request: id, Cause: string(reason)})
}

// passage is one request on its way.
type passage struct {
	*Relayer
	request     Request
	caller      Caller
	route       resolver.Route
	service     resolver.Service
	workspace   string
	deadline    timekeeper.Millis // On the monotonic clock.
	sends       int               // Runs that reached a target.
	arrivals    int               // Calls that reached a target, but for a first reading of the prompt.
	unreachable int
	tried       map[string]bool
	state       retrier.State // How far any attempt went.
	counted     bool
	begun       bool   // The caller has the head of an answer.
	lastEvent   string // The last event that the caller has.
	firstAt     timekeeper.Reading
	lastCause   error
	lastChoice  placer.Choice // For which the request would have waited too long.
	held        *held
	memory      *Memory // Of the prompt, kept for the next attempt.
	late        bool    // It cannot be in time, and gives way to those that can.
}

// Serve gives the caller exactly one final answer, unless the context ends first.
func (r *Relayer) Serve(ctx context.Context, q Request, c Caller) {
	p := &passage{Relayer: r, request: q, caller: c, tried: map[string]bool{}, state: retrier.NotSent, lastEvent: q.After}
	if refusal, ok := p.accept(); !ok {
		p.refuse(refusal)
		return
	}
	patience := p.route.Timeout
	if q.Patience > 0 && (patience <= 0 || q.Patience < patience) {
		patience = q.Patience
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	p.deadline = q.Arrived.Monotonic + patience
	run, cancel := context.WithTimeout(ctx, p.left().Duration())
	defer cancel()
	p.budget.Started(p.workspace, p.service.Name, r.Clock.Now())
	if p.service.Engines {
		r.Profiler.Offered(p.service.Name, p.costs().Effort(q.Prompt.Own(), q.Prompt.Input))
	}
	p.run(run)
	if p.memory != nil {
		p.Sender.Free(Attempt{Request: q}, *p.memory)
	}
	if ctx.Err() != nil {
		r.Stats.Abandoned.Add(1)
		p.record(recorder.RequestAbandoned, "", "caller went away", zap.Int64("after-milliseconds", int64(p.age())))
	}
}

// defaultPatience bounds a request for which neither caller nor route sets a time.
const defaultPatience = 60 * timekeeper.Second

// accept decides whether the request may be served at all.
func (p *passage) accept() (Refusal, bool) {
	directory, age := p.Holder.Current()
	if directory == nil {
		return Refusal{ReasonUnready, true, soon(missingReturn)}, false
	}
	route, err := directory.Route(p.request.Host, p.request.Path)
	if err != nil {
		if age > p.options.Freshness {
			return Refusal{ReasonStale, true, soon(missingReturn)}, false
		}
		return Refusal{Reason: ReasonRoute, NotRun: true}, false
	}
	if directory.Keyed(route) && age > p.options.Freshness {
		return Refusal{ReasonStale, true, soon(missingReturn)}, false
	}
	p.route = route
	workspace, err := directory.Workspace(route, p.request.Key)
	if err != nil {
		return Refusal{Reason: ReasonKey, NotRun: true}, false
	}
	p.workspace = workspace
	name := route.Choose(rand.Float64())
	service, ok := directory.Service(name)
	if !ok {
		return Refusal{ReasonNoTarget, true, soon(missingReturn)}, false
	}
	p.service = service
	return Refusal{}, true
}

// soon spreads the return of refused callers over a span and half of it.
func soon(span timekeeper.Millis) timekeeper.Millis {
	return span + timekeeper.Millis(rand.Int64N(int64(span/2)+1))
}

// left returns the time that remains for the request.
func (p *passage) left() timekeeper.Millis {
	return max(p.deadline-p.Clock.Read().Monotonic, 0)
}

// age returns the time since the request came.
func (p *passage) age() timekeeper.Millis {
	return p.Clock.Read().Monotonic - p.request.Arrived.Monotonic
}

func (p *passage) refuse(r Refusal) {
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
	p.record(code, p.lastChoice.Target.ID, cause,
		zap.Int64("expected-wait-milliseconds", int64(p.lastChoice.Wait)), zap.Float64("load-of-target", p.lastChoice.Load),
		zap.String("role-of-target", p.lastChoice.Target.Role.String()), zap.Bool("late", p.late),
		zap.String("route", p.route.Name), zap.Int64("after-milliseconds", int64(p.age())),
		zap.Int64("configuration-age-milliseconds", int64(configurationAge)),
		zap.Int("sends", p.sends), zap.Int64("retry-after-milliseconds", int64(r.RetryAfter)))
	p.caller.Refuse(r)
}

func (p *passage) record(code recorder.Code, target, cause string, inputs ...zap.Field) {
	p.Record(recorder.Event{Code: code, Request: p.request.ID, Workspace: p.workspace, Target: target, Cause: cause, Inputs: inputs})
}
