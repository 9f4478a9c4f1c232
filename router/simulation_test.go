package router

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	step          = 10 * timekeeper.Millisecond
	reportEvery   = 500 * timekeeper.Millisecond
	reportLag     = timekeeper.Second
	deltaEvery    = 500 * timekeeper.Millisecond
	deltaLag      = 100 * timekeeper.Millisecond
	eventLag      = 2 * timekeeper.Second
	eventLoss     = 0.3
	cacheTokens   = 60_000
	transferRatio = 1.7 // Measured over nominal KV cache transfer.
)

// job is one attempt in the simulation.
type job struct {
	request  Request
	crashes  bool
	arrived  timekeeper.Millis
	instance int
	choice   Choice
	cached   int
	prefill  float64
	output   float64
	readyAt  timekeeper.Millis // End of the KV cache transfer.
	began    timekeeper.Millis
	first    timekeeper.Millis
	attempts int
	done     func(j *job, ok bool)
}

// engine batches continuously, computes prompts in order and caches prefixes.
type engine struct {
	declarer.Target
	jobs  []*job
	cache map[uint64]*list.Element
	order *list.List
	size  int
	down  timekeeper.Millis // Out of service until then.
}

type cached struct {
	digest uint64
	tokens int
}

func (e *engine) hit(q Request) int {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		if element, ok := e.cache[q.Prefixes[i].Digest]; ok {
			e.order.MoveToFront(element)
			return q.Prefixes[i].Bytes / 4
		}
	}
	return 0
}

// store caches the prompt and returns what it evicted.
func (e *engine) store(q Request) (evicted []uint64) {
	below := 0
	for _, p := range q.Prefixes {
		if element, ok := e.cache[p.Digest]; ok {
			e.order.MoveToFront(element)
		} else {
			e.cache[p.Digest] = e.order.PushFront(cached{p.Digest, p.Bytes/4 - below})
			e.size += p.Bytes/4 - below
		}
		below = p.Bytes / 4
	}
	for e.size > cacheTokens {
		c := e.order.Remove(e.order.Back()).(cached)
		delete(e.cache, c.digest)
		e.size -= c.tokens
		evicted = append(evicted, c.digest)
	}
	return evicted
}

// fleet runs engines and instances in virtual time.
type fleet struct {
	now     timekeeper.Millis
	engines map[string]*engine
	names   []string
	routers []*Router
	random  *rand.Rand
	later   map[timekeeper.Millis][]func()
	prompt  float64 // Prompt tokens of all started jobs.
	hits    float64 // Of these, from caches.
	crashed func(e *engine, lost []*job)
}

func newFleet(instances int, c *declarer.Catalogue) *fleet {
	f := &fleet{now: start, engines: map[string]*engine{}, random: rand.New(rand.NewPCG(11, 12)), later: map[timekeeper.Millis][]func(){}}
	for _, d := range c.Declaration().Targets {
		f.engines[d.Name] = &engine{Target: d, cache: map[uint64]*list.Element{}, order: list.New()}
		f.names = append(f.names, d.Name)
	}
	sort.Strings(f.names)
	for i := range instances {
		f.routers = append(f.routers, newRouter(fmt.Sprintf("i%02d", i), c))
	}
	return f
}

func (f *fleet) after(d timekeeper.Millis, do func()) {
	at := f.now + max((d+step-1)/step, 1)*step
	f.later[at] = append(f.later[at], do)
}

// place puts a job on its engine; it reports whether the engine accepted it.
func (f *fleet) place(j *job) bool {
	e := f.engines[j.choice.Target]
	if e.down > f.now {
		return false
	}
	j.began, j.first = f.now, 0
	computes := e
	if j.choice.Prefill != "" {
		computes = f.engines[j.choice.Prefill]
	}
	j.cached = min(computes.hit(j.request), j.request.PromptTokens-1)
	f.prompt += float64(j.request.PromptTokens)
	f.hits += float64(j.cached)
	j.prefill, j.output = float64(j.request.PromptTokens-j.cached), float64(j.request.OutputTokens)
	computes.jobs = append(computes.jobs, j)
	return true
}

