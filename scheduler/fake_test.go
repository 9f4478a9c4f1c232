package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	step = 10 * timekeeper.Millisecond
	// Speeds of a simulated engine, in tokens per second, and its batch size.
	prefillSpeed, decodeSpeed, streamSpeed, batch = 8000.0, 1500.0, 100.0, 16
)

// job is a request in the simulation.
type job struct {
	Request
	prefill, output float64 // Remaining tokens.
	size            estimator.Cost
	instance        int
	firstAt, doneAt timekeeper.Millis
}

// inTime reports whether the answer came within the deadlines of its class.
func (j *job) inTime() bool {
	first := timekeeper.Millis(j.Class.FirstTokenMilliseconds)
	return j.doneAt > 0 && j.doneAt <= j.Arrived+timekeeper.Millis(j.Class.DeadlineMilliseconds) &&
		(first == 0 || j.firstAt <= j.Arrived+first)
}

// engine simulates continuous batching. Each step first decodes all streams and
// spends the rest on prefills by priority. If both phases have work, each gets at
// least half of the step.
type engine struct{ jobs []*job }

func (e *engine) step(now timekeeper.Millis) (first, done []*job) {
	budget := step.Seconds()
	var prefills, decodes []*job
	for i, j := range e.jobs {
		if i >= batch {
			break
		}
		if j.prefill > 0 {
			prefills = append(prefills, j)
		} else {
			decodes = append(decodes, j)
		}
	}
	slices.SortStableFunc(prefills, func(a, b *job) int { return cmp.Compare(b.Class.Priority, a.Class.Priority) })
	prefillNeed, decodeNeed := 0.0, 0.0
	for _, j := range prefills {
		prefillNeed += j.prefill / prefillSpeed
	}
	for _, j := range decodes {
		decodeNeed += min(streamSpeed*budget, j.output) / decodeSpeed
	}
	decode := min(decodeNeed, max(budget-prefillNeed, budget/2))
	for _, j := range decodes {
		if j.output -= min(streamSpeed*budget, j.output) * decode / decodeNeed; j.output <= 1e-6 {
			j.doneAt = now
			done = append(done, j)
		}
	}
	tokens := (budget - decode) * prefillSpeed
	for _, j := range prefills {
		spent := min(tokens, j.prefill)
		tokens -= spent
		if j.prefill -= spent; j.prefill <= 1e-6 {
			j.prefill, j.firstAt = 0, now
			first = append(first, j)
		}
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.doneAt > 0 })
	return first, done
}

// policy is a scheduling policy under test. It receives arrivals and starts jobs.
type policy interface {
	arrive(now timekeeper.Millis, j *job)
	tick(now timekeeper.Millis, engines []*engine)
	progress(now timekeeper.Millis, first, done []*job)
}

// simulate plays arrivals against a policy in simulated time until end.
func simulate(engines int, arrivals []*job, end timekeeper.Millis, p policy) {
	fleet := make([]*engine, engines)
	for i := range fleet {
		fleet[i] = &engine{}
	}
	for now := step; now < end; now += step {
		for len(arrivals) > 0 && arrivals[0].Arrived <= now {
			p.arrive(now, arrivals[0])
			arrivals = arrivals[1:]
		}
		p.tick(now, fleet)
		for _, e := range fleet {
			first, done := e.step(now)
			p.progress(now, first, done)
		}
	}
}

func leastLoaded(engines []*engine) *engine {
	return slices.MinFunc(engines, func(a, b *engine) int { return cmp.Compare(len(a.jobs), len(b.jobs)) })
}

// firstCome is the baseline: one FIFO queue that feeds the least loaded engine.
// With expiry it drops waiting requests whose deadline has passed. Without a limit
// on slots it is plain least-loaded balancing, and requests wait at the engines.
type firstCome struct {
	queue  []*job
	slots  int
	expiry bool
	// firstToken makes waiting requests expire at their first-token deadline.
	firstToken bool
}

func (f *firstCome) arrive(_ timekeeper.Millis, j *job) { f.queue = append(f.queue, j) }

