package provisioner

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Guards against engines that are left alone although their change is complete, was of an
// earlier process or is long over, also by the clock of another machine.
func TestWhichChangesArePending(t *testing.T) {
	const ordered = 1000 * timekeeper.Hour
	target := tracker.Target{ID: "e", Role: tracker.Decode, Started: 7}
	restarted, changed, other := target, target, target
	restarted.Started, changed.Role, other.ID = 8, tracker.Prefill, "f"
	pending := PendingChanges{}.With(SetRole{target, tracker.Prefill}, ordered)
	assert.NilError(t, pending.Check())
	for name, c := range map[string]struct {
		target tracker.Target
		after  timekeeper.Millis
		left   timekeeper.Millis
	}{
		"in progress":          {target, timekeeper.Second, changeTimeout - timekeeper.Second},
		"complete":             {changed, timekeeper.Second, 0},
		"another process":      {restarted, timekeeper.Second, 0},
		"another engine":       {other, timekeeper.Second, 0},
		"over":                 {target, changeTimeout, 0},
		"the clock is behind":  {target, -5 * timekeeper.Second, changeTimeout},
		"the clock is far off": {target, -timekeeper.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, pending.Left(c.target, ordered+c.after), c.left)
		})
	}
	assert.Equal(t, len(pending.With(SetRole{other, tracker.Decode}, ordered+changeTimeout).At(ordered+changeTimeout)), 1)
	assert.ErrorIs(t, PendingChanges{"e": {Role: "whole"}}.Check(), errInvalidPending)
}

// namedObjects is an in-memory store that can be unavailable.
type namedObjects struct {
	objects
	mu          sync.Mutex
	byName      map[string]*objects
	unavailable bool
}

func (n *namedObjects) of(name string) *objects {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byName[name] == nil {
		n.byName[name] = &objects{}
	}
	return n.byName[name]
}

func (n *namedObjects) setUnavailable(u bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unavailable = u
}

func (n *namedObjects) isUnavailable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unavailable
}

func (n *namedObjects) Get(ctx context.Context, name string) (storer.Object, error) {
	if n.isUnavailable() {
		return storer.Object{}, storer.ErrUnavailable
	}
	return n.of(name).Get(ctx, name)
}

func (n *namedObjects) Put(ctx context.Context, name string, value []byte, v storer.Version) (storer.Version, error) {
	if n.isUnavailable() {
		return 0, storer.ErrUnavailable
	}
	return n.of(name).Put(ctx, name, value, v)
}

// holdDuty runs a provisioner over six decode engines for a time, as a new process with a
// tracker of its own, and returns the tracker and the engines that were ordered to change.
func holdDuty(t *testing.T, s *namedObjects, instance string, span time.Duration) (*tracker.Tracker, map[string]time.Time) {
	t.Helper()
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
	platform := &fakePlatform{firstOrderAt: map[string]time.Time{}}
	p := New(clock, holder, k, profiler.New(clock), platform, func(recorder.Event) {})
	p.KeepPending(NewPendingKeeper(s, clock, func(recorder.Event) {}))
	machine := leaser.NewMachine(leaser.Options{Length: 3 * timekeeper.Second, Renew: timekeeper.Second, Margin: 300, SendTimeout: 900},
		"region", leaser.LeaseDutyFleetOperator, instance, 1)
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	leaser.New(machine, &objects{}, clock, nil).Run(ctx, p.Run)
	return k, platform.firstOrderAt
}

// All instances are killed just after engines were ordered to change their role. Guards
// against new processes that send these engines requests, which they reject, and against a
// new holder of the duty that orders other engines to change as well.
func TestChangesOfRoleOutliveAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &namedObjects{byName: map[string]*objects{}}
		_, ordered := holdDuty(t, s, "one", 5*time.Second)
		assert.Assert(t, len(ordered) > 0 && len(ordered) < 6)
		k, again := holdDuty(t, s, "two", 5*time.Second)
		assert.Equal(t, len(again), 0, "engines are ordered while others change: %v", again)
		pending, _, err := LoadPending(t.Context(), s)
		assert.NilError(t, err)
		assert.Equal(t, ResumePending(k, pending, timekeeper.System().Now()), len(ordered))
		for _, c := range k.Candidates("s") {
			assert.Equal(t, c.Suspected, !ordered[c.ID].IsZero(), c.ID)
		}
		time.Sleep(changeTimeout.Duration())
		assert.Equal(t, ResumePending(k, pending, timekeeper.System().Now()), 0)
	})
}

// Guards against a store that is down and holds up the orders.
func TestChangesAreOrderedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ordered := holdDuty(t, &namedObjects{byName: map[string]*objects{}, unavailable: true}, "one", 5*time.Second)
		assert.Assert(t, len(ordered) > 0)
	})
}

// Guards against a stored object that can't be decoded and is never replaced, so that
// changes of role are forgotten for good, and against a holder that resumes late and drops
// what another one has stored.
func TestStoredChangesAreReplacedAndMerged(t *testing.T) {
	other, err := json.Marshal(PendingChanges{"x": {Role: tracker.Prefill.String(), Until: timekeeper.System().Now() + changeTimeout}})
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		stored string
		kept   bool // The change of the other holder.
	}{
		"an unknown role":           {`{"x": {"role": "new"}}`, false},
		"no JSON":                   {`{`, false},
		"changes of another holder": {string(other), true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &namedObjects{byName: map[string]*objects{}}
			_, err := s.Put(t.Context(), pendingName, []byte(c.stored), 0)
			assert.NilError(t, err)
			p := New(timekeeper.System(), nil, nil, nil, nil, func(recorder.Event) {})
			p.KeepPending(NewPendingKeeper(s, timekeeper.System(), func(recorder.Event) {}))
			p.addPending(t.Context(), []Order{SetRole{Target: tracker.Target{ID: "e"}, Role: tracker.Prefill}})
			pending, _, err := LoadPending(t.Context(), s)
			assert.NilError(t, err)
			_, ordered := pending["e"]
			_, kept := pending["x"]
			assert.Assert(t, ordered)
			assert.Equal(t, kept, c.kept)
		})
	}
}
