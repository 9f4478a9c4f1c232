package tallier

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Kinds of objects in the store.
const (
	CountsKind = "usage-counts"
	SealedKind = "usage-windows"
)

const (
	// callTimeout bounds one call on the store, which answers within milliseconds.
	callTimeout = 1500 * timekeeper.Millisecond
	// writeJitter is the fraction of a window over which instances spread their writes
	// after its end.
	writeJitter = 0.15
	// maxWrites bounds the writes of one instance in a window. An instance that fails
	// loses what it counted since its last write.
	maxWrites = 5
	// maxFleetWrites bounds the writes of all instances in a window.
	maxFleetWrites = 100
	// settleShare is the fraction of a window's length after its end at which all
	// instances normally have stored their counts.
	settleShare = 0.25
	// minRetryDelay is the shortest time from a failed write to the next. It doubles with
	// each failure.
	minRetryDelay = 500 * timekeeper.Millisecond
	// contactPollInterval is the time between looks whether the store has returned.
	contactPollInterval = 100 * timekeeper.Millisecond
	// eraSpread is the time over which instances spread their writes after the store has come
	// back from a copy.
	eraSpread = timekeeper.Second
)

// StoredCounts is the object in the store that holds the counts of one process of an instance.
type StoredCounts struct {
	Instance string            `json:"instance"`
	Windows  map[Window]Counts `json:"windows"`
	// Through is the last window that had ended when the counts were stored.
	Through Window `json:"through"`
	// Closed means that the process has stopped counting.
	Closed bool `json:"closed,omitempty"`
}

// newestWindow returns the newest window with counts, or 0.
func (s StoredCounts) newestWindow() Window {
	var newest Window
	for w := range s.Windows {
		newest = max(newest, w)
	}
	return newest
}

// busiest returns the most requests in one window from a window on.
func (s StoredCounts) busiest(from Window) int64 {
	var most int64
	for w, counts := range s.Windows {
		if w >= from {
			most = max(most, counts.total())
		}
	}
	return most
}

// CountsWriter stores the counts of one instance. The name of its object is unique to the
// process, so that a restarted instance does not overwrite its earlier counts.
type CountsWriter struct {
	tallier   *Tallier
	objects   storer.Objects
	clock     func() timekeeper.Millis
	fleetSize func() int
	name      string
	stored    StoredCounts
	version   storer.Version
	onError   func(error)
	reachable func(since timekeeper.Millis) bool // Nil if nothing else shows that the store can be reached.
	eras      storer.Eras                        // Nil if the store has none.
	onRewrite func(windows int)
	lost      bool              // The store has come back from a copy since the last write.
	failures  int               // Consecutive failed writes.
	failedAt  timekeeper.Millis // When the last write failed.
}

// NewCountsWriter returns a writer for an instance's process; fleetSize returns the number of
// instances, and onError is called when a write fails.
func NewCountsWriter(t *Tallier, objects storer.Objects, clock func() timekeeper.Millis, stored StoredCounts, process string, fleetSize func() int, onError func(error)) *CountsWriter {
	return &CountsWriter{
		tallier: t, objects: objects, clock: clock, fleetSize: fleetSize, onError: onError,
		name: CountsKind + "/" + process, stored: stored,
	}
}

// RetryWhen sets a function that reports whether the store is known to have answered since
// a time. While a write has failed, the counts are stored as soon as it has. It must be
// called before Run.
func (k *CountsWriter) RetryWhen(reachable func(since timekeeper.Millis) bool) {
	k.reachable = reachable
}

// RewriteIn makes the writer store the counts again soon after a new era of the store, and call
// a function with the number of windows when it has. It must be called before Run.
func (k *CountsWriter) RewriteIn(eras storer.Eras, onRewrite func(windows int)) {
	k.eras, k.onRewrite = eras, onRewrite
}

// Run stores the counts several times in each window, the last time shortly after the
// window's end, and once more when the context ends.
func (k *CountsWriter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		writes := min(max(maxFleetWrites/max(k.fleetSize(), 1), 1), maxWrites)
		interval := k.tallier.length / timekeeper.Millis(writes)
		now := k.clock()
		next := (now/interval+1)*interval + timekeeper.Millis(rand.Float64()*writeJitter*float64(k.tallier.length))
		k.await(ctx, next)
		if ctx.Err() == nil {
			k.Store(context.WithoutCancel(ctx))
		}
	}
	k.stored.Closed = true
	k.tallier.MarkChanged() // Stores Closed even if nothing was counted since the last write.
	k.Store(context.WithoutCancel(ctx))
}

