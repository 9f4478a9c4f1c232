package distributor

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/declarer"
)

// manifestOf returns a manifest and shards of a declaration without a store.
func manifestOf(tb testing.TB, d declarer.Declaration, generation int64) (Manifest, []Shard) {
	references, shards, err := Split(d)
	assert.NilError(tb, err)
	return Manifest{Change: Change{Generation: generation, ApplyID: "a", Author: "ann"}, Shards: references}, shards
}

// BenchmarkRebuild measures the adoption of a generation: in full, as at the start
// of an instance, and with one changed workspace.
func BenchmarkRebuild(b *testing.B) {
	for _, n := range []int{1000, 8000, 26000} {
		d := sample(n)
		first, shards := manifestOf(b, d, 1)
		second, changed := manifestOf(b, withWeight(d, n/2, 3), 2)
		b.Run(fmt.Sprintf("whole-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := New().Adopt(first, shards)
				assert.NilError(b, err)
			}
		})
		b.Run(fmt.Sprintf("one-change-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			base := New()
			_, err := base.Adopt(first, shards)
			assert.NilError(b, err)
			s := base.current.Load()
			for b.Loop() {
				_, err := s.next(second, changed)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkMemory reports the memory of an instance for each workspace, the number
// of shards and their mean compressed size, which one change transfers to it.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 26000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := sample(n)
			for b.Loop() {
				m, shards := manifestOf(b, d, 1)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				instance := New()
				_, err := instance.Adopt(m, shards)
				assert.NilError(b, err)
				shards = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				compressed := 0
				for _, f := range instance.current.Load().decoded {
					compressed += len(f.compressed)
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc+uint64(compressed))/float64(n), "bytes/workspace")
				b.ReportMetric(float64(compressed)/float64(len(m.Shards)), "bytes/shard")
				b.ReportMetric(float64(len(m.Shards)), "shards")
			}
		})
	}
}
