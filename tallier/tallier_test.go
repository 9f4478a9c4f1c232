package tallier

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	length    = 5 * timekeeper.Second
	usageLate = 10 * timekeeper.Second
)

// memoryStore is an in-memory store that can lose answers and be unavailable.
type memoryStore struct {
	mu          sync.Mutex
	objects     map[string]storer.Object
	version     storer.Version
	unavailable bool
	loseAnswers int // Number of next writes that take effect but whose answer is lost.
	era         storer.Era
}

// comeBack replaces what the store holds by older objects, in a new era.
func (s *memoryStore) comeBack(objects map[string]storer.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, _ = storer.NewVersion(s.era, 1) // Is in range.
	s.objects = map[string]storer.Object{}
	for name, o := range objects {
		o.Version = s.version
		s.objects[name] = o
	}
}

func (s *memoryStore) copied() map[string]storer.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects)
}

func (s *memoryStore) Era() storer.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *memoryStore) SoleEra() storer.Era { return 0 }

func (s *memoryStore) AwaitEra(ctx context.Context, other storer.Era) bool {
	for s.Era() == other {
		if !timekeeper.Sleep(ctx, 10*timekeeper.Millisecond) {
			return false
		}
	}
	return true
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]storer.Object{}} }

func (s *memoryStore) Get(_ context.Context, name string) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return storer.Object{}, storer.ErrUnavailable
	}
	o, ok := s.objects[name]
	if !ok {
		return o, storer.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Put(_ context.Context, name string, value []byte, expected storer.Version) (storer.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return 0, storer.ErrUnavailable
	case s.objects[name].Version != expected:
		return 0, storer.ErrConflict
	}
	s.version++
	s.objects[name] = storer.Object{Name: name, Version: s.version, Value: value}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, storer.ErrOutcomeUnknown
	}
	return s.version, nil
}

func (s *memoryStore) Delete(_ context.Context, name string, _ storer.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

func (s *memoryStore) Snapshot(_ context.Context, kind string) ([]storer.Object, storer.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, 0, storer.ErrUnavailable
	}
	var list []storer.Object
	for _, o := range s.objects {
		if strings.HasPrefix(o.Name, kind+"/") {
			list = append(list, o)
		}
	}
	return list, s.version, nil
}

func (s *memoryStore) StaleSnapshot(ctx context.Context, kind string) ([]storer.Object, error) {
	objects, _, err := s.Snapshot(ctx, kind)
	return objects, err
}

func (s *memoryStore) List(context.Context, string) ([]storer.Object, error) { return nil, nil }

func (s *memoryStore) Watch(context.Context, string, storer.Version) ([]storer.Object, storer.Version, error) {
	return nil, 0, nil
}

func (s *memoryStore) Changes(context.Context, string, storer.Version, timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	return nil, 0, nil
}

// Guards against counts in the wrong window and against windows that are never dropped.
func TestCountsFallIntoTheirWindows(t *testing.T) {
	y := New(length)
	y.Count("a", 4999)
	y.Count("a", 5000)
	y.Count("b", 9999)
	windows, changed := y.TakeSnapshot()
	assert.Assert(t, changed)
	assert.DeepEqual(t, windows, map[Window]Counts{0: {"a": 1}, 1: {"a": 1, "b": 1}})
	_, changed = y.TakeSnapshot()
	assert.Assert(t, !changed)
	for i := range timekeeper.Millis(50) {
		y.Count("a", i*length)
	}
	windows, _ = y.TakeSnapshot()
	assert.Equal(t, len(windows), keptWindows)
}

// Guards against counts that are lost when a write fails or gets no answer.
func TestKeeperRecovers(t *testing.T) {
	for name, injectFault := range map[string]func(*memoryStore){
		"store unavailable":        func(s *memoryStore) { s.unavailable = true },
		"answer lost":              func(s *memoryStore) { s.loseAnswers = 1 },
		"object removed meanwhile": func(s *memoryStore) { clear(s.objects) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newMemoryStore()
			y := New(length)
			k := NewCountsWriter(y, s, func() timekeeper.Millis { return 0 }, StoredCounts{Instance: "i"}, "p", func() int { return 14 }, func(error) {})
			y.Count("a", 1)
			k.Store(t.Context())
			injectFault(s)
			y.Count("a", 2)
			k.Store(t.Context())
			s.unavailable = false
			for range 3 {
				k.Store(t.Context())
			}
			var stored StoredCounts
			assert.NilError(t, json.Unmarshal(s.objects[CountsKind+"/p"].Value, &stored))
			assert.DeepEqual(t, stored.Windows, map[Window]Counts{0: {"a": 2}})
		})
	}
}

// fakePlatform records usage reports and can lose the answers to those of one window.
type fakePlatform struct {
	mu         sync.Mutex
	received   map[Window][]Counts
	failWindow Window // The window whose first reports get no answer.
	failures   int    // How many more of them get none.
}

func (r *fakePlatform) submit(_ context.Context, _ int64, w Window, c Counts) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[w] = append(r.received[w], c)
	if w == r.failWindow && r.failures > 0 {
		r.failures--
		return errors.New("answer lost")
	}
	return nil
}

