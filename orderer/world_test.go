package orderer_test

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/orderer"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const second = timekeeper.Second

var errResponseLost = errors.New("response lost")

// node is a candidate for the planner duty, with its own clock.
type node struct {
	world   *world
	machine *leaser.Machine
	source  *timekeeper.Manual
	orderer *orderer.Orderer
	epoch   int64
	paused  timekeeper.Millis
	plan    func(*node)
	// beforePermit and beforePlatform run between the orderer's check and the write.
	beforePermit   func()
	beforePlatform func()
}

// world simulates candidates, a platform and engines in virtual time.
type world struct {
	platform    *faker.Platform
	source      *timekeeper.Manual
	engines     map[string]*faker.EngineControl
	checksToken map[string]bool
	nodes       []*node
	now         timekeeper.Millis
	inFlight    []func() bool // delayed orders; each returns true when delivered
	delay       func() (timekeeper.Millis, bool)
	options     func(orderer.Options) orderer.Options
	failures    []error
	// highestEpoch is the highest epoch that took over the intents; an order of a
	// lower one that takes effect later is stale.
	highestEpoch int64
	staleOrders  []string
}

func newWorld(nodes int) *world {
	w := &world{source: timekeeper.NewManual(0), engines: map[string]*faker.EngineControl{}, checksToken: map[string]bool{"checking": true}}
	w.platform = faker.NewPlatform(w.source.Clock())
	w.options = func(o orderer.Options) orderer.Options { return o }
	w.delay = func() (timekeeper.Millis, bool) { return 0, false }
	for _, name := range []string{"checking", "ignoring"} {
		w.engines[name] = faker.NewEngineControl(w.source.Clock(), name, orderer.RolePrefill, w.checksToken[name], 8*second)
	}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{
			world: w, source: timekeeper.NewManual(timekeeper.Millis(i) * 777), plan: func(*node) {},
			machine: leaser.NewMachine(leaser.Options{Seed: uint64(i + 1)}, "a", leaser.LeaseDutyPlanner, fmt.Sprintf("i%d", i), 1),
		})
	}
	return w
}

func (w *world) advance(d timekeeper.Millis) {
	w.now += d
	w.source.Advance(d)
	for _, n := range w.nodes {
		n.source.Advance(d)
	}
	var undelivered []func() bool
	for _, deliver := range w.inFlight {
		if !deliver() {
			undelivered = append(undelivered, deliver)
		}
	}
	w.inFlight = undelivered
}

// run steps every node that is not paused, every 250 ms until done or the span is over.
func (w *world) run(span timekeeper.Millis, done func() bool) bool {
	for end := w.now + span; w.now < end; w.advance(250) {
		for _, n := range w.nodes {
			n.step()
		}
		if done != nil && done() {
			return true
		}
	}
	return done == nil
}

// delivered records a stale order that took effect and returns err unchanged.
func (w *world) delivered(token int64, id string, err error) error {
	refused := errors.Is(err, orderer.ErrStale) || errors.Is(err, storer.ErrStaleToken) || errors.Is(err, storer.ErrUnavailable)
	if !refused && token < w.highestEpoch {
		w.staleOrders = append(w.staleOrders, fmt.Sprintf("order %s of epoch %d took effect after epoch %d took over", id, token, w.highestEpoch))
	}
	return err
}

func (w *world) conflicts() []string {
	return append(append(w.staleOrders, w.engines["checking"].Conflicts()...), w.engines["ignoring"].Conflicts()...)
}

func (n *node) step() {
	if n.world.now < n.paused {
		return
	}
	n.stepLease()
	epoch, held := n.machine.Held(n.source.Clock().Read())
	if n.orderer != nil && (!held || epoch != n.epoch) {
		n.orderer = nil
	}
	if held && n.orderer == nil {
		n.epoch = epoch
		n.orderer = orderer.New(n.world.options(n.options()), authority{n.machine, n.source.Clock(), epoch})
	}
	if o := n.orderer; o != nil {
		if o.Loaded() {
			n.plan(n)
		}
		_, _ = o.Step(context.Background())
		if o.Loaded() {
			n.world.highestEpoch = max(n.world.highestEpoch, n.epoch)
		}
	}
}

