// Package follower tracks all objects of one kind in the store: it lists them once,
// follows the changes, and lists again when it may have missed some. In a large
// fleet most instances receive the changes from a relay instead, as News.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// callTimeout is how long a call may be silent; the store answers within milliseconds.
	// A listing may take longer, in pages, when many instances list at once.
	callTimeout = 1500 * timekeeper.Millisecond
	// waitGrace is how far a call for changes may exceed its requested wait before the
	// connection counts as unresponsive.
	waitGrace = 700 * timekeeper.Millisecond
	// partialAnswer is the number of changes from which an answer may be only a part of
	// what has changed: the store returns about 500 at once.
	partialAnswer = 250
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls.
	minRetryDelay = 60 * timekeeper.Millisecond
	maxRetryDelay = 500 * timekeeper.Millisecond
)

// Update is a complete snapshot of a kind or a delta.
type Update struct {
	// Complete means that Objects is a snapshot of all objects; otherwise Changes is a delta.
	Complete bool
	Objects  []storer.Object
	Changes  []storer.Change
	Version  storer.Version
	// AsOf is a time before the call to the store: the update reflects the store's
	// state then or later. After a part of the changes it is that of the update before.
	AsOf timekeeper.Reading
	// AfterFailure means that the calls before this one failed.
	AfterFailure bool
	// RecoveredAt is when the store recovered from an outage, in which entries may have
	// expired; zero if there was no recent one.
	RecoveredAt timekeeper.Reading
}

// Options configure a follower.
type Options struct {
	// Wait is how long a call waits for changes.
	Wait timekeeper.Millis
	// Pause is the delay after changes, so that a series of them costs one call.
	Pause timekeeper.Millis
	// Patience is how long a listing may be silent before another is sent beside it; 0 means
	// that none is. It costs a store that is slow under load more calls, so it is for kinds
	// with few objects.
	Patience timekeeper.Millis
}

// Store is the part of the store that a follower uses.
type Store interface {
	storer.Feed
	Get(ctx context.Context, name string) (storer.Object, error)
}

// Fleet reports the role of this instance in the fleet.
type Fleet interface {
	// FollowsRelays reports whether relays send this instance the changes.
	FollowsRelays() bool
	// IsRelay reports whether this instance sends others the changes.
	IsRelay() bool
}

// standalone is the Fleet of an instance without relays.
type standalone struct{}

func (standalone) FollowsRelays() bool { return false }
func (standalone) IsRelay() bool       { return false }

// Follower follows one kind of objects.
type Follower struct {
	store     Store
	clock     timekeeper.Clock
	kind      string
	options   Options
	onFailure func(error)
	log       *changeLog
	incoming  chan receivedChanges
	fleet     Fleet
}

// New returns a follower of a kind. onFailure is called for the first of consecutive
// failed calls.
func New(store Store, c timekeeper.Clock, kind string, o Options, onFailure func(error)) *Follower {
	return &Follower{
		store: store, clock: c, kind: kind, options: o, onFailure: onFailure,
		log: newChangeLog(), incoming: make(chan receivedChanges, maxQueued), fleet: standalone{},
	}
}

// Join sets the fleet. While the fleet reports that the instance follows relays and
// their changes are fresh, the follower makes no calls to the store.
func (f *Follower) Join(fleet Fleet) { f.fleet = fleet }

