package meter

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func lineOf(i int) Line {
	return Line{Workspace: fmt.Sprintf("workspace-%05d", i), Key: fmt.Sprintf("key-%d", i%3), Model: fmt.Sprintf("model-%d", i%15), Route: "chat"}
}

func filledCounter(instance string, first, lines int, now timekeeper.Millis) *Counter {
	c := NewCounter(Source{Instance: instance, Incarnation: 1}, Window)
	for i := range lines {
		c.Add(now, lineOf(first+i), Amounts{PromptTokens: 1400, CachedTokens: 900, OutputTokens: 290, Calls: 1})
	}
	return c
}

// BenchmarkWindow measures one instance's answer to a collect request. It reports
// the bytes of the answer, and of the copy and the state per line.
func BenchmarkWindow(b *testing.B) {
	for _, n := range []int{1, 100, 800, 6000} {
		b.Run(fmt.Sprintf("lines=%d", n), func(b *testing.B) {
			now := 1000 * Window
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := filledCounter("i0", 0, n, now)
			runtime.GC()
			runtime.ReadMemStats(&after)
			copied, err := json.Marshal(func() CopyRequest { r, _ := c.Changes(); return r }())
			assert.NilError(b, err)
			request := CollectRequest{Window: now, Marks: []Mark{}, Copies: []Source{}}
			var answer []byte
			b.ReportAllocs()
			for b.Loop() {
				answer, err = json.Marshal(AnswerCollect(c, NewCopies(), now+Window+10*timekeeper.Second, request))
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(answer)), "answer-bytes")
			b.ReportMetric(float64(len(copied))/float64(n), "copy-bytes/line")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "state-bytes/line")
		})
	}
}

// BenchmarkSeal measures one window of a data centre at its reporter: collection
// through JSON from 57 instances (340 over 6 data centres), sealing and reporting.
// It also reports the store calls and the stored bytes per window.
func BenchmarkSeal(b *testing.B) {
	const instances = 57
	for _, n := range []int{100, 800, 6000} {
		b.Run(fmt.Sprintf("lines=%d", n), func(b *testing.B) {
			w := &world{now: 1000 * Window, platform: faker.NewPlatform(timekeeper.System()), served: map[Line]Amounts{}, epoch: 1}
			for i := range instances {
				w.nodes = append(w.nodes, &node{world: w, index: i, copies: NewCopies(), counter: NewCounter(Source{Instance: fmt.Sprint("i", i), Incarnation: 1}, Window)})
			}
			var members []Member
			for _, nd := range w.nodes {
				members = append(members, Member{Source: nd.counter.Source(), Live: true, Peer: nd})
			}
			r := NewReporter(ReporterOptions{DataCentre: "a"}, w.platform, w.platform, tenure{w, w.epoch})
			_, err := r.Step(b.Context(), w.now, members)
			assert.NilError(b, err)
			window := func() {
				for i, nd := range w.nodes {
					// Neighbouring instances share a part of the workspaces.
					for k := range n {
						nd.counter.Add(w.now, lineOf((i*n/2+k)%26000), Amounts{PromptTokens: int64(1400 + k), CachedTokens: int64(k), OutputTokens: int64(290 + i), Calls: 1})
					}
				}
				w.now += Window
			}
			window()
			before := w.platform.Calls()
			windows, reported := 0, 0
			for b.Loop() {
				b.StopTimer()
				window()
				b.StartTimer()
				p, err := r.Step(b.Context(), w.now+10*timekeeper.Second, members)
				assert.NilError(b, err)
				windows += len(p.Sealed)
				reported += len(p.Reported)
			}
			assert.Equal(b, windows, reported)
			after := w.platform.Calls()
			parts, err := w.platform.List(b.Context(), "usage-parts/")
			assert.NilError(b, err)
			bytes := 0
			objects, err := w.platform.List(b.Context(), "usage/")
			assert.NilError(b, err)
			for _, o := range append(objects, parts...) {
				stored, err := w.platform.Get(b.Context(), o.Name)
				assert.NilError(b, err)
				bytes += len(stored.Value)
			}
			b.ReportMetric(float64(after["put"]-before["put"]+after["delete"]-before["delete"])/float64(windows), "writes/window")
			b.ReportMetric(float64(after["get"]-before["get"]+after["list"]-before["list"])/float64(windows), "reads/window")
			b.ReportMetric(float64(bytes)/float64(windows), "stored-bytes/window")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(windows), "µs/window")
		})
	}
}
