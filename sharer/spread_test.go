package sharer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// spreadStore is a store whose objects change while a fleet follows them.
type spreadStore struct {
	mu      sync.Mutex
	objects map[string]storer.Object
	events  []storer.Change      // The n-th led to version n+1.
	times   []timekeeper.Reading // Of the events.
	changed chan struct{}        // Closed by the next change.
	listed  int                  // Listings.
	listing int                  // Listings under way, which share the store's bandwidth.
}

const (
	maxEvents   = 500                           // Of one answer.
	pageObjects = 500                           // Of a page of a listing.
	pageTime    = 10 * timekeeper.Millisecond   // Of a page, if no other is listed.
	batchDelay  = 500 * timekeeper.Millisecond  // Of a follower after changes.
	settleTime  = 1500 * timekeeper.Millisecond // Within which all instances must know a change: batchDelay and a second.
	leavingTime = 4 * timekeeper.Second         // Within which all instances must know that a target is leaving.
	relayBudget = 1250 * 1000                   // Bytes a second that a relay may send: half of a link of 20 Mbit/s.
	startTime   = 4 * timekeeper.Second         // Within which they must know all objects after these were written in four seconds.
)

func (s *spreadStore) write(name, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storer.Change{Object: storer.Object{Name: name, Version: storer.Version(len(s.events) + 1)}, Deleted: state == ""}
	if c.Deleted {
		delete(s.objects, name)
	} else {
		c.Object.Value = fmt.Appendf(nil, `{"service":"assistant","address":"10.%d.%d.%d:8122","data-centre":"data-centre-%c","software":"v1","slots":6,"state":%q,"warm-milliseconds":0,"role":"decode","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"started":%d}`,
			1+rand.IntN(6), 64+rand.IntN(2), rand.IntN(256), 'a'+rand.IntN(6), state, rand.IntN(100), 1782891604045+rand.IntN(10000))
		s.objects[name] = c.Object
	}
	s.events, s.times = append(s.events, c), append(s.times, timekeeper.System().Read())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *spreadStore) Snapshot(ctx context.Context, _ string) ([]storer.Object, storer.Version, error) {
	s.mu.Lock()
	s.listed++
	list, at := []storer.Object{}, storer.Version(len(s.events))
	for _, o := range s.objects {
		list = append(list, o)
	}
	s.listing++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.listing--
		s.mu.Unlock()
	}()
	for range 1 + len(list)/pageObjects {
		s.mu.Lock()
		wait := pageTime * timekeeper.Millis(s.listing)
		s.mu.Unlock()
		if !timekeeper.Sleep(ctx, wait) {
			return nil, 0, storer.ErrUnavailable
		}
		storer.ReportProgress(ctx)
	}
	return list, at, nil
}

func (s *spreadStore) StaleSnapshot(ctx context.Context, kind string) ([]storer.Object, error) {
	list, _, err := s.Snapshot(ctx, kind)
	return list, err
}

func (s *spreadStore) Get(context.Context, string) (storer.Object, error) {
	return storer.Object{}, storer.ErrNotFound
}

func (s *spreadStore) Changes(ctx context.Context, _ string, after storer.Version, wait timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	timeout := time.After(wait.Duration())
	for {
		s.mu.Lock()
		events, changed := s.events[after:], s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			events = events[:min(len(events), maxEvents)]
			return events, after + storer.Version(len(events)), nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, storer.ErrUnavailable
		case <-timeout:
			return nil, after, nil
		case <-changed:
		}
	}
}

// versionAt returns the version that the store had at a time.
func (s *spreadStore) versionAt(at timekeeper.Reading) storer.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := slices.BinarySearchFunc(s.times, at, func(a, b timekeeper.Reading) int { return cmp.Compare(a.Monotonic, b.Monotonic) })
	return storer.Version(n)
}

// view is what one instance knows of the store's objects.
type view struct {
	store   *spreadStore
	mu      sync.Mutex
	tooNew  int // Updates that claimed to be newer than they were.
	states  map[string]storer.Version
	version storer.Version
}

func (v *view) apply(u follower.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.store.versionAt(u.AsOf) > u.Version {
		v.tooNew++
	}
	if u.Complete {
		v.states = map[string]storer.Version{}
		for _, o := range u.Objects {
			v.states[o.Name] = o.Version
		}
	}
	for _, c := range u.Changes {
		if c.Deleted {
			delete(v.states, c.Object.Name)
		} else {
			v.states[c.Object.Name] = c.Object.Version
		}
	}
	v.version = u.Version
}

// knows reports whether the instance knows a version of an object or a later one.
func (v *view) knows(name string, version storer.Version) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.states[name] >= version
}

// equals reports whether the instance knows the store's state.
func (v *view) equals(objects map[string]storer.Object) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.states) != len(objects) {
		return false
	}
	for name, o := range objects {
		if v.states[name] != o.Version {
			return false
		}
	}
	return true
}

