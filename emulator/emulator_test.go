package emulator

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// site returns a fleet whose arrival rates give the prefill engines the given load,
// with latency targets and decode engines derived from the engine's performance.
func site(g Engine, load float64) Site {
	const prefillEngines = 5
	long := Kind{Name: "long", UnsharedTokens: 2900, Spread: 0.9, SharedTokens: 3800, Sessions: 120, OutputTokens: 4, LateCredit: 0.4}
	short := Kind{Name: "short", UnsharedTokens: 900, Spread: 0.8, SharedTokens: 300, Sessions: 60, OutputTokens: 60, LateCredit: 0.4}
	work := (g.prefillTime(int(long.UnsharedTokens), int(long.UnsharedTokens)+long.SharedTokens)*1.3 + g.prefillTime(int(short.UnsharedTokens), int(short.UnsharedTokens)+short.SharedTokens)*1.2) / 1000
	for _, k := range []*Kind{&long, &short} {
		k.PerSecond = load * float64(prefillEngines) / work
		k.TargetLatency = long.targetLatency(g)
		k.Deadline = 12 * k.TargetLatency
	}
	// Enough decode engines for twice the mean load.
	busy := short.PerSecond * short.OutputTokens * g.Step / 1000
	kvCache := short.PerSecond * (short.OutputTokens*g.Step/1000 + 0.01) * 1200 / float64(g.KVCacheTokens)
	decodeEngines := int(math.Ceil(2*math.Max(busy/float64(g.Slots), kvCache))) + 1
	return Site{Name: "site", Engine: g, PrefillEngines: prefillEngines, DecodeEngines: decodeEngines, Instances: 5, PropagationDelay: 60, Kinds: []Kind{long, short}}
}

// targetLatency returns a target latency of several prefill times.
func (k Kind) targetLatency(g Engine) (t timekeeper.Millis) {
	return timekeeper.Millis(math.Ceil(2*g.Base + 6*g.prefillTime(int(k.UnsharedTokens), int(k.UnsharedTokens)+k.SharedTokens) + 3*g.Step + 60))
}

func flips(seconds float64) Pattern {
	return Pattern{Name: "flips", Seconds: seconds, FlipInterval: 2800, HighFactor: 1.7, LowFactor: 0.6}
}

func engineOf(rate float64, slots int) Engine {
	return Engine{Base: 20, PrefillRate: rate, PairRate: 40e3 * rate, Step: 2, Slots: slots, KVCacheTokens: 600_000, MoveRate: 2000}
}

// Guards against constants of one engine in routing: on any engine the learned profile
// earns nearly as much credit as the true one.
func TestLearnedProfilesEarnNearlyWhatTrueOnesDo(t *testing.T) {
	for _, rate := range []float64{56, 110, 307, 900} {
		for _, slots := range []int{6, 24, 64, 128} {
			t.Run(fmt.Sprintf("%v tokens a millisecond, %d places", rate, slots), func(t *testing.T) {
				s := site(engineOf(rate, slots), 0.55)
				learned, oracle := Run(s, flips(12), Learned, 3), Run(s, flips(12), Oracle, 3)
				t.Logf("learned %.3f (worst second %.3f), oracle %.3f", learned.Overall(), learned.Worst(1), oracle.Overall())
				assert.Check(t, learned.Credit(4, 12) >= 0.9*oracle.Credit(4, 12), "after 4 s: learned %.3f, oracle %.3f", learned.Credit(4, 12), oracle.Credit(4, 12))
				assert.Check(t, learned.Credit(0, 4) >= 0.75*oracle.Credit(0, 4), "before: learned %.3f, oracle %.3f", learned.Credit(0, 4), oracle.Credit(0, 4))
			})
		}
	}
}

// Guards against the same fault on randomly drawn engines.
func TestAnUnknownEngineIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Engine{
			Base:          rapid.Float64Range(2, 120).Draw(t, "base"),
			PrefillRate:   math.Exp(rapid.Float64Range(math.Log(20), math.Log(1500)).Draw(t, "logarithm of the rate")),
			Step:          math.Exp(rapid.Float64Range(math.Log(0.3), math.Log(12)).Draw(t, "logarithm of the step")),
			Slots:         rapid.IntRange(4, 256).Draw(t, "places"),
			KVCacheTokens: 600_000, MoveRate: 2000,
		}
		g.PairRate = 40e3 * g.PrefillRate
		s := site(g, 0.5)
		seed := rapid.Uint64().Draw(t, "seed")
		learned, oracle := Run(s, flips(9), Learned, seed), Run(s, flips(9), Oracle, seed)
		assert.Assert(t, learned.Credit(4, 9) >= 0.9*oracle.Credit(4, 9), "after 4 s: learned %.3f, oracle %.3f", learned.Credit(4, 9), oracle.Credit(4, 9))
		assert.Assert(t, learned.Credit(0, 4) >= 0.75*oracle.Credit(0, 4), "before: learned %.3f, oracle %.3f", learned.Credit(0, 4), oracle.Credit(0, 4))
	})
}

