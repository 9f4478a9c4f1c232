package tallier

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// pollInterval is the time between checks for a window to report.
	pollInterval = 250 * timekeeper.Millisecond
	// missingPollInterval is the time between reads of the counts while an instance's are missing.
	missingPollInterval = timekeeper.Second
	// waitShare is the fraction of the time until a report is due that is spent waiting
	// for instances that could not store their counts, for example because they were cut
	// off from the store.
	waitShare = 0.8
	// negligibleShare is the share of a window's requests up to which missing counts are
	// waited for only until negligibleWaitShare of a window's length after its end.
	negligibleShare     = 0.02
	negligibleWaitShare = 0.4
	// returnDelay is how long after the store's return, or after the duty was taken over,
	// missing counts are waited for: instances that could not store theirs do so then.
	returnDelay = 1500 * timekeeper.Millisecond
	// activeWindows is the number of windows for which the reporter still waits for an
	// instance after its last count.
	activeWindows = 3
	// sealedRetention is the number of windows for which sealed sums and unchanged counts
	// are kept, so that a successor finds them.
	sealedRetention = 24
	// maxBacklog is the number of past windows that a new holder still reports.
	maxBacklog = 4
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

	dueAfter     timekeeper.Millis // How long after its end a window's report is due.
	lastReported Window            // The newest window that was reported.
	missingAt    timekeeper.Millis // When counts were last found missing.
	lost         bool              // The last call on the store failed.
	reachedAt    timekeeper.Millis // Since when the store answers this holder.
	lastCleaned  Window            // The newest window at the last removal of old objects.

	eras    storer.Eras       // Nil if the store has none.
	entered history           // Of the era in which this holder reports.
	since   timekeeper.Millis // Since when nobody else can have held the duty.
	enterAt timekeeper.Millis // When the era was entered.

	mu     sync.Mutex
	sealed map[Window]Counts // The newest sums that this process has read or stored.
}

// NewReporter returns a reporter that has reported nothing; dueAfter is how long after
// its end a window's report is due.
func NewReporter(t *Tallier, f Feed, s Submit, clock func() timekeeper.Millis, dueAfter timekeeper.Millis, record func(recorder.Event)) *Reporter {
	return &Reporter{tallier: t, feed: f, submit: s, clock: clock, dueAfter: dueAfter, record: record, sealed: map[Window]Counts{}}
}

// remember keeps the sum of a sealed window for as long as another holder may report it.
func (r *Reporter) remember(w Window, sum Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed[w] = maps.Clone(sum)
	maps.DeleteFunc(r.sealed, func(old Window, _ Counts) bool { return old < w-maxBacklog-1 })
}

// Run reports windows until the context ends.
func (r *Reporter) Run(ctx context.Context, t leaser.Tenure) {
	current := r.tallier.WindowAt(r.clock())
	r.lastReported = max(r.lastReported, current-maxBacklog-1)
	r.reachedAt = r.clock()
	if !t.Continues() {
		r.since = r.reachedAt
	}
	for ctx.Err() == nil {
		if r.era() == r.entered.Era || r.enter(ctx) {
			r.step(ctx, t)
		}
		timekeeper.Sleep(ctx, pollInterval)
	}
}

// due returns the time from which a window is reported.
func (r *Reporter) due(w Window) timekeeper.Millis {
	return r.tallier.End(w) + timekeeper.Millis(settleShare*float64(r.tallier.length))
}

func (r *Reporter) step(ctx context.Context, t leaser.Tenure) {
	next := r.lastReported + 1
	now := r.clock()
	if now < r.due(next) || now-r.missingAt < missingPollInterval {
		return
	}
	counts, err := r.seal(ctx, next)
	if errors.Is(err, errMissing) {
		r.missingAt = now
		return
	}
	if errors.Is(err, errMayBeReported) {
		r.record(recorder.Event{Code: recorder.WindowLeftOut, Cause: err.Error(), Inputs: []zap.Field{zap.Int64("window", int64(next))}})
		r.lastReported = next
		return
	}
	if err == nil {
		r.remember(next, counts)
		err = r.send(ctx, t, next, counts)
	}
	if err != nil {
		r.record(recorder.Event{Code: recorder.WindowLate, Cause: err.Error(), Inputs: []zap.Field{zap.Int64("window", int64(next))}})
		if r.clock() > r.tallier.End(next)+maxBacklog*r.tallier.length {
			r.lastReported = next
		}
		return
	}
	r.record(recorder.Event{Code: recorder.WindowReported, Inputs: []zap.Field{
		zap.Int64("window", int64(next)), zap.Int64("token", t.Epoch()), zap.Any("counts", counts),
	}})
	r.lastReported = next
	r.clean(ctx, next)
}

func (r *Reporter) send(ctx context.Context, t leaser.Tenure, w Window, c Counts) error {
	if err := t.Check(t.SendTimeout()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.SendTimeout().Duration())
	defer cancel()
	return r.submit(ctx, t.Epoch(), w, c)
}

