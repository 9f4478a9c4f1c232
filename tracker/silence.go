package tracker

import (
	"cmp"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// defaultEntryLapse is how long the store lists a process at most after its end, if nothing
// is declared.
const defaultEntryLapse = 4 * timekeeper.Second

// lapseHeartbeats is how many heartbeats a process misses before the store lists it no
// longer, and one more until that is known.
const lapseHeartbeats = 4

// SetHeartbeat sets the time between two heartbeats of a target; 0 is not known.
func (t *Tracker) SetHeartbeat(m timekeeper.Millis) {
	if m > 0 {
		t.entryLapse = lapseHeartbeats * m
	}
}

// Silent reports whether a target that was sent a request at a time has sent nothing to
// this instance for so long that it is worth a look. A target that is leaving may end.
func (t *Tracker) Silent(target Target, sentAt timekeeper.Reading) bool {
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	since := sentAt.Monotonic
	if e := t.entries[target.ID]; e != nil && e.target.Started == target.Started {
		if e.target.Leaving {
			return false
		}
		since = max(since, e.lastSeen.Monotonic)
	} else if t.unlisted[incarnationOf(target)].left {
		return false
	}
	return now.Monotonic-since >= hangTimeout
}

// HangTimeout is how long a target that was sent a request may be silent.
func (*Tracker) HangTimeout() timekeeper.Millis { return hangTimeout }

// Heard returns when this instance last received something from a target's process, or
// false if the process is not known.
func (t *Tracker) Heard(id string, started timekeeper.Millis) (timekeeper.Reading, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.target.Started != started {
		return timekeeper.Reading{}, false
	}
	return e.lastSeen, true
}

// Confirm records that the list reflects the store's state at a time or later.
func (t *Tracker) Confirm(asOf timekeeper.Reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt == (timekeeper.Reading{}) || asOf.Monotonic > t.confirmedAt.Monotonic {
		t.confirmedAt = asOf
	}
}

// Outlived reports whether a target's process is listed, and whether the store has listed
// it for longer than one that had ended at a time, at an address of its own. Around an
// outage of the store that can't be told.
func (t *Tracker) Outlived(id string, started timekeeper.Millis, end timekeeper.Reading) (target Target, listed, outlived bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.target.Started != started {
		return Target{}, false, false
	}
	if e.lapsed || t.inGrace() || t.confirmedAt == (timekeeper.Reading{}) || t.confirmedAt.Monotonic-end.Monotonic < t.entryLapse {
		return e.target, true, false
	}
	for _, o := range t.entries {
		if o != e && o.target.Address == e.target.Address {
			return e.target, true, false
		}
	}
	return e.target, true, true
}

// Neighbours returns up to n other targets of a target's data centre, those that were
// heard last first.
func (t *Tracker) Neighbours(target Target, n int) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near []*entry
	for _, e := range t.entries {
		o := e.target
		if o.DataCentre == target.DataCentre && o.ID != target.ID && o.Address != target.Address && !o.Leaving {
			near = append(near, e)
		}
	}
	slices.SortFunc(near, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.lastSeen.Monotonic, a.lastSeen.Monotonic), cmp.Compare(a.target.ID, b.target.ID))
	})
	var list []Target
	for _, e := range near[:min(n, len(near))] {
		list = append(list, e.target)
	}
	return list
}
