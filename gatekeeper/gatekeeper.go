// Package gatekeeper runs one entry instance whose durable state is stored on the
// platform: it follows configuration and targets, serves requests, counts usage,
// competes for duties, and shuts down gracefully.
package gatekeeper

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/allocator"
	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/provisioner"
	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/relayer"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/tallier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// configurationWait is how long a long poll waits for a newer configuration. Twice
	// that must stay well below the time for which keys are trusted.
	configurationWait = 1500 * timekeeper.Millisecond
	// configurationPatience is how long a listing of it may be silent before another is sent:
	// without a confirmed configuration no key is trusted.
	configurationPatience = 300 * timekeeper.Millisecond
	// targetsWait is how long a long poll waits for changes of targets.
	targetsWait = 2000 * timekeeper.Millisecond
	// batchDelayShare is the share of the leaving time that the follower waits after
	// changes of targets, so that one call fetches several.
	batchDelayShare = 0.125
	// expiredEntryShare is the share of the leaving time for which entries that expired
	// while the store was unavailable stay in use after its recovery.
	expiredEntryShare = 0.9
	// acceptShare is the share of the shutdown time in which new connections are still
	// accepted, because the load balancer reacts after two checks, one a second.
	acceptShare = 0.28
	// drainShare is the share after which connections are closed that have no request. It
	// leaves callers that have just connected time to send one.
	drainShare = 0.31
	// closeConnectionsShare is the share after which each answer closes its connection.
	closeConnectionsShare = 0.2
	// abortShare is the share after which requests in flight are aborted.
	abortShare = 0.92
	// leaseMarginShare and leaseSendShare are the shares of a lease reserved for clock
	// differences and for calls in flight.
	leaseMarginShare = 0.15
	leaseSendShare   = 0.3
	// candidacyInterval is the time between checks whether the instance may compete for
	// the lease.
	candidacyInterval = timekeeper.Second
	// startupTime is how long the first listing of the configuration and of the targets
	// may take when all instances start at once.
	startupTime = 1500 * timekeeper.Millisecond
	// controlTimeout and controlIdleTimeout bound readiness checks and metrics requests,
	// and the time between them.
	controlTimeout     = 5 * time.Second
	controlIdleTimeout = time.Minute
	// controlHeaderBytes bounds their headers.
	controlHeaderBytes = 16 << 10
	// controlDescriptors bounds the descriptors of their connections.
	controlDescriptors = 32
)

// Store is the part of the platform's store that an instance uses.
type Store interface {
	storer.Objects
	storer.Feed
	storer.Eras
	// OnEra sets functions that are called when the store has come back from a copy, and
	// when it names an era that is not valid.
	OnEra(returned func(from, to storer.Era), invalid func(value string))
}

// Duties carries out the decisions of the duty holder: it orders targets and submits usage.
type Duties interface {
	provisioner.Platform
	Submit(ctx context.Context, token int64, w tallier.Window, c tallier.Counts) error
}

// Platform holds everything that is specific to the platform.
type Platform struct {
	Store             Store
	Sender            relayer.Sender
	Duties            Duties // Nil if the instance never holds duties.
	ConfigurationKind string
	ConfigurationName string
	TargetsKind       string
	DecodeDirectory   func([]byte) (*resolver.Directory, error)
	DecodeTarget      func(storer.Object) (tracker.Target, error)
}

// Entrance accepts requests in the platform's wire format.
type Entrance interface {
	Serve(l net.Listener) error
	CloseConnections()
	Shutdown(ctx context.Context) error
}

// Gatekeeper is one entry instance with its components.
type Gatekeeper struct {
	settings   configurer.Entry
	platform   Platform
	clock      timekeeper.Clock
	steady     *timekeeper.SmoothedClock
	record     func(recorder.Event)
	holder     *resolver.Holder
	tracker    *tracker.Tracker
	profiler   *profiler.Profiler
	tallier    *tallier.Tallier
	relayer    *relayer.Relayer
	stats      *relayer.Stats
	quarantine *quarantiner.PartQuarantine
	processID  string
	quotas     *allocator.Allocator
	sharer     *sharer.Sharer // Nil if instances don't exchange loads.
	listed     sync.Once
	firstList  chan struct{} // Closed after the first list of targets.
}