// seal stores the sum of a window and returns it. A stored sum never changes; it is
// returned if the window was sealed before.
func (r *Reporter) seal(ctx context.Context, w Window) (Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	if w < r.entered.First {
		return r.sealedBefore(ctx, w)
	}
	sum, missing, err := r.sum(ctx, w)
	r.noteStore(err)
	if err != nil {
		return nil, err
	}
	if r.clock() < r.waitUntil(w, missing.share(sum)) {
		return nil, errors.Wrap(errMissing, missing.instance)
	}
	data, err := json.Marshal(sum)
	if err != nil {
		return nil, errors.Wrap(err, "encode sum of usage window")
	}
	name := sealedName(w)
	_, err = r.feed.Put(ctx, name, data, 0)
	switch {
	case err == nil:
		r.record(recorder.Event{Code: recorder.WindowSealed, Inputs: []zap.Field{zap.Int64("window", int64(w))}})
		return sum, nil
	case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrOutcomeUnknown):
		// Another holder sealed the window, or an answer was lost: the stored sum is authoritative.
		sealed, version, err := storer.Get(ctx, r.feed, name, decodeCounts)
		if err == nil && version == 0 {
			err = errors.Wrapf(storer.ErrOutcomeUnknown, "window %d is not sealed yet", w)
		}
		return sealed, err
	default:
		return nil, err
	}
}

// sealedBefore returns the stored sum of a window that may have been reported before the era.
// If there is none, it waits for the process that knows it.
func (r *Reporter) sealedBefore(ctx context.Context, w Window) (Counts, error) {
	sealed, version, err := storer.Get(ctx, r.feed, sealedName(w), decodeCounts)
	r.noteStore(err)
	switch {
	case err != nil || version != 0:
		return sealed, err
	case r.clock() < r.enterAt+returnDelay:
		return nil, errors.Wrap(errMissing, "sum of a window before the era")
	}
	return nil, errors.WithStack(errMayBeReported)
}

// noteStore records whether the store answered.
func (r *Reporter) noteStore(err error) {
	if err == nil && r.lost {
		r.reachedAt = r.clock()
	}
	r.lost = err != nil
}

// waitUntil returns until when missing counts, which are a share of a window's requests, are
// waited for. After an outage it may be past the time at which the report is due: a late
// figure that is right is worth more than one that lacks what was counted meanwhile.
func (r *Reporter) waitUntil(w Window, missing float64) timekeeper.Millis {
	end := r.tallier.End(w)
	switch {
	case missing <= 0:
		return end
	case missing <= negligibleShare:
		return end + timekeeper.Millis(negligibleWaitShare*float64(r.tallier.length))
	default:
		return max(end+timekeeper.Millis(waitShare*float64(r.dueAfter)), r.reachedAt+returnDelay)
	}
}

func sealedName(w Window) string { return fmt.Sprintf("%s/%d", SealedKind, w) }

func decodeCounts(data []byte) (Counts, error) {
	var c Counts
	err := json.Unmarshal(data, &c)
	return c, errors.Wrap(err, "decode sealed usage window")
}

// errMayBeReported means that a window must not be sealed again: another figure may have been
// reported, and only that is lost.
var errMayBeReported = errors.New("window may have been reported before the store came back from a copy")

// errMissing means that an instance has not stored its counts of the window yet.
var errMissing = errors.New("counts are missing")

// missingCounts are the counts of recently active instances that have not stored any since
// a window ended.
type missingCounts struct {
	instance string // One of the instances; empty if there is none.
	requests int64  // What they counted in a window before.
}

// share returns the likely share of the missing counts, given the sum of the others.
func (m missingCounts) share(others Counts) float64 {
	if m.instance == "" {
		return 0
	}
	return float64(m.requests) / float64(m.requests+others.total())
}

// sum adds up the counts that all instances stored for a window, and tells what is missing.
func (r *Reporter) sum(ctx context.Context, w Window) (sum Counts, missing missingCounts, err error) {
	objects, _, err := r.feed.Snapshot(ctx, CountsKind)
	if err != nil {
		return nil, missing, err
	}
	sum = Counts{}
	pending, complete := map[string]int64{}, map[string]bool{} // By instance, as one may have restarted under a new object name.
	for _, o := range objects {
		var s StoredCounts
		if err := json.Unmarshal(o.Value, &s); err != nil {
			r.record(recorder.Event{Code: recorder.UsageCopyFailed, Cause: o.Name + ": " + err.Error()})
			continue
		}
		sum.Add(s.Windows[w])
		switch {
		case s.Through >= w || s.Closed:
			complete[s.Instance] = true
		case s.newestWindow() >= w-activeWindows:
			pending[s.Instance] = max(pending[s.Instance], s.busiest(w-activeWindows))
		}
	}
	for i, requests := range pending {
		if !complete[i] {
			missing.instance = i
			missing.requests += requests
		}
	}
	return sum, missing, nil
}

// clean removes sealed sums and counts that are older than sealedRetention.
func (r *Reporter) clean(ctx context.Context, now Window) {
	if now < r.lastCleaned+sealedRetention {
		return
	}
	r.lastCleaned = now
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	for kind, expired := range map[string]func(storer.Object) bool{
		SealedKind: func(o storer.Object) bool {
			w, err := strconv.ParseInt(o.Name[strings.LastIndex(o.Name, "/")+1:], 10, 64)
			return err == nil && Window(w) < now-sealedRetention
		},
		CountsKind: func(o storer.Object) bool { return newestStored(o.Value) < now-sealedRetention },
	} {
		objects, _, err := r.feed.Snapshot(ctx, kind)
		if err != nil {
			return
		}
		for _, o := range objects {
			if expired(o) && r.feed.Delete(ctx, o.Name, o.Version) != nil {
				return // The next cleaning retries.
			}
		}
	}
}

// newestStored returns the newest window of stored counts. For counts that cannot be
// decoded it returns a window that never expires, so that they are kept.
func newestStored(value []byte) Window {
	var s StoredCounts
	if json.Unmarshal(value, &s) != nil {
		return Window(1 << 62)
	}
	return s.newestWindow()
}
