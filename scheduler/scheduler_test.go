package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// newReady returns a scheduler with the capacity of n simulated engines.
func newReady(n int, options ...Option) *Scheduler {
	s := New(Origin{Instance: "a", Pool: "pool"}, options...)
	s.SetCapacity(Capacity{Targets: n, Prefill: float64(n) * prefillSpeed, Decode: float64(n) * decodeSpeed, Slots: n * batch})
	return s
}

// Guards against a refused, cancelled or withdrawn request that still runs
// (P4, P8), a request with no outcome or two, a start after the deadline, a queue
// above its limit, and a flood that evicts requests of a workspace within its share
// of the queue.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const queue = 12
		s, now := newReady(1, WithQueue(queue)), timekeeper.Millis(1_000_000)
		requests, outcome, withdrawn := map[string]Request{}, map[string]string{}, map[string]bool{}
		waiting := func(workspace string) (n int) {
			for id, r := range requests {
				if outcome[id] == "" && (workspace == "" || r.Workspace == workspace) {
					n++
				}
			}
			return n
		}
		settle := func(id, what string) {
			assert.Equal(t, outcome[id], "", "request %s", id)
			outcome[id] = what
		}
		refuse := func(list []Refusal) {
			for _, r := range list {
				settle(r.ID, string(r.Reason))
				assert.Assert(t, r.Reason == KeyWithdrawn || r.RetryAfter >= minRetryAfter)
			}
		}
		var running []string
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				for range rapid.IntRange(1, 9).Draw(t, "burst") {
					w := rapid.SampledFrom([]string{"flood", "flood", "flood", "small", "other"}).Draw(t, "workspace")
					r := Request{ID: fmt.Sprint(len(requests)), Workspace: w, Weight: 1, NotStreamed: rapid.Bool().Draw(t, "whole"), Key: rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), Arrived: now,
						Cost:  estimator.Cost{Prefill: rapid.Float64Range(1, 9000).Draw(t, "prefill"), Output: rapid.Float64Range(0, 500).Draw(t, "output")},
						Class: rapid.SampledFrom([]declarer.Class{chatClass, dossierClass}).Draw(t, "class")}
					if withdrawn[r.Key] {
						continue
					}
					requests[r.ID] = r
					refused := s.Submit(now, r)
					refuse(refused)
					for _, f := range refused {
						if f.Reason == QueueFull {
							lost := requests[f.ID].Workspace
							assert.Assert(t, waiting(lost)+1 >= queue/3, "%s lost a request with only %d waiting", lost, waiting(lost))
						}
					}
				}
			},
			"next": func(t *rapid.T) {
				now += timekeeper.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
				start, refused := s.Next(now)
				refuse(refused)
				for _, r := range start {
					settle(r.ID, "started")
					assert.Assert(t, !withdrawn[r.Key])
					assert.Assert(t, now < r.Arrived+timekeeper.Millis(r.Class.DeadlineMilliseconds))
					running = append(running, r.ID)
				}
				due, ok := s.NextDue()
				assert.Assert(t, !ok || due > now)
			},
			"finish": func(t *rapid.T) {
				if len(running) > 0 {
					s.FirstToken(now, running[0])
					s.UpdateCost(running[0], estimator.Cost{Prefill: 10, Output: 700})
					s.Finish(now+50, running[0], estimator.Cost{Prefill: 10, Output: rapid.Float64Range(0, 900).Draw(t, "used")})
					running = running[1:]
				}
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, len(requests)).Draw(t, "id"))
				if s.Cancel(id) {
					settle(id, "cancelled")
				}
			},
			"withdraw": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					refuse(s.WithdrawKey("k2"))
					withdrawn["k2"] = true
				}
			},
			"": func(t *rapid.T) {
				state := s.State()
				assert.Assert(t, state.Waiting <= queue)
				assert.Equal(t, state.Waiting, waiting(""))
				assert.Equal(t, state.Running, len(running))
				assert.Equal(t, len(s.items), state.Waiting+state.Running)
			},
		})
	})
}

