package retrier

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against a second run of non-idempotent work (P9), a retry past the
// deadline, and retries beyond the budget of a workspace or target.
func TestRetriesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{Instance: "a", Seed: 1})
		o := r.options
		now := timekeeper.Millis(1_000_000)
		begin := now
		requests, retries := map[string]float64{}, map[string]float64{}
		names := rapid.SampledFrom([]string{"v", "w"})
		targets := rapid.SampledFrom([]string{"t1", "t2", "t3"})
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				w, m := names.Draw(t, "workspace"), targets.Draw(t, "target")
				r.Started(w, m, now)
				requests[w]++
				requests[m]++
			},
			"retry": func(t *rapid.T) {
				a := Attempt{
					Workspace: names.Draw(t, "workspace"), Target: targets.Draw(t, "target"), Number: rapid.IntRange(1, 4).Draw(t, "number"),
					State:      rapid.SampledFrom([]State{NotSent, PossiblyRunning, Ran, Answered, "unheard-of"}).Draw(t, "state"),
					Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: now + timekeeper.Millis(rapid.IntRange(0, 3000).Draw(t, "left")), Expected: 500,
				}
				at, err := r.Retry(a, now)
				if err != nil {
					return
				}
				assert.Assert(t, a.State == NotSent || (a.Idempotent && a.State != Answered && a.State != "unheard-of"))
				assert.Assert(t, at > now && at+a.Expected <= a.Deadline && a.Number < o.MaxAttempts)
				retries[a.Workspace]++
				retries[a.Target]++
			},
			"wait": func(t *rapid.T) { now += timekeeper.Millis(rapid.IntRange(1, 5000).Draw(t, "millis")) },
			"": func(t *rapid.T) {
				reserve := o.Reserve * float64(1+(now-begin)/o.ReserveTime)
				for name, n := range retries {
					assert.Assert(t, n <= o.Share*requests[name]+reserve+1e-6, "%s: %v retries of %v requests", name, n, requests[name])
				}
			},
		})
	})
}

// Guards against a set of budgets that grows with every new workspace name.
func TestBudgetsAreBounded(t *testing.T) {
	r := New(Options{MaxEntries: 100})
	for i := range 1000 {
		r.Started(fmt.Sprint("w", i), "t", 1)
	}
	assert.Equal(t, len(r.workspaces.entries), 100)
}

func BenchmarkRetry(b *testing.B) {
	r := New(Options{Instance: "a"})
	for b.Loop() {
		r.Started("w", "t", 1)
		_, _ = r.Retry(Attempt{Workspace: "w", Target: "t", Number: 1, State: NotSent, Deadline: 1 << 40}, 1)
	}
}
