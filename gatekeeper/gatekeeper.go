// Package gatekeeper runs one entry instance whose durable state lies on the
// platform: it follows configuration and targets, serves requests, keeps counts,
// competes for duties, and shuts down in order.
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

	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/provisioner"
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
	// configurationWait is how long a call waits for a newer configuration. Twice
	// that must stay well below the time in which keys are trusted.
	configurationWait = 1500 * timekeeper.Millisecond
	// targetsWait is how long a call waits for changes of targets.
	targetsWait = 2000 * timekeeper.Millisecond
	// restShare is the share of the leaving time after changes of targets in which more
	// of them gather.
	restShare = 0.125
	// lapseShare is the share of the leaving time for which entries that lapsed while
	// the store was away stay in use after its return.
	lapseShare = 0.9
	// leaveShare is the share of the shutdown time in which new connections still
	// come: the balancer notices after two checks, one a second.
	leaveShare = 0.28
	// closeShare is the share after which answers close their connections.
	closeShare = 0.2
	// endShare is the share after which requests that still run are broken.
	endShare = 0.92
	// leaseMarginShare and leaseSendShare are the shares of a lease kept for clocks and for calls on their way.
	leaseMarginShare = 0.15
	leaseSendShare   = 0.3
	// standInterval is the time between looks at who may compete for the lease.
	standInterval = timekeeper.Second
	// metricsTimeout bounds a question for metrics.
	metricsTimeout = 5 * time.Second
)

// Store is what an instance needs of the platform's store.
type Store interface {
	storer.Objects
	storer.Feed
}

// Duties carries out what the holder of the duty decides.
type Duties interface {
	provisioner.Platform
	Submit(ctx context.Context, token int64, w tallier.Window, c tallier.Counts) error
}

// Platform is everything that differs with the platform.
type Platform struct {
	Store             Store
	Sender            relayer.Sender
	Duties            Duties // Nil where no duties are due.
	ConfigurationKind string
	ConfigurationName string
	TargetsKind       string
	DecodeDirectory   func([]byte) (*resolver.Directory, error)
	DecodeTarget      func(storer.Object) (tracker.Target, error)
}

// Entrance takes requests in the platform's form.
type Entrance interface {
	Serve(l net.Listener) error
	Leave()
	Shutdown(ctx context.Context) error
}

// Gatekeeper is one instance.
type Gatekeeper struct {
	settings configurer.Entry
	platform Platform
	clock    timekeeper.Clock
	steady   *timekeeper.Steady
	record   func(recorder.Event)
	holder   *resolver.Holder
	tracker  *tracker.Tracker
	profiler *profiler.Profiler
	tallier  *tallier.Tallier
	relayer  *relayer.Relayer
	stats    *relayer.Stats
	process  string
	sharer   *sharer.Sharer // Nil where instances do not tell each other anything.
}

// New returns an instance that has not started.
func New(s configurer.Entry, p Platform, record func(recorder.Event)) *Gatekeeper {
	clock := timekeeper.System()
	g := &Gatekeeper{
		settings: s, platform: p, clock: clock, steady: timekeeper.NewSteady(), record: record,
		holder: resolver.NewHolder(clock), stats: relayer.NewStats(),
		tallier:  tallier.New(seconds(s.UsageWindowSeconds)),
		profiler: profiler.New(clock),
	}
	// Instances that start together may read the same time.
	g.process = fmt.Sprintf("%s.%x", s.Instance, time.Now().UnixNano())
	leaving := timekeeper.Millis(s.LeavingMilliseconds)
	g.tracker = tracker.New(clock, timekeeper.Millis(lapseShare*float64(leaving)), g.believe)
	g.relayer = relayer.New(relayer.Options{
		Instance: s.Instance, DataCentre: s.DataCentre, RetryShare: s.RetryShare, RetryAllowance: s.RetryAllowance,
		MaxConfigurationAge: timekeeper.Millis(s.KeyWithdrawalMilliseconds),
	}, relayer.Dependencies{
		Clock: clock, Holder: g.holder, Tracker: g.tracker, Profiler: g.profiler, Sender: p.Sender, Counter: steadyCounter{g}, Record: record, Stats: g.stats,
	})
	return g
}

func seconds(s float64) timekeeper.Millis { return timekeeper.Millis(s * float64(timekeeper.Second)) }

// steadyCounter counts by the steady clock.
type steadyCounter struct{ *Gatekeeper }

// Count implements relayer.Counter.
func (c steadyCounter) Count(workspace string, _ timekeeper.Millis) {
	c.tallier.Count(workspace, c.steady.Now())
}

// Relayer returns the relayer that an entrance passes requests to.
func (g *Gatekeeper) Relayer() *relayer.Relayer { return g.relayer }

// Stats returns the counters of requests.
func (g *Gatekeeper) Stats() *relayer.Stats { return g.stats }

