package distributor

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// ErrOutcomeUnknown means that the platform did not confirm whether the change was
// accepted. Publishing is idempotent by apply id, so a retry with the same id resolves it.
var ErrOutcomeUnknown = errors.New("outcome of the change is unknown; apply again with the same apply id")

// maxPublishTime is the longest time from writing the first shard to writing the
// manifest. It must stay far below UnusedRetention, after which shards that no
// manifest references are removed.
const maxPublishTime = timekeeper.Hour

// maxPutAttempts limits the attempts to write one object when answers are lost.
const maxPutAttempts = 5

// ConflictError is returned when another change was made since the plan.
type ConflictError struct {
	Base    int64
	InForce Change
}

// Error reports the planned generation and the change in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the plan is for generation %d, but in force is %s of %s",
		e.Base, e.InForce, e.InForce.Time.Time().Format("2006-01-02 15:04:05 UTC"))
}

// Unwrap returns storer.ErrConflict.
func (e *ConflictError) Unwrap() error { return storer.ErrConflict }

// Publication is a change of the configuration that an operator applies.
type Publication struct {
	Declaration declarer.Declaration
	Author      string
	ApplyID     string
	Summary     string
	// Base is the generation that the change was planned against; 0 means none.
	Base int64
	// HighestReported is the highest generation that any instance reported. It exceeds Base if
	// the store was restored from a backup; the new generation exceeds both.
	HighestReported int64
}

// ReadManifest returns the stored manifest; generation 0 means that there is none.
func ReadManifest(ctx context.Context, o storer.Objects) (Manifest, storer.Version, error) {
	return storer.Get(ctx, o, ManifestName, decode[Manifest])
}

// Publish makes a change the next generation with one conditional update of the
// manifest. It returns a *ConflictError on a conflict. It is idempotent by apply id.
func Publish(ctx context.Context, o storer.Objects, clock timekeeper.Clock, p Publication) (Change, error) {
	started := clock.Now()
	if p.ApplyID == "" {
		return Change{}, errors.Wrap(ErrInvalid, "no apply id")
	}
	base, version, err := ReadManifest(ctx, o)
	if err != nil {
		return Change{}, errors.Wrap(err, "read manifest")
	}
	if accepted, ok := base.findChange(p.ApplyID); ok {
		return accepted, nil
	}
	if base.Change.Generation != p.Base {
		return Change{}, &ConflictError{Base: p.Base, InForce: base.Change}
	}
	references, shards, err := Split(p.Declaration)
	if err != nil {
		return Change{}, err
	}
	for _, s := range shards {
		if base.has(s.Digest) {
			continue
		}
		if err := writeShard(ctx, o, s); err != nil {
			return Change{}, err
		}
	}
	next := Manifest{
		Change: Change{
			Generation: max(base.Change.Generation, p.HighestReported) + 1,
			Author:     p.Author, ApplyID: p.ApplyID, Summary: p.Summary, Time: started,
		},
		Shards:  references,
		Earlier: []Change{},
	}
	if base.Change.Generation > 0 {
		next.Earlier = append(append(next.Earlier, base.Change), base.Earlier...)
		next.Earlier = next.Earlier[:min(len(next.Earlier), earlierChanges)]
	}
	if err := next.Check(); err != nil {
		return Change{}, err
	}
	if clock.Now()-started > maxPublishTime {
		return Change{}, errors.Errorf("writing the shards took longer than %s; apply again", maxPublishTime)
	}
	return writeManifest(ctx, o, next, version, p)
}

// writeManifest makes the conditional update. After a lost answer or a conflict it
// reads the stored manifest to find out whose change took effect.
func writeManifest(ctx context.Context, o storer.Objects, next Manifest, version storer.Version, p Publication) (Change, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Change{}, errors.Wrap(err, "encode manifest")
	}
	uncertain := false
	for range maxPutAttempts {
		_, err = o.Put(ctx, ManifestName, data, version)
		if err == nil {
			return next.Change, nil
		}
		uncertain = uncertain || errors.Is(err, storer.ErrOutcomeUnknown)
		if !errors.Is(err, storer.ErrConflict) && !IsUnavailable(err) {
			return Change{}, errors.Wrap(err, "write manifest")
		}
		stored, storedVersion, readErr := ReadManifest(ctx, o)
		if readErr != nil {
			continue
		}
		if accepted, ok := stored.findChange(p.ApplyID); ok {
			return accepted, nil
		}
		if storedVersion != version {
			return Change{}, &ConflictError{Base: p.Base, InForce: stored.Change}
		}
	}
	if uncertain {
		return Change{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return Change{}, errors.Wrap(err, "write manifest")
}

// writeShard stores a shard that the base manifest does not reference. An existing
// shard is rewritten, because the new version keeps Sweep from removing it.
func writeShard(ctx context.Context, o storer.Objects, s Shard) error {
	var version storer.Version
	var err error
	for range maxPutAttempts {
		if _, err = o.Put(ctx, ShardPrefix+s.Digest, s.Compressed, version); err == nil {
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrOutcomeUnknown) {
			break
		}
		object, getErr := o.Get(ctx, ShardPrefix+s.Digest)
		switch {
		case errors.Is(getErr, storer.ErrNotFound):
			version = 0
		case getErr != nil:
			return errors.Wrap(getErr, "read shard")
		default:
			version = object.Version
		}
	}
	return errors.Wrap(err, "write shard")
}
