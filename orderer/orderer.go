// Package orderer sends orders to engines and to the platform under a lease
// epoch: the intent is stored first, the lease is checked immediately before the
// write, and the order is confirmed before the intent is cleared.
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
	// ErrSuperseded means that another process sends orders under an epoch at least as high.
	ErrSuperseded = errors.New("superseded by another epoch")
	// ErrBusy means that the target has an unfinished order, or that the intents are
	// not loaded yet.
	ErrBusy = errors.New("target has an unfinished order")
	// ErrMalformed means that an order, stored intents or an engine state is invalid.
	ErrMalformed = errors.New("malformed")
)

// Authority is the lease tenure under which orders are sent.
type Authority interface {
	Epoch() int64
	// Check returns an error unless the lease is held now and stays valid for need.
	Check(need timekeeper.Millis) error
	// ObserveEpoch ends the tenure because an epoch at least as high was seen.
	ObserveEpoch(epoch int64)
}

// Options are the dependencies and settings of an orderer.
type Options struct {
	DataCentre string
	Objects    storer.Objects
	Targets    storer.Targets
	Clock      timekeeper.Clock
	// Engine returns the interface to an engine and whether it checks fencing
	// tokens; ok is false when the target no longer exists.
	Engine func(target string) (engine Engine, checksToken, ok bool)
	// Record receives events; nil discards them.
	Record func(recorder.Event)
	// Finished is called with each finished order and its error; nil means no call.
	Finished func(Order, error)
	// SendTimeout is the longest time that an order is in flight; 0 means 3 s.
	SendTimeout timekeeper.Millis
	// DrainDelay is how long instances may still route requests to a draining
	// engine; 0 means 2 s.
	DrainDelay timekeeper.Millis
	// PollInterval is the time between two state requests to a target; 0 means 1 s.
	PollInterval timekeeper.Millis
	// MaxAttempts is how often an order is sent at most; 0 means 3.
	MaxAttempts int
	// Seed seeds the jitter.
	Seed uint64

	// Tests set these faults to show what the lease check and the intents prevent.
	skipCheck  bool
	skipIntent bool
}

func (o Options) withDefaults() Options {
	if o.SendTimeout == 0 {
		o.SendTimeout = 3 * timekeeper.Second
	}
	if o.DrainDelay == 0 {
		o.DrainDelay = 2 * timekeeper.Second
	}
	if o.PollInterval == 0 {
		o.PollInterval = timekeeper.Second
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = 3
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
	dirty    bool // the stored intents are out of date
	reread   bool // the outcome of a write is unknown
	writeDue timekeeper.Millis
	sequence int64
	changes  []RoleChange
	pending  []*pendingOrder
	// inFlightUntil is the time by which no order is in flight any more.
	inFlightUntil timekeeper.Millis
}

// New returns an orderer that has not read the intents yet.
func New(o Options, a Authority) *Orderer {
	o = o.withDefaults()
	return &Orderer{options: o, authority: a, random: rand.New(rand.NewPCG(o.Seed, uint64(a.Epoch())))}
}

// Submit adds an order and returns it with its epoch and sequence. A target has
// at most one unfinished order, or Submit returns ErrBusy.
func (o *Orderer) Submit(order Order) (Order, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return Order{}, errors.Wrap(ErrBusy, "intents are not loaded yet")
	}
	for _, w := range o.pending {
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
	o.pending = append(o.pending, &pendingOrder{order: order, path: o.pathOf(order)})
	o.dirty = true
	return order, nil
}

// Loaded reports whether the stored intents are read and taken over.
func (o *Orderer) Loaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loaded
}

// Pending returns the unfinished orders.
func (o *Orderer) Pending() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	orders := make([]Order, 0, len(o.pending))
	for _, w := range o.pending {
		orders = append(orders, w.order)
	}
	return orders
}

// Changes returns the role changes of the last ten minutes, including those of
// earlier epochs.
func (o *Orderer) Changes() []RoleChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]RoleChange(nil), o.changes...)
}

// Step makes at most one call to the store, the platform or an engine and returns
// how long to wait before the next step.
func (o *Orderer) Step(ctx context.Context) (timekeeper.Millis, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.options.Clock.Now()
	if !o.loaded || o.reread || o.dirty {
		if now < o.writeDue {
			return o.writeDue - now, nil
		}
		return 0, o.syncIntents(ctx, now)
	}
	next := o.options.PollInterval
	for _, w := range o.pending {
		if w.due <= now {
			err := o.advance(ctx, now, w)
			return 0, err
		}
		next = min(next, w.due-now)
	}
	return next, nil
}

// Run calls Step until the context ends or the authority is lost, then waits until
// no order is in flight. It calls plan before each step once the intents are
// loaded; plan may submit orders.
func (o *Orderer) Run(ctx context.Context, plan func(context.Context)) error {
	defer o.awaitInFlight()
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

// awaitInFlight waits until an order whose response was lost can no longer arrive.
func (o *Orderer) awaitInFlight() {
	o.mu.Lock()
	remaining := o.inFlightUntil - o.options.Clock.Now()
	o.mu.Unlock()
	sleep(context.Background(), min(remaining, o.options.SendTimeout))
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

// jittered returns a time at a uniformly random delay (full jitter) of up to span
// after now.
func (o *Orderer) jittered(now, span timekeeper.Millis) timekeeper.Millis {
	return now + 1 + timekeeper.Millis(o.random.Int64N(int64(span)))
}
