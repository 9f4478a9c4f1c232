package assembler

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/router"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Messages between instances about targets.
const (
	methodStrike = "strike"
	methodLoad   = "load"
)

const (
	// exchangePeriod bounds the age of a leaving notice at peers (P10).
	exchangePeriod = 500 * timekeeper.Millisecond
	// strikesPeriod is the interval between repeats of strikes that a peer may have missed.
	strikesPeriod = 5 * timekeeper.Second
	// peersPeriod is the interval between reads of the platform's list.
	peersPeriod = 2 * timekeeper.Second
	// spreadTimeout bounds how long callers of a crashed target wait for peers to hear of it.
	spreadTimeout = 500 * timekeeper.Millisecond
	// maxMessageBytes is above the largest message that Check accepts.
	maxMessageBytes = 64 << 10
)

// peers sends this instance's deltas and strikes to the instances that the platform lists.
type peers struct {
	routing *routing
	urgent  chan struct{}

	mu        sync.Mutex
	addresses map[string]string // By instance name.
}

func newPeers(r *routing) *peers {
	p := &peers{routing: r, urgent: make(chan struct{}, 1), addresses: map[string]string{}}
	r.instance.messenger.Handle(methodStrike, p.onStrike)
	r.instance.messenger.Handle(methodLoad, p.onLoad)
	return p
}

func (p *peers) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { p.routing.instance.every(ctx, peersPeriod, p.refresh) })
	group.Go(func() { p.routing.instance.every(ctx, exchangePeriod, p.exchange) })
	group.Go(func() { p.routing.instance.every(ctx, strikesPeriod, p.repeat) })
	group.Go(func() { p.pushUrgent(ctx) })
	group.Wait()
}

// refresh reads the platform's list; during an outage the last one stays in use.
func (p *peers) refresh(ctx context.Context) {
	listed, err := p.routing.instance.platform.Instances(ctx)
	if err != nil {
		return
	}
	addresses := map[string]string{}
	for _, l := range listed {
		if l.Name != p.routing.instance.settings.Instance {
			addresses[l.Name] = l.PeerAddress
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.addresses {
		if addresses[name] == "" {
			p.routing.router.Forget(name)
		}
	}
	p.addresses = addresses
}

// exchange sends the own load.
func (p *peers) exchange(ctx context.Context) {
	p.send(ctx, methodLoad, p.routing.router.Delta(p.routing.instance.clock.Now()))
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
			p.exchange(ctx)
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
	p.mu.Lock()
	var group sync.WaitGroup
	for _, address := range p.addresses {
		group.Go(func() { _ = p.routing.instance.messenger.Call(ctx, address, method, message, nil) })
	}
	p.mu.Unlock()
	group.Wait()
}

func (p *peers) onStrike(_ context.Context, params json.RawMessage) (any, error) {
	var s quarantiner.Strikes
	if err := decode(params, &s); err != nil {
		return nil, err
	}
	p.routing.quarantiner.Observe(s, p.routing.instance.clock.Now())
	return struct{}{}, nil
}

func (p *peers) onLoad(_ context.Context, params json.RawMessage) (any, error) {
	var d router.Delta
	if err := decode(params, &d); err != nil {
		return nil, err
	}
	p.routing.router.ObserveDelta(d, p.routing.instance.clock.Now())
	return struct{}{}, nil
}

// decode reads and checks a message of a peer.
func decode(params json.RawMessage, message interface{ Check() error }) error {
	if len(params) > maxMessageBytes {
		return errors.Errorf("message of %d bytes is too large", len(params))
	}
	if err := json.Unmarshal(params, message); err != nil {
		return errors.Wrap(err, "decode message of peer")
	}
	return message.Check()
}