// await waits until a time, until a failed write may be repeated, or until the counts may be
// lost.
func (k *CountsWriter) await(ctx context.Context, next timekeeper.Millis) {
	for now := k.clock(); now < next; now = k.clock() {
		if k.mayBeLost() {
			k.tallier.MarkChanged()
			timekeeper.Sleep(ctx, timekeeper.Millis(rand.Int64N(int64(eraSpread))))
			return
		}
		if k.failing() {
			if k.mayRetry(now) || !timekeeper.Sleep(ctx, min(next-now, contactPollInterval)) {
				return
			}
		} else if !k.awaitEra(ctx, next-now) {
			return
		}
	}
}

// awaitEra waits until the counts may be lost, and returns false after a time.
func (k *CountsWriter) awaitEra(ctx context.Context, wait timekeeper.Millis) bool {
	if k.eras == nil || k.failures > 0 {
		timekeeper.Sleep(ctx, wait)
		return false
	}
	stored := k.version.Era()
	if k.version == 0 {
		stored = k.eras.Era()
	}
	bounded, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	return k.eras.AwaitEra(bounded, stored)
}

// mayBeLost reports whether the store has come back from a copy since the counts were stored.
func (k *CountsWriter) mayBeLost() bool {
	return k.failures == 0 && k.ofOlderEra()
}

// ofOlderEra reports whether the counts were stored in an older era of the store.
func (k *CountsWriter) ofOlderEra() bool {
	return k.eras != nil && k.version != 0 && k.version.Era() != k.eras.Era()
}

// failing reports whether the last write failed and another may be sent before its time.
func (k *CountsWriter) failing() bool { return k.failures > 0 && k.reachable != nil }

// mayRetry reports whether a failed write may be repeated: the store has answered since,
// and the delay has passed. The store may answer others only.
func (k *CountsWriter) mayRetry(now timekeeper.Millis) bool {
	delay := minRetryDelay << min(k.failures-1, 8)
	return now-k.failedAt >= delay && k.reachable(k.failedAt)
}

// Store writes the counts if they changed, or if the reporter waits for them.
func (k *CountsWriter) Store(ctx context.Context) {
	windows, changed := k.tallier.TakeSnapshot()
	through := k.tallier.WindowAt(k.clock()) - 1
	if !changed && !k.awaited(through) {
		return
	}
	k.stored.Windows, k.stored.Through = windows, through
	if err := k.write(ctx); err != nil {
		k.tallier.MarkChanged()
		k.failures++
		k.failedAt = k.clock()
		k.onError(err)
		return
	}
	k.failures = 0
	if k.lost {
		k.lost = false
		k.onRewrite(len(windows))
	}
}

// awaited reports whether the reporter waits for this process's counts of a window. It
// can't know that nothing was counted since the last write.
func (k *CountsWriter) awaited(w Window) bool {
	return k.version != 0 && k.stored.Through < w && k.stored.newestWindow() >= w-activeWindows
}

func (k *CountsWriter) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	data, err := json.Marshal(k.stored)
	if err != nil {
		return errors.Wrap(err, "encode usage counts")
	}
	version, err := k.objects.Put(ctx, k.name, data, k.version)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrOutcomeUnknown) {
		k.lost = k.lost || k.ofOlderEra()
		// Only this process writes the object, so a stored version is from its own earlier write.
		object, readErr := k.objects.Get(ctx, k.name)
		switch {
		case readErr == nil:
			k.version = object.Version
		case errors.Is(readErr, storer.ErrNotFound):
			k.version = 0
		default:
			return err
		}
		if !k.lost {
			return err
		}
		version, err = k.objects.Put(ctx, k.name, data, k.version) // The version was of another era.
	}
	if errors.Is(err, storer.ErrNotFound) {
		k.version = 0
	}
	if err == nil {
		k.version = version
	}
	return err
}
