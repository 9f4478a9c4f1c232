package meter

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// stepWindows bounds the windows that one step seals or reports after an outage,
// so that the work of a backlog is spread.
const stepWindows = 30

// Duty is the lease under which usage is reported.
type Duty interface {
	// Epoch is the fencing token.
	Epoch() int64
	// Check reports whether the lease is held for a time longer.
	Check(need timekeeper.Millis) error
}

// Progress is what one step did.
type Progress struct {
	Sealed   []string
	Reported []string
}

// ReporterOptions are the data centre and times of a reporter; zero times take the defaults.
type ReporterOptions struct {
	DataCentre string
	Window     timekeeper.Millis
	Delay      timekeeper.Millis
	// LongestSend bounds the sending of one report; the lease must last longer.
	LongestSend timekeeper.Millis
}

func (o ReporterOptions) withDefaults() ReporterOptions {
	if o.Window == 0 {
		o.Window = Window
	}
	if o.Delay == 0 {
		o.Delay = CollectDelay
	}
	if o.LongestSend == 0 {
		o.LongestSend = 3 * timekeeper.Second
	}
	return o
}

// Reporter seals and reports the windows of one data centre. One goroutine uses
// it for one tenure of the lease.
type Reporter struct {
	dataCentre string
	length     timekeeper.Millis
	delay      timekeeper.Millis
	longest    timekeeper.Millis
	objects    storer.Objects
	usage      storer.Usage
	duty       Duty

	cursor  Cursor
	version storer.Version
	last    *Sealed // head of the chain of sealed windows
	pending []Sealed
	ready   bool

	left     []left
	leftRead timekeeper.Millis

	// unsealed switches off sealing; only tests set it.
	unsealed bool
}

// NewReporter returns a reporter that first reads what its predecessors did.
func NewReporter(options ReporterOptions, o storer.Objects, u storer.Usage, d Duty) *Reporter {
	options = options.withDefaults()
	return &Reporter{
		dataCentre: options.DataCentre, length: options.Window, delay: options.Delay, longest: options.LongestSend,
		objects: o, usage: u, duty: d,
	}
}

// Step seals the windows that are due and reports what is sealed. It is called
// again after an error; nothing that took effect is done twice.
func (r *Reporter) Step(ctx context.Context, now timekeeper.Millis, members []Member) (Progress, error) {
	var p Progress
	if !r.ready {
		if err := r.resume(ctx, now); err != nil {
			return p, err
		}
		r.ready = true
	}
	if now-r.leftRead >= leftWindows*r.length {
		if err := r.readLeft(ctx, now); err != nil {
			return p, err
		}
	}
	for range stepWindows {
		next := r.cursor.First
		if r.last != nil {
			next = r.last.End
		}
		if next+r.length+r.delay > now {
			break
		}
		if err := r.sealNext(ctx, next, members, &p); err != nil {
			return p, err
		}
	}
	for len(r.pending) > 0 {
		if err := r.reportNext(ctx); err != nil {
			return p, err
		}
		p.Reported = append(p.Reported, WindowID(r.pending[0].Start))
		confirmed := r.pending[0].Start
		r.pending = r.pending[1:]
		if err := r.tidy(ctx, confirmed); err != nil {
			return p, err
		}
	}
	return p, nil
}

// resume claims the cursor for the own epoch and follows the sealed windows after
// the last confirmed one. The first claim fixes the first window: reporters that
// chose it for themselves would start two chains and seal the same counts twice.
func (r *Reporter) resume(ctx context.Context, now timekeeper.Millis) error {
	cursor, version, err := storer.Get(ctx, r.objects, cursorName(r.dataCentre), decode[Cursor])
	if err != nil {
		return errors.Wrap(err, "read usage cursor")
	}
	if cursor.Epoch > r.duty.Epoch() {
		return errors.Wrapf(ErrSuperseded, "epoch %d, stored %d", r.duty.Epoch(), cursor.Epoch)
	}
	r.cursor, r.version, r.last, r.pending = cursor, version, nil, nil
	if version == 0 {
		cursor.First = start(now-r.delay, r.length) - r.length
	}
	if cursor.Epoch < r.duty.Epoch() {
		cursor.Epoch = r.duty.Epoch()
		if err := r.write(ctx, cursor); err != nil {
			return err
		}
	}
	next := max(cursor.First, cursor.Confirmed)
	for {
		s, at, err := storer.Get(ctx, r.objects, sealedName(r.dataCentre, next), decode[Sealed])
		if err != nil {
			return errors.Wrap(err, "read sealed window")
		}
		if at == 0 && next == cursor.Confirmed {
			return errors.Wrapf(ErrMalformed, "confirmed window %s is not stored", WindowID(next))
		}
		if at == 0 {
			return nil
		}
		r.last = &s
		if s.Start > cursor.Confirmed {
			r.pending = append(r.pending, s)
		}
		next = s.End
	}
}

