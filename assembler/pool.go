package assembler

import (
	"cmp"
	"context"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/scheduler"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// callsPerSlot is the assumed number of service calls per second of one slot of a
// booking service.
const callsPerSlot = 20

// pool is the queue for a set of targets. Routes that the same targets serve share it,
// so that long jobs of one route leave capacity for interactive requests of another.
type pool struct {
	route     declarer.Route
	scheduler *scheduler.Scheduler

	mu            sync.Mutex
	capacity      scheduler.Capacity
	costPerSecond float64 // of all targets
	waiters       map[string]waiter
	keys          map[string]int
	// sentVersion is the version of the last published record, periodsSinceSent the
	// number of gossip periods since then.
	sentVersion      int
	periodsSinceSent int
}

// waiter is a queued request.
type waiter struct {
	key    string
	result chan *server.Refusal
}

// poolName returns a hash of the names of the targets that serve a route, the same at
// all instances.
func poolName(targets []declarer.Target) string {
	names := make([]string, 0, len(targets))
	for _, t := range targets {
		names = append(names, t.Name)
	}
	slices.Sort(names)
	h := fnv.New128a()
	for _, name := range names {
		h.Write([]byte(name + "\n"))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// pool returns the pool of a route.
func (a *admission) pool(r declarer.Route) *pool {
	a.mu.Lock()
	p, ok := a.byRoute[r.Name]
	current := a.generation == a.instance.Catalogue().Generation()
	a.mu.Unlock()
	if ok && current {
		return p
	}
	a.refresh()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.getOrCreatePool(a.instance.Catalogue(), r)
}

// getOrCreatePool returns the pool of a route's targets and creates it if necessary.
// The caller holds mu.
func (a *admission) getOrCreatePool(c *declarer.Catalogue, r declarer.Route) *pool {
	name := poolName(c.TargetsOf(r))
	p, ok := a.pools[name]
	if !ok {
		origin := scheduler.Origin{Instance: a.instance.settings.Instance, Incarnation: a.instance.incarnation, Pool: name}
		p = &pool{
			route: r, waiters: map[string]waiter{}, keys: map[string]int{},
			scheduler: scheduler.New(origin, scheduler.WithQueue(a.instance.settings.QueueRequests)),
		}
		p.scheduler.SetInstances(a.instances)
		p.update(a.instance, a.instance.clock.Now())
		a.pools[name] = p
	}
	a.byRoute[r.Name] = p
	return p
}

// refresh updates the pools by the configuration and the available targets.
func (a *admission) refresh() {
	catalogue := a.instance.Catalogue()
	a.mu.Lock()
	changed := a.generation != catalogue.Generation()
	if changed {
		a.generation = catalogue.Generation()
		clear(a.byRoute)
		for _, r := range catalogue.Declaration().Routes {
			a.getOrCreatePool(catalogue, r)
		}
		a.dropPools()
	}
	a.mu.Unlock()
	for _, p := range a.allPools() {
		p.update(a.instance, a.instance.clock.Now())
		if changed {
			a.refuseUnknownKeys(p)
		}
	}
}

// dropPools deletes empty pools that no route uses any more. The caller holds mu.
func (a *admission) dropPools() {
	used := map[*pool]bool{}
	for _, p := range a.byRoute {
		used[p] = true
	}
	for name, p := range a.pools {
		if state := p.scheduler.State(); !used[p] && state.Waiting+state.Running == 0 {
			delete(a.pools, name)
		}
	}
}

// refuseUnknownKeys refuses waiting requests whose access key no longer works.
func (a *admission) refuseUnknownKeys(p *pool) {
	p.mu.Lock()
	var unknown []string
	for key := range p.keys {
		if a.instance.configuration.recheckKey(key) != nil {
			unknown = append(unknown, key)
		}
	}
	p.mu.Unlock()
	for _, key := range unknown {
		p.refuse(p.scheduler.WithdrawKey(key))
	}
}

// update sets the capacity from the targets to which the router sends work.
func (p *pool) update(i *Instance, now timekeeper.Millis) {
	i.routing.reports.adoptConfiguration()
	free := i.routing.router.Capacity(p.route.Name, true, now)
	c := scheduler.Capacity{
		Targets: free.Targets, Slots: max(int(free.Slots+0.5), free.Targets),
		Prefill: free.PrefillPerSecond, Decode: free.DecodePerSecond,
	}
	if p.route.Kind == declarer.RouteKindService {
		c.Prefill, c.Decode = float64(c.Slots)*callsPerSlot, float64(c.Slots)*callsPerSlot
	}
	cost := 0.0
	targets := i.Catalogue().TargetsOf(p.route)
	for _, t := range targets {
		cost += t.CostPerHour / 3600 / float64(len(targets))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c != p.capacity {
		p.scheduler.SetCapacity(c)
	}
	p.capacity, p.costPerSecond = c, cost*float64(c.Targets)
}

// spend returns the cost of the targets for some work.
func (p *pool) spend(c estimator.Cost) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.capacity.Targets == 0 {
		return 0
	}
	return (c.Prefill/p.capacity.Prefill + c.Output/p.capacity.Decode) * p.costPerSecond
}

// wait queues a request until the scheduler starts or refuses it. If the pool has no
// target it returns at once, and the router then refuses the request.
func (p *pool) wait(ctx context.Context, now timekeeper.Millis, t *ticket) *server.Refusal {
	r := t.request
	result := make(chan *server.Refusal, 1)
	p.mu.Lock()
	if p.capacity.Targets == 0 {
		p.mu.Unlock()
		return nil
	}
	p.waiters[r.ID] = waiter{key: r.keyHash, result: result}
	p.keys[r.keyHash]++
	p.mu.Unlock()
	p.refuse(p.scheduler.Submit(now, scheduler.Request{
		ID: r.ID, Workspace: r.workspace.Name, Weight: cmp.Or(r.workspace.Weight, 1), Key: r.keyHash,
		Class: r.class, Cost: t.cost(t.estimate.Cost), Arrived: r.arrived, NotStreamed: !r.Stream,
	}))
	p.startReady(now)
	select {
	case refusal := <-result:
		return refusal
	case <-ctx.Done():
	}
	if !p.scheduler.Cancel(r.ID) {
		// The request was started or refused before it could be cancelled.
		return <-result
	}
	p.removeWaiter(r.ID)
	p.startReady(t.admission.instance.clock.Now())
	if errors.Is(context.Cause(ctx), errDeadline) {
		return server.Refuse(server.CodeDeadline, "%v", errDeadline).WithRetryAfter(timekeeper.Second)
	}
	return server.Refuse(server.CodeDeadline, "%v", errCallerGone)
}

// startReady starts the requests that the scheduler selects, and refuses those that
// cannot make their deadline.
func (p *pool) startReady(now timekeeper.Millis) {
	start, refused := p.scheduler.Next(now)
	for _, r := range start {
		if w, ok := p.removeWaiter(r.ID); ok {
			w.result <- nil
		}
	}
	p.refuse(refused)
}

func (p *pool) removeWaiter(id string) (waiter, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.waiters[id]
	if ok {
		delete(p.waiters, id)
		if p.keys[w.key]--; p.keys[w.key] == 0 {
			delete(p.keys, w.key)
		}
	}
	return w, ok
}

func (p *pool) refuse(refused []scheduler.Refusal) {
	for _, f := range refused {
		w, ok := p.removeWaiter(f.ID)
		if !ok {
			continue
		}
		switch f.Reason {
		case scheduler.KeyWithdrawn:
			w.result <- server.Refuse(server.CodeKeyInvalid, "the key was withdrawn while the request waited")
		case scheduler.QueueFull:
			w.result <- server.Refuse(server.CodeQueueFull, "the instance's queue is full").WithRetryAfter(f.RetryAfter)
		default:
			w.result <- server.Refuse(server.CodeDeadline, "the request cannot make the deadline of its class").WithRetryAfter(f.RetryAfter)
		}
	}
}

func (p *pool) firstToken(now timekeeper.Millis, id string) {
	p.scheduler.FirstToken(now, id)
	p.startReady(now)
}

func (p *pool) finish(now timekeeper.Millis, id string, used estimator.Cost) {
	p.scheduler.Finish(now, id, used)
	p.startReady(now)
}
