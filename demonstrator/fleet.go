package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/orderer"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	instancesPerDataCentre = 2
	dataCentres            = 2
	readyTimeout           = 10 * time.Second
	bookingDelay           = 2 * time.Millisecond
	// roleChangeDuration is the time that an engine is unavailable while it changes its role.
	roleChangeDuration = 2 * timekeeper.Second
	usageWindow        = 2 * timekeeper.Second
)

// fleet is the deployment that the demonstration runs.
type fleet struct {
	clock       timekeeper.Clock
	declaration declarer.Declaration
	platform    *faker.Platform
	platformURL string
	engines     map[string]*faker.Engine
	bookings    map[string]*faker.Booking
	controls    []*faker.EngineControl
	members     []*member

	cancel context.CancelFunc
	group  sync.WaitGroup

	mu          sync.Mutex
	drainStarts map[string]timekeeper.Millis
}

// member is one instance of the fleet.
type member struct {
	instance *assembler.Instance
	abort    chan struct{}

	mu     sync.Mutex
	killed bool
	atKill assembler.Status
}

func (m *member) alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.killed
}

func (m *member) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.killed = true
	m.atKill = m.instance.Status()
	close(m.abort)
}

func startFleet(ctx context.Context, d declarer.Declaration) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{
		clock: timekeeper.System(), cancel: cancel,
		engines: map[string]*faker.Engine{}, bookings: map[string]*faker.Booking{},
		drainStarts: map[string]timekeeper.Millis{},
	}
	f.platform = faker.NewPlatform(f.clock)
	address, err := f.serve(ctx, f.platform.Handler())
	if err != nil {
		return nil, err
	}
	f.platformURL = "http://" + address
	if f.declaration, err = f.startTargets(ctx, d); err != nil {
		return nil, err
	}
	if _, err := assembler.Publish(ctx, f.platform, "demo", "demo", f.declaration); err != nil {
		return nil, err
	}
	return f, f.startInstances(ctx)
}

// serve runs a stand-in on a free port until the fleet stops.
func (f *fleet) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	f.group.Go(func() {
		_, _ = server.Listen(ctx, listener, handler, server.Options{ShutdownTimeout: time.Second})
	})
	return listener.Addr().String(), nil
}

// startTargets runs a stand-in for each declared target and returns the
// declarations with the stand-ins' addresses.
func (f *fleet) startTargets(ctx context.Context, d declarer.Declaration) (declarer.Declaration, error) {
	d = d.Sorted()
	for n, t := range d.Targets {
		var handler http.Handler
		if t.Kind == declarer.TargetKindEngine {
			engine := faker.NewEngine(faker.EngineOptions{
				Name: t.Name, PrefillPerSecond: t.PrefillTokensPerSecond,
				DecodePerSecond: t.DecodeTokensPerSecond / float64(t.Concurrency), Slots: t.Concurrency,
			}, f.clock)
			f.engines[t.Name] = engine
			checksFencing := t.Fencing == declarer.TargetFencingChecked
			control := faker.NewEngineControl(f.clock, t.Name, orderer.Role(t.Role), checksFencing, roleChangeDuration)
			f.controls = append(f.controls, control)
			handler = control.Handler(engine)
		} else {
			booking := faker.NewBooking(t.Name, f.clock, bookingDelay)
			f.bookings[t.Name] = booking
			handler = booking.Handler()
		}
		address, err := f.serve(ctx, handler)
		if err != nil {
			return d, err
		}
		d.Targets[n].URL = "http://" + address
	}
	return d, nil
}

func (f *fleet) startInstances(ctx context.Context) error {
	var peers []string
	for n := range min(dataCentres, len(f.declaration.DataCentres)) {
		dataCentre := f.declaration.DataCentres[n]
		for k := range instancesPerDataCentre {
			settings, err := f.settings(dataCentre, k, peers)
			if err != nil {
				return err
			}
			m := &member{abort: make(chan struct{})}
			m.instance, err = assembler.New(settings, assembler.Options{Clock: f.clock, Abort: m.abort})
			if err != nil {
				return err
			}
			peers = append(peers, m.instance.Addresses().Peer)
			f.members = append(f.members, m)
			f.group.Go(func() { _ = m.instance.Run(ctx) })
		}
	}
	return nil
}

func (f *fleet) settings(d declarer.DataCentre, number int, peers []string) (configurer.Settings, error) {
	list, err := json.Marshal(append([]string{}, peers...))
	if err != nil {
		return configurer.Settings{}, errors.Wrap(err, "encode peers")
	}
	text := fmt.Sprintf(`{
		"instance": "%s-%d", "data-centre": %q, "region": %q, "platform-url": %q,
		"caller-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0",
		"leave-milliseconds": 200, "usage-window-seconds": %d, "gossip-milliseconds": 200, "lease-milliseconds": 3000,
		"peers": %s
	}`, d.Name, number+1, d.Name, d.Region, f.platformURL, usageWindow/timekeeper.Second, list)
	return configurer.Parse("demo", []byte(text))
}

func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range f.members {
		for m.instance.Ready() != nil {
			select {
			case <-ctx.Done():
				return errors.Errorf("instance not ready: %v", m.instance.Ready())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// injectFaults kills an instance a third into the load and drains an engine at
// two thirds; it returns the name of the drained engine.
func (f *fleet) injectFaults(ctx context.Context, length time.Duration) string {
	if !sleep(ctx, length/3) {
		return ""
	}
	f.members[0].kill()
	if !sleep(ctx, length/3) {
		return ""
	}
	names := make([]string, 0, len(f.engines))
	for name := range f.engines {
		names = append(names, name)
	}
	sort.Strings(names)
	f.engines[names[0]].SetLeaving(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainStarts[names[0]] = f.clock.Now()
	return names[0]
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stop stops the instances and stand-ins and waits for them.
func (f *fleet) stop() {
	f.cancel()
	f.group.Wait()
}
