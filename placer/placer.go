// Package placer chooses targets for requests. All instances choose alike for
// requests that share the parts of a prompt, so that each part is read once in
// the fleet and not once for every instance.
package placer

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// readRate is how many prompt tokens an engine reads in a millisecond (the
	// deployments' sheets); decodeShare is what is left of it on a decode engine.
	readRate    = 307.0
	decodeShare = 0.5
	// placeTime is the time after which one of an engine's places becomes free, in
	// milliseconds: a chat holds one of 64 for three seconds.
	placeTime = 50.0
	// crowding is the cost of an engine with all places taken against an empty one, in milliseconds.
	crowding = 30.0
	// reclaimRisk is the cost, in milliseconds, of a lasting request on an engine that
	// may be reclaimed, and of another request on one that may not.
	reclaimRisk = 20.0
	// forgetfulCost is the cost, in milliseconds, of reading on an engine whose prompts
	// were lost: the time until the caller is back and the prompt is read once more,
	// above what reading shared parts elsewhere costs.
	forgetfulCost = 1000.0
	// youthRisk is the cost, in milliseconds, of a lasting request on an engine that may
	// be about to change its role: the change waits until the request has ended.
	youthRisk = 100.0
	// disturbance is the cost, in milliseconds, of reading a long prompt on an engine
	// that generates: the streams on it pause meanwhile.
	disturbance = 800.0
	// quickestPace bounds what a measured pace promises.
	quickestPace = 0.7
	// splitTokens is the number of unread prompt tokens from which reading on a
	// prefill engine and moving the memory beats reading on the decode engine.
	splitTokens = 1000
	// moveRate is how many tokens of memory a link moves in a millisecond.
	moveRate = 6700.0
	// foreignMove is how much longer a move between data centres takes.
	foreignMove = 2.0
	// distance is the round trip to another data centre in milliseconds.
	distance = 3.0
	// pairRate is how many pairs of an unread token and a token before it an engine
	// relates in a millisecond (the deployments' sheets).
	pairRate = 12.4e6
	// meanPrompt is the work, in unread prompt tokens, counted for a request of another instance.
	meanPrompt = 3000.0
	// jitter is the relative noise that keeps instances from all choosing one of several equal targets.
	jitter = 0.1
	// failureWeight multiplies the time of a target that fails all requests; it is a
	// repeat, and the answer may be lost.
	failureWeight = 8.0
	// affinityWeight multiplies the cost of reading shared parts again: the parts
	// that they displace are read again as well.
	affinityWeight = 20.0
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

// effort returns the work of reading the last tokens of the prompt, in tokens of a
// short prompt: each token is related to all before it.
func (p Prompt) effort(tokens int) int {
	pairs := float64(tokens) * (float64(p.Input) - float64(tokens)/2)
	return tokens + int(readRate*max(pairs, 0)/pairRate)
}

// lastingTokens is the number of generated tokens from which a request lasts for long: about a second.
const lastingTokens = 1000

// Lasts reports whether generating the answer takes long.
func (p Prompt) Lasts() bool { return p.Output >= lastingTokens }

// Splits reports whether the prompt is long enough to be read apart.
func (p Prompt) Splits() bool { return p.Input >= splitTokens }

// Choice is a target with the time after which its work on the request starts.
type Choice struct {
	Target  tracker.Target
	Wait    timekeeper.Millis
	Tokens  int               // Prompt tokens to read, for a reader.
	Reading timekeeper.Millis // Time until the prompt is read, for a reader.
	Suspect bool              // No target without recent failures was there.
}

// Placer chooses for the instances of one data centre. It is safe for concurrent use.
type Placer struct {
	dataCentre string
	memory     *memory
}

// New returns a placer of a data centre.
func New(dataCentre string) *Placer {
	return &Placer{dataCentre: dataCentre, memory: newMemory()}
}

// Plain chooses the target of a plain service with the least expected time.
func (p *Placer) Plain(candidates []tracker.Candidate) (Choice, bool) {
	wait := func(c tracker.Candidate) float64 {
		return max(occupied(c)-1, 0) * max(c.Latency, 1)
	}
	return least(candidates, wait, func(c tracker.Candidate) float64 {
		latency := max(c.Latency, 1)
		return (latency*(1+occupied(c)) + 2*wait(c) + p.away(c)) * noise()
	})
}

