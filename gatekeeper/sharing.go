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

// cleanupInterval is the time between removals of entries of stopped instances.
const cleanupInterval = 10 * timekeeper.Minute

// startSharing starts the exchange with other instances if the settings have a peer
// address: of loads, and in a large deployment also of changes in the store.
func (g *Gatekeeper) startSharing(ctx context.Context, work *sync.WaitGroup, followers []kindFollower) error {
	if g.settings.PeerAddress == "" {
		g.relayer.DivideAllowance(1, 0)
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
	dependencies := sharer.Dependencies{
		Clock: g.clock, Process: g.processID, LocalLoads: g.tracker.Loads, Eligible: g.eligible, Record: g.record, LocalFigures: g.figures, Quarantine: g.quarantine, Quotas: g.quotas, ShortestPrefillTime: g.profiler.ShortestPrefillTime, SoleEra: g.platform.Store.SoleEra, Sources: map[string]sharer.Source{},
		Self: sharer.Peer{Name: g.settings.Instance, Address: address, DataCentre: g.settings.DataCentre, ProcessorShare: g.settings.ProcessorShare},
	}
	for _, f := range followers {
		dependencies.Sources[f.kind] = f
	}
	g.sharer = sharer.New(dependencies)
	for _, f := range followers {
		f.Join(g.sharer)
	}
	g.tracker.SetRemoteLoads(g.sharer.RemoteLoads)
	g.profiler.SetRemoteSums(func(service string) profiler.Sums { return profiler.SumsOf(g.sharer.RemoteFigures(service)) })
	work.Go(func() { g.sharer.Run(ctx, socket) })
	work.Go(func() { g.register(ctx) })
	return nil
}

// figures returns this instance's measurements of services, to be sent to others.
func (g *Gatekeeper) figures() sharer.Figures {
	figures := sharer.Figures{}
	for service, sums := range g.profiler.LocalSums() {
		figures[sharer.KeyOf(service)] = sums[:]
	}
	return figures
}

// eligible reports whether the instance may hold duties, which requires that it serves
// and follows the store.
func (g *Gatekeeper) eligible() bool {
	ready, _ := g.relayer.Ready()
	return ready
}

// register maintains the instance's entry in the store and discovers the other
// instances until the context ends.
func (g *Gatekeeper) register(ctx context.Context) {
	knownPeers := -1
	entry := registrar.Entry{PeerAddress: g.settings.PeerAddress, DataCentre: g.settings.DataCentre, Strength: g.settings.ProcessorShare}
	r := registrar.New(g.platform.Store, g.clock, g.settings.Instance, entry, func(err error) {
		g.record(recorder.Event{Code: recorder.DependencyLost, Cause: err.Error()})
	})
	r.OnRewrite(func() { g.recordRewrite(registrar.Kind, 1) })
	r.Run(ctx, func(peers []sharer.Peer) {
		g.sharer.SetPeers(peers)
		g.relayer.DivideAllowance(len(peers)+1, rankOf(g.settings.Instance, peers))
		g.quotas.SetPeers(quotaPeers(peers), r.Known(), g.clock.Read().Monotonic)
		if len(peers) != knownPeers {
			knownPeers = len(peers)
			g.record(recorder.Event{Code: recorder.InstanceJoined, Cause: "instances in the store", Inputs: []zap.Field{zap.Int("others", knownPeers)}})
		}
	})
}

// rankOf returns the place of an instance among all by name, from 0.
func rankOf(name string, peers []sharer.Peer) int {
	rank := 0
	for _, p := range peers {
		if p.Name < name {
			rank++
		}
	}
	return rank
}

// cleanInstances removes entries of stopped instances until the context ends.
func (g *Gatekeeper) cleanInstances(ctx context.Context) {
	for timekeeper.Sleep(ctx, cleanupInterval) {
		if err := registrar.RemoveExpired(ctx, g.platform.Store, g.clock.Now()); err != nil && ctx.Err() == nil {
			g.record(recorder.Event{Code: recorder.DependencyLost, Cause: "remove entries of stopped instances: " + err.Error()})
		}
	}
}
