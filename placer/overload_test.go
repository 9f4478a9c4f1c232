package placer_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// arrival is one request of a caller, or its retry.
type arrival struct {
	at, firstAt float64 // Times of this request and of the caller's first one.
	retry       bool
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

// replayPeak simulates an engine's queue during a peak, whose load is a multiple of the
// engine's capacity, between two periods of low load, as larger deployments have it.
// An answer takes 20 ms of prefill and is on time within 200 ms of the caller's first
// request. A refused caller retries once.
func replayPeak(overload float64, maxWait func(remaining timekeeper.Millis, retry bool) timekeeper.Millis) (r served) {
	const work, onTime, deadline, decode = 20.0, 200.0, 2000.0, 60.0
	random := rand.New(rand.NewPCG(5, 8))
	var waiting arrivals
	for now := 0.0; now < 12_000; {
		rate := 0.6
		if now > 3000 && now < 7000 {
			rate = overload
		}
		now += random.ExpFloat64() * work / rate
		waiting = append(waiting, arrival{at: now, firstAt: now})
	}
	heap.Init(&waiting)
	idleAt := 0.0
	for len(waiting) > 0 {
		a := heap.Pop(&waiting).(arrival)
		if !a.retry {
			r.callers++
		}
		wait := max(idleAt-a.at, 0)
		if timekeeper.Millis(wait) > maxWait(timekeeper.Millis(a.firstAt+deadline-a.at), a.retry) {
			if a.retry {
				r.refused++
				continue
			}
			heap.Push(&waiting, arrival{a.at + wait*(1+random.Float64()/2), a.firstAt, true})
			continue
		}
		idleAt = max(idleAt, a.at) + work
		if idleAt+decode-a.firstAt <= onTime {
			r.onTime++
		} else {
			r.late++
		}
	}
	return r
}

// Guards against a peak in which all answers are late: if retries may wait longer than
// first requests, they keep the queue at their limit.
func TestAPeakLeavesMostAnswersOnTime(t *testing.T) {
	for name, overload := range map[string]float64{"a third too much": 1.33, "twice as much": 2} {
		t.Run(name, func(t *testing.T) {
			uniform := replayPeak(overload, func(remaining timekeeper.Millis, _ bool) timekeeper.Millis {
				return placer.Limits{TargetLatency: 200, Remaining: remaining}.MaxWait()
			})
			favoured := replayPeak(overload, func(remaining timekeeper.Millis, retry bool) timekeeper.Millis {
				if retry {
					return min(timekeeper.Millis(0.4*float64(remaining)), 600)
				}
				return placer.Limits{TargetLatency: 200, Remaining: remaining}.MaxWait()
			})
			t.Logf("the same limit for all: %+v; three target latencies for retries: %+v", uniform, favoured)
			assert.Assert(t, uniform.onTime > favoured.onTime)
			// A late answer counts at most half as much as one on time.
			assert.Assert(t, uniform.onTime+uniform.late/2 > favoured.onTime+favoured.late/2)
		})
	}
}
