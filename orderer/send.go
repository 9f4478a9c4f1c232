package orderer

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// idSuffixes distinguish the drain, resume and fence calls of an order from the
// call for the order itself.
var idSuffixes = map[Action]string{ActionDrain: "-drain", ActionResume: "-resume", ActionFence: "-fence"}

// engineOrder returns the engine order for the next action. Its id does not
// depend on the sender's epoch, except for a fence, so that a retry under a later
// epoch is idempotent.
func (o *Orderer) engineOrder(w *pendingOrder) EngineOrder {
	e := EngineOrder{ID: w.order.ID(), Token: o.authority.Epoch(), Action: w.next}
	if w.next != w.order.Action {
		e.ID += idSuffixes[w.next]
	} else {
		e.Role, e.Model, e.Version, e.Adapter = w.order.Role, w.order.Model, w.order.Version, w.order.Adapter
	}
	if w.reissues > 0 {
		e.ID += fmt.Sprintf(".%d", w.reissues)
	}
	if w.next == ActionFence {
		e.ID += fmt.Sprintf("-%d", e.Token)
	}
	return e
}

// permitted reports whether the lease allows a send. If the lease is held, but not
// for long enough, the send is delayed until the lease is renewed.
func (o *Orderer) permitted(now timekeeper.Millis, w *pendingOrder) (bool, error) {
	need := w.path.leaseNeeded(o.options.SendTimeout)
	if o.check(need) == nil {
		return true, nil
	}
	w.due = now + o.options.PollInterval/4
	return false, o.check(0)
}

// send sends the next action to the engine.
func (o *Orderer) send(ctx context.Context, now timekeeper.Millis, w *pendingOrder, engine Engine) error {
	if ok, err := o.permitted(now, w); !ok {
		return err
	}
	// A planned stop does not cancel an order; its own deadline bounds it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.options.SendTimeout.Duration())
	defer cancel()
	need := w.path.leaseNeeded(o.options.SendTimeout)
	order := o.engineOrder(w)
	if w.next == w.order.Action {
		w.attempts++
	}
	if w.next == ActionDrain && w.order.Action != ActionDrain {
		o.event(recorder.DrainStarted, w, "")
	}
	err := engine.Send(ctx, order, func() error { return o.check(need) })
	w.due = o.options.Clock.Now() + o.options.PollInterval/4
	switch {
	case err == nil:
		o.accepted(now, w)
	case errors.Is(err, ErrStale):
		return o.superseded(err)
	case errors.Is(err, ErrNotSent):
		w.due = o.jittered(now, 2*o.options.PollInterval)
		if w.next == w.order.Action {
			w.attempts--
		}
		w.next = ""
	case errors.Is(err, ErrRejected):
		o.rejected(w, err)
	default:
		w.sent, w.answered, w.sentAt, w.next = true, false, now, ""
		o.inFlightUntil = max(o.inFlightUntil, now+o.options.SendTimeout)
		o.event(recorder.OrderSent, w, "response lost: "+err.Error())
	}
	return nil
}

// accepted records that the engine accepted the next action.
func (o *Orderer) accepted(now timekeeper.Millis, w *pendingOrder) {
	if w.next == ActionFence {
		w.fenced = true
	}
	if w.next == w.order.Action {
		w.sent, w.answered, w.sentAt = true, true, now
		o.event(recorder.OrderSent, w, "")
	}
	w.next = ""
}

// rejected ends an order that the engine rejected; a rejected drain is retried
// after the next state request. A fence counts as done even if the engine rejects
// it as unknown, because the engine has seen the token.
func (o *Orderer) rejected(w *pendingOrder, err error) {
	isOrder := w.next == w.order.Action
	w.fenced = w.fenced || w.next == ActionFence
	w.next = ""
	if !isOrder {
		w.due += o.options.PollInterval
		return
	}
	w.failure, w.resuming = err, w.order.needsDrain()
	if !w.resuming {
		o.finish(w, err)
	}
}

func (o *Orderer) superseded(err error) error {
	o.authority.ObserveEpoch(o.authority.Epoch())
	return errors.Wrap(ErrSuperseded, err.Error())
}

// advancePlatform sends an order to the platform or checks whether it is listed.
// An inherited order is always sent again under the own epoch: its id makes that
// idempotent, and the new token fences off the earlier holder.
func (o *Orderer) advancePlatform(ctx context.Context, now timekeeper.Millis, w *pendingOrder) error {
	if w.sent {
		return o.confirmListed(ctx, now, w)
	}
	w.path = platformPath{}
	if ok, err := o.permitted(now, w); !ok {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.options.SendTimeout.Duration())
	defer cancel()
	w.attempts++
	err := o.options.Targets.Order(ctx, o.targetOrder(w.order))
	switch {
	case err == nil, errors.Is(err, storer.ErrOutcomeUnknown):
		w.sent, w.answered, w.sentAt = true, err == nil, now
		if err != nil {
			o.inFlightUntil = max(o.inFlightUntil, now+o.options.SendTimeout)
		}
		o.event(recorder.OrderSent, w, "")
	case errors.Is(err, storer.ErrStaleToken):
		return o.superseded(err)
	case errors.Is(err, storer.ErrUnavailable):
		w.attempts--
		w.due = o.jittered(now, 2*o.options.PollInterval)
	default:
		o.finish(w, errors.Wrap(ErrRejected, err.Error()))
	}
	return nil
}

func (o *Orderer) targetOrder(order Order) storer.TargetOrder {
	action := storer.ActionStart
	if order.Action == ActionStop {
		action = storer.ActionStop
	}
	return storer.TargetOrder{
		ID: o.options.DataCentre + "/" + order.ID(), DataCentre: o.options.DataCentre, Token: o.authority.Epoch(),
		Action: action, Target: order.Target, Kind: order.Kind, Purchase: order.Purchase,
		Zone: order.Zone, Role: string(order.Role), Model: order.Model,
	}
}

// confirmListed confirms a platform order by the platform's list of ordered targets.
func (o *Orderer) confirmListed(ctx context.Context, now timekeeper.Millis, w *pendingOrder) error {
	w.due = now + o.options.PollInterval
	list, err := o.options.Targets.ListOrdered(ctx, o.options.DataCentre)
	if err != nil {
		return nil
	}
	found, state := w.order.Action == ActionStop, ""
	for _, target := range list {
		switch {
		case w.order.Action == ActionStart && target.OrderID == o.targetOrder(w.order).ID:
			found, state = true, target.State
		case w.order.Action == ActionStop && target.Name == w.order.Target:
			found = target.State == "leaving"
		}
	}
	switch {
	case state == "unavailable":
		o.finish(w, errors.Wrapf(ErrNoCapacity, "%s in zone %q", w.order.Purchase, w.order.Zone))
	case found:
		o.finish(w, nil)
	case now < w.sentAt+o.options.SendTimeout:
	case w.attempts >= o.options.MaxAttempts:
		o.finish(w, ErrNoEffect)
	default:
		w.sent = false
	}
	return nil
}
