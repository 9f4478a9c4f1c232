package limiter

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Time constants of token buckets and of the offered load.
const (
	// rateBurstSeconds is the burst of request and token limits: one gossip period.
	rateBurstSeconds = 1.0
	// spendBurstSeconds is a minute, because the spend limit is per hour.
	spendBurstSeconds = 60.0
	// loadAverageSeconds is the time constant of the moving average of offered load.
	loadAverageSeconds = 2.0
)

// quantities holds one value for each limit that has a rate.
type quantities struct{ requests, tokens, spend float64 }

// limits are the limits of a contract per second; 0 means no limit.
type limits struct {
	rate       quantities
	concurrent float64
}

func limitsOf(w declarer.Workspace) limits {
	limit := w.EffectiveLimits()
	return limits{
		rate:       quantities{limit.RequestsPerSecond, limit.TokensPerSecond, w.SpendCeilingPerHour / 3600},
		concurrent: float64(limit.ConcurrentRequests),
	}
}

func (l limits) unlimited() bool { return l == limits{} }

// entry is the state of one workspace: token buckets that refill at the
// instance's share of each limit, and the offered load.
type entry struct {
	name            string
	limits          limits
	level           quantities
	rate            quantities
	slots           int
	running         int
	sharesUpdatedAt timekeeper.Millis
	refilledAt      timekeeper.Millis

	// load is the offered load per second, refused requests included.
	load      quantities
	decayedAt timekeeper.Millis
	// meanSeconds is the moving average of request durations.
	meanSeconds float64
	history     history
}

func (e *entry) capacity() quantities {
	return quantities{e.rate.requests * rateBurstSeconds, e.rate.tokens * rateBurstSeconds, e.rate.spend * spendBurstSeconds}
}

// updateShares recomputes the instance's share of each limit.
func (e *entry) updateShares(now timekeeper.Millis, l *Limiter) {
	m := l.shareMode(now)
	p := l.demandShare(now, e.name, e.history.confirmed(now, l.timing.confirmationTime()))
	f := l.fraction(m, p)
	e.rate = quantities{e.limits.rate.requests * f, e.limits.rate.tokens * f, e.limits.rate.spend * f}
	e.slots = l.slots(m, p, e.name, e.limits.concurrent)
	if e.slots == 0 && e.totalPressure(now, l) < lightPressure {
		e.slots = 1
	}
	e.sharesUpdatedAt = now
}

// totalPressure returns the demand of all instances, including the unconfirmed
// demand of this one.
func (e *entry) totalPressure(now timekeeper.Millis, l *Limiter) float64 {
	total := e.pressure(now)
	for _, d := range l.remoteDemand[e.name] {
		total += d.Pressure
	}
	return total
}

// refill adds what the shares allow since the last call. If the shares are
// recomputed, the smaller of the old and new rates applies to the elapsed time.
func (e *entry) refill(now timekeeper.Millis, l *Limiter) {
	rate := e.rate
	if now-e.sharesUpdatedAt >= refreshInterval {
		e.updateShares(now, l)
		rate = rate.smaller(e.rate)
	}
	elapsed := max(now-e.refilledAt, 0).Seconds()
	e.refilledAt = max(now, e.refilledAt)
	e.level = quantities{
		e.level.requests + rate.requests*elapsed,
		e.level.tokens + rate.tokens*elapsed,
		e.level.spend + rate.spend*elapsed,
	}.smaller(e.capacity())
}

func (v quantities) smaller(other quantities) quantities {
	return quantities{min(v.requests, other.requests), min(v.tokens, other.tokens), min(v.spend, other.spend)}
}

// charge takes an amount from the buckets of the limits in the contract.
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

// refusal returns the refusal with the longest retry time, or nil. A request is
// admitted while the buckets are above zero and may take them below, so that a
// request larger than the share is served and paid off later. A limit of which
// the request uses nothing does not refuse it.
func (e *entry) refusal(a Amount) *Refusal {
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
		retry := retryTime(e.meanSeconds / float64(max(e.slots, 1)))
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

// recordLoad adds a request to the offered load.
func (e *entry) recordLoad(now timekeeper.Millis, a Amount) {
	e.decayLoad(now)
	e.load.requests += 1 / loadAverageSeconds
	e.load.tokens += a.Tokens / loadAverageSeconds
	e.load.spend += a.Spend / loadAverageSeconds
}

func (e *entry) decayLoad(now timekeeper.Millis) {
	if elapsed := (now - e.decayedAt).Seconds(); elapsed > 0 {
		remaining := math.Exp(-elapsed / loadAverageSeconds)
		e.load.requests *= remaining
		e.load.tokens *= remaining
		e.load.spend *= remaining
		e.decayedAt = now
	}
}

// pressure returns the offered load as a fraction of the limit it comes closest
// to. Offered concurrency is the request rate times the mean request duration.
func (e *entry) pressure(now timekeeper.Millis) float64 {
	e.decayLoad(now)
	pressure := 0.0
	for _, pair := range [][2]float64{
		{e.load.requests, e.limits.rate.requests},
		{e.load.tokens, e.limits.rate.tokens},
		{e.load.spend, e.limits.rate.spend},
		{max(e.load.requests*e.meanSeconds, float64(e.running)), e.limits.concurrent},
	} {
		if pair[1] > 0 {
			pressure = max(pressure, pair[0]/pair[1])
		}
	}
	return min(pressure, maxPressure)
}

// idle reports whether the entry has the same state as a new one.
func (e *entry) idle(now timekeeper.Millis) bool {
	full := e.capacity()
	return e.running == 0 && e.level == full && e.history.published == 0 && e.pressure(now) < minPressure
}
