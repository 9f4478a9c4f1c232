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

// Gossip records about the shares of limits and of pools.
const (
	demandKind  = "demand"
	serviceKind = "service-"
	// serviceSlots is the number of service records of an instance. A pool's record is
	// stored in the slot of its name's hash, so that the number of subscriptions does
	// not grow with the number of pools.
	serviceSlots = 32
)

// services holds the service records of all pools of one slot.
type services struct {
	Pools []scheduler.Service `json:"pools"`
}

// Check returns an error if a record is not well formed.
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

// subscribe merges the records that other instances publish.
func (a *admission) subscribe() {
	m := a.instance.membership
	ignoreGone := func(string) {}
	subscribe(m, demandKind, func(d limiter.Demand) { a.recordMergeError(a.limiter.MergeDemand(a.instance.clock.Now(), d)) }, ignoreGone)
	for slot := range serviceSlots {
		subscribe(m, slotKind(slot), a.onServices, ignoreGone)
	}
}

// recordMergeError records an event if a record was refused.
func (a *admission) recordMergeError(err error) {
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
			a.recordMergeError(p.scheduler.MergeService(s))
		}
	}
}

// publishShares publishes the instance's demand, and its service in each pool that
// changed. It is called once per gossip period.
func (a *admission) publishShares(context.Context) {
	a.setInstances(a.instance.membership.sharingInstances())
	a.publishRecord(demandKind, a.limiter.PublishDemand(a.instance.clock.Now()), gossiper.Wide)
	changed := map[int]bool{}
	slots := map[int]services{}
	for _, p := range a.allPools() {
		served, pending := p.serviceRecord()
		slot := slotOf(served.Pool)
		list := slots[slot]
		list.Pools = append(list.Pools, served)
		slots[slot] = list
		changed[slot] = changed[slot] || pending
	}
	for slot, list := range slots {
		if changed[slot] {
			a.publishRecord(slotKind(slot), list, gossiper.Wide)
		}
	}
}

// publishRecord publishes a record. One that is too large is not sent: the peers then
// fall back to safe shares, which the bound on limit overshoot allows for.
func (a *admission) publishRecord(kind string, v any, class gossiper.Class) {
	err := a.instance.membership.publish(kind, v, class)
	large := errors.Is(err, gossiper.ErrTooLarge)
	if large != a.recordTooLarge.Swap(large) || err != nil && !large {
		a.recordMergeError(err)
	}
}

// serviceRecord returns the record of the pool and whether it is due to be published.
// An unchanged record is repeated regularly for peers that missed it.
func (p *pool) serviceRecord() (scheduler.Service, bool) {
	const resendPeriods = 10
	served := p.scheduler.PublishService()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.periodsSinceSent++
	if served.Version == p.sentVersion && p.periodsSinceSent < resendPeriods {
		return served, false
	}
	p.sentVersion, p.periodsSinceSent = served.Version, 0
	return served, true
}

// setInstances replaces the instances that share limits and pools. Instances that a
// network partition separates must stay in the list.
func (a *admission) setInstances(instances []string) {
	a.limiter.SetInstances(a.instance.clock.Now(), instances)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = instances
	for _, p := range a.pools {
		p.scheduler.SetInstances(instances)
	}
}