// Run passes updates to handle until the context ends.
func (f *Follower) Run(ctx context.Context, handle func(Update)) {
	var version storer.Version
	var asOf timekeeper.Reading
	failures, compactions, listed, known, outage, suspended, partial := 0, 0, false, false, false, false, false
	for ctx.Err() == nil {
		if listed && !partial && f.fleet.FollowsRelays() {
			if update, ok := f.receive(ctx, version); ok {
				version, asOf, failures, outage = update.Version, update.AsOf, 0, false
				f.deliver(update, handle)
				continue
			}
		}
		// After a failure or a suspension, list: the answer shows the current state at
		// once, while a call for changes would first wait for one.
		begun, follow := f.clock.Read(), listed && failures == 0 && !suspended
		update, err := f.fetch(ctx, version, follow)
		partial = err == nil && len(update.Changes) >= partialAnswer
		switch {
		case err == nil:
			// A store that has come back from a copy may lack entries that are written again.
			returned := known && update.Version.Era() != version.Era()
			update.AfterFailure = failures > 0 || returned
			if outage || returned {
				update.RecoveredAt = f.clock.Read()
			}
			if partial {
				update.AsOf = asOf
			}
			version, asOf, listed, known, failures, outage = update.Version, update.AsOf, true, true, 0, false
			suspended = follow && f.clock.Read().Since(begun) > f.wait()+waitGrace
			if follow {
				compactions = 0
			}
			f.deliver(update, handle)
			if len(update.Changes) > 0 && !partial && f.options.Pause > 0 {
				timekeeper.Sleep(ctx, f.options.Pause)
			}
		case errors.Is(err, storer.ErrCompacted):
			listed = false
			if compactions++; compactions > 1 { // The version of a listing is gone again.
				timekeeper.Sleep(ctx, retryDelay(compactions-1))
			}
		case ctx.Err() == nil:
			if failures == 0 {
				f.onFailure(err)
			}
			// A call that waits for changes may be cut off although the store is available.
			outage = outage || !follow || f.clock.Read().Since(begun) > f.wait()
			failures++
			timekeeper.Sleep(ctx, retryDelay(failures))
		}
	}
}

// wait returns how long a call waits for changes.
func (f *Follower) wait() timekeeper.Millis {
	if f.fleet.IsRelay() {
		return min(f.options.Wait, relayWait)
	}
	return f.options.Wait
}

// deliver passes an update to handle and logs it for other instances.
func (f *Follower) deliver(u Update, handle func(Update)) {
	handle(u)
	f.log.add(u, f.clock.Read())
}

// fetch calls the store once: for the changes after a version if follow is set,
// otherwise for a snapshot.
func (f *Follower) fetch(ctx context.Context, after storer.Version, follow bool) (Update, error) {
	if !follow {
		if f.options.Patience > 0 {
			return f.listPatiently(ctx)
		}
		return f.list(ctx, func() {})
	}
	asOf, wait := f.clock.Read(), f.wait()
	ctx, cancel := context.WithTimeout(ctx, (wait + waitGrace).Duration())
	defer cancel()
	changes, version, err := f.store.Changes(ctx, f.kind, after, wait)
	return Update{Changes: changes, Version: version, AsOf: asOf}, err
}

// list lists the store once, and gives up when it is silent. It calls progress for each page.
func (f *Follower) list(ctx context.Context, progress func()) (Update, error) {
	asOf := f.clock.Read()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(callTimeout.Duration(), cancel)
	defer silence.Stop()
	ctx = storer.WithProgress(ctx, func() { silence.Reset(callTimeout.Duration()); progress() })
	objects, version, err := f.store.Snapshot(ctx, f.kind)
	return Update{Complete: true, Objects: objects, Version: version, AsOf: asOf}, err
}

// listPatiently lists the store, and again beside a listing that stays silent: a store that
// answers again may never answer the calls that it got while it was silent. The result is that
// of the first listing to succeed, or of the first one if it fails.
func (f *Follower) listPatiently(ctx context.Context) (Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		update Update
		err    error
		first  bool
	}
	results, patience := make(chan result), f.options.Patience.Duration()
	silence := time.NewTicker(patience)
	defer silence.Stop()
	begin := func(first bool) {
		u, err := f.list(ctx, func() { silence.Reset(patience) })
		select {
		case results <- result{u, err, first}:
		case <-ctx.Done():
		}
	}
	go begin(true)
	for {
		select {
		case r := <-results:
			if r.err == nil || r.first {
				return r.update, r.err
			}
		case <-silence.C:
			go begin(false)
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
}

// retryDelay returns an exponential backoff from minRetryDelay to maxRetryDelay, half
// of it random.
func retryDelay(failures int) timekeeper.Millis {
	delay := min(minRetryDelay<<min(failures-1, 8), maxRetryDelay)
	return delay/2 + timekeeper.Millis(rand.Int64N(int64(delay/2)+1))
}
