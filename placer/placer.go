// Package placer chooses targets for requests. All instances choose alike for
// requests that share the parts of a prompt, so that each part is read once in
// the fleet and not once for every instance.
package placer

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// decodeShare is the part of its speed at which an engine that generates reads,
	// as the platform declares it.
	decodeShare = 0.5
	// foreignMove is how much longer a move between data centres takes, as the platform declares it.
	foreignMove = 2.0
	// exchangeTime is what one more exchange with a target costs, in milliseconds:
	// prompts that an engine reads in less are not read apart.
	exchangeTime = 6.0
	// quickestPace bounds what a measured pace promises.
	quickestPace = 0.7
	// jitter is the relative noise that keeps instances from all choosing one of several equal targets.
	jitter = 0.1
	// failureWeight multiplies the time of a target that fails all requests; it is a
	// repeat, and the answer may be lost.
	failureWeight = 8.0
	// affinityWeight multiplies the cost of reading shared parts again: the parts
	// that they displace are read again as well.
	affinityWeight = 20.0
)

// Costs in multiples of the time in which an engine reads a prompt of the mean length.
const (
	// crowding is the cost of an engine with all places taken against an empty one.
	crowding = 3.0
	// reclaimRisk is the cost of a lasting request on an engine that may be
	// reclaimed, and of another request on one that may not.
	reclaimRisk = 2.0
	// forgetfulCost is the cost of reading on an engine whose prompts were lost: the
	// time until the caller is back and the prompt is read once more, above what
	// reading shared parts elsewhere costs.
	forgetfulCost = 100.0
	// youthRisk is the cost of a lasting request on an engine that may be about to
	// change its role: the change waits until the request has ended.
	youthRisk = 10.0
	// disturbance is the cost of reading a long prompt on an engine that generates:
	// the streams on it pause meanwhile.
	disturbance = 80.0
	// distance is the cost of another data centre.
	distance = 0.3
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request declares of its prompt.
type Prompt struct {
	Parts  []Part
	Input  int // All prompt tokens.
	Output int // Most tokens to generate.
}

// shared returns the tokens of all parts but the last, and the parts' identity.
func (p Prompt) shared() (tokens int, key string) {
	if len(p.Parts) < 2 {
		return 0, ""
	}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		tokens += part.Tokens
		key = part.ID
	}
	return tokens, key
}

// Own returns the tokens that no other request shares.
func (p Prompt) Own() int {
	tokens, _ := p.shared()
	return max(p.Input-tokens, 0)
}

// Costs are what is learned and published of the engines of a service.
type Costs struct {
	profiler.Profile
	resolver.Engine
	// Late tells that the request gives way to those that can still be in time.
	Late bool
}

// lastingTime is the time of a run, in milliseconds, from which it lasts for long:
// engines are reclaimed at seconds' notice.
const lastingTime = 1000.0

// Lasts reports whether generating the answer takes long.
func (c Costs) Lasts(p Prompt) bool { return float64(p.Output)*c.PerOutput >= lastingTime }

// Splits reports whether a prompt is long enough to be read apart.
func (c Costs) Splits(p Prompt) bool {
	return profiler.WorkMillis(float64(c.Effort(p.Input, p.Input)))/decodeShare > exchangeTime
}

// unit returns the time in which an engine reads a prompt of the mean length.
func (c Costs) unit() float64 { return profiler.WorkMillis(c.Profile.Prompt) }

// pace returns how much longer than the mean a candidate takes to read.
func pace(c tracker.Candidate) float64 {
	if c.Role == tracker.Decode {
		return max(c.Pace, quickestPace) / decodeShare
	}
	return max(c.Pace, quickestPace)
}

// move returns the milliseconds in which the memory of so many tokens is moved.
func (c Costs) move(tokens int, foreign bool) float64 {
	if c.MoveRate <= 0 {
		return 0
	}
	if foreign {
		return foreignMove * float64(tokens) / c.MoveRate
	}
	return float64(tokens) / c.MoveRate
}

// Taken returns the part of an engine that runs would take with one more request of
// so many tokens: of its places or of its memory.
func (c Costs) Taken(t tracker.Candidate, tokens int) float64 {
	taken := (float64(t.Own) + t.Others + 1) / float64(max(t.Slots, 1))
	if c.Engine.Memory > 0 {
		taken = max(taken, (t.Memory+float64(tokens))/float64(c.Engine.Memory))
	}
	return taken
}

