package storer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// ErrHistoryGone means that the changes after a version are no longer kept; list instead.
var ErrHistoryGone = errors.New("history of changes is gone")

// Change is one change of an object; a deleted object keeps its name and version.
type Change struct {
	Object  Object
	Deleted bool
}

// Feed lists and follows all objects of a kind, which is the part of their names
// up to the first slash.
type Feed interface {
	// Snapshot returns all objects of the kind and the store's version.
	Snapshot(ctx context.Context, kind string) ([]Object, Version, error)
	// StaleSnapshot returns all objects of the kind as they were up to some seconds
	// ago, at a fraction of a snapshot's cost.
	StaleSnapshot(ctx context.Context, kind string) ([]Object, error)
	// Changes waits up to wait for changes after a version and returns them with
	// the version to go on from, or ErrHistoryGone.
	Changes(ctx context.Context, kind string, after Version, wait timekeeper.Millis) ([]Change, Version, error)
}
