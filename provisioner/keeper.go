package provisioner

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// PendingKeeper stores the changes of role in progress, so that instances that start send
// these engines no requests. It outlives tenures: what it stored in one it stores again if the
// store has come back from a copy.
type PendingKeeper struct {
	store  storer.Objects
	clock  timekeeper.Clock
	record func(recorder.Event)

	mu      sync.Mutex // Held during calls on the store.
	known   PendingChanges
	version storer.Version // Of the object when it was last read or written.
}

// NewPendingKeeper returns a keeper that knows of no changes.
func NewPendingKeeper(s storer.Objects, c timekeeper.Clock, record func(recorder.Event)) *PendingKeeper {
	return &PendingKeeper{store: s, clock: c, record: record}
}

// Load returns the changes of role in progress, those that other holders have ordered included.
func (k *PendingKeeper) Load(ctx context.Context) PendingChanges {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Read().Wall
	stored, version, err := LoadPending(ctx, k.store)
	if err == nil || errors.Is(err, errInvalidPending) {
		k.version = version
	}
	if err != nil {
		k.recordError(err)
	}
	k.known = k.known.At(now).merge(stored.At(now))
	return k.known
}

// Add stores changes of role that are about to be ordered. Without the store they are ordered
// as well.
func (k *PendingKeeper) Add(ctx context.Context, orders []SetRole) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Read().Wall
	for _, o := range orders {
		k.known = k.known.At(now).With(o, now)
	}
	if err := k.put(ctx); err != nil {
		k.recordError(err)
	}
}

// Keep stores the known changes again in each new era of the store, until the context ends.
func (k *PendingKeeper) Keep(ctx context.Context, eras storer.Eras) {
	for known := eras.Era(); eras.AwaitEra(ctx, known); {
		era := eras.Era()
		if err := k.restore(ctx, era); err != nil {
			k.recordError(err)
			timekeeper.Sleep(ctx, pendingTimeout)
			continue
		}
		known = era
	}
}

// restore stores the changes that are still in progress.
func (k *PendingKeeper) restore(ctx context.Context, era storer.Era) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known = k.known.At(k.clock.Read().Wall)
	if len(k.known) == 0 {
		return nil
	}
	if err := k.put(ctx); err != nil {
		return err
	}
	k.record(recorder.RewrittenEvent(pendingKind, len(k.known), int64(era)))
	return nil
}

// put stores the known changes. The caller holds mu.
func (k *PendingKeeper) put(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout.Duration())
	defer cancel()
	known := k.known
	version, err := putPending(ctx, k.store, known, k.version)
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrOutcomeUnknown) {
		// An earlier answer was lost, another holder has stored changes since, or the version is
		// of another era.
		var stored PendingChanges
		stored, version, err = LoadPending(ctx, k.store)
		if err == nil || errors.Is(err, errInvalidPending) {
			known = stored.At(k.clock.Read().Wall).merge(known)
			version, err = putPending(ctx, k.store, known, version)
		}
	}
	if err == nil {
		k.known, k.version = known, version
	}
	return err
}

func (k *PendingKeeper) recordError(err error) {
	k.record(recorder.Event{Code: recorder.RoleChangesUnstored, Cause: err.Error()})
}
