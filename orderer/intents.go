package orderer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// changeRetention is how long a role change stays in the intents; the planner's
// budget of role changes covers ten minutes.
const changeRetention = 10 * timekeeper.Minute

// ObjectName returns the name of the object that holds the intents of a data centre.
func ObjectName(dataCentre string) string { return "intents/" + dataCentre }

// Decode decodes and checks stored intents.
func Decode(data []byte) (Intents, error) {
	var i Intents
	if err := json.Unmarshal(data, &i); err != nil {
		return Intents{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return i, i.Check()
}

// Check returns an error if no lease holder can have written the intents.
func (i Intents) Check() error {
	if i.DataCentre == "" || i.Epoch < 1 || i.Sequence < 0 {
		return errors.Wrapf(ErrMalformed, "intents of data centre %q have epoch %d and sequence %d", i.DataCentre, i.Epoch, i.Sequence)
	}
	for _, order := range i.Intents {
		if err := order.Check(); err != nil {
			return err
		}
		if order.Epoch > i.Epoch || order.Sequence > i.Sequence {
			return errors.Wrapf(ErrMalformed, "order %s is newer than its intents (%d-%d)", order.ID(), i.Epoch, i.Sequence)
		}
	}
	return nil
}

// syncIntents makes one call that reads or writes the stored intents, whichever
// is due.
func (o *Orderer) syncIntents(ctx context.Context, now timekeeper.Millis) error {
	if o.options.skipIntent && o.loaded {
		o.dirty, o.reread = false, false
		o.applyStored(o.currentIntents(now))
		return nil
	}
	var err error
	if !o.loaded || o.reread {
		err = o.load(ctx)
	}
	if err == nil && o.dirty && !o.reread {
		return o.store(ctx, now)
	}
	if err != nil && !errors.Is(err, ErrSuperseded) {
		o.writeDue = o.jittered(now, o.options.PollInterval)
	}
	return err
}

// load reads the intents; if their epoch is higher, the tenure ends.
func (o *Orderer) load(ctx context.Context) error {
	stored, version, err := storer.Get(ctx, o.options.Objects, ObjectName(o.options.DataCentre), Decode)
	if err != nil {
		return err
	}
	if stored.Epoch > o.authority.Epoch() || (stored.Epoch == o.authority.Epoch() && !o.loaded && o.version == 0 && !o.reread) {
		o.authority.ObserveEpoch(stored.Epoch)
		return errors.Wrapf(ErrSuperseded, "intents of data centre %s have epoch %d, own epoch is %d", o.options.DataCentre, stored.Epoch, o.authority.Epoch())
	}
	o.reread = false
	if version < o.version {
		return errors.Wrap(storer.ErrUnavailable, "stale version of the intents")
	}
	o.version = version
	if stored.Epoch == o.authority.Epoch() {
		// Only this orderer writes under its epoch, so its last write took effect.
		o.applyStored(stored)
		o.loaded = true
		return nil
	}
	if o.loaded {
		o.dirty = true
		return nil
	}
	o.inherit(stored)
	return nil
}

// inherit takes over the intents of an earlier epoch. They are in force once they
// are stored under the own epoch, which makes every later write of the earlier
// holder fail.
func (o *Orderer) inherit(stored Intents) {
	o.stored, o.sequence, o.changes, o.pending = stored, stored.Sequence, stored.Changes, nil
	for _, order := range stored.Intents {
		o.pending = append(o.pending, &pendingOrder{order: order, path: o.pathOf(order), inherited: true})
	}
	o.dirty = true
}

// currentIntents returns the intents as they should be stored and drops expired
// role changes.
func (o *Orderer) currentIntents(now timekeeper.Millis) Intents {
	var kept []RoleChange
	for _, c := range o.changes {
		if timekeeper.Millis(c.At) > now-changeRetention {
			kept = append(kept, c)
		}
	}
	o.changes = kept
	i := Intents{DataCentre: o.options.DataCentre, Epoch: o.authority.Epoch(), Sequence: o.sequence, Changes: o.changes}
	for _, w := range o.pending {
		if w.phase != phaseDone {
			i.Intents = append(i.Intents, w.order)
		}
	}
	return i
}

func (o *Orderer) store(ctx context.Context, now timekeeper.Millis) error {
	intents := o.currentIntents(now)
	value, err := json.Marshal(intents)
	if err != nil {
		return errors.Wrap(err, "encode intents")
	}
	if err := o.check(0); err != nil {
		return err
	}
	version, err := o.options.Objects.Put(ctx, ObjectName(o.options.DataCentre), value, o.version)
	switch {
	case err == nil:
		o.version, o.loaded = version, true
		o.applyStored(intents)
		return nil
	case !errors.Is(err, storer.ErrUnavailable):
		// Either this write took effect or another one came first; load finds out.
		o.reread = true
	}
	o.writeDue = o.jittered(now, o.options.PollInterval)
	return err
}

// applyStored updates the pending orders from the stored intents: recorded orders
// may be sent, and finished ones that are cleared are removed.
func (o *Orderer) applyStored(stored Intents) {
	o.stored, o.dirty = stored, false
	storedIDs := map[string]bool{}
	for _, order := range stored.Intents {
		storedIDs[order.ID()] = true
	}
	var remaining []*pendingOrder
	for _, w := range o.pending {
		switch found := storedIDs[w.order.ID()]; {
		case w.phase == phaseDone && !found:
			o.options.Finished(w.order, w.failure)
			continue
		case w.phase == phaseNew && found:
			w.phase = phaseRecorded
			code := recorder.OrderIntended
			if w.inherited {
				w.phase, code = phaseInherited, recorder.OrderInherited
			}
			o.event(code, w, "")
		case found == (w.phase == phaseDone) || w.phase == phaseNew:
			o.dirty = true
		}
		remaining = append(remaining, w)
	}
	o.pending = remaining
}

func (o *Orderer) event(code recorder.Code, w *pendingOrder, cause string) {
	o.options.Record(recorder.Event{Code: code, Order: w.order.ID(), Target: w.order.Target, Cause: cause})
}
