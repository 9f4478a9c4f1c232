// Package distributor distributes the configuration. It splits declarations into
// immutable shards listed in a manifest, publishes them with one conditional
// update, and adopts generations that are complete and strictly newer, from the
// store or from other instances.
package distributor

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
)

// Errors returned when a generation is adopted.
var (
	// ErrNotNewer means that a manifest is older than the generation in force, or
	// differs from it under the same number.
	ErrNotNewer = errors.New("generation is not newer than the one in force")
	// ErrIncomplete means that a shard of the manifest is missing; nothing was adopted.
	ErrIncomplete = errors.New("configuration is incomplete")
	// ErrInvalid means that a manifest or shard failed its check; nothing was adopted.
	ErrInvalid = errors.New("configuration is invalid")
)

// state is one adopted generation. It is immutable.
type state struct {
	manifest  Manifest
	decoded   map[string]decodedShard
	catalogue *declarer.Catalogue
}

// Distributor holds the generation in force at one instance. It is safe for
// concurrent use; reading the catalogue never blocks.
type Distributor struct {
	current       atomic.Pointer[state]
	adoptionMutex sync.Mutex // serialises adoptions, which are rare

	mu          sync.Mutex
	subscribers map[chan struct{}]struct{}

	// allowOlder disables the strictly-newer rule; only tests set it.
	allowOlder bool
}

// New returns a distributor with an empty catalogue of generation 0.
func New() *Distributor {
	d := &Distributor{subscribers: map[chan struct{}]struct{}{}}
	d.current.Store(&state{catalogue: declarer.NewCatalogue(0, declarer.Declaration{})})
	return d
}

// Catalogue returns the catalogue in force.
func (d *Distributor) Catalogue() *declarer.Catalogue { return d.current.Load().catalogue }

// Manifest returns the manifest in force; its generation is 0 if there is none yet.
func (d *Distributor) Manifest() Manifest { return d.current.Load().manifest }

// Generation returns the generation in force, which is advertised through gossip.
func (d *Distributor) Generation() int64 { return d.current.Load().manifest.Change.Generation }

// Subscribe returns a channel that is signalled after an adoption; several
// adoptions may share one signal. The returned function cancels the subscription.
func (d *Distributor) Subscribe() (<-chan struct{}, func()) {
	signal := make(chan struct{}, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers[signal] = struct{}{}
	return signal, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.subscribers, signal)
	}
}

func (d *Distributor) notify() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for signal := range d.subscribers {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}

// MissingShards checks whether a manifest may be adopted and returns the digests
// of its shards that this instance lacks. For the manifest in force it returns
// neither digests nor an error.
func (d *Distributor) MissingShards(m Manifest) ([]string, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	s := d.current.Load()
	if s.manifest.same(m) {
		return nil, nil
	}
	if err := d.checkNewer(s, m); err != nil {
		return nil, err
	}
	var missing []string
	for _, r := range m.Shards {
		if _, ok := s.decoded[r.Digest]; !ok {
			missing = append(missing, r.Digest)
		}
	}
	return missing, nil
}

func (d *Distributor) checkNewer(s *state, m Manifest) error {
	if m.Change.Generation > s.manifest.Change.Generation || d.allowOlder {
		return nil
	}
	return errors.Wrapf(ErrNotNewer, "manifest is of %s, in force is %s", m.Change, s.manifest.Change)
}

// Adopt puts a strictly newer generation in force if each of its shards is already
// held or passed in, and reports whether it did. Adopting the manifest in force
// has no effect.
func (d *Distributor) Adopt(m Manifest, shards []Shard) (bool, error) {
	d.adoptionMutex.Lock()
	defer d.adoptionMutex.Unlock()
	if _, err := d.MissingShards(m); err != nil {
		return false, err
	}
	s := d.current.Load()
	if s.manifest.same(m) {
		return false, nil
	}
	next, err := s.next(m, shards)
	if err != nil {
		return false, err
	}
	d.current.Store(next)
	d.notify()
	return true, nil
}

// next returns the state after adopting the manifest. It decodes only the items
// that differ from those of the replaced shards.
func (s *state) next(m Manifest, shards []Shard) (*state, error) {
	provided := make(map[string]Shard, len(shards))
	for _, shard := range shards {
		provided[shard.Digest] = shard
	}
	next := &state{manifest: m, decoded: make(map[string]decodedShard, len(m.Shards))}
	var missing []ShardReference
	for _, r := range m.Shards {
		if f, ok := s.decoded[r.Digest]; ok {
			next.decoded[r.Digest] = f
			continue
		}
		if _, ok := provided[r.Digest]; !ok {
			return nil, errors.Wrapf(ErrIncomplete, "%s lacks shard %s", m.Change, r.Prefix)
		}
		missing = append(missing, r)
	}
	var dropped []decodedShard
	for digest, f := range s.decoded {
		if _, ok := next.decoded[digest]; !ok {
			dropped = append(dropped, f)
		}
	}
	cache, err := newItemCache(dropped)
	if err != nil {
		return nil, err
	}
	var added []decodedShard
	for _, r := range missing {
		f, err := cache.decode(r, provided[r.Digest])
		if err != nil {
			return nil, err
		}
		next.decoded[r.Digest] = f
		added = append(added, f)
	}
	declaration := patch(s.catalogue.Declaration(), dropped, added)
	next.catalogue = declarer.NewCatalogue(m.Change.Generation, declaration)
	return next, nil
}

// HandleFetch handles another instance's fetch request from the generation in force.
func (d *Distributor) HandleFetch(r FetchRequest) FetchAnswer {
	s := d.current.Load()
	answer := FetchAnswer{Generation: s.manifest.Change.Generation, Shards: []Shard{}}
	if r.Manifest && answer.Generation > 0 {
		manifest := s.manifest
		answer.Manifest = &manifest
	}
	for _, digest := range r.Digests[:min(len(r.Digests), maxFetchShards)] {
		if f, ok := s.decoded[digest]; ok {
			answer.Shards = append(answer.Shards, Shard{Digest: digest, Compressed: f.compressed})
		}
	}
	return answer
}

// LaggingInstances returns the live instances that have not reported the generation yet.
func LaggingInstances(generation int64, live []string, reports map[string]int64) []string {
	var behind []string
	for _, name := range live {
		if reports[name] < generation {
			behind = append(behind, name)
		}
	}
	return behind
}
