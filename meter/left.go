package meter

import (
	"context"
	"encoding/json"
	"fmt"
	"math"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// stoppedReadWindows is the number of windows between reads of the counts that
// stopped instances stored. With windows of a minute and six data centres this is
// 0.01 reads per second.
const stoppedReadWindows = 10

// stoppedCounts is a stored object with counts from an instance that stopped.
type stoppedCounts struct {
	Copy
	fromSource bool // written by the source itself, so its counts are complete
	name       string
	version    storer.Version
}

func stoppedCountsPrefix(dataCentre string) string { return "usage-left/" + dataCentre + "/" }

func stoppedCountsName(dataCentre string, writer, source Source) string {
	return fmt.Sprintf("%s%s-%d/%s-%d", stoppedCountsPrefix(dataCentre), writer.Instance, writer.Incarnation, source.Instance, source.Incarnation)
}

// Check reports whether the copy is well formed.
func (c Copy) Check() error {
	if c.Source.Instance == "" {
		return errors.Wrap(ErrMalformed, "stored counts without a source")
	}
	return checkBatches(c.Batches)
}

// StoreUnsealedCounts stores the counts that an instance holds at a planned stop and that are
// not known to be sealed. Without it they are lost when all instances of a data
// centre stop together. Counts that also have a copy on a peer are billed once,
// because marks are kept per source.
func StoreUnsealedCounts(ctx context.Context, o storer.Objects, dataCentre string, counter *Counter, copies *Copies) error {
	all := []Copy{counter.finalSnapshot()}
	for _, s := range copies.Sources() {
		all = append(all, copies.Get(s, timekeeper.Millis(math.MaxInt64)))
	}
	for _, c := range all {
		if len(c.Batches) == 0 {
			continue
		}
		data, err := json.Marshal(c)
		if err != nil {
			return errors.Wrap(err, "encode counts of a stopping instance")
		}
		// The writer is part of the name: two holders may have different copies of one source.
		if _, err := o.Put(ctx, stoppedCountsName(dataCentre, counter.Source(), c.Source), data, 0); err != nil && !errors.Is(err, storer.ErrConflict) {
			return errors.Wrap(err, "store counts of a stopping instance")
		}
	}
	return nil
}

// StoredCopy keeps a copy of an instance's unsealed counts in the store while no peer
// takes one. The reporter reads it as a peer's copy, and removes it once it is sealed.
type StoredCopy struct {
	objects    storer.Objects
	dataCentre string
	counter    *Counter
	version    storer.Version
}

// NewStoredCopy returns a copy that is not written yet.
func NewStoredCopy(o storer.Objects, dataCentre string, c *Counter) *StoredCopy {
	return &StoredCopy{objects: o, dataCentre: dataCentre, counter: c}
}

func (s *StoredCopy) name() string {
	source := s.counter.Source()
	writer := Source{Instance: source.Instance + "-running", Incarnation: source.Incarnation}
	return stoppedCountsName(s.dataCentre, writer, source)
}

// write replaces the stored copy by the counts of this moment.
func (s *StoredCopy) write(ctx context.Context) error {
	all, upTo := s.counter.snapshot()
	data, err := json.Marshal(all)
	if err != nil {
		return errors.Wrap(err, "encode counts")
	}
	version, err := s.objects.Put(ctx, s.name(), data, s.version)
	if errors.Is(err, storer.ErrConflict) {
		// The reporter removed the copy, or the answer to an earlier write was lost.
		if s.version, err = s.storedVersion(ctx); err == nil {
			version, err = s.objects.Put(ctx, s.name(), data, s.version)
		}
	}
	if err != nil {
		return errors.Wrap(err, "store a copy of the counts")
	}
	s.version = version
	s.counter.Acknowledge(upTo)
	return nil
}

func (s *StoredCopy) storedVersion(ctx context.Context) (storer.Version, error) {
	object, err := s.objects.Get(ctx, s.name())
	if errors.Is(err, storer.ErrNotFound) {
		return 0, nil
	}
	return object.Version, err
}

// finalSnapshot returns all counts that are not known to be sealed. The instance
// counts nothing after it, so no copy holds more than this.
func (c *Counter) finalSnapshot() Copy {
	c.mu.Lock()
	c.storedAtStop = true
	c.mu.Unlock()
	all, _ := c.snapshot()
	return all
}

// snapshot returns all counts that are not known to be sealed, and the sequence number of
// the last change.
func (c *Counter) snapshot() (Copy, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := range c.dirty {
		e.sent = e.total
	}
	all := Copy{Source: c.source, Batches: []Batch{}}
	batches := c.closed
	if c.open != nil {
		batches = append(append([]*batch(nil), c.closed...), c.open)
	}
	for _, b := range batches {
		all.Batches = append(all.Batches, b.wire())
	}
	return all, c.sequence
}

// readStoppedCounts reads the counts that stopped instances stored.
func (r *Reporter) readStoppedCounts(ctx context.Context, now timekeeper.Millis) error {
	listed, err := r.objects.List(ctx, stoppedCountsPrefix(r.dataCentre))
	if err != nil {
		return errors.Wrap(err, "list counts of stopped instances")
	}
	var found []stoppedCounts
	for _, object := range listed {
		c, version, err := storer.Get(ctx, r.objects, object.Name, decode[Copy])
		if err != nil {
			return errors.Wrap(err, "read counts of a stopped instance")
		}
		fromSource := object.Name == stoppedCountsName(r.dataCentre, c.Source, c.Source)
		found = append(found, stoppedCounts{Copy: c, fromSource: fromSource, name: object.Name, version: version})
	}
	r.stoppedCounts, r.stoppedReadAt = found, now
	return nil
}

// deleteStoppedCounts removes the objects whose counts are all sealed or too old to
// be sealed.
func (r *Reporter) deleteStoppedCounts(ctx context.Context, s Sealed) error {
	var kept []stoppedCounts
	for _, l := range r.stoppedCounts {
		m, known := markOf(s.Marks, l.Source)
		open := false
		for _, b := range l.Batches {
			hasRemainder := len(m.remainder(b).Lines) > 0
			open = open || hasRemainder || ((!known || b.Window > m.Window) && s.Start-b.Window <= keepCounts)
		}
		if open {
			kept = append(kept, l)
			continue
		}
		err := r.objects.Delete(ctx, l.name, l.version)
		if errors.Is(err, storer.ErrConflict) {
			continue // A running instance has written more since; it is read again later.
		}
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return errors.Wrap(err, "remove counts of a stopped instance")
		}
	}
	r.stoppedCounts = kept
	return nil
}
