// Package placer chooses targets for requests. All instances choose the same target
// for requests that share parts of a prompt, so that each part is prefilled once in
// the fleet and not once for every instance.
package placer

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// decodePrefillSpeed is the relative prefill speed of decode engines, as the
	// platform declares it.
	decodePrefillSpeed = 0.5
	// crossDataCentreFactor is how many times longer a KV cache transfer between data
	// centres takes, as the platform declares it.
	crossDataCentreFactor = 2.0
	// exchangeMillis is the cost of one more exchange with a target, in milliseconds:
	// prompts whose prefill takes less are not prefilled on a separate engine.
	exchangeMillis = 6.0
	// jitter is the relative noise that prevents instances from all choosing the same
	// one of several equal targets.
	jitter = 0.1
	// failureWeight scales the cost of a target by its failure rate: a failure costs a
	// retry, and the answer may be lost.
	failureWeight = 8.0
	// affinityWeight multiplies the cost of prefilling shared parts again: the parts
	// that they evict from the cache have to be prefilled again as well.
	affinityWeight = 20.0
)

// Costs in multiples of the mean prefill time of a prompt.
const (
	// utilizationCost is the cost of an engine with all slots in use, compared to an
	// empty one.
	utilizationCost = 3.0
	// reclaimCost is the cost of a long-running request on a reclaimable engine, and of
	// another request on an on-demand engine.
	reclaimCost = 2.0
	// kvLossCost is the cost of prefill on an engine that loses KV caches: the time until
	// the caller retries and the prompt is prefilled once more. It exceeds the cost of
	// prefilling shared parts elsewhere.
	kvLossCost = 100.0
	// roleChangeCost is the cost of a long-running request on an engine that may be
	// about to change its role: the change waits until the request has ended.
	roleChangeCost = 10.0
	// decodeInterferenceCost is the cost of the prefill of a long prompt on a decode
	// engine: its streams pause during the prefill.
	decodeInterferenceCost = 80.0
	// pauseCost is the cost of a stream whose longest pause is expected to exceed its limit
	// by the limit itself: it is late then, however soon it began.
	pauseCost = 40.0
	// crossDataCentreCost is the cost of a target in another data centre.
	crossDataCentreCost = 0.3
)

// Part is one part of a prompt. Requests share parts with the same ID.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is a request's declaration of its prompt.
type Prompt struct {
	Parts  []Part
	Input  int // All prompt tokens.
	Output int // Maximum number of tokens to generate.
}

// sharedPrefix returns the tokens of all parts but the last, and the key that
// identifies them.
func (p Prompt) sharedPrefix() (tokens int, key string) {
	if len(p.Parts) < 2 {
		return 0, ""
	}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		tokens += part.Tokens
		key = part.ID
	}
	return tokens, key
}