// Reader chooses the engine that reads a long prompt: one that only reads, or one
// that also generates if those are far behind.
func (p *Placer) Reader(candidates []tracker.Candidate, prompt Prompt) (Choice, bool) {
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
	choice, ok := least(candidates, readingWait, func(c tracker.Candidate) float64 {
		cost := readingWait(c) + (affinityWeight*float64(unread(c))+float64(prompt.effort(prompt.Own())))/rate(c) + p.away(c)
		if c.Role != tracker.Prefill {
			cost += disturbance * (0.1 + occupied(c))
		}
		if c.Forgetful {
			cost += forgetfulCost
		}
		return cost
	})
	if ok {
		for _, c := range candidates {
			if c.ID == choice.Target.ID {
				choice.Tokens = prompt.effort(unread(c) + prompt.Own())
				choice.Reading = timekeeper.Millis(readingWait(c) + float64(choice.Tokens)/rate(c) + distance)
			}
		}
	}
	return choice, ok
}

// rate returns how many prompt tokens the engine reads in a millisecond.
func rate(c tracker.Candidate) float64 {
	pace := max(c.Pace, quickestPace)
	if c.Role == tracker.Decode {
		return readRate * decodeShare / pace
	}
	return readRate / pace
}

// readingWait returns the time of the prompts in flight at an engine.
func readingWait(c tracker.Candidate) float64 {
	tokens := float64(c.OwnTokens) + c.OthersTokens
	if c.Role == tracker.Prefill {
		if c.OthersTokens == 0 {
			tokens = max(tokens, c.Others*meanPrompt)
		}
		return tokens / rate(c)
	}
	return tokens/rate(c) + placeWait(c)
}

// placeWait returns the time until an engine has a place for one more request.
func placeWait(c tracker.Candidate) float64 {
	return max(float64(c.Own)+c.Others+1-float64(max(c.Slots, 1)), 0) * placeTime
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
// request runs for seconds and cannot go on elsewhere, so it prefers engines that
// are not taken away at short notice; others leave those to it.
func (p *Placer) Runner(candidates []tracker.Candidate, prompt Prompt, source string, lasting bool) (Choice, bool) {
	var runners []tracker.Candidate
	for _, c := range candidates {
		if c.Role != tracker.Prefill {
			runners = append(runners, c)
		}
	}
	return least(runners, placeWait, func(c tracker.Candidate) float64 {
		cost := placeWait(c) + crowding*occupied(c) + p.away(c)
		if c.Reclaimable == lasting {
			cost += reclaimRisk
		}
		if c.Young && prompt.Lasts() {
			cost += youthRisk
		}
		switch {
		case source == "":
			cost += (float64(c.OwnTokens) + float64(prompt.Input)) / rate(c)
		case c.DataCentre == source:
			cost += float64(prompt.Input) / moveRate
		default:
			cost += foreignMove * float64(prompt.Input) / moveRate
		}
		return cost * noise()
	})
}

func (p *Placer) away(c tracker.Candidate) float64 {
	if c.DataCentre == p.dataCentre {
		return 0
	}
	return distance
}

func noise() float64 { return 1 + jitter*rand.Float64() }

// least returns the candidate of the least cost; suspects count only if there is nothing else.
func least(candidates []tracker.Candidate, wait, cost func(tracker.Candidate) float64) (Choice, bool) {
	best, found, lowest := tracker.Candidate{}, false, math.Inf(1)
	for _, c := range candidates {
		value := cost(c) * (1 + failureWeight*c.Failures)
		if !found || (best.Suspect && !c.Suspect) || (best.Suspect == c.Suspect && value < lowest) {
			best, found, lowest = c, true, value
		}
	}
	if !found {
		return Choice{}, false
	}
	return Choice{Target: best.Target, Wait: timekeeper.Millis(math.Ceil(wait(best))), Suspect: best.Suspect}, true
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
