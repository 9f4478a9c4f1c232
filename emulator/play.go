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

// request is a caller's request on its way.
type request struct {
	kind     Kind
	number   int // Of the kind.
	session  int
	prompt   placer.Prompt
	output   int
	first    float64 // When the caller sent it first.
	again    bool    // The caller came back after a refusal.
	late     bool
	served   bool
	wait     float64 // Expected by the one who refused it.
	instance int
	choice   placer.Choice
	placed   float64
	reader   *engine
	runner   *engine
	started  float64
	taken    float64
	told     float64 // When the other instances know of it.
}

// event is something that happens at a time.
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

// play is one run of an experiment.
type play struct {
	site      Site
	pattern   Pattern
	policy    Policy
	random    *rand.Rand // For arrivals.
	choices   *rand.Rand // For everything that depends on decisions.
	manual    *timekeeper.Manual
	now       float64
	events    events
	engines   []*engine
	byID      map[string]*engine
	instances []*instance
	flying    map[*request]bool
	result    Result
}

// Play plays one site under a pattern with a policy.
func Play(s Site, p Pattern, policy Policy, seed uint64) Result {
	manual := timekeeper.NewManual(1_000_000)
	choices := rand.New(rand.NewPCG(seed, 19)) // Apart, so that all policies see the same arrivals.
	y := &play{
		site: s, pattern: p, policy: policy, random: rand.New(rand.NewPCG(seed, 17)), choices: choices, manual: manual,
		engines: newEngines(s), byID: map[string]*engine{}, instances: newInstances(s, manual.Clock(), choices.Float64),
		flying: map[*request]bool{}, result: newResult(s, p, policy, seed),
	}
	for _, e := range y.engines {
		y.byID[e.target.ID] = e
	}
	for i, k := range s.Kinds {
		y.arrive(i, k)
	}
	y.exchangeLater()
	if p.Slow != nil {
		y.after(p.Slow.From*1000, func() { y.slow(p.Slow.Times) })
		y.after(p.Slow.To*1000, func() { y.slow(1) })
	}
	y.run()
	return y.result
}

func (p *play) run() {
	for p.events.Len() > 0 {
		next := heap.Pop(&p.events).(event)
		if whole := timekeeper.Millis(next.at) - timekeeper.Millis(p.now); whole > 0 {
			p.manual.Advance(whole)
		}
		p.now = next.at
		next.do()
	}
}

func (p *play) after(span float64, do func()) { heap.Push(&p.events, event{p.now + span, do}) }

func (p *play) exchangeLater() {
	p.after(figuresInterval, func() {
		exchange(p.instances)
		if p.now < p.pattern.Seconds*1000 {
			p.exchangeLater()
		}
	})
}

func (p *play) slow(times float64) {
	for _, e := range p.engines[:int(math.Ceil(p.pattern.Slow.Share*float64(p.site.Readers)))] {
		e.slow = times
	}
}

// rate returns how often a kind comes now, for each millisecond.
func (p *play) rate(number int, k Kind) float64 {
	rate := k.PerSecond / 1000
	if p.pattern.Flip <= 0 {
		return rate
	}
	if (int(p.now/p.pattern.Flip)+number)%2 == 0 {
		return rate * p.pattern.High
	}
	return rate * p.pattern.Low
}

// arrive lets requests of a kind come until the pattern ends.
func (p *play) arrive(number int, k Kind) {
	p.after(p.random.ExpFloat64()/max(p.rate(number, k), 1e-9), func() {
		if p.now >= p.pattern.Seconds*1000 {
			return
		}
		p.arrive(number, k)
		own := max(int(k.Own*math.Exp(p.random.NormFloat64()*k.Spread-k.Spread*k.Spread/2)), 1)
		q := &request{kind: k, number: number, session: p.random.IntN(k.Sessions), first: p.now, output: int(k.Output * (0.5 + p.random.Float64()))}
		q.prompt = placer.Prompt{Input: own + k.Shared, Output: q.output, Parts: []placer.Part{
			{ID: fmt.Sprint(number, "/", q.session), Tokens: k.Shared}, {ID: "own", Tokens: own},
		}}
		p.result.asked(q)
		p.serve(q)
	})
}