func (r *Reporter) sealNext(ctx context.Context, window timekeeper.Millis, members []Member, p *Progress) error {
	var marks []Mark
	if r.last != nil {
		marks = r.last.Marks
	}
	c := gather(ctx, members, window, r.length, marks, r.left)
	s := Sealed{
		DataCentre: r.dataCentre, Start: window, End: window + r.length, Epoch: r.duty.Epoch(),
		Marks: c.marks, Parts: []string{},
	}
	if err := r.duty.Check(r.longest); err != nil {
		return errors.Wrap(err, "seal usage")
	}
	if r.unsealed {
		r.last = &s
		p.Reported = append(p.Reported, WindowID(window))
		return r.usage.Report(ctx, report(s, c.figures(), s.Epoch))
	}
	stored, won, err := seal(ctx, r.objects, s, c.figures())
	if err != nil {
		return err
	}
	if won {
		p.Sealed = append(p.Sealed, WindowID(window))
	}
	r.last = &stored
	r.pending = append(r.pending, stored)
	return r.dropLeft(ctx, stored)
}

// reportNext announces the report in the cursor, checks the lease at the last
// moment and sends. A holder that was paused and replaced fails at the cursor.
// The confirmation of a window is stored with the announcement of the next.
func (r *Reporter) reportNext(ctx context.Context) error {
	s := r.pending[0]
	f, err := readFigures(ctx, r.objects, s)
	if err != nil {
		return err
	}
	if err := r.announce(ctx, s); err != nil {
		return err
	}
	if err := r.duty.Check(r.longest); err != nil {
		return errors.Wrap(err, "report usage")
	}
	ctx, cancel := context.WithTimeout(ctx, r.longest.Duration())
	defer cancel()
	if err := r.usage.Report(ctx, report(s, f, r.duty.Epoch())); err != nil {
		return errors.Wrapf(err, "report window %s", WindowID(s.Start))
	}
	r.cursor.Confirmed = s.Start
	return nil
}

func (r *Reporter) announce(ctx context.Context, s Sealed) error {
	next := r.cursor
	next.Epoch, next.Reporting = r.duty.Epoch(), s.Start
	return r.write(ctx, next)
}

// write updates the cursor. After a failure the next step reads what is stored;
// an own write whose answer was lost is found there.
func (r *Reporter) write(ctx context.Context, next Cursor) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode usage cursor")
	}
	version, err := r.objects.Put(ctx, cursorName(r.dataCentre), value, r.version)
	if err != nil {
		r.ready = false
		return errors.Wrap(err, "write usage cursor")
	}
	r.cursor, r.version = next, version
	return nil
}

// tidy removes the window that was confirmed keepSealed ago. A reporter that was
// paused for so long no longer passes the check of its lease.
func (r *Reporter) tidy(ctx context.Context, confirmed timekeeper.Millis) error {
	name := sealedName(r.dataCentre, confirmed-keepSealed)
	s, version, err := storer.Get(ctx, r.objects, name, decode[Sealed])
	if err != nil || version == 0 {
		return errors.Wrap(err, "read old window")
	}
	for _, digest := range s.Parts {
		object, err := r.objects.Get(ctx, partName(r.dataCentre, s.Start, digest))
		if err == nil {
			err = r.objects.Delete(ctx, object.Name, object.Version)
		}
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return errors.Wrap(err, "remove part of old window")
		}
	}
	return errors.Wrap(r.objects.Delete(ctx, name, version), "remove old window")
}
