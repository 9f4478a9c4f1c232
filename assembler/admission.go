package assembler

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/limiter"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// demandDelivery is the time in which a demand record reaches all instances; the
	// bound on limit overshoot depends on it. A simulation of 14 instances with 700 B
	// records and 65,536 B/s shows a median of 2.8 s.
	demandDelivery = 4 * timekeeper.Second
	// admissionTick bounds the delay with which missed deadlines and promotions are applied.
	admissionTick = 20 * timekeeper.Millisecond
	// capacityPeriod bounds the age of a pool's capacity. Reading every target with
	// each tick would cost more than the scheduling itself in a large fleet.
	capacityPeriod = 500 * timekeeper.Millisecond
	// limitWaitDivisor gives the longest wait for a limit: the deadline divided by it.
	limitWaitDivisor = 4
)

// admission enforces the limits of workspaces and queues requests in the pool of
// targets that serves their route.
type admission struct {
	instance  *Instance
	limiter   *limiter.Limiter
	estimator *estimator.Estimator

	// waitingForLimit counts the requests that wait for a limit.
	waitingForLimit atomic.Int64

	recordTooLarge atomic.Bool // the last record exceeded the size of a gossip record

	mu         sync.Mutex
	generation int64
	pools      map[string]*pool
	byRoute    map[string]*pool
	instances  []string
}

func newAdmission(i *Instance) *admission {
	now := i.clock.Now()
	timing := limiter.Timing{
		Period:   timekeeper.Millis(i.settings.GossipMilliseconds),
		Delivery: max(8*timekeeper.Millis(i.settings.GossipMilliseconds), demandDelivery),
	}
	a := &admission{
		instance:  i,
		limiter:   limiter.New(now, i.settings.Instance, i.incarnation, limiter.WithTiming(timing)),
		estimator: estimator.New(),
		pools:     map[string]*pool{},
		byRoute:   map[string]*pool{},
		instances: []string{i.settings.Instance},
	}
	a.subscribe()
	return a
}

// ticket is the admission of one request; its holder calls finish exactly once.
type ticket struct {
	admission       *admission
	pool            *pool
	request         request
	estimateRequest estimator.Request
	estimate        estimator.Estimate
	grant           limiter.Grant
}

// admit charges a request to its limits and waits until the scheduler starts it.
func (a *admission) admit(ctx context.Context, r request) (*ticket, *server.Refusal) {
	now := a.instance.clock.Now()
	t := &ticket{admission: a, pool: a.pool(r.Route), request: r}
	if r.Route.Kind == declarer.RouteKindModel {
		t.estimateRequest = estimator.Request{
			Workspace: r.workspace.Name, Route: r.Route.Name, PromptBytes: len(r.Prompt), MaxOutput: int(r.MaxTokens),
		}
		t.estimate = a.estimator.Estimate(t.estimateRequest)
	}
	if refusal := t.charge(ctx, now); refusal != nil {
		return nil, refusal
	}
	if refusal := t.pool.wait(ctx, a.instance.clock.Now(), t); refusal != nil {
		a.limiter.Release(a.instance.clock.Now(), t.grant)
		return nil, refusal
	}
	return t, nil
}

// charge charges the request to its limits. A request whose class has no deadline for
// the first token may wait for a part of its total deadline: an instance's share may
// be smaller than one long prompt, and refusing such requests would lose half of a
// load that is within the limits.
func (t *ticket) charge(ctx context.Context, now timekeeper.Millis) *server.Refusal {
	a, r, amount := t.admission, t.request, t.amount(t.estimate.PromptTokens, t.estimate.Cost)
	var refused *limiter.Refusal
	if t.grant, refused = a.limiter.Admit(now, r.workspace, amount); refused == nil {
		return nil
	}
	lastStart := r.arrived
	if r.class.FirstTokenMilliseconds == 0 {
		lastStart += timekeeper.Millis(r.class.DeadlineMilliseconds) / limitWaitDivisor
	}
	defer a.waitingForLimit.Add(-1)
	if a.waitingForLimit.Add(1) > int64(a.instance.settings.QueueRequests) {
		lastStart = r.arrived
	}
	for now+refused.RetryAfter <= lastStart && timekeeper.Sleep(ctx, refused.RetryAfter) {
		if refusal := a.instance.recheckKey(r); refusal != nil {
			return refusal
		}
		now = a.instance.clock.Now()
		if t.grant, refused = a.limiter.RetryAdmission(now, r.workspace, amount); refused == nil {
			return nil
		}
	}
	return server.Refuse(server.CodeOverLimit, "limit %s of workspace %q is used up", refused.Dimension, r.workspace.Name).
		WithRetryAfter(refused.RetryAfter)
}

