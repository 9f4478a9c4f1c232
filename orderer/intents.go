package orderer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// changesKept is how long a role change stays on record; the planner's budget
// counts over ten minutes.
const changesKept = 10 * timekeeper.Minute

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

// Check reports intents that no holder can have written.
func (i Intents) Check() error {
	if i.DataCentre == "" || i.Epoch < 1 || i.Sequence < 0 {
		return errors.Wrapf(ErrMalformed, "intents of data centre %q with epoch %d and sequence %d", i.DataCentre, i.Epoch, i.Sequence)
	}
	for _, order := range i.Intents {
		if err := order.Check(); err != nil {
			return err
		}
		if order.Epoch > i.Epoch || order.Sequence > i.Sequence {
			return errors.Wrapf(ErrMalformed, "order %s is newer than the intents (%d-%d)", order.ID(), i.Epoch, i.Sequence)
		}
	}
	return nil
}

// keep brings the stored intents and those in memory together by one call.
func (o *Orderer) keep(ctx context.Context, now timekeeper.Millis) error {
	if o.options.skipIntent && o.loaded {
		o.dirty, o.reread = false, false
		o.recorded(o.wanted(now))
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
		o.writeDue = o.jittered(now, o.options.Poll)
	}
	return err
}

// load reads the intents; those of a higher epoch end the tenure.
func (o *Orderer) load(ctx context.Context) error {
	stored, version, err := storer.Get(ctx, o.options.Objects, ObjectName(o.options.DataCentre), Decode)
	if err != nil {
		return err
	}
	if stored.Epoch > o.authority.Epoch() || (stored.Epoch == o.authority.Epoch() && !o.loaded && o.version == 0 && !o.reread) {
		o.authority.Raise(stored.Epoch)
		return errors.Wrapf(ErrSuperseded, "intents of %s carry epoch %d, own epoch is %d", o.options.DataCentre, stored.Epoch, o.authority.Epoch())
	}
	o.reread = false
	if version < o.version {
		return errors.Wrap(storer.ErrUnavailable, "stale answer")
	}
	o.version = version
	if stored.Epoch == o.authority.Epoch() {
		// Only this orderer writes under its epoch: the last write took effect.
		o.recorded(stored)
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

// inherit takes over the intents of an earlier epoch; they count once they are
// stored under the own epoch, which makes every later write of the earlier
// holder fail.
func (o *Orderer) inherit(stored Intents) {
	o.stored, o.sequence, o.changes, o.works = stored, stored.Sequence, stored.Changes, nil
	for _, order := range stored.Intents {
		o.works = append(o.works, &work{order: order, path: o.pathOf(order), inherited: true})
	}
	o.dirty = true
}

// wanted returns the intents as they should be stored.
func (o *Orderer) wanted(now timekeeper.Millis) Intents {
	var kept []RoleChange
	for _, c := range o.changes {
		if timekeeper.Millis(c.At) > now-changesKept {
			kept = append(kept, c)
		}
	}
	o.changes = kept
	w := Intents{DataCentre: o.options.DataCentre, Epoch: o.authority.Epoch(), Sequence: o.sequence, Changes: o.changes}
	for _, k := range o.works {
		if k.phase != phaseDone {
			w.Intents = append(w.Intents, k.order)
		}
	}
	return w
}

func (o *Orderer) store(ctx context.Context, now timekeeper.Millis) error {
	wanted := o.wanted(now)
	value, err := json.Marshal(wanted)
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
		o.recorded(wanted)
		return nil
	case !errors.Is(err, storer.ErrUnavailable):
		// The write took effect or another one came first: reading tells which.
		o.reread = true
	}
	o.writeDue = o.jittered(now, o.options.Poll)
	return err
}

// recorded takes note of the intents that are stored now: new ones may be sent,
// finished ones are gone.
func (o *Orderer) recorded(stored Intents) {
	o.stored, o.dirty = stored, false
	present := map[string]bool{}
	for _, order := range stored.Intents {
		present[order.ID()] = true
	}
	var left []*work
	for _, w := range o.works {
		switch is := present[w.order.ID()]; {
		case w.phase == phaseDone && !is:
			o.options.Finished(w.order, w.failure)
			continue
		case w.phase == phaseNew && is:
			w.phase = phaseRecorded
			code := recorder.OrderIntended
			if w.inherited {
				w.phase, code = phaseInherited, recorder.OrderInherited
			}
			o.event(code, w, "")
		case is == (w.phase == phaseDone) || w.phase == phaseNew:
			o.dirty = true
		}
		left = append(left, w)
	}
	o.works = left
}

func (o *Orderer) event(code recorder.Code, w *work, cause string) {
	o.options.Record(recorder.Event{Code: code, Order: w.order.ID(), Target: w.order.Target, Cause: cause})
}
