// Package scheduler decides which waiting request of a route pool runs next. It
// refuses requests that cannot meet their deadline, shares the pool between
// workspaces by start-time fair queueing over prefill and output tokens, and
// gives background requests the capacity that interactive requests leave free.
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

// Limits of the queue and of the pool's use.
const (
	defaultMaxQueue = 1024
	minRetryAfter   = 100 * timekeeper.Millisecond
	maxRetryAfter   = 30 * timekeeper.Second
	// maxPrefillBacklog limits the unfinished prefill work at engines, in seconds
	// of this instance's share of the pool. More of it would only wait at the
	// engines, where it can no longer be reordered.
	maxPrefillBacklog = 0.3
	// interactiveReserve is the fraction of the slots that background requests leave free.
	interactiveReserve = 0.25
	// promotedPriority is the priority of a promoted background request. It is
	// higher than the priority of any class.
	promotedPriority = 10
)

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal. A refused request did not run.
const (
	Deadline     Reason = "deadline"
	QueueFull    Reason = "queue-full"
	KeyWithdrawn Reason = "key-withdrawn"
)

// Request is a request submitted to the scheduler.
type Request struct {
	ID        string
	Workspace string
	// Weight is the workspace's share of contended capacity.
	Weight float64
	// Key is the hash of the request's API key.
	Key     string
	Class   declarer.Class
	Cost    estimator.Cost
	Arrived timekeeper.Millis
	// NotStreamed marks a request whose answer is not streamed. The end of its prefill
	// cannot be observed, so the expected time is used instead.
	NotStreamed bool
}

// Refusal is a request that was refused, with the time after which to retry.
type Refusal struct {
	ID         string
	Reason     Reason
	RetryAfter timekeeper.Millis
}

// item is a waiting or running request.
type item struct {
	Request
	flow       *flow
	background bool
	priority   int
	// latestStart is the last time at which the request can start and meet its deadline.
	latestStart timekeeper.Millis
	// timerAt and timerIndex are the item's time and position in the timer heap.
	timerAt    timekeeper.Millis
	timerIndex int
	// queuedSeconds is the cost included in the sums of waiting work.
	queuedSeconds float64
	// started, prefillDone and charged are set once the request runs.
	running     bool
	started     timekeeper.Millis
	prefillDone bool
	charged     estimator.Cost
}

// Scheduler queues the requests of one route pool at one instance. It is safe for concurrent use.
type Scheduler struct {
	mu             sync.Mutex
	origin         Origin
	maxQueue       int
	backgroundRule BackgroundRule
	pool           pool
	virtualTime    float64
	flows          map[string]*flow
	sweepAt        int
	items          map[string]*item
	interactive    flowHeap
	background     flowHeap
	longest        flowHeap
	timers         timerHeap
	// queuedSeconds is the waiting work of each band, in seconds of the pool.
	queuedSeconds [2]float64
	waiting       int
	// waitingWeight is the sum of the weights of workspaces with waiting requests.
	waitingWeight float64
	running       int
	// prefilling is the number of running requests without a first token, and
	// prefillTokens is their prefill work.
	prefillTokens float64
	prefilling    int
	peers         map[string]*peer
	published     Service
}

