package profiler

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// engine is the truth that a profiler has to find.
type engine struct {
	base      float64 // Milliseconds.
	perMilli  float64 // Tokens.
	pairMilli float64 // Pairs.
}

func (e engine) reads(tokens, prompt int) float64 {
	return float64(tokens)/e.perMilli + Pairs(tokens, prompt)/e.pairMilli
}

// reading draws a reading as an instance sees it: most wait a little, some for long,
// and what others have in flight is known with an error.
func (e engine) reading(r *rand.Rand) Reading {
	tokens := int(3000 * math.Exp(r.NormFloat64()*0.9-0.4))
	prompt := tokens + r.IntN(14_000)
	ahead := 0.0
	if r.IntN(3) == 0 {
		ahead = r.ExpFloat64() * 3 * e.reads(3000, 9000)
	}
	took := (e.base + ahead + e.reads(tokens, prompt)) * (1 + 0.1*r.NormFloat64())
	return Reading{
		Tokens: max(tokens, 1), Prompt: prompt, Took: max(timekeeper.Millis(math.Round(took)), 1),
		Ahead: int(microsPerMilli * ahead * (0.5 + r.Float64())),
	}
}

// expected is the time of a usual prompt by a profile.
func (p Profile) expected(tokens, prompt int) float64 {
	return p.Base + Time(float64(p.Effort(tokens, prompt)))
}

// Guards against figures of one deployment: whatever an engine's speed, the expected
// time of its readings is near the truth after some hundred of them.
func TestAnyEngineIsLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine{
			base:      rapid.Float64Range(2, 120).Draw(t, "base"),
			perMilli:  math.Exp(rapid.Float64Range(math.Log(20), math.Log(1500)).Draw(t, "logarithm of the speed")),
			pairMilli: math.Exp(rapid.Float64Range(math.Log(2e6), math.Log(50e6)).Draw(t, "logarithm of the pairs")),
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p := New(timekeeper.NewManual(1000).Clock())
		for range 400 {
			p.Read("s", e.reading(random))
		}
		learned := p.Profile("s")
		for _, c := range [][2]int{{1500, 4000}, {3000, 9000}, {9000, 20_000}} {
			want := e.base + e.reads(c[0], c[1])
			got := learned.expected(c[0], c[1])
			assert.Assert(t, math.Abs(got-want) <= 0.2*want, "%d of %d tokens: %.1f ms expected, %.1f true; %+v", c[0], c[1], got, want, learned)
		}
	})
}

// Guards against instances that disagree about an engine, and against a new one that
// starts from nothing: what several saw adds up to what one would have seen.
func TestWhatInstancesSawAddsUp(t *testing.T) {
	clock := timekeeper.NewManual(1000).Clock()
	e := engine{95, 56, 3.2e6}
	random := rand.New(rand.NewPCG(2, 3))
	one, parts := New(clock), []*Profiler{New(clock), New(clock), New(clock)}
	for i := range 300 {
		r := e.reading(random)
		r.Ahead = 0
		one.Read("s", r)
		parts[i%len(parts)].Read("s", r)
	}
	fresh := New(clock)
	fresh.Ask(func(service string) Sums {
		var sum Sums
		for _, p := range parts {
			own := p.Own()[service]
			sum = sum.Plus(SumsOf(own[:]))
		}
		return sum
	})
	want, got := one.Profile("s").expected(3000, 9000), fresh.Profile("s").expected(3000, 9000)
	assert.Assert(t, math.Abs(got-want) < 0.03*want, "%.1f ms, one instance alone %.1f ms", got, want)
	assert.Equal(t, SumsOf([]float64{1, 2, 3}), Sums{}, "sums of another version of the program")
}

// Guards against an estimate that stays when engines are replaced by others.
func TestAnOldEngineIsForgotten(t *testing.T) {
	clock := timekeeper.NewManual(1000)
	random := rand.New(rand.NewPCG(4, 5))
	p := New(clock.Clock())
	for _, e := range []engine{{20, 300, 12e6}, {60, 40, 3e6}} {
		for range 300 {
			p.Read("s", e.reading(random))
			clock.Advance(100)
		}
		want, got := e.base+e.reads(3000, 9000), p.Profile("s").expected(3000, 9000)
		assert.Assert(t, math.Abs(got-want) <= 0.25*want, "%.1f ms expected, %.1f true", got, want)
	}
}

// Guards against one reading that hung and makes all engines look slow.
func TestAReadingThatHungCountsLittle(t *testing.T) {
	e := engine{20, 300, 12e6}
	random := rand.New(rand.NewPCG(6, 7))
	p := New(timekeeper.NewManual(1000).Clock())
	for i := range 200 {
		r := e.reading(random)
		if i%50 == 49 {
			r.Took = 20_000
		}
		p.Read("s", r)
	}
	want, got := e.base+e.reads(3000, 9000), p.Profile("s").expected(3000, 9000)
	assert.Assert(t, got < 1.5*want, "%.1f ms expected, %.1f true", got, want)
}

// Guards against engines that are filled although runs then slow each other down, and
// against ones that are left half empty although they do not.
func TestTheSlowdownOfAFullEngineIsLearned(t *testing.T) {
	for name, growth := range map[string]float64{"none": 0, "a half more": 0.5, "twice as long": 1} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(8, 9))
			p := New(timekeeper.NewManual(1000).Clock())
			for range 3000 {
				output := 20 + random.IntN(300)
				taken := random.Float64()
				actual := float64(output) * (0.3 + 0.7*random.Float64())
				p.Ran("s", timekeeper.Millis(10*actual*(1+2*growth*taken)), output, taken)
			}
			got := p.Profile("s").Slowdown
			assert.Assert(t, math.Abs(got-growth) <= 0.2, "%.2f, true %.2f", got, growth)
		})
	}
}

// Guards against an unknown demand that is taken for none, and against one that
// leaves out refused requests.
func TestDemandCountsWhatArrives(t *testing.T) {
	clock := timekeeper.NewManual(1000)
	p := New(clock.Clock())
	assert.Assert(t, !p.Profile("s").Known)
	for range 2000 { // 50 a second of 40 ms, of which one in four runs for two seconds.
		p.Offered("s", 40*microsPerMilli)
		clock.Advance(20)
	}
	p.Ran("s", 2000, 100, 0.5)
	got := p.Profile("s")
	assert.Assert(t, got.Known)
	assert.Assert(t, math.Abs(got.Reading-2) < 0.1, "%.2f engines read", got.Reading)
	assert.Assert(t, got.Hold > 500 && got.PerOutput > 5)
}
