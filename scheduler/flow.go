package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/estimator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bands of the queue of a workspace.
const (
	chatBand = iota
	dossierBand
)

// Heaps that a flow can be in.
const (
	chatHeap = iota
	dossierHeap
	longestHeap
)

const (
	// maxLead bounds, in seconds of the pool, how far a workspace can be behind in
	// turn for service elsewhere, so that a past burst is forgotten.
	maxLead = 5.0
	// idleCredit is the service, in seconds of the pool, that a workspace keeps
	// while its queue is empty for a moment. Requests that come one by one and
	// cannot wait long lose part of their share to a standing queue without it: the
	// worst-served workspace of TestWorstServedThroughFlood got 0.83 of its due
	// share at 0, 0.94 at 0.2 and 0.97 at 0.4.
	idleCredit = 0.4
	// minSweep is the number of flows below which idle ones are kept.
	minSweep = 1024
	// promotionPart of the deadline is left for the chat queue after promotion.
	promotionPart = 4
)

// flow is the queue of one workspace.
type flow struct {
	workspace string
	weight    float64
	tag       float64
	queue     [2][]*item
	cost      [2]float64
	// at is the position in each heap plus one; 0 means absent.
	at      [3]int
	running int
	// debt is service elsewhere that the tag does not hold yet; it is paid at the
	// given rate for service here. merged is the tag at the last record.
	debt   float64
	rate   float64
	merged float64
	served estimator.Cost
	shown  estimator.Cost
}

func (f *flow) waiting() int { return len(f.queue[chatBand]) + len(f.queue[dossierBand]) }

// requests is the number of requests that wait or run.
func (f *flow) requests() int { return f.waiting() + f.running }

// length is the number of waiting requests for each unit of weight.
func (f *flow) length() float64 { return float64(f.waiting()) / f.weight }

func (it *item) band() int {
	if it.dossier {
		return dossierBand
	}
	return chatBand
}

// promotion is the time at which a dossier joins the chat queue.
func (it *item) promotion() timekeeper.Millis {
	return it.latest - timekeeper.Millis(it.Class.DeadlineMilliseconds)/promotionPart
}

// timer is the time at which the request needs attention.
func (it *item) timer() timekeeper.Millis {
	if it.dossier {
		return it.promotion()
	}
	return it.latest + 1
}

// before orders the requests of one workspace.
func before(a, b *item) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.latest, b.latest), cmp.Compare(a.Arrived, b.Arrived))
}

// flow returns the flow of a workspace. One that was idle starts near the virtual
// time of the pool: it gets hardly any credit for service it did not ask for.
func (s *Scheduler) flow(workspace string, weight float64) *flow {
	if weight <= 0 {
		weight = 1
	}
	f, ok := s.flows[workspace]
	if !ok {
		s.sweep()
		f = &flow{workspace: workspace, weight: weight, tag: s.virtual}
		s.flows[workspace] = f
	}
	if f.waiting() == 0 {
		f.weight = weight
		f.tag = max(f.tag, s.virtual-idleCredit/weight)
	}
	return f
}

// sweep drops flows that hold nothing a new one would not. Dropping a counter of
// service makes peers take its next value as a new start.
func (s *Scheduler) sweep() {
	if len(s.flows) < s.sweepAt {
		return
	}
	for name, f := range s.flows {
		if f.requests() == 0 && f.tag <= s.virtual && (f.served == f.shown || f.shown == estimator.Cost{}) {
			delete(s.flows, name)
		}
	}
	s.sweepAt = max(minSweep, 2*len(s.flows))
}

// enqueue puts a request into its band and its flow into the heaps.
func (s *Scheduler) enqueue(it *item) {
	f, band := it.flow, it.band()
	if f.waiting() == 0 {
		s.weights += f.weight
	}
	i, _ := slices.BinarySearchFunc(f.queue[band], it, func(a, b *item) int {
		return cmp.Or(before(a, b), -1)
	})
	f.queue[band] = slices.Insert(f.queue[band], i, it)
	s.count(it, 1)
	it.due = it.timer()
	heap.Push(&s.timers, it)
	s.reorder(f)
}

// unqueue takes a request out of its band; the request itself stays known.
func (s *Scheduler) unqueue(it *item) {
	f, band := it.flow, it.band()
	i := slices.Index(f.queue[band], it)
	f.queue[band] = slices.Delete(f.queue[band], i, i+1)
	s.count(it, -1)
	heap.Remove(&s.timers, it.at)
	if f.waiting() == 0 {
		s.weights -= f.weight
	}
	s.reorder(f)
}

func (s *Scheduler) remove(it *item) {
	s.unqueue(it)
	delete(s.items, it.ID)
}

// count keeps the sums of waiting work. An empty queue resets them, because
// floating-point sums drift.
func (s *Scheduler) count(it *item, sign float64) {
	if sign > 0 {
		it.seconds = s.pool.seconds(it.Cost)
	}
	cost, band := sign*it.seconds, it.band()
	s.waiting += int(sign)
	s.queued[band] = max(s.queued[band]+cost, 0)
	it.flow.cost[band] = max(it.flow.cost[band]+cost, 0)
	if it.flow.waiting() == 0 {
		it.flow.cost = [2]float64{}
	}
	if s.waiting == 0 {
		s.queued = [2]float64{}
	}
}

// charge advances a workspace's virtual time by service it received here.
func (s *Scheduler) charge(f *flow, c estimator.Cost) {
	f.served.Prefill += c.Prefill
	f.served.Output += c.Output
	advance := s.pool.seconds(c) / f.weight
	if advance > 0 && f.debt != 0 {
		paid := min(f.debt, f.rate*advance)
		f.debt -= paid
		advance = max(advance+paid, 0)
	}
	f.tag += advance
	s.reorder(f)
}

// reorder restores a flow's place in all heaps.
func (s *Scheduler) reorder(f *flow) {
	s.chat.place(f, len(f.queue[chatBand]) > 0)
	s.dossiers.place(f, len(f.queue[dossierBand]) > 0)
	s.longest.place(f, f.waiting() > 0)
}

// flowHeap is a heap of flows that keeps their positions.
type flowHeap struct {
	slot  int
	less  func(a, b *flow) bool
	flows []*flow
}

func smallerTag(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.workspace < b.workspace
}

func longerQueue(a, b *flow) bool { return a.length() > b.length() }

// place adds, moves or removes a flow.
func (h *flowHeap) place(f *flow, present bool) {
	at := f.at[h.slot] - 1
	switch {
	case present && at < 0:
		heap.Push(h, f)
	case present:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *flowHeap) Len() int           { return len(h.flows) }
func (h *flowHeap) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].at[h.slot], h.flows[j].at[h.slot] = i+1, j+1
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	h.flows = append(h.flows, f)
	f.at[h.slot] = len(h.flows)
}
func (h *flowHeap) Pop() any {
	n := len(h.flows) - 1
	f := h.flows[n]
	h.flows[n] = nil
	h.flows = h.flows[:n]
	f.at[h.slot] = 0
	return f
}

// timerHeap orders waiting requests by the time at which they need attention.
type timerHeap []*item

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}
func (h *timerHeap) Push(x any) {
	it := x.(*item)
	it.at = len(*h)
	*h = append(*h, it)
}
func (h *timerHeap) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	*h = old[:n]
	it.at = -1
	return it
}
