// Package profiler estimates how fast the engines of each service work, from the
// durations of prefills and decodes, and the demand of the arriving requests. It
// starts from rough assumptions, which the first measurements override. The
// measurements of all instances of a fleet are summed.
package profiler

import (
	"maps"
	"math"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// decayTime is the time in which the weight of a measurement falls to 1/e. It
	// covers several swings of the request mix and is short compared to changes of
	// the fleet.
	decayTime = 10 * timekeeper.Second
	// refreshInterval is how long an estimate is used before it is computed again.
	refreshInterval = 100 * timekeeper.Millisecond
	// minRequests is the weight of requests from which the demand counts as known.
	minRequests = 20
)

// Profile is the estimate for the engines of a service and the demand on them.
type Profile struct {
	Base            float64 // Milliseconds of a prefill that don't depend on the prompt's length.
	PerToken        float64 // Milliseconds of prefill for each token.
	PerPair         float64 // Milliseconds of prefill for each pair of a token and an earlier one.
	PrefillError    float64 // Root mean squared error of the expected prefill times, in milliseconds.
	MeanPrefillWork float64 // Mean prefill work of a request, in microseconds.
	SlotTime        float64 // Mean time for which a decode holds its slot, in milliseconds.
	PerOutput       float64 // Milliseconds of a decode for each token that it may generate.
	// Slowdown is the relative increase of a decode's time at an engine utilization of
	// one half, compared to an empty engine.
	Slowdown      float64
	EventInterval float64 // Milliseconds between two events of a stream at an empty engine; 0 if unknown.

	// Known tells whether enough requests were seen to know the demand, which includes
	// refused requests.
	Known         bool
	PrefillDemand float64 // Prefill demand, as the number of engines that it keeps busy.
}

// PrefillWork returns the prefill work of the last tokens of a prompt, in microseconds
// of a reference engine. Each token attends to all tokens before it.
func (p Profile) PrefillWork(tokens, prompt int) int {
	return WorkFromMillis(float64(tokens)*p.PerToken + Pairs(tokens, prompt)*p.PerPair)
}

// WorkMillis converts prefill work to milliseconds.
func WorkMillis(work float64) float64 { return work / microsPerMilli }

// WorkFromMillis converts milliseconds to prefill work.
func WorkFromMillis(millis float64) int { return int(microsPerMilli * millis) }

const microsPerMilli = 1000

// Pairs returns the number of pairs of one of a prompt's last tokens and an earlier token.
func Pairs(tokens, prompt int) float64 {
	return max(float64(tokens)*(float64(prompt)-float64(tokens)/2), 0)
}

// Profiler holds the measurements of one instance. It is safe for concurrent use.
type Profiler struct {
	clock      timekeeper.Clock
	remoteSums func(service string) Sums

	mu       sync.Mutex
	services map[string]*serviceStats
}

// serviceStats holds this instance's measurements of one service.
type serviceStats struct {
	sums      Sums
	decayedAt timekeeper.Reading // When the decay was last applied to the sums.
	profile   Profile
	fittedAt  timekeeper.Reading
}

// New returns a profiler without measurements.
func New(c timekeeper.Clock) *Profiler {
	return &Profiler{clock: c, remoteSums: func(string) Sums { return Sums{} }, services: map[string]*serviceStats{}}
}

// SetRemoteSums sets the function that returns the sums of other instances.
func (p *Profiler) SetRemoteSums(remoteSums func(service string) Sums) { p.remoteSums = remoteSums }

// Prefill is the measurement of one prefill.
type Prefill struct {
	Tokens     int // Tokens that were prefilled, not taken from the engine's cache.
	Prompt     int // Tokens of the whole prompt.
	QueuedWork int // Prefill work queued before it, in microseconds.
	Duration   timekeeper.Millis
}

// RecordPrefill records a prefill.
func (p *Profiler) RecordPrefill(service string, r Prefill) {
	if r.Tokens <= 0 || r.Duration <= 0 {
		return
	}
	p.add(service, func(s *Sums) { s.addPrefill(r) })
}

// RecordDecode records a decode that held a slot for some time: output bounds the
// tokens that it generates, and utilization is that of its engine.
func (p *Profiler) RecordDecode(service string, duration timekeeper.Millis, output int, utilization float64) {
	p.add(service, func(s *Sums) { s.addDecode(float64(duration), float64(output), min(max(utilization, 0), 1)) })
}

// RecordStream records that the events of a stream after the first took some time at an
// engine of a utilization. It returns that time as a multiple of what the profile expected,
// or 0 if it expected nothing yet.
func (p *Profiler) RecordStream(service string, duration timekeeper.Millis, events int, utilization float64) float64 {
	profile := p.Profile(service)
	empty := float64(duration) / (1 + profile.Slowdown*min(max(utilization, 0), 1)/halfUtilized)
	expected := profile.EventInterval * float64(events)
	if expected > 0 {
		empty = min(empty, outlierFactor*expected) // One hung engine makes no other look quick.
	}
	p.add(service, func(s *Sums) { s.addStream(empty, float64(events)) })
	if expected <= 0 {
		return 0
	}
	return empty / expected
}

// RecordArrival records an arriving request, whether it is served or not, with its
// prefill work.
func (p *Profiler) RecordArrival(service string, work int) {
	p.add(service, func(s *Sums) { s.addRequest(float64(work)) })
}

func (p *Profiler) add(service string, update func(*Sums)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.decayed(service).sums)
}

// decayed returns the statistics of a service with the decay applied. The caller
// holds mu.
func (p *Profiler) decayed(service string) *serviceStats {
	now := p.clock.Read()
	stats := p.services[service]
	if stats == nil {
		stats = &serviceStats{decayedAt: now}
		p.services[service] = stats
	}
	if span := now.Since(stats.decayedAt); span > 0 {
		stats.sums.scale(math.Exp(-float64(span) / float64(decayTime)))
		stats.decayedAt = now
	}
	return stats
}

// LocalSums returns this instance's sums of each service.
func (p *Profiler) LocalSums() map[string]Sums {
	p.mu.Lock()
	defer p.mu.Unlock()
	local := make(map[string]Sums, len(p.services))
	for service := range maps.Keys(p.services) {
		local[service] = p.decayed(service).sums
	}
	return local
}

// Profile returns the estimate for a service from the measurements of all instances.
func (p *Profiler) Profile(service string) Profile {
	if cached, ok := p.cachedProfile(service); ok {
		return cached
	}
	remote := p.remoteSums(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.decayed(service)
	stats.profile, stats.fittedAt = stats.sums.Plus(remote).profile(), p.clock.Read()
	return stats.profile
}

// ShortestPrefillTime returns the shortest mean prefill time of all services, or 0 if
// none is known.
func (p *Profiler) ShortestPrefillTime() timekeeper.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := timekeeper.Millis(0)
	for _, s := range p.services {
		if !s.profile.Known {
			continue
		}
		if duration := timekeeper.Millis(s.profile.Base + WorkMillis(s.profile.MeanPrefillWork)); shortest == 0 || duration < shortest {
			shortest = duration
		}
	}
	return shortest
}

// cachedProfile returns the last estimate unless it is stale.
func (p *Profiler) cachedProfile(service string) (Profile, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.services[service]
	if stats == nil || stats.profile == (Profile{}) || p.clock.Read().Since(stats.fittedAt) >= refreshInterval {
		return Profile{}, false
	}
	return stats.profile, true
}
