package distributor

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// UnusedRetention is how long a shard that no manifest references stays in the store.
const UnusedRetention = 24 * timekeeper.Hour

// Sweep removes shards that have been neither referenced by the manifest nor
// written for UnusedRetention, and returns how many. The list of unused shards is
// stored too, so that the retention time continues when another instance takes
// over. Sweep removes nothing from a store that is older than the generation in force.
func (d *Distributor) Sweep(ctx context.Context, o storer.Objects, now timekeeper.Millis) (int, error) {
	// The shards are listed before the manifest is read, so that a shard that a change
	// references in between is kept.
	listed, err := o.List(ctx, ShardPrefix)
	if err != nil {
		return 0, errors.Wrap(err, "list shards")
	}
	manifest, _, err := ReadManifest(ctx, o)
	if err != nil {
		return 0, errors.Wrap(err, "read manifest")
	}
	if manifest.Change.Generation < d.Generation() {
		return 0, errors.Wrapf(ErrNotNewer, "shards are kept: stored is %s, in force is %s", manifest.Change, d.Manifest().Change)
	}
	unused, version, err := storer.Get(ctx, o, UnusedName, decode[Unused])
	if err != nil {
		return 0, errors.Wrap(err, "read unused shards")
	}
	next, expired := sweep(unused, listed, manifest, now)
	removed := 0
	for _, s := range expired {
		err := o.Delete(ctx, ShardPrefix+s.Digest, storer.Version(s.Version))
		if err != nil && !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrNotFound) {
			return removed, errors.Wrap(err, "remove shard")
		}
		if err == nil {
			removed++
		}
	}
	if slices.Equal(next.Shards, unused.Shards) {
		return removed, nil
	}
	data, err := json.Marshal(next)
	if err != nil {
		return removed, errors.Wrap(err, "encode unused shards")
	}
	_, err = o.Put(ctx, UnusedName, data, version)
	return removed, errors.Wrap(err, "write unused shards")
}

// sweep returns the unused shards to keep on the list and those to remove. The
// retention time of a rewritten shard restarts: a publication may be about to
// reference it.
func sweep(unused Unused, listed []storer.Object, m Manifest, now timekeeper.Millis) (Unused, []UnusedShard) {
	recorded := map[string]UnusedShard{}
	for _, s := range unused.Shards {
		recorded[s.Digest] = s
	}
	referenced := map[string]bool{}
	for _, r := range m.Shards {
		referenced[r.Digest] = true
	}
	next := Unused{Shards: []UnusedShard{}}
	var expired []UnusedShard
	for _, object := range listed {
		digest := strings.TrimPrefix(object.Name, ShardPrefix)
		if referenced[digest] || !isDigest(digest) {
			continue
		}
		s, ok := recorded[digest]
		if !ok || s.Version != int64(object.Version) {
			s = UnusedShard{Digest: digest, Version: int64(object.Version), Since: now}
		}
		if now-s.Since >= UnusedRetention {
			expired = append(expired, s)
			continue
		}
		next.Shards = append(next.Shards, s)
	}
	return next, expired
}