// Guards against routing that does worse than the baselines, also in a pool in which
// one engine in three is slower, and while some engines are slow for some seconds.
func TestPlacementBeatsBaselines(t *testing.T) {
	mixed := engineOf(110, 64)
	mixed.RelativeTimes = []float64{1, 1, 1.3}
	slow := flips(16)
	slow.Slowdown = &Slowdown{From: 4, To: 10, Share: 0.2, Factor: 5}
	for name, c := range map[string]struct {
		engine  Engine
		pattern Pattern
		load    float64
	}{
		"flips":                                 {engineOf(110, 64), flips(14), 0.65},
		"one in three slower":                   {mixed, flips(14), 0.6},
		"some five times slower, and recovered": {engineOf(307, 64), slow, 0.5},
		"overload":                              {engineOf(307, 64), flips(14), 1.1},
	} {
		t.Run(name, func(t *testing.T) {
			s := site(c.engine, c.load)
			learned := Run(s, c.pattern, Learned, 5)
			for _, baseline := range []Policy{LeastLoad, RoundRobin, Fixed} {
				b := Run(s, c.pattern, baseline, 5)
				t.Logf("%s %.3f, worst second %.3f, shared tokens recomputed %d", baseline, b.Overall(), b.Worst(1), b.RecomputedTokens)
				assert.Check(t, learned.Overall() >= b.Overall()-0.01, "learned %.3f, %s %.3f", learned.Overall(), baseline, b.Overall())
				if baseline != Fixed {
					assert.Check(t, 2*learned.RecomputedTokens <= b.RecomputedTokens, "shared tokens recomputed: learned %d, %s %d", learned.RecomputedTokens, baseline, b.RecomputedTokens)
				}
			}
			if c.pattern.Slowdown != nil {
				assert.Check(t, learned.Credit(12, 16) >= 0.95*learned.Credit(0, 4), "after the recovery %.3f, before %.3f", learned.Credit(12, 16), learned.Credit(0, 4))
			}
			largest, all := learned.LargestTenth(0)
			t.Logf("learned %.3f, worst second %.3f, recomputed %d; largest tenth served %.3f of %.3f", learned.Overall(), learned.Worst(1), learned.RecomputedTokens, largest, all)
			assert.Check(t, largest >= 0.5*all, "the largest tenth is served %.3f, all %.3f", largest, all)
		})
	}
}

// Guards against runs that aren't deterministic for a seed.
func TestRunsAreDeterministic(t *testing.T) {
	s := site(engineOf(200, 32), 0.8)
	a, b := Run(s, flips(5), Learned, 9), Run(s, flips(5), Learned, 9)
	assert.Equal(t, a.Overall(), b.Overall())
	assert.Equal(t, a.RecomputedTokens, b.RecomputedTokens)
}

// Guards against running invalid experiments.
func TestExperimentsAreChecked(t *testing.T) {
	valid := `{
		// One small site.
		"sites": [{"name": "s", "engine": {"base-milliseconds": 1, "tokens-per-millisecond": 100, "pairs-per-millisecond": 1e6, "step-milliseconds": 1,
			"step-growth-milliseconds": 0, "places": 4, "memory-tokens": 100000, "moved-tokens-per-millisecond": 1000, "paces": []},
			"readers": 2, "runners": 1, "instances": 1, "told-milliseconds": 60,
			"kinds": [{"name": "k", "per-second": 5, "own-tokens": 100, "own-spread": 0, "shared-tokens": 10, "sessions": 3, "output-tokens": 5,
				"target-milliseconds": 100, "deadline-milliseconds": 1000, "late-worth": 0.5}]}],
		"patterns": [{"name": "calm", "seconds": 2, "flip-milliseconds": 0, "high": 1, "low": 1}],
		"policies": ["learned"], "seeds": 1,
	}`
	e, err := Parse([]byte(valid))
	assert.NilError(t, err)
	assert.Assert(t, Run(e.Sites[0], e.Patterns[0], e.Policies[0], 1).Overall() > 0.9)
	for name, change := range map[string][2]string{
		"not JSON":           {`{`, `[`},
		"misspelt":           {`"readers"`, `"raeders"`},
		"no engines":         {`"readers": 2`, `"readers": 0`},
		"no speed":           {`"tokens-per-millisecond": 100`, `"tokens-per-millisecond": 0`},
		"unknown policy":     {`["learned"]`, `["lucky"]`},
		"no seeds":           {`"seeds": 1`, `"seeds": 0`},
		"deadline too early": {`"deadline-milliseconds": 1000`, `"deadline-milliseconds": 10`},
		"no time":            {`"seconds": 2`, `"seconds": 0`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, change[0], change[1], 1)))
			assert.Assert(t, errors.Is(err, ErrMalformed), "%v", err)
		})
	}
}
