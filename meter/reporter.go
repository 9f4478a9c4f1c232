package meter

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// stepWindows is the maximum number of windows that one step seals, so that a
// backlog after an outage is spread over several steps.
const stepWindows = 30

// Duty is the lease under which usage is reported.
type Duty interface {
	// Epoch returns the fencing token.
	Epoch() int64
	// Check returns an error unless the lease is held for at least the given time.
	Check(need timekeeper.Millis) error
}

// Progress lists the IDs of the windows that one step sealed and reported.
type Progress struct {
	Sealed   []string
	Reported []string
}

// ReporterOptions configure a reporter. Zero durations take the defaults.
type ReporterOptions struct {
	DataCentre string
	Window     timekeeper.Millis
	Delay      timekeeper.Millis
	// SendTimeout is the timeout of one report; the lease must be held for longer.
	SendTimeout timekeeper.Millis
}

func (o ReporterOptions) withDefaults() ReporterOptions {
	if o.Window == 0 {
		o.Window = Window
	}
	if o.Delay == 0 {
		o.Delay = CollectDelay
	}
	if o.SendTimeout == 0 {
		o.SendTimeout = 3 * timekeeper.Second
	}
	return o
}

// Reporter seals and reports the windows of one data centre. One goroutine uses
// it for one tenure of the lease.
type Reporter struct {
	dataCentre    string
	length        timekeeper.Millis
	delay         timekeeper.Millis
	reportTimeout timekeeper.Millis
	objects       storer.Objects
	usage         storer.Usage
	duty          Duty

	cursor        Cursor
	cursorVersion storer.Version
	lastSealed    *Sealed // newest window of the chain of sealed windows
	pending       []Sealed
	resumed       bool

	stoppedCounts []stoppedCounts
	stoppedReadAt timekeeper.Millis

	// skipSealing reports windows without sealing them; only tests set it.
	skipSealing bool
}

// NewReporter returns a reporter that continues from the stored state of earlier
// reporters.
func NewReporter(options ReporterOptions, o storer.Objects, u storer.Usage, d Duty) *Reporter {
	options = options.withDefaults()
	return &Reporter{
		dataCentre: options.DataCentre, length: options.Window, delay: options.Delay, reportTimeout: options.SendTimeout,
		objects: o, usage: u, duty: d,
	}
}

