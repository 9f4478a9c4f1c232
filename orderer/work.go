package orderer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// phase is the progress of an order.
type phase int

const (
	phaseNew phase = iota
	phaseInherited
	phaseRecorded
	phaseDone
)

// pendingOrder is an order that is not cleared from the intents yet, with its
// progress.
type pendingOrder struct {
	order     Order
	path      path
	phase     phase
	inherited bool
	due       timekeeper.Millis

	next     Action            // action to send next; empty means to request the engine's state
	sentAt   timekeeper.Millis // time of the last send of the order itself
	sent     bool
	answered bool
	attempts int
	reissues int // increases when an answered order had no effect, so that it gets a new id
	fenced   bool
	drained  bool
	// drainingSince is when the engine was first seen to accept no new requests.
	drainingSince timekeeper.Millis
	drainFinished bool
	resuming      bool
	failedChecks  int // consecutive failed state requests
	failure       error
}

// path is how orders reach a target: platformPath, fencedPath or unfencedPath.
type path interface {
	// leaseNeeded is how long the lease must stay valid when the order is written.
	leaseNeeded(longestSend timekeeper.Millis) timekeeper.Millis
}

// platformPath leads to the platform, which refuses stale tokens. The platform may
// not have seen the newest token yet, and its client cannot check the lease
// immediately before the write, so the send's deadline must be before the end of
// the lease.
type platformPath struct{}

// fencedPath leads to an engine that refuses stale tokens. A successor raises the
// engine's token before it requests the state, so that the engine refuses stale
// orders from then on.
type fencedPath struct{}

// unfencedPath leads to an engine that ignores tokens. The send must end before
// the lease does, because the engine does not refuse a stale order.
type unfencedPath struct{}

func (platformPath) leaseNeeded(longestSend timekeeper.Millis) timekeeper.Millis { return longestSend }
func (fencedPath) leaseNeeded(timekeeper.Millis) timekeeper.Millis               { return 0 }
func (unfencedPath) leaseNeeded(longestSend timekeeper.Millis) timekeeper.Millis { return longestSend }

func (o *Orderer) pathOf(order Order) path {
	if order.Action == ActionStart {
		return platformPath{}
	}
	if _, checksToken, ok := o.options.Engine(order.Target); ok && checksToken {
		return fencedPath{}
	}
	return unfencedPath{}
}

// check returns an error unless the lease is held now and stays valid for need.
func (o *Orderer) check(need timekeeper.Millis) error {
	if o.options.skipCheck {
		return nil
	}
	return o.authority.Check(need)
}

// advance makes the next call for an order.
func (o *Orderer) advance(ctx context.Context, now timekeeper.Millis, w *pendingOrder) error {
	if w.order.Action == ActionStart || w.order.Action == ActionStop && w.drained {
		return o.advancePlatform(ctx, now, w)
	}
	engine, checksToken, ok := o.options.Engine(w.order.Target)
	if !ok {
		if w.order.Action == ActionStop {
			w.drained, w.sent = true, false
			return nil
		}
		o.finish(w, errors.Wrap(ErrGone, w.order.Target))
		return nil
	}
	if w.inherited && checksToken && !w.fenced {
		w.next = ActionFence
	}
	if w.next != "" {
		return o.send(ctx, now, w, engine)
	}
	state, err := o.engineState(ctx, engine)
	if err != nil {
		w.failedChecks++
		w.due = now + o.options.PollInterval*timekeeper.Millis(min(w.failedChecks, 10))
		return nil
	}
	w.failedChecks = 0
	w.due = now + o.options.PollInterval
	o.decide(now, w, state)
	return nil
}

func (o *Orderer) engineState(ctx context.Context, engine Engine) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, o.options.PollInterval.Duration())
	defer cancel()
	state, err := engine.State(ctx)
	if err != nil {
		return state, err
	}
	return state, state.Check()
}

// decide chooses the next step of an order from the state of its engine.
func (o *Orderer) decide(now timekeeper.Millis, w *pendingOrder, s EngineState) {
	inFlight := w.sent && !w.answered && now < w.sentAt+o.options.SendTimeout
	switch {
	case s.Changing != "" || inFlight:
		return
	case w.resuming || s.reflects(w.order):
		o.resumeOrFinish(w, s)
	case w.inherited && !w.sent && !s.Draining && w.order.Action == ActionChangeRole:
		// The change had not begun: the planner of this epoch decides about it anew.
		o.event(recorder.OrderCancelled, w, "")
		w.phase, o.dirty = phaseDone, true
	case w.order.needsDrain() && !s.Draining:
		w.drainingSince = 0
		o.scheduleSend(now, w, ActionDrain)
	case w.order.needsDrain() && !o.drainComplete(now, w, s):
		return
	case w.order.Action == ActionStop:
		w.drained, w.sent, w.due = true, false, now
	case w.attempts >= o.options.MaxAttempts:
		o.fail(w, s, ErrNoEffect)
	default:
		if w.sent && w.answered {
			w.reissues++
		}
		o.scheduleSend(now, w, w.order.Action)
	}
}

// drainComplete reports whether a draining engine runs no requests and receives
// none any more: instances may route requests to it until each of them has
// received the drain.
func (o *Orderer) drainComplete(now timekeeper.Millis, w *pendingOrder, s EngineState) bool {
	if w.drainingSince == 0 {
		w.drainingSince = now
	}
	if s.Running > 0 || now < w.drainingSince+o.options.DrainDelay {
		return false
	}
	if !w.drainFinished {
		w.drainFinished = true
		o.event(recorder.DrainFinished, w, "")
	}
	return true
}

// scheduleSend makes an action the next one to send.
func (o *Orderer) scheduleSend(now timekeeper.Millis, w *pendingOrder, action Action) {
	w.next, w.due = action, now
}

// resumeOrFinish finishes an order, with its failure if any, after the engine
// accepts requests again.
func (o *Orderer) resumeOrFinish(w *pendingOrder, s EngineState) {
	if s.Draining && (w.resuming || w.order.needsDrain()) {
		w.resuming, w.next = true, ActionResume
		return
	}
	o.finish(w, w.failure)
}

// fail ends an order with a failure; a draining engine is resumed first.
func (o *Orderer) fail(w *pendingOrder, s EngineState, cause error) {
	w.failure = errors.WithMessage(cause, "order "+w.order.ID())
	w.resuming = true
	o.resumeOrFinish(w, s)
}

func (o *Orderer) finish(w *pendingOrder, failure error) {
	w.failure, w.phase, o.dirty = failure, phaseDone, true
	if failure != nil {
		o.event(recorder.OrderFailed, w, failure.Error())
		return
	}
	o.event(recorder.OrderConfirmed, w, "")
}