// New returns an empty scheduler without capacity.
func New(o Origin, options ...Option) *Scheduler {
	s := &Scheduler{
		origin:         o,
		maxQueue:       defaultMaxQueue,
		backgroundRule: BackgroundRule{MinPrefill: 2048, MinDeadline: 10 * timekeeper.Second},
		flows:          map[string]*flow{},
		sweepAt:        minSweep,
		items:          map[string]*item{},
		interactive:    flowHeap{kind: interactiveHeap, less: smallerTag},
		background:     flowHeap{kind: backgroundHeap, less: smallerTag},
		longest:        flowHeap{kind: longestHeap, less: longerQueue},
		peers:          map[string]*peer{},
		pool:           pool{share: 1},
		published:      Service{Instance: o.Instance, Incarnation: int(o.Incarnation), Pool: o.Pool},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Submit queues a request. It returns the refused request, if any: the request
// itself, or another one that is shed because the queue is full.
func (s *Scheduler) Submit(now timekeeper.Millis, r Request) []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[r.ID]; ok {
		return nil
	}
	f := s.flow(r.Workspace, r.Weight)
	it := &item{Request: r, flow: f, priority: r.Class.Priority, timerIndex: -1}
	it.background = s.backgroundRule.matches(r)
	it.latestStart = s.pool.latestStart(it)
	if retry := s.lateness(now, it); retry > 0 {
		return []Refusal{{ID: r.ID, Reason: Deadline, RetryAfter: clampRetryAfter(retry)}}
	}
	var refused []Refusal
	if s.waiting >= s.maxQueue {
		victim := s.shed(it)
		refused = []Refusal{{ID: victim.ID, Reason: QueueFull, RetryAfter: clampRetryAfter(s.backlogTime())}}
		if victim == it {
			return refused
		}
		s.remove(victim)
	}
	s.items[r.ID] = it
	s.enqueue(it)
	return refused
}

// shed selects the request to drop from a full queue: the last one of the
// workspace with the longest queue for its weight. A workspace within its share
// of the queue therefore loses no request to another workspace's flood.
func (s *Scheduler) shed(it *item) *item {
	f := s.longest.flows[0]
	if it.flow == f || float64(it.flow.waiting()+1)/it.flow.weight >= f.weightedLength() {
		return it
	}
	if n := len(f.queue[backgroundBand]); n > 0 {
		return f.queue[backgroundBand][n-1]
	}
	return f.queue[interactiveBand][len(f.queue[interactiveBand])-1]
}

// Next returns the requests to start now and those that can no longer meet
// their deadline. Call it after every change and at the time that NextDue returns.
func (s *Scheduler) Next(now timekeeper.Millis) ([]Request, []Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.runTimers(now)
	var start []Request
	for {
		it := s.nextStartable()
		if it == nil {
			break
		}
		s.dequeue(it)
		if now > s.pool.latestStart(it) {
			delete(s.items, it.ID)
			refused = append(refused, Refusal{ID: it.ID, Reason: Deadline, RetryAfter: clampRetryAfter(s.backlogTime())})
			continue
		}
		s.start(now, it)
		start = append(start, it.Request)
	}
	s.pool.observeDrain(now, start, len(s.interactive.flows) > 0)
	return start, refused
}

// nextStartable returns the waiting request to start next, or nil if none may start.
func (s *Scheduler) nextStartable() *item {
	slots := s.pool.slots()
	if s.running >= slots || s.prefillSaturated(1) {
		return nil
	}
	if len(s.interactive.flows) > 0 {
		return s.interactive.flows[0].queue[interactiveBand][0]
	}
	reserve := int(interactiveReserve * float64(slots))
	if len(s.background.flows) == 0 || s.running > 0 && (s.running >= slots-reserve || s.prefillSaturated(1-interactiveReserve)) {
		return nil
	}
	return s.background.flows[0].queue[backgroundBand][0]
}

// prefillSaturated reports whether a fraction of this instance's share has enough
// prefill work: at least one request for each target, and maxPrefillBacklog.
func (s *Scheduler) prefillSaturated(fraction float64) bool {
	backlog := s.prefillTokens * s.pool.secondsPerPrefillToken()
	return s.prefilling > 0 && backlog >= fraction*maxPrefillBacklog &&
		float64(s.prefilling) >= fraction*float64(s.pool.Targets)*s.pool.share
}

// start marks a dequeued request as running and charges it to its workspace.
func (s *Scheduler) start(now timekeeper.Millis, it *item) {
	it.running, it.started, it.charged = true, now, it.Cost
	s.running++
	it.flow.running++
	s.prefillTokens += it.Cost.Prefill
	s.prefilling++
	s.virtualTime = max(s.virtualTime, it.flow.tag)
	s.charge(it.flow, it.Cost)
	if it.NotStreamed {
		first, _ := s.pool.expectedTimes(it.Cost)
		it.timerAt = now + first
		heap.Push(&s.timers, it)
	}
}

// runTimers promotes background requests that are close to their deadline,
// refuses requests that can no longer meet theirs, and marks the prefill of
// requests without streaming as done after its expected time.
func (s *Scheduler) runTimers(now timekeeper.Millis) []Refusal {
	var refused []Refusal
	for len(s.timers) > 0 && s.timers[0].timerAt <= now {
		it := s.timers[0]
		if it.running {
			heap.Pop(&s.timers)
			s.firstToken(now, it)
			continue
		}
		it.latestStart = s.pool.latestStart(it)
		if now > it.latestStart {
			s.remove(it)
			refused = append(refused, Refusal{ID: it.ID, Reason: Deadline, RetryAfter: clampRetryAfter(s.backlogTime())})
			continue
		}
		if it.background && now >= it.promoteAt() {
			s.dequeue(it)
			it.background, it.priority = false, promotedPriority
			s.enqueue(it)
			continue
		}
		it.timerAt = it.nextTimer()
		heap.Fix(&s.timers, 0)
	}
	return refused
}

// NextDue returns the latest time for the next call of Next, or false if no
// request has a timer.
func (s *Scheduler) NextDue() (timekeeper.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.timers) == 0 {
		return 0, false
	}
	return s.timers[0].timerAt, true
}

// FirstToken records that the prefill of a running request is done.
func (s *Scheduler) FirstToken(now timekeeper.Millis, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it, ok := s.items[id]; ok && it.running && !it.prefillDone && !it.NotStreamed {
		s.pool.observePrefill(it.Cost.Prefill, now-it.started)
		s.firstToken(now, it)
	}
}

func (s *Scheduler) firstToken(now timekeeper.Millis, it *item) {
	it.prefillDone, it.started = true, now
	s.prefillTokens = max(s.prefillTokens-it.Cost.Prefill, 0)
	if s.prefilling--; s.prefilling == 0 {
		s.prefillTokens = 0
	}
}

// UpdateCost replaces the charged cost of a running request by a better estimate.
func (s *Scheduler) UpdateCost(id string, c estimator.Cost) {
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

// Finish ends a running request, complete or not, and charges its actual cost.
func (s *Scheduler) Finish(now timekeeper.Millis, id string, used estimator.Cost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[id]
	if !ok || !it.running {
		return
	}
	s.running--
	it.flow.running--
	if it.timerIndex >= 0 {
		heap.Remove(&s.timers, it.timerIndex)
	}
	if it.prefillDone {
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

// WithdrawKey removes all waiting requests of an API key. Running ones continue.
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

// State is a snapshot of a scheduler for status pages and forecasts.
type State struct {
	Waiting int
	Running int
	// Backlog is the expected time to start all waiting work on this instance's
	// share of the pool.
	Backlog timekeeper.Millis
}

// State returns the numbers of waiting and running requests and the backlog.
func (s *Scheduler) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Waiting: s.waiting, Running: s.running, Backlog: s.backlogTime()}
}

func clampRetryAfter(m timekeeper.Millis) timekeeper.Millis {
	return min(max(m, minRetryAfter), maxRetryAfter)
}
