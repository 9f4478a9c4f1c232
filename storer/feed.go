package storer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// ErrCompacted means that the store no longer keeps the changes after a version;
// the caller needs a new snapshot.
var ErrCompacted = errors.New("history of changes is no longer kept")

// Change is one change of an object; a deleted object keeps its name and version.
type Change struct {
	Object  Object
	Deleted bool
}

// Feed lists and watches all objects of a kind. The kind is the part of an
// object's name before the first slash.
type Feed interface {
	// Snapshot returns all objects of the kind and the store's version.
	Snapshot(ctx context.Context, kind string) ([]Object, Version, error)
	// StaleSnapshot returns all objects of the kind as they were up to some seconds
	// ago, at a fraction of a snapshot's cost.
	StaleSnapshot(ctx context.Context, kind string) ([]Object, error)
	// Changes waits up to wait for changes after a version and returns them with
	// the version to continue from, or ErrCompacted.
	Changes(ctx context.Context, kind string, after Version, wait timekeeper.Millis) ([]Change, Version, error)
}