// Guards against starvation of a workspace: while two workspaces stay backlogged,
// their service per weight differs by at most one request of each, whatever the sizes.
func TestServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, next := newReady(1, WithQueue(1<<20)), timekeeper.Millis(1_000_000), 0
		longDeadline := declarer.Class{DeadlineMilliseconds: 86_400_000}
		weight := map[string]float64{"a": rapid.Float64Range(0.1, 100).Draw(t, "a"), "b": rapid.Float64Range(0.1, 100).Draw(t, "b")}
		served, largest := map[string]float64{}, map[string]float64{}
		add := func(w string) {
			next++
			c := estimator.Cost{Prefill: rapid.Float64Range(1, 1000).Draw(t, "prefill"), Output: rapid.Float64Range(1, 2000).Draw(t, "output")}
			largest[w] = max(largest[w], s.pool.seconds(c))
			assert.Equal(t, len(s.Submit(now, Request{ID: fmt.Sprint(next), Workspace: w, Weight: weight[w], Class: longDeadline, Cost: c, Arrived: now})), 0)
		}
		for range 20 {
			add("a")
			add("b")
		}
		for range 100 {
			now += 100
			start, _ := s.Next(now)
			for _, r := range start {
				served[r.Workspace] += s.pool.seconds(r.Cost)
				add(r.Workspace)
				s.FirstToken(now, r.ID)
				s.Finish(now, r.ID, r.Cost)
			}
			difference := math.Abs(served["a"]/weight["a"] - served["b"]/weight["b"])
			// Next may start several requests before more are added, but never all of
			// a workspace's requests.
			assert.Assert(t, difference <= largest["a"]/weight["a"]+largest["b"]/weight["b"]+1e-9, "virtual times differ by %v", difference)
		}
	})
}

// Guards against background requests that delay interactive ones while they have
// slack, and against interactive requests that starve background ones until they
// miss their deadline.
func TestBackgroundRequestsArePromoted(t *testing.T) {
	s, end := newReady(1), 60*timekeeper.Second
	jobs := arrivals(7, end, source{workspace: "w1", class: chatClass, perSecond: constantRate(20), prompt: 300, output: 200, instances: []int{0}})
	j := &job{size: estimator.Cost{Prefill: 6000, Output: 50}, prefill: 6000, output: 50}
	// When the dossier arrives, the chat load is already three times the engine's capacity.
	j.Request = Request{ID: "dossier", Workspace: "w2", Weight: 1, Class: dossierClass, Arrived: 10 * timekeeper.Second}
	jobs = append(jobs, j)
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.Arrived, b.Arrived) })
	simulate(1, jobs, end, &scheduled{estimator: estimator.New(), jobs: map[string]*job{}, schedulers: []*Scheduler{s}})
	assert.Assert(t, j.inTime(), "the dossier ended at %v", j.doneAt)
	assert.Assert(t, j.firstAt-j.Arrived > 10*timekeeper.Second, "the dossier did not wait for chat requests: first token at %v", j.firstAt)
}

// Guards against instances whose shares add up to much more or less than the
// whole pool, also if they have more workspaces than a record can list.
func TestPartsOfThePoolAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "instances")]
		var all []*Scheduler
		for i, name := range names {
			s := New(Origin{Instance: name, Pool: "pool"})
			s.SetCapacity(Capacity{Targets: 2, Prefill: 1000, Decode: 1000, Slots: 32})
			s.SetInstances(names)
			for n := range rapid.IntRange(0, 60).Draw(t, "requests") {
				w := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "workspace"))
				s.Submit(1, Request{ID: fmt.Sprint(i, n), Workspace: w, Weight: float64(1 + len(w)), Class: declarer.Class{DeadlineMilliseconds: 86_400_000}, Arrived: 1})
			}
			all = append(all, s)
		}
		for _, s := range all {
			record := s.PublishService()
			for _, other := range all {
				assert.NilError(t, other.MergeService(record))
			}
		}
		sum := 0.0
		for _, s := range all {
			s.PublishService()
			assert.Assert(t, s.pool.share >= 1/(minShareDivisor*float64(len(all))))
			sum += s.pool.share
		}
		assert.Assert(t, sum >= 1-1e-9 && sum <= 1+1.0/minShareDivisor+1e-9, "shares add up to %v", sum)
	})
}

