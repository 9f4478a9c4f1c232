package distributor

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// maxFetchShards limits one answer to 2 MiB of shards before compression.
const maxFetchShards = 8

// loadConcurrency is how many peers LoadNewest queries at once.
const loadConcurrency = 16

// Polling of the stored manifest by an instance that is not the configuration
// reader of its data centre.
const (
	// readerTimeout is the time since the reader was last seen after which the other
	// instances poll.
	readerTimeout = 3 * timekeeper.Second
	// pollIntervalWithoutReader is the longest time between polls while the reader is
	// silent. Added to readerTimeout it is the 11 s within which a change must be in force.
	pollIntervalWithoutReader = 8 * timekeeper.Second
	// pollIntervalWithReader is the mean time between polls otherwise. These polls
	// only detect a restored store; 340 instances make 1.1 reads a second.
	pollIntervalWithReader = 5 * timekeeper.Minute
)

// Peer fetches the manifest and shards from one other instance.
type Peer interface {
	Fetch(ctx context.Context, r FetchRequest) (FetchAnswer, error)
}

// NextPoll returns when an instance should next read the stored manifest, given
// its last read and when the reader of its data centre was last seen. The caller
// asks repeatedly, as readerLastSeen changes, and passes the same jitter in [0, 1)
// until the read is done.
func NextPoll(now, lastRead, readerLastSeen timekeeper.Millis, jitter float64) timekeeper.Millis {
	if now-readerLastSeen >= readerTimeout {
		return max(lastRead, readerLastSeen+readerTimeout) + timekeeper.Millis(float64(pollIntervalWithoutReader)*(0.25+0.75*jitter))
	}
	return lastRead + timekeeper.Millis(float64(pollIntervalWithReader)*(0.5+jitter))
}

// ReadStore adopts the stored manifest if it is newer, and reports whether it did.
func (d *Distributor) ReadStore(ctx context.Context, o storer.Objects) (bool, error) {
	m, _, err := ReadManifest(ctx, o)
	if err != nil {
		return false, errors.Wrap(err, "read manifest")
	}
	return d.adoptFromStore(ctx, o, m)
}

// WatchStore waits for a change of the stored manifest after a version and adopts
// it. It reports whether it did and returns the version to watch from next.
func (d *Distributor) WatchStore(ctx context.Context, o storer.Objects, after storer.Version) (bool, storer.Version, error) {
	changes, next, err := o.Watch(ctx, ManifestName, after)
	if err != nil || len(changes) == 0 {
		return false, next, err
	}
	last := changes[len(changes)-1]
	if len(last.Value) == 0 {
		return false, next, nil
	}
	m, err := decode[Manifest](last.Value)
	if err != nil {
		return false, next, err
	}
	adopted, err := d.adoptFromStore(ctx, o, m)
	if err != nil && !errors.Is(err, ErrNotNewer) {
		next = after
	}
	return adopted, next, err
}

func (d *Distributor) adoptFromStore(ctx context.Context, o storer.Objects, m Manifest) (bool, error) {
	if m.Change.Generation == 0 && d.Generation() == 0 {
		return false, nil
	}
	if m.Change.Generation == 0 {
		return false, errors.Wrapf(ErrNotNewer, "the store has no manifest, in force is %s", d.Manifest().Change)
	}
	missing, err := d.MissingShards(m)
	if err != nil {
		return false, err
	}
	var shards []Shard
	for _, digest := range missing {
		object, err := o.Get(ctx, ShardPrefix+digest)
		if err != nil {
			return false, errors.Wrap(err, "read shard")
		}
		shards = append(shards, Shard{Digest: digest, Compressed: object.Value})
	}
	return d.Adopt(m, shards)
}

// FetchFrom adopts a peer's generation if it is newer, and reports whether it did.
func (d *Distributor) FetchFrom(ctx context.Context, p Peer) (bool, error) {
	answer, err := fetch(ctx, p, FetchRequest{Manifest: true, Digests: []string{}})
	if err != nil || answer.Manifest == nil || answer.Manifest.Change.Generation <= d.Generation() {
		return false, err
	}
	missing, err := d.MissingShards(*answer.Manifest)
	if err != nil {
		return false, err
	}
	var shards []Shard
	for len(missing) > 0 {
		batch := missing[:min(len(missing), maxFetchShards)]
		missing = missing[len(batch):]
		part, err := fetch(ctx, p, FetchRequest{Digests: batch})
		if err != nil {
			return false, err
		}
		shards = append(shards, part.Shards...)
	}
	return d.Adopt(*answer.Manifest, shards)
}

func fetch(ctx context.Context, p Peer, r FetchRequest) (FetchAnswer, error) {
	answer, err := p.Fetch(ctx, r)
	if err != nil {
		return FetchAnswer{}, errors.Wrap(err, "fetch configuration")
	}
	return answer, answer.Check()
}

// LoadNewest queries the store and all peers and adopts the highest generation
// that is available in full. It returns the error of the store if no generation is
// in force afterwards.
func (d *Distributor) LoadNewest(ctx context.Context, o storer.Objects, peers []Peer) error {
	_, storeErr := d.ReadStore(ctx, o)
	generations := make([]int64, len(peers))
	var group sync.WaitGroup
	slots := make(chan struct{}, loadConcurrency)
	for i, p := range peers {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if answer, err := fetch(ctx, p, FetchRequest{Digests: []string{}}); err == nil {
				generations[i] = answer.Generation
			}
		})
	}
	group.Wait()
	for {
		best := -1
		for i, g := range generations {
			if g > d.Generation() && (best < 0 || g > generations[best]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		generations[best] = 0
		// If this peer fails, the one with the next highest generation is tried.
		_, _ = d.FetchFrom(ctx, peers[best])
	}
	if d.Generation() == 0 {
		return storeErr
	}
	return nil
}

// DecodeRequest decodes and validates a fetch request of another instance.
func DecodeRequest(data []byte) (FetchRequest, error) {
	var r FetchRequest
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(ErrInvalid, err.Error())
	}
	return r, r.Check()
}
