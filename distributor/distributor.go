// Package distributor splits declarations into immutable shards under one
// manifest, publishes them by one conditional update, and adopts strictly newer
// and complete generations from the store or from other instances.
package distributor

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
)

// Errors of an adoption.
var (
	// ErrOlder means that a manifest is older than the generation in force, or another one of the same number.
	ErrOlder = errors.New("generation is not newer than the one in force")
	// ErrIncomplete means that a shard of the manifest is missing; nothing was adopted.
	ErrIncomplete = errors.New("configuration is incomplete")
	// ErrInvalid means that a manifest or shard failed its check; nothing was adopted.
	ErrInvalid = errors.New("configuration is invalid")
)

// state is one adopted generation. It is immutable.
type state struct {
	manifest  Manifest
	fragments map[string]fragment
	catalogue *declarer.Catalogue
}

// Distributor holds the generation in force at one instance. It is safe for
// concurrent use; readers of the catalogue never wait.
type Distributor struct {
	current atomic.Pointer[state]
	adopt   sync.Mutex // held by adoptions, which are rare

	mu          sync.Mutex
	subscribers map[chan struct{}]struct{}

	// anyGeneration switches off the strictly-newer rule; only tests set it.
	anyGeneration bool
}

// New returns a distributor with an empty catalogue of generation 0.
func New() *Distributor {
	d := &Distributor{subscribers: map[chan struct{}]struct{}{}}
	d.current.Store(&state{catalogue: declarer.NewCatalogue(0, declarer.Declaration{})})
	return d
}

// Catalogue returns the catalogue in force.
func (d *Distributor) Catalogue() *declarer.Catalogue { return d.current.Load().catalogue }

// Manifest returns the manifest in force; generation 0 means none yet.
func (d *Distributor) Manifest() Manifest { return d.current.Load().manifest }

// Generation returns the generation in force, as gossip advertises it.
func (d *Distributor) Generation() int64 { return d.current.Load().manifest.Change.Generation }

// Subscribe returns a channel that receives after each adoption; several
// adoptions may share one signal. The function ends the subscription.
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

// Consider checks whether a manifest may be adopted and names the shards that
// are not held yet. The manifest in force gives no error and nothing missing.
func (d *Distributor) Consider(m Manifest) ([]string, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	s := d.current.Load()
	if s.manifest.same(m) {
		return nil, nil
	}
	if err := d.newer(s, m); err != nil {
		return nil, err
	}
	var missing []string
	for _, r := range m.Shards {
		if _, ok := s.fragments[r.Digest]; !ok {
			missing = append(missing, r.Digest)
		}
	}
	return missing, nil
}

func (d *Distributor) newer(s *state, m Manifest) error {
	if m.Change.Generation > s.manifest.Change.Generation || d.anyGeneration {
		return nil
	}
	return errors.Wrapf(ErrOlder, "manifest of %s, in force %s", m.Change, s.manifest.Change)
}

// Adopt puts a strictly newer generation in force if all its shards are held or
// given, and reports whether it did. The manifest in force changes nothing.
func (d *Distributor) Adopt(m Manifest, shards []Shard) (bool, error) {
	d.adopt.Lock()
	defer d.adopt.Unlock()
	if _, err := d.Consider(m); err != nil {
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

// next returns the state that the manifest leads to. Only items that differ from
// those of replaced shards are decoded.
func (s *state) next(m Manifest, shards []Shard) (*state, error) {
	given := make(map[string]Shard, len(shards))
	for _, shard := range shards {
		given[shard.Digest] = shard
	}
	next := &state{manifest: m, fragments: make(map[string]fragment, len(m.Shards))}
	var fresh []ShardReference
	for _, r := range m.Shards {
		if f, ok := s.fragments[r.Digest]; ok {
			next.fragments[r.Digest] = f
			continue
		}
		if _, ok := given[r.Digest]; !ok {
			return nil, errors.Wrapf(ErrIncomplete, "%s lacks shard %s", m.Change, r.Prefix)
		}
		fresh = append(fresh, r)
	}
	var dropped []fragment
	for digest, f := range s.fragments {
		if _, ok := next.fragments[digest]; !ok {
			dropped = append(dropped, f)
		}
	}
	known, err := newMemo(dropped)
	if err != nil {
		return nil, err
	}
	var added []fragment
	for _, r := range fresh {
		f, err := known.decode(r, given[r.Digest])
		if err != nil {
			return nil, err
		}
		next.fragments[r.Digest] = f
		added = append(added, f)
	}
	declaration := patch(s.catalogue.Declaration(), dropped, added)
	next.catalogue = declarer.NewCatalogue(m.Change.Generation, declaration)
	return next, nil
}

// Answer serves another instance's fetch from the generation in force.
func (d *Distributor) Answer(r FetchRequest) FetchAnswer {
	s := d.current.Load()
	answer := FetchAnswer{Generation: s.manifest.Change.Generation, Shards: []Shard{}}
	if r.Manifest && answer.Generation > 0 {
		manifest := s.manifest
		answer.Manifest = &manifest
	}
	for _, digest := range r.Digests[:min(len(r.Digests), fetchShards)] {
		if f, ok := s.fragments[digest]; ok {
			answer.Shards = append(answer.Shards, Shard{Digest: digest, Compressed: f.compressed})
		}
	}
	return answer
}

// Behind names the live instances that have not reported the generation yet.
func Behind(generation int64, live []string, reports map[string]int64) []string {
	var behind []string
	for _, name := range live {
		if reports[name] < generation {
			behind = append(behind, name)
		}
	}
	return behind
}
