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

// Messages and gossip records between instances about targets.
const (
	methodStrike = "strike"
	loadKind     = "load"
)

const (
	// loadPublishPeriod bounds the delay until peers learn that a target is leaving (P10).
	loadPublishPeriod = 500 * timekeeper.Millisecond
	// strikeResendInterval is the interval between repeats of strikes, for peers that missed them.
	strikeResendInterval = 5 * timekeeper.Second
	// broadcastTimeout bounds how long callers of a crashed target wait until peers know of the crash.
	broadcastTimeout = 500 * timekeeper.Millisecond
)

// peers sends this instance's load deltas by gossip. It sends strikes directly, because
// the callers of a crashed target wait until peers have received them.
type peers struct {
	routing *routing
	urgent  chan struct{}
}

func newPeers(r *routing) *peers {
	p := &peers{routing: r, urgent: make(chan struct{}, 1)}
	i := r.instance
	i.messenger.Handle(methodStrike, handler(p.onStrike))
	subscribe(i.membership, loadKind, func(d router.Delta) { r.router.ObserveDelta(d, i.clock.Now()) }, r.router.RemovePeer)
	return p
}

func (p *peers) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() {
		p.routing.instance.every(ctx, loadPublishPeriod, func(context.Context) { p.publishLoad(gossiper.Load) })
	})
	group.Go(func() { p.routing.instance.every(ctx, strikeResendInterval, p.resendStrikes) })
	group.Go(func() { p.publishUrgent(ctx) })
	group.Wait()
}

// publishLoad publishes the local load. A delta always fits into a record.
func (p *peers) publishLoad(class gossiper.Class) {
	i := p.routing.instance
	if err := i.membership.publish(loadKind, p.routing.router.Delta(i.clock.Now()), class); err != nil {
		i.recorder.Record(recorder.Event{Code: recorder.RecordRefused, Cause: err.Error()})
	}
}

// scheduleUrgent has the local load published at once if it holds an urgent change.
func (p *peers) scheduleUrgent() {
	if !p.routing.router.Urgent() {
		return
	}
	select {
	case p.urgent <- struct{}{}:
	default: // A publication is pending already.
	}
}

func (p *peers) publishUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.urgent:
			p.publishLoad(gossiper.Urgent)
			p.scheduleUrgent() // Changes that did not fit into the delta are sent at once too.
		}
	}
}

// resendStrikes sends the local strikes that have not expired.
func (p *peers) resendStrikes(ctx context.Context) {
	p.sendStrikes(ctx, p.routing.quarantiner.Strikes(p.routing.instance.clock.Now()))
}

// sendStrikes sends strikes at once, even if the waiting caller disconnects.
func (p *peers) sendStrikes(ctx context.Context, s quarantiner.Strikes) {
	if !s.Empty() {
		p.broadcast(context.WithoutCancel(ctx), methodStrike, s)
	}
}

// broadcast calls all peers concurrently and waits for their answers, at most
// broadcastTimeout. A peer that missed a message gets its content with a later one.
func (p *peers) broadcast(ctx context.Context, method string, message any) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout.Duration())
	defer cancel()
	var group sync.WaitGroup
	for _, address := range p.routing.instance.membership.remoteAddresses() {
		group.Go(func() { _ = p.routing.instance.messenger.Call(ctx, address, method, message, nil) })
	}
	group.Wait()
}

func (p *peers) onStrike(_ context.Context, s quarantiner.Strikes) (any, error) {
	p.routing.quarantiner.Observe(s, p.routing.instance.clock.Now())
	return struct{}{}, nil
}