// readingWait returns the time of the readings in flight at an engine that come before one more.
func (c Costs) readingWait(t tracker.Candidate) float64 {
	effort := float64(t.OwnEffort) + t.OthersEffort
	if t.OthersEffort == 0 && t.OthersLate == 0 && t.Role == tracker.Prefill {
		effort = max(effort, t.Others*c.Profile.Prompt)
	}
	if c.Late {
		effort += float64(t.OwnLate) + t.OthersLate
	}
	wait := profiler.WorkMillis(effort) * pace(t)
	if t.Role != tracker.Prefill {
		wait += c.placeWait(t, 0)
	}
	return wait
}

// placeWait returns the time until an engine has room for one more request.
func (c Costs) placeWait(t tracker.Candidate, tokens int) float64 {
	return max(c.Taken(t, tokens)-1, 0) * c.Hold
}

// Choice is a target with the time after which its work on the request starts.
type Choice struct {
	Target  tracker.Target
	Wait    timekeeper.Millis
	Tokens  int               // Prompt tokens to read, for a reader.
	Effort  int               // Microseconds of reading them.
	Ahead   int               // Microseconds of the readings that come before.
	Reading timekeeper.Millis // Time until the prompt is read, for a reader.
	Suspect bool              // No target without recent failures was there.
	Load    float64           // Requests at the target, in multiples of its places.
	Taken   float64           // The part of a runner that is taken with the request.
}

// Placer chooses for the instances of one data centre. It is safe for concurrent use.
type Placer struct {
	dataCentre string
	memory     *memory
	random     func() float64
}

// New returns a placer of a data centre.
func New(dataCentre string) *Placer {
	return &Placer{dataCentre: dataCentre, memory: newMemory(), random: rand.Float64}
}

// WithRandom returns a placer that draws from another source of numbers in [0, 1).
func (p *Placer) WithRandom(random func() float64) *Placer {
	return &Placer{dataCentre: p.dataCentre, memory: p.memory, random: random}
}

// Plain chooses the target of a plain service with the least expected time.
func (p *Placer) Plain(candidates []tracker.Candidate) (Choice, bool) {
	wait := func(c tracker.Candidate) float64 {
		return max(occupied(c)-1, 0) * max(c.Latency, 1)
	}
	return least(candidates, wait, func(c tracker.Candidate) float64 {
		latency := max(c.Latency, 1)
		return (latency*(1+occupied(c)) + 2*wait(c) + p.away(c, latency)) * p.noise()
	})
}

// Reader chooses the engine that reads a long prompt: one that only reads, or one
// that also generates if those are far behind.
func (p *Placer) Reader(candidates []tracker.Candidate, prompt Prompt, costs Costs) (Choice, bool) {
	shared, key := prompt.shared()
	var readers []tracker.Candidate
	for _, c := range candidates {
		if c.Role == tracker.Prefill {
			readers = append(readers, c)
		}
	}
	home := owner(readers, key)
	unread := func(c tracker.Candidate) int {
		if key == "" || c.ID == home {
			return 0
		}
		left := shared
		for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
			if !p.memory.has(c.ID, part.ID) {
				break
			}
			left -= part.Tokens
		}
		return left
	}
	own, unit := float64(costs.Effort(prompt.Own(), prompt.Input)), costs.unit()
	choice, ok := least(candidates, costs.readingWait, func(c tracker.Candidate) float64 {
		cost := costs.readingWait(c) + profiler.WorkMillis(affinityWeight*float64(costs.Effort(unread(c), shared))+own)*pace(c) + p.away(c, unit)
		if c.Role != tracker.Prefill {
			cost += disturbance * unit * (0.1 + occupied(c))
		}
		if c.LosesKVCaches {
			cost += forgetfulCost * unit
		}
		return cost
	})
	if ok {
		for _, c := range candidates {
			if c.ID == choice.Target.ID {
				choice.Tokens = unread(c) + prompt.Own()
				choice.Effort = costs.Effort(choice.Tokens, prompt.Input)
				choice.Ahead = profiler.WorkFromMillis(costs.readingWait(c))
				choice.Reading = timekeeper.Millis(costs.Base + costs.readingWait(c) + profiler.WorkMillis(float64(choice.Effort))*pace(c))
			}
		}
	}
	return choice, ok
}

