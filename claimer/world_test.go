package claimer

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

type event struct {
	at  timekeeper.Millis
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// world simulates claimers in virtual time. Every task has its own goroutine, but
// only one runs at a time, so a run is deterministic for a seed.
type world struct {
	clock               *timekeeper.Manual
	queue               events
	seq                 int
	random              *rand.Rand
	platform            *faker.Platform
	procs               []*proc
	yielded             chan struct{}
	partitioned         map[[2]int]bool
	lossRate            float64
	allowIncompleteCopy bool
	started             int // processes started so far

	runs       map[string][]run
	violations []string
	states     map[string]int
}

type run struct {
	op     int
	answer string
}

type proc struct {
	w           *world
	index       int
	incarnation int
	up          bool
	paused      timekeeper.Millis
	claimer     *Claimer
	lastSeen    map[int]timekeeper.Millis
	leaving     bool
}

type task struct {
	p           *proc
	incarnation int
	wake        chan struct{}
}

func newWorld(seed uint64, n int, allowIncompleteCopy bool) *world {
	w := &world{
		clock: timekeeper.NewManual(1_700_000_000_000), random: rand.New(rand.NewPCG(seed, 3)), yielded: make(chan struct{}),
		partitioned: map[[2]int]bool{}, allowIncompleteCopy: allowIncompleteCopy, runs: map[string][]run{}, states: map[string]int{},
	}
	w.platform = faker.NewPlatform(w.clock.Clock())
	for i := range n {
		w.procs = append(w.procs, &proc{w: w, index: i})
		w.start(i)
	}
	return w
}

func (w *world) now() timekeeper.Millis { return w.clock.Clock().Now() }

func (w *world) after(d timekeeper.Millis, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now() + d, w.seq, f})
}

func (w *world) runFor(d timekeeper.Millis) {
	end := w.now() + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.clock.Advance(e.at - w.now())
		e.run()
	}
	w.clock.Advance(end - w.now())
}

// spawn starts a task that ends with its process.
func (p *proc) spawn(f func(*task)) {
	t := &task{p: p, incarnation: p.incarnation, wake: make(chan struct{})}
	go func() {
		defer func() { p.w.yielded <- struct{}{} }()
		<-t.wake
		if t.incarnation == p.incarnation && p.up {
			f(t)
		}
	}()
	p.w.after(0, t.resume)
}

func (t *task) resume() {
	if t.incarnation == t.p.incarnation && t.p.paused > t.p.w.now() {
		t.p.w.after(t.p.paused-t.p.w.now(), t.resume)
		return
	}
	t.wake <- struct{}{}
	<-t.p.w.yielded
}

// yield returns control to the event loop until resume; the task of a killed process ends here.
func (t *task) yield() {
	t.p.w.yielded <- struct{}{}
	<-t.wake
	if t.incarnation != t.p.incarnation {
		runtime.Goexit()
	}
}

func (t *task) sleep(d timekeeper.Millis) {
	t.p.w.after(d, t.resume)
	t.yield()
}

type taskKey struct{}

func (p *proc) context(t *task) context.Context {
	return context.WithValue(context.Background(), taskKey{}, t)
}

func taskOf(ctx context.Context) *task { return ctx.Value(taskKey{}).(*task) }

func (w *world) start(i int) {
	p := w.procs[i]
	w.started++
	p.incarnation++
	p.up, p.paused, p.leaving, p.lastSeen = true, 0, false, map[int]timekeeper.Millis{}
	p.claimer = New(Options{
		Self: p.peer(w.started), Clock: w.clock.Clock(), Ranges: 3,
		Grant: timekeeper.Minute, Renew: 20 * timekeeper.Second, Margin: 5 * timekeeper.Second, Settle: 3 * timekeeper.Second,
		Refresh: 10 * timekeeper.Second, allowIncompleteCopy: w.allowIncompleteCopy,
		Sleep: func(ctx context.Context, d timekeeper.Millis) { taskOf(ctx).sleep(d) },
	}, p, objects{w})
	incarnation := p.incarnation
	p.spawn(func(t *task) {
		for p.incarnation == incarnation {
			p.updatePeers()
			p.claimer.Tick(p.context(t))
			t.sleep(500 + timekeeper.Millis(w.random.IntN(500)))
		}
	})
}