// SharedParts returns the IDs of the parts that other requests may share: all but the
// last, which belongs to the request itself.
func (p Prompt) SharedParts() []string {
	var ids []string
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// UnsharedTokens returns the tokens that are not shared with other requests.
func (p Prompt) UnsharedTokens() int {
	tokens, _ := p.sharedPrefix()
	return max(p.Input-tokens, 0)
}

// Reference is the expected time of a prefill at a target as fast as its service, in
// milliseconds: what depends neither on the work nor on the target, the prefill itself and
// the prefills that come before.
type Reference struct{ Base, Own, Wait float64 }

// Choice is a target with the expected wait until it starts to work on the request.
type Choice struct {
	Target      tracker.Target
	Wait        timekeeper.Millis
	Tokens      int               // Prompt tokens to prefill, for a prefill target.
	PrefillWork int               // Their prefill work, in microseconds of a reference engine.
	QueuedWork  int               // Microseconds of the prefills that come before.
	Reference   Reference         // The same without the target's speed.
	PrefillTime timekeeper.Millis // Time until the prompt is prefilled, for a prefill target.
	Suspected   bool              // All targets are suspected.
	Pace        float64           // Learned lasting prefill time of a prefill target; 1 is as its service.
	Slowness    float64           // Its momentary slowness; 1 is as usual.
	Load        float64           // Requests at the target, in multiples of its slots.
	Utilization float64           // Utilization of a decode target with the request.
}

// Placer chooses targets for the instances of one data centre. It is safe for
// concurrent use.
type Placer struct {
	dataCentre string
	prefixes   *prefixCache
	random     func() float64
}

// New returns a placer for a data centre.
func New(dataCentre string) *Placer {
	return &Placer{dataCentre: dataCentre, prefixes: newPrefixCache(), random: rand.Float64}
}

// WithRandom returns a placer that uses another source of random numbers in [0, 1).
func (p *Placer) WithRandom(random func() float64) *Placer {
	return &Placer{dataCentre: p.dataCentre, prefixes: p.prefixes, random: random}
}

// PlainTarget chooses the target of a plain service with the lowest expected time.
func (p *Placer) PlainTarget(candidates []tracker.Candidate) (Choice, bool) {
	attempt := func(c tracker.Candidate) float64 {
		latency := max(c.Latency, 1)
		return latency + delay(c, latency)
	}
	wait := func(c tracker.Candidate) float64 { return max(slotUtilization(c)-1, 0) * attempt(c) }
	return cheapest(candidates, wait, func(c tracker.Candidate) float64 {
		latency := attempt(c)
		return (latency*(1+slotUtilization(c)) + 2*wait(c) + p.distanceCost(c, latency)) * p.noise()
	})
}

// PrefillTarget chooses the engine that prefills a long prompt: a prefill engine, or
// one that also decodes if the prefill engines have long queues.
func (p *Placer) PrefillTarget(candidates []tracker.Candidate, prompt Prompt, costs Costs) (Choice, bool) {
	shared, key := prompt.sharedPrefix()
	var prefillTargets []tracker.Candidate
	for _, c := range candidates {
		if c.Role == tracker.Prefill {
			prefillTargets = append(prefillTargets, c)
		}
	}
	preferred := rendezvousOwner(prefillTargets, key)
	uncached := func(c tracker.Candidate) int {
		if key == "" || c.ID == preferred {
			return 0
		}
		remaining := shared
		for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
			if !p.prefixes.has(c.ID, part.ID) {
				break
			}
			remaining -= part.Tokens
		}
		return remaining
	}
	unsharedWork, meanMillis := float64(costs.PrefillWork(prompt.UnsharedTokens(), prompt.Input)), costs.meanPrefillMillis()
	choice, ok := cheapest(candidates, costs.prefillWait, func(c tracker.Candidate) float64 {
		cost := costs.prefillWait(c) + profiler.WorkMillis(affinityWeight*float64(costs.PrefillWork(uncached(c), shared))+unsharedWork)*relativePrefillTime(c) + p.distanceCost(c, meanMillis)
		// A passing slowness says nothing about the loss of shared parts.
		cost += costs.prefillDelay(c, profiler.WorkMillis(unsharedWork)*relativePrefillTime(c))
		if c.Role != tracker.Prefill {
			cost += decodeInterferenceCost * meanMillis * (0.1 + slotUtilization(c))
		}
		if c.LosesKVCaches {
			cost += kvLossCost * meanMillis
		}
		return cost
	})
	if ok {
		for _, c := range candidates {
			if c.ID == choice.Target.ID {
				choice.Tokens = uncached(c) + prompt.UnsharedTokens()
				choice.PrefillWork = costs.PrefillWork(choice.Tokens, prompt.Input)
				// Without the momentary slowness, which a target could use to bias the profile.
				unslowed := c
				unslowed.Slowness = 0
				choice.QueuedWork = profiler.WorkFromMillis(costs.prefillWait(unslowed))
				choice.Reference = Reference{costs.Base, profiler.WorkMillis(float64(choice.PrefillWork)), costs.referenceWait(c)}
				own := choice.Reference.Own * relativePrefillTime(c)
				choice.PrefillTime = timekeeper.Millis(costs.Base + costs.prefillWait(c) + own + costs.prefillDelay(c, own))
				choice.Pace, choice.Slowness = c.RelativePrefillTime, c.Slowness
			}
		}
	}
	return choice, ok
}

// slotUtilization returns the share of a target's slots that are in use.
func slotUtilization(c tracker.Candidate) float64 {
	return (float64(c.LocalRequests) + c.RemoteRequests) / float64(max(c.Slots, 1))
}

// RecordPrefill records that a target prefills the prompt, so that it caches the shared
// parts.
func (p *Placer) RecordPrefill(target string, prompt Prompt) {
	if len(prompt.Parts) > 0 {
		for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
			p.prefixes.add(target, part.ID)
		}
	}
}

