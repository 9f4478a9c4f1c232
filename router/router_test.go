package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const start = timekeeper.Millis(1_700_000_000_000)

// catalogue declares n engines for one model; change adjusts each.
func catalogue(n int, change func(i int, t *declarer.Target)) *declarer.Catalogue {
	d := declarer.Declaration{
		Models: []declarer.Model{{Name: "m", KVBytesPerToken: 131072}},
		Routes: []declarer.Route{{Name: "chat", Kind: declarer.RouteKindModel, Model: "m"}},
	}
	for i := range n {
		t := declarer.Target{Name: fmt.Sprintf("engine-%03d", i), Kind: declarer.TargetKindEngine, Models: []string{"m"}, DataCentre: "a",
			Role: declarer.TargetRoleMixed, Purchase: declarer.TargetPurchaseSteady, PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 1500, Concurrency: 16}
		if change != nil {
			change(i, &t)
		}
		d.Targets = append(d.Targets, t)
	}
	return declarer.NewCatalogue(1, d)
}

func newRouter(instance string, c *declarer.Catalogue) *Router {
	r := New(Options{Instance: instance, DataCentre: "a", Seed: 7})
	r.ApplyConfiguration(c, start)
	return r
}

func request(now timekeeper.Millis) Request {
	return Request{Workspace: "w", Route: "chat", PromptTokens: 1000, OutputTokens: 100, Deadline: now + 30*timekeeper.Second}
}

// Guards against violations in any order of events: a leaving target is chosen
// (P10: it is excluded at once locally, after one delta elsewhere), a reclaimable
// one is chosen for a request that isn't preemptible, more than a third of the pool
// is ejected, a target is ejected after too few failures, or a delta is too large.
func TestChoicesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 9
		c := catalogue(n, func(i int, d *declarer.Target) {
			if i%3 == 0 {
				d.Purchase = declarer.TargetPurchaseReclaimable
			}
		})
		a, b := newRouter("a", c), newRouter("b", c)
		now, excluded, failures := start, map[string]bool{}, map[string]int{}
		var unfinished []Choice
		drawTarget := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("engine-%03d", rapid.IntRange(0, n-1).Draw(t, "target")) })
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				q := request(now)
				q.Idempotent, q.Reclaimable = rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "reclaimable")
				q.Deadline = now + timekeeper.Millis(rapid.IntRange(1000, 60000).Draw(t, "deadline"))
				q.SuspectFingerprint = rapid.SampledFrom([]string{"", "", "f"}).Draw(t, "solo")
				ejected := a.Ejected(now)
				choice, err := a.Choose(q, now)
				if err != nil {
					return
				}
				unfinished = append(unfinished, choice)
				assert.Assert(t, !excluded[choice.Target] && !slices.Contains(ejected, choice.Target))
				d, _ := c.Target(choice.Target)
				preemptible := q.Idempotent && q.Reclaimable && q.SuspectFingerprint == "" && q.Deadline-now >= 5*timekeeper.Second
				assert.Assert(t, preemptible || d.Purchase == declarer.TargetPurchaseSteady)
			},
			"finish": func(t *rapid.T) {
				for i, choice := range unfinished {
					result := rapid.SampledFrom([]Result{Answered, Failed, Cancelled}).Draw(t, "result")
					if result == Failed {
						failures[choice.Target]++
					}
					if a.Finish(choice.ID, Outcome{Result: result}, now) == Ejected {
						assert.Assert(t, failures[choice.Target] >= minFailures)
					}
					unfinished[i] = Choice{}
				}
				unfinished = nil
				assert.Assert(t, len(a.Ejected(now))*3 <= n)
			},
			"leave":      func(t *rapid.T) { m := drawTarget.Draw(t, "leaving"); a.Drain(m, now); excluded[m] = true },
			"leave-peer": func(t *rapid.T) { m := drawTarget.Draw(t, "leaving"); b.Drain(m, now) },
			"gossip": func(t *rapid.T) {
				d := b.Delta(now)
				assert.NilError(t, d.Check())
				assert.Assert(t, encodedBytes(d) <= b.options.MaxDeltaBytes)
				a.ObserveDelta(d, now)
				for _, v := range d.Notices {
					excluded[v.Target] = true
				}
			},
			"report": func(t *rapid.T) {
				m := drawTarget.Draw(t, "reporting")
				leaving := rapid.Bool().Draw(t, "leaves")
				a.ObserveReport(Report{Target: m, At: now, Running: rapid.IntRange(0, 20).Draw(t, "running"), Leaving: leaving}, now)
				excluded[m] = excluded[m] || leaving
			},
			"wait": func(t *rapid.T) { now += timekeeper.Millis(rapid.IntRange(1, 20000).Draw(t, "millis")) },
		})
	})
}