// New returns an instance that is not yet running.
func New(s configurer.Entry, p Platform, record func(recorder.Event)) *Gatekeeper {
	clock := timekeeper.System()
	g := &Gatekeeper{
		settings: s, platform: p, clock: clock, steady: timekeeper.NewSmoothedClock(), record: record,
		holder: resolver.NewHolder(clock), stats: relayer.NewStats(),
		tallier:  tallier.New(seconds(s.UsageWindowSeconds)),
		profiler: profiler.New(clock), firstList: make(chan struct{}),
	}
	g.quarantine = quarantiner.NewPartQuarantine(clock, g.recordQuarantine)
	// The name is included because instances started together may read the same time.
	g.processID = fmt.Sprintf("%s.%x", s.Instance, time.Now().UnixNano())
	leaving := timekeeper.Millis(s.LeavingMilliseconds)
	g.tracker = tracker.New(clock, timekeeper.Millis(expiredEntryShare*float64(leaving)), g.recordTargetChange)
	g.tracker.SetHeartbeat(timekeeper.Millis(s.HeartbeatMilliseconds))
	g.quotas = allocator.New(allocator.Peer{Name: s.Instance, DataCentre: s.DataCentre, Strength: s.ProcessorShare}, g.quotaOf)
	if s.PeerAddress == "" {
		g.quotas.SetPeers(nil, true, clock.Read().Monotonic)
	}
	g.relayer = relayer.New(relayer.Options{
		DataCentre: s.DataCentre, RetryShare: s.RetryShare, RetryAllowance: s.RetryAllowance, OrderByUrgency: s.OrderByUrgency,
		MaxConfigurationAge: timekeeper.Millis(s.KeyWithdrawalMilliseconds), StartupTime: startupTime,
	}, relayer.Dependencies{
		Clock: clock, Holder: g.holder, Tracker: g.tracker, Profiler: g.profiler, Sender: p.Sender, Counter: steadyCounter{g}, Record: record, Stats: g.stats,
		Quarantine: g.quarantine, MayTry: g.mayTry, Quotas: quotaGate{g},
	})
	if p.Store != nil {
		p.Store.OnEra(g.recordReturn, g.recordInvalidEra)
	}
	return g
}

func (g *Gatekeeper) recordReturn(from, to storer.Era) {
	g.record(recorder.Event{Code: recorder.StoreReturned, Inputs: []zap.Field{zap.Int64("from-era", int64(from)), zap.Int64("era", int64(to))}})
}

func (g *Gatekeeper) recordRewrite(kind string, count int) {
	g.record(recorder.RewrittenEvent(kind, count, int64(g.platform.Store.Era())))
}

func (g *Gatekeeper) recordInvalidEra(value string) {
	g.record(recorder.Event{Code: recorder.StoreEraInvalid, Cause: fmt.Sprintf("era %.20q", value)})
}

func seconds(s float64) timekeeper.Millis { return timekeeper.Millis(s * float64(timekeeper.Second)) }

// steadyCounter counts requests by the steady clock, which ignores short jumps of the
// machine's clock.
type steadyCounter struct{ *Gatekeeper }

// Count implements relayer.Counter.
func (c steadyCounter) Count(workspace string, _ timekeeper.Millis) {
	c.tallier.Count(workspace, c.steady.Now())
}

// Relayer returns the relayer that the entrance passes requests to.
func (g *Gatekeeper) Relayer() *relayer.Relayer { return g.relayer }

// Stats returns the relayer's metrics.
func (g *Gatekeeper) Stats() *relayer.Stats { return g.stats }

// Limits returns the configured request limits, or fallback before a configuration is known.
func (g *Gatekeeper) Limits(fallback resolver.Limits) resolver.Limits {
	if directory, _ := g.holder.Current(); directory != nil {
		return directory.Limits()
	}
	return fallback
}

