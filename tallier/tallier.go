// Package tallier counts the requests of each workspace in usage windows. Every
// instance writes its counts to the store; the instance that holds the duty adds them
// up, seals the sum of each window and reports the sealed sum.
package tallier

import (
	"maps"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// keptWindows is the number of windows that an instance keeps; older ones were reported
// or can no longer be.
const keptWindows = 8

// Window numbers a usage window; window k begins k lengths after the Unix epoch.
type Window int64

// Counts are requests by workspace.
type Counts map[string]int64

// Tallier holds the counts of one instance. It is safe for concurrent use.
type Tallier struct {
	length timekeeper.Millis

	mu      sync.Mutex
	windows map[Window]Counts
	changed bool
}

// New returns a tallier for windows of a length.
func New(length timekeeper.Millis) *Tallier {
	return &Tallier{length: length, windows: map[Window]Counts{}}
}

// WindowAt returns the window that contains a time.
func (t *Tallier) WindowAt(at timekeeper.Millis) Window { return Window(at / t.length) }

// End returns the time at which a window ends.
func (t *Tallier) End(w Window) timekeeper.Millis { return (timekeeper.Millis(w) + 1) * t.length }

// Count adds one request of a workspace, which started to run at the given time.
func (t *Tallier) Count(workspace string, at timekeeper.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.WindowAt(at)
	if t.windows[w] == nil {
		t.windows[w] = Counts{}
		for old := range t.windows {
			if old <= w-keptWindows {
				delete(t.windows, old)
			}
		}
	}
	t.windows[w][workspace]++
	t.changed = true
}

// TakeSnapshot returns a copy of all counts and whether they changed since the last call.
func (t *Tallier) TakeSnapshot() (map[Window]Counts, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.changed
	t.changed = false
	windows := make(map[Window]Counts, len(t.windows))
	for w, counts := range t.windows {
		windows[w] = maps.Clone(counts)
	}
	return windows, changed
}

// MarkChanged makes the next TakeSnapshot report a change, for example because the last
// copy could not be stored.
func (t *Tallier) MarkChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = true
}

// Add adds other counts to c.
func (c Counts) Add(other Counts) {
	for workspace, n := range other {
		c[workspace] += n
	}
}

// total returns the requests of all workspaces.
func (c Counts) total() int64 {
	var total int64
	for _, n := range c {
		total += n
	}
	return total
}
