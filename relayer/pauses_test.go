package relayer_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/relayer"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// pausingFleet is a plain service a third of whose targets ask for a pause by turns.
type pausingFleet struct {
	targets   int
	turn      time.Duration // How long a third of them pauses.
	announces bool          // Refusals say for how long; otherwise they only refuse.

	mu      sync.Mutex
	start   time.Time
	running map[string]int
	refused int // Requests that reached a pausing target.
}

const (
	pausingSlots = 6
	pausingWork  = 40 * time.Millisecond
)

// pauseLeft returns the rest of a target's pause.
func (f *pausingFleet) pauseLeft(index int) time.Duration {
	age := time.Since(f.start)
	if int(age/f.turn)%3 != index%3 {
		return 0
	}
	return f.turn - age%f.turn
}

func (f *pausingFleet) decide(a relayer.Attempt) outcome {
	var index int
	_, _ = fmt.Sscanf(a.Target.ID, "t%d", &index)
	refusal := &relayer.Failure{Outcome: tracker.Rejected, State: retrier.NotSent, Cause: errTest}
	f.mu.Lock()
	left := f.pauseLeft(index)
	switch {
	case left > 0:
		f.refused++
		f.mu.Unlock()
		if f.announces {
			refusal.Report.Pause = timekeeper.FromDuration(left) + 1
		}
		return outcome{failure: refusal}
	case f.running[a.Target.ID] >= 2*pausingSlots:
		f.mu.Unlock()
		return outcome{failure: refusal}
	}
	f.running[a.Target.ID]++
	wait := pausingWork * time.Duration(1+(f.running[a.Target.ID]-1)/pausingSlots)
	f.mu.Unlock()
	time.Sleep(wait)
	f.mu.Lock()
	f.running[a.Target.ID]--
	f.mu.Unlock()
	return outcome{status: 200}
}

// play sends requests through several instances and returns the share that was served in
// time, and that in the worst second.
func (f *pausingFleet) play(t *testing.T, instances int, rate float64, span time.Duration) (served, worst float64) {
	f.start, f.running = time.Now(), map[string]int{}
	var list []*harness
	for range instances {
		h := newHarness(t, booking).withPlainTargets(f.targets)
		h.sender.decide = f.decide
		list = append(list, h)
	}
	random := rand.New(rand.NewPCG(32, 1))
	sent, good := map[int]int{}, map[int]int{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := 0; time.Since(f.start) < span; i++ {
		h := list[random.IntN(len(list))]
		second := int(time.Since(f.start) / time.Second)
		mu.Lock()
		sent[second]++
		mu.Unlock()
		callers.Go(func() {
			begun := time.Now()
			h.holder.Confirm(timekeeper.System().Read())
			got := h.serve(relayer.Request{ID: fmt.Sprint(i)})
			mu.Lock()
			defer mu.Unlock()
			if got.ended && time.Since(begun) <= 3*pausingWork {
				good[second]++
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	callers.Wait()
	worst = 1
	all, served := 0, 0.0
	for second, n := range sent {
		all += n
		served += float64(good[second])
		worst = min(worst, float64(good[second])/float64(n))
	}
	return served / float64(all), worst
}

// Replays a load while a third of the targets pause by turns. Guards against requests
// that go on to pausing targets, against a rush to those that return, and against losing
// more callers than without the announcements.
func TestLoadWithAThirdOfTheTargetsPausing(t *testing.T) {
	for name, c := range map[string]struct {
		turn time.Duration
		rate float64 // Requests a second; 12 targets serve 1800.
	}{
		"long pauses":  {10 * time.Second, 700},
		"short pauses": {1500 * time.Millisecond, 700},
		"high load":    {3 * time.Second, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const instances = 4
				without := &pausingFleet{targets: 12, turn: c.turn}
				servedWithout, worstWithout := without.play(t, instances, c.rate, 30*time.Second)
				with := &pausingFleet{targets: 12, turn: c.turn, announces: true}
				served, worst := with.play(t, instances, c.rate, 30*time.Second)
				t.Logf("served in time %.4f, worst second %.3f, refusals %d; without announcements %.4f, %.3f, %d",
					served, worst, with.refused, servedWithout, worstWithout, without.refused)
				turns := int(30*time.Second/c.turn) + 1
				assert.Check(t, with.refused <= turns*with.targets/3*instances*2, "%d refusals in %d turns", with.refused, turns)
				assert.Check(t, with.refused < without.refused)
				assert.Check(t, served >= servedWithout, "%.4f served, %.4f without announcements", served, servedWithout)
			})
		})
	}
}