// serve places a request at an instance.
func (p *play) serve(q *request) {
	q.instance = p.choices.IntN(len(p.instances))
	n := p.instances[q.instance]
	costs := p.costs(n)
	if !q.again {
		n.profiler.RecordArrival(service, costs.PrefillWork(q.prompt.UnsharedTokens(), q.prompt.Input))
	}
	left := q.first + float64(q.kind.Deadline) - p.now
	choice := p.place(n, q, p.view(q.instance), left)
	if choice == nil {
		p.refuse(q, left)
		return
	}
	q.choice, q.placed, q.told, q.reader = *choice, p.now, p.now+p.site.Told, p.byID[choice.Target.ID]
	p.flying[q] = true
	if q.late {
		q.reader.late = append(q.reader.late, q)
	} else {
		q.reader.urgent = append(q.reader.urgent, q)
	}
	p.read(q.reader)
}

// refuse lets a caller come back once.
func (p *play) refuse(q *request, left float64) {
	back := min(max(q.wait, 100)*(1+p.choices.Float64()/2), 0.3*left)
	if q.again || back <= 0 {
		p.result.refused()
		return
	}
	q.again = true
	p.after(back, func() { p.serve(q) })
}

// read starts the next reading of an engine that is idle.
func (p *play) read(e *engine) {
	if e.busy {
		return
	}
	q := e.next()
	if q == nil {
		return
	}
	e.busy = true
	unread := e.unread(part{q.number, q.session}, q.kind.Shared)
	p.result.readShared(unread)
	work := e.figures.readingTime(q.prompt.UnsharedTokens()+unread, q.prompt.Input) * e.pace * e.slow
	p.after(work, func() {
		e.busy = false
		p.after(e.figures.Base*e.pace, func() { p.move(q) })
		p.read(e)
	})
}

// move lets a run go on from a prompt that was read.
func (p *play) move(q *request) {
	delete(p.flying, q)
	n := p.instances[q.instance]
	took := timekeeper.Millis(math.Round(p.now - q.placed))
	n.profiler.RecordPrefill(service, profiler.Prefill{Tokens: q.choice.Tokens, Prompt: q.prompt.Input, QueuedWork: q.choice.QueuedWork, Duration: took})
	n.placer.RecordPrefill(q.choice.Target.ID, q.prompt)
	runner, ok := n.placer.DecodeTarget(p.view(q.instance), q.prompt, "a", false, p.costs(n))
	if !ok {
		p.result.refused()
		return
	}
	q.runner, q.started, q.taken = p.byID[runner.Target.ID], p.now, runner.Utilization
	q.reader, q.told = nil, p.now+p.site.Told
	p.flying[q] = true
	q.runner.waiting = append(q.runner.waiting, q)
	p.generate(q.runner)
}

// generate starts the runs for which an engine has room.
func (p *play) generate(e *engine) {
	for len(e.waiting) > 0 && e.hasRoom(e.waiting[0].prompt.Input) {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.runs++
		e.memory += q.prompt.Input
		step := (e.figures.Step + e.figures.StepGrowth*float64(e.runs)) * e.pace
		first := float64(q.prompt.Input)/e.figures.MoveRate + step
		p.after(first, func() { p.result.answered(q, p.now-q.first) })
		p.after(first+float64(q.output)*step, func() {
			e.runs--
			e.memory -= q.prompt.Input
			delete(p.flying, q)
			p.instances[q.instance].profiler.RecordDecode(service, timekeeper.Millis(p.now-q.started), q.output, q.taken)
			p.generate(e)
		})
	}
}

// view is what an instance believes of the engines.
func (p *play) view(instance int) []tracker.Candidate {
	list := make([]tracker.Candidate, len(p.engines))
	index := map[*engine]int{}
	for i, e := range p.engines {
		list[i] = tracker.Candidate{Target: e.target, RelativePrefillTime: 1}
		index[e] = i
	}
	for q := range p.flying {
		e := q.reader
		if e == nil {
			e = q.runner
		}
		c := &list[index[e]]
		own := q.instance == instance
		switch {
		case own:
			c.LocalRequests++
		case q.told <= p.now:
			c.RemoteRequests++
		default:
			continue
		}
		c.TokensInFlight += float64(q.prompt.Input)
		switch {
		case q.reader == nil:
		case own && q.late:
			c.LocalLowPriorityWork += q.choice.PrefillWork
		case own:
			c.LocalPrefillWork += q.choice.PrefillWork
		case q.late:
			c.RemoteLowPriorityWork += float64(q.choice.PrefillWork)
		default:
			c.RemotePrefillWork += float64(q.choice.PrefillWork)
		}
	}
	return list
}