func (n *node) stepLease() {
	ctx, name, now := context.Background(), leaser.ObjectName("a", leaser.LeaseDutyPlanner), n.source.Clock().Read()
	switch s := n.machine.Next(now).(type) {
	case leaser.Read:
		l, v, err := storer.Get(ctx, n.world.platform, name, leaser.Decode)
		n.machine.ReadDone(now, l, v, err)
	case leaser.Write:
		value, _ := json.Marshal(s.Lease)
		v, err := n.world.platform.Put(ctx, name, value, s.Expected)
		n.machine.WriteDone(now, s, v, err)
	}
}

func (n *node) options() orderer.Options {
	return orderer.Options{
		DataCentre: "a", Objects: n.world.platform, Targets: platformLink{n}, Clock: n.source.Clock(),
		Engine: func(target string) (orderer.Engine, bool, bool) {
			control, ok := n.world.engines[target]
			return engineLink{n, control}, n.world.checksToken[target], ok
		},
		Finished: func(_ orderer.Order, err error) { n.world.failures = append(n.world.failures, err) },
	}
}

// authority is a lease tenure on a node's clock.
type authority struct {
	machine *leaser.Machine
	clock   timekeeper.Clock
	epoch   int64
}

func (a authority) Epoch() int64 { return a.epoch }
func (a authority) Check(need timekeeper.Millis) error {
	return a.machine.Check(a.clock.Read(), a.epoch, need)
}
func (a authority) ObserveEpoch(epoch int64) { a.machine.ObserveEpoch(a.clock.Read(), epoch) }

// engineLink delivers a node's orders to an engine: it may pause the node before
// it calls permit, and delay an order for up to SendTimeout.
type engineLink struct {
	node *node
	*faker.EngineControl
}

func (l engineLink) Send(ctx context.Context, order orderer.EngineOrder, permit func() error) error {
	runOnce(&l.node.beforePermit)
	if err := permit(); err != nil {
		return errors.Wrap(orderer.ErrNotSent, err.Error())
	}
	world := l.node.world
	delay, delayed := world.delay()
	if !delayed {
		return world.delivered(order.Token, order.ID, l.Deliver(ctx, order))
	}
	due := world.now + delay
	world.inFlight = append(world.inFlight, func() bool {
		if world.now < due {
			return false
		}
		_ = world.delivered(order.Token, order.ID, l.Deliver(context.Background(), order))
		return true
	})
	return errResponseLost
}

// platformLink delivers a node's orders to the platform; a call whose deadline
// passes during a pause is not sent.
type platformLink struct{ node *node }

func (p platformLink) Order(ctx context.Context, order storer.TargetOrder) error {
	world := p.node.world
	started := world.now
	runOnce(&p.node.beforePlatform)
	if world.now-started > 3*second {
		return storer.ErrUnavailable
	}
	return world.delivered(order.Token, order.ID, world.platform.Order(ctx, order))
}

func (p platformLink) ListOrdered(ctx context.Context, dataCentre string) ([]storer.OrderedTarget, error) {
	return p.node.world.platform.ListOrdered(ctx, dataCentre)
}

func runOnce(f *func()) {
	if g := *f; g != nil {
		*f = nil
		g()
	}
}

// pauseFor returns a hook that pauses the node for a span while the others run.
func (n *node) pauseFor(span timekeeper.Millis) func() {
	return func() {
		n.paused = n.world.now + span
		n.world.run(span, nil)
	}
}

// submitOnce returns a plan that submits each order once, even if several nodes
// share the plan.
func submitOnce(orders ...orderer.Order) func(*node) {
	next := 0
	return func(n *node) {
		if next < len(orders) {
			if _, err := n.orderer.Submit(orders[next]); err == nil {
				next++
			}
		}
	}
}

func changeRole(target string, r orderer.Role) orderer.Order {
	return orderer.Order{Action: orderer.ActionChangeRole, Target: target, Role: r}
}

var startOne = orderer.Order{Action: orderer.ActionStart, Kind: "engine", Purchase: "steady"}
