package orderer

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// kindsOfSend name the calls that belong to an order besides the order itself.
var kindsOfSend = map[Action]string{ActionDrain: "-drain", ActionResume: "-resume", ActionFence: "-fence"}

// engineOrder returns an action of an order as the engine receives it. The id is
// the same under every epoch, so that an order that is sent twice runs once.
func (o *Orderer) engineOrder(w *work) EngineOrder {
	e := EngineOrder{ID: w.order.ID(), Token: o.authority.Epoch(), Action: w.next}
	if w.next != w.order.Action {
		e.ID += kindsOfSend[w.next]
	} else {
		e.Role, e.Model, e.Version, e.Adapter = w.order.Role, w.order.Model, w.order.Version, w.order.Adapter
	}
	if w.round > 0 {
		e.ID += fmt.Sprintf(".%d", w.round)
	}
	if w.next == ActionFence {
		e.ID += fmt.Sprintf("-%d", e.Token)
	}
	return e
}

// permitted checks the lease for a send. When the lease is held, but not for
// long enough, the send waits for its renewal.
func (o *Orderer) permitted(now timekeeper.Millis, w *work) (bool, error) {
	need := w.path.need(o.options.LongestSend)
	if o.check(need) == nil {
		return true, nil
	}
	w.due = now + o.options.Poll/4
	return false, o.check(0)
}

// send sends w.next to the engine.
func (o *Orderer) send(ctx context.Context, now timekeeper.Millis, w *work, engine Engine) error {
	if ok, err := o.permitted(now, w); !ok {
		return err
	}
	// A planned stop does not cut an order short: its own deadline bounds it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.options.LongestSend.Duration())
	defer cancel()
	need := w.path.need(o.options.LongestSend)
	order := o.engineOrder(w)
	if w.next == w.order.Action {
		w.tries++
	}
	if w.next == ActionDrain && w.order.Action != ActionDrain {
		o.event(recorder.DrainStarted, w, "")
	}
	err := engine.Send(ctx, order, func() error { return o.check(need) })
	w.due = o.options.Clock.Now() + o.options.Poll/4
	switch {
	case err == nil:
		o.arrived(now, w)
	case errors.Is(err, ErrStale):
		return o.superseded(err)
	case errors.Is(err, ErrNotSent):
		w.due = o.jittered(now, 2*o.options.Poll)
		if w.next == w.order.Action {
			w.tries--
		}
		w.next = ""
	case errors.Is(err, ErrRejected):
		o.rejected(w, err)
	default:
		w.sent, w.answered, w.sentAt, w.next = true, false, now, ""
		o.quiet = max(o.quiet, now+o.options.LongestSend)
		o.event(recorder.OrderSent, w, "answer lost: "+err.Error())
	}
	return nil
}

// arrived takes note of an order that the engine took.
func (o *Orderer) arrived(now timekeeper.Millis, w *work) {
	if w.next == ActionFence {
		w.fenced = true
	}
	if w.next == w.order.Action {
		w.sent, w.answered, w.sentAt = true, true, now
		o.event(recorder.OrderSent, w, "")
	}
	w.next = ""
}

// rejected ends an order that the engine refused; a refused drain is tried again
// after the next look. An engine that does not know fence orders has seen the
// token all the same.
func (o *Orderer) rejected(w *work, err error) {
	own := w.next == w.order.Action
	w.fenced = w.fenced || w.next == ActionFence
	w.next = ""
	if !own {
		w.due += o.options.Poll
		return
	}
	w.failure, w.resuming = err, w.order.drains()
	if !w.resuming {
		o.finish(w, err)
	}
}

func (o *Orderer) superseded(err error) error {
	o.authority.Raise(o.authority.Epoch())
	return errors.Wrap(ErrSuperseded, err.Error())
}

// advancePlatform sends an order to the platform or looks whether it is listed.
// An inherited order is always sent again under the own epoch: its id keeps it
// from running twice, and the new token shuts the earlier holder out.
func (o *Orderer) advancePlatform(ctx context.Context, now timekeeper.Millis, w *work) error {
	if w.sent {
		return o.listed(ctx, now, w)
	}
	w.path = platformPath{}
	if ok, err := o.permitted(now, w); !ok {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.options.LongestSend.Duration())
	defer cancel()
	w.tries++
	err := o.options.Targets.Order(ctx, o.targetOrder(w.order))
	switch {
	case err == nil, errors.Is(err, storer.ErrUncertain):
		w.sent, w.answered, w.sentAt = true, err == nil, now
		if err != nil {
			o.quiet = max(o.quiet, now+o.options.LongestSend)
		}
		o.event(recorder.OrderSent, w, "")
	case errors.Is(err, storer.ErrStaleToken):
		return o.superseded(err)
	case errors.Is(err, storer.ErrUnavailable):
		w.tries--
		w.due = o.jittered(now, 2*o.options.Poll)
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

// listed confirms a platform order by the platform's list of ordered targets.
func (o *Orderer) listed(ctx context.Context, now timekeeper.Millis, w *work) error {
	w.due = now + o.options.Poll
	list, err := o.options.Targets.Ordered(ctx, o.options.DataCentre)
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
		o.finish(w, errors.Wrapf(ErrNotDelivered, "%s in zone %q", w.order.Purchase, w.order.Zone))
	case found:
		o.finish(w, nil)
	case now < w.sentAt+o.options.LongestSend:
	case w.tries >= o.options.Attempts:
		o.finish(w, ErrNoEffect)
	default:
		w.sent = false
	}
	return nil
}