func (f *firstCome) tick(now timekeeper.Millis, engines []*engine) {
	for len(f.queue) > 0 {
		j, e := f.queue[0], leastLoaded(engines)
		due := j.Class.DeadlineMilliseconds
		if first := j.Class.FirstTokenMilliseconds; f.firstToken && first > 0 {
			due = first
		}
		if f.expiry && now > j.Arrived+timekeeper.Millis(due) {
			f.queue = f.queue[1:]
			continue
		}
		if len(e.jobs) >= f.slots {
			return
		}
		e.jobs = append(e.jobs, j)
		f.queue = f.queue[1:]
	}
}

func (f *firstCome) progress(timekeeper.Millis, []*job, []*job) {}

// scheduled runs the schedulers of several instances over the same engines.
// Service records arrive one gossip period after they were published.
type scheduled struct {
	schedulers []*Scheduler
	estimator  *estimator.Estimator
	jobs       map[string]*job
	records    []Service
}

func newScheduled(instances, engines int) *scheduled {
	p := &scheduled{estimator: estimator.New(), jobs: map[string]*job{}}
	names := []string{"a", "b", "c", "d"}[:instances]
	for _, name := range names {
		s := New(Origin{Instance: name, Pool: "pool"})
		n := float64(engines)
		s.SetCapacity(Capacity{Targets: engines, Prefill: n * prefillSpeed, Decode: n * decodeSpeed, Slots: engines * batch})
		s.SetInstances(names)
		p.schedulers = append(p.schedulers, s)
	}
	return p
}

func (p *scheduled) request(j *job) estimator.Request {
	return estimator.Request{Workspace: j.Workspace, Route: j.Class.Name, PromptBytes: int(4 * j.size.Prefill)}
}

func (p *scheduled) arrive(now timekeeper.Millis, j *job) {
	j.Cost = p.estimator.Estimate(p.request(j)).Cost
	p.jobs[j.ID] = j
	p.schedulers[j.instance].Submit(now, j.Request)
}

func (p *scheduled) tick(now timekeeper.Millis, engines []*engine) {
	for _, s := range p.schedulers {
		start, _ := s.Next(now)
		for _, r := range start {
			e := leastLoaded(engines)
			e.jobs = append(e.jobs, p.jobs[r.ID])
		}
	}
	if now%timekeeper.Second != 0 {
		return
	}
	for _, record := range p.records {
		for _, s := range p.schedulers {
			_ = s.MergeService(record)
		}
	}
	p.records = p.records[:0]
	for _, s := range p.schedulers {
		p.records = append(p.records, s.PublishService())
	}
}

func (p *scheduled) progress(now timekeeper.Millis, first, done []*job) {
	for _, j := range first {
		p.schedulers[j.instance].FirstToken(now, j.ID)
	}
	for _, j := range done {
		p.schedulers[j.instance].Finish(now, j.ID, j.size)
		p.estimator.Observe(p.request(j), estimator.Answer{PromptTokens: int(j.size.Prefill), OutputTokens: int(j.size.Output)})
	}
}

var (
	chatClass    = declarer.Class{Name: "chat", Priority: 7, FirstTokenMilliseconds: 1000, DeadlineMilliseconds: 10_000}
	dossierClass = declarer.Class{Name: "dossier", Priority: 3, DeadlineMilliseconds: 30_000}
)

// source is a Poisson stream of requests of one workspace and class.
type source struct {
	workspace      string
	class          declarer.Class
	perSecond      func(at timekeeper.Millis) float64
	prompt, output float64
	instances      []int
}

func constantRate(rate float64) func(timekeeper.Millis) float64 {
	return func(timekeeper.Millis) float64 { return rate }
}

// arrivals draws the jobs of all sources in order of time. Sizes vary by up to half.
func arrivals(seed uint64, end timekeeper.Millis, sources ...source) []*job {
	random := rand.New(rand.NewPCG(seed, 2))
	var jobs []*job
	for now := step; now < end; now += step {
		for _, s := range sources {
			if random.Float64() >= s.perSecond(now)*step.Seconds() {
				continue
			}
			size := estimator.Cost{Prefill: s.prompt * (0.5 + random.Float64()), Output: s.output * (0.5 + random.Float64())}
			j := &job{size: size, prefill: size.Prefill, output: size.Output, instance: s.instances[random.IntN(len(s.instances))]}
			j.Request = Request{ID: s.workspace + "/" + s.class.Name + now.String(), Workspace: s.workspace, Weight: 1, Class: s.class, Arrived: now}
			jobs = append(jobs, j)
		}
	}
	return jobs
}
