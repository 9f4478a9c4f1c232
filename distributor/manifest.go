package distributor

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
)

// Names of the objects in the store.
const (
	ManifestName = "configuration/manifest"
	ShardPrefix  = "configuration/shards/"
	UnusedName   = "configuration/unused"
)

// earlierChanges is how many earlier changes a manifest lists. A retried apply
// whose answer was lost is recognised while at most this many others followed it.
const earlierChanges = 32

// maxShards keeps an encoded manifest below storer.MaxValueBytes.
const maxShards = 6000

// Check reports whether the manifest is well formed.
func (m Manifest) Check() error {
	if m.Change.Generation < 1 {
		return errors.Wrapf(ErrInvalid, "generation %d", m.Change.Generation)
	}
	if m.Change.ApplyID == "" {
		return errors.Wrapf(ErrInvalid, "generation %d has no apply id", m.Change.Generation)
	}
	if len(m.Shards) > maxShards || len(m.Earlier) > earlierChanges {
		return errors.Wrapf(ErrInvalid, "%d shards and %d earlier changes", len(m.Shards), len(m.Earlier))
	}
	seen := make(map[string]bool, len(m.Shards))
	for _, r := range m.Shards {
		if !isDigest(r.Digest) || seen[r.Digest] {
			return errors.Wrapf(ErrInvalid, "shard %q of %s", r.Digest, m.Change)
		}
		seen[r.Digest] = true
	}
	return nil
}

// Check reports whether the request is well formed.
func (r FetchRequest) Check() error {
	for _, digest := range r.Digests {
		if !isDigest(digest) {
			return errors.Wrapf(ErrInvalid, "digest %q", digest)
		}
	}
	return nil
}

// Check reports whether the answer is well formed.
func (a FetchAnswer) Check() error {
	if a.Manifest != nil {
		return a.Manifest.Check()
	}
	return nil
}

// Check reports whether the list is well formed.
func (u Unused) Check() error {
	for _, s := range u.Shards {
		if !isDigest(s.Digest) {
			return errors.Wrapf(ErrInvalid, "digest %q", s.Digest)
		}
	}
	return nil
}

func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32
}

// String describes the change for errors and events.
func (c Change) String() string {
	return fmt.Sprintf("generation %d by %s (%s, apply %s)", c.Generation, c.Author, c.Summary, c.ApplyID)
}

// same reports whether both manifests have the same change and the same shards.
func (m Manifest) same(other Manifest) bool {
	return m.Change == other.Change && slices.Equal(m.Shards, other.Shards)
}

// findChange returns the change that an apply made, if the manifest lists it.
func (m Manifest) findChange(applyID string) (Change, bool) {
	if m.Change.ApplyID == applyID {
		return m.Change, true
	}
	for _, c := range m.Earlier {
		if c.ApplyID == applyID {
			return c, true
		}
	}
	return Change{}, false
}

// has reports whether the manifest references a shard.
func (m Manifest) has(digest string) bool {
	return slices.ContainsFunc(m.Shards, func(r ShardReference) bool { return r.Digest == digest })
}

type checker interface{ Check() error }

// decode decodes a stored value and validates it.
func decode[T checker](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, errors.Wrap(ErrInvalid, err.Error())
	}
	return v, v.Check()
}

// IsUnavailable reports whether a failed call may succeed once the platform is
// available again.
func IsUnavailable(err error) bool {
	return errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrOutcomeUnknown)
}