// spread is a data centre whose instances follow a store of many objects.
type spread struct {
	*fleet
	store     *spreadStore
	followers map[*instance]*follower.Follower
	views     map[*instance]*view
	cancel    map[*instance]context.CancelFunc
	names     []string
}

// maxRemovedTogether is how many deletions the earlier form of a change set holds.
const maxRemovedTogether = 25

func newSpread(t *testing.T, instances, objects int) *spread {
	s := &spread{
		store:     &spreadStore{objects: map[string]storer.Object{}, changed: make(chan struct{})},
		followers: map[*instance]*follower.Follower{}, views: map[*instance]*view{}, cancel: map[*instance]context.CancelFunc{},
	}
	for range objects {
		s.names = append(s.names, fmt.Sprintf("servers/i-%010x", rand.Uint64N(1<<40)))
	}
	s.fleet = newFleetOf(t, 1, instances, timekeeper.System(), func(n *instance) Source {
		options := follower.Options{Wait: 2 * timekeeper.Second, Pause: batchDelay}
		s.followers[n] = follower.New(s.store, timekeeper.System(), "servers", options, func(error) {})
		return s.followers[n]
	})
	s.advance = func(d timekeeper.Millis) {
		time.Sleep(d.Duration())
		synctest.Wait()
	}
	return s
}

// start starts all instances.
func (s *spread) start(ctx context.Context) {
	for _, n := range s.instances {
		v := &view{store: s.store}
		s.views[n] = v
		s.followers[n].Join(n.Sharer)
		var own context.Context
		own, s.cancel[n] = context.WithCancel(ctx)
		go s.followers[n].Run(own, v.apply)
	}
}

// settle runs until all instances know the store's state and returns how long it took.
func (s *spread) settle(limit timekeeper.Millis) timekeeper.Millis {
	for elapsed := timekeeper.Millis(0); ; elapsed += relayInterval {
		behind := 0
		for _, n := range s.instances {
			if !n.stopped && !s.views[n].equals(s.store.objects) {
				behind++
			}
		}
		if behind == 0 {
			return elapsed
		}
		if elapsed > limit {
			s.t.Errorf("%d of %d instances don't know the state after %s", behind, len(s.instances), elapsed)
			return elapsed
		}
		s.run(relayInterval)
	}
}

// change writes a state for objects, in the course of a duration.
func (s *spread) change(names []string, state string, duration timekeeper.Millis) {
	steps := int(duration / relayInterval)
	for i := range steps {
		for _, name := range names[i*len(names)/steps : (i+1)*len(names)/steps] {
			s.store.write(name, state)
		}
		s.run(relayInterval)
	}
}

// Guards against instances of a large data centre that learn late which targets leave or
// joined, because their relays can't send the changes as fast as they come.
func TestRelaysKeepUpWithManyChanges(t *testing.T) {
	const instances, objects = 50, 3000
	for name, c := range map[string]struct {
		loss   float64
		killed int // Relays.
	}{"calm": {}, "a relay is killed, datagrams are lost": {0.03, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newSpread(t, instances, objects)
				s.start(ctx)
				s.lost = func() bool { return rand.Float64() < c.loss }
				report := func(what string, limit timekeeper.Millis, act func()) {
					begin := time.Now()
					before := s.instances[1].sentBytes
					act()
					took := s.settle(10 * timekeeper.Second)
					second := float64(s.instances[1].sentBytes-before) / time.Since(begin).Seconds()
					t.Logf("%s: known everywhere after %s; a relay sent %.0f bytes a second", what, took, second)
					assert.Check(t, took <= limit, "%s took %s", what, took)
					assert.Check(t, second <= relayBudget, "%s: %.0f bytes a second", what, second)
				}
				report("targets register while instances start", startTime, func() { s.change(s.names, "ready", 4*timekeeper.Second) })
				leaving := s.names[:objects/10]
				report("targets announce that they leave", settleTime, func() { s.change(leaving, "draining", 600*timekeeper.Millisecond) })
				report("targets are removed", settleTime, func() {
					for _, n := range s.instances[:c.killed] {
						n.stopped = true
						s.cancel[n]()
					}
					s.change(leaving, "", 600*timekeeper.Millisecond)
				})
				report("targets register again", settleTime, func() { s.change(leaving, "ready", 600*timekeeper.Millisecond) })
				assert.Check(t, s.store.listed <= 2*instances, "%d listings", s.store.listed)
				cancel()
				synctest.Wait()
				for _, v := range s.views {
					assert.Check(t, v.tooNew == 0, "%d updates claimed to be newer than they were", v.tooNew)
				}
			})
		})
	}
}

// Guards against instances that learn late that a target is leaving because their relays
// still send them what was written before.
func TestLeavingsAreKnownBehindManyChanges(t *testing.T) {
	const instances, objects = 50, 3000
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSpread(t, instances, objects)
		for _, name := range s.names {
			s.store.write(name, "ready")
		}
		s.start(ctx)
		s.run(2 * timekeeper.Second)
		s.change(append(slices.Clone(s.names), s.names...), "ready", 3*timekeeper.Second)
		leaving := s.names[0]
		s.store.write(leaving, "draining")
		version := s.store.objects[leaving].Version
		s.run(leavingTime)
		late := 0
		for _, v := range s.views {
			if !v.knows(leaving, version) {
				late++
			}
		}
		assert.Check(t, late == 0, "%d of %d instances don't know that a target is leaving after %s", late, instances, leavingTime)
		cancel()
		synctest.Wait()
	})
}

