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

// Guards against roles by the figures of one engine: the share that generates follows
// the work of runs and readings, with room for a swing, and is left alone while the
// work is not known.
func TestRolesFollowTheWork(t *testing.T) {
	for name, c := range map[string]struct {
		need        Need
		least, most float64
		known       bool
	}{
		"nothing known, nothing runs": {Need{Idle: true, Engines: 20}, assumedDecode, assumedDecode, true},
		"nothing known, work runs":    {Need{Engines: 20}, 0, 1, false},
		"enough engines":              {Need{Known: true, Running: 2, Reading: 3, Engines: 20}, 0.15, 0.15, true},
		"the same, runs slow down":    {Need{Known: true, Running: 2, Reading: 3, Engines: 20, Slowdown: 1}, 0.3, 0.3, true},
		"too few, as the work is":     {Need{Known: true, Running: 6, Reading: 18, Engines: 12}, 0.25, 0.25, true},
		"hardly any runs":             {Need{Known: true, Running: 0.1, Reading: 9, Engines: 20}, fewest, fewest, true},
		"hardly any readings":         {Need{Known: true, Running: 18, Reading: 0.1, Engines: 20}, greatest, greatest, true},
	} {
		t.Run(name, func(t *testing.T) {
			share, known := c.need.share()
			assert.Equal(t, known, c.known)
			assert.Check(t, share >= c.least-1e-9 && share <= c.most+1e-9, "%.3f", share)
		})
	}
}

// Guards against engines that are given to reading between two swings of a mix, and
// against a demand that is taken for known at once.
func TestDemandRemembersTheLastPeak(t *testing.T) {
	busy := func(taken float64) []Engine {
		return []Engine{{Target: tracker.Target{Role: tracker.Decode}, Work: 1, Taken: taken}}
	}
	known := profiler.Profile{Known: true}
	d := &demand{}
	d.look([]Engine{{Target: tracker.Target{Role: tracker.Decode}}}, 0)
	assert.Equal(t, d.looks, 0, "looks before the traffic")
	d.look(busy(3), 1)
	assert.Assert(t, !d.need(known, busy(3)).Known)
	for range 2 * enoughLooks {
		d.look(busy(3), 1)
	}
	for range 6 { // Three seconds of calm.
		d.look(busy(0.5), 0.2)
	}
	n := d.need(known, busy(0.5))
	assert.Assert(t, n.Known && !n.Idle)
	assert.Check(t, n.Running > 2.5, "%.2f engines", n.Running)
	assert.Check(t, n.Reading > 0.85, "%.2f engines", n.Reading)
	for range 240 { // Two minutes of it.
		d.look(busy(0.5), 0.2)
	}
	assert.Check(t, d.need(known, busy(0.5)).Running < 0.7)
}

// objects is a store in memory for a lease.
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

// orders is a platform on which orders to one target get no answer.
type orders struct {
	mu     sync.Mutex
	silent string
	at     map[string]time.Time // Of the first order to each target.
}

func (o *orders) Order(ctx context.Context, _ int64, order Order) error {
	role := order.(SetRole)
	o.mu.Lock()
	if _, ok := o.at[role.Target.ID]; !ok {
		o.at[role.Target.ID] = time.Now()
	}
	o.mu.Unlock()
	if role.Target.ID == o.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Guards against an order without answer that holds up all others, and against
// requests that are sent to an engine which was just ordered to change its role: the
// change is told to the other instances before.
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
		platform := &orders{silent: "e0", at: map[string]time.Time{}}
		p := New(clock, holder, k, profiler.New(clock), platform, func(recorder.Event) {})
		machine := leaser.NewMachine(leaser.Options{Length: 3 * timekeeper.Second, Renew: timekeeper.Second, Margin: 300, LongestSend: 900},
			"region", leaser.LeaseDutyFleetOperator, "one", 1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		told := map[string]time.Time{} // When the other instances were told first.
		var watcher sync.WaitGroup
		watcher.Go(func() {
			for ctx.Err() == nil {
				for _, target := range targets {
					if _, ok := told[target.ID]; !ok && k.Loads()[sharer.KeyOf(target.ID)].Requests >= 2*target.Slots {
						told[target.ID] = time.Now()
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
		leaser.New(machine, &objects{}, clock, nil).Run(ctx, p.Run)
		watcher.Wait()
		assert.Assert(t, len(platform.at) >= 3, "%d engines were ordered", len(platform.at))
		first := platform.at["e0"]
		assert.Assert(t, !first.IsZero())
		for id, at := range platform.at {
			assert.Check(t, at.Sub(first).Abs() < 100*time.Millisecond, "%s was ordered %s after the first", id, at.Sub(first))
			assert.Check(t, !told[id].IsZero() && at.Sub(told[id]) >= 400*time.Millisecond, "%s was told %s before its order", id, at.Sub(told[id]))
		}
	})
}
