package tallier

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// historyName is the name of the object that holds the history. It is no window's.
const historyName = SealedKind + "/history"

// history tells holders what the store may have lost. It is written by the first holder in an
// era, so one of an older era is from before the store came back from a copy.
type history struct {
	Era storer.Era `json:"era"`
	// First is the first window that wasn't reported before the era began. If an earlier one is
	// not sealed, its sum may be lost after it was reported.
	First Window `json:"first"`
}

// InEras sets what names the eras of the store. It must be called before Run and Keep.
func (r *Reporter) InEras(eras storer.Eras) { r.eras = eras }

// era returns the era of the store.
func (r *Reporter) era() storer.Era {
	if r.eras == nil {
		return 0
	}
	return r.eras.Era()
}

// Keep stores the sums of sealed windows again when the store has come back from a copy, until
// the context ends: another holder must not report other figures. It may run beside Run, and
// needs eras.
func (r *Reporter) Keep(ctx context.Context) {
	for known := r.eras.Era(); r.eras.AwaitEra(ctx, known); {
		era := r.eras.Era()
		if r.restore(ctx) {
			known = era
		} else {
			timekeeper.Sleep(ctx, minRetryDelay)
		}
	}
}

// restore stores the sums that it knows, unless others did. It returns false if the store
// fails.
func (r *Reporter) restore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	r.mu.Lock()
	sealed := maps.Clone(r.sealed)
	r.mu.Unlock()
	written := 0
	for w, sum := range sealed {
		data, err := json.Marshal(sum)
		if err != nil {
			continue // It was encoded before.
		}
		switch _, err := r.feed.Put(ctx, sealedName(w), data, 0); {
		case err == nil:
			written++
		case !errors.Is(err, storer.ErrConflict):
			return false
		}
	}
	if written > 0 {
		r.record(recorder.RewrittenEvent(SealedKind, written, int64(r.era())))
	}
	return true
}

// enter reads or writes the history of the era. This holder knows of all windows that were due
// since it holds the duty whether they were reported. It returns false if the store fails.
func (r *Reporter) enter(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	era, now := r.era(), r.clock()
	stored, version, err := storer.Get(ctx, r.feed, historyName, decodeHistory)
	if err == nil && stored.Era < era {
		stored = history{Era: era, First: r.lastReported + 1}
		for r.due(stored.First) <= r.since {
			stored.First++
		}
		data, _ := json.Marshal(stored) // Cannot fail.
		_, err = r.feed.Put(ctx, historyName, data, version)
	}
	if err != nil {
		return false // If another holder was first, its history is read next.
	}
	r.entered, r.enterAt = stored, now
	r.entered.Era = era
	return true
}

// decodeHistory decodes a history. One that is malformed is of no era.
func decodeHistory(data []byte) (history, error) {
	var h history
	if json.Unmarshal(data, &h) != nil {
		return history{}, nil
	}
	return h, nil
}
