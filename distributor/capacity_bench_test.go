package distributor

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against a change that is not in force within 11 s at a size between those
// of TestSpreadOfAChange, and against store calls that grow with the number of
// instances.
func TestSpreadAtHundredInstances(t *testing.T) {
	elapsed, calls, bytes := simulateSpread(t, 100, 6, "reader", 0)
	t.Logf("in force everywhere after %s, %d store calls, %d bytes fetched by each instance", elapsed, calls, bytes/100)
	assert.Assert(t, elapsed <= 11*timekeeper.Second)
	assert.Equal(t, calls, 2*6)
}

// BenchmarkHeld reports the heap of an instance with a configuration in force, and
// the size of the manifest, which every change transfers to every instance.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{1000, 8000, 26000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			m, shards := manifestOf(b, sample(n), 1)
			data, err := json.Marshal(m)
			assert.NilError(b, err)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				instance := New()
				_, err := instance.Adopt(m, shards)
				assert.NilError(b, err)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
				runtime.KeepAlive(instance)
			}
			b.ReportMetric(float64(len(data)), "manifest-bytes")
		})
	}
}
