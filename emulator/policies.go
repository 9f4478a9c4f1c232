package emulator

import (
	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// exchangeInterval is how often instances exchange their measurements.
const exchangeInterval = 1000.0 // Milliseconds.

// fixedEngine has the performance of the engine that the first deployments used.
var fixedEngine = Engine{Base: 15, PrefillRate: 307, PairRate: 12.4e6, Step: 0.654, Slots: 64, KVCacheTokens: 600_000, MoveRate: 6700}

// trueProfile returns an engine's true performance as a profile.
func (g Engine) trueProfile(s Site) profiler.Profile {
	p := profiler.Profile{
		Base: g.Base, PerToken: 1 / g.PrefillRate, PerPair: 1 / g.PairRate, PrefillError: g.Base/4 + 10, PerOutput: g.Step, Known: true,
	}
	requests := 0.0
	for _, k := range s.Kinds {
		requests += k.PerSecond
		p.MeanPrefillWork += k.PerSecond * float64(p.PrefillWork(int(k.UnsharedTokens), int(k.UnsharedTokens)+k.SharedTokens))
		p.SlotTime += k.PerSecond * k.OutputTokens * g.Step
	}
	p.MeanPrefillWork /= requests
	p.SlotTime = p.SlotTime/requests + 1
	return p
}

// instance is an entry instance that places requests.
type instance struct {
	placer     *placer.Placer
	profiler   *profiler.Profiler
	remoteSums profiler.Sums // Measurements of the other instances at the last exchange.
	turn       int
}

// service is the only service of an emulated site.
const service = "s"

func newInstances(s Site, clock timekeeper.Clock, random func() float64) []*instance {
	list := make([]*instance, s.Instances)
	for i := range list {
		n := &instance{placer: placer.New("a").WithRandom(random), profiler: profiler.New(clock)}
		n.profiler.SetRemoteSums(func(string) profiler.Sums { return n.remoteSums })
		list[i] = n
	}
	return list
}

// exchange gives each instance the measurements of the others.
func exchange(instances []*instance) {
	all := make([]profiler.Sums, len(instances))
	for i, n := range instances {
		all[i] = n.profiler.LocalSums()[service]
	}
	for i, n := range instances {
		n.remoteSums = profiler.Sums{}
		for j, sums := range all {
			if j != i {
				n.remoteSums = n.remoteSums.Plus(sums)
			}
		}
	}
}

// costs returns the engine performance that the instance assumes under the policy.
func (p *emulation) costs(n *instance) placer.Costs {
	configured := resolver.Engine{KVCacheTokens: p.site.Engine.KVCacheTokens, KVTransferRate: p.site.Engine.MoveRate}
	switch p.policy {
	case Oracle:
		return placer.Costs{Profile: p.site.Engine.trueProfile(p.site), Engine: configured}
	case Fixed:
		return placer.Costs{Profile: fixedEngine.trueProfile(p.site), Engine: resolver.Engine{KVTransferRate: fixedEngine.MoveRate}}
	default:
		return placer.Costs{Profile: n.profiler.Profile(service), Engine: configured}
	}
}

// place chooses the prefill engine of a request. It returns nil for a refusal.
func (p *emulation) place(n *instance, q *request, candidates []tracker.Candidate, remaining float64) *placer.Choice {
	switch p.policy {
	case RoundRobin:
		n.turn++
		c := candidates[n.turn%p.site.PrefillEngines]
		return &placer.Choice{Target: c.Target}
	case LeastLoad:
		best := candidates[0]
		for _, c := range candidates[:p.site.PrefillEngines] {
			if c.LocalRequests < best.LocalRequests {
				best = c
			}
		}
		return &placer.Choice{Target: best.Target}
	}
	costs := p.costs(n)
	limits := placer.Limits{TargetLatency: q.kind.TargetLatency, Remaining: timekeeper.Millis(remaining)}
	a := n.placer.Admit(candidates, q.prompt, costs, false, limits)
	q.lowPriority = a.LowPriority
	if a.Verdict != placer.Served || a.Prefill.Target.Role != tracker.Prefill {
		q.expectedWait = float64(a.Refused.Wait)
		return nil
	}
	return &a.Prefill
}
