package distributor

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Parameters of the simulated gossip: at each interval an instance sends its
// generation to gossipFanout members of its data centre. The first two members of
// a data centre are relays, which also send theirs to a relay of any data centre.
const (
	gossipInterval = 500 * timekeeper.Millisecond
	gossipFanout   = 2
	tick           = 10 * timekeeper.Millisecond
)

// simulateSpread returns how long one change takes to be in force everywhere, and
// the store calls and fetched bytes that it costs. mode is reader, silent (no data
// centre has a reader) or poll (the baseline: each instance reads the store every 10 s).
func simulateSpread(t *testing.T, instances, dataCentres int, mode string, seed uint64) (timekeeper.Millis, int, int) {
	r := rand.New(rand.NewPCG(seed, 7))
	platform := faker.NewPlatform(timekeeper.System())
	before := sampleWith(4, 1)
	publish(t, platform, before, 0)
	first, _, err := ReadManifest(t.Context(), platform)
	assert.NilError(t, err)
	members := make([]*localPeer, instances)
	due := make([]timekeeper.Millis, instances)
	poll := make([]timekeeper.Millis, instances)
	for i := range members {
		members[i] = &localPeer{d: New()}
		_, err := members[i].d.ReadStore(t.Context(), platform)
		assert.NilError(t, err)
		due[i] = timekeeper.Millis(r.IntN(int(gossipInterval)))
		poll[i] = timekeeper.Millis(r.IntN(int(10 * timekeeper.Second)))
		if mode == "silent" {
			poll[i] = NextPoll(0, 0, -timekeeper.Minute, r.Float64())
		}
	}
	assert.Equal(t, first.Change.Generation, int64(1))
	publish(t, platform, withWeight(before, 3, 2), 1)
	calls := platform.Calls()
	now, remaining := timekeeper.Millis(0), instances
	for ; remaining > 0 && now < timekeeper.Minute; now += tick {
		for i, m := range members {
			if mode == "reader" && i < dataCentres && now == tick {
				_, _, err := m.d.WatchStore(t.Context(), platform, storer.Version(4))
				assert.NilError(t, err)
			}
			if mode != "reader" && now >= poll[i] && m.d.Generation() < 2 {
				_, err := m.d.ReadStore(t.Context(), platform)
				assert.NilError(t, err)
			}
			if mode == "poll" || now < due[i] {
				continue
			}
			due[i] += gossipInterval
			for range gossipFanout {
				peer := members[i%dataCentres+dataCentres*r.IntN((instances-i%dataCentres+dataCentres-1)/dataCentres)]
				if m.d.Generation() > peer.d.Generation() {
					_, err := peer.d.FetchFrom(t.Context(), m)
					assert.NilError(t, err)
				}
			}
			if relay := members[r.IntN(2*dataCentres)]; i < 2*dataCentres && m.d.Generation() > relay.d.Generation() {
				_, err := relay.d.FetchFrom(t.Context(), m)
				assert.NilError(t, err)
			}
		}
		remaining = 0
		for _, m := range members {
			if m.d.Generation() < 2 {
				remaining++
			}
		}
	}
	total, servedBytes := 0, 0
	for operation, n := range platform.Calls() {
		total += n - calls[operation]
	}
	for _, m := range members {
		servedBytes += m.servedBytes
	}
	return now, total, servedBytes
}

// Guards against a change that is not in force everywhere within 11 s, and store
// calls that grow with the number of instances. The measured values are logged.
func TestSpreadOfAChange(t *testing.T) {
	for _, size := range []struct{ instances, dataCentres int }{{14, 4}, {340, 6}} {
		for _, mode := range []string{"reader", "silent", "poll"} {
			t.Run(fmt.Sprintf("%s-%d", mode, size.instances), func(t *testing.T) {
				var longest timekeeper.Millis
				most := 0
				for seed := range uint64(2) {
					elapsed, calls, _ := simulateSpread(t, size.instances, size.dataCentres, mode, seed)
					longest, most = max(longest, elapsed), max(most, calls)
				}
				t.Logf("in force everywhere after %s at most, %d store calls at most", longest, most)
				if mode != "poll" {
					assert.Assert(t, longest <= 11*timekeeper.Second)
				}
				if mode == "reader" {
					assert.Equal(t, most, 2*size.dataCentres)
				}
			})
		}
	}
}