// cost returns the work of the request; a service call counts as one output token.
func (t *ticket) cost(c estimator.Cost) estimator.Cost {
	if t.request.Route.Kind == declarer.RouteKindService {
		return estimator.Cost{Output: 1}
	}
	return c
}

// amount converts prompt tokens, cached ones included, and work to the units of the limits.
func (t *ticket) amount(prompt float64, c estimator.Cost) limiter.Amount {
	amount := limiter.Amount{Spend: t.pool.spend(t.cost(c))}
	if t.request.Route.Kind == declarer.RouteKindModel {
		amount.Tokens = prompt + c.Output
	}
	return amount
}

// finish ends the request and corrects its charges by the result.
func (t *ticket) finish(result dispatcher.Result) {
	a, now, usage := t.admission, t.admission.instance.clock.Now(), result.Usage
	if result.State == dispatcher.StateNotSent {
		t.pool.finish(now, t.request.ID, estimator.Cost{})
		a.limiter.Release(now, t.grant)
		return
	}
	used := estimator.Cost{Prefill: float64(max(usage.PromptTokens-usage.CachedTokens, 0)), Output: float64(usage.OutputTokens)}
	prompt := float64(usage.PromptTokens)
	if usage.PromptTokens == 0 {
		// The target reported no usage: the prompt's estimate is used.
		used.Prefill, prompt = t.estimate.Prefill, t.estimate.PromptTokens
	}
	t.pool.finish(now, t.request.ID, t.cost(used))
	a.limiter.Done(now, t.grant, t.amount(prompt, used))
	if t.request.Route.Kind == declarer.RouteKindModel && usage.PromptTokens > 0 {
		a.estimator.Observe(t.estimateRequest, estimator.Answer{
			PromptTokens: int(usage.PromptTokens), CachedTokens: int(usage.CachedTokens), OutputTokens: int(usage.OutputTokens),
			Partial: result.State != dispatcher.StateAnswered,
		})
	}
}

// watch returns a sink that reports the progress of a stream to the pool.
func (t *ticket) watch(next dispatcher.Sink) dispatcher.Sink {
	if !t.request.Stream {
		return next
	}
	return &meteredSink{Sink: next, ticket: t}
}

// correctionInterval is the number of events between two corrections of a stream's cost.
const correctionInterval = 64

// meteredSink counts the events of a stream, one output token each.
type meteredSink struct {
	dispatcher.Sink
	ticket *ticket
	events int
}

// Write implements dispatcher.Sink.
func (m *meteredSink) Write(data []byte) error {
	m.events++
	t := m.ticket
	if m.events == 1 {
		t.pool.firstToken(t.admission.instance.clock.Now(), t.request.ID)
	}
	if m.events%correctionInterval == 0 {
		better := t.estimate.WithStreamed(m.events)
		t.pool.scheduler.UpdateCost(t.request.ID, better.Cost)
		t.grant = t.admission.limiter.UpdateCharge(t.admission.instance.clock.Now(), t.grant, t.amount(better.PromptTokens, better.Cost))
	}
	return m.Sink.Write(data)
}

// run applies deadlines and promotions, publishes shares, and follows changes of the
// configuration and of the targets' capacity.
func (a *admission) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		a.instance.every(ctx, timekeeper.Millis(a.instance.settings.GossipMilliseconds), a.publishShares)
	})
	group.Go(func() { a.instance.every(ctx, capacityPeriod, func(context.Context) { a.refresh() }) })
	a.instance.every(ctx, admissionTick, func(context.Context) {
		now := a.instance.clock.Now()
		for _, p := range a.allPools() {
			p.startReady(now)
		}
	})
}

// withdrawKey refuses all waiting requests of a key.
func (a *admission) withdrawKey(hash string) {
	for _, p := range a.allPools() {
		p.refuse(p.scheduler.WithdrawKey(hash))
	}
}

func (a *admission) allPools() []*pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*pool, 0, len(a.pools))
	for _, p := range a.pools {
		list = append(list, p)
	}
	return list
}

// errCallerGone means that the caller disconnected while its request waited.
var errCallerGone = errors.New("caller went away while the request waited")