// occupied returns the share of a target's places that are taken.
func occupied(c tracker.Candidate) float64 {
	return (float64(c.Own) + c.Others) / float64(max(c.Slots, 1))
}

// Taken notes that a target reads the prompt, so that its shared parts are there.
func (p *Placer) Taken(target string, prompt Prompt) {
	if len(prompt.Parts) > 0 {
		for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
			p.memory.add(target, part.ID)
		}
	}
}

// Runner chooses the engine that generates. For a prompt read apart, source is
// the data centre whose engine holds its memory; else it is empty. A lasting
// request runs for a second or more, so it prefers engines that are not taken away at
// short notice; others leave those to it.
func (p *Placer) Runner(candidates []tracker.Candidate, prompt Prompt, source string, lasting bool, costs Costs) (Choice, bool) {
	var runners []tracker.Candidate
	for _, c := range candidates {
		if c.Role != tracker.Prefill {
			runners = append(runners, c)
		}
	}
	unit := costs.unit()
	wait := func(c tracker.Candidate) float64 { return costs.placeWait(c, prompt.Input) }
	choice, ok := least(runners, wait, func(c tracker.Candidate) float64 {
		cost := wait(c) + crowding*unit*costs.Taken(c, prompt.Input) + p.away(c, unit)
		if c.Reclaimable == lasting {
			cost += reclaimRisk * unit
		}
		if c.RecentlyAdded && costs.Lasts(prompt) {
			cost += youthRisk * unit
		}
		if source == "" {
			cost += profiler.WorkMillis(float64(c.OwnEffort)+float64(costs.Effort(prompt.Input, prompt.Input))) * pace(c)
		} else {
			cost += costs.move(prompt.Input, c.DataCentre != source)
		}
		return cost * p.noise()
	})
	for _, c := range runners {
		if c.ID == choice.Target.ID {
			choice.Taken = costs.Taken(c, prompt.Input)
		}
	}
	return choice, ok
}

// away returns the cost of a target's distance.
func (p *Placer) away(c tracker.Candidate, unit float64) float64 {
	if c.DataCentre == p.dataCentre {
		return 0
	}
	return distance * unit
}

func (p *Placer) noise() float64 { return 1 + jitter*p.random() }

// least returns the candidate of the least cost; suspects count only if there is nothing else.
func least(candidates []tracker.Candidate, wait, cost func(tracker.Candidate) float64) (Choice, bool) {
	best, found, lowest := tracker.Candidate{}, false, math.Inf(1)
	for _, c := range candidates {
		value := cost(c) * (1 + failureWeight*c.FailureRate)
		if !found || (best.Suspect && !c.Suspect) || (best.Suspect == c.Suspect && value < lowest) {
			best, found, lowest = c, true, value
		}
	}
	if !found {
		return Choice{}, false
	}
	return Choice{Target: best.Target, Wait: timekeeper.Millis(math.Ceil(wait(best))), Suspect: best.Suspect, Load: occupied(best)}, true
}

// owner returns the engine that all instances name for a key: the highest
// rendezvous hash among the engines without recent failures.
func owner(engines []tracker.Candidate, key string) string {
	type ranked struct {
		id    string
		score float64
	}
	var list []ranked
	for _, e := range engines {
		if e.Suspect {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(key + "\x00" + e.ID))
		// Weighted rendezvous hashing: an engine's share is proportional to its strength.
		draw := (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
		list = append(list, ranked{e.ID, strength(e) / -math.Log(draw)})
	}
	if len(list) == 0 {
		return ""
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
	return list[0].id
}

// strength returns an engine's share of sessions. It is coarse, so that instances
// whose measurements differ a little still agree.
func strength(e tracker.Candidate) float64 {
	switch {
	case e.Pace < 1.15:
		return 1
	case e.Pace < 1.6:
		return 0.75
	default:
		return 0.5
	}
}

// mix spreads the bits of an FNV hash, whose high bits differ little for short inputs.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
