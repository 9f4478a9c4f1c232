package router

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// BenchmarkCapacity measures Capacity, which admission calls twice a second for
// each pool.
func BenchmarkCapacity(b *testing.B) {
	for _, targets := range []int{14, 143, 860} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			r := loadedRouter(targets, 13)
			route := request(start).Route
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Capacity(route, true, start+timekeeper.Millis(i%2))
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes of a router with the deltas of all peers.
func BenchmarkMemory(b *testing.B) {
	for _, instances := range []int{14, 100, 340} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := loadedRouter(instances*860/340, instances-1)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-bytes")
				runtime.KeepAlive(r)
			}
		})
	}
}
