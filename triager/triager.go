// Package triager says how a request stands among those of other urgency, and of other
// workspaces, when targets are short of capacity: which share of the work lets it pass,
// which share of the longest wait it leaves to those that go before, whether too few
// requests like it start, and whether its workspace has got more than its share. It learns
// this from the arrivals at one instance, so instances need not talk.
package triager

import (
	"math"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// memory is the span in which what was learned fades to 1/e.
	memory = 10 * timekeeper.Second
	// priorRequests is the number of mean requests that shares are diluted with, so that
	// a few arrivals do not make a reserve.
	priorRequests = 8
	// maxReserve is the largest share of the longest wait left to requests that go before.
	maxReserve = 0.5
	// StartInterval bounds how long requests of one class that keep arriving at an
	// instance go without a start, as long as a target could answer them before their
	// callers leave.
	StartInterval = 2 * timekeeper.Second
	// MinStartShare is the least share of the requests of a class that start, relative to
	// that of all requests, under the same condition: below it they go first. Below
	// fairStartShare they go with the next higher class.
	MinStartShare  = 0.35
	fairStartShare = 0.55
)

// Standing is what a decision on a request needs to know of the others.
type Standing struct {
	// Urgency is the class of the request: by its urgency, and among equally urgent ones
	// those with less work first. If too few of a class start, they have a higher one.
	resolver.Urgency
	// Yielding is the share of the started work that lets the request pass.
	Yielding float64
	// Reserve is the share of the longest wait for work that is left to requests that go
	// before. SlotReserve is that of the longest wait for a slot: it is left to more urgent
	// requests only, because the work of a request does not tell how long it holds a slot.
	Reserve, SlotReserve float64
	// Overdue tells that no request of the class started for StartInterval.
	Overdue bool
	// BeyondShare tells that the workspace has got more than its fair share of the work of
	// its level, and that others of the level lack work within theirs.
	BeyondShare bool
}

// Request is what a standing depends on.
type Request struct {
	Service, Workspace string
	Urgency            resolver.Urgency
	Work               float64 // In any unit that is the same for all requests of the service.
}

// Triager learns what arrives at and starts from one instance. It is safe for concurrent use.
type Triager struct {
	mu       sync.Mutex
	services map[string]*service
}

// New returns a triager that knows nothing.
func New() *Triager { return &Triager{services: map[string]*service{}} }

// class is what was learned of requests of the same urgency and size.
type class struct {
	arrivedWork, startedWork float64
	arrived, started         float64
	lastArrival              timekeeper.Millis
	lastStart                timekeeper.Millis // Or the first arrival after a pause.
	seen                     bool
}

// service is what was learned of one service: by class, and of the workspaces of each
// level. Requests beyond their workspace's share count in no class but for their starts.
type service struct {
	updated timekeeper.Millis
	classes []class
	levels  []shares
}

