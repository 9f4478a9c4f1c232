package emulator

import (
	"container/list"
	"fmt"

	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// part is a shared part of prompts.
type part struct{ kind, session int }

// engine is an emulated engine. A reader does one reading at a time, those that give
// way last; a runner shares its steps among its runs.
type engine struct {
	target  tracker.Target
	figures Engine
	pace    float64
	slow    float64 // Times slower for the moment.

	busy   bool
	urgent []*request
	late   []*request

	kept   map[part]*list.Element // Shared parts in the cache, latest first.
	order  *list.List
	tokens int

	runs    int
	memory  int
	waiting []*request
}

func newEngines(s Site) []*engine {
	engines := make([]*engine, 0, s.Readers+s.Runners)
	for i := range s.Readers + s.Runners {
		e := &engine{figures: s.Engine, pace: 1, slow: 1, kept: map[part]*list.Element{}, order: list.New()}
		e.target = tracker.Target{ID: fmt.Sprintf("e%03d", i), DataCentre: "a", Slots: s.Engine.Places, Role: tracker.Prefill}
		if i >= s.Readers {
			e.target.Role = tracker.Decode
		}
		if len(s.Engine.Paces) > 0 {
			e.pace = s.Engine.Paces[i%len(s.Engine.Paces)]
		}
		engines = append(engines, e)
	}
	return engines
}

// unread returns the shared tokens that the engine has to read, and keeps them. Half
// of the memory is taken by prompts on their way.
func (e *engine) unread(p part, tokens int) int {
	if element, ok := e.kept[p]; ok {
		e.order.MoveToFront(element)
		return 0
	}
	if tokens == 0 {
		return 0
	}
	e.kept[p] = e.order.PushFront(entry{p, tokens})
	e.tokens += tokens
	for e.tokens > e.figures.MemoryTokens/2 && e.order.Len() > 1 {
		oldest := e.order.Remove(e.order.Back()).(entry)
		delete(e.kept, oldest.part)
		e.tokens -= oldest.tokens
	}
	return tokens
}

type entry struct {
	part   part
	tokens int
}

// readingTime returns the milliseconds in which an engine reads the last tokens of a prompt.
func (g Engine) readingTime(tokens, prompt int) float64 {
	return float64(tokens)/g.ReadRate + profiler.Pairs(tokens, prompt)/g.PairRate
}

// next takes the reading that is to be done next.
func (e *engine) next() *request {
	for _, queue := range []*[]*request{&e.urgent, &e.late} {
		if len(*queue) > 0 {
			q := (*queue)[0]
			*queue = (*queue)[1:]
			return q
		}
	}
	return nil
}

// hasRoom reports whether a run may start.
func (e *engine) hasRoom(tokens int) bool {
	return e.runs < e.figures.Places && (e.runs == 0 || e.memory+tokens <= e.figures.MemoryTokens)
}