// Limits returns the bounds on what callers send, or fallback before they are known.
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
	stopReady, err := g.serveReadiness()
	if err != nil {
		return err
	}
	defer stopReady()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var work sync.WaitGroup
	followers := g.followers()
	if err := g.share(background, &work, followers); err != nil {
		stop()
		work.Wait()
		return err
	}
	for _, f := range followers {
		work.Go(func() { f.Run(background, f.take) })
	}
	work.Go(func() { g.keepCounts(background) })
	work.Go(func() { g.compete(ctx) })
	failed := make(chan error, 1)
	go func() { failed <- e.Serve(listener) }()
	g.record(recorder.Event{Code: recorder.ProcessStarted, Cause: g.process})
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = g.shutdown(e, listener)
	}
	stop()
	work.Wait()
	return err
}

// shutdown leaves the balancer, lets running requests end, and breaks what is left.
func (g *Gatekeeper) shutdown(e Entrance, l net.Listener) error {
	began := time.Now()
	after := func(share float64) time.Time {
		return began.Add(seconds(g.settings.ShutdownSeconds * share).Duration())
	}
	g.record(recorder.Event{Code: recorder.ShutdownStarted})
	g.relayer.Drain()
	time.Sleep(time.Until(after(closeShare)))
	e.Leave()
	time.Sleep(time.Until(after(leaveShare)))
	ctx, cancel := context.WithDeadline(context.Background(), after(endShare))
	defer cancel()
	_ = l.Close() // A connection that comes now must not wait for servers that have stopped.
	if err := e.Shutdown(ctx); err != nil {
		g.record(recorder.Event{Code: recorder.ShutdownForced, Cause: err.Error()})
		return nil
	}
	g.record(recorder.Event{Code: recorder.ShutdownFinished})
	return nil
}

// compete runs the duties while the instance holds their lease.
func (g *Gatekeeper) compete(ctx context.Context) {
	if g.platform.Duties == nil {
		return
	}
	length := timekeeper.Millis(g.settings.LeaseMilliseconds)
	options := leaser.Options{
		Length: length, Renew: length / 3, Seed: uint64(time.Now().UnixNano()),
		Margin:      timekeeper.Millis(leaseMarginShare * float64(length)),
		LongestSend: timekeeper.Millis(leaseSendShare * float64(length)),
	}
	machine := leaser.NewMachine(options, g.settings.Region, leaser.LeaseDutyFleetOperator, g.settings.Instance, time.Now().UnixNano())
	machine.SetCandidate(false) // Until it is known which instances may compete.
	go g.stand(ctx, machine)
	l := leaser.New(machine, g.platform.Store, g.clock, g.record)
	l.Run(ctx, func(ctx context.Context, t leaser.Tenure) {
		var duties sync.WaitGroup
		duties.Go(func() {
			tallier.NewReporter(g.tallier, g.platform.Store, g.platform.Duties.Submit, g.steady.Now, seconds(g.settings.UsageLateSeconds), g.record).Run(ctx, t)
		})
		duties.Go(func() { g.cleanInstances(ctx) })
		duties.Go(func() {
			provisioner.New(g.clock, g.holder, g.tracker, g.profiler, g.platform.Duties, g.record).Run(ctx, t)
		})
		duties.Wait()
	})
}

// stand lets the instance compete for the lease only while it is among the first of
// the live instances, so that reads of the lease do not grow with the fleet.
func (g *Gatekeeper) stand(ctx context.Context, m *leaser.Machine) {
	for timekeeper.Sleep(ctx, standInterval) {
		eligible := []string{g.process}
		if g.sharer != nil {
			eligible = g.sharer.Eligibles()
		}
		m.SetCandidate(slices.Contains(leaser.Candidates(eligible, g.settings.Region, leaser.LeaseDutyFleetOperator), g.process))
	}
}

// fleet returns the number of instances.
func (g *Gatekeeper) fleet() int {
	if g.sharer == nil {
		return 1
	}
	return g.sharer.Fleet()
}

func (g *Gatekeeper) keepCounts(ctx context.Context) {
	k := tallier.NewKeeper(g.tallier, g.platform.Store, g.steady.Now, tallier.Stored{Instance: g.settings.Instance}, g.process, g.fleet, func(err error) {
		g.record(recorder.Event{Code: recorder.UsageCopyFailed, Cause: err.Error()})
	})
	k.Run(ctx)
}

// believe records a change of belief about a target.
func (g *Gatekeeper) believe(e tracker.Event) {
	g.record(recorder.Event{Code: recorder.TargetBelief, Target: e.Target.ID, Cause: e.Belief + ": " + e.Cause, Inputs: []zap.Field{
		zap.String("service", e.Target.Service), zap.String("address", e.Target.Address), zap.String("role", e.Target.Role.String()),
		zap.Bool("leaving", e.Target.Leaving), zap.Int64("started", int64(e.Target.Started)),
	}})
}
