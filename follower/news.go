package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// keptNews is how many parts of the news wait to be used; older ones give way.
	keptNews = 8
	// newsTimeout is how long a follower waits for news before it asks the store;
	// they come every few tens of milliseconds.
	newsTimeout = 500 * timekeeper.Millisecond
	// relayWait is how long a call of a relay waits for changes: what it tells is up to
	// twice as old.
	relayWait = 500 * timekeeper.Millisecond
	// mostAge is the age up to which news are used: that of a relay whose last call is
	// given up, and the time to the next message.
	mostAge = 2*relayWait + silence + newsTimeout
	// readSpread is the span over which instances spread their reads of a value that
	// the news left out.
	readSpread = 150 * timekeeper.Millisecond
)

// heard is news with the time at which the store was asked, or earlier.
type heard struct {
	News
	asked timekeeper.Reading
	back  timekeeper.Reading // When the store was back, or earlier; zero is not lately.
}

// Version returns how far the kind is known, and whether it is known at all.
func (f *Follower) Version() (storer.Version, bool) { return f.log.version() }

// Since returns the news for an instance that knows a version. It is false if that
// instance has to list the store itself.
func (f *Follower) Since(v storer.Version) (News, bool) { return f.log.since(v, f.clock.Read()) }

// Offer passes news from another instance that were made after a time.
func (f *Follower) Offer(n News, after timekeeper.Reading) {
	next := heard{News: n, asked: after.Before(n.Age)}
	if n.Regained >= 0 {
		next.back = after.Before(n.Regained)
	}
	for {
		select {
		case f.news <- next:
			return
		default:
		}
		select {
		case <-f.news:
		default:
		}
	}
}

// hear waits for news that go on from a version. It is false if none come, or none
// that the store confirmed lately.
func (f *Follower) hear(ctx context.Context, at storer.Version) (Sight, bool) {
	timeout := time.NewTimer(newsTimeout.Duration())
	defer timeout.Stop()
	for {
		select {
		case <-ctx.Done():
			return Sight{}, false
		case <-timeout.C:
			return Sight{}, false
		case n := <-f.news:
			if f.clock.Read().Since(n.asked) > mostAge || n.From > at || n.At < at {
				continue // Old, or made for another version; another relay's may fit.
			}
			return f.open(ctx, n, at)
		}
	}
}

// open returns the sight that the news give to who knows a version. It reads the
// values that they left out.
func (f *Follower) open(ctx context.Context, n heard, at storer.Version) (Sight, bool) {
	s := Sight{At: n.At, Asked: n.asked, Back: n.back}
	for _, name := range n.Removed {
		s.Changes = append(s.Changes, storer.Change{Object: storer.Object{Name: name}, Deleted: true})
	}
	for _, item := range n.Items {
		if item.Version <= at {
			continue // Parts come more than once, from several relays.
		}
		o := storer.Object{Name: item.Name, Version: item.Version, Value: item.Value}
		if len(item.Value) == 0 || string(item.Value) == "null" {
			timekeeper.Sleep(ctx, timekeeper.Millis(rand.Int64N(int64(readSpread))))
			call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
			read, err := f.store.Get(call, item.Name)
			cancel()
			if err != nil || read.Version < item.Version {
				return Sight{}, false // The store tells what became of it.
			}
			o = read
		}
		s.Changes = append(s.Changes, storer.Change{Object: o})
	}
	return s, true
}