// Run serves until the context ends, then shuts down.
func (g *Gatekeeper) Run(ctx context.Context, e Entrance) error {
	listener, err := net.Listen("tcp", g.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	defer listener.Close()
	stopServers, err := g.serveReadinessAndMetrics()
	if err != nil {
		return err
	}
	defer stopServers()
	defer g.relayer.Close()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var work sync.WaitGroup
	followers := g.followers()
	if err := g.startSharing(background, &work, followers); err != nil {
		stop()
		work.Wait()
		return err
	}
	for _, f := range followers {
		work.Go(func() { f.Run(background, f.apply) })
	}
	work.Go(func() { g.keepCounts(background) })
	work.Go(func() { g.resumeRoleChanges(background) })
	duties, stopDuties := context.WithCancel(ctx)
	defer stopDuties()
	work.Go(func() { g.runDuties(duties) })
	failed := make(chan error, 1)
	go func() { failed <- e.Serve(listener) }()
	g.record(recorder.Event{Code: recorder.ProcessStarted, Cause: g.processID})
	select {
	case err = <-failed:
		// Without its listener the process is of no use: it ends, so that it is restarted.
		g.record(recorder.Event{Code: recorder.ListenerFailed, Cause: err.Error()})
		stopDuties()
		g.relayer.Drain()
		e.CloseConnections()
		g.finishRequests(e, time.Now(), time.Now().Add(g.shutdownTime(abortShare)))
	case <-ctx.Done():
		g.shutdown(e, listener)
	}
	stop()
	work.Wait()
	return err
}

// shutdown fails the readiness check so that the load balancer removes the instance,
// waits for requests in flight, and aborts those that remain.
func (g *Gatekeeper) shutdown(e Entrance, l net.Listener) {
	began := time.Now()
	g.record(recorder.Event{Code: recorder.ShutdownStarted})
	g.relayer.Drain()
	time.Sleep(time.Until(began.Add(g.shutdownTime(closeConnectionsShare))))
	e.CloseConnections()
	time.Sleep(time.Until(began.Add(g.shutdownTime(acceptShare))))
	_ = l.Close() // New connections must be refused rather than wait for servers that stopped.
	g.finishRequests(e, began.Add(g.shutdownTime(drainShare)), began.Add(g.shutdownTime(abortShare)))
}

// shutdownTime returns a share of the time for a graceful shutdown.
func (g *Gatekeeper) shutdownTime(share float64) time.Duration {
	return seconds(g.settings.ShutdownSeconds * share).Duration()
}

// finishRequests refuses requests that may not end before a deadline, drains the connections
// from a time on, and aborts what remains at the deadline.
func (g *Gatekeeper) finishRequests(e Entrance, drain, deadline time.Time) {
	g.relayer.FinishBy(g.clock.Read().Monotonic + timekeeper.FromDuration(time.Until(deadline)))
	time.Sleep(time.Until(drain))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := e.Shutdown(ctx); err != nil {
		g.record(recorder.Event{Code: recorder.ShutdownForced, Cause: err.Error()})
		return
	}
	g.record(recorder.Event{Code: recorder.ShutdownFinished})
}

// runDuties competes for the lease of the duties and runs them while the instance
// holds it.
func (g *Gatekeeper) runDuties(ctx context.Context) {
	if g.platform.Duties == nil {
		return
	}
	length := timekeeper.Millis(g.settings.LeaseMilliseconds)
	options := leaser.Options{
		Length: length, Renew: length / 3, Seed: uint64(time.Now().UnixNano()),
		Margin:      timekeeper.Millis(leaseMarginShare * float64(length)),
		SendTimeout: timekeeper.Millis(leaseSendShare * float64(length)),
		Era:         g.platform.Store.Era,
	}
	machine := leaser.NewMachine(options, g.settings.Region, leaser.LeaseDutyFleetOperator, g.settings.Instance, time.Now().UnixNano())
	machine.SetCandidate(false) // Until the eligible instances are known.
	go g.updateCandidacy(ctx, machine)
	l := leaser.New(machine, g.platform.Store, g.clock, g.record)
	// It keeps over tenures which windows it has reported: the store may lose that.
	reporter := tallier.NewReporter(g.tallier, g.platform.Store, g.platform.Duties.Submit, g.steady.Now, seconds(g.settings.UsageLateSeconds), g.record)
	reporter.InEras(g.platform.Store)
	go reporter.Keep(ctx)
	pending := provisioner.NewPendingKeeper(g.platform.Store, g.clock, g.record)
	go pending.Keep(ctx, g.platform.Store)
	l.Run(ctx, func(ctx context.Context, t leaser.Tenure) {
		var duties sync.WaitGroup
		duties.Go(func() { reporter.Run(ctx, t) })
		duties.Go(func() { g.cleanInstances(ctx) })
		duties.Go(func() {
			p := provisioner.New(g.clock, g.holder, g.tracker, g.profiler, g.platform.Duties, g.record)
			p.SetHeadroom(g.settings.OrderHeadroom)
			p.KeepPending(pending)
			p.Run(ctx, t)
		})
		duties.Wait()
	})
}

// updateCandidacy lets the instance compete for the lease only while it is one of the
// few candidates chosen among the eligible instances, so that reads of the lease don't
// grow with the number of instances.
func (g *Gatekeeper) updateCandidacy(ctx context.Context, m *leaser.Machine) {
	for timekeeper.Sleep(ctx, candidacyInterval) {
		eligible := []string{g.processID}
		if g.sharer != nil {
			eligible = g.sharer.EligibleProcesses()
		}
		m.SetCandidate(slices.Contains(leaser.Candidates(eligible, g.settings.Region, leaser.LeaseDutyFleetOperator), g.processID))
	}
}

// instanceCount returns the number of instances, this one included.
func (g *Gatekeeper) instanceCount() int {
	if g.sharer == nil {
		return 1
	}
	return g.sharer.FleetSize()
}

// keepCounts stores the usage counts until the context ends.
func (g *Gatekeeper) keepCounts(ctx context.Context) {
	k := tallier.NewCountsWriter(g.tallier, g.platform.Store, g.steady.Now, tallier.StoredCounts{Instance: g.settings.Instance}, g.processID, g.instanceCount, func(err error) {
		g.record(recorder.Event{Code: recorder.UsageCopyFailed, Cause: err.Error()})
	})
	k.RetryWhen(func(since timekeeper.Millis) bool {
		directory, age := g.holder.Current()
		return directory != nil && g.steady.Now()-age > since
	})
	k.RewriteIn(g.platform.Store, func(windows int) { g.recordRewrite(tallier.CountsKind, windows) })
	k.Run(ctx)
}

// recordTargetChange records a change in the state of a target.
func (g *Gatekeeper) recordTargetChange(e tracker.Event) {
	g.record(recorder.Event{Code: recorder.TargetStateChanged, Request: e.Request, Target: e.Target.ID, Cause: e.State + ": " + e.Cause, Inputs: []zap.Field{
		zap.String("service", e.Target.Service), zap.String("address", e.Target.Address), zap.String("role", e.Target.Role.String()),
		zap.Bool("leaving", e.Target.Leaving), zap.Int64("started", int64(e.Target.Started)),
	}})
}

// recordQuarantine records a change of what is quarantined.
func (g *Gatekeeper) recordQuarantine(e quarantiner.PartEvent) {
	code := recorder.PartCleared
	if e.Quarantined {
		code = recorder.PartQuarantined
	}
	g.record(recorder.Event{Code: code, Inputs: []zap.Field{zap.Any("parts", e.Parts), zap.Int("crashes", e.Crashes)}})
}

// mayTry reports whether this instance makes the trials of a quarantined part, so that
// only one instance at a time risks a target.
func (g *Gatekeeper) mayTry(part quarantiner.Part) bool {
	return g.sharer == nil || g.sharer.Owns(string(part))
}
