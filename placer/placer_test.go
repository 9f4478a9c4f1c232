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

func fleet(prefill, decode int) []tracker.Candidate {
	var list []tracker.Candidate
	for i := range prefill + decode {
		role := tracker.Prefill
		if i >= prefill {
			role = tracker.Decode
		}
		list = append(list, tracker.Candidate{Target: tracker.Target{
			ID: fmt.Sprintf("e%02d", i), DataCentre: string(rune(97 + i%4)), Slots: 64, Role: role,
		}, Pace: 1})
	}
	return list
}

// costs are those of engines that read 307 tokens in a millisecond.
func costs() placer.Costs {
	return placer.Costs{
		Profile: profiler.Profile{PerToken: 1.0 / tokensPerMilli, PerPair: 1.0 / pairsPerMilli, Prompt: 10_000, Hold: 3200, PerOutput: 0.65},
		Engine:  resolver.Engine{MoveRate: 6700},
	}
}

func dossier(session int) placer.Prompt {
	return placer.Prompt{Input: 9190, Output: 80, Parts: []placer.Part{
		{ID: "manual", Tokens: 2520}, {ID: fmt.Sprintf("session-%d", session), Tokens: 3780}, {ID: "own", Tokens: 2890},
	}}
}

// Guards against instances that read the same shared parts on different engines.
func TestInstancesAgreeOnTheReaderOfASession(t *testing.T) {
	engines := fleet(6, 3)
	one, other := placer.New("a"), placer.New("c")
	used := map[string]int{}
	for session := range 300 {
		a, ok := one.Reader(engines, dossier(session), costs())
		assert.Assert(t, ok)
		b, _ := other.Reader(engines, dossier(session), costs())
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
	engines := fleet(6, 3)
	p := placer.New("a")
	moved := 0
	for session := range 300 {
		before, _ := p.Reader(engines, dossier(session), costs())
		after, _ := p.Reader(engines[1:], dossier(session), costs())
		if before.Target.ID != after.Target.ID {
			moved++
			assert.Equal(t, before.Target.ID, engines[0].ID)
		}
	}
	assert.Check(t, moved < 90, "%d of 300 sessions moved", moved)
}

// Guards against a queue on the home of a session while other engines are idle.
func TestABackloggedHomeIsLeft(t *testing.T) {
	engines := fleet(6, 3)
	p := placer.New("a")
	home, _ := p.Reader(engines, dossier(1), costs())
	for i := range engines {
		if engines[i].ID == home.Target.ID {
			engines[i].OwnEffort = 490_000
		}
	}
	next, _ := p.Reader(engines, dossier(1), costs())
	assert.Assert(t, next.Target.ID != home.Target.ID)
	assert.Equal(t, next.Target.Role, tracker.Prefill)
}

// Guards against long prompts on engines that generate while others only wait a little.
func TestGeneratingEnginesReadOnlyWhenReadersAreFarBehind(t *testing.T) {
	for name, c := range map[string]struct {
		backlog int
		want    tracker.Role
	}{
		"calm":       {0, tracker.Prefill},
		"busy":       {98_000, tracker.Prefill},
		"far behind": {1_950_000, tracker.Decode},
	} {
		t.Run(name, func(t *testing.T) {
			engines := fleet(4, 3)
			for i := range 4 {
				engines[i].OwnEffort = c.backlog
			}
			choice, ok := placer.New("a").Reader(engines, dossier(1), costs())
			assert.Assert(t, ok)
			assert.Equal(t, choice.Target.Role, c.want)
		})
	}
}

// Guards against generation on a full engine, on a reader, or on a suspect while others are free.
func TestRunnerAvoids(t *testing.T) {
	for name, spoil := range map[string]func(*tracker.Candidate){
		"full":           func(c *tracker.Candidate) { c.Others = 70 },
		"suspect":        func(c *tracker.Candidate) { c.Suspect = true },
		"a reader":       func(c *tracker.Candidate) { c.Role = tracker.Prefill },
		"often failing":  func(c *tracker.Candidate) { c.FailureRate = 0.8 },
		"nearly so full": func(c *tracker.Candidate) { c.Own, c.Others = 30, 33 },
	} {
		t.Run(name, func(t *testing.T) {
			engines := fleet(0, 3)
			spoil(&engines[0])
			for range 50 {
				choice, ok := placer.New("a").Runner(engines, placer.Prompt{Input: 200, Output: 5000}, "", true, costs())
				assert.Assert(t, ok)
				assert.Assert(t, choice.Target.ID != engines[0].ID)
			}
		})
	}
}

// Guards against runs that wait for memory on an engine with places free, while
// another one has room, and against prompts that are read although no engine has any.
func TestRunsGoWhereTheirMemoryFits(t *testing.T) {
	known := costs()
	known.Engine.Memory = 100_000
	engines := fleet(1, 2)
	engines[1].Memory, engines[1].Own = 95_000, 5
	prompt := dossier(1)
	p := placer.New("a")
	for range 50 {
		runner, ok := p.Runner(engines, prompt, "a", true, known)
		assert.Assert(t, ok)
		assert.Equal(t, runner.Target.ID, engines[2].ID)
	}
	limits := placer.Limits{Target: 150, Left: 2000}
	assert.Equal(t, p.Admit(engines, prompt, known, true, limits).Verdict, placer.Served)
	engines[2].Memory = 99_000
	refused := p.Admit(engines, prompt, known, true, limits)
	assert.Equal(t, refused.Verdict, placer.TooLate)
	assert.Equal(t, refused.Refused.Target.Role, tracker.Decode)
}

// Guards against refusing everything when every target is under suspicion.
func TestASuspectIsBetterThanNothing(t *testing.T) {
	engines := fleet(0, 1)
	engines[0].Suspect = true
	choice, ok := placer.New("a").Runner(engines, placer.Prompt{}, "", false, costs())
	assert.Assert(t, ok && choice.Suspect)
	_, ok = placer.New("a").Runner(nil, placer.Prompt{}, "", false, costs())
	assert.Assert(t, !ok)
}

// Guards against a slow or crowded target that gets as much as the others.
func TestPlainPrefersTheQuickAndIdle(t *testing.T) {
	targets := func() []tracker.Candidate {
		var list []tracker.Candidate
		for i := range 3 {
			list = append(list, tracker.Candidate{Target: tracker.Target{ID: fmt.Sprintf("t%d", i), DataCentre: "a", Slots: 6}, Latency: 60})
		}
		return list
	}
	for name, spoil := range map[string]func(*tracker.Candidate){
		"slow":    func(c *tracker.Candidate) { c.Latency = 240 },
		"crowded": func(c *tracker.Candidate) { c.Own = 6 },
		"failing": func(c *tracker.Candidate) { c.FailureRate = 0.4 },
	} {
		t.Run(name, func(t *testing.T) {
			list := targets()
			spoil(&list[1])
			for range 50 {
				choice, _ := placer.New("a").Plain(list)
				assert.Assert(t, choice.Target.ID != "t1")
			}
		})
	}
}

// Guards against long answers that cannot go on elsewhere on engines that are taken
// away at short notice, while steady ones have places.
func TestLastingRequestsPreferSteadyEngines(t *testing.T) {
	for name, c := range map[string]struct {
		lasting bool
		others  float64 // Load of the steady engine.
		steady  bool
	}{
		"lasting, calm":            {true, 5, true},
		"lasting, steady one full": {true, 64, false},
		"short":                    {false, 5, false},
	} {
		t.Run(name, func(t *testing.T) {
			engines := fleet(0, 2)
			engines[0].DataCentre, engines[1].DataCentre = "a", "a"
			engines[0].Others, engines[1].Others, engines[1].Reclaimable = c.others, 5, true
			choice, ok := placer.New("a").Runner(engines, placer.Prompt{Input: 200, Output: 5000}, "", c.lasting, costs())
			assert.Assert(t, ok)
			assert.Equal(t, !choice.Target.Reclaimable, c.steady)
		})
	}
}

// Guards against long answers on an engine that came a moment ago and is about to be
// ordered to read prompts: the change waits until they have ended.
func TestYoungEnginesGetNoLongAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		output int
		full   int // Requests at the settled engine.
		young  bool
	}{"long": {5000, 5, false}, "short": {80, 64, true}, "long, the others full": {5000, 80, true}} {
		t.Run(name, func(t *testing.T) {
			engines := fleet(0, 2)
			engines[0].RecentlyAdded = true
			engines[1].DataCentre = engines[0].DataCentre
			engines[1].Own = c.full
			choice, ok := placer.New("a").Runner(engines, placer.Prompt{Input: 200, Output: c.output}, "", false, costs())
			assert.Assert(t, ok)
			assert.Equal(t, choice.Target.ID == engines[0].ID, c.young)
		})
	}
}

// Guards against prompts that go on being read where they are lost.
func TestForgetfulEnginesReadLast(t *testing.T) {
	engines := fleet(3, 1)
	p := placer.New("a")
	home, ok := p.Reader(engines, dossier(1), costs())
	assert.Assert(t, ok)
	for i := range engines {
		engines[i].LosesKVCaches = engines[i].ID == home.Target.ID
	}
	other, ok := p.Reader(engines, dossier(1), costs())
	assert.Assert(t, ok)
	assert.Assert(t, other.Target.ID != home.Target.ID)
	assert.Equal(t, other.Target.Role, tracker.Prefill)
}
