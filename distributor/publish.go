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

// ErrOutcomeUnknown means that the platform did not say whether the change was
// accepted. Publishing again with the same apply id finds out.
var ErrOutcomeUnknown = errors.New("outcome of the change is unknown; apply again with the same apply id")

// publishTime is the longest time from writing the first shard to writing the
// manifest. It must stay far below UnusedTime, after which shards without a
// manifest are removed.
const publishTime = timekeeper.Hour

// publishAttempts bounds the writes of one object whose answers get lost.
const publishAttempts = 5

// ConflictError names the change that another operator made in the meantime.
type ConflictError struct {
	Base    int64
	InForce Change
}

// Error names the generation, author and change in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the plan is for generation %d, but in force is %s of %s",
		e.Base, e.InForce, e.InForce.Time.Time().Format("2006-01-02 15:04:05 UTC"))
}

// Unwrap makes the conflict a storer.ErrConflict.
func (e *ConflictError) Unwrap() error { return storer.ErrConflict }

// Publication is one change that an operator applies.
type Publication struct {
	Declaration declarer.Declaration
	Author      string
	ApplyID     string
	Summary     string
	// Base is the generation that the change was planned for; 0 stands for none.
	Base int64
	// Floor is the highest generation that an instance reported. It exceeds Base
	// after the store was restored; the new generation must exceed both.
	Floor int64
}

// ReadManifest returns the stored manifest; generation 0 means that there is none.
func ReadManifest(ctx context.Context, o storer.Objects) (Manifest, storer.Version, error) {
	return storer.Get(ctx, o, ManifestName, decode[Manifest])
}

// Publish makes a change the next generation by one conditional update of the
// manifest. A conflict is a *ConflictError. Publishing an apply id again has no
// second effect.
func Publish(ctx context.Context, o storer.Objects, clock timekeeper.Clock, p Publication) (Change, error) {
	started := clock.Now()
	if p.ApplyID == "" {
		return Change{}, errors.Wrap(ErrInvalid, "no apply id")
	}
	base, version, err := ReadManifest(ctx, o)
	if err != nil {
		return Change{}, errors.Wrap(err, "read manifest")
	}
	if made, ok := base.made(p.ApplyID); ok {
		return made, nil
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
			Generation: max(base.Change.Generation, p.Floor) + 1,
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
	if clock.Now()-started > publishTime {
		return Change{}, errors.Errorf("writing the shards took longer than %s; apply again", publishTime)
	}
	return writeManifest(ctx, o, next, version, p)
}

// writeManifest does the conditional update. After a lost answer or a conflict
// the stored manifest tells whose change took effect.
func writeManifest(ctx context.Context, o storer.Objects, next Manifest, version storer.Version, p Publication) (Change, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Change{}, errors.Wrap(err, "encode manifest")
	}
	uncertain := false
	for range publishAttempts {
		_, err = o.Put(ctx, ManifestName, data, version)
		if err == nil {
			return next.Change, nil
		}
		uncertain = uncertain || errors.Is(err, storer.ErrUncertain)
		if !errors.Is(err, storer.ErrConflict) && !IsUnavailable(err) {
			return Change{}, errors.Wrap(err, "write manifest")
		}
		stored, at, readErr := ReadManifest(ctx, o)
		if readErr != nil {
			continue
		}
		if made, ok := stored.made(p.ApplyID); ok {
			return made, nil
		}
		if at != version {
			return Change{}, &ConflictError{Base: p.Base, InForce: stored.Change}
		}
	}
	if uncertain {
		return Change{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return Change{}, errors.Wrap(err, "write manifest")
}

// writeShard stores a shard that the base manifest does not name. One that exists
// is written again, because its new version keeps Sweep from removing it.
func writeShard(ctx context.Context, o storer.Objects, s Shard) error {
	var version storer.Version
	var err error
	for range publishAttempts {
		if _, err = o.Put(ctx, ShardPrefix+s.Digest, s.Compressed, version); err == nil {
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain) {
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
