package tallier

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// lookInterval is the time between looks for a window to report.
	lookInterval = 250 * timekeeper.Millisecond
	// waitInterval is the time between looks while an instance's counts are missing.
	waitInterval = timekeeper.Second
	// waitShare is the part of the time until a report is due in which it waits for
	// instances that could not store their counts, such as those that were cut off.
	waitShare = 0.5
	// activeWindows is for how many windows an instance that counted is waited for.
	activeWindows = 3
	// sealedLife is how many windows a sealed sum is kept for a successor.
	sealedLife = 24
	// backlog is how many past windows a new holder still reports.
	backlog = 4
)

// Feed is the part of the store that a reporter uses.
type Feed interface {
	storer.Objects
	storer.Feed
}

// Submit reports a sealed window under a fencing token.
type Submit func(ctx context.Context, token int64, w Window, c Counts) error

// Reporter adds up, seals and reports windows while it holds the duty.
type Reporter struct {
	tallier *Tallier
	feed    Feed
	submit  Submit
	clock   func() timekeeper.Millis
	record  func(recorder.Event)

	late    timekeeper.Millis // How long after its end a window's report is due.
	last    Window            // The newest window that was reported.
	looked  timekeeper.Millis // When counts were seen to be missing.
	cleaned Window
}

// NewReporter returns a reporter that has reported nothing; late is how long after its
// end a window's report is due.
func NewReporter(t *Tallier, f Feed, s Submit, clock func() timekeeper.Millis, late timekeeper.Millis, record func(recorder.Event)) *Reporter {
	return &Reporter{tallier: t, feed: f, submit: s, clock: clock, late: late, record: record}
}

// Run reports windows until the context ends.
func (r *Reporter) Run(ctx context.Context, t leaser.Tenure) {
	current := r.tallier.WindowAt(r.clock())
	r.last = max(r.last, current-backlog-1)
	for ctx.Err() == nil {
		r.step(ctx, t)
		timekeeper.Sleep(ctx, lookInterval)
	}
}

func (r *Reporter) step(ctx context.Context, t leaser.Tenure) {
	next := r.last + 1
	due := r.tallier.End(next) + timekeeper.Millis(settle*float64(r.tallier.length))
	now := r.clock()
	if now < due || now-r.looked < waitInterval {
		return
	}
	counts, err := r.seal(ctx, next)
	if errors.Is(err, errMissing) {
		r.looked = now
		return
	}
	if err == nil {
		err = r.send(ctx, t, next, counts)
	}
	if err != nil {
		r.record(recorder.Event{Code: recorder.WindowLate, Cause: err.Error(), Inputs: []zap.Field{zap.Int64("window", int64(next))}})
		if r.clock() > r.tallier.End(next)+backlog*r.tallier.length {
			r.last = next
		}
		return
	}
	r.record(recorder.Event{Code: recorder.WindowReported, Inputs: []zap.Field{
		zap.Int64("window", int64(next)), zap.Int64("token", t.Epoch()), zap.Any("counts", counts),
	}})
	r.last = next
	r.clean(ctx, next)
}

func (r *Reporter) send(ctx context.Context, t leaser.Tenure, w Window, c Counts) error {
	if err := t.Check(t.LongestSend()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.LongestSend().Duration())
	defer cancel()
	return r.submit(ctx, t.Epoch(), w, c)
}

// seal returns the sum of a window, which never changes once it is stored.
func (r *Reporter) seal(ctx context.Context, w Window) (Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	sum, missing, err := r.sum(ctx, w)
	if err != nil {
		return nil, err
	}
	if missing != "" && r.clock() < r.tallier.End(w)+timekeeper.Millis(waitShare*float64(r.late)) {
		return nil, errors.Wrap(errMissing, missing)
	}
	data, err := json.Marshal(sum)
	if err != nil {
		return nil, errors.Wrap(err, "encode sum")
	}
	name := sealedName(w)
	_, err = r.feed.Put(ctx, name, data, 0)
	switch {
	case err == nil:
		r.record(recorder.Event{Code: recorder.WindowSealed, Inputs: []zap.Field{zap.Int64("window", int64(w))}})
		return sum, nil
	case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrUncertain):
		// Another holder sealed the window, or an answer was lost: what is stored holds.
		sealed, version, err := storer.Get(ctx, r.feed, name, decodeCounts)
		if err == nil && version == 0 {
			err = errors.Wrapf(storer.ErrUncertain, "window %d is not sealed yet", w)
		}
		return sealed, err
	default:
		return nil, err
	}
}

func sealedName(w Window) string { return fmt.Sprintf("%s/%d", SealedKind, w) }

func decodeCounts(data []byte) (Counts, error) {
	var c Counts
	err := json.Unmarshal(data, &c)
	return c, errors.Wrap(err, "decode sealed window")
}

// errMissing means that an instance has not stored its counts of the window yet.
var errMissing = errors.New("counts are missing")

// sum adds up what all instances stored for a window. It names one that counted lately
// and has not stored its counts since the window ended.
func (r *Reporter) sum(ctx context.Context, w Window) (sum Counts, missing string, err error) {
	objects, _, err := r.feed.Snapshot(ctx, CountsKind)
	if err != nil {
		return nil, "", err
	}
	sum = Counts{}
	waiting, through := map[string]bool{}, map[string]bool{} // By instance, whose processes may have changed.
	for _, o := range objects {
		var s Stored
		if err := json.Unmarshal(o.Value, &s); err != nil {
			r.record(recorder.Event{Code: recorder.UsageCopyFailed, Cause: o.Name + ": " + err.Error()})
			continue
		}
		sum.Add(s.Windows[w])
		switch {
		case s.Through >= w || s.Closed:
			through[s.Instance] = true
		case s.newest() >= w-activeWindows:
			waiting[s.Instance] = true
		}
	}
	for instance := range waiting {
		if !through[instance] {
			missing = instance
		}
	}
	return sum, missing, nil
}

// clean removes sealed windows and counts that nobody needs any more.
func (r *Reporter) clean(ctx context.Context, now Window) {
	if now < r.cleaned+sealedLife {
		return
	}
	r.cleaned = now
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	for kind, old := range map[string]func(storer.Object) bool{
		SealedKind: func(o storer.Object) bool {
			w, err := strconv.ParseInt(o.Name[strings.LastIndex(o.Name, "/")+1:], 10, 64)
			return err == nil && Window(w) < now-sealedLife
		},
		CountsKind: func(o storer.Object) bool { return newest(o.Value) < now-sealedLife },
	} {
		objects, _, err := r.feed.Snapshot(ctx, kind)
		if err != nil {
			return
		}
		for _, o := range objects {
			if old(o) && r.feed.Delete(ctx, o.Name, o.Version) != nil {
				return // The next round tries again.
			}
		}
	}
}

// newest returns the newest window of stored counts; counts that cannot be read are kept.
func newest(value []byte) Window {
	var s Stored
	if json.Unmarshal(value, &s) != nil {
		return Window(1 << 62)
	}
	return s.newest()
}
