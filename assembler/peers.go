package assembler

import (
	"context"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/gossiper"
	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/router"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Messages and records between instances about targets.
const (
	methodStrike = "strike"
	loadKind     = "load"
)

const (
	// exchangePeriod bounds the age of a leaving notice at peers (P10).
	exchangePeriod = 500 * timekeeper.Millisecond
	// strikesPeriod is the interval between repeats of strikes that a peer may have missed.
	strikesPeriod = 5 * timekeeper.Second
	// spreadTimeout bounds how long callers of a crashed target wait for peers to hear of it.
	spreadTimeout = 500 * timekeeper.Millisecond
)

// peers spreads this instance's deltas by gossip, and its strikes directly,
// because the caller of a crashed target waits until peers have heard of them.
type peers struct {
	routing *routing
	urgent  chan struct{}
}

func newPeers(r *routing) *peers {
	p := &peers{routing: r, urgent: make(chan struct{}, 1)}
	i := r.instance
	i.messenger.Handle(methodStrike, handler(p.onStrike))
	subscribe(i.membership, loadKind, func(d router.Delta) { r.router.ObserveDelta(d, i.clock.Now()) }, r.router.Forget)
	return p
}

func (p *peers) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() {
		p.routing.instance.every(ctx, exchangePeriod, func(context.Context) { p.exchange(gossiper.Load) })
	})
	group.Go(func() { p.routing.instance.every(ctx, strikesPeriod, p.repeat) })
	group.Go(func() { p.pushUrgent(ctx) })
	group.Wait()
}

// exchange publishes the own load. A delta always fits into a record.
func (p *peers) exchange(class gossiper.Class) {
	i := p.routing.instance
	if err := i.membership.publish(loadKind, p.routing.router.Delta(i.clock.Now()), class); err != nil {
		i.recorder.Record(recorder.Event{Code: recorder.RecordRefused, Cause: err.Error()})
	}
}

// urge has the own load sent at once if it holds news that cannot wait.
func (p *peers) urge() {
	if !p.routing.router.Urgent() {
		return
	}
	select {
	case p.urgent <- struct{}{}:
	default: // One is on its way already.
	}
}

func (p *peers) pushUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.urgent:
			p.exchange(gossiper.Urgent)
			p.urge() // More notices than one delta holds go at once too.
		}
	}
}

// repeat sends the own strikes that still count.
func (p *peers) repeat(ctx context.Context) {
	p.spread(ctx, p.routing.quarantiner.Strikes(p.routing.instance.clock.Now()))
}

// spread sends strikes at once, even when the caller that waits for it goes away.
func (p *peers) spread(ctx context.Context, s quarantiner.Strikes) {
	if !s.Empty() {
		p.send(context.WithoutCancel(ctx), methodStrike, s)
	}
}

// send calls all peers at once and waits for their answers, at most spreadTimeout.
// A peer that missed a message gets its content with a later one.
func (p *peers) send(ctx context.Context, method string, message any) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout.Duration())
	defer cancel()
	var group sync.WaitGroup
	for _, address := range p.routing.instance.membership.others() {
		group.Go(func() { _ = p.routing.instance.messenger.Call(ctx, address, method, message, nil) })
	}
	group.Wait()
}

func (p *peers) onStrike(_ context.Context, s quarantiner.Strikes) (any, error) {
	p.routing.quarantiner.Observe(s, p.routing.instance.clock.Now())
	return struct{}{}, nil
}
