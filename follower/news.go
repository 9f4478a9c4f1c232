package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// maxQueued bounds the received change sets that wait to be processed; the oldest is
	// dropped for a new one.
	maxQueued = 64
	// relayTimeout is how long a follower waits for changes from a relay before it calls
	// the store; they arrive every few tens of milliseconds.
	relayTimeout = 500 * timekeeper.Millisecond
	// relayWait is how long a relay's call to the store waits for changes; what the relay
	// sends is up to twice as old.
	relayWait = 500 * timekeeper.Millisecond
	// maxAge is the age up to which changes from a relay are used. It allows for a relay
	// whose last call times out, and for the time until its next message.
	maxAge = 2*relayWait + waitGrace + relayTimeout
	// readJitter is the span over which instances spread their reads of a value that was
	// too large for the change set.
	readJitter = 150 * timekeeper.Millisecond
)

// receivedChanges is a change set from another instance. Its times are on this
// instance's clock and may be earlier than the actual ones.
type receivedChanges struct {
	News
	asOf        timekeeper.Reading // When the store was called.
	recoveredAt timekeeper.Reading // When the store recovered; zero if there was no recent outage.
}

// Version returns the newest known version of the kind, and false before the first update.
func (f *Follower) Version() (storer.Version, bool) { return f.log.version() }

// Since returns the changes after a version, for an instance that knows that version.
// It returns false if that instance has to list the store itself.
func (f *Follower) Since(v storer.Version) (News, bool) { return f.log.since(v, f.clock.Read()) }

// Offer queues a change set that another instance created after a time.
func (f *Follower) Offer(n News, after timekeeper.Reading) {
	next := receivedChanges{News: n, asOf: after.Before(n.Age)}
	if n.Regained >= 0 {
		next.recoveredAt = after.Before(n.Regained)
	}
	for {
		select {
		case f.incoming <- next:
			return
		default:
		}
		select {
		case <-f.incoming:
		default:
		}
	}
}

// receive waits for the changes after a version from a relay. It returns false if none
// arrive in time that are complete and recent enough.
func (f *Follower) receive(ctx context.Context, after storer.Version) (Update, bool) {
	timeout := time.NewTimer(relayTimeout.Duration())
	defer timeout.Stop()
	for {
		select {
		case <-ctx.Done():
			return Update{}, false
		case <-timeout.C:
			return Update{}, false
		case n := <-f.incoming:
			if f.clock.Read().Since(n.asOf) > maxAge || n.From > after || n.At < after {
				continue // Stale, or for another version; another relay's may fit.
			}
			return f.resolve(ctx, n, after)
		}
	}
}

// resolve converts a change set into an update for a follower that knows a version. It
// reads the values that were left out from the store.
func (f *Follower) resolve(ctx context.Context, n receivedChanges, after storer.Version) (Update, bool) {
	u := Update{Version: n.At, AsOf: n.asOf, RecoveredAt: n.recoveredAt}
	for _, name := range n.Removed {
		u.Changes = append(u.Changes, storer.Change{Object: storer.Object{Name: name}, Deleted: true})
	}
	for _, item := range n.Items {
		if item.Version <= after {
			continue // Several relays send the same changes.
		}
		o := storer.Object{Name: item.Name, Version: item.Version, Value: item.Value}
		if len(item.Value) == 0 || string(item.Value) == "null" {
			timekeeper.Sleep(ctx, timekeeper.Millis(rand.Int64N(int64(readJitter))))
			callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
			read, err := f.store.Get(callCtx, item.Name)
			cancel()
			if err != nil || read.Version < item.Version {
				return Update{}, false // Deleted, stale or not readable; the next call to the store resolves it.
			}
			o = read
		}
		u.Changes = append(u.Changes, storer.Change{Object: o})
	}
	return u, true
}
