package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bands of a workspace's queue.
const (
	interactiveBand = iota
	backgroundBand
)

// Heaps that a flow can be in.
const (
	interactiveHeap = iota
	backgroundHeap
	longestHeap
)

const (
	// maxRemoteDebt limits, in seconds of the pool, the remote service held against
	// a workspace, so that a past burst does not delay it for long.
	maxRemoteDebt = 5.0
	// idleCredit is the service, in seconds of the pool, that a workspace may be
	// behind the virtual time when its queue is briefly empty. Without it, requests
	// that arrive one by one and cannot wait long lose part of their share to
	// workspaces with a permanent queue: the worst-served workspace of
	// TestWorstServedThroughFlood got 0.83 of its due share at 0, 0.94 at 0.2 and
	// 0.97 at 0.4.
	idleCredit = 0.4
	// minSweep is the number of flows below which idle ones are kept.
	minSweep = 1024
	// promotionDivisor: a background request is promoted when 1/promotionDivisor of
	// its deadline is left before its latest start.
	promotionDivisor = 4
)

// flow is the queue of one workspace.
type flow struct {
	workspace string
	weight    float64
	tag       float64
	queue     [2][]*item
	// queuedSeconds is the waiting work of each band, in seconds of the pool.
	queuedSeconds [2]float64
	// heapIndex is the position in each heap plus one; 0 means absent.
	heapIndex [3]int
	running   int
	// remoteDebt is the virtual time for remote service that is not yet part of the
	// tag. Each unit of local virtual time adds remoteRate units of it. mergedTag
	// is the tag at the last merged record.
	remoteDebt float64
	remoteRate float64
	mergedTag  float64
	// served is the total local service, and published is its value in the last record.
	served    estimator.Cost
	published estimator.Cost
}

func (f *flow) waiting() int { return len(f.queue[interactiveBand]) + len(f.queue[backgroundBand]) }

// requests is the number of waiting and running requests.
func (f *flow) requests() int { return f.waiting() + f.running }

// weightedLength is the number of waiting requests divided by the weight.
func (f *flow) weightedLength() float64 { return float64(f.waiting()) / f.weight }

func (it *item) band() int {
	if it.background {
		return backgroundBand
	}
	return interactiveBand
}

// promoteAt is the time at which a background request joins the interactive band.
func (it *item) promoteAt() timekeeper.Millis {
	return it.latestStart - timekeeper.Millis(it.Class.DeadlineMilliseconds)/promotionDivisor
}

// nextTimer is the time at which the waiting request is promoted or expires.
func (it *item) nextTimer() timekeeper.Millis {
	if it.background {
		return it.promoteAt()
	}
	return it.latestStart + 1
}

// compareItems orders the requests of one workspace: by priority, latest start
// and arrival.
func compareItems(a, b *item) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.Arrived, b.Arrived))
}

// flow returns the flow of a workspace. An idle one restarts near the pool's
// virtual time: its credit for unused service is at most idleCredit.
func (s *Scheduler) flow(workspace string, weight float64) *flow {
	if weight <= 0 {
		weight = 1
	}
	f, ok := s.flows[workspace]
	if !ok {
		s.sweep()
		f = &flow{workspace: workspace, weight: weight, tag: s.virtualTime}
		s.flows[workspace] = f
	}
	if f.waiting() == 0 {
		f.weight = weight
		f.tag = max(f.tag, s.virtualTime-idleCredit/weight)
	}
	return f
}

// sweep drops flows that are equivalent to new ones. A service counter that peers
// know is dropped only in its published state; they take its next value as a new
// baseline.
func (s *Scheduler) sweep() {
	if len(s.flows) < s.sweepAt {
		return
	}
	for name, f := range s.flows {
		if f.requests() == 0 && f.tag <= s.virtualTime && (f.served == f.published || f.published == estimator.Cost{}) {
			delete(s.flows, name)
		}
	}
	s.sweepAt = max(minSweep, 2*len(s.flows))
}

