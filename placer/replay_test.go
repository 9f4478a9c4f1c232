package placer_test

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Parameters of the simulated load, taken from the deployments: long prompts whose
// rate alternates every 2.8 s between 1.7 and 0.57 times its mean.
const (
	instances          = 14
	sessions           = 707
	sharedTokens       = 3780
	manualTokens       = 2520
	meanUnsharedTokens = 2890.0
	tokensPerMilli     = 307.0
	pairsPerMilli      = 12.4e6
	engineMemory       = 600_000
	targetMillis       = 150.0 // Prompts that are prefilled within this time count as on time.
	flipMillis         = 2800.0
	propagationMillis  = 60 // Delay until another instance knows of a prompt.
)

// modelEngine prefills prompts one after the other and caches shared parts in an LRU cache.
type modelEngine struct {
	candidate           tracker.Candidate
	relativePrefillTime float64
	idleAt              float64 // When its queue will be empty.
	cached              map[int]*list.Element
	order               *list.List
}

func (e *modelEngine) prefill(session int) (uncached int) {
	if element, ok := e.cached[session]; ok {
		e.order.MoveToFront(element)
		return 0
	}
	e.cached[session] = e.order.PushFront(session)
	// Prompts in flight and their KV handles use the other half of the memory.
	for e.order.Len()*sharedTokens > engineMemory/2 {
		oldest := e.order.Back()
		delete(e.cached, oldest.Value.(int))
		e.order.Remove(oldest)
	}
	return sharedTokens
}

// inFlight is a prompt whose prefill has not ended.
type inFlight struct {
	engine, instance, micros int
	startedAt, endsAt        float64
}

type result struct {
	prompts, onTime, refused int
	recomputed               int
}

func (r result) share() float64 { return float64(r.onTime) / float64(r.prompts) }

// policy chooses an engine for a prompt, or refuses it with false.
type policy func(instance int, candidates []tracker.Candidate, p placer.Prompt) (string, bool)

// replay simulates half a minute of load on prefill engines, with a mean rate of
// perSecond prompts; shared tells whether instances know of each other's prompts.
func replay(engines int, perSecond float64, shared bool, choose policy) result {
	random := rand.New(rand.NewPCG(7, 11))
	fleet := make([]*modelEngine, engines)
	index := map[string]int{}
	for i := range fleet {
		relativePrefillTime := 1.0
		if i%3 == 2 {
			relativePrefillTime = 1.3
		}
		fleet[i] = &modelEngine{relativePrefillTime: relativePrefillTime, cached: map[int]*list.Element{}, order: list.New(), candidate: tracker.Candidate{
			Target: tracker.Target{ID: fmt.Sprintf("e%02d", i), DataCentre: "a", Slots: 64, Role: tracker.Prefill}, RelativePrefillTime: relativePrefillTime,
		}}
		index[fleet[i].candidate.ID] = i
	}
	var r result
	var active []inFlight
	for now := 0.0; now < 30_000; {
		rate := perSecond * 0.57
		if int(now/flipMillis)%2 == 0 {
			rate = perSecond * 1.7
		}
		now += random.ExpFloat64() * 1000 / rate
		remaining := active[:0]
		for _, f := range active {
			if f.endsAt > now {
				remaining = append(remaining, f)
			}
		}
		active = remaining
		instance := random.IntN(instances)
		session := int(math.Pow(random.Float64(), 1.4) * sessions)
		own := int(meanUnsharedTokens * math.Exp(random.NormFloat64()*0.8-0.32))
		p := placer.Prompt{Input: manualTokens + sharedTokens + own, Output: 80, Parts: []placer.Part{
			{ID: "manual", Tokens: manualTokens}, {ID: fmt.Sprint("s", session), Tokens: sharedTokens}, {ID: "own", Tokens: own},
		}}
		id, ok := choose(instance, candidatesAt(fleet, active, instance, now, shared), p)
		r.prompts++
		if !ok {
			r.refused++
			continue
		}
		i := index[id]
		e := fleet[i]
		uncached := e.prefill(session)
		r.recomputed += uncached
		work := float64(own+uncached)/tokensPerMilli + float64(own+uncached)*float64(p.Input)/2/pairsPerMilli
		e.idleAt = max(e.idleAt, now) + work*e.relativePrefillTime
		if e.idleAt-now <= targetMillis {
			r.onTime++
		}
		active = append(active, inFlight{i, instance, int(1000 * work), now, e.idleAt})
	}
	return r
}

