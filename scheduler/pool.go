package scheduler

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Capacity is the capacity of a route pool in the view of one instance.
type Capacity struct {
	// Targets is the number of targets that accept requests.
	Targets int
	// Prefill and Decode are the speeds of all targets together, in tokens per second.
	Prefill float64
	Decode  float64
	// Slots is the number of requests that all targets run at once.
	Slots int
}

const (
	// speedWindow is the number of requests over which service times are averaged.
	speedWindow = 64
	// drainTimeConstant is the time constant, in seconds, of the drain rate's average.
	drainTimeConstant = 5.0
	// minDrainRate and maxDrainRate limit the observed drain rate, in seconds of
	// work per second.
	minDrainRate = 0.2
	maxDrainRate = 2.0
	// fixedPrefillTokens is the fixed part of the time to the first token (network,
	// batch step), in prefill tokens. Without it, prompts of a few tokens make the
	// time per token look so long that a long prompt seems to occupy its target for
	// seconds after its prefill is done.
	fixedPrefillTokens = 256
)

// pool is the capacity with the service times and drain rate that were observed.
type pool struct {
	Capacity
	// share is the fraction of the pool that this instance may use.
	share float64
	// prefill and output are the time per token of recent requests.
	prefill movingRatio
	output  movingRatio
	// drain relates the time in which interactive requests waited to the work that
	// started in it. lastDrain is the time of the last observation, and backlogged
	// tells whether interactive requests waited then.
	drain      movingRatio
	lastDrain  timekeeper.Millis
	backlogged bool
}

// movingRatio is an exponentially weighted ratio of seconds to work.
type movingRatio struct{ seconds, work float64 }

func (r *movingRatio) add(seconds, work, decay float64) {
	r.seconds = r.seconds*decay + seconds
	r.work = r.work*decay + work
}

// SetCapacity replaces the capacity of the pool. A pool without targets keeps its
// previous speeds, so that requests that are still in flight are charged as before.
func (s *Scheduler) SetCapacity(c Capacity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Prefill <= 0 || c.Decode <= 0 {
		c.Prefill, c.Decode = s.pool.Prefill, s.pool.Decode
	}
	s.pool.Capacity = c
}

// slots is the number of requests that this instance may run at once.
func (p *pool) slots() int {
	if p.Targets == 0 || p.Slots == 0 {
		return 0
	}
	return max(int(math.Round(float64(p.Slots)*p.share)), 1)
}

// seconds converts a cost to seconds of the whole pool.
func (p *pool) seconds(c estimator.Cost) float64 {
	return c.Prefill/max(p.Prefill, 1) + c.Output/max(p.Decode, 1)
}

// secondsPerPrefillToken is the time per prefill token on this instance's share of the pool.
func (p *pool) secondsPerPrefillToken() float64 { return 1 / max(p.Prefill*p.share, 1) }

// expectedTimes returns the expected times from the start of a request to its
// first token and to its end. They are averages over recent requests; the prior
// is an idle target's prefill speed and the output interval of a full batch.
func (p *pool) expectedTimes(c estimator.Cost) (first, total timekeeper.Millis) {
	const prior = 16
	targets := float64(max(p.Targets, 1))
	prefill, output := p.prefill, p.output
	prefill.add(prior*256*targets/max(p.Prefill, 1), prior*256, 1)
	output.add(prior*64*float64(max(p.Slots, 1))/max(p.Decode, 1), prior*64, 1)
	first = milliseconds((c.Prefill + fixedPrefillTokens) * prefill.seconds / prefill.work)
	return first, first + milliseconds(c.Output*output.seconds/output.work)
}

func milliseconds(seconds float64) timekeeper.Millis {
	return timekeeper.Millis(math.Ceil(min(seconds, 1e6) * float64(timekeeper.Second)))
}

// latestStart returns the last time at which a request can start and meet its deadlines.
func (p *pool) latestStart(it *item) timekeeper.Millis {
	first, total := p.expectedTimes(it.Cost)
	latest := it.Arrived + timekeeper.Millis(it.Class.DeadlineMilliseconds) - total
	if it.Class.FirstTokenMilliseconds > 0 {
		latest = min(latest, it.Arrived+timekeeper.Millis(it.Class.FirstTokenMilliseconds)-first)
	}
	return latest
}

func (p *pool) observePrefill(tokens float64, took timekeeper.Millis) {
	p.prefill.add(max(took, 0).Seconds(), max(tokens, 0)+fixedPrefillTokens, 1-1.0/speedWindow)
}

func (p *pool) observeOutput(tokens float64, took timekeeper.Millis) {
	p.output.add(max(took, 0).Seconds(), max(tokens, 1), 1-1.0/speedWindow)
}

// observeDrain measures how much work starts while interactive requests wait.
// Background requests alone do not use the whole pool and do not show its speed.
func (p *pool) observeDrain(now timekeeper.Millis, started []Request, waiting bool) {
	elapsed := max(now-p.lastDrain, 0).Seconds()
	if p.backlogged && elapsed < drainTimeConstant {
		work := 0.0
		for _, r := range started {
			work += p.seconds(r.Cost)
		}
		p.drain.add(elapsed*p.share, work, math.Exp(-elapsed/drainTimeConstant))
	}
	p.lastDrain, p.backlogged = max(now, p.lastDrain), waiting
}

// drainRate is the work, in seconds of the whole pool, that this instance starts per second.
func (p *pool) drainRate() float64 {
	const prior = 1.0
	drain := (p.drain.work + prior) / (p.drain.seconds + prior)
	return min(max(drain, minDrainRate), maxDrainRate) * max(p.share, 1e-3)
}

// expectedWait estimates how long a request would wait: until all work in its
// band and the bands above has started, or until the virtual time reaches the end
// of its flow's queue, whichever is shorter.
func (s *Scheduler) expectedWait(it *item) timekeeper.Millis {
	f := it.flow
	total, inFlow := s.queuedSeconds[interactiveBand], f.queuedSeconds[interactiveBand]
	if it.background {
		total, inFlow = total+s.queuedSeconds[backgroundBand], inFlow+f.queuedSeconds[backgroundBand]
	}
	weight := s.waitingWeight
	if f.waiting() == 0 {
		weight += f.weight
	}
	fair := max(f.tag-s.virtualTime+inFlow/f.weight, 0) * weight
	return milliseconds(min(total, fair) / s.pool.drainRate())
}

// lateness returns by how much a request would miss its deadline, or 0 if it can meet it.
func (s *Scheduler) lateness(now timekeeper.Millis, it *item) timekeeper.Millis {
	if s.pool.slots() == 0 {
		return max(now-it.latestStart, 0)
	}
	return max(now+s.expectedWait(it)-it.latestStart, 0)
}

// backlogTime is the expected time to start all waiting work.
func (s *Scheduler) backlogTime() timekeeper.Millis {
	return milliseconds((s.queuedSeconds[interactiveBand] + s.queuedSeconds[backgroundBand]) / s.pool.drainRate())
}