func (p *proc) peer(process int) Peer {
	return Peer{ID: fmt.Sprintf("%d/%d", p.index, process), Address: fmt.Sprint(p.index), Rack: fmt.Sprint(p.index % 2)}
}

// updatePeers sets the peers as gossip would: a peer not seen for 4 s is lost.
func (p *proc) updatePeers() {
	now := p.w.now()
	var list []Peer
	for j, other := range p.w.procs {
		if j == p.index {
			continue
		}
		if other.up && other.paused <= now && !p.w.partitioned[[2]int{p.index, j}] {
			p.lastSeen[j] = now
		}
		peer := other.claimer.options.Self
		peer.Lost = now-p.lastSeen[j] > 4*timekeeper.Second
		peer.Leaving = other.leaving
		list = append(list, peer)
	}
	p.claimer.SetPeers(now, list)
}

func (w *world) kill(i int) { w.procs[i].up, w.procs[i].incarnation = false, w.procs[i].incarnation+1 }

func (w *world) latency() timekeeper.Millis {
	if w.random.IntN(20) == 0 {
		return timekeeper.Millis(w.random.IntN(3000))
	}
	return 1 + timekeeper.Millis(w.random.IntN(4))
}

var errNoAnswer = errors.New("no answer")

// Call implements Caller. Messages may be lost or delayed in either direction, and
// requests duplicated.
func (p *proc) Call(ctx context.Context, address, method string, params, result any) error {
	w, t := p.w, taskOf(ctx)
	var to int
	_, _ = fmt.Sscan(address, &to)
	data, _ := json.Marshal(params)
	finished, err := false, error(errNoAnswer)
	finish := func(answer []byte, failure error) {
		if finished {
			return
		}
		finished = true
		if err = failure; err == nil {
			err = json.Unmarshal(answer, result)
		}
		t.resume()
	}
	w.after(timekeeper.Second, func() { finish(nil, errNoAnswer) })
	deliveries := 1
	if w.random.Float64() < w.lossRate {
		deliveries = 2
	}
	for range deliveries {
		if w.random.Float64() >= w.lossRate {
			w.after(w.latency(), func() { w.deliver(p.index, to, method, data, finish) })
		}
	}
	t.yield()
	return err
}

func (w *world) deliver(from, to int, method string, data []byte, finish func([]byte, error)) {
	p := w.procs[to]
	if !p.up || w.partitioned[[2]int{from, to}] {
		return
	}
	p.spawn(func(t *task) {
		answer, err := p.claimer.Handlers()[method](p.context(t), data)
		encoded, _ := json.Marshal(answer)
		if w.random.Float64() >= w.lossRate && !w.partitioned[[2]int{to, from}] {
			w.after(w.latency(), func() { finish(encoded, err) })
		}
	})
}

// objects adds latency before and after each call to the store.
type objects struct{ w *world }

func (o objects) wait(ctx context.Context) {
	taskOf(ctx).sleep(1 + timekeeper.Millis(o.w.random.IntN(5)))
}

func (o objects) Get(ctx context.Context, name string) (storer.Object, error) {
	o.wait(ctx)
	object, err := o.w.platform.Get(context.Background(), name)
	o.wait(ctx)
	return object, err
}

func (o objects) Put(ctx context.Context, name string, value []byte, expected storer.Version) (storer.Version, error) {
	o.wait(ctx)
	version, err := o.w.platform.Put(context.Background(), name, value, expected)
	o.wait(ctx)
	return version, err
}

func (o objects) Delete(context.Context, string, storer.Version) error { panic("not used") }

func (o objects) List(context.Context, string) ([]storer.Object, error) { panic("not used") }

func (o objects) Watch(context.Context, string, storer.Version) ([]storer.Object, storer.Version, error) {
	panic("not used")
}
