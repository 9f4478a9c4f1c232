package placer_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// arrival is one try of a caller.
type arrival struct {
	at, first float64 // Of this try, and of the caller's first one.
	returned  bool
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type served struct{ callers, onTime, late, refused int }

// replayPeak plays a peak of so many times what an engine can read, between two calm
// spans, as the grown deployments have it: an answer takes 20 ms, is on time within
// 200 ms of the first try, and a refused caller comes back once.
func replayPeak(overload float64, bound func(left timekeeper.Millis, returned bool) timekeeper.Millis) (r served) {
	const work, onTime, deadline, run = 20.0, 200.0, 2000.0, 60.0
	random := rand.New(rand.NewPCG(5, 8))
	var waiting arrivals
	for now := 0.0; now < 12_000; {
		rate := 0.6
		if now > 3000 && now < 7000 {
			rate = overload
		}
		now += random.ExpFloat64() * work / rate
		waiting = append(waiting, arrival{at: now, first: now})
	}
	heap.Init(&waiting)
	free := 0.0
	for len(waiting) > 0 {
		a := heap.Pop(&waiting).(arrival)
		if !a.returned {
			r.callers++
		}
		wait := max(free-a.at, 0)
		if timekeeper.Millis(wait) > bound(timekeeper.Millis(a.first+deadline-a.at), a.returned) {
			if a.returned {
				r.refused++
				continue
			}
			heap.Push(&waiting, arrival{a.at + wait*(1+random.Float64()/2), a.first, true})
			continue
		}
		free = max(free, a.at) + work
		if free+run-a.first <= onTime {
			r.onTime++
		} else {
			r.late++
		}
	}
	return r
}

// Guards against a peak in which all answers come late: if callers that came back
// may wait longer than others, they keep the queue at their bound.
func TestAPeakLeavesMostAnswersOnTime(t *testing.T) {
	for name, overload := range map[string]float64{"a third too much": 1.33, "twice as much": 2} {
		t.Run(name, func(t *testing.T) {
			same := replayPeak(overload, func(left timekeeper.Millis, _ bool) timekeeper.Millis {
				return placer.Limits{Target: 200, Left: left}.InTime()
			})
			favoured := replayPeak(overload, func(left timekeeper.Millis, returned bool) timekeeper.Millis {
				if returned {
					return min(timekeeper.Millis(0.4*float64(left)), 600)
				}
				return placer.Limits{Target: 200, Left: left}.InTime()
			})
			t.Logf("the same bound for all: %+v; three targets for those that came back: %+v", same, favoured)
			assert.Assert(t, same.onTime > favoured.onTime)
			// The deployments' sheets give a late answer half of an answer's worth at most.
			assert.Assert(t, same.onTime+same.late/2 > favoured.onTime+favoured.late/2)
		})
	}
}
