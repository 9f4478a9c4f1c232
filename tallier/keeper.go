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
	// spread is the part of a window over which instances spread their writes after its end.
	spread = 0.15
	// mostWrites is how often in a window a small fleet stores its counts; what an
	// instance counted since its last write is lost with it.
	mostWrites = 5
	// fleetWrites bounds the writes of all instances in a window.
	fleetWrites = 100
	// settle is the part of a window after which all instances have stored its counts.
	settle = 0.4
)

// Stored is the object that holds an instance's counts.
type Stored struct {
	Instance string            `json:"instance"`
	Windows  map[Window]Counts `json:"windows"`
	// Through is the last window that had ended when the counts were stored.
	Through Window `json:"through"`
	// Closed tells that the process counts no more.
	Closed bool `json:"closed,omitempty"`
}

// newest returns the newest window with counts.
func (s Stored) newest() Window {
	var last Window
	for w := range s.Windows {
		last = max(last, w)
	}
	return last
}

// Keeper stores the counts of one instance. Its object's name is new for each
// process, so that a process that starts again does not overwrite its counts.
type Keeper struct {
	tallier *Tallier
	objects storer.Objects
	clock   func() timekeeper.Millis
	fleet   func() int
	name    string
	stored  Stored
	version storer.Version
	failed  func(error)
}

// NewKeeper returns a keeper for an instance's process; fleet tells the number of instances.
func NewKeeper(t *Tallier, objects storer.Objects, clock func() timekeeper.Millis, stored Stored, process string, fleet func() int, failed func(error)) *Keeper {
	return &Keeper{
		tallier: t, objects: objects, clock: clock, fleet: fleet, failed: failed,
		name: CountsKind + "/" + process, stored: stored,
	}
}

// Run stores the counts several times in each window, soon after its end, and once
// more when the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		writes := min(max(fleetWrites/max(k.fleet(), 1), 1), mostWrites)
		span := k.tallier.length / timekeeper.Millis(writes)
		now := k.clock()
		next := (now/span+1)*span + timekeeper.Millis(rand.Float64()*spread*float64(k.tallier.length))
		timekeeper.Sleep(ctx, next-now)
		if ctx.Err() == nil {
			k.Store(context.WithoutCancel(ctx))
		}
	}
	k.stored.Closed = true
	k.tallier.Untake() // The last write tells the end also if nothing was counted since.
	k.Store(context.WithoutCancel(ctx))
}

// Store writes the counts if they changed.
func (k *Keeper) Store(ctx context.Context) {
	windows, changed := k.tallier.Take()
	if !changed {
		return
	}
	k.stored.Windows, k.stored.Through = windows, k.tallier.WindowAt(k.clock())-1
	if err := k.write(ctx); err != nil {
		k.tallier.Untake()
		k.failed(err)
	}
}

func (k *Keeper) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	data, err := json.Marshal(k.stored)
	if err != nil {
		return errors.Wrap(err, "encode counts")
	}
	version, err := k.objects.Put(ctx, k.name, data, k.version)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUncertain) {
		// Only this process writes the object: what is there is an earlier write of its own.
		object, read := k.objects.Get(ctx, k.name)
		if read == nil {
			k.version = object.Version
		} else if errors.Is(read, storer.ErrNotFound) {
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
