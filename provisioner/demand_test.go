package provisioner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Guards against roles that follow the load of a single engine: the decode share must
// follow the demand for prefill and decode, with headroom for peaks, and must not be
// changed while the demand is unknown.
func TestRolesFollowTheWork(t *testing.T) {
	for name, c := range map[string]struct {
		demand      Demand
		least, most float64
		known       bool
	}{
		"demand unknown, idle":        {Demand{Idle: true, Engines: 20}, defaultDecodeShare, defaultDecodeShare, true},
		"demand unknown, busy":        {Demand{Engines: 20}, 0, 1, false},
		"enough engines":              {Demand{Known: true, Decode: 2, Prefill: 3, Engines: 20}, 0.15, 0.15, true},
		"the same, decodes slow down": {Demand{Known: true, Decode: 2, Prefill: 3, Engines: 20, Slowdown: 1}, 0.3, 0.3, true},
		"too few engines":             {Demand{Known: true, Decode: 6, Prefill: 18, Engines: 12}, 0.25, 0.25, true},
		"hardly any decode":           {Demand{Known: true, Decode: 0.1, Prefill: 9, Engines: 20}, minDecodeShare, minDecodeShare, true},
		"hardly any prefill":          {Demand{Known: true, Decode: 18, Prefill: 0.1, Engines: 20}, maxDecodeShare, maxDecodeShare, true},
	} {
		t.Run(name, func(t *testing.T) {
			share, known := c.demand.decodeShare()
			assert.Equal(t, known, c.known)
			assert.Check(t, share >= c.least-1e-9 && share <= c.most+1e-9, "%.3f", share)
		})
	}
}

// Guards against engines that switch to prefill between two peaks of decode demand, and
// against a demand that counts as known after too few samples.
func TestDemandRemembersTheLastPeak(t *testing.T) {
	busy := func(utilization float64) []Engine {
		return []Engine{{Target: tracker.Target{Role: tracker.Decode}, InFlight: 1, Utilization: utilization}}
	}
	known := profiler.Profile{Known: true}
	d := &demandEstimator{}
	d.observe([]Engine{{Target: tracker.Target{Role: tracker.Decode}}}, 0)
	assert.Equal(t, d.samples, 0, "samples before the traffic")
	d.observe(busy(3), 1)
	assert.Assert(t, !d.estimate(known, busy(3)).Known)
	for range 2 * minSamples {
		d.observe(busy(3), 1)
	}
	for range 6 { // Three seconds of low load.
		d.observe(busy(0.5), 0.2)
	}
	n := d.estimate(known, busy(0.5))
	assert.Assert(t, n.Known && !n.Idle)
	assert.Check(t, n.Decode > 2.5, "%.2f engines", n.Decode)
	assert.Check(t, n.Prefill > 0.85, "%.2f engines", n.Prefill)
	for range 240 { // Two minutes of low load.
		d.observe(busy(0.5), 0.2)
	}
	assert.Check(t, d.estimate(known, busy(0.5)).Decode < 0.7)
}

// objects is an in-memory store for one lease.
type objects struct {
	mu   sync.Mutex
	last storer.Object
}

func (o *objects) Get(_ context.Context, name string) (storer.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last.Version == 0 {
		return storer.Object{}, storer.ErrNotFound
	}
	return o.last, nil
}

func (o *objects) Put(_ context.Context, name string, value []byte, expected storer.Version) (storer.Version, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if expected != o.last.Version {
		return 0, storer.ErrConflict
	}
	o.last = storer.Object{Name: name, Version: o.last.Version + 1, Value: value}
	return o.last.Version, nil
}

func (o *objects) Delete(context.Context, string, storer.Version) error { return nil }

func (o *objects) List(context.Context, string) ([]storer.Object, error) { return nil, nil }

func (o *objects) Watch(ctx context.Context, _ string, _ storer.Version) ([]storer.Object, storer.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// fakePlatform accepts orders, but does not answer those to one target.
type fakePlatform struct {
	mu           sync.Mutex
	unanswered   string               // ID of that target.
	firstOrderAt map[string]time.Time // By target.
}

func (o *fakePlatform) Order(ctx context.Context, _ int64, order Order) (tracker.Report, error) {
	role := order.(SetRole)
	o.mu.Lock()
	if _, ok := o.firstOrderAt[role.Target.ID]; !ok {
		o.firstOrderAt[role.Target.ID] = time.Now()
	}
	o.mu.Unlock()
	if role.Target.ID == o.unanswered {
		<-ctx.Done()
		return tracker.Report{}, ctx.Err()
	}
	return tracker.Report{}, nil
}

// Guards against an unanswered order that delays all others, and against requests that
// are sent to an engine which was just ordered to change its role: the change must be
// announced to the other instances before the order.
func TestOrdersGoSideBySideAndAreAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := timekeeper.System()
		k := tracker.New(clock, 0, func(tracker.Event) {})
		var targets []tracker.Target
		for _, id := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
			targets = append(targets, tracker.Target{ID: id, Service: "s", DataCentre: "a", Slots: 8, Role: tracker.Decode})
		}
		k.Replace(targets, false)
		holder := resolver.NewHolder(clock)
		directory, err := resolver.New(1, resolver.Limits{}, []resolver.Service{{Name: "s", Engines: true}}, nil, nil)
		assert.NilError(t, err)
		holder.Adopt(directory)
		platform := &fakePlatform{unanswered: "e0", firstOrderAt: map[string]time.Time{}}
		p := New(clock, holder, k, profiler.New(clock), platform, func(recorder.Event) {})
		machine := leaser.NewMachine(leaser.Options{Length: 3 * timekeeper.Second, Renew: timekeeper.Second, Margin: 300, SendTimeout: 900},
			"region", leaser.LeaseDutyFleetOperator, "one", 1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		announced := map[string]time.Time{} // When each change was first announced.
		var watcher sync.WaitGroup
		watcher.Go(func() {
			for ctx.Err() == nil {
				for _, target := range targets {
					if _, ok := announced[target.ID]; !ok && k.Loads()[sharer.KeyOf(target.ID)].Requests >= 2*target.Slots {
						announced[target.ID] = time.Now()
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
		leaser.New(machine, &objects{}, clock, nil).Run(ctx, p.Run)
		watcher.Wait()
		assert.Assert(t, len(platform.firstOrderAt) >= 3, "%d engines were ordered", len(platform.firstOrderAt))
		first := platform.firstOrderAt["e0"]
		assert.Assert(t, !first.IsZero())
		for id, at := range platform.firstOrderAt {
			assert.Check(t, at.Sub(first).Abs() < 100*time.Millisecond, "%s was ordered %s after the first", id, at.Sub(first))
			assert.Check(t, !announced[id].IsZero() && at.Sub(announced[id]) >= 400*time.Millisecond, "%s was announced %s before its order", id, at.Sub(announced[id]))
		}
	})
}
