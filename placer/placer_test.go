package placer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

func newFleet(prefill, decode int) []tracker.Candidate {
	var list []tracker.Candidate
	for i := range prefill + decode {
		role := tracker.Prefill
		if i >= prefill {
			role = tracker.Decode
		}
		list = append(list, tracker.Candidate{Target: tracker.Target{
			ID: fmt.Sprintf("e%02d", i), DataCentre: string(rune(97 + i%4)), Slots: 64, Role: role,
		}, RelativePrefillTime: 1})
	}
	return list
}

// costs returns the costs of engines that prefill 307 tokens in a millisecond.
func costs() placer.Costs {
	return placer.Costs{
		Profile: profiler.Profile{PerToken: 1.0 / tokensPerMilli, PerPair: 1.0 / pairsPerMilli, MeanPrefillWork: 10_000, SlotTime: 3200, PerOutput: 0.65},
		Engine:  resolver.Engine{KVTransferRate: 6700},
	}
}

func sessionPrompt(session int) placer.Prompt {
	return placer.Prompt{Input: 9190, Output: 80, Parts: []placer.Part{
		{ID: "manual", Tokens: 2520}, {ID: fmt.Sprintf("session-%d", session), Tokens: 3780}, {ID: "own", Tokens: 2890},
	}}
}

// Guards against instances that prefill the same shared parts on different engines.
func TestInstancesAgreeOnThePrefillTargetOfASession(t *testing.T) {
	engines := newFleet(6, 3)
	one, other := placer.New("a"), placer.New("c")
	used := map[string]int{}
	for session := range 300 {
		a, ok := one.PrefillTarget(engines, sessionPrompt(session), costs())
		assert.Assert(t, ok)
		b, _ := other.PrefillTarget(engines, sessionPrompt(session), costs())
		assert.Equal(t, a.Target.ID, b.Target.ID)
		used[a.Target.ID]++
	}
	assert.Equal(t, len(used), 6)
	for id, n := range used {
		assert.Check(t, n > 25 && n < 80, "%s has %d of 300 sessions", id, n)
	}
}

// Guards against a change of the fleet that moves all sessions at once.
func TestFewSessionsMoveWhenAnEngineLeaves(t *testing.T) {
	engines := newFleet(6, 3)
	p := placer.New("a")
	moved := 0
	for session := range 300 {
		before, _ := p.PrefillTarget(engines, sessionPrompt(session), costs())
		after, _ := p.PrefillTarget(engines[1:], sessionPrompt(session), costs())
		if before.Target.ID != after.Target.ID {
			moved++
			assert.Equal(t, before.Target.ID, engines[0].ID)
		}
	}
	assert.Check(t, moved < 90, "%d of 300 sessions moved", moved)
}

// Guards against a queue at a session's preferred engine while other engines are idle.
func TestABackloggedPreferredEngineIsNotChosen(t *testing.T) {
	engines := newFleet(6, 3)
	p := placer.New("a")
	preferred, _ := p.PrefillTarget(engines, sessionPrompt(1), costs())
	for i := range engines {
		if engines[i].ID == preferred.Target.ID {
			engines[i].LocalPrefillWork = 490_000
		}
	}
	next, _ := p.PrefillTarget(engines, sessionPrompt(1), costs())
	assert.Assert(t, next.Target.ID != preferred.Target.ID)
	assert.Equal(t, next.Target.Role, tracker.Prefill)
}

// Guards against prefill of long prompts on decode engines while the queues of the
// prefill engines are short.
func TestDecodeEnginesPrefillOnlyWhenPrefillTargetsAreFarBehind(t *testing.T) {
	for name, c := range map[string]struct {
		backlog int
		want    tracker.Role
	}{
		"idle":       {0, tracker.Prefill},
		"busy":       {98_000, tracker.Prefill},
		"far behind": {1_950_000, tracker.Decode},
	} {
		t.Run(name, func(t *testing.T) {
			engines := newFleet(4, 3)
			for i := range 4 {
				engines[i].LocalPrefillWork = c.backlog
			}
			choice, ok := placer.New("a").PrefillTarget(engines, sessionPrompt(1), costs())
			assert.Assert(t, ok)
			assert.Equal(t, choice.Target.Role, c.want)
		})
	}
}

// Guards against decode on a full, suspected or failing engine or on a prefill engine
// while others are free.
func TestDecodeTargetAvoids(t *testing.T) {
	for name, degrade := range map[string]func(*tracker.Candidate){
		"full":           func(c *tracker.Candidate) { c.RemoteRequests = 70 },
		"suspect":        func(c *tracker.Candidate) { c.Suspected = true },
		"prefill engine": func(c *tracker.Candidate) { c.Role = tracker.Prefill },
		"often failing":  func(c *tracker.Candidate) { c.FailureRate = 0.8 },
		"nearly so full": func(c *tracker.Candidate) { c.LocalRequests, c.RemoteRequests = 30, 33 },
	} {
		t.Run(name, func(t *testing.T) {
			engines := newFleet(0, 3)
			degrade(&engines[0])
			for range 50 {
				choice, ok := placer.New("a").DecodeTarget(engines, placer.Prompt{Input: 200, Output: 5000}, "", true, costs())
				assert.Assert(t, ok)
				assert.Assert(t, choice.Target.ID != engines[0].ID)
			}
		})
	}
}

