package scheduler

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against a collapse of goodput when the mix shifts to long prompts or long
// outputs: it must be at least 1.3 times that of the best baseline, with three instances.
func TestGoodputThroughShift(t *testing.T) {
	const engines, end = 4, 300 * timekeeper.Second
	all := []int{0, 1, 2}
	between := func(from, until timekeeper.Millis, inside, outside float64) func(timekeeper.Millis) float64 {
		return func(at timekeeper.Millis) float64 {
			if at >= from*timekeeper.Second && at < until*timekeeper.Second {
				return inside
			}
			return outside
		}
	}
	draw := func() []*job {
		return arrivals(20261204, end-30*timekeeper.Second,
			source{workspace: "w1", class: chatClass, perSecond: between(180, 240, 6, 8), prompt: 300, output: 200, instances: all},
			source{workspace: "w2", class: chatClass, perSecond: between(180, 240, 6, 7), prompt: 300, output: 200, instances: all},
			source{workspace: "w3", class: chatClass, perSecond: between(180, 240, 12, 0), prompt: 200, output: 700, instances: all},
			source{workspace: "w4", class: dossierClass, perSecond: between(60, 150, 5, 0.7), prompt: 8000, output: 60, instances: all},
		)
	}
	results := map[string]int{}
	for name, p := range map[string]policy{
		"scheduled":                newScheduled(3, engines),
		"first come":               &firstCome{slots: batch},
		"first come with expiry":   &firstCome{slots: batch, expiry: true},
		"first come, early expiry": &firstCome{slots: batch, expiry: true, firstToken: true},
		"least loaded, no bound":   &firstCome{slots: 1 << 30},
	} {
		jobs, byClass := draw(), map[string]int{}
		simulate(engines, jobs, end, p)
		for _, j := range jobs {
			if j.inTime() {
				results[name]++
				byClass[j.Class.Name]++
			}
		}
		t.Logf("%-24s %d of %d in time %v", name, results[name], len(jobs), byClass)
	}
	best := 0
	for name, n := range results {
		if name != "scheduled" {
			best = max(best, n)
		}
	}
	t.Logf("ratio to the best baseline: %.2f", float64(results["scheduled"])/float64(best))
	assert.Assert(t, float64(results["scheduled"]) >= 1.3*float64(best))
}

// Guards against a flood from one workspace that takes the share of others, whose
// requests are spread unevenly over the instances: the worst-served workspace must
// get 0.9 of its due share.
func TestWorstServedThroughFlood(t *testing.T) {
	const engines, end = 4, 180 * timekeeper.Second
	// The pool serves about 23 chat requests a second, so the due share of each of
	// the five workspaces is 4.6 a second.
	var seed uint64
	draw := func() []*job {
		return arrivals(seed, end,
			source{workspace: "flood", class: chatClass, perSecond: constantRate(46), prompt: 300, output: 200, instances: []int{0, 1, 2}},
			source{workspace: "w1", class: chatClass, perSecond: constantRate(6), prompt: 300, output: 200, instances: []int{0}},
			source{workspace: "w2", class: chatClass, perSecond: constantRate(6), prompt: 300, output: 200, instances: []int{0, 0, 1}},
			source{workspace: "w3", class: chatClass, perSecond: constantRate(6), prompt: 300, output: 200, instances: []int{2}},
			source{workspace: "w4", class: chatClass, perSecond: constantRate(6), prompt: 300, output: 200, instances: []int{0, 1, 2}},
		)
	}
	worst := func(p policy, countLate bool) float64 {
		jobs, served, total := draw(), map[string]float64{}, 0.0
		simulate(engines, jobs, end, p)
		for _, j := range jobs {
			if j.doneAt >= 30*timekeeper.Second && (countLate || j.inTime()) {
				work := j.size.Prefill/prefillSpeed + j.size.Output/decodeSpeed
				served[j.Workspace] += work
				total += work
			}
		}
		lowest := 1e9
		for _, w := range []string{"flood", "w1", "w2", "w3", "w4"} {
			lowest = min(lowest, served[w]/(total/5))
		}
		t.Logf("%T: work %.0f%% of the engines, worst-served %.2f of its due share, %v", p, 100*total/engines/(end-30*timekeeper.Second).Seconds(), lowest, served)
		return lowest
	}
	for _, seed = range []uint64{20261204, 1, 2} {
		got, baseline := worst(newScheduled(3, engines), false), worst(&firstCome{slots: batch, expiry: true}, true)
		assert.Assert(t, got >= 0.9, "worst-served workspace gets %.2f of its due share, first come %.2f", got, baseline)
	}
}

// Measures the cost of all scheduler calls for one request.
func BenchmarkSubmitStartFinish(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := New(Origin{Instance: "a"})
			s.SetCapacity(Capacity{Targets: 100, Prefill: 1e9, Decode: 1e9, Slots: 64})
			requests := make([]Request, n)
			for i := range requests {
				requests[i] = Request{Workspace: fmt.Sprintf("workspace-%d", i), Weight: 1, Class: chatClass}
				requests[i].Cost.Prefill, requests[i].Cost.Output = 300, 200
			}
			ids := make([]string, 1<<12)
			for i := range ids {
				ids[i] = fmt.Sprint(i)
			}
			var running []string
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := timekeeper.Millis(i / 20)
				r := requests[(i*7919)%n]
				r.ID, r.Arrived = ids[i%len(ids)], now
				s.Submit(now, r)
				started, _ := s.Next(now)
				for _, r := range started {
					s.FirstToken(now, r.ID)
					running = append(running, r.ID)
				}
				if len(running) >= 64 {
					s.Finish(now, running[0], r.Cost)
					running = running[1:]
				}
			}
		})
	}
}

// Measures the cost of building a service record, which happens once in every
// gossip period, and the memory of a queue with one request for each workspace.
func BenchmarkServed(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newReady(4, WithQueue(1<<20))
			s.SetInstances([]string{"a", "b", "c"})
			for i := range n {
				s.Submit(0, Request{ID: fmt.Sprint(i), Workspace: fmt.Sprintf("workspace-%d", i), Weight: 1, Class: declarer.Class{DeadlineMilliseconds: 86_400_000}})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				s.PublishService()
			}
			record, _ := json.Marshal(s.PublishService())
			b.ReportMetric(float64(len(record)), "record-bytes")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-bytes")
		})
	}
}
