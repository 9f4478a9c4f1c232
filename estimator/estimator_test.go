package estimator

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an estimate that stays at the prior or does not follow a change of the mix.
func TestEstimateFollowsTheMix(t *testing.T) {
	e := New()
	r := Request{Workspace: "w", Route: "chat", PromptBytes: 4000}
	assert.Equal(t, e.Estimate(r).Output, float64(defaultOutput))
	for _, mix := range []Answer{{PromptTokens: 1000, OutputTokens: 20}, {PromptTokens: 2000, CachedTokens: 1000, OutputTokens: 900}} {
		for range 5 * averageWindow {
			e.Observe(r, mix)
		}
		got := e.Estimate(r)
		assert.Assert(t, math.Abs(got.Output-float64(mix.OutputTokens)) < 0.1*float64(mix.OutputTokens)+5, "output %v for %+v", got.Output, mix)
		assert.Assert(t, math.Abs(got.Prefill-1000) < 100, "prefill %v for %+v", got.Prefill, mix)
	}
	newcomer := e.Estimate(Request{Workspace: "new", Route: "chat", PromptBytes: 4000})
	assert.Assert(t, newcomer.Output > 600, "a new workspace starts from the route's answers, got %v", newcomer.Output)
}

// Guards against estimates that are not finite, less than what was already
// streamed or above the caller's limit, and against unbounded memory, for any answers.
func TestEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(WithEntries(16))
		for i := range rapid.IntRange(0, 60).Draw(t, "answers") {
			r := Request{Workspace: fmt.Sprint(i % 40), Route: "r", PromptBytes: rapid.IntRange(0, 1<<20).Draw(t, "bytes")}
			e.Observe(r, Answer{
				PromptTokens: rapid.IntRange(-1, 1<<18).Draw(t, "prompt"), CachedTokens: rapid.IntRange(0, 1<<19).Draw(t, "cached"),
				OutputTokens: rapid.IntRange(0, 1<<20).Draw(t, "output"), Partial: rapid.Bool().Draw(t, "partial"),
			})
			maximum, streamed := rapid.IntRange(0, 4096).Draw(t, "maximum"), rapid.IntRange(0, 1<<20).Draw(t, "streamed")
			r.MaxOutput = maximum
			first := e.Estimate(r)
			later := first.WithStreamed(streamed)
			for _, v := range []float64{first.PromptTokens, first.Prefill, first.Output, later.Output} {
				assert.Assert(t, v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v))
			}
			assert.Assert(t, later.Output >= float64(streamed))
			assert.Assert(t, maximum == 0 || first.Output <= float64(maximum))
			assert.Assert(t, e.Len() <= 17)
		}
	})
}

// Measures the cost of an estimate and of observing its answer.
func BenchmarkEstimateAndObserve(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			e, names := New(), make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("workspace-%d", i)
				e.Observe(Request{Workspace: names[i], Route: "chat", PromptBytes: 400}, Answer{PromptTokens: 100, OutputTokens: 100})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := Request{Workspace: names[(i*7919)%n], Route: "chat", PromptBytes: 400}
				_ = e.Estimate(r)
				e.Observe(r, Answer{PromptTokens: 100, OutputTokens: 120})
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-bytes")
		})
	}
}
