package orderer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// phase is how far an order has come.
type phase int

const (
	phaseNew phase = iota
	phaseInherited
	phaseRecorded
	phaseDone
)

// work is an order in progress.
type work struct {
	order     Order
	path      path
	phase     phase
	inherited bool
	due       timekeeper.Millis

	next     Action            // what to send next; empty means to look first
	sentAt   timekeeper.Millis // last send of the order itself
	sent     bool
	answered bool
	tries    int
	round    int // grows when an answered order had no effect, so that it gets a new id
	fenced   bool
	drained  bool
	// drainSeen is when the engine was first seen to take no new work.
	drainSeen timekeeper.Millis
	idle      bool
	resuming  bool
	misses    int
	failure   error
}

// path is how orders reach a target: platformPath, checkedPath or ignoredPath.
type path interface {
	// need is how long the lease must last when the order is written.
	need(longest timekeeper.Millis) timekeeper.Millis
}

// platformPath leads to the platform, which refuses old tokens. It may not have
// seen the newest one yet, and its client has no hook before the write, so the
// deadline of the send must end before the lease does.
type platformPath struct{}

// checkedPath leads to an engine that refuses old tokens. A successor raises
// the engine's token before it looks, so that an old order cannot arrive after.
type checkedPath struct{}

// ignoredPath leads to an engine that ignores tokens. The send must end before
// the lease does, because nothing stops an old order at the engine.
type ignoredPath struct{}

func (platformPath) need(longest timekeeper.Millis) timekeeper.Millis { return longest }
func (checkedPath) need(timekeeper.Millis) timekeeper.Millis          { return 0 }
func (ignoredPath) need(longest timekeeper.Millis) timekeeper.Millis  { return longest }

func (o *Orderer) pathOf(order Order) path {
	if order.Action == ActionStart {
		return platformPath{}
	}
	if _, checked, ok := o.options.Engine(order.Target); ok && checked {
		return checkedPath{}
	}
	return ignoredPath{}
}

// check asks the authority whether an order may be written now.
func (o *Orderer) check(need timekeeper.Millis) error {
	if o.options.skipCheck {
		return nil
	}
	return o.authority.Check(need)
}

// advance makes the next call of an order.
func (o *Orderer) advance(ctx context.Context, now timekeeper.Millis, w *work) error {
	if w.order.Action == ActionStart || w.order.Action == ActionStop && w.drained {
		return o.advancePlatform(ctx, now, w)
	}
	engine, checked, ok := o.options.Engine(w.order.Target)
	if !ok {
		if w.order.Action == ActionStop {
			w.drained, w.sent = true, false
			return nil
		}
		o.finish(w, errors.Wrap(ErrGone, w.order.Target))
		return nil
	}
	if w.inherited && checked && !w.fenced {
		w.next = ActionFence
	}
	if w.next != "" {
		return o.send(ctx, now, w, engine)
	}
	state, err := o.look(ctx, engine)
	if err != nil {
		w.misses++
		w.due = now + o.options.Poll*timekeeper.Millis(min(w.misses, 10))
		return nil
	}
	w.misses = 0
	w.due = now + o.options.Poll
	o.decide(now, w, state)
	return nil
}

func (o *Orderer) look(ctx context.Context, engine Engine) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, o.options.Poll.Duration())
	defer cancel()
	state, err := engine.State(ctx)
	if err != nil {
		return state, err
	}
	return state, state.Check()
}

// decide sets what happens next with an order, from the state of its engine.
func (o *Orderer) decide(now timekeeper.Millis, w *work, s EngineState) {
	inFlight := w.sent && !w.answered && now < w.sentAt+o.options.LongestSend
	switch {
	case s.Changing != "" || inFlight:
		return
	case w.resuming || s.shows(w.order):
		o.conclude(w, s)
	case w.inherited && !w.sent && !s.Draining && w.order.Action == ActionChangeRole:
		// The successor decides anew about a change that had not begun.
		o.event(recorder.OrderCancelled, w, "")
		w.phase, o.dirty = phaseDone, true
	case w.order.drains() && !s.Draining:
		w.drainSeen = 0
		o.prepare(now, w, ActionDrain)
	case w.order.drains() && !o.idle(now, w, s):
		return
	case w.order.Action == ActionStop:
		w.drained, w.sent, w.due = true, false, now
	case w.tries >= o.options.Attempts:
		o.fail(w, s, ErrNoEffect)
	default:
		if w.sent && w.answered {
			w.round++
		}
		o.prepare(now, w, w.order.Action)
	}
}

// idle reports whether a drained engine runs nothing and gets nothing any more:
// routers may send it work until every instance has heard of the drain.
func (o *Orderer) idle(now timekeeper.Millis, w *work, s EngineState) bool {
	if w.drainSeen == 0 {
		w.drainSeen = now
	}
	if s.Running > 0 || now < w.drainSeen+o.options.Notice {
		return false
	}
	if !w.idle {
		w.idle = true
		o.event(recorder.DrainFinished, w, "")
	}
	return true
}

// prepare makes the next call send an action.
func (o *Orderer) prepare(now timekeeper.Millis, w *work, action Action) {
	w.next, w.due = action, now
}

// conclude ends an order whose effect shows, after the engine takes work again.
func (o *Orderer) conclude(w *work, s EngineState) {
	if s.Draining && (w.resuming || w.order.drains()) {
		w.resuming, w.next = true, ActionResume
		return
	}
	o.finish(w, w.failure)
}

// fail ends an order without effect; a drained engine takes work again first.
func (o *Orderer) fail(w *work, s EngineState, cause error) {
	w.failure = errors.WithMessage(cause, "order "+w.order.ID())
	w.resuming = true
	o.conclude(w, s)
}

func (o *Orderer) finish(w *work, failure error) {
	w.failure, w.phase, o.dirty = failure, phaseDone, true
	if failure != nil {
		o.event(recorder.OrderFailed, w, failure.Error())
		return
	}
	o.event(recorder.OrderConfirmed, w, "")
}
