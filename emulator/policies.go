package emulator

import (
	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// figuresInterval is the time between two exchanges of what instances learned.
const figuresInterval = 1000.0 // Milliseconds.

// fixed are the figures of the engine that the first deployments had.
var fixed = Engine{Base: 15, ReadRate: 307, PairRate: 12.4e6, Step: 0.654, Places: 64, MemoryTokens: 600_000, MoveRate: 6700}

// truth returns an engine's figures as a profile.
func (g Engine) truth(s Site) profiler.Profile {
	p := profiler.Profile{
		Base: g.Base, PerToken: 1 / g.ReadRate, PerPair: 1 / g.PairRate, PrefillError: g.Base/4 + 10, PerOutput: g.Step, Known: true,
	}
	requests := 0.0
	for _, k := range s.Kinds {
		requests += k.PerSecond
		p.MeanPrefillWork += k.PerSecond * float64(p.PrefillWork(int(k.Own), int(k.Own)+k.Shared))
		p.SlotTime += k.PerSecond * k.Output * g.Step
	}
	p.MeanPrefillWork /= requests
	p.SlotTime = p.SlotTime/requests + 1
	return p
}

// instance is an entry instance that places requests.
type instance struct {
	placer   *placer.Placer
	profiler *profiler.Profiler
	others   profiler.Sums // What the other instances saw, as told last.
	turn     int
}

// service is the only service of an emulated site.
const service = "s"

func newInstances(s Site, clock timekeeper.Clock, random func() float64) []*instance {
	list := make([]*instance, s.Instances)
	for i := range list {
		n := &instance{placer: placer.New("a").WithRandom(random), profiler: profiler.New(clock)}
		n.profiler.SetRemoteSums(func(string) profiler.Sums { return n.others })
		list[i] = n
	}
	return list
}

// exchange tells each instance what the others saw.
func exchange(instances []*instance) {
	all := make([]profiler.Sums, len(instances))
	for i, n := range instances {
		all[i] = n.profiler.LocalSums()[service]
	}
	for i, n := range instances {
		n.others = profiler.Sums{}
		for j, sums := range all {
			if j != i {
				n.others = n.others.Plus(sums)
			}
		}
	}
}

// costs returns what the instance knows of the engines under a policy.
func (p *play) costs(n *instance) placer.Costs {
	published := resolver.Engine{KVCacheTokens: p.site.Engine.MemoryTokens, KVTransferRate: p.site.Engine.MoveRate}
	switch p.policy {
	case Oracle:
		return placer.Costs{Profile: p.site.Engine.truth(p.site), Engine: published}
	case Fixed:
		return placer.Costs{Profile: fixed.truth(p.site), Engine: resolver.Engine{KVTransferRate: fixed.MoveRate}}
	default:
		return placer.Costs{Profile: n.profiler.Profile(service), Engine: published}
	}
}

// place chooses where a prompt is read; it is nil for a refusal.
func (p *play) place(n *instance, q *request, candidates []tracker.Candidate, left float64) *placer.Choice {
	switch p.policy {
	case RoundRobin:
		n.turn++
		c := candidates[n.turn%p.site.Readers]
		return &placer.Choice{Target: c.Target}
	case LeastLoad:
		best := candidates[0]
		for _, c := range candidates[:p.site.Readers] {
			if c.LocalRequests < best.LocalRequests {
				best = c
			}
		}
		return &placer.Choice{Target: best.Target}
	}
	costs := p.costs(n)
	limits := placer.Limits{TargetLatency: q.kind.Target, Remaining: timekeeper.Millis(left)}
	a := n.placer.Admit(candidates, q.prompt, costs, false, limits)
	q.late = a.LowPriority
	if a.Verdict != placer.Served || a.Prefill.Target.Role != tracker.Prefill {
		q.wait = float64(a.Refused.Wait)
		return nil
	}
	return &a.Prefill
}
