package provisioner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// fakeEras is the era of a store, which a test raises.
type fakeEras struct{ era atomic.Int64 }

func (f *fakeEras) Era() storer.Era     { return storer.Era(f.era.Load()) }
func (f *fakeEras) SoleEra() storer.Era { return 0 }

func (f *fakeEras) AwaitEra(ctx context.Context, other storer.Era) bool {
	for f.Era() == other {
		if !timekeeper.Sleep(ctx, 10*timekeeper.Millisecond) {
			return false
		}
	}
	return true
}

// comeBack makes a store hold older changes of role, in a new era.
func comeBack(t *testing.T, s *namedObjects, eras *fakeEras, older PendingChanges) {
	t.Helper()
	o := &objects{}
	if older != nil {
		version, err := storer.NewVersion(eras.Era()+1, 1)
		assert.NilError(t, err)
		o.last.Version = version - 1
		_, err = putPending(t.Context(), o, older, version-1)
		assert.NilError(t, err)
	}
	s.mu.Lock()
	s.byName[pendingName] = o
	s.mu.Unlock()
	eras.era.Add(1)
}

// Guards against changes of role that are forgotten when the store comes back from a copy: new
// processes would send these engines requests, and a holder would order others to change.
func TestLostChangesAreStoredAgain(t *testing.T) {
	change := func(id string, r tracker.Role) PendingChanges {
		return PendingChanges{}.With(SetRole{tracker.Target{ID: id}, r}, timekeeper.System().Now())
	}
	for name, c := range map[string]struct {
		older  func() PendingChanges // In the copy.
		again  bool                  // It comes back twice.
		outage time.Duration
		want   []string
	}{
		"no copy has them":           {want: []string{"e"}},
		"a copy of other changes":    {older: func() PendingChanges { return change("x", tracker.Decode) }, want: []string{"e", "x"}},
		"an older change of it":      {older: func() PendingChanges { return change("e", tracker.Decode) }, want: []string{"e"}},
		"two returns":                {again: true, want: []string{"e"}},
		"the store is away":          {outage: 2 * time.Second, want: []string{"e"}},
		"they are over by then":      {outage: changeTimeout.Duration()},
		"the copy can't be decoded":  {older: func() PendingChanges { return PendingChanges{"y": {Role: "new"}} }, want: []string{"e"}},
		"it is away between returns": {again: true, outage: 2 * time.Second, want: []string{"e"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, eras := &namedObjects{byName: map[string]*objects{}}, &fakeEras{}
				var rewritten atomic.Int64
				k := NewPendingKeeper(s, timekeeper.System(), func(e recorder.Event) {
					if e.Code == recorder.WrittenAgain {
						rewritten.Add(1)
					}
				})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() { defer close(ended); k.Keep(ctx, eras) }()
				defer func() { cancel(); <-ended }()
				k.Add(ctx, []SetRole{{tracker.Target{ID: "e"}, tracker.Prefill}})
				time.Sleep(time.Second)
				var older PendingChanges
				if c.older != nil {
					older = c.older()
				}
				s.setUnavailable(c.outage > 0)
				comeBack(t, s, eras, older)
				time.Sleep(c.outage)
				if c.again {
					comeBack(t, s, eras, older)
				}
				s.setUnavailable(false)
				time.Sleep(time.Second)
				stored, _, err := LoadPending(ctx, s)
				assert.NilError(t, err)
				assert.Equal(t, len(stored.At(timekeeper.System().Now())), len(c.want), "%v", stored)
				for _, id := range c.want {
					assert.Assert(t, stored[id] != PendingChange{}, id)
				}
				assert.Equal(t, rewritten.Load() > 0, len(c.want) > 0)
				if len(c.want) > 0 {
					assert.Equal(t, stored["e"].Role, tracker.Prefill.String())
				}
			})
		})
	}
}

// Guards against a holder that takes the lease of the new era before the changes are stored
// again, and orders other engines to change as well.
func TestHoldersKnowTheirLostChanges(t *testing.T) {
	s, eras := &namedObjects{byName: map[string]*objects{}}, &fakeEras{}
	k := NewPendingKeeper(s, timekeeper.System(), func(recorder.Event) {})
	k.Add(t.Context(), []SetRole{{tracker.Target{ID: "e"}, tracker.Prefill}})
	comeBack(t, s, eras, nil)
	assert.Equal(t, k.Load(t.Context())["e"].Role, tracker.Prefill.String())
	k.Add(t.Context(), []SetRole{{tracker.Target{ID: "f"}, tracker.Decode}})
	stored, _, err := LoadPending(t.Context(), s)
	assert.NilError(t, err)
	assert.Equal(t, len(stored), 2, "%v", stored)
}
