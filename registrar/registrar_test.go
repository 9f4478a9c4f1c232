package registrar_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/registrar"
	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// store extends the fake platform by listings of a kind and counts them.
type store struct {
	*faker.Platform
	mu       sync.Mutex
	listings int
	era      storer.Era
}

func (s *store) Era() storer.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *store) SoleEra() storer.Era { return s.Era() }

func (s *store) AwaitEra(ctx context.Context, other storer.Era) bool {
	for s.Era() == other {
		if !timekeeper.Sleep(ctx, 10*timekeeper.Millisecond) {
			return false
		}
	}
	return true
}

func (s *store) StaleSnapshot(ctx context.Context, kind string) ([]storer.Object, error) {
	s.mu.Lock()
	s.listings++
	s.mu.Unlock()
	listed, err := s.List(ctx, kind+"/")
	for i, o := range listed {
		if listed[i], err = s.Get(ctx, o.Name); err != nil {
			return nil, err
		}
	}
	return listed, err
}

func (s *store) Snapshot(ctx context.Context, kind string) ([]storer.Object, storer.Version, error) {
	objects, err := s.StaleSnapshot(ctx, kind)
	return objects, 0, err
}

func (s *store) Changes(context.Context, string, storer.Version, timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	return nil, 0, nil
}

func newStore() *store { return &store{Platform: faker.NewPlatform(timekeeper.System())} }

func (s *store) write(t *testing.T, name, value string) {
	t.Helper()
	_, err := s.Put(t.Context(), registrar.Kind+"/"+name, []byte(value), 0)
	assert.NilError(t, err)
}

func run(t *testing.T, s *store, span time.Duration) (peers []sharer.Peer, failures int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	e := registrar.Entry{PeerAddress: "10.0.0.1:9", DataCentre: "a", Strength: 0.8}
	registrar.New(s, timekeeper.System(), "self", e, func(error) { failures++ }).Run(ctx, func(found []sharer.Peer) { peers = found })
	return peers, failures
}

// Guards against instances that do not discover each other, invalid entries that hide
// valid ones, and an instance that takes its earlier process for another instance.
func TestInstancesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.write(t, "self", `{"peer-address": "10.0.0.1:9", "data-centre": "a", "strength": 0.1, "seen": 1}`)
		s.write(t, "moved", `{"peer-address": "10.0.0.1:9", "data-centre": "a", "strength": 0.1, "seen": 1}`)
		s.write(t, "other", `{"peer-address": "10.0.0.2:9", "data-centre": "b", "strength": 0.5, "seen": 1}`)
		s.write(t, "broken", `{"peer-address": `)
		s.write(t, "nowhere", `{"peer-address": "here", "data-centre": "b", "strength": 0.5, "seen": 1}`)
		peers, _ := run(t, s, time.Second)
		assert.Equal(t, len(peers), 1)
		assert.Equal(t, peers[0].Name, "other")
		assert.Equal(t, peers[0].DataCentre, "b")
		assert.Equal(t, peers[0].ProcessorShare, 0.5)
		own, err := s.Get(t.Context(), registrar.Kind+"/self")
		assert.NilError(t, err)
		var e registrar.Entry
		assert.NilError(t, json.Unmarshal(own.Value, &e))
		assert.Equal(t, e.Strength, 0.8)
	})
}

// Guards against an instance that is never registered because its first writes failed.
func TestRegistrationOutlivesAnOutage(t *testing.T) {
	for name, fault := range map[string]faker.Fault{"refused": faker.FaultUnavailable, "answer lost": faker.FaultLostAnswer} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				calls := 0
				s.SetFault(func(operation, _ string) faker.Fault {
					calls++
					if calls > 4 {
						return faker.NoFault
					}
					return fault
				})
				_, failures := run(t, s, 10*time.Second)
				assert.Assert(t, failures > 0)
				_, err := s.Get(t.Context(), registrar.Kind+"/self")
				assert.NilError(t, err)
			})
		})
	}
}

