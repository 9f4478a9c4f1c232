package limiter

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Time constants of buckets and of demand.
const (
	// rateBurst is the burst of request and token limits: one gossip period.
	rateBurst = 1.0
	// spendBurst is a minute, because spend is bounded by the hour.
	spendBurst = 60.0
	// demandMemory is the time constant, in seconds, over which offered load is averaged.
	demandMemory = 2.0
)

// levels are amounts for each limit that has a rate.
type levels struct{ requests, tokens, spend float64 }

// limits are the limits of a contract per second; 0 means no limit.
type limits struct {
	rate       levels
	concurrent float64
}

func limitsOf(w declarer.Workspace) limits {
	limit := w.Limit()
	return limits{
		rate:       levels{limit.RequestsPerSecond, limit.TokensPerSecond, w.SpendCeilingPerHour / 3600},
		concurrent: float64(limit.ConcurrentRequests),
	}
}

func (l limits) none() bool { return l == limits{} }

// entry is the state of one workspace: token buckets that refill at the
// instance's share of each limit, and the load that was offered.
type entry struct {
	name     string
	limits   limits
	level    levels
	rate     levels
	slots    int
	running  int
	computed timekeeper.Millis
	filled   timekeeper.Millis

	// load is the offered load per second, refused requests included.
	load    levels
	counted timekeeper.Millis
	// held is the average time that a request stays, in seconds.
	held    float64
	history history
}

func (e *entry) capacity() levels {
	return levels{e.rate.requests * rateBurst, e.rate.tokens * rateBurst, e.rate.spend * spendBurst}
}

// share computes the instance's part of each limit.
func (e *entry) share(now timekeeper.Millis, l *Limiter) {
	v := l.view(now)
	p := l.portion(now, e.name, e.history.confirmed(now, l.timing.hold()))
	f := l.fraction(v, p)
	e.rate = levels{e.limits.rate.requests * f, e.limits.rate.tokens * f, e.limits.rate.spend * f}
	e.slots = l.slots(v, p, e.name, e.limits.concurrent)
	if e.slots == 0 && e.total(now, l) < lightPressure {
		e.slots = 1
	}
	e.computed = now
}

// total returns all known demand, the unconfirmed demand of this instance included.
func (e *entry) total(now timekeeper.Millis, l *Limiter) float64 {
	total := e.offered(now)
	for _, d := range l.demands[e.name] {
		total += d.Pressure
	}
	return total
}

// refill adds what the shares allow since the last call. Between two
// computations the smaller of both shares counts.
func (e *entry) refill(now timekeeper.Millis, l *Limiter) {
	rate := e.rate
	if now-e.computed >= refreshEvery {
		e.share(now, l)
		rate = rate.smaller(e.rate)
	}
	elapsed := max(now-e.filled, 0).Seconds()
	e.filled = max(now, e.filled)
	e.level = levels{
		e.level.requests + rate.requests*elapsed,
		e.level.tokens + rate.tokens*elapsed,
		e.level.spend + rate.spend*elapsed,
	}.smaller(e.capacity())
}

func (v levels) smaller(other levels) levels {
	return levels{min(v.requests, other.requests), min(v.tokens, other.tokens), min(v.spend, other.spend)}
}

// charge takes an amount from the buckets of limits that the contract has.
func (e *entry) charge(requests float64, a Amount) {
	if e.limits.rate.requests > 0 {
		e.level.requests -= requests
	}
	if e.limits.rate.tokens > 0 {
		e.level.tokens -= a.Tokens
	}
	if e.limits.rate.spend > 0 {
		e.level.spend -= a.Spend
	}
}

// refuse returns the refusal with the longest retry time, or nil. A request is
// admitted while a bucket is above empty and may take it into debt, so that one
// request larger than the share is served and paid off later. A limit of which
// the request uses nothing does not refuse it.
func (e *entry) refuse(a Amount) *Refusal {
	var worst *Refusal
	check := func(d Dimension, used, limit, level, rate float64) {
		if used <= 0 || limit <= 0 || level > 0 {
			return
		}
		retry := retryTime(-level / rate)
		if worst == nil || retry > worst.RetryAfter {
			worst = &Refusal{Dimension: d, RetryAfter: retry}
		}
	}
	check(Requests, 1, e.limits.rate.requests, e.level.requests, e.rate.requests)
	check(Tokens, a.Tokens, e.limits.rate.tokens, e.level.tokens, e.rate.tokens)
	check(Spend, a.Spend, e.limits.rate.spend, e.level.spend, e.rate.spend)
	if e.limits.concurrent > 0 && e.running >= e.slots {
		retry := retryTime(e.held / float64(max(e.slots, 1)))
		if worst == nil || retry > worst.RetryAfter {
			worst = &Refusal{Dimension: Concurrent, RetryAfter: retry}
		}
	}
	return worst
}

func retryTime(seconds float64) timekeeper.Millis {
	wait := timekeeper.Millis(math.Ceil(min(seconds, maxRetry.Seconds()) * float64(timekeeper.Second)))
	return min(max(wait, minRetry), maxRetry)
}

// offer counts a request into the offered load.
func (e *entry) offer(now timekeeper.Millis, a Amount) {
	e.fade(now)
	e.load.requests += 1 / demandMemory
	e.load.tokens += a.Tokens / demandMemory
	e.load.spend += a.Spend / demandMemory
}

func (e *entry) fade(now timekeeper.Millis) {
	if elapsed := (now - e.counted).Seconds(); elapsed > 0 {
		keep := math.Exp(-elapsed / demandMemory)
		e.load.requests *= keep
		e.load.tokens *= keep
		e.load.spend *= keep
		e.counted = now
	}
}

// offered returns the offered load as a fraction of the limit it comes closest
// to. Offered concurrency is the request rate times the time a request stays.
func (e *entry) offered(now timekeeper.Millis) float64 {
	e.fade(now)
	pressure := 0.0
	for _, pair := range [][2]float64{
		{e.load.requests, e.limits.rate.requests},
		{e.load.tokens, e.limits.rate.tokens},
		{e.load.spend, e.limits.rate.spend},
		{max(e.load.requests*e.held, float64(e.running)), e.limits.concurrent},
	} {
		if pair[1] > 0 {
			pressure = max(pressure, pair[0]/pair[1])
		}
	}
	return min(pressure, maxPressure)
}

// idle reports whether the entry holds nothing that a new one would not.
func (e *entry) idle(now timekeeper.Millis) bool {
	full := e.capacity()
	return e.running == 0 && e.level == full && e.history.published == 0 && e.offered(now) < minPressure
}
