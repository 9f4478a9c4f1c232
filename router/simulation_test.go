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
	step           = 10 * timekeeper.Millisecond
	reportInterval = 500 * timekeeper.Millisecond
	reportDelay    = timekeeper.Second
	deltaInterval  = 500 * timekeeper.Millisecond
	deltaDelay     = 100 * timekeeper.Millisecond
	eventDelay     = 2 * timekeeper.Second
	eventLossShare = 0.3
	cacheCapacity  = 60_000
	transferRatio  = 1.7 // Simulated over nominal time of a KV cache transfer.
)

// job is one attempt in the simulation.
type job struct {
	request      Request
	crashes      bool
	arrivedAt    timekeeper.Millis
	instance     int
	choice       Choice
	cached       int
	prefill      float64
	output       float64
	readyAt      timekeeper.Millis // End of the KV cache transfer.
	startedAt    timekeeper.Millis
	firstTokenAt timekeeper.Millis
	attempts     int
	done         func(j *job, ok bool)
}

// engine simulates continuous batching, prefill in order of arrival and a prefix cache.
type engine struct {
	declarer.Target
	jobs       []*job
	cache      map[uint64]*list.Element
	order      *list.List
	cachedSize int
	downUntil  timekeeper.Millis // End of an outage.
}

type cached struct {
	digest uint64
	tokens int
}

func (e *engine) cachedTokens(q Request) int {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		if element, ok := e.cache[q.Prefixes[i].Digest]; ok {
			e.order.MoveToFront(element)
			return q.Prefixes[i].Bytes / 4
		}
	}
	return 0
}

// store caches the prompt and returns the digests that it evicted.
func (e *engine) store(q Request) (evicted []uint64) {
	below := 0
	for _, p := range q.Prefixes {
		if element, ok := e.cache[p.Digest]; ok {
			e.order.MoveToFront(element)
		} else {
			e.cache[p.Digest] = e.order.PushFront(cached{p.Digest, p.Bytes/4 - below})
			e.cachedSize += p.Bytes/4 - below
		}
		below = p.Bytes / 4
	}
	for e.cachedSize > cacheCapacity {
		c := e.order.Remove(e.order.Back()).(cached)
		delete(e.cache, c.digest)
		e.cachedSize -= c.tokens
		evicted = append(evicted, c.digest)
	}
	return evicted
}

// fleet simulates engines and instances in virtual time.
type fleet struct {
	now          timekeeper.Millis
	engines      map[string]*engine
	names        []string
	routers      []*Router
	random       *rand.Rand
	scheduled    map[timekeeper.Millis][]func()
	promptTokens float64 // Prompt tokens of all started jobs.
	cachedTokens float64 // Prompt tokens of them that were cached.
	onCrash      func(e *engine, lost []*job)
}

func newFleet(instances int, c *declarer.Catalogue) *fleet {
	f := &fleet{now: start, engines: map[string]*engine{}, random: rand.New(rand.NewPCG(11, 12)), scheduled: map[timekeeper.Millis][]func(){}}
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
	f.scheduled[at] = append(f.scheduled[at], do)
}

// submit queues a job on its engine and reports whether the engine accepted it.
func (f *fleet) submit(j *job) bool {
	e := f.engines[j.choice.Target]
	if e.downUntil > f.now {
		return false
	}
	j.startedAt, j.firstTokenAt = f.now, 0
	prefillEngine := e
	if j.choice.Prefill != "" {
		prefillEngine = f.engines[j.choice.Prefill]
	}
	j.cached = min(prefillEngine.cachedTokens(j.request), j.request.PromptTokens-1)
	f.promptTokens += float64(j.request.PromptTokens)
	f.cachedTokens += float64(j.cached)
	j.prefill, j.output = float64(j.request.PromptTokens-j.cached), float64(j.request.OutputTokens)
	prefillEngine.jobs = append(prefillEngine.jobs, j)
	return true
}

// advance runs the simulation for one step.
func (f *fleet) advance() {
	f.now += step
	for _, do := range f.scheduled[f.now] {
		do()
	}
	delete(f.scheduled, f.now)
	for _, name := range f.names {
		f.advanceEngine(f.engines[name])
	}
	if f.now%reportInterval == 0 {
		for _, name := range f.names {
			f.report(f.engines[name])
		}
	}
	if f.now%deltaInterval == 0 {
		for i := range f.routers {
			f.broadcast(i)
		}
	}
}

// broadcast sends an instance's delta to all others.
func (f *fleet) broadcast(i int) {
	d := f.routers[i].Delta(f.now)
	f.after(deltaDelay, func() {
		for k, peer := range f.routers {
			if k != i {
				peer.ObserveDelta(d, f.now)
			}
		}
	})
}

func (f *fleet) advanceEngine(e *engine) {
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
		transferred := j.choice.Prefill == e.Name && j.prefill == 0
		if i < len(active) && j.prefill == 0 && !transferred && j.readyAt <= f.now {
			j.output -= rate
		}
		switch {
		case transferred:
		case j.output <= 0:
			j.done(j, true)
		default:
			keep = append(keep, j)
		}
	}
	e.jobs = keep
	for _, j := range keep {
		if j.crashes && j.firstTokenAt > 0 {
			e.jobs, e.downUntil = nil, f.now+20*timekeeper.Second
			f.onCrash(e, keep)
			return
		}
	}
}

// computed ends a prefill: the prompt is cached and, with a split, its KV cache is
// transferred to the decode target.
func (f *fleet) computed(e *engine, j *job) {
	evicted, r := e.store(j.request), f.routers[j.instance]
	j.firstTokenAt = f.now
	r.PrefillDone(j.choice.ID, f.now)
	event := CacheEvent{Target: e.Name, At: f.now, Evicted: evicted}
	for _, p := range j.request.Prefixes {
		event.Stored = append(event.Stored, p.Digest)
	}
	if f.random.Float64() >= eventLossShare {
		f.after(eventDelay, func() {
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
	f.after(reportDelay, func() {
		for _, r := range f.routers {
			r.ObserveReport(p, f.now)
		}
	})
}

// policy chooses a target for a request at one instance.
type policy func(f *fleet, instance int, q Request) (Choice, error)

func routerPolicy(f *fleet, instance int, q Request) (Choice, error) {
	return f.routers[instance].Choose(q, f.now)
}

// roundRobin chooses the targets in turn, independently on each instance.
func roundRobin() policy {
	next := map[int]int{}
	return func(f *fleet, instance int, _ Request) (Choice, error) {
		next[instance]++
		return Choice{Target: f.names[(instance+next[instance])%len(f.names)]}, nil
	}
}

// leastLoaded chooses the target with the fewest requests in the last reports.
func leastLoaded(f *fleet, instance int, _ Request) (Choice, error) {
	r, best := f.routers[instance], f.names[0]
	for _, name := range f.names {
		if r.targets[name].reported.requests < r.targets[best].reported.requests {
			best = name
		}
	}
	return Choice{Target: best}, nil
}
