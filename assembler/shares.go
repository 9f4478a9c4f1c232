package assembler

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/limiter"
	"github.com/gypsumwharf/gypsumwharf/scheduler"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Messages between instances about shares of limits and of pools.
const (
	methodDemand  = "demand"
	methodService = "service"
)

// handle registers the answers to messages of peers.
func (a *admission) handle() {
	a.instance.messenger.Handle(methodDemand, a.onDemand)
	a.instance.messenger.Handle(methodService, a.onService)
}

// share sends the own demand, and the own service in each pool, to all peers. It
// is called once every gossip period.
func (a *admission) share(ctx context.Context) {
	peers := a.instance.routing.peers
	// One silent peer must not delay the other records by its timeout.
	var group sync.WaitGroup
	defer group.Wait()
	demand := a.limiter.Demand(a.instance.clock.Now())
	group.Go(func() { peers.send(ctx, methodDemand, demand) })
	for _, p := range a.all() {
		if served, changed := p.served(); changed {
			group.Go(func() { peers.send(ctx, methodService, served) })
		}
	}
}

// served returns the record of the pool and whether peers may not have it. Idle
// pools repeat theirs now and then, for peers that missed it.
func (p *pool) served() (scheduler.Service, bool) {
	const repeat = 10
	served := p.scheduler.Served()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent++
	if served.Version == p.sent && p.silent < repeat {
		return served, false
	}
	p.sent, p.silent = served.Version, 0
	return served, true
}

func (a *admission) onDemand(_ context.Context, params json.RawMessage) (any, error) {
	var d limiter.Demand
	if err := decode(params, &d); err != nil {
		return nil, err
	}
	return struct{}{}, a.limiter.Merge(a.instance.clock.Now(), d)
}

func (a *admission) onService(_ context.Context, params json.RawMessage) (any, error) {
	var s scheduler.Service
	if err := decode(params, &s); err != nil {
		return nil, err
	}
	a.mu.Lock()
	p, ok := a.pools[s.Pool]
	a.mu.Unlock()
	if !ok {
		return struct{}{}, nil
	}
	return struct{}{}, p.scheduler.Merge(s)
}

// pollInstances takes the platform's list as the instances that share limits and
// pools. A listed instance that is not heard leads to equal shares of limits.
func (a *admission) pollInstances(ctx context.Context) {
	listed, err := a.instance.platform.Instances(ctx)
	if err != nil {
		return
	}
	var names []string
	for _, entry := range listed {
		if !entry.Leaving {
			names = append(names, entry.Name)
		}
	}
	a.known(a.instance.clock.Now(), names)
}

// known replaces the instances that share limits and pools. Instances behind a
// partition must stay in the list.
func (a *admission) known(now timekeeper.Millis, instances []string) {
	a.limiter.Known(now, instances)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = instances
	for _, p := range a.pools {
		p.scheduler.Known(instances)
	}
}
