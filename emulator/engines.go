package emulator

import (
	"container/list"
	"fmt"

	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// part identifies a prompt part that the requests of a session share.
type part struct{ kind, session int }

// engine is an emulated engine. A prefill engine runs one prefill at a time, low
// priority last; a decode engine shares its steps among its decodes.
type engine struct {
	target       tracker.Target
	parameters   Engine
	relativeTime float64
	slowdown     float64 // Current slowdown factor; 1 is none.

	busy           bool
	normalPriority []*request
	lowPriority    []*request

	cached       map[part]*list.Element // Entries of recency by part.
	recency      *list.List
	cachedTokens int

	decoding       int
	decodingTokens int
	waiting        []*request
}

func newEngines(s Site) []*engine {
	engines := make([]*engine, 0, s.PrefillEngines+s.DecodeEngines)
	for i := range s.PrefillEngines + s.DecodeEngines {
		e := &engine{parameters: s.Engine, relativeTime: 1, slowdown: 1, cached: map[part]*list.Element{}, recency: list.New()}
		e.target = tracker.Target{ID: fmt.Sprintf("e%03d", i), DataCentre: "a", Slots: s.Engine.Slots, Role: tracker.Prefill}
		if i >= s.PrefillEngines {
			e.target.Role = tracker.Decode
		}
		if len(s.Engine.RelativeTimes) > 0 {
			e.relativeTime = s.Engine.RelativeTimes[i%len(s.Engine.RelativeTimes)]
		}
		engines = append(engines, e)
	}
	return engines
}

// cacheShared adds a shared part to the LRU cache and returns how many of its tokens
// the engine has to prefill. The cache has half of the KV memory; the other half is
// for prompts in flight.
func (e *engine) cacheShared(p part, tokens int) int {
	if element, ok := e.cached[p]; ok {
		e.recency.MoveToFront(element)
		return 0
	}
	if tokens == 0 {
		return 0
	}
	e.cached[p] = e.recency.PushFront(cachedPart{p, tokens})
	e.cachedTokens += tokens
	for e.cachedTokens > e.parameters.KVCacheTokens/2 && e.recency.Len() > 1 {
		oldest := e.recency.Remove(e.recency.Back()).(cachedPart)
		delete(e.cached, oldest.part)
		e.cachedTokens -= oldest.tokens
	}
	return tokens
}

type cachedPart struct {
	part   part
	tokens int
}

// prefillTime returns the milliseconds that an engine needs to prefill the last tokens
// of a prompt.
func (g Engine) prefillTime(tokens, prompt int) float64 {
	return float64(tokens)/g.PrefillRate + profiler.Pairs(tokens, prompt)/g.PairRate
}

// nextPrefill removes and returns the request to prefill next, or nil if none waits.
func (e *engine) nextPrefill() *request {
	for _, queue := range []*[]*request{&e.normalPriority, &e.lowPriority} {
		if len(*queue) > 0 {
			q := (*queue)[0]
			*queue = (*queue)[1:]
			return q
		}
	}
	return nil
}

// hasCapacity reports whether a decode of a prompt with so many tokens may start.
func (e *engine) hasCapacity(tokens int) bool {
	return e.decoding < e.parameters.Slots && (e.decoding == 0 || e.decodingTokens+tokens <= e.parameters.KVCacheTokens)
}