// advance moves the time by one step.
func (f *fleet) advance() {
	f.now += step
	for _, do := range f.later[f.now] {
		do()
	}
	delete(f.later, f.now)
	for _, name := range f.names {
		f.work(f.engines[name])
	}
	if f.now%reportEvery == 0 {
		for _, name := range f.names {
			f.report(f.engines[name])
		}
	}
	if f.now%deltaEvery == 0 {
		for i := range f.routers {
			f.broadcast(i)
		}
	}
}

// broadcast sends an instance's delta to all others.
func (f *fleet) broadcast(i int) {
	d := f.routers[i].Delta(f.now)
	f.after(deltaLag, func() {
		for k, peer := range f.routers {
			if k != i {
				peer.ObserveDelta(d, f.now)
			}
		}
	})
}

func (f *fleet) work(e *engine) {
	active := e.jobs[:min(len(e.jobs), e.Concurrency)]
	budget, tokens := e.PrefillTokensPerSecond*step.Seconds(), 0.0
	view := target{Target: e.Target}
	rate := float64(step) / view.tokenTime(float64(len(active)))
	for _, j := range active {
		if j.prefill > 0 {
			used := min(j.prefill, budget)
			j.prefill, budget, tokens = j.prefill-used, budget-used, tokens+used
			if j.prefill == 0 {
				f.computed(e, j)
			}
		}
	}
	if tokens > 0 {
		rate /= 2 // Prefill and decode share the accelerator.
	}
	keep := make([]*job, 0, len(e.jobs))
	for i, j := range e.jobs {
		moved := j.choice.Prefill == e.Name && j.prefill == 0
		if i < len(active) && j.prefill == 0 && !moved && j.readyAt <= f.now {
			j.output -= rate
		}
		switch {
		case moved:
		case j.output <= 0:
			j.done(j, true)
		default:
			keep = append(keep, j)
		}
	}
	e.jobs = keep
	for _, j := range keep {
		if j.crashes && j.first > 0 {
			e.jobs, e.down = nil, f.now+20*timekeeper.Second
			f.crashed(e, keep)
			return
		}
	}
}

// computed ends a prefill: the prompt is cached and, for a split, moves on.
func (f *fleet) computed(e *engine, j *job) {
	evicted, r := e.store(j.request), f.routers[j.instance]
	j.first = f.now
	r.Computed(j.choice.ID, f.now)
	event := CacheEvent{Target: e.Name, At: f.now, Evicted: evicted}
	for _, p := range j.request.Prefixes {
		event.Stored = append(event.Stored, p.Digest)
	}
	if f.random.Float64() >= eventLoss {
		f.after(eventLag, func() {
			for _, r := range f.routers {
				r.ObserveCache(event, f.now)
			}
		})
	}
	if j.choice.Prefill == e.Name {
		nominal := 5 + float64(j.request.PromptTokens)*131072*1000/4e9
		j.readyAt = f.now + timekeeper.Millis(math.Round(nominal*transferRatio))
		f.engines[j.choice.Target].jobs = append(f.engines[j.choice.Target].jobs, j)
	}
}

func (f *fleet) report(e *engine) {
	p := Report{Target: e.Name, At: f.now}
	for i, j := range e.jobs {
		if i < e.Concurrency {
			p.Running++
		} else {
			p.Waiting++
		}
		p.PrefillTokens += int(j.prefill)
		p.OutputTokens += int(j.output)
	}
	f.after(reportLag, func() {
		for _, r := range f.routers {
			r.ObserveReport(p, f.now)
		}
	})
}

// policy chooses a target for a request at one instance.
type policy func(f *fleet, instance int, q Request) (Choice, error)

func routed(f *fleet, instance int, q Request) (Choice, error) {
	return f.routers[instance].Choose(q, f.now)
}

// roundRobin takes the targets in turn, each instance on its own.
func roundRobin() policy {
	next := map[int]int{}
	return func(f *fleet, instance int, _ Request) (Choice, error) {
		next[instance]++
		return Choice{Target: f.names[(instance+next[instance])%len(f.names)]}, nil
	}
}

// leastLoaded takes the target with the fewest requests in the last report.
func leastLoaded(f *fleet, instance int, _ Request) (Choice, error) {
	r, best := f.routers[instance], f.names[0]
	for _, name := range f.names {
		if r.targets[name].reported.requests < r.targets[best].reported.requests {
			best = name
		}
	}
	return Choice{Target: best}, nil
}