// Guards against reads that grow with the square of the fleet size, and an entry that is
// renewed so rarely that it expires.
func TestALargeFleetIsListedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		for i := range 200 {
			s.write(t, string(rune('a'+i/26))+string(rune('a'+i%26)), `{"peer-address": "10.0.0.2:9", "data-centre": "b", "strength": 0.5, "seen": 1}`)
		}
		run(t, s, 3*time.Minute)
		assert.Assert(t, s.listings <= 13, "%d listings in three minutes", s.listings)
		own, err := s.Get(t.Context(), registrar.Kind+"/self")
		assert.NilError(t, err)
		var e registrar.Entry
		assert.NilError(t, json.Unmarshal(own.Value, &e))
		assert.Assert(t, timekeeper.System().Now()-e.Seen <= timekeeper.Minute+15*timekeeper.Second)
	})
}

// Guards against entries that are never removed, and against the removal of a current one.
func TestOldEntriesAreRemoved(t *testing.T) {
	s := newStore()
	now := timekeeper.System().Now()
	fresh, err := json.Marshal(registrar.Entry{PeerAddress: "10.0.0.2:9", DataCentre: "b", Seen: now - timekeeper.Minute})
	assert.NilError(t, err)
	s.write(t, "fresh", string(fresh))
	s.write(t, "gone", `{"peer-address": "10.0.0.2:9", "data-centre": "b", "strength": 0.5, "seen": 1}`)
	s.write(t, "broken", `{`)
	s.write(t, "far future", `{"peer-address": "10.0.0.2:9", "data-centre": "b", "strength": 0.5, "seen": 9223372036854775807}`)
	s.write(t, "far past", `{"peer-address": "10.0.0.2:9", "data-centre": "b", "strength": 0.5, "seen": -9223372036854775808}`)
	assert.NilError(t, registrar.RemoveExpired(t.Context(), s, now))
	left, err := s.List(t.Context(), registrar.Kind+"/")
	assert.NilError(t, err)
	assert.Equal(t, len(left), 1)
	assert.Equal(t, left[0].Name, registrar.Kind+"/fresh")
}

// Guards against an instance that takes itself for one that the others know, or a
// restarted one for new.
func TestAnEarlierRegistrationIsKnown(t *testing.T) {
	for name, known := range map[string]bool{"new": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				if known {
					s.write(t, "self", `{"peer-address": "10.0.0.1:9", "data-centre": "a", "strength": 0.1, "seen": 1}`)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute) // Renewals included.
				defer cancel()
				r := registrar.New(s, timekeeper.System(), "self", registrar.Entry{PeerAddress: "10.0.0.1:9", DataCentre: "a"}, func(error) {})
				listings := 0
				r.Run(ctx, func([]sharer.Peer) {
					listings++
					assert.Check(t, r.Known() == known)
				})
				assert.Check(t, listings > 1)
			})
		})
	}
}

// Guards against instances that lose sight of each other when the store comes back from a
// copy without their entries.
func TestEntriesAreWrittenAgainInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.era = 3
		s.write(t, "other", `{"peer-address": "10.0.0.2:9", "data-centre": "b", "strength": 0.5, "seen": 1}`)
		var mu sync.Mutex
		known := map[int]int{} // Listings by the number of instances.
		listed := func(instances int) int {
			mu.Lock()
			defer mu.Unlock()
			return known[instances]
		}
		ctx, cancel := context.WithCancel(t.Context())
		e := registrar.Entry{PeerAddress: "10.0.0.1:9", DataCentre: "a", Strength: 0.8}
		done, rewritten := make(chan struct{}), 0
		go func() {
			defer close(done)
			r := registrar.New(s, timekeeper.System(), "self", e, func(error) {})
			r.OnRewrite(func() { rewritten++ })
			r.Run(ctx, func(found []sharer.Peer) {
				mu.Lock()
				defer mu.Unlock()
				known[len(found)]++
			})
		}()
		time.Sleep(20 * time.Second)
		for _, name := range []string{"self", "other"} {
			o, err := s.Get(t.Context(), registrar.Kind+"/"+name)
			assert.NilError(t, err)
			assert.NilError(t, s.Delete(t.Context(), o.Name, o.Version))
		}
		s.mu.Lock()
		s.era++
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		_, err := s.Get(t.Context(), registrar.Kind+"/self")
		assert.NilError(t, err)
		time.Sleep(80 * time.Second)
		assert.Check(t, listed(1) > 20 && listed(0) == 0, "%d and %d listings", listed(1), listed(0))
		time.Sleep(20 * time.Second) // It has not come back.
		cancel()
		<-done
		assert.Check(t, listed(0) > 0)
		assert.Equal(t, rewritten, 1)
	})
}
