package tallier

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func (s *memoryStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *memoryStore) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects) == 0
}

// Guards against windows that lack the counts of many instances that were cut off, also
// when the store returns after the report was due, and against waiting for one dead
// instance of many.
func TestMissingCountsAreWaitedForByTheirShare(t *testing.T) {
	const instances = 100
	for name, c := range map[string]struct {
		missing int
		after   time.Duration // Time after the window's end at which they store their counts; 0 means never.
		outage  time.Duration // Time after the window's end at which the store returns.
		want    int64
		latest  timekeeper.Millis // Latest time of the report after the window's end.
	}{
		"one is dead":           {1, 0, 0, instances - 1, 3 * timekeeper.Second},
		"many are cut off":      {30, 7 * time.Second, 0, instances, 9 * timekeeper.Second},
		"many are dead":         {30, 0, 0, instances - 30, usageLate},
		"the store was down":    {30, 13 * time.Second, 12 * time.Second, instances, 15 * timekeeper.Second},
		"all are there at once": {0, 0, 0, instances, 2 * timekeeper.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				y := New(length)
				now := timekeeper.System().Now
				w := y.WindowAt(now())
				end := (y.End(w) - now()).Duration()
				store := func(i int, complete bool) {
					stored := StoredCounts{Instance: fmt.Sprint(i), Windows: map[Window]Counts{w - 1: {"a": 1}}, Through: w - 1}
					if complete {
						stored.Windows[w], stored.Through = Counts{"a": 1}, w
					}
					data, err := json.Marshal(stored)
					assert.NilError(t, err)
					name := CountsKind + "/" + stored.Instance
					stale, _ := s.Get(t.Context(), name)
					_, err = s.Put(t.Context(), name, data, stale.Version)
					assert.NilError(t, err)
				}
				for i := range instances {
					store(i, i >= c.missing)
				}
				if c.after > 0 {
					time.AfterFunc(end+c.after, func() {
						for i := range c.missing {
							store(i, true)
						}
					})
				}
				if c.outage > 0 {
					s.setUnavailable(true)
					time.AfterFunc(end+c.outage, func() { s.setUnavailable(false) })
				}
				var got Counts
				var at timekeeper.Millis
				submit := func(_ context.Context, _ int64, reported Window, c Counts) error {
					if reported == w {
						got, at = c, now()-y.End(w)
					}
					return nil
				}
				ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
				defer cancel()
				runAsHolder(t, ctx, newMemoryStore(), "one", NewReporter(y, s, submit, now, usageLate, func(recorder.Event) {}).Run)
				assert.DeepEqual(t, got, Counts{"a": c.want})
				assert.Check(t, at <= c.latest, "reported %s after the window's end", at)
			})
		})
	}
}

// Guards against counts that stay out of the store for a whole window after its return,
// and against writes to a store that has not been heard of since one failed.
func TestCountsAreStoredAtTheStoresReturn(t *testing.T) {
	for name, c := range map[string]struct {
		heard bool
		want  timekeeper.Millis // Time after the store's return within which the counts are stored.
		calls int               // Failed writes in an outage of eight seconds.
	}{
		"heard of":     {true, timekeeper.Second, 2},
		"not heard of": {false, length, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				y := New(length)
				now := timekeeper.System().Now
				var back, stored atomic.Int64
				failed := 0
				k := NewCountsWriter(y, s, now, StoredCounts{Instance: "i"}, "p", func() int { return 100 }, func(error) { failed++ })
				k.RetryWhen(func(since timekeeper.Millis) bool { return c.heard && timekeeper.Millis(back.Load()) > since })
				y.Count("a", now())
				s.setUnavailable(true)
				go func() {
					time.Sleep(8 * time.Second)
					s.setUnavailable(false)
					back.Store(int64(now()))
					for s.empty() {
						time.Sleep(10 * time.Millisecond)
					}
					stored.Store(int64(now()))
				}()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				k.Run(ctx)
				delay := timekeeper.Millis(stored.Load() - back.Load())
				assert.Assert(t, stored.Load() > 0 && delay <= c.want, "stored %s after the store's return", delay)
				assert.Check(t, failed <= c.calls, "%d failed writes", failed)
			})
		})
	}
}

// Guards against counts that are missing from reports because the store has come back from a
// copy without them and nothing was counted since, and against writes without an end.
func TestCountsAreStoredAgainInANewEra(t *testing.T) {
	for name, after := range map[string]bool{"lost": false, "an older copy": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				y := New(length)
				now := timekeeper.System().Now
				k := NewCountsWriter(y, s, now, StoredCounts{Instance: "i"}, "p", func() int { return 100 }, func(error) {})
				k.RewriteIn(s.eraNow)
				k.RetryWhen(func(timekeeper.Millis) bool { return true })
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); k.Run(ctx) }()
				copied := s.copied()
				w := y.WindowAt(now())
				y.Count("a", now())
				if after {
					time.Sleep(2 * length.Duration())
					copied = s.copied()
				}
				y.Count("a", now())
				time.Sleep(2*length.Duration() + 1500*time.Millisecond) // The next write is not due.
				s.comeBack(copied)
				time.Sleep(2500 * time.Millisecond)
				assert.Assert(t, !s.empty())
				var stored StoredCounts
				assert.NilError(t, json.Unmarshal(s.copied()[CountsKind+"/p"].Value, &stored))
				var sum int64
				for _, counts := range stored.Windows {
					sum += counts["a"]
				}
				assert.Equal(t, sum, int64(2))
				assert.Check(t, stored.Windows[w]["a"] > 0)
				version := s.copied()[CountsKind+"/p"].Version
				time.Sleep(length.Duration() * (activeWindows + 2))
				cancel()
				<-done
				assert.Check(t, s.copied()[CountsKind+"/p"].Version-version <= activeWindows+2, "the counts are written again and again")
			})
		})
	}
}

// Guards against waiting for the counts of an instance that is idle, for example because
// it is not ready, and against writes of one that has been idle for long.
func TestIdleInstancesAreNotMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		y := New(length)
		now := timekeeper.System().Now
		first := y.WindowAt(now())
		y.Count("a", now())
		k := NewCountsWriter(y, s, now, StoredCounts{Instance: "i"}, "p", func() int { return 100 }, func(error) {})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go k.Run(ctx)
		for w := first; w <= first+activeWindows; w++ {
			time.Sleep((y.End(w) + timekeeper.Second - now()).Duration())
			r := NewReporter(y, s, nil, now, usageLate, func(recorder.Event) {})
			_, missing, err := r.sum(t.Context(), w)
			assert.NilError(t, err)
			assert.Equal(t, missing.instance, "", "window %d after the first", w-first)
		}
		version := s.version
		time.Sleep(time.Minute)
		assert.Equal(t, s.version, version, "written by an idle instance")
		cancel()
		synctest.Wait()
	})
}
