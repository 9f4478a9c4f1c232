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
	"github.com/gypsumwharf/gypsumwharf/storer"
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
				failed, rewritten := 0, []int{}
				k := NewCountsWriter(y, s, now, StoredCounts{Instance: "i"}, "p", func() int { return 100 }, func(error) { failed++ })
				k.RewriteIn(s, func(windows int) { rewritten = append(rewritten, windows) })
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
				assert.Equal(t, failed, 0, "a return is no failure")
				assert.Check(t, len(rewritten) == 1 && rewritten[0] > 0, "%v", rewritten)
				assert.Check(t, s.copied()[CountsKind+"/p"].Version-version <= activeWindows+2, "the counts are written again and again")
			})
		})
	}
}

// Guards against another figure for a window that was reported, because the store has come
// back from a copy without its sum.
func TestSealedWindowsAreStoredAgainInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		rewritten := 0
		r := NewReporter(New(length), s, nil, timekeeper.System().Now, usageLate, func(e recorder.Event) {
			assert.Equal(t, e.Code, recorder.WrittenAgain)
			rewritten++
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		r.InEras(s)
		go func() { defer close(done); r.Keep(ctx) }()
		synctest.Wait()
		for w := range Window(20) {
			r.remember(w, Counts{"a": int64(w)})
		}
		s.comeBack(map[string]storer.Object{sealedName(18): {Name: sealedName(18), Value: []byte(`{"a":5}`)}})
		s.setUnavailable(true)
		time.Sleep(2 * time.Second)
		s.setUnavailable(false)
		time.Sleep(time.Second)
		cancel()
		<-done
		stored := s.copied()
		assert.Equal(t, string(stored[sealedName(19)].Value), `{"a":19}`)
		assert.Equal(t, string(stored[sealedName(18)].Value), `{"a":5}`)
		assert.Equal(t, len(stored), maxBacklog+2)
		assert.Equal(t, rewritten, 1)
	})
}

// Guards against two figures for a window whose sum was lost after it was reported, and against
// windows that are not reported although nothing was lost.
func TestALostSumIsNotSealedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		first    time.Duration // How long the first holder runs.
		gap      time.Duration // How long there is none then.
		comeBack bool          // After the first the store comes back without the sum and some counts.
		reported bool          // The window is reported after that.
	}{
		"lost after the report":      {13 * time.Second, 0, true, false},
		"no holder when it was due":  {5 * time.Second, 9 * time.Second, false, true},
		"lost before it was sealed":  {5 * time.Second, 0, true, true},
		"nothing is lost afterwards": {13 * time.Second, 0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				s.comeBack(nil) // Names an era.
				y := New(length)
				now := timekeeper.System().Now
				w := y.WindowAt(now()) + 1 // Due after 11.25 s.
				r := &fakePlatform{received: map[Window][]Counts{}}
				store := func(instance string, windows ...Window) {
					stored := StoredCounts{Instance: instance, Windows: map[Window]Counts{}, Through: w + 9}
					for _, w := range windows {
						stored.Windows[w] = Counts{"a": 2}
					}
					data, err := json.Marshal(stored)
					assert.NilError(t, err)
					_, err = s.Put(t.Context(), CountsKind+"/"+instance, data, 0)
					assert.NilError(t, err)
				}
				run := func(instance string, span time.Duration) {
					ctx, cancel := context.WithTimeout(t.Context(), span)
					defer cancel()
					reporter := NewReporter(y, s, r.submit, now, usageLate, func(recorder.Event) {})
					reporter.InEras(s)
					runAsHolder(t, ctx, s, instance, reporter.Run)
				}
				store("one", w, w+1, w+2, w+3)
				copied := s.copied()
				store("two", w)
				run("i1", c.first)
				before := len(r.received[w])
				if c.comeBack {
					s.comeBack(copied)
				}
				if c.comeBack && before == 0 {
					store("two", w) // It still knows its counts.
				}
				time.Sleep(c.gap)
				run("i2", 24*time.Second)
				assert.Equal(t, len(r.received[w]) > before, c.reported)
				for _, counts := range r.received[w] {
					assert.DeepEqual(t, counts, Counts{"a": 4})
				}
				assert.Check(t, len(r.received[w+3]) > 0, "a later window")
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