// runAsHolder runs a duty as the holder of its lease.
func runAsHolder(t *testing.T, ctx context.Context, s *memoryStore, instance string, duty leaser.Duty) {
	t.Helper()
	m := leaser.NewMachine(leaser.Options{Length: 3 * timekeeper.Second, Renew: timekeeper.Second, Margin: 300, SendTimeout: 800, Era: s.Era},
		"region", leaser.LeaseDutyFleetOperator, instance, 1)
	leaser.New(m, s, timekeeper.System(), nil).Run(ctx, duty)
}

// Guards against two reports of one window with different sums: neither a count that
// arrives after the sum was sealed nor a second holder may change it.
func TestAWindowIsReportedWithOneFigure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		y := New(length)
		now := timekeeper.System().Now
		w := y.WindowAt(now())
		r := &fakePlatform{received: map[Window][]Counts{}, failWindow: w, failures: 2}
		store := func(instance string, n int64) {
			data, err := json.Marshal(StoredCounts{Instance: instance, Windows: map[Window]Counts{w: {"a": n}}, Through: w})
			assert.NilError(t, err)
			_, err = s.Put(t.Context(), CountsKind+"/"+instance, data, 0)
			assert.NilError(t, err)
		}
		store("one", 3)
		store("two", 4)
		run := func(instance string, span time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), span)
			defer cancel()
			runAsHolder(t, ctx, s, instance, NewReporter(y, s, r.submit, now, usageLate, func(recorder.Event) {}).Run)
		}
		run("one", 9*time.Second)
		store("late", 100)
		run("two", 15*time.Second)
		assert.Check(t, len(r.received[w]) >= 3, "only %d reports", len(r.received[w]))
		for _, c := range r.received[w] {
			assert.DeepEqual(t, c, Counts{"a": 7})
		}
	})
}

// Guards against a window that is sealed without the counts of an instance that was cut
// off from the store, and against a report that is late because it waits for an
// instance that no longer runs.
func TestAReportWaitsForCountsThatAreMissing(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration // Time after the window's end at which the missing instance stores its counts; 0 means never.
		want  int64
	}{
		"cut off":          {4 * time.Second, 7},
		"cut off for long": {9 * time.Second, 3},
		"dead":             {0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newMemoryStore()
				y := New(length)
				now := timekeeper.System().Now
				w := y.WindowAt(now())
				store := func(stored StoredCounts, version storer.Version) {
					data, err := json.Marshal(stored)
					assert.NilError(t, err)
					_, err = s.Put(t.Context(), CountsKind+"/"+stored.Instance, data, version)
					assert.NilError(t, err)
				}
				store(StoredCounts{Instance: "one", Windows: map[Window]Counts{w: {"a": 3}}, Through: w}, 0)
				before := map[Window]Counts{w - 1: {"a": 9}}
				store(StoredCounts{Instance: "two", Windows: before, Through: w - 1}, 0)
				version := s.version
				if c.after > 0 {
					time.AfterFunc((y.End(w)-now()).Duration()+c.after, func() {
						store(StoredCounts{Instance: "two", Windows: map[Window]Counts{w - 1: {"a": 9}, w: {"a": 4}}, Through: w}, version)
					})
				}
				var got Counts
				var at timekeeper.Millis
				submit := func(_ context.Context, _ int64, reported Window, c Counts) error {
					if reported == w {
						got, at = c, now()
					}
					return nil
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				runAsHolder(t, ctx, s, "one", NewReporter(y, s, submit, now, usageLate, func(recorder.Event) {}).Run)
				assert.DeepEqual(t, got, Counts{"a": c.want})
				assert.Assert(t, at < y.End(w)+usageLate, "reported %s after the window's end", at-y.End(w))
			})
		})
	}
}

// Guards against reports that are sent before all instances have stored their counts,
// or after they are due.
func TestReportsComeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		y := New(length)
		now := timekeeper.System().Now
		first := y.WindowAt(now())
		delays := map[Window]timekeeper.Millis{}
		submit := func(_ context.Context, _ int64, w Window, _ Counts) error {
			delays[w] = now() - y.End(w)
			return nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
		defer cancel()
		runAsHolder(t, ctx, s, "one", NewReporter(y, s, submit, now, usageLate, func(recorder.Event) {}).Run)
		for w := first + 1; w < first+10; w++ {
			at, ok := delays[w]
			assert.Assert(t, ok, "window %d was not reported", w-first)
			assert.Check(t, at > timekeeper.Second && at < 10*timekeeper.Second, "window %d was reported %s after its end", w-first, at)
		}
	})
}

// Guards against old objects that stay in the store.
func TestOldObjectsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		y := New(length)
		data, _ := json.Marshal(StoredCounts{Instance: "gone", Windows: map[Window]Counts{1: {"a": 1}}})
		_, err := s.Put(t.Context(), CountsKind+"/gone", data, 0)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		submit := func(context.Context, int64, Window, Counts) error { return nil }
		runAsHolder(t, ctx, s, "one", NewReporter(y, s, submit, timekeeper.System().Now, usageLate, func(recorder.Event) {}).Run)
		_, kept := s.objects[CountsKind+"/gone"]
		assert.Assert(t, !kept)
		assert.Check(t, len(s.objects) <= 2*sealedRetention+4, "%d objects", len(s.objects))
	})
}