// Guards against instances that start at once and then give up their listings of the
// store and begin them anew, because the store needs longer for all of them.
func TestAllInstancesStartAtOnce(t *testing.T) {
	const instances, objects = 50, 3000
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSpread(t, instances, objects)
		for _, name := range s.names {
			s.store.write(name, "ready")
		}
		s.start(ctx)
		allListed := instances * pageTime * (1 + objects/pageObjects)
		took := s.settle(2 * allListed)
		assert.Check(t, took <= allListed+batchDelay, "took %s", took)
		assert.Check(t, s.store.listed == instances, "%d listings", s.store.listed)
		cancel()
		synctest.Wait()
	})
}

// Guards against instances that know no changes during a rolling replacement, because
// their relays send what they can't read.
func TestEarlierProgramsFollowRelays(t *testing.T) {
	const instances, objects = 40, 150
	for name, early := range map[string]func(n *instance) bool{
		"followers":         func(n *instance) bool { return n.Self.ProcessorShare < 0.5 },
		"relays":            func(n *instance) bool { return n.Self.ProcessorShare > 0.5 },
		"one relay":         func(n *instance) bool { return n.Self.Name == "a00" },
		"half of instances": func(n *instance) bool { return n.Self.Name[2]%2 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newSpread(t, instances, objects)
				s.early = early
				s.start(ctx)
				s.run(2 * timekeeper.Second)
				for _, state := range []string{"ready", "draining", ""} {
					s.change(s.names[:maxRemovedTogether], state, 300*timekeeper.Millisecond)
					took := s.settle(5 * timekeeper.Second)
					assert.Check(t, took <= settleTime, "%s: took %s", state, took)
				}
				s.change(s.names, "ready", 2*timekeeper.Second)
				s.settle(5 * timekeeper.Second)
				assert.Check(t, s.store.listed == instances, "%d listings", s.store.listed)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// FuzzPackedDatagrams guards against a datagram that crashes the receiver or is decoded
// to other changes than were sent.
func FuzzPackedDatagrams(f *testing.F) {
	inEra, _ := storer.NewVersion(7, 9) // Is in range.
	packed := follower.Packed{From: inEra - 6, At: inEra, Age: 40, Regained: -1, Data: make([]byte, 2*follower.MaxFragmentBytes)}
	for _, data := range encodePacked("servers", 17, packed, true) {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if !isPacked(data) {
			return
		}
		d, ok := decodeFragment(data, 0)
		if !ok {
			return
		}
		_, _ = d.News() // Must not panic.
		if d.count > 1 || len(d.Data) == 0 || len(d.Data) > follower.MaxFragmentBytes {
			return
		}
		again, ok := decodeFragment(encodePacked(d.kind, d.echo, d.Packed, true)[0], 0)
		assert.Assert(t, ok)
		assert.DeepEqual(t, again.Packed, d.Packed)
		assert.Equal(t, again.kind, d.kind)
		assert.Equal(t, again.echo, d.echo)
	})
}

// BenchmarkRelay measures what a relay computes for its followers in an interval in which
// nothing changes in the store.
func BenchmarkRelay(b *testing.B) {
	for _, objects := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(objects), func(b *testing.B) {
			const followers, requests = 50, 60
			clock := timekeeper.NewManual(1_000_000)
			store := &spreadStore{objects: map[string]storer.Object{}, changed: make(chan struct{})}
			for i := range objects {
				store.write(fmt.Sprint("servers/", i), "ready")
			}
			source := follower.New(store, clock.Clock(), "servers", follower.Options{}, func(error) {})
			ctx, cancel := context.WithCancel(b.Context())
			source.Run(ctx, func(follower.Update) { cancel() })
			s := New(Dependencies{
				Clock: clock.Clock(), Process: "relay", Self: Peer{Name: "relay", DataCentre: "a", ProcessorShare: 1}, LocalLoads: func() Loads { return nil },
				Eligible: func() bool { return true }, Sources: map[string]Source{"servers": source}, Record: func(recorder.Event) {},
			})
			s.SetPeers(make([]Peer, followers))
			number := int64(0)
			for b.Loop() {
				clock.Advance(relayInterval)
				number++
				for i := range followers {
					loads := Loads{}
					for j := range requests {
						loads[Key((i*requests+j)%objects)] = Load{PrefillWork: 64 * j, Requests: 1}
					}
					s.handle(Message{Sender: fmt.Sprint(i), Number: number, Loads: loads, Known: Versions{"servers": storer.Version(objects)}, WantsLoads: true}, s.Self.Address)
				}
				for _, d := range s.digestMessages() {
					_, _ = json.Marshal(d.message)
				}
			}
		})
	}
}
