// Package assembler builds one instance from the other packages. It has one file for
// each subsystem, and the pipeline that serves a request.
package assembler

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/acceptor"
	"github.com/gypsumwharf/gypsumwharf/certifier"
	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/messenger"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/reserver"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// otherDescriptors is how many descriptors are kept for files, listeners, the platform
	// and other instances, in addition to the share that connections leave free.
	otherDescriptors = 16
	// maxEvictions is how many requests are evicted at once when no descriptor is left.
	maxEvictions = 8
)

// Options are the dependencies of an instance besides its settings.
type Options struct {
	Clock timekeeper.Clock
	Log   *zap.Logger
	// Platform replaces the HTTP client of the platform, for tests.
	Platform storer.Platform
	// Abort ends the instance at once when it is closed, as a kill does; nil means never.
	Abort <-chan struct{}
	// Planning configures the planner duty.
	Planning Planning
}

// Instance is one entry instance. It serves from the call of Run until Run's context ends.
type Instance struct {
	settings    configurer.Settings
	clock       timekeeper.Clock
	incarnation int64
	recorder    *recorder.Recorder
	platform    storer.Platform
	messenger   *messenger.Messenger
	dispatcher  *dispatcher.Dispatcher
	descriptors *acceptor.Descriptors
	memory      *reserver.Account // Of callers' requests.
	listeners   listeners
	abort       <-chan struct{}

	configuration *configuration
	routing       *routing
	claims        *claims
	membership    *membership
	admission     *admission
	usage         *usage
	duties        *duties
	planning      *planning

	requests atomic.Int64
	running  atomic.Int64
	stopping atomic.Bool
	end      atomic.Int64 // When the instance ends, in milliseconds; 0 if it isn't known.
}

// listeners are the open listeners of an instance.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// Addresses are the addresses at which an instance listens, with the actual ports.
type Addresses struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
}

// New opens the listeners of an instance and builds its subsystems.
func New(s configurer.Settings, o Options) (*Instance, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Platform == nil {
		o.Platform = storer.NewClient(s.PlatformURL)
	}
	peerSecurity, err := newPeerSecurity(s)
	if err != nil {
		return nil, err
	}
	available, err := acceptor.ProcessLimit()
	if err != nil {
		return nil, err
	}
	descriptors := acceptor.NewDescriptors(o.Clock, max(available-otherDescriptors-operatorDescriptors, 1))
	memory := reserver.New(o.Clock, int64(s.BodyMemoryMegabytes)<<20)
	open, err := listen(s, descriptors, memory)
	if err != nil {
		return nil, err
	}
	incarnation := int64(o.Clock.Now())
	stamper := timekeeper.NewStamper(o.Clock)
	origin := recorder.Origin{Instance: s.Instance, Incarnation: incarnation, DataCentre: s.DataCentre}
	platform := &observedPlatform{Platform: o.Platform, clock: o.Clock}
	i := &Instance{
		settings:    s,
		clock:       o.Clock,
		incarnation: incarnation,
		recorder:    recorder.New(origin, stamper, o.Log, s.Events),
		platform:    platform,
		dispatcher:  dispatcher.New(o.Clock).WithDescriptors(descriptors).WithAnswerMemory(int64(s.BodyMemoryMegabytes) << 20),
		descriptors: descriptors,
		memory:      memory,
		listeners:   open,
		abort:       o.Abort,
	}
	descriptors.OnFull(func() { i.dispatcher.Close(); i.memory.EvictStalled(maxEvictions) })
	i.messenger = messenger.New(messenger.Options{Security: peerSecurity, MaxMessageBytes: maxMessageBytes + messageFrameBytes, OnAcceptFailure: i.recordAcceptFailure})
	i.membership = newMembership(i)
	platform.gossiper.Store(i.membership.gossiper)
	i.duties = newDuties(i)
	i.configuration = newConfiguration(i)
	i.routing = newRouting(i)
	i.claims = newClaims(i)
	i.admission = newAdmission(i)
	i.usage = newUsage(i)
	i.planning = newPlanning(i, o.Planning)
	return i, nil
}

func listen(s configurer.Settings, d *acceptor.Descriptors, a *reserver.Account) (listeners, error) {
	var open []net.Listener
	for _, address := range []string{s.CallerAddress, s.OperatorAddress, s.PeerAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range open {
				opened.Close()
			}
			return listeners{}, errors.Wrapf(err, "listen on %s", address)
		}
		open = append(open, l)
	}
	opened := listeners{callers: acceptor.ListenForClients(d.Listen(open[0]), a), operators: open[1], peers: open[2]}
	if s.CallerCertificateFile == "" {
		return opened, nil
	}
	c, err := certifier.New(certifier.Files{Certificate: s.CallerCertificateFile, Key: s.CallerKeyFile})
	if err != nil {
		opened.close()
		return listeners{}, errors.Wrap(err, "load certificate for callers")
	}
	opened.callers = c.Listen(opened.callers)
	return opened, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		listener.Close()
	}
}

