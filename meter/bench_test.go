package meter

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

func BenchmarkAddToken(b *testing.B) {
	c := NewCounter(Source{Instance: "a", Incarnation: 1}, Window)
	line := Line{Workspace: "w0", Key: "k", Model: "m", Route: "r"}
	b.ReportAllocs()
	for b.Loop() {
		c.Add(1000*Window, line, Amounts{OutputTokens: 1})
	}
}

// BenchmarkRequest measures counting and copying one request among 800 lines.
func BenchmarkRequest(b *testing.B) {
	w := newWorld(func(int) int { return 1 }, false, false)
	n := w.nodes[0]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sequence := n.counter.Add(w.now, Line{Workspace: fmt.Sprint("w", i%800), Key: "k", Model: "m", Route: "r"}, Amounts{Calls: 1})
		if err := n.copier.Flush(b.Context(), sequence); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLineMemory reports the bytes that one line of one window takes at the
// counting instance and at the holder of its copy.
func BenchmarkLineMemory(b *testing.B) {
	const lines = 20000
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC() // the second cycle frees the encoder's pooled buffers
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		names := make([]Line, lines)
		for i := range names {
			names[i] = Line{Workspace: fmt.Sprintf("workspace-%05d", i), Key: "main", Model: "small", Route: "chat"}
		}
		before := heap()
		c := NewCounter(Source{Instance: "a", Incarnation: 1}, Window)
		for _, l := range names {
			c.Add(1000*Window, l, Amounts{Calls: 1})
		}
		r, upTo := c.Changes()
		data, err := json.Marshal(r)
		assert.NilError(b, err)
		c.Acknowledge(upTo)
		r = CopyRequest{}
		counted := heap() - uint64(len(data))
		held := NewCopies()
		var received CopyRequest
		assert.NilError(b, json.Unmarshal(data, &received))
		assert.NilError(b, held.Receive(received))
		received = CopyRequest{}
		b.ReportMetric(float64(counted-before)/lines, "counter-bytes/line")
		b.ReportMetric((float64(heap())-float64(len(data))-float64(counted))/lines, "copy-bytes/line")
		b.ReportMetric(float64(len(data))/lines, "wire-bytes/line")
		runtime.KeepAlive(c)
		runtime.KeepAlive(held)
		runtime.KeepAlive(data)
		runtime.KeepAlive(names)
	}
}
