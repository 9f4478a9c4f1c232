// Package follower keeps up with all objects of one kind in the store: it lists
// them once, follows the changes, and lists again when it may have missed some.
// In a large fleet most instances hear the changes from another one instead.
package follower

import (
	"context"
	"math/rand/v2"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// callTimeout bounds a listing; the store answers within milliseconds.
	callTimeout = 1500 * timekeeper.Millisecond
	// silence is how much longer than asked a wait for changes may take; past it the connection counts as dead.
	silence = 700 * timekeeper.Millisecond
	// firstRetry and lastRetry bound the growing delay between failed calls.
	firstRetry = 60 * timekeeper.Millisecond
	lastRetry  = 500 * timekeeper.Millisecond
)

// Sight is what one answered call tells about the kind.
type Sight struct {
	// Complete means that Objects holds all objects; else Changes holds what changed.
	Complete bool
	Objects  []storer.Object
	Changes  []storer.Change
	At       storer.Version
	// Asked is the time before the call: what the sight tells was true then or later.
	Asked timekeeper.Reading
	// Regained means that calls before this one failed.
	Regained bool
	// Back is when the store was back after an outage, as far as that was lately.
	Back timekeeper.Reading
}

// Store is the part of the store that a follower uses.
type Store interface {
	storer.Feed
	Get(ctx context.Context, name string) (storer.Object, error)
}

// Fleet tells an instance's part in a fleet.
type Fleet interface {
	// Listens reports whether other instances tell the news.
	Listens() bool
	// Relays reports whether this instance tells others the news.
	Relays() bool
}

// alone is the fleet of an instance that hears of no other.
type alone struct{}

func (alone) Listens() bool { return false }
func (alone) Relays() bool  { return false }

// Follower follows one kind.
type Follower struct {
	store Store
	clock timekeeper.Clock
	kind  string
	wait  timekeeper.Millis
	rest  timekeeper.Millis
	lost  func(error)
	log   *log
	news  chan heard
	fleet Fleet
}

// New returns a follower that lets each call wait up to wait for changes, and rests
// after changes so that a series of them costs one call. The function lost is
// called when calls begin to fail.
func New(store Store, c timekeeper.Clock, kind string, wait, rest timekeeper.Millis, lost func(error)) *Follower {
	return &Follower{
		store: store, clock: c, kind: kind, wait: wait, rest: rest, lost: lost,
		log: newLog(), news: make(chan heard, keptNews), fleet: alone{},
	}
}

// Join makes the follower hear the news from other instances, and leave the store
// alone, while the fleet tells it to and the news are fresh.
func (f *Follower) Join(fleet Fleet) { f.fleet = fleet }

// Run passes sights to take until the context ends.
func (f *Follower) Run(ctx context.Context, take func(Sight)) {
	var at storer.Version
	failures, listed := 0, false
	for ctx.Err() == nil {
		if listed && f.fleet.Listens() {
			if sight, ok := f.hear(ctx, at); ok {
				at, failures = sight.At, 0
				f.pass(sight, take)
				continue
			}
		}
		// After a failure a listing tells at once that the store answers again, a wait would not.
		sight, err := f.look(ctx, at, listed && failures == 0)
		switch {
		case err == nil:
			if failures > 0 {
				sight.Regained, sight.Back = true, f.clock.Read()
			}
			at, listed, failures = sight.At, true, 0
			f.pass(sight, take)
			if len(sight.Changes) > 0 && f.rest > 0 {
				timekeeper.Sleep(ctx, f.rest)
			}
		case errors.Is(err, storer.ErrHistoryGone):
			listed = false
		case ctx.Err() == nil:
			if failures == 0 {
				f.lost(err)
			}
			failures++
			timekeeper.Sleep(ctx, retryDelay(failures))
		}
	}
}

// pass takes a sight and keeps it for others.
func (f *Follower) pass(s Sight, take func(Sight)) {
	take(s)
	f.log.add(s, f.clock.Read())
}

// look makes one call.
func (f *Follower) look(ctx context.Context, at storer.Version, follow bool) (Sight, error) {
	asked := f.clock.Read()
	if !follow {
		ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		defer cancel()
		objects, version, err := f.store.Snapshot(ctx, f.kind)
		return Sight{Complete: true, Objects: objects, At: version, Asked: asked}, err
	}
	wait := f.wait
	if f.fleet.Relays() {
		wait = min(wait, relayWait)
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + silence).Duration())
	defer cancel()
	changes, version, err := f.store.Changes(ctx, f.kind, at, wait)
	return Sight{Changes: changes, At: version, Asked: asked}, err
}

// retryDelay doubles from firstRetry to lastRetry, with half of it random.
func retryDelay(failures int) timekeeper.Millis {
	span := min(firstRetry<<min(failures-1, 8), lastRetry)
	return span/2 + timekeeper.Millis(rand.Int64N(int64(span/2)+1))
}
