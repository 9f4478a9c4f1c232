// Package orderer carries out orders to engines and to the platform under a
// lease epoch: the intent is stored first, the lease is checked at the last
// moment, and the order is confirmed before the intent is cleared.
package orderer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of orders.
var (
	// ErrSuperseded means that another process orders under an epoch at least as high.
	ErrSuperseded = errors.New("superseded by another epoch")
	// ErrBusy means that an order of the target is not finished yet.
	ErrBusy = errors.New("target has an unfinished order")
	// ErrMalformed means that a value cannot be used.
	ErrMalformed = errors.New("malformed")
)

// Authority is the lease under which orders are given.
type Authority interface {
	Epoch() int64
	// Check returns an error unless the lease is held now and for need longer.
	Check(need timekeeper.Millis) error
	// Raise ends the tenure because an epoch at least as high was seen.
	Raise(epoch int64)
}

// Options are the surroundings of an orderer.
type Options struct {
	DataCentre string
	Objects    storer.Objects
	Targets    storer.Targets
	Clock      timekeeper.Clock
	// Engine returns the interface to an engine and whether it checks fencing
	// tokens; ok is false when the target is gone.
	Engine func(target string) (engine Engine, checked, ok bool)
	// Record takes events; nil means none.
	Record func(recorder.Event)
	// Finished takes the outcome of each order; nil means none.
	Finished func(Order, error)
	// LongestSend is the longest time that an order is on its way; 0 means 3 s.
	LongestSend timekeeper.Millis
	// Notice is how long a drained engine may still get new work; 0 means 2 s.
	Notice timekeeper.Millis
	// Poll is the time between two looks at a target; 0 means 1 s.
	Poll timekeeper.Millis
	// Attempts is how often an order is sent; 0 means 3.
	Attempts int
	// Seed starts the jitter.
	Seed uint64

	// These faults exist for tests that show what the check and the intent prevent.
	skipCheck  bool
	skipIntent bool
}

func (o Options) withDefaults() Options {
	if o.LongestSend == 0 {
		o.LongestSend = 3 * timekeeper.Second
	}
	if o.Notice == 0 {
		o.Notice = 2 * timekeeper.Second
	}
	if o.Poll == 0 {
		o.Poll = timekeeper.Second
	}
	if o.Attempts == 0 {
		o.Attempts = 3
	}
	if o.Record == nil {
		o.Record = func(recorder.Event) {}
	}
	if o.Finished == nil {
		o.Finished = func(Order, error) {}
	}
	return o
}

// Orderer carries out the orders of one data centre under one epoch. It is safe
// for concurrent use; one caller runs Step.
type Orderer struct {
	options   Options
	authority Authority

	mu       sync.Mutex
	random   *rand.Rand
	loaded   bool
	stored   Intents
	version  storer.Version
	dirty    bool // the stored intents differ from what they should be
	reread   bool // the outcome of a write is unknown
	writeDue timekeeper.Millis
	sequence int64
	changes  []RoleChange
	works    []*work
	// quiet is the time by which no order is on its way any more.
	quiet timekeeper.Millis
}

// New returns an orderer that has not read the intents yet.
func New(o Options, a Authority) *Orderer {
	o = o.withDefaults()
	return &Orderer{options: o, authority: a, random: rand.New(rand.NewPCG(o.Seed, uint64(a.Epoch())))}
}

// Submit adds an order and returns it with its epoch and sequence. A target
// takes one order at a time.
func (o *Orderer) Submit(order Order) (Order, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return Order{}, errors.Wrap(ErrBusy, "the intents are not read yet")
	}
	for _, w := range o.works {
		if order.Target != "" && w.order.Target == order.Target {
			return Order{}, errors.Wrap(ErrBusy, order.Target)
		}
	}
	o.sequence++
	order.Epoch, order.Sequence, order.Recorded = o.authority.Epoch(), o.sequence, int64(o.options.Clock.Now())
	if err := order.Check(); err != nil {
		return Order{}, err
	}
	if order.Action == ActionChangeRole {
		o.changes = append(o.changes, RoleChange{Target: order.Target, At: order.Recorded})
	}
	o.works = append(o.works, &work{order: order, path: o.pathOf(order)})
	o.dirty = true
	return order, nil
}

// Loaded reports whether the intents were read and taken over.
func (o *Orderer) Loaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loaded
}

// Pending returns the unfinished orders.
func (o *Orderer) Pending() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	orders := make([]Order, 0, len(o.works))
	for _, w := range o.works {
		orders = append(orders, w.order)
	}
	return orders
}

// Changes returns the role changes of the last minutes, those of earlier epochs included.
func (o *Orderer) Changes() []RoleChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]RoleChange(nil), o.changes...)
}

// Step makes at most one outside call and returns how long to wait before the next.
func (o *Orderer) Step(ctx context.Context) (timekeeper.Millis, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Clock.Now()
	if !o.loaded || o.reread || o.dirty {
		if now < o.writeDue {
			return o.writeDue - now, nil
		}
		return 0, o.keep(ctx, now)
	}
	next := o.options.Poll
	for _, w := range o.works {
		if w.due <= now {
			err := o.advance(ctx, now, w)
			return 0, err
		}
		next = min(next, w.due-now)
	}
	return next, nil
}

// Run steps until the context ends or the authority is lost, then waits until no
// order is on its way. Each round starts with a call of plan, which may submit orders.
func (o *Orderer) Run(ctx context.Context, plan func(context.Context)) error {
	defer o.settle()
	for ctx.Err() == nil {
		if o.Loaded() {
			plan(ctx)
		}
		wait, err := o.Step(ctx)
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		if err := o.authority.Check(0); err != nil {
			return err
		}
		sleep(ctx, wait)
	}
	return nil
}

// settle waits until an order whose answer was lost can no longer arrive.
func (o *Orderer) settle() {
	o.mu.Lock()
	rest := o.quiet - o.options.Clock.Now()
	o.mu.Unlock()
	sleep(context.Background(), min(rest, o.options.LongestSend))
}

func sleep(ctx context.Context, d timekeeper.Millis) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jittered returns a time after now by full jitter over a span.
func (o *Orderer) jittered(now, span timekeeper.Millis) timekeeper.Millis {
	return now + 1 + timekeeper.Millis(o.random.Int64N(int64(span)))
}
