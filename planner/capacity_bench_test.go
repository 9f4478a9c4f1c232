package planner

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// benchmarkView returns a data centre with targets of both roles and workspaces of
// equal demand.
func benchmarkView(targets, contracts int) View {
	v := View{Now: 1000 * second, Offers: offers(), Busy: map[string]bool{}}
	for i := range targets {
		role := declarer.TargetRoleDecode
		if i%5 < 2 {
			role = declarer.TargetRolePrefill
		}
		v.Targets = append(v.Targets, Target{
			Name: fmt.Sprintf("engine-%03d", i), Zone: "s", Purchase: onDemand, Role: role, Cost: 1, Speed: engineSpeed,
			Load: engineSpeed.Times(0.5), Running: 4, ReadyAt: v.Now,
		})
	}
	total := engineSpeed.Times(float64(targets) * 0.6)
	v.ExpectedDemand, v.QueuedWork = total, total.Times(0.2)
	for i := range contracts {
		one := total.Times(1 / float64(contracts))
		v.Contracts = append(v.Contracts, Contract{
			Workspace: fmt.Sprintf("workspace-%05d", i), SpendCeiling: 30, ExpectedDemand: one, PeakDemand: one, PreemptibleShare: preemptibleShare, Slack: slack,
		})
	}
	return v
}

// BenchmarkPlan measures one plan of a data centre.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ targets, contracts int }{{14, 100}, {14, 26000}, {143, 100}, {143, 1000}, {143, 8000}, {143, 26000}, {860, 26000}} {
		b.Run(fmt.Sprintf("targets=%d-workspaces=%d", size.targets, size.contracts), func(b *testing.B) {
			v := benchmarkView(size.targets, size.contracts)
			b.ReportAllocs()
			for b.Loop() {
				Plan(v, Policy{})
			}
		})
	}
}

// BenchmarkForecast measures the observation of one workspace, which every
// instance makes once a period for each workspace that it has served.
func BenchmarkForecast(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			list := make([]Forecast, n)
			now := period
			observe := func() {
				now += period
				for k := range list {
					list[k].Observe(now, units(1))
				}
			}
			for range 1000 {
				observe()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				observe()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "state-bytes/workspace")
		})
	}
}

// BenchmarkAhead measures the use of the forecasts of all workspaces in one plan.
func BenchmarkAhead(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			list := make([]Forecast, n)
			for i := range 200 {
				for k := range list {
					list[k].Observe(period*timekeeper.Millis(i), units(1))
				}
			}
			var sum Demand
			for b.Loop() {
				for k := range list {
					sum = sum.Plus(list[k].MaxUntil(3 * minute)).Plus(list[k].Peak())
				}
			}
		})
	}
}
