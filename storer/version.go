package storer

import (
	"context"

	"github.com/pkg/errors"
)

// Era numbers the histories of a store. A store that comes back from a copy has lost its
// latest changes, gives out their revisions again, and is in the next era. The era of a
// store that has named none is 0.
type Era int64

// Version numbers the changes of the whole store: it orders by era, then by revision. An
// object that does not exist has version 0.
type Version int64

const (
	revisionBits = 43
	// MaxEra and MaxRevision are the greatest values that a version can hold.
	MaxEra      Era   = 1<<(62-revisionBits) - 1
	MaxRevision int64 = 1<<revisionBits - 1
)

// Eras is the part of a store that names its eras.
type Eras interface {
	// Era returns the newest known era.
	Era() Era
	// SoleEra returns the era if no other has been known to this process, and 0 otherwise.
	SoleEra() Era
	// AwaitEra waits until the newest known era is another one than the given. It returns
	// false if the context ends before.
	AwaitEra(ctx context.Context, other Era) bool
}

var errVersion = errors.New("version is out of range")

// NewVersion returns the version of a revision in an era.
func NewVersion(e Era, revision int64) (Version, error) {
	if e < 0 || e > MaxEra || revision < 0 || revision > MaxRevision {
		return 0, errors.Wrapf(errVersion, "revision %d of era %d", revision, e)
	}
	return Version(int64(e)<<revisionBits | revision), nil
}

// Era returns the era in which the version was given out.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the number of the change in its era.
func (v Version) Revision() int64 { return int64(v) & MaxRevision }