// candidatesAt returns the engines with the load that an instance knows of.
func candidatesAt(fleet []*modelEngine, active []inFlight, instance int, now float64, shared bool) []tracker.Candidate {
	list := make([]tracker.Candidate, len(fleet))
	for i, e := range fleet {
		list[i] = e.candidate
	}
	for _, f := range active {
		switch {
		case f.instance == instance:
			list[f.engine].LocalRequests++
			list[f.engine].LocalPrefillWork += f.micros
		case shared && now-f.startedAt > propagationMillis:
			list[f.engine].RemoteRequests++
			list[f.engine].RemotePrefillWork += float64(f.micros)
		}
	}
	return list
}

// placerPolicy is the placer's policy; longest is the limit of the expected wait.
func placerPolicy(longest float64) policy {
	placers := map[int]*placer.Placer{}
	return func(instance int, candidates []tracker.Candidate, p placer.Prompt) (string, bool) {
		if placers[instance] == nil {
			placers[instance] = placer.New("a")
		}
		choice, ok := placers[instance].PrefillTarget(candidates, p, costs())
		placers[instance].RecordPrefill(choice.Target.ID, p)
		return choice.Target.ID, ok && float64(choice.Wait) <= longest
	}
}

// leastLocalWork is the baseline: it knows only the instance's own prompts, and
// ignores shared parts.
func leastLocalWork() policy {
	random := rand.New(rand.NewPCG(3, 5))
	return func(_ int, candidates []tracker.Candidate, _ placer.Prompt) (string, bool) {
		best := candidates[random.IntN(len(candidates))]
		for _, c := range candidates {
			if c.LocalPrefillWork < best.LocalPrefillWork {
				best = c
			}
		}
		return best.ID, true
	}
}

// Guards against shared parts that are prefilled on every engine, and against prompts
// that wait at one engine while others are idle, when the request rate changes abruptly.
func TestReplayOfAMixThatFlips(t *testing.T) {
	const engines, perSecond = 10, 240
	baseline := replay(engines, perSecond, false, leastLocalWork())
	localOnly := replay(engines, perSecond, false, placerPolicy(math.Inf(1)))
	shared := replay(engines, perSecond, true, placerPolicy(math.Inf(1)))
	t.Logf("on time: baseline %.3f, placer with local load %.3f, with shared load %.3f; recomputed tokens: %d, %d, %d",
		baseline.share(), localOnly.share(), shared.share(), baseline.recomputed, localOnly.recomputed, shared.recomputed)
	assert.Check(t, shared.share() >= 1.1*baseline.share(), "on time %.3f, baseline %.3f", shared.share(), baseline.share())
	assert.Check(t, shared.share() >= localOnly.share(), "on time %.3f, without remote load %.3f", shared.share(), localOnly.share())
	assert.Check(t, 2*shared.recomputed <= baseline.recomputed, "recomputed tokens %d, baseline %d", shared.recomputed, baseline.recomputed)
}

// Guards against a queue in which every answer is late during an overload.
func TestReplayOfAnOverload(t *testing.T) {
	const engines, perSecond = 8, 420
	longQueue := replay(engines, perSecond, true, placerPolicy(1000))
	shortQueue := replay(engines, perSecond, true, placerPolicy(0.8*targetMillis))
	t.Logf("on time: waits up to 1 s %.3f (refused %d), up to 0.8 target latencies %.3f (refused %d) of %d",
		longQueue.share(), longQueue.refused, shortQueue.share(), shortQueue.refused, shortQueue.prompts)
	assert.Check(t, shortQueue.share() >= 1.3*longQueue.share(), "on time %.3f, with long queues %.3f", shortQueue.share(), longQueue.share())
}
