package distributor

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// fetchShards bounds the shards in one answer to 2 MiB before compression.
const fetchShards = 8

// startCalls is how many peers a starting instance asks at once.
const startCalls = 16

// Times between looks at the stored manifest by an instance that is not the
// reader of its data centre.
const (
	// readerSilence is the time without a sign of the reader after which others poll.
	readerSilence = 3 * timekeeper.Second
	// silentInterval is the longest time between polls while the reader is silent;
	// with readerSilence it stays within the 11 s for a change.
	silentInterval = 8 * timekeeper.Second
	// heardInterval is the mean time between polls otherwise. They only find a
	// restored store; 340 instances make 1.1 reads a second.
	heardInterval = 5 * timekeeper.Minute
)

// Peer fetches parts of the configuration from one other instance.
type Peer interface {
	Fetch(ctx context.Context, r FetchRequest) (FetchAnswer, error)
}

// NextPoll returns when an instance reads the stored manifest after its last
// read, given when it last heard the reader of its data centre. It is asked again
// as time goes on, with the same jitter in [0, 1) until the read was made.
func NextPoll(now, last, readerHeard timekeeper.Millis, jitter float64) timekeeper.Millis {
	if now-readerHeard >= readerSilence {
		return max(last, readerHeard+readerSilence) + timekeeper.Millis(float64(silentInterval)*(0.25+0.75*jitter))
	}
	return last + timekeeper.Millis(float64(heardInterval)*(0.5+jitter))
}

// ReadStore adopts the stored manifest if it is newer, and reports whether it did.
func (d *Distributor) ReadStore(ctx context.Context, o storer.Objects) (bool, error) {
	m, _, err := ReadManifest(ctx, o)
	if err != nil {
		return false, errors.Wrap(err, "read manifest")
	}
	return d.adoptFromStore(ctx, o, m)
}

// WatchStore waits for a change of the stored manifest after a version, adopts
// it and returns the version to go on from.
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
	if err != nil && !errors.Is(err, ErrOlder) {
		next = after
	}
	return adopted, next, err
}

func (d *Distributor) adoptFromStore(ctx context.Context, o storer.Objects, m Manifest) (bool, error) {
	if m.Change.Generation == 0 && d.Generation() == 0 {
		return false, nil
	}
	if m.Change.Generation == 0 {
		return false, errors.Wrapf(ErrOlder, "the store has no manifest, in force %s", d.Manifest().Change)
	}
	missing, err := d.Consider(m)
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
	missing, err := d.Consider(*answer.Manifest)
	if err != nil {
		return false, err
	}
	var shards []Shard
	for len(missing) > 0 {
		batch := missing[:min(len(missing), fetchShards)]
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

// Start asks the store and all peers and adopts the highest generation that is
// complete somewhere. The error of the store is returned if nothing is in force.
func (d *Distributor) Start(ctx context.Context, o storer.Objects, peers []Peer) error {
	_, storeErr := d.ReadStore(ctx, o)
	generations := make([]int64, len(peers))
	var group sync.WaitGroup
	slots := make(chan struct{}, startCalls)
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
		// A peer that fails here is passed over; the next best is asked.
		_, _ = d.FetchFrom(ctx, peers[best])
	}
	if d.Generation() == 0 {
		return storeErr
	}
	return nil
}

// DecodeRequest decodes and checks a fetch request of another instance.
func DecodeRequest(data []byte) (FetchRequest, error) {
	var r FetchRequest
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(ErrInvalid, err.Error())
	}
	return r, r.Check()
}
