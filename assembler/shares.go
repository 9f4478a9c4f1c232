package assembler

import (
	"context"
	"hash/fnv"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/gossiper"
	"github.com/gypsumwharf/gypsumwharf/limiter"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/scheduler"
)

// Records about shares of limits and of pools.
const (
	demandKind  = "demand"
	serviceKind = "service-"
	// serviceSlots is the number of service records of an instance; a pool's record
	// goes into the slot of its name, so that subscriptions do not grow with pools.
	serviceSlots = 32
)

// services are the records of the pools of one slot.
type services struct {
	Pools []scheduler.Service `json:"pools"`
}

// Check reports whether every record is well formed.
func (s services) Check() error {
	for _, service := range s.Pools {
		if err := service.Check(); err != nil {
			return err
		}
	}
	return nil
}

func slotOf(pool string) int {
	h := fnv.New32a()
	h.Write([]byte(pool))
	return int(h.Sum32() % serviceSlots)
}

func slotKind(slot int) string { return serviceKind + strconv.Itoa(slot) }

// subscribe takes the shares that other instances publish.
func (a *admission) subscribe() {
	m := a.instance.membership
	nothing := func(string) {}
	subscribe(m, demandKind, func(d limiter.Demand) { a.merged(a.limiter.Merge(a.instance.clock.Now(), d)) }, nothing)
	for slot := range serviceSlots {
		subscribe(m, slotKind(slot), a.onServices, nothing)
	}
}

// merged records a record of a peer that is refused.
func (a *admission) merged(err error) {
	if err != nil {
		a.instance.recorder.Record(recorder.Event{Code: recorder.RecordRefused, Cause: err.Error()})
	}
}

func (a *admission) onServices(list services) {
	for _, s := range list.Pools {
		a.mu.Lock()
		p, ok := a.pools[s.Pool]
		a.mu.Unlock()
		if ok {
			a.merged(p.scheduler.Merge(s))
		}
	}
}

// share publishes the own demand, and the own service in each pool that changed.
// It is called once every gossip period.
func (a *admission) share(context.Context) {
	a.known(a.instance.membership.sharers())
	a.publish(demandKind, a.limiter.Demand(a.instance.clock.Now()), gossiper.Wide)
	changed := map[int]bool{}
	slots := map[int]services{}
	for _, p := range a.all() {
		served, news := p.served()
		slot := slotOf(served.Pool)
		list := slots[slot]
		list.Pools = append(list.Pools, served)
		slots[slot] = list
		changed[slot] = changed[slot] || news
	}
	for slot, list := range slots {
		if changed[slot] {
			a.publish(slotKind(slot), list, gossiper.Wide)
		}
	}
}

// publish spreads a record. One that does not fit is left out: its peers fall
// back to safe shares, which the limit's bound allows.
func (a *admission) publish(kind string, v any, class gossiper.Class) {
	err := a.instance.membership.publish(kind, v, class)
	large := errors.Is(err, gossiper.ErrTooLarge)
	if large != a.large.Swap(large) || err != nil && !large {
		a.merged(err)
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

// known replaces the instances that share limits and pools. Instances behind a
// partition must stay in the list.
func (a *admission) known(instances []string) {
	a.limiter.Known(a.instance.clock.Now(), instances)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = instances
	for _, p := range a.pools {
		p.scheduler.Known(instances)
	}
}
