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

// UnusedTime is how long a shard stays in the store without a manifest that names it.
const UnusedTime = 24 * timekeeper.Hour

// Sweep removes shards that no manifest named and nobody wrote for UnusedTime,
// and returns how many. The list of unused shards is itself an object, so that
// the time goes on when the sweeping instance is replaced. A store that is older
// than the generation in force is left alone.
func (d *Distributor) Sweep(ctx context.Context, o storer.Objects, now timekeeper.Millis) (int, error) {
	// The list comes before the manifest: a shard that a change names in between is then kept.
	listed, err := o.List(ctx, ShardPrefix)
	if err != nil {
		return 0, errors.Wrap(err, "list shards")
	}
	manifest, _, err := ReadManifest(ctx, o)
	if err != nil {
		return 0, errors.Wrap(err, "read manifest")
	}
	if manifest.Change.Generation < d.Generation() {
		return 0, errors.Wrapf(ErrOlder, "shards are kept: stored %s, in force %s", manifest.Change, d.Manifest().Change)
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

// sweep returns the unused shards to remember and those to remove. A shard that
// was written again starts anew: a publication may be about to name it.
func sweep(unused Unused, listed []storer.Object, m Manifest, now timekeeper.Millis) (Unused, []UnusedShard) {
	since := map[string]UnusedShard{}
	for _, s := range unused.Shards {
		since[s.Digest] = s
	}
	named := map[string]bool{}
	for _, r := range m.Shards {
		named[r.Digest] = true
	}
	next := Unused{Shards: []UnusedShard{}}
	var expired []UnusedShard
	for _, object := range listed {
		digest := strings.TrimPrefix(object.Name, ShardPrefix)
		if named[digest] || !isDigest(digest) {
			continue
		}
		s, ok := since[digest]
		if !ok || s.Version != int64(object.Version) {
			s = UnusedShard{Digest: digest, Version: int64(object.Version), Since: now}
		}
		if now-s.Since >= UnusedTime {
			expired = append(expired, s)
			continue
		}
		next.Shards = append(next.Shards, s)
	}
	return next, expired
}