// Guards against records out of bounds that are accepted, and against remote
// service that is not counted.
func TestServiceAtOtherInstancesCounts(t *testing.T) {
	s := newReady(2)
	s.SetInstances([]string{"a", "b"})
	assert.Equal(t, s.pool.share, 0.5)
	item := WorkspaceService{Workspace: "w", Weight: 1, PrefillTokens: 1, OutputTokens: 1, Requests: 1}
	for name, r := range map[string]Service{
		"no instance": {}, "counter": {Instance: "b", Items: []WorkspaceService{{Workspace: "w", Weight: 1, PrefillTokens: -1}}},
		"weight": {Instance: "b", Items: []WorkspaceService{{Workspace: "w"}}}, "rest": {Instance: "b", RestWeight: math.NaN()},
		"items": {Instance: "b", Items: make([]WorkspaceService, MaxItems+1)},
	} {
		assert.ErrorIs(t, s.MergeService(r), ErrInvalidService, name)
	}
	longDeadline := declarer.Class{DeadlineMilliseconds: 3_600_000}
	started := map[string]int{}
	for i := range 400 {
		now := timekeeper.Millis(1+i) * timekeeper.Second
		for _, w := range []string{"w", "x"} {
			s.Submit(now, Request{ID: fmt.Sprint(w, i), Workspace: w, Weight: 1, Class: longDeadline, Cost: estimator.Cost{Prefill: 9000}, Arrived: now})
		}
		if i == 0 {
			continue
		}
		start, _ := s.Next(now)
		for _, r := range start {
			started[r.Workspace]++
			s.FirstToken(now, r.ID)
			s.Finish(now, r.ID, r.Cost)
		}
		item.PrefillTokens += 4500
		assert.NilError(t, s.MergeService(Service{Instance: "b", Pool: "pool", Version: i, Items: []WorkspaceService{item}}))
	}
	// One request starts every second. w also gets half a request a second at the
	// peer, so a quarter of the local starts is due to it.
	assert.Assert(t, started["w"] > 85 && started["w"] < 115, "%v", started)
}

// Guards against overestimated prefill times after short prompts, whose time to
// the first token is nearly all fixed cost: a long prompt would seem to need
// seconds of prefill and block the pool.
func TestShortPromptsDoNotSlowDossiers(t *testing.T) {
	s := New(Origin{Instance: "a", Pool: "p"})
	s.SetCapacity(Capacity{Targets: 1, Prefill: 20000, Decode: 2400, Slots: 16})
	now := timekeeper.Millis(1)
	for n := range 200 {
		id := fmt.Sprint(n)
		s.Submit(now, Request{ID: id, Workspace: "w", Weight: 1, Class: declarer.Class{DeadlineMilliseconds: 20000}, Cost: estimator.Cost{Prefill: 8, Output: 24}, Arrived: now})
		started, _ := s.Next(now)
		assert.Equal(t, len(started), 1)
		now += 12
		s.FirstToken(now, id)
		now += 160
		s.Finish(now, id, estimator.Cost{Prefill: 8, Output: 24})
	}
	first, _ := s.pool.expectedTimes(estimator.Cost{Prefill: 3000})
	assert.Assert(t, first < 600*timekeeper.Millisecond, "3,000 tokens at 20,000 tokens/s are expected to take %s", first)
}
