package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// request is a caller's request and its progress.
type request struct {
	kind          Kind
	kindIndex     int // Index in Site.Kinds.
	session       int
	prompt        placer.Prompt
	outputTokens  int
	sentAt        float64 // Time of the first attempt.
	retried       bool    // The caller retried after a refusal.
	lowPriority   bool
	served        bool
	expectedWait  float64 // Estimated by the instance that refused it.
	instance      int
	choice        placer.Choice
	placedAt      float64
	prefillEngine *engine
	decodeEngine  *engine
	decodeStart   float64
	utilization   float64
	visibleAt     float64 // When the other instances see it.
}

// event is a function scheduled for a virtual time in milliseconds.
type event struct {
	at float64
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// emulation is one run of an experiment.
type emulation struct {
	site           Site
	pattern        Pattern
	policy         Policy
	arrivalRandom  *rand.Rand // For arrivals.
	decisionRandom *rand.Rand // For everything that depends on decisions.
	manualClock    *timekeeper.Manual
	now            float64
	events         events
	engines        []*engine
	byID           map[string]*engine
	instances      []*instance
	inFlight       map[*request]bool
	result         Result
}

// Run emulates one site under a pattern with a policy.
func Run(s Site, p Pattern, policy Policy, seed uint64) Result {
	manualClock := timekeeper.NewManual(1_000_000)
	decisionRandom := rand.New(rand.NewPCG(seed, 19)) // A separate source, so that all policies see the same arrivals.
	run := &emulation{
		site: s, pattern: p, policy: policy, arrivalRandom: rand.New(rand.NewPCG(seed, 17)), decisionRandom: decisionRandom, manualClock: manualClock,
		engines: newEngines(s), byID: map[string]*engine{}, instances: newInstances(s, manualClock.Clock(), decisionRandom.Float64),
		inFlight: map[*request]bool{}, result: newResult(s, p, policy, seed),
	}
	for _, e := range run.engines {
		run.byID[e.target.ID] = e
	}
	for i, k := range s.Kinds {
		run.scheduleArrival(i, k)
	}
	run.scheduleExchange()
	if p.Slowdown != nil {
		run.schedule(p.Slowdown.From*1000, func() { run.setSlowdown(p.Slowdown.Factor) })
		run.schedule(p.Slowdown.To*1000, func() { run.setSlowdown(1) })
	}
	run.processEvents()
	return run.result
}

func (p *emulation) processEvents() {
	for p.events.Len() > 0 {
		next := heap.Pop(&p.events).(event)
		if elapsed := timekeeper.Millis(next.at) - timekeeper.Millis(p.now); elapsed > 0 {
			p.manualClock.Advance(elapsed)
		}
		p.now = next.at
		next.do()
	}
}

func (p *emulation) schedule(delay float64, do func()) {
	heap.Push(&p.events, event{p.now + delay, do})
}

func (p *emulation) scheduleExchange() {
	p.schedule(exchangeInterval, func() {
		exchange(p.instances)
		if p.now < p.pattern.Seconds*1000 {
			p.scheduleExchange()
		}
	})
}

func (p *emulation) setSlowdown(factor float64) {
	for _, e := range p.engines[:int(math.Ceil(p.pattern.Slowdown.Share*float64(p.site.PrefillEngines)))] {
		e.slowdown = factor
	}
}

// arrivalRate returns the current arrivals of a kind per millisecond.
func (p *emulation) arrivalRate(kindIndex int, k Kind) float64 {
	rate := k.PerSecond / 1000
	if p.pattern.FlipInterval <= 0 {
		return rate
	}
	if (int(p.now/p.pattern.FlipInterval)+kindIndex)%2 == 0 {
		return rate * p.pattern.HighFactor
	}
	return rate * p.pattern.LowFactor
}

// scheduleArrival schedules the next request of a kind, and each one schedules its
// successor until the pattern ends.
func (p *emulation) scheduleArrival(kindIndex int, k Kind) {
	p.schedule(p.arrivalRandom.ExpFloat64()/max(p.arrivalRate(kindIndex, k), 1e-9), func() {
		if p.now >= p.pattern.Seconds*1000 {
			return
		}
		p.scheduleArrival(kindIndex, k)
		unshared := max(int(k.UnsharedTokens*math.Exp(p.arrivalRandom.NormFloat64()*k.Spread-k.Spread*k.Spread/2)), 1)
		q := &request{kind: k, kindIndex: kindIndex, session: p.arrivalRandom.IntN(k.Sessions), sentAt: p.now, outputTokens: int(k.OutputTokens * (0.5 + p.arrivalRandom.Float64()))}
		q.prompt = placer.Prompt{Input: unshared + k.SharedTokens, Output: q.outputTokens, Parts: []placer.Part{
			{ID: fmt.Sprint(kindIndex, "/", q.session), Tokens: k.SharedTokens}, {ID: "own", Tokens: unshared},
		}}
		p.result.recordRequest(q)
		p.dispatch(q)
	})
}

// dispatch sends a request to a random instance, which places it or refuses it.
func (p *emulation) dispatch(q *request) {
	q.instance = p.decisionRandom.IntN(len(p.instances))
	n := p.instances[q.instance]
	costs := p.costs(n)
	if !q.retried {
		n.profiler.RecordArrival(service, costs.PrefillWork(q.prompt.UnsharedTokens(), q.prompt.Input))
	}
	remaining := q.sentAt + float64(q.kind.Deadline) - p.now
	choice := p.place(n, q, p.candidates(q.instance), remaining)
	if choice == nil {
		p.retryOrRefuse(q, remaining)
		return
	}
	q.choice, q.placedAt, q.visibleAt, q.prefillEngine = *choice, p.now, p.now+p.site.PropagationDelay, p.byID[choice.Target.ID]
	p.inFlight[q] = true
	if q.lowPriority {
		q.prefillEngine.lowPriority = append(q.prefillEngine.lowPriority, q)
	} else {
		q.prefillEngine.normalPriority = append(q.prefillEngine.normalPriority, q)
	}
	p.startPrefill(q.prefillEngine)
}

// retryOrRefuse lets the caller retry once after a delay, and counts a second refusal
// as final.
func (p *emulation) retryOrRefuse(q *request, remaining float64) {
	delay := min(max(q.expectedWait, 100)*(1+p.decisionRandom.Float64()/2), 0.3*remaining)
	if q.retried || delay <= 0 {
		p.result.recordRefusal()
		return
	}
	q.retried = true
	p.schedule(delay, func() { p.dispatch(q) })
}

// startPrefill starts the next prefill of an engine that is idle.
func (p *emulation) startPrefill(e *engine) {
	if e.busy {
		return
	}
	q := e.nextPrefill()
	if q == nil {
		return
	}
	e.busy = true
	uncached := e.cacheShared(part{q.kindIndex, q.session}, q.kind.SharedTokens)
	p.result.recordSharedPrefill(uncached)
	work := e.parameters.prefillTime(q.prompt.UnsharedTokens()+uncached, q.prompt.Input) * e.relativeTime * e.slowdown
	p.schedule(work, func() {
		e.busy = false
		p.schedule(e.parameters.Base*e.relativeTime, func() { p.startDecode(q) })
		p.startPrefill(e)
	})
}

// startDecode moves a request whose prefill is done to a decode engine.
func (p *emulation) startDecode(q *request) {
	delete(p.inFlight, q)
	n := p.instances[q.instance]
	duration := timekeeper.Millis(math.Round(p.now - q.placedAt))
	n.profiler.RecordPrefill(service, profiler.Prefill{Tokens: q.choice.Tokens, Prompt: q.prompt.Input, QueuedWork: q.choice.QueuedWork, Duration: duration})
	n.placer.RecordPrefill(q.choice.Target.ID, q.prompt)
	decodeChoice, ok := n.placer.DecodeTarget(p.candidates(q.instance), q.prompt, "a", false, p.costs(n))
	if !ok {
		p.result.recordRefusal()
		return
	}
	q.decodeEngine, q.decodeStart, q.utilization = p.byID[decodeChoice.Target.ID], p.now, decodeChoice.Utilization
	q.prefillEngine, q.visibleAt = nil, p.now+p.site.PropagationDelay
	p.inFlight[q] = true
	q.decodeEngine.waiting = append(q.decodeEngine.waiting, q)
	p.runDecodes(q.decodeEngine)
}

// runDecodes starts the waiting decodes for which an engine has capacity.
func (p *emulation) runDecodes(e *engine) {
	for len(e.waiting) > 0 && e.hasCapacity(e.waiting[0].prompt.Input) {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.decoding++
		e.decodingTokens += q.prompt.Input
		step := (e.parameters.Step + e.parameters.StepGrowth*float64(e.decoding)) * e.relativeTime
		first := float64(q.prompt.Input)/e.parameters.MoveRate + step
		p.schedule(first, func() { p.result.recordAnswer(q, p.now-q.sentAt) })
		p.schedule(first+float64(q.outputTokens)*step, func() {
			e.decoding--
			e.decodingTokens -= q.prompt.Input
			delete(p.inFlight, q)
			p.instances[q.instance].profiler.RecordDecode(service, timekeeper.Millis(p.now-q.decodeStart), q.outputTokens, q.utilization)
			p.runDecodes(e)
		})
	}
}

// candidates returns an instance's view of the engines.
func (p *emulation) candidates(instance int) []tracker.Candidate {
	list := make([]tracker.Candidate, len(p.engines))
	index := map[*engine]int{}
	for i, e := range p.engines {
		list[i] = tracker.Candidate{Target: e.target, RelativePrefillTime: 1}
		index[e] = i
	}
	for q := range p.inFlight {
		e := q.prefillEngine
		if e == nil {
			e = q.decodeEngine
		}
		c := &list[index[e]]
		local := q.instance == instance
		switch {
		case local:
			c.LocalRequests++
		case q.visibleAt <= p.now:
			c.RemoteRequests++
		default:
			continue
		}
		c.TokensInFlight += float64(q.prompt.Input)
		switch {
		case q.prefillEngine == nil:
		case local && q.lowPriority:
			c.LocalLowPriorityWork += q.choice.PrefillWork
		case local:
			c.LocalPrefillWork += q.choice.PrefillWork
		case q.lowPriority:
			c.RemoteLowPriorityWork += float64(q.choice.PrefillWork)
		default:
			c.RemotePrefillWork += float64(q.choice.PrefillWork)
		}
	}
	return list
}