// Guards against all instances sending to the one target that is idle in their reports.
func TestNoThunderingHerdOnOneIdleTarget(t *testing.T) {
	c, hits := catalogue(10, nil), 0
	const instances, each = 14, 5
	for i := range instances {
		r := newRouter(fmt.Sprint("i", i), c)
		for j := range 10 {
			p := Report{Target: fmt.Sprintf("engine-%03d", j), At: start, Running: 12, PrefillTokens: 8000, OutputTokens: 3000}
			if j == 3 {
				p.Running, p.PrefillTokens, p.OutputTokens = 0, 0, 0
			}
			r.ObserveReport(p, start)
		}
		for range each {
			choice, err := r.Choose(request(start+100), start+100)
			assert.NilError(t, err)
			if choice.Target == "engine-003" {
				hits++
			}
		}
	}
	// Two random candidates of ten include the idle one in 19% of the draws. 30% also
	// allows for choices due to its lower load.
	assert.Assert(t, hits <= instances*each*30/100, "%d of %d choices", hits, instances*each)
}

// Guards against prefix hints that are shared between workspaces, exceed their
// limit, survive an eviction or reappear with a delayed event.
func TestHints(t *testing.T) {
	prompt := make([]byte, 5000)
	mine, theirs := Prefixes("w", "m", prompt), Prefixes("v", "m", prompt)
	assert.Assert(t, len(mine) == len(theirs) && mine[0] != theirs[0])
	r := newRouter("a", catalogue(9, nil))
	q := request(start)
	q.Prefixes, q.PromptBytes = mine, len(prompt)
	last := mine[len(mine)-1].Digest
	r.ObserveCache(CacheEvent{Target: "engine-005", At: start - 50, Stored: []uint64{last}}, start)
	choice, err := r.Choose(q, start)
	assert.NilError(t, err)
	assert.Equal(t, choice.Target, "engine-005")
	assert.Assert(t, choice.CachedTokens > 600)
	r.ObserveCache(CacheEvent{Target: "engine-005", At: start - 20, Evicted: []uint64{last}}, start)
	r.ObserveCache(CacheEvent{Target: "engine-005", At: start - 40, Stored: []uint64{last}}, start)
	assert.Assert(t, !r.hints.holds(last, "engine-005", start))
	for i := range uint64(50000) {
		r.hints.put(i, "engine-001", start, true)
	}
	assert.Equal(t, len(r.hints.entries), r.options.MaxHints)
}

// Guards against a split that costs more than it saves, and against an estimate that
// ignores the measured transfer times.
func TestSplitOnlyWhenTheTransferIsCheaper(t *testing.T) {
	c := catalogue(6, func(i int, d *declarer.Target) {
		d.Role = []declarer.TargetRole{declarer.TargetRoleMixed, declarer.TargetRolePrefill, declarer.TargetRoleDecode}[i%3]
	})
	r := newRouter("a", c)
	for _, busy := range []string{"engine-000", "engine-003"} {
		r.ObserveReport(Report{Target: busy, At: start, Running: 8, PrefillTokens: 8000, OutputTokens: 800}, start)
	}
	for range 40 {
		choice, err := r.Choose(request(start+10), start+10)
		assert.NilError(t, err)
		if choice.Prefill == "" {
			assert.Assert(t, r.Calibration().Factor > 10, "factor %.1f", r.Calibration().Factor)
			return
		}
		r.Finish(choice.ID, Outcome{Transfer: 60 * choice.Transfer}, start+10)
	}
	t.Fatalf("still splits although transfers took 60 times the estimate: %+v", r.Calibration())
}

// Guards against requests to another data centre while the local one has free slots,
// and against a full weight for a new target.
func TestLocalDataCentreFirstAndSlowWarmUp(t *testing.T) {
	far := func(i int, d *declarer.Target) {
		if i >= 3 {
			d.DataCentre = "b"
		}
	}
	r := newRouter("a", catalogue(6, far))
	for range 30 {
		choice, err := r.Choose(request(start), start)
		assert.NilError(t, err)
		d, _ := catalogue(6, far).Target(choice.Target)
		assert.Equal(t, d.DataCentre, "a")
	}
	r = newRouter("a", catalogue(5, nil))
	r.ApplyConfiguration(catalogue(6, nil), start)
	cold := r.Capacity("chat", false, start)
	assert.Assert(t, cold.Targets == 6 && cold.Slots < 82, "%+v", cold)
	assert.Equal(t, r.Capacity("chat", false, start+30*timekeeper.Second).Slots, 96.0)
}

// Guards against notices that are delayed or lost because not all fit into one delta
// when many targets leave at once (P10), and against deltas above their size limit.
func TestManyTargetsLeaveAtOnce(t *testing.T) {
	tail := strings.Repeat("x", maxNameBytes-len("engine-000"))
	c := catalogue(143, func(_ int, d *declarer.Target) { d.Name += tail })
	for _, size := range []int{minDeltaBytes, 1024} {
		a, b := newRouter(strings.Repeat("a", maxNameBytes), c), newRouter("b", c)
		for range 50 {
			_, _ = a.Choose(request(start), start)
		}
		for i := range 143 {
			a.Drain(fmt.Sprintf("engine-%03d", i)+tail, start)
		}
		rounds := timekeeper.Millis(0)
		for ; a.Urgent() && rounds < 200; rounds++ {
			d := a.DeltaWithin(start+rounds, size)
			assert.NilError(t, d.Check())
			assert.Assert(t, encodedBytes(d) <= size)
			b.ObserveDelta(d, start+rounds)
		}
		t.Logf("%d bytes: %d deltas", size, rounds)
		_, err := b.Choose(request(start), start)
		assert.ErrorIs(t, err, ErrNoTarget)
	}
}
