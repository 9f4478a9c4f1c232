// Package scheduler decides which waiting request of a route pool runs next. It
// refuses requests that cannot make their deadline, shares the pool between
// workspaces by start-time fair queueing over the tokens of both phases, and
// lets long dossiers use what chat leaves.
//
// A workspace's tag is its virtual time: the service it received on any
// instance, in seconds of the whole pool, divided by its weight. The request at
// the head of the flow with the smallest tag starts next. Priorities order the
// requests of one workspace and are passed on to engines; between workspaces
// only the tags count, so that no priority starves a workspace.
package scheduler

import (
	"container/heap"
	"slices"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds of queues and waiting times.
const (
	defaultQueue = 1024
	minRetry     = 100 * timekeeper.Millisecond
	maxRetry     = 30 * timekeeper.Second
	// prefillHorizon bounds the prefill work at engines that has given no first
	// token yet: more would only wait there, where order can no longer change.
	prefillHorizon = 0.3
	// chatReserve is the part of the slots that dossiers leave free.
	chatReserve = 0.25
	// urgent is the priority of a promoted dossier, above all class priorities.
	urgent = 10
)

// Reason says why a request was refused.
type Reason string

// Reasons of refusals. All of them mean that the request did not run.
const (
	Deadline     Reason = "deadline"
	QueueFull    Reason = "queue-full"
	KeyWithdrawn Reason = "key-withdrawn"
)

// Request is a request that wants to run.
type Request struct {
	ID        string
	Workspace string
	// Weight is the workspace's share of contended capacity.
	Weight float64
	// Key is the hash of the key that the request came with.
	Key     string
	Class   declarer.Class
	Cost    estimator.Cost
	Arrived timekeeper.Millis
	// Whole tells that the answer comes in one piece, so that nobody sees when the
	// prefill is done; its expected time stands in.
	Whole bool
}

// Refusal tells that a request was not run, and when to try again.
type Refusal struct {
	ID         string
	Reason     Reason
	RetryAfter timekeeper.Millis
}

// item is a request with its place in the queue.
type item struct {
	Request
	flow     *flow
	dossier  bool
	priority int
	// latest is the last time at which the request can start and make its deadline.
	latest timekeeper.Millis
	due    timekeeper.Millis
	at     int
	// seconds is the cost counted into the sums of waiting work.
	seconds float64
	// started, first and charged are set once the request runs.
	running bool
	started timekeeper.Millis
	first   bool
	charged estimator.Cost
}

// Scheduler queues the requests of one route pool at one instance. It is safe for concurrent use.
type Scheduler struct {
	mu       sync.Mutex
	origin   Origin
	maxQueue int
	dossier  Dossier
	pool     pool
	virtual  float64
	flows    map[string]*flow
	sweepAt  int
	items    map[string]*item
	chat     flowHeap
	dossiers flowHeap
	longest  flowHeap
	timers   timerHeap
	queued   [2]float64
	waiting  int
	weights  float64
	running  int
	prefill  float64
	// prefilling is the number of running requests that gave no first token yet.
	prefilling int
	peers      map[string]*peer
	last       Service
}

// New returns an empty scheduler without capacity.
func New(o Origin, options ...Option) *Scheduler {
	s := &Scheduler{
		origin:   o,
		maxQueue: defaultQueue,
		dossier:  Dossier{Prefill: 2048, Deadline: 10 * timekeeper.Second},
		flows:    map[string]*flow{},
		sweepAt:  minSweep,
		items:    map[string]*item{},
		chat:     flowHeap{slot: chatHeap, less: smallerTag},
		dossiers: flowHeap{slot: dossierHeap, less: smallerTag},
		longest:  flowHeap{slot: longestHeap, less: longerQueue},
		peers:    map[string]*peer{},
		pool:     pool{share: 1},
		last:     Service{Instance: o.Instance, Incarnation: int(o.Incarnation), Pool: o.Pool},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Submit queues a request. It returns the requests that are refused because of
// it: the request itself, or one that a full queue sheds instead.
func (s *Scheduler) Submit(now timekeeper.Millis, r Request) []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[r.ID]; ok {
		return nil
	}
	f := s.flow(r.Workspace, r.Weight)
	it := &item{Request: r, flow: f, priority: r.Class.Priority, at: -1}
	it.dossier = s.dossier.matches(r)
	it.latest = s.pool.latest(it)
	if retry := s.lateness(now, it); retry > 0 {
		return []Refusal{{ID: r.ID, Reason: Deadline, RetryAfter: clampRetry(retry)}}
	}
	var refused []Refusal
	if s.waiting >= s.maxQueue {
		victim := s.shed(it)
		refused = []Refusal{{ID: victim.ID, Reason: QueueFull, RetryAfter: clampRetry(s.backlogTime())}}
		if victim == it {
			return refused
		}
		s.remove(victim)
	}
	s.items[r.ID] = it
	s.enqueue(it)
	return refused
}

// shed chooses which request a full queue gives up: the last one of the
// workspace that has most waiting for its weight. A workspace within its part of
// the queue therefore loses nothing to another's flood.
func (s *Scheduler) shed(it *item) *item {
	f := s.longest.flows[0]
	if it.flow == f || float64(it.flow.waiting()+1)/it.flow.weight >= f.length() {
		return it
	}
	if n := len(f.queue[dossierBand]); n > 0 {
		return f.queue[dossierBand][n-1]
	}
	return f.queue[chatBand][len(f.queue[chatBand])-1]
}

// Next returns the requests to start now and those that can no longer make
// their deadline. Call it after every change and when NextDue comes.
func (s *Scheduler) Next(now timekeeper.Millis) ([]Request, []Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.expire(now)
	var start []Request
	for {
		it := s.head()
		if it == nil {
			break
		}
		s.unqueue(it)
		if now > s.pool.latest(it) {
			delete(s.items, it.ID)
			refused = append(refused, Refusal{ID: it.ID, Reason: Deadline, RetryAfter: clampRetry(s.backlogTime())})
			continue
		}
		s.start(now, it)
		start = append(start, it.Request)
	}
	s.pool.drained(now, start, len(s.chat.flows) > 0)
	return start, refused
}

// head returns the waiting request that may start, or nil.
func (s *Scheduler) head() *item {
	slots := s.pool.slots()
	if s.running >= slots || s.prefilled(1) {
		return nil
	}
	if len(s.chat.flows) > 0 {
		return s.chat.flows[0].queue[chatBand][0]
	}
	reserve := int(chatReserve * float64(slots))
	if len(s.dossiers.flows) == 0 || s.running > 0 && (s.running >= slots-reserve || s.prefilled(1-chatReserve)) {
		return nil
	}
	return s.dossiers.flows[0].queue[dossierBand][0]
}

// prefilled reports whether a part of the pool has enough prefill work: one
// request for each target, and as much as the horizon allows.
func (s *Scheduler) prefilled(part float64) bool {
	ahead := s.prefill * s.pool.prefillSeconds()
	return s.prefilling > 0 && ahead >= part*prefillHorizon &&
		float64(s.prefilling) >= part*float64(s.pool.Targets)*s.pool.share
}

// start charges a request that left the queue to its workspace.
func (s *Scheduler) start(now timekeeper.Millis, it *item) {
	it.running, it.started, it.charged = true, now, it.Cost
	s.running++
	it.flow.running++
	s.prefill += it.Cost.Prefill
	s.prefilling++
	s.virtual = max(s.virtual, it.flow.tag)
	s.charge(it.flow, it.Cost)
	if it.Whole {
		first, _ := s.pool.service(it.Cost)
		it.due = now + first
		heap.Push(&s.timers, it)
	}
}

// expire promotes dossiers whose slack runs out, refuses what is too late and
// takes the prefill of answers in one piece as done when its time has passed.
func (s *Scheduler) expire(now timekeeper.Millis) []Refusal {
	var refused []Refusal
	for len(s.timers) > 0 && s.timers[0].due <= now {
		it := s.timers[0]
		if it.running {
			heap.Pop(&s.timers)
			s.firstToken(now, it)
			continue
		}
		it.latest = s.pool.latest(it)
		if now > it.latest {
			s.remove(it)
			refused = append(refused, Refusal{ID: it.ID, Reason: Deadline, RetryAfter: clampRetry(s.backlogTime())})
			continue
		}
		if it.dossier && now >= it.promotion() {
			s.unqueue(it)
			it.dossier, it.priority = false, urgent
			s.enqueue(it)
			continue
		}
		it.due = it.timer()
		heap.Fix(&s.timers, 0)
	}
	return refused
}

// NextDue returns when Next must be called at the latest, or false.
func (s *Scheduler) NextDue() (timekeeper.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.timers) == 0 {
		return 0, false
	}
	return s.timers[0].due, true
}

// FirstToken notes that the prefill of a running request is done.
func (s *Scheduler) FirstToken(now timekeeper.Millis, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it, ok := s.items[id]; ok && it.running && !it.first && !it.Whole {
		s.pool.observePrefill(it.Cost.Prefill, now-it.started)
		s.firstToken(now, it)
	}
}

func (s *Scheduler) firstToken(now timekeeper.Millis, it *item) {
	it.first, it.started = true, now
	s.prefill = max(s.prefill-it.Cost.Prefill, 0)
	if s.prefilling--; s.prefilling == 0 {
		s.prefill = 0
	}
}

// Correct replaces the cost that a running request is charged, as its estimate improves.
func (s *Scheduler) Correct(id string, c estimator.Cost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it, ok := s.items[id]; ok && it.running {
		s.correct(it, c)
	}
}

func (s *Scheduler) correct(it *item, c estimator.Cost) {
	s.charge(it.flow, estimator.Cost{Prefill: c.Prefill - it.charged.Prefill, Output: c.Output - it.charged.Output})
	it.charged = c
}

// Finish ends a running request, whole or not, and charges what it really used.
func (s *Scheduler) Finish(now timekeeper.Millis, id string, used estimator.Cost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[id]
	if !ok || !it.running {
		return
	}
	s.running--
	it.flow.running--
	if it.at >= 0 {
		heap.Remove(&s.timers, it.at)
	}
	if it.first {
		s.pool.observeOutput(used.Output, now-it.started)
	} else {
		s.firstToken(now, it)
	}
	s.correct(it, used)
	delete(s.items, id)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (s *Scheduler) Cancel(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[id]
	if !ok || it.running {
		return false
	}
	s.remove(it)
	return true
}

// WithdrawKey removes all waiting requests that came with a key. Running ones go on.
func (s *Scheduler) WithdrawKey(key string) []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refused []Refusal
	for _, it := range slices.Clone(s.timers) {
		if it.Key == key && !it.running {
			s.remove(it)
			refused = append(refused, Refusal{ID: it.ID, Reason: KeyWithdrawn})
		}
	}
	return refused
}

// State is a look at a scheduler for status pages and forecasts.
type State struct {
	Waiting int
	Running int
	// Backlog is the waiting work in seconds of this instance's part of the pool.
	Backlog timekeeper.Millis
}

// State returns the length of the queue and the work in it.
func (s *Scheduler) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Waiting: s.waiting, Running: s.running, Backlog: s.backlogTime()}
}

func clampRetry(m timekeeper.Millis) timekeeper.Millis { return min(max(m, minRetry), maxRetry) }
