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

// leftWindows is the number of windows between looks for counts that stopped
// instances left: with windows of a minute and six data centres 0.01 reads a second.
const leftWindows = 10

// left is an object with the counts of an instance that stopped.
type left struct {
	Copy
	final   bool // the source itself stored its last counts
	name    string
	version storer.Version
}

func leftPrefix(dataCentre string) string { return "usage-left/" + dataCentre + "/" }

func leftName(dataCentre string, writer, source Source) string {
	return fmt.Sprintf("%s%s-%d/%s-%d", leftPrefix(dataCentre), writer.Instance, writer.Incarnation, source.Instance, source.Incarnation)
}

// Check reports whether the copy is well formed.
func (c Copy) Check() error {
	if c.Source.Instance == "" {
		return errors.Wrap(ErrMalformed, "copy without a source")
	}
	return checkBatches(c.Batches)
}

// Leave stores the counts that an instance holds at a planned stop and that are
// not known to be sealed. Without it they are lost when all instances of a data
// centre stop together. Counts that also have a copy on a peer are billed once,
// because marks are kept by source.
func Leave(ctx context.Context, o storer.Objects, dataCentre string, counter *Counter, copies *Copies) error {
	all := []Copy{counter.everything()}
	for _, s := range copies.Sources() {
		all = append(all, copies.Get(s, timekeeper.Millis(math.MaxInt64)))
	}
	for _, c := range all {
		if len(c.Batches) == 0 {
			continue
		}
		data, err := json.Marshal(c)
		if err != nil {
			return errors.Wrap(err, "encode counts")
		}
		// The writer is part of the name: two holders may have different copies of one source.
		if _, err := o.Put(ctx, leftName(dataCentre, counter.Source(), c.Source), data, 0); err != nil && !errors.Is(err, storer.ErrConflict) {
			return errors.Wrap(err, "store counts at the stop")
		}
	}
	return nil
}

// everything returns all counts that are not known to be sealed. The instance
// counts no more, so what a copy holds is never more than this.
func (c *Counter) everything() Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	all := Copy{Source: c.source, Batches: []Batch{}}
	batches := c.closed
	if c.open != nil {
		batches = append(append([]*batch(nil), c.closed...), c.open)
	}
	for _, b := range batches {
		all.Batches = append(all.Batches, b.wire())
	}
	return all
}

// readLeft reads what stopped instances left.
func (r *Reporter) readLeft(ctx context.Context, now timekeeper.Millis) error {
	listed, err := r.objects.List(ctx, leftPrefix(r.dataCentre))
	if err != nil {
		return errors.Wrap(err, "list counts of stopped instances")
	}
	var found []left
	for _, object := range listed {
		c, version, err := storer.Get(ctx, r.objects, object.Name, decode[Copy])
		if err != nil {
			return errors.Wrap(err, "read counts of a stopped instance")
		}
		final := object.Name == leftName(r.dataCentre, c.Source, c.Source)
		found = append(found, left{Copy: c, final: final, name: object.Name, version: version})
	}
	r.left, r.leftRead = found, now
	return nil
}

// dropLeft removes objects whose counts are sealed, or too old to be sealed.
func (r *Reporter) dropLeft(ctx context.Context, s Sealed) error {
	var kept []left
	for _, l := range r.left {
		m, known := markOf(s.Marks, l.Source)
		open := false
		for _, b := range l.Batches {
			rest := l.final && len(m.rest(b).Lines) > 0
			open = open || rest || ((!known || b.Window > m.Window) && s.Start-b.Window <= keepCounts)
		}
		if open {
			kept = append(kept, l)
			continue
		}
		err := r.objects.Delete(ctx, l.name, l.version)
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return errors.Wrap(err, "remove counts of a stopped instance")
		}
	}
	r.left = kept
	return nil
}