// DecodeTarget chooses the decode target. For a disaggregated prefill, source is the
// data centre of the engine that holds the KV cache; otherwise it is empty. A
// long-running request takes a second or more, so it prefers on-demand engines, which
// are not reclaimed at short notice; other requests prefer reclaimable ones.
func (p *Placer) DecodeTarget(candidates []tracker.Candidate, prompt Prompt, source string, longRunning bool, costs Costs) (Choice, bool) {
	var decodeTargets []tracker.Candidate
	for _, c := range candidates {
		if c.Role != tracker.Prefill {
			decodeTargets = append(decodeTargets, c)
		}
	}
	meanMillis := costs.meanPrefillMillis()
	wait := func(c tracker.Candidate) float64 { return costs.slotWait(c, prompt.Input) }
	choice, ok := cheapest(decodeTargets, wait, func(c tracker.Candidate) float64 {
		cost := wait(c) + utilizationCost*meanMillis*costs.Utilization(c, prompt.Input) + p.distanceCost(c, meanMillis)
		if c.Reclaimable == longRunning {
			cost += reclaimCost * meanMillis
		}
		if c.RecentlyAdded && costs.LongRunning(prompt) {
			cost += roleChangeCost * meanMillis
		}
		cost += costs.slowDecodeCost(c, prompt) + costs.longPauseCost(c, prompt)*meanMillis
		if source == "" {
			prefill := profiler.WorkMillis(float64(c.LocalPrefillWork)+float64(costs.PrefillWork(prompt.Input, prompt.Input))) * relativePrefillTime(c)
			cost += prefill + delay(c, prefill)
		} else {
			cost += costs.transferMillis(prompt.Input, c.DataCentre != source)
		}
		return cost * p.noise()
	})
	for _, c := range decodeTargets {
		if c.ID == choice.Target.ID {
			choice.Utilization = costs.Utilization(c, prompt.Input)
		}
	}
	return choice, ok
}

// distanceCost returns the cost of a target in another data centre.
func (p *Placer) distanceCost(c tracker.Candidate, unit float64) float64 {
	if c.DataCentre == p.dataCentre {
		return 0
	}
	return crossDataCentreCost * unit
}

func (p *Placer) noise() float64 { return 1 + jitter*p.random() }

// cheapest returns the candidate with the lowest cost. Suspected candidates count only
// if there are no others.
func cheapest(candidates []tracker.Candidate, wait, cost func(tracker.Candidate) float64) (Choice, bool) {
	best, found, lowest := tracker.Candidate{}, false, math.Inf(1)
	for _, c := range candidates {
		value := cost(c) * (1 + failureWeight*c.FailureRate)
		if !found || (best.Suspected && !c.Suspected) || (best.Suspected == c.Suspected && value < lowest) {
			best, found, lowest = c, true, value
		}
	}
	if !found {
		return Choice{}, false
	}
	return Choice{Target: best.Target, Wait: timekeeper.Millis(math.Ceil(wait(best))), Suspected: best.Suspected, Load: slotUtilization(best)}, true
}

// rendezvousOwner returns the engine that all instances prefer for a key: the one with
// the highest rendezvous hash among those that are not suspected.
func rendezvousOwner(engines []tracker.Candidate, key string) string {
	type ranked struct {
		id    string
		score float64
	}
	var list []ranked
	for _, e := range engines {
		if e.Suspected {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(key + "\x00" + e.ID))
		// Weighted rendezvous hashing: an engine's share is proportional to its weight.
		draw := (float64(mixBits(h.Sum64())>>11) + 0.5) / (1 << 53)
		list = append(list, ranked{e.ID, rendezvousWeight(e) / -math.Log(draw)})
	}
	if len(list) == 0 {
		return ""
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
	return list[0].id
}

// rendezvousWeight returns an engine's weight, which is lower for slower engines. It
// is coarse, so that instances whose measurements differ slightly still agree.
func rendezvousWeight(e tracker.Candidate) float64 {
	switch {
	case e.RelativePrefillTime < 1.15:
		return 1
	case e.RelativePrefillTime < 1.6:
		return 0.75
	default:
		return 0.5
	}
}

// mixBits spreads the bits of an FNV hash, whose high bits differ little for short inputs.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