// enqueue adds a request to its band and updates the heaps.
func (s *Scheduler) enqueue(it *item) {
	f, band := it.flow, it.band()
	if f.waiting() == 0 {
		s.waitingWeight += f.weight
	}
	i, _ := slices.BinarySearchFunc(f.queue[band], it, func(a, b *item) int {
		return cmp.Or(compareItems(a, b), -1)
	})
	f.queue[band] = slices.Insert(f.queue[band], i, it)
	s.addQueued(it, 1)
	it.timerAt = it.nextTimer()
	heap.Push(&s.timers, it)
	s.updateHeaps(f)
}

// dequeue removes a request from its band but not from the scheduler's items.
func (s *Scheduler) dequeue(it *item) {
	f, band := it.flow, it.band()
	i := slices.Index(f.queue[band], it)
	f.queue[band] = slices.Delete(f.queue[band], i, i+1)
	s.addQueued(it, -1)
	heap.Remove(&s.timers, it.timerIndex)
	if f.waiting() == 0 {
		s.waitingWeight -= f.weight
	}
	s.updateHeaps(f)
}

func (s *Scheduler) remove(it *item) {
	s.dequeue(it)
	delete(s.items, it.ID)
}

// addQueued adds a request to the sums of waiting work, or subtracts it if sign is
// negative. An empty queue resets the sums, because floating-point sums drift.
func (s *Scheduler) addQueued(it *item, sign float64) {
	if sign > 0 {
		it.queuedSeconds = s.pool.seconds(it.Cost)
	}
	cost, band := sign*it.queuedSeconds, it.band()
	s.waiting += int(sign)
	s.queuedSeconds[band] = max(s.queuedSeconds[band]+cost, 0)
	it.flow.queuedSeconds[band] = max(it.flow.queuedSeconds[band]+cost, 0)
	if it.flow.waiting() == 0 {
		it.flow.queuedSeconds = [2]float64{}
	}
	if s.waiting == 0 {
		s.queuedSeconds = [2]float64{}
	}
}

// charge advances a workspace's tag by local service and by the part of its remote
// debt that is due with it.
func (s *Scheduler) charge(f *flow, c estimator.Cost) {
	f.served.Prefill += c.Prefill
	f.served.Output += c.Output
	advance := s.pool.seconds(c) / f.weight
	if advance > 0 && f.remoteDebt != 0 {
		paid := min(f.remoteDebt, f.remoteRate*advance)
		f.remoteDebt -= paid
		advance = max(advance+paid, 0)
	}
	f.tag += advance
	s.updateHeaps(f)
}

// updateHeaps restores a flow's position in all heaps.
func (s *Scheduler) updateHeaps(f *flow) {
	s.interactive.update(f, len(f.queue[interactiveBand]) > 0)
	s.background.update(f, len(f.queue[backgroundBand]) > 0)
	s.longest.update(f, f.waiting() > 0)
}

// flowHeap is a heap of flows that stores each flow's position in the flow.
type flowHeap struct {
	kind  int
	less  func(a, b *flow) bool
	flows []*flow
}

func smallerTag(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.workspace < b.workspace
}

func longerQueue(a, b *flow) bool { return a.weightedLength() > b.weightedLength() }

// update adds, moves or removes a flow.
func (h *flowHeap) update(f *flow, present bool) {
	index := f.heapIndex[h.kind] - 1
	switch {
	case present && index < 0:
		heap.Push(h, f)
	case present:
		heap.Fix(h, index)
	case index >= 0:
		heap.Remove(h, index)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *flowHeap) Len() int           { return len(h.flows) }
func (h *flowHeap) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex[h.kind], h.flows[j].heapIndex[h.kind] = i+1, j+1
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	h.flows = append(h.flows, f)
	f.heapIndex[h.kind] = len(h.flows)
}
func (h *flowHeap) Pop() any {
	n := len(h.flows) - 1
	f := h.flows[n]
	h.flows[n] = nil
	h.flows = h.flows[:n]
	f.heapIndex[h.kind] = 0
	return f
}

// timerHeap orders requests by the time of their timer. Running requests have one
// only if they are not streamed.
type timerHeap []*item

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].timerAt < h[j].timerAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}
func (h *timerHeap) Push(x any) {
	it := x.(*item)
	it.timerIndex = len(*h)
	*h = append(*h, it)
}
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	*h = old[:n]
	it.timerIndex = -1
	return it
}
