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
	settleShare = 0.4
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
}

// NewCountsWriter returns a writer for an instance's process; fleetSize returns the number of
// instances, and onError is called when a write fails.
func NewCountsWriter(t *Tallier, objects storer.Objects, clock func() timekeeper.Millis, stored StoredCounts, process string, fleetSize func() int, onError func(error)) *CountsWriter {
	return &CountsWriter{
		tallier: t, objects: objects, clock: clock, fleetSize: fleetSize, onError: onError,
		name: CountsKind + "/" + process, stored: stored,
	}
}

// Run stores the counts several times in each window, the last time shortly after the
// window's end, and once more when the context ends.
func (k *CountsWriter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		writes := min(max(maxFleetWrites/max(k.fleetSize(), 1), 1), maxWrites)
		interval := k.tallier.length / timekeeper.Millis(writes)
		now := k.clock()
		next := (now/interval+1)*interval + timekeeper.Millis(rand.Float64()*writeJitter*float64(k.tallier.length))
		timekeeper.Sleep(ctx, next-now)
		if ctx.Err() == nil {
			k.Store(context.WithoutCancel(ctx))
		}
	}
	k.stored.Closed = true
	k.tallier.MarkChanged() // Stores Closed even if nothing was counted since the last write.
	k.Store(context.WithoutCancel(ctx))
}

// Store writes the counts if they changed.
func (k *CountsWriter) Store(ctx context.Context) {
	windows, changed := k.tallier.TakeSnapshot()
	if !changed {
		return
	}
	k.stored.Windows, k.stored.Through = windows, k.tallier.WindowAt(k.clock())-1
	if err := k.write(ctx); err != nil {
		k.tallier.MarkChanged()
		k.onError(err)
	}
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
		// Only this process writes the object, so a stored version is from its own earlier write.
		object, readErr := k.objects.Get(ctx, k.name)
		if readErr == nil {
			k.version = object.Version
		} else if errors.Is(readErr, storer.ErrNotFound) {
			k.version = 0
		}
		return err
	}
	if errors.Is(err, storer.ErrNotFound) {
		k.version = 0
	}
	if err == nil {
		k.version = version
	}
	return err
}
