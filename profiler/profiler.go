// Package profiler learns how fast the engines of each service work from the
// answers that they give, and what work callers bring. It starts from a rough
// assumption, which the first readings overrule; what the instances of a fleet
// have seen adds up.
package profiler

import (
	"maps"
	"math"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// memorySpan is the time in which the weight of what was seen falls to 1/e. It
	// spans several swings of the mix, and is short against a change of the fleet.
	memorySpan = 10 * timekeeper.Second
	// refresh is how long an estimate is used before it is worked out anew.
	refresh = 100 * timekeeper.Millisecond
	// leastRequests is the weight of requests from which their work counts as known.
	leastRequests = 20
)

// Profile is what is believed of the engines of a service and of the work for them.
type Profile struct {
	Base      float64 // Milliseconds of a reading whatever the length of its prompt.
	PerToken  float64 // Milliseconds to read a token.
	PerPair   float64 // Milliseconds to relate a token to one before it.
	Error     float64 // Root of the mean squared error of expected readings, in milliseconds.
	Prompt    float64 // Mean effort of a reading, in microseconds.
	Hold      float64 // Mean time for which a run holds its place, in milliseconds.
	PerOutput float64 // Milliseconds of a run for each token that it may generate.
	// Slowdown is by how much, as a share, a run takes longer on an engine that is half taken
	// than on an empty one.
	Slowdown float64

	// Demand of the arriving requests, those that were refused included. It is known
	// once enough of them were seen.
	Known   bool
	Reading float64 // Engines that are busy with reading.
}

// Effort returns the microseconds that a usual engine needs to read the last tokens
// of a prompt: it relates each of them to all before it.
func (p Profile) Effort(tokens, prompt int) int {
	return Micros(float64(tokens)*p.PerToken + Pairs(tokens, prompt)*p.PerPair)
}

// Time returns the milliseconds of some effort.
func Time(effort float64) float64 { return effort / microsPerMilli }

// Micros returns the effort of so many milliseconds.
func Micros(millis float64) int { return int(microsPerMilli * millis) }

const microsPerMilli = 1000

// Pairs returns how many pairs of a token and one before it the last tokens of a prompt make.
func Pairs(tokens, prompt int) float64 {
	return max(float64(tokens)*(float64(prompt)-float64(tokens)/2), 0)
}

// Profiler learns for one instance. It is safe for concurrent use.
type Profiler struct {
	clock  timekeeper.Clock
	others func(service string) Sums

	mu       sync.Mutex
	services map[string]*learned
}

// learned is what this instance saw of one service.
type learned struct {
	sums    Sums
	at      timekeeper.Reading // When the sums were last aged.
	profile Profile
	fitted  timekeeper.Reading
}

// New returns a profiler that has seen nothing.
func New(c timekeeper.Clock) *Profiler {
	return &Profiler{clock: c, others: func(string) Sums { return Sums{} }, services: map[string]*learned{}}
}

// Ask makes the profiler add what other instances saw.
func (p *Profiler) Ask(others func(service string) Sums) { p.others = others }

// Reading is one prompt that an engine has read.
type Reading struct {
	Tokens int // That it had to read.
	Prompt int // Tokens of the whole prompt.
	Ahead  int // Effort that it had to do before, in microseconds.
	Took   timekeeper.Millis
}

// Read notes a reading.
func (p *Profiler) Read(service string, r Reading) {
	if r.Tokens <= 0 || r.Took <= 0 {
		return
	}
	p.add(service, func(s *Sums) { s.read(r) })
}

// Ran notes a run that held a place for some time, with a bound on the tokens that it
// generates, on an engine of which so much was taken.
func (p *Profiler) Ran(service string, took timekeeper.Millis, output int, taken float64) {
	p.add(service, func(s *Sums) { s.ran(float64(took), float64(output), min(max(taken, 0), 1)) })
}

// Offered notes a request that arrived, whether it is served or not, with the effort of its reading.
func (p *Profiler) Offered(service string, effort int) {
	p.add(service, func(s *Sums) { s.offered(float64(effort)) })
}

func (p *Profiler) add(service string, note func(*Sums)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	note(&p.aged(service).sums)
}

// aged returns what was seen of a service, weighted by its age. The caller holds mu.
func (p *Profiler) aged(service string) *learned {
	now := p.clock.Read()
	l := p.services[service]
	if l == nil {
		l = &learned{at: now}
		p.services[service] = l
	}
	if span := now.Since(l.at); span > 0 {
		l.sums.scale(math.Exp(-float64(span) / float64(memorySpan)))
		l.at = now
	}
	return l
}

// Own returns what this instance saw of each service.
func (p *Profiler) Own() map[string]Sums {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := make(map[string]Sums, len(p.services))
	for service := range maps.Keys(p.services) {
		own[service] = p.aged(service).sums
	}
	return own
}

// Profile returns what the fleet believes of a service.
func (p *Profiler) Profile(service string) Profile {
	if known, ok := p.fitted(service); ok {
		return known
	}
	others := p.others(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.aged(service)
	l.profile, l.fitted = l.sums.Plus(others).profile(), p.clock.Read()
	return l.profile
}

// Turnover returns the shortest mean time of a reading of all services, or 0 if
// none is known.
func (p *Profiler) Turnover() timekeeper.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := timekeeper.Millis(0)
	for _, l := range p.services {
		if !l.profile.Known {
			continue
		}
		if span := timekeeper.Millis(l.profile.Base + Time(l.profile.Prompt)); shortest == 0 || span < shortest {
			shortest = span
		}
	}
	return shortest
}

// fitted returns the last estimate while it is fresh.
func (p *Profiler) fitted(service string) (Profile, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.services[service]
	if l == nil || l.profile == (Profile{}) || p.clock.Read().Since(l.fitted) >= refresh {
		return Profile{}, false
	}
	return l.profile, true
}
