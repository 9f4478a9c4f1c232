// Package leaser assigns duties by leases in the store: one holder per duty and data
// centre, epochs that only increase, and validity measured on two clocks.
package leaser

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of leases.
var (
	// ErrNotHeld means that the lease is not held, or not for long enough.
	ErrNotHeld = errors.New("lease is not held")
	// ErrAbandoned, as the cause of an ended context, makes Run return without releasing
	// the lease, as if the process had been killed.
	ErrAbandoned = errors.New("lease abandoned")
	// ErrMalformed means that a stored lease is invalid.
	ErrMalformed = errors.New("malformed lease")
)

// callTimeout bounds one call on the store; it equals the store client's own timeout.
const callTimeout = 2 * timekeeper.Second

// Duty is work that runs while the lease is held. It must stop when its context ends,
// and return only when it has no order in flight.
type Duty func(ctx context.Context, t Tenure)

// Leaser competes for one duty of one data centre and runs it while it holds the lease.
type Leaser struct {
	machine *Machine
	objects storer.Objects
	clock   timekeeper.Clock
	record  func(recorder.Event)
	name    string
}

// New returns a leaser for the machine's duty. It passes its events to record, which may be nil.
func New(m *Machine, objects storer.Objects, c timekeeper.Clock, record func(recorder.Event)) *Leaser {
	if record == nil {
		record = func(recorder.Event) {}
	}
	return &Leaser{machine: m, objects: objects, clock: c, record: record, name: ObjectName(m.dataCentre, m.duty)}
}

// Machine returns the leaser's state machine.
func (l *Leaser) Machine() *Machine { return l.machine }

// Run competes for the lease and runs the duty until the context ends. It then
// waits for the duty and releases the lease.
func (l *Leaser) Run(ctx context.Context, duty Duty) {
	var running *runningDuty
	for ctx.Err() == nil {
		step := l.machine.Next(l.clock.Read())
		running = l.syncDuty(ctx, running, duty)
		l.perform(ctx, step)
		running = l.syncDuty(ctx, running, duty)
	}
	running.stop()
	if errors.Is(context.Cause(ctx), ErrAbandoned) {
		return
	}
	l.machine.Release()
	l.release(context.WithoutCancel(ctx))
	if running != nil {
		l.record(recorder.Event{Code: recorder.LeaseLost, Cause: l.name + ": released"})
	}
}

// syncDuty starts the duty if the lease was taken and stops it if the lease was lost.
func (l *Leaser) syncDuty(ctx context.Context, running *runningDuty, duty Duty) *runningDuty {
	epoch, held := l.machine.Held(l.clock.Read())
	if running != nil && (!held || epoch != running.epoch) {
		running.stop()
		l.record(recorder.Event{Code: recorder.LeaseLost, Cause: l.name + ": not renewed in time"})
		running = nil
	}
	if held && running == nil && ctx.Err() == nil {
		l.record(recorder.Event{Code: recorder.LeaseTaken, Cause: fmt.Sprintf("%s: epoch %d", l.name, epoch)})
		running = startDuty(ctx, duty, Tenure{machine: l.machine, clock: l.clock, epoch: epoch})
	}
	return running
}

// perform executes one step; it returns early when the context ends.
func (l *Leaser) perform(ctx context.Context, step Step) {
	switch s := step.(type) {
	case Wait:
		timer := time.NewTimer(max(s.Span, 1).Duration())
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	case Read:
		l.read(ctx)
	case Write:
		l.write(ctx, s)
	}
}

// callContext returns a context that ends with the call timeout or with the lease,
// so that a slow answer cannot block the loop past the end of the lease.
func (l *Leaser) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := callTimeout
	if remaining := l.machine.Remaining(l.clock.Read()); remaining > 0 {
		timeout = min(timeout, remaining)
	}
	return context.WithTimeout(ctx, timeout.Duration())
}

func (l *Leaser) read(ctx context.Context) {
	ctx, cancel := l.callContext(ctx)
	defer cancel()
	lease, version, err := storer.Get(ctx, l.objects, l.name, Decode)
	l.machine.ReadDone(l.clock.Read(), lease, version, err)
}

func (l *Leaser) write(ctx context.Context, w Write) {
	ctx, cancel := l.callContext(ctx)
	defer cancel()
	value, err := json.Marshal(w.Lease)
	if err != nil {
		l.machine.WriteDone(l.clock.Read(), w, 0, errors.Wrap(storer.ErrUnavailable, err.Error()))
		return
	}
	version, err := l.objects.Put(ctx, l.name, value, w.Expected)
	l.machine.WriteDone(l.clock.Read(), w, version, err)
}

// release releases the lease; a read may have to resolve an earlier write first. If it
// fails, the lease expires on its own.
func (l *Leaser) release(ctx context.Context) {
	for range 3 {
		switch s := l.machine.Next(l.clock.Read()).(type) {
		case Read:
			l.read(ctx)
		case Write:
			l.write(ctx, s)
		default:
			return
		}
	}
}

// ObjectName returns the name of the object that holds a lease.
func ObjectName(dataCentre string, duty LeaseDuty) string {
	return "leases/" + dataCentre + "/" + string(duty)
}

// Decode decodes and checks a stored lease.
func Decode(data []byte) (Lease, error) {
	var l Lease
	if err := json.Unmarshal(data, &l); err != nil {
		return Lease{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return l, l.Check()
}

// Check returns ErrMalformed if no holder can have written the lease.
func (l Lease) Check() error {
	switch {
	case l.Duty == "" || l.DataCentre == "" || l.Holder == "":
		return errors.Wrap(ErrMalformed, "duty, data centre and holder must be set")
	case l.Epoch < 1 || l.Renewal < 1 || l.LengthMilliseconds < 1:
		return errors.Wrapf(ErrMalformed, "epoch %d, renewal %d and length %d must be positive", l.Epoch, l.Renewal, l.LengthMilliseconds)
	}
	return nil
}