// Arrive records a request and returns its standing.
func (t *Triager) Arrive(q Request, now timekeeper.Millis) Standing {
	u := q.Urgency
	if !u.Differs() {
		return Standing{Urgency: u}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[q.Service]
	if s == nil || len(s.levels) != u.Levels {
		s = &service{updated: now, classes: make([]class, sizes*u.Levels), levels: make([]shares, u.Levels)}
		t.services[q.Service] = s
	}
	s.fade(now)
	if s.levels[u.Level].ask(q.Workspace, q.Work, s.meanWork(), now) {
		return s.standBeyondShare(u)
	}
	return s.stand(u, q.Work, now)
}

// standBeyondShare returns the standing of a request that goes after all others of its level.
func (s *service) standBeyondShare(u resolver.Urgency) Standing {
	end, mean := sizes*(u.Level+1), s.meanWork()
	return Standing{
		Urgency:  resolver.Urgency{Level: end - 1, Levels: len(s.classes)},
		Yielding: s.share(startedWork, mean, end, len(s.classes)), Reserve: min(s.share(arrivedWork, mean, 0, end), maxReserve),
		SlotReserve: min(s.share(arrived, 1, 0, end), maxReserve), BeyondShare: true,
	}
}

// stand records a request within its workspace's share and returns its standing.
func (s *service) stand(u resolver.Urgency, work float64, now timekeeper.Millis) Standing {
	i := s.classOf(u, work)
	c := &s.classes[i]
	if !c.seen || now-c.lastArrival >= StartInterval {
		c.lastStart = now // Nothing waited for a start.
	}
	c.seen, c.lastArrival = true, now
	overdue := i > 0 && now-c.lastStart >= StartInterval
	switch {
	case i == 0:
	case overdue || s.startsBelow(MinStartShare, c):
		i = 0
	case s.startsBelow(fairStartShare, c):
		i--
	}
	c.arrived++
	c.arrivedWork += work
	mean := s.meanWork()
	return Standing{
		Urgency:  resolver.Urgency{Level: i, Levels: len(s.classes)},
		Yielding: s.share(startedWork, mean, i+1, len(s.classes)), Reserve: min(s.share(arrivedWork, mean, 0, i), maxReserve),
		SlotReserve: min(s.share(arrived, 1, 0, i-i%sizes), maxReserve), Overdue: overdue,
	}
}

// Start records that work was started on a request with the standing.
func (t *Triager) Start(q Request, standing Standing, now timekeeper.Millis) {
	u := q.Urgency
	if !u.Differs() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[q.Service]
	if s == nil || len(s.levels) != u.Levels {
		return
	}
	s.fade(now)
	s.levels[u.Level].start(q.Workspace, q.Work)
	c := &s.classes[s.classOf(u, q.Work)]
	c.startedWork += q.Work
	if standing.BeyondShare {
		return
	}
	c.started++
	c.lastStart = now
}

const (
	// sizes is the number of sizes, small and large.
	sizes = 2
	// largeWork is the work from which a request is large, in multiples of the mean.
	largeWork = 1.1
)

// classOf returns the class of a request.
func (s *service) classOf(u resolver.Urgency, work float64) int {
	if work > largeWork*s.meanWork() {
		return sizes*u.Level + 1
	}
	return sizes * u.Level
}

// startsBelow reports whether less than a share of the class starts, relative to all
// requests.
func (s *service) startsBelow(share float64, c *class) bool {
	arrived, started := 0.0, 0.0
	for _, c := range s.classes {
		arrived += c.arrived
		started += c.started
	}
	return (c.started+1)*arrived < share*c.arrived*started
}

// fade weakens what was learned by the time since the last update.
func (s *service) fade(now timekeeper.Millis) {
	factor := math.Exp(-float64(max(now-s.updated, 0)) / float64(memory))
	s.updated = max(now, s.updated)
	for i := range s.classes {
		c := &s.classes[i]
		c.arrivedWork, c.startedWork = factor*c.arrivedWork, factor*c.startedWork
		c.arrived, c.started = factor*c.arrived, factor*c.started
	}
}

// meanWork returns the mean work of a request.
func (s *service) meanWork() float64 {
	return s.sum(arrivedWork, 0, len(s.classes)) / max(s.sum(arrived, 0, len(s.classes)), 1)
}

func arrivedWork(c class) float64 { return c.arrivedWork }
func startedWork(c class) float64 { return c.startedWork }
func arrived(c class) float64     { return c.arrived }

// share returns the share of a figure that the classes from first up to, but not
// including, end have; mean is the figure of a mean request.
func (s *service) share(figure func(class) float64, mean float64, first, end int) float64 {
	total := s.sum(figure, 0, len(s.classes)) + priorRequests*mean
	if total <= 0 {
		return 0
	}
	return s.sum(figure, first, end) / total
}

func (s *service) sum(figure func(class) float64, first, end int) (sum float64) {
	for _, c := range s.classes[first:end] {
		sum += figure(c)
	}
	return sum
}
