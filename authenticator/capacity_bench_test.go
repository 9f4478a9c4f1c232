package authenticator

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkKeys measures the check of a key among n keys of which one in 26 is withdrawn.
func BenchmarkKeys(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			keys := make([]int, n)
			for i := range keys {
				keys[i] = i
			}
			c := catalogueOf(1, keys...)
			a := New(NewSet())
			for i := range n / 26 {
				a.Set().Add(Withdrawal{Hash: HashKey(fmt.Sprint(i)), Operator: "ann"})
			}
			r, key := route(c, "model"), []string{keyName(n / 2)}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := a.Check(c, r, key, Connected); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSet measures the merge of a whole set of withdrawals into an equal one,
// as two instances with different digests do, and reports its encoded size and its
// size in memory.
func BenchmarkSet(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("withdrawals=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := NewSet()
			for i := range n {
				s.Add(Withdrawal{Hash: HashKey(fmt.Sprint(i)), Operator: "ann"})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			list := s.List()
			b.ReportAllocs()
			for b.Loop() {
				s.Merge(list)
			}
			b.ReportMetric(float64(len(Encode(list).Data)), "message-bytes")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "state-bytes/withdrawal")
		})
	}
}

// BenchmarkPrune measures the search for keys that left the configuration, which an
// instance does five times a second.
func BenchmarkPrune(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("withdrawals=%d", n), func(b *testing.B) {
			keys := make([]int, n)
			s := NewSet()
			for i := range keys {
				keys[i] = i
				s.Add(Withdrawal{Hash: HashKey(keyName(i)), Operator: "ann"})
			}
			ring := CatalogueKeys{Catalogue: catalogueOf(1, keys...)}
			b.ReportAllocs()
			for b.Loop() {
				s.Prune(ring, 1000)
			}
		})
	}
}