// Step seals the windows that are due and reports the sealed ones. It is idempotent
// and is called again after an error.
func (r *Reporter) Step(ctx context.Context, now timekeeper.Millis, members []Member) (Progress, error) {
	var p Progress
	if !r.resumed {
		if err := r.resume(ctx, now); err != nil {
			return p, err
		}
		r.resumed = true
	}
	if now-r.stoppedReadAt >= stoppedReadWindows*r.length {
		if err := r.readStoppedCounts(ctx, now); err != nil {
			return p, err
		}
	}
	for range stepWindows {
		next := r.cursor.First
		if r.lastSealed != nil {
			next = r.lastSealed.End
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
		if err := r.deleteExpired(ctx, confirmed); err != nil {
			return p, err
		}
	}
	return p, nil
}

// resume claims the cursor for this reporter's epoch and reads the sealed windows
// after the last confirmed one. The first claim fixes the first window: reporters
// that each chose their own would start two chains and seal the same counts twice.
func (r *Reporter) resume(ctx context.Context, now timekeeper.Millis) error {
	cursor, version, err := storer.Get(ctx, r.objects, cursorName(r.dataCentre), decode[Cursor])
	if err != nil {
		return errors.Wrap(err, "read usage cursor")
	}
	if cursor.Epoch > r.duty.Epoch() {
		return errors.Wrapf(ErrSuperseded, "own epoch %d, stored epoch %d", r.duty.Epoch(), cursor.Epoch)
	}
	r.cursor, r.cursorVersion, r.lastSealed, r.pending = cursor, version, nil, nil
	if version == 0 {
		cursor.First = windowStart(now-r.delay, r.length) - r.length
	}
	if cursor.Epoch < r.duty.Epoch() {
		cursor.Epoch = r.duty.Epoch()
		if err := r.writeCursor(ctx, cursor); err != nil {
			return err
		}
	}
	next := max(cursor.First, cursor.Confirmed)
	for {
		s, storedVersion, err := storer.Get(ctx, r.objects, sealedName(r.dataCentre, next), decode[Sealed])
		if err != nil {
			return errors.Wrap(err, "read sealed window")
		}
		if storedVersion == 0 && next == cursor.Confirmed {
			return errors.Wrapf(ErrMalformed, "usage cursor confirms window %s, which is not stored", WindowID(next))
		}
		if storedVersion == 0 {
			return nil
		}
		r.lastSealed = &s
		if s.Start > cursor.Confirmed {
			r.pending = append(r.pending, s)
		}
		next = s.End
	}
}

func (r *Reporter) sealNext(ctx context.Context, window timekeeper.Millis, members []Member, p *Progress) error {
	var marks []Mark
	if r.lastSealed != nil {
		marks = r.lastSealed.Marks
	}
	c := gather(ctx, members, window, r.length, marks, r.stoppedCounts)
	s := Sealed{
		DataCentre: r.dataCentre, Start: window, End: window + r.length, Epoch: r.duty.Epoch(),
		Marks: c.marks, Parts: []string{},
	}
	if err := r.duty.Check(r.reportTimeout); err != nil {
		return errors.Wrap(err, "check lease before sealing usage")
	}
	if r.skipSealing {
		r.lastSealed = &s
		p.Reported = append(p.Reported, WindowID(window))
		return r.usage.Report(ctx, report(s, c.figures(), s.Epoch))
	}
	stored, created, err := seal(ctx, r.objects, s, c.figures())
	if err != nil {
		return err
	}
	if created {
		p.Sealed = append(p.Sealed, WindowID(window))
	}
	r.lastSealed = &stored
	r.pending = append(r.pending, stored)
	return r.deleteStoppedCounts(ctx, stored)
}

// reportNext announces the report in the cursor, checks the lease immediately
// before sending, and sends the report. A lease holder that was paused and replaced
// fails to write the cursor. The confirmation of a window is stored with the
// announcement of the next.
func (r *Reporter) reportNext(ctx context.Context) error {
	s := r.pending[0]
	f, err := readFigures(ctx, r.objects, s)
	if err != nil {
		return err
	}
	if err := r.announce(ctx, s); err != nil {
		return err
	}
	if err := r.duty.Check(r.reportTimeout); err != nil {
		return errors.Wrap(err, "check lease before reporting usage")
	}
	ctx, cancel := context.WithTimeout(ctx, r.reportTimeout.Duration())
	defer cancel()
	if err := r.usage.Report(ctx, report(s, f, r.duty.Epoch())); err != nil {
		return errors.Wrapf(err, "report usage window %s", WindowID(s.Start))
	}
	r.cursor.Confirmed = s.Start
	return nil
}

func (r *Reporter) announce(ctx context.Context, s Sealed) error {
	next := r.cursor
	next.Epoch, next.Reporting = r.duty.Epoch(), s.Start
	return r.writeCursor(ctx, next)
}

// writeCursor updates the cursor. After a failure the next step reads the stored
// cursor, which includes a write of this reporter whose response was lost.
func (r *Reporter) writeCursor(ctx context.Context, next Cursor) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode usage cursor")
	}
	version, err := r.objects.Put(ctx, cursorName(r.dataCentre), value, r.cursorVersion)
	if err != nil {
		r.resumed = false
		return errors.Wrap(err, "write usage cursor")
	}
	r.cursor, r.cursorVersion = next, version
	return nil
}

// deleteExpired removes the sealed window that is keepSealed older than the confirmed
// one. No reporter still needs it: one that was paused for that long fails its lease
// check.
func (r *Reporter) deleteExpired(ctx context.Context, confirmed timekeeper.Millis) error {
	name := sealedName(r.dataCentre, confirmed-keepSealed)
	s, version, err := storer.Get(ctx, r.objects, name, decode[Sealed])
	if err != nil || version == 0 {
		return errors.Wrap(err, "read expired window")
	}
	for _, digest := range s.Parts {
		object, err := r.objects.Get(ctx, partName(r.dataCentre, s.Start, digest))
		if err == nil {
			err = r.objects.Delete(ctx, object.Name, object.Version)
		}
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return errors.Wrap(err, "remove part of expired window")
		}
	}
	return errors.Wrap(r.objects.Delete(ctx, name, version), "remove expired window")
}
