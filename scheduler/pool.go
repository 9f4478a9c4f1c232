package scheduler

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Capacity describes a route pool as an instance sees it.
type Capacity struct {
	// Targets is the number of targets that take work.
	Targets int
	// Prefill and Decode are the speeds of all targets together, in tokens per second.
	Prefill float64
	Decode  float64
	// Slots is the number of requests that all targets run at once.
	Slots int
}

const (
	// speedMemory is the number of requests over which service speed is averaged.
	speedMemory = 64
	// drainMemory is the time, in seconds, over which the drain rate is averaged.
	drainMemory = 5.0
	minDrain    = 0.2
	maxDrain    = 2.0
	// fixedPrefill is the fixed part of the time to a first token (network, batch
	// step), as prefill tokens. Without it, prompts of a few tokens make the time
	// for each token look so long that a dossier seems to hold its target for
	// seconds after it is done.
	fixedPrefill = 256
)

// pool is the capacity with the speeds that requests really saw.
type pool struct {
	Capacity
	// share is the part of the pool that this instance may use.
	share float64
	// prefill and output are the time spent and the tokens of recent requests.
	prefill speed
	output  speed
	drain   speed
	last    timekeeper.Millis
	busy    bool
}

// speed is a fading ratio of seconds and work.
type speed struct{ seconds, work float64 }

func (v *speed) add(seconds, work, keep float64) {
	v.seconds = v.seconds*keep + seconds
	v.work = v.work*keep + work
}

// SetCapacity replaces the capacity of the pool. A pool without targets keeps
// its speeds, so that work that still ends is charged as before.
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

// prefillSeconds is the time that this instance's part of the pool needs for a prefill token.
func (p *pool) prefillSeconds() float64 { return 1 / max(p.Prefill*p.share, 1) }

// service returns the expected time to the first token and to the end once a
// request runs. Requests that ran recently tell; before any did, an idle
// target's prefill speed and a full batch's output interval stand in.
func (p *pool) service(c estimator.Cost) (first, whole timekeeper.Millis) {
	const prior = 16
	targets := float64(max(p.Targets, 1))
	prefill, output := p.prefill, p.output
	prefill.add(prior*256*targets/max(p.Prefill, 1), prior*256, 1)
	output.add(prior*64*float64(max(p.Slots, 1))/max(p.Decode, 1), prior*64, 1)
	first = milliseconds((c.Prefill + fixedPrefill) * prefill.seconds / prefill.work)
	return first, first + milliseconds(c.Output*output.seconds/output.work)
}

func milliseconds(seconds float64) timekeeper.Millis {
	return timekeeper.Millis(math.Ceil(min(seconds, 1e6) * float64(timekeeper.Second)))
}

// latest returns the last time at which a request can start and be in time.
func (p *pool) latest(it *item) timekeeper.Millis {
	first, whole := p.service(it.Cost)
	latest := it.Arrived + timekeeper.Millis(it.Class.DeadlineMilliseconds) - whole
	if it.Class.FirstTokenMilliseconds > 0 {
		latest = min(latest, it.Arrived+timekeeper.Millis(it.Class.FirstTokenMilliseconds)-first)
	}
	return latest
}

func (p *pool) observePrefill(tokens float64, took timekeeper.Millis) {
	p.prefill.add(max(took, 0).Seconds(), max(tokens, 0)+fixedPrefill, 1-1.0/speedMemory)
}

func (p *pool) observeOutput(tokens float64, took timekeeper.Millis) {
	p.output.add(max(took, 0).Seconds(), max(tokens, 1), 1-1.0/speedMemory)
}

// drained measures how much work starts while chat waits. Dossiers alone do not
// use the whole pool, so they tell nothing of its speed.
func (p *pool) drained(now timekeeper.Millis, started []Request, waiting bool) {
	elapsed := max(now-p.last, 0).Seconds()
	if p.busy && elapsed < drainMemory {
		work := 0.0
		for _, r := range started {
			work += p.seconds(r.Cost)
		}
		p.drain.add(elapsed*p.share, work, math.Exp(-elapsed/drainMemory))
	}
	p.last, p.busy = max(now, p.last), waiting
}

// rate is the work, in seconds of the whole pool, that this instance starts per second.
func (p *pool) rate() float64 {
	const prior = 1.0
	drain := (p.drain.work + prior) / (p.drain.seconds + prior)
	return min(max(drain, minDrain), maxDrain) * max(p.share, 1e-3)
}

// wait estimates how long a request would wait: for all work ahead in its band,
// or until the virtual time reaches its turn, whichever is shorter.
func (s *Scheduler) wait(it *item) timekeeper.Millis {
	f := it.flow
	ahead, own := s.queued[chatBand], f.cost[chatBand]
	if it.dossier {
		ahead, own = ahead+s.queued[dossierBand], own+f.cost[dossierBand]
	}
	weights := s.weights
	if f.waiting() == 0 {
		weights += f.weight
	}
	turn := max(f.tag-s.virtual+own/f.weight, 0) * weights
	return milliseconds(min(ahead, turn) / s.pool.rate())
}

// lateness returns by how much a request would miss its deadline; 0 means that it can make it.
func (s *Scheduler) lateness(now timekeeper.Millis, it *item) timekeeper.Millis {
	if s.pool.slots() == 0 {
		return max(now-it.latest, 0)
	}
	return max(now+s.wait(it)-it.latest, 0)
}

// backlogTime is the time that all waiting work needs.
func (s *Scheduler) backlogTime() timekeeper.Millis {
	return milliseconds((s.queued[chatBand] + s.queued[dossierBand]) / s.pool.rate())
}
