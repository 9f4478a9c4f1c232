package leaser

import (
	"context"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Tenure is the period for which an instance holds a lease under one epoch.
type Tenure struct {
	machine *Machine
	clock   timekeeper.Clock
	epoch   int64
}

// Epoch returns the tenure's epoch, which is the fencing token of its orders.
func (t Tenure) Epoch() int64 { return t.epoch }

// Check returns ErrNotHeld unless the lease is held for at least need. It is called
// immediately before an order is written.
func (t Tenure) Check(need timekeeper.Millis) error {
	return t.machine.Check(t.clock.Read(), t.epoch, need)
}

// Continues reports whether the instance held the lease when it noticed the era of the store, so
// that nobody else can have held it since its tenure before.
func (t Tenure) Continues() bool { return t.machine.continuesTenure() }

// ObserveEpoch ends the tenure if epoch, which was seen elsewhere, is at least as high as its
// own. The next tenure gets a higher epoch.
func (t Tenure) ObserveEpoch(epoch int64) { t.machine.ObserveEpoch(t.clock.Read(), epoch) }

// runningDuty is a duty that runs in a goroutine.
type runningDuty struct {
	epoch  int64
	cancel context.CancelFunc
	done   chan struct{}
}

func startDuty(ctx context.Context, duty Duty, t Tenure) *runningDuty {
	ctx, cancel := context.WithCancel(ctx)
	r := &runningDuty{epoch: t.epoch, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		duty(ctx, t)
	}()
	return r
}

// stop ends the duty and waits for it.
func (r *runningDuty) stop() {
	if r == nil {
		return
	}
	r.cancel()
	<-r.done
}

// SendTimeout returns the longest time for which an order may be in flight. The lease
// must be held for at least as long when an order is sent.
func (t Tenure) SendTimeout() timekeeper.Millis { return t.machine.options.SendTimeout }
