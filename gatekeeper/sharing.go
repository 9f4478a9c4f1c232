package gatekeeper

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/registrar"
	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// cleanInterval is the time between looks for entries of instances that are gone.
const cleanInterval = 10 * timekeeper.Minute

// share tells other instances the loads, and in a large fleet what changed in the
// store, if the settings name an address for it.
func (g *Gatekeeper) share(ctx context.Context, work *sync.WaitGroup, followers []kindFollower) error {
	if g.settings.PeerAddress == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(g.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer-address")
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	parts := sharer.Parts{
		Clock: g.clock, Process: g.process, Own: g.tracker.Loads, Eligible: g.eligible, Record: g.record, Figures: g.figures, Turnover: g.profiler.Turnover, Sources: map[string]sharer.Source{},
		Self: sharer.Peer{Name: g.settings.Instance, Address: address, DataCentre: g.settings.DataCentre, Strength: g.settings.ProcessorShare},
	}
	for _, f := range followers {
		parts.Sources[f.kind] = f
	}
	g.sharer = sharer.New(parts)
	for _, f := range followers {
		f.Join(g.sharer)
	}
	g.tracker.Ask(g.sharer.Others)
	g.profiler.Ask(func(service string) profiler.Sums { return profiler.SumsOf(g.sharer.SeenOf(service)) })
	work.Go(func() { g.sharer.Run(ctx, socket) })
	work.Go(func() { g.register(ctx) })
	return nil
}

// figures returns what this instance saw of services, for others.
func (g *Gatekeeper) figures() sharer.Figures {
	figures := sharer.Figures{}
	for service, sums := range g.profiler.Own() {
		figures[sharer.KeyOf(service)] = sums[:]
	}
	return figures
}

// eligible reports whether the instance may hold duties: it serves and hears the store.
func (g *Gatekeeper) eligible() bool {
	ready, _ := g.relayer.Ready()
	return ready
}

// register keeps the instance's entry in the store and finds the others until the context ends.
func (g *Gatekeeper) register(ctx context.Context) {
	known := -1
	entry := registrar.Entry{PeerAddress: g.settings.PeerAddress, DataCentre: g.settings.DataCentre, Strength: g.settings.ProcessorShare}
	r := registrar.New(g.platform.Store, g.clock, g.settings.Instance, entry, func(err error) {
		g.record(recorder.Event{Code: recorder.DependencyLost, Cause: err.Error()})
	})
	r.Run(ctx, func(peers []sharer.Peer) {
		g.sharer.SetPeers(peers)
		g.relayer.DivideAllowance(len(peers) + 1)
		if len(peers) != known {
			known = len(peers)
			g.record(recorder.Event{Code: recorder.InstanceJoined, Cause: "instances in the store", Inputs: []zap.Field{zap.Int("others", known)}})
		}
	})
}

// cleanInstances removes entries of instances that are gone until the context ends.
func (g *Gatekeeper) cleanInstances(ctx context.Context) {
	for timekeeper.Sleep(ctx, cleanInterval) {
		if err := registrar.Clean(ctx, g.platform.Store, g.clock.Now()); err != nil && ctx.Err() == nil {
			g.record(recorder.Event{Code: recorder.DependencyLost, Cause: "clean the list of instances: " + err.Error()})
		}
	}
}
