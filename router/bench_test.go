package router

import (
	"fmt"
	"testing"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// inFlight is the number of requests in flight on one instance at the planned size:
// 13 requests per second (4,500 over 340 instances) of 4 s each.
const inFlight = 53

func loadedRouter(targets, peers int) *Router {
	c := catalogue(targets, nil)
	r := newRouter("i000", c)
	for i := range targets {
		r.ObserveReport(Report{Target: fmt.Sprintf("engine-%03d", i), At: start, Running: i % 14, PrefillTokens: i % 5 * 900, OutputTokens: i % 14 * 100}, start)
	}
	for i := range peers {
		peer := newRouter(fmt.Sprintf("i%03d", i+1), c)
		for range inFlight {
			_, _ = peer.Choose(request(start), start)
		}
		r.ObserveDelta(peer.Delta(start), start)
	}
	return r
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{14, 143, 860} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			r := loadedRouter(targets, 13)
			q, now := request(start), start
			prompt := make([]byte, 8000)
			q.Prefixes, q.PromptBytes = Prefixes("w", "m", prompt), len(prompt)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Prefixes[5].Digest = mix(uint64(i % 1000))
				choice, err := r.Choose(q, now)
				if err != nil {
					b.Fatal(err)
				}
				r.Finish(choice.ID, Outcome{}, now)
			}
		})
	}
}

// BenchmarkDelta measures one instance's delta. The number of targets is in
// proportion to the instances (860 at 340).
func BenchmarkDelta(b *testing.B) {
	for _, instances := range []int{14, 100, 340} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			r := loadedRouter(instances*860/340, 0)
			for range inFlight {
				_, _ = r.Choose(request(start), start)
			}
			r.Drain("engine-001", start)
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				size = encodedBytes(r.Delta(start + timekeeper.Second))
			}
			b.ReportMetric(float64(size), "delta-bytes")
			b.ReportMetric(float64(encodedBytes(r.DeltaWithin(start+timekeeper.Second, 1<<20))), "unbounded-bytes")
		})
	}
}

// BenchmarkObserveDelta measures one round of deltas from all peers.
func BenchmarkObserveDelta(b *testing.B) {
	for _, instances := range []int{14, 100, 340} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			r := loadedRouter(instances*860/340, instances-1)
			deltas := make([]Delta, 0, len(r.peers))
			for _, d := range r.peers {
				deltas = append(deltas, d)
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now += 500
				for _, d := range deltas {
					d.At = now
					r.ObserveDelta(d, now)
				}
			}
		})
	}
}