// newPeerSecurity returns the mutual authentication between instances; nil means plain TCP.
func newPeerSecurity(s configurer.Settings) (messenger.Security, error) {
	if s.PeerCertificateFile == "" {
		return nil, nil
	}
	c, err := certifier.New(certifier.Files{Certificate: s.PeerCertificateFile, Key: s.PeerKeyFile, Authority: s.PeerAuthorityFile})
	if err != nil {
		return nil, errors.Wrap(err, "load certificate for instances")
	}
	return c, nil
}

// Addresses returns the addresses at which the instance listens.
func (i *Instance) Addresses() Addresses {
	return Addresses{
		Caller:   i.listeners.callers.Addr().String(),
		Operator: i.listeners.operators.Addr().String(),
		Peer:     i.listeners.peers.Addr().String(),
	}
}

// Run serves until the context ends, then shuts down gracefully: readiness
// fails, running requests finish, and background work ends last.
func (i *Instance) Run(ctx context.Context) error {
	i.recorder.Record(recorder.Event{Code: recorder.ProcessStarted})
	// Background work outlives the callers' requests that are still running.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group sync.WaitGroup
	for _, run := range []func(context.Context){
		i.membership.run, i.configuration.run, i.routing.run, i.usage.run, i.admission.run, i.planning.run,
		i.register, i.servePeers, i.serveOperators,
	} {
		group.Go(func() { run(background) })
	}
	// A planned stop releases the duties at once, while running requests finish.
	dutiesContext, stopDuties := context.WithCancelCause(ctx)
	defer stopDuties(nil)
	group.Go(func() { i.duties.run(dutiesContext) })
	stopped := make(chan struct{})
	group.Go(func() {
		select {
		case <-ctx.Done():
			i.stopping.Store(true)
			i.recorder.Record(recorder.Event{Code: recorder.ShutdownStarted})
		case <-stopped:
		}
	})
	handler := server.New(i, i.bodyLimits()).Handler()
	forced, err := server.Listen(ctx, acceptor.Listen(i.listeners.callers, i.recordAcceptFailure), handler, server.Options{
		Descriptors:     i.descriptors,
		DrainTime:       time.Duration(i.settings.LeaveMilliseconds) * time.Millisecond,
		ShutdownTimeout: time.Duration(i.settings.ShutdownSeconds) * time.Second,
		Abort:           i.abort,
		OnDrain:         func(end time.Time) { i.end.Store(int64(i.clock.Now() + timekeeper.FromDuration(time.Until(end)))) },
	})
	close(stopped)
	select {
	case <-i.abort:
		stopDuties(leaser.ErrAbandoned)
	default:
		stopDuties(nil)
		i.usage.flushAtShutdown(background)
		i.membership.leave(background)
	}
	stopBackground()
	group.Wait()
	i.dispatcher.Close()
	i.messenger.Close()
	if forced {
		i.recorder.Record(recorder.Event{Code: recorder.ShutdownForced})
	}
	i.recorder.Record(recorder.Event{Code: recorder.ShutdownFinished})
	return err
}

func (i *Instance) recordAcceptFailure(err error) {
	i.recorder.Record(recorder.Event{Code: recorder.ListenerFailed, Cause: err.Error()})
}

func (i *Instance) servePeers(ctx context.Context) {
	if err := i.messenger.Serve(ctx, i.listeners.peers); err != nil {
		i.recorder.Record(recorder.Event{Code: recorder.ShutdownForced, Cause: err.Error()})
	}
}

// register refreshes the instance's entry in the platform's list until the context ends.
func (i *Instance) register(ctx context.Context) {
	entry := storer.ListedInstance{
		Name: i.settings.Instance, DataCentre: i.settings.DataCentre,
		PeerAddress: i.Addresses().Peer, OperatorAddress: i.Addresses().Operator,
	}
	i.every(ctx, 10*timekeeper.Second, func(ctx context.Context) {
		entry.Leaving = i.stopping.Load()
		// The list is only a hint, and the next round retries.
		_ = i.platform.Register(ctx, entry)
	})
}

// every runs a step at once and then once per period, until the context ends.
func (i *Instance) every(ctx context.Context, period timekeeper.Millis, step func(context.Context)) {
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Catalogue implements server.Backend.
func (i *Instance) Catalogue() *declarer.Catalogue { return i.configuration.catalogue() }

// Ready implements server.Backend.
func (i *Instance) Ready() error {
	if i.stopping.Load() {
		return errors.New("shutting down")
	}
	if i.Catalogue().Generation() == 0 {
		return errNoConfiguration
	}
	return i.configuration.checkReady()
}

// NextID implements server.Backend. IDs are unique across instances and restarts.
func (i *Instance) NextID() string {
	return fmt.Sprintf("%s-%x-%d", i.settings.Instance, i.incarnation, i.requests.Add(1))
}

// bodyLimits returns the limits of the bodies of callers' requests.
func (i *Instance) bodyLimits() server.BodyLimits {
	return server.BodyLimits{
		Bytes: int64(i.settings.BodyBytes), Rate: int64(i.settings.BodyBytesPerSecond),
		Memory: i.memory,
	}
}