// Guards against decodes that wait for KV cache memory on an engine with free slots
// while another one has room, and against the prefill of prompts for which no engine
// has room.
func TestDecodesGoWhereTheirKVCacheFits(t *testing.T) {
	known := costs()
	known.Engine.KVCacheTokens = 100_000
	engines := newFleet(1, 2)
	engines[1].TokensInFlight, engines[1].LocalRequests = 95_000, 5
	prompt := sessionPrompt(1)
	p := placer.New("a")
	for range 50 {
		decode, ok := p.DecodeTarget(engines, prompt, "a", true, known)
		assert.Assert(t, ok)
		assert.Equal(t, decode.Target.ID, engines[2].ID)
	}
	limits := placer.Limits{TargetLatency: 150, Remaining: 2000}
	assert.Equal(t, p.Admit(engines, prompt, known, true, limits).Verdict, placer.Served)
	engines[2].TokensInFlight = 99_000
	refused := p.Admit(engines, prompt, known, true, limits)
	assert.Equal(t, refused.Verdict, placer.TooLate)
	assert.Equal(t, refused.Refused.Target.Role, tracker.Decode)
}

// Guards against refusing all requests when all targets are suspected.
func TestASuspectIsUsedIfThereIsNoOther(t *testing.T) {
	engines := newFleet(0, 1)
	engines[0].Suspected = true
	choice, ok := placer.New("a").DecodeTarget(engines, placer.Prompt{}, "", false, costs())
	assert.Assert(t, ok && choice.Suspected)
	_, ok = placer.New("a").DecodeTarget(nil, placer.Prompt{}, "", false, costs())
	assert.Assert(t, !ok)
}

// Guards against routing as many requests to a slow, full or failing target as to others.
func TestPlainPrefersTheQuickAndIdle(t *testing.T) {
	targets := func() []tracker.Candidate {
		var list []tracker.Candidate
		for i := range 3 {
			list = append(list, tracker.Candidate{Target: tracker.Target{ID: fmt.Sprintf("t%d", i), DataCentre: "a", Slots: 6}, Latency: 60})
		}
		return list
	}
	for name, degrade := range map[string]func(*tracker.Candidate){
		"slow":    func(c *tracker.Candidate) { c.Latency = 240 },
		"full":    func(c *tracker.Candidate) { c.LocalRequests = 6 },
		"failing": func(c *tracker.Candidate) { c.FailureRate = 0.4 },
	} {
		t.Run(name, func(t *testing.T) {
			list := targets()
			degrade(&list[1])
			for range 50 {
				choice, _ := placer.New("a").PlainTarget(list)
				assert.Assert(t, choice.Target.ID != "t1")
			}
		})
	}
}

// Guards against long answers that can't be resumed elsewhere on reclaimable engines
// while on-demand ones have free slots.
func TestLongRunningRequestsPreferOnDemandEngines(t *testing.T) {
	for name, c := range map[string]struct {
		longRunning bool
		load        float64 // Load of the on-demand engine.
		onDemand    bool
	}{
		"long-running":                 {true, 5, true},
		"long-running, on-demand full": {true, 64, false},
		"short":                        {false, 5, false},
	} {
		t.Run(name, func(t *testing.T) {
			engines := newFleet(0, 2)
			engines[0].DataCentre, engines[1].DataCentre = "a", "a"
			engines[0].RemoteRequests, engines[1].RemoteRequests, engines[1].Reclaimable = c.load, 5, true
			choice, ok := placer.New("a").DecodeTarget(engines, placer.Prompt{Input: 200, Output: 5000}, "", c.longRunning, costs())
			assert.Assert(t, ok)
			assert.Equal(t, !choice.Target.Reclaimable, c.onDemand)
		})
	}
}

// Guards against long answers on a recently added engine that is about to be ordered to
// become a prefill engine: the role change waits until the answers have ended.
func TestRecentlyAddedEnginesGetNoLongAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		output        int
		full          int // Requests at the older engine.
		recentlyAdded bool
	}{"long": {5000, 5, false}, "short": {80, 64, true}, "long, the others full": {5000, 80, true}} {
		t.Run(name, func(t *testing.T) {
			engines := newFleet(0, 2)
			engines[0].RecentlyAdded = true
			engines[1].DataCentre = engines[0].DataCentre
			engines[1].LocalRequests = c.full
			choice, ok := placer.New("a").DecodeTarget(engines, placer.Prompt{Input: 200, Output: c.output}, "", false, costs())
			assert.Assert(t, ok)
			assert.Equal(t, choice.Target.ID == engines[0].ID, c.recentlyAdded)
		})
	}
}

// Guards against further prefills on an engine that loses KV caches.
func TestEnginesThatLoseKVCachesPrefillLast(t *testing.T) {
	engines := newFleet(3, 1)
	p := placer.New("a")
	preferred, ok := p.PrefillTarget(engines, sessionPrompt(1), costs())
	assert.Assert(t, ok)
	for i := range engines {
		engines[i].LosesKVCaches = engines[i].ID == preferred.Target.ID
	}
	other, ok := p.PrefillTarget(engines, sessionPrompt(1), costs())
	assert.Assert(t, ok)
	assert.Assert(t, other.Target.ID != preferred.Target.ID)
	assert.Equal(t, other.Target.Role, tracker.Prefill)
}
