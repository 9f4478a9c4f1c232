package follower

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// maxTombstones bounds the recorded deletions; a receiver whose version is older than
	// them lists the store itself.
	maxTombstones = 1000
	// maxInlineBytes bounds the encoding of one object; receivers read the value of a
	// larger one from the store.
	maxInlineBytes = 500
	// maxPartBytes bounds one part of a change set, which has to fit into a datagram.
	maxPartBytes = 1000
	// maxRemoved bounds the deletions in a change set; a receiver that missed more lists
	// the store itself.
	maxRemoved = 25
	// maxStates bounds the recorded versions with their times. A relay adds one a second or
	// two; older ones are too old for others to use.
	maxStates = 64
	// maxArrayBytes is what the brackets and quotes of a change set's arrays take at most.
	maxArrayBytes = 4
	// maxGaps bounds the recorded gaps.
	maxGaps = 16
	// recoveryWindow is how long after the store's recovery other instances are notified
	// of the outage; targets register again within two seconds.
	recoveryWindow = 2 * timekeeper.Second
	// noRecovery is the value of News.Regained without a recent recovery of the store.
	noRecovery = -timekeeper.Millisecond
	// unknownAge is the age of a part whose version is older than the recorded ones.
	unknownAge = timekeeper.Minute
)

// changeLog records the changes for instances that know an earlier version.
type changeLog struct {
	mu          sync.Mutex
	initialized bool
	floor       storer.Version // Changes after this version are complete.
	latest      storer.Version
	gaps        []gap
	states      []state // The newest last.
	recoveredAt timekeeper.Reading
	maxBytes    int // Of one part of a change set.
	maxPacked   int // Of one compressed part.
	objects     map[string]Item
	sizes       map[string]int // Encoded bytes by name, once needed.
	removed     map[string]deletion
	ordered     []entry                       // The contents up to latest by version; nil after a change.
	packed      map[storer.Version]packedPart // By the version from which the part is complete; cleared by a change.
}

// state is a version that was the store's newest at a time or later.
type state struct {
	version storer.Version
	asOf    timekeeper.Reading
}

// deletion is a range of versions, one of which deleted an object.
type deletion struct {
	after storer.Version // Exclusive.
	at    storer.Version // Inclusive.
}

// entry is an object, or the deletion of one if item is nil.
type entry struct {
	at   storer.Version
	name string
	size int
	item *Item
	deletion
}

// gap is a range of versions that a listing skipped: objects that were created and
// deleted within it are not known.
type gap struct{ from, to storer.Version }

func newChangeLog() *changeLog {
	return &changeLog{maxBytes: maxPartBytes, maxPacked: MaxFragmentBytes, objects: map[string]Item{}, sizes: map[string]int{}, removed: map[string]deletion{}, packed: map[storer.Version]packedPart{}}
}

// add records an update from the store or from another instance.
func (l *changeLog) add(u Update, now timekeeper.Reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Complete || len(u.Changes) > 0 || u.Version > l.latest {
		l.ordered = nil
		clear(l.packed)
	}
	if u.AfterFailure && u.RecoveredAt != (timekeeper.Reading{}) {
		l.recoveredAt = u.RecoveredAt
	}
	if u.Complete {
		l.addGap(u.Version)
		present := map[string]bool{}
		for _, o := range u.Objects {
			present[o.Name] = true
			l.put(o)
		}
		for _, name := range slices.Collect(maps.Keys(l.objects)) {
			if !present[name] {
				l.remove(name, u.Version)
			}
		}
	}
	for _, c := range u.Changes {
		if c.Deleted {
			l.remove(c.Object.Name, u.Version)
		} else {
			l.put(c.Object)
		}
	}
	if !l.initialized {
		l.initialized, l.floor = true, u.Version
	}
	l.latest = max(l.latest, u.Version)
	l.addState(state{u.Version, u.AsOf}, now)
	l.trim()
}

// addState records how new a version is. The caller holds mu.
func (l *changeLog) addState(s state, now timekeeper.Reading) {
	if len(l.states) == 0 {
		l.states = []state{s}
		return
	}
	last := &l.states[len(l.states)-1]
	if now.Since(s.asOf) > now.Since(last.asOf) {
		s.asOf = last.asOf // A later version is at least as new.
	}
	switch {
	case s.version < last.version:
	case s.version == last.version:
		last.asOf = s.asOf
	default:
		l.states = append(l.states, s)
		l.states = l.states[max(len(l.states)-maxStates, 0):]
	}
}

// addGap records the gap between the latest version and that of a listing. The caller
// holds mu.
func (l *changeLog) addGap(to storer.Version) {
	if !l.initialized || to <= l.latest {
		return
	}
	l.gaps = append(l.gaps, gap{l.latest, to})
	if len(l.gaps) > maxGaps {
		l.floor = max(l.floor, l.gaps[0].to)
		l.gaps = l.gaps[1:]
	}
}

func (l *changeLog) put(o storer.Object) {
	l.objects[o.Name] = Item{Name: o.Name, Version: o.Version, Value: o.Value}
	delete(l.sizes, o.Name)
	delete(l.removed, o.Name)
}

// remove records that an object was deleted after the latest version. A relay may have
// reported the deletion before, in a part that ended earlier.
func (l *changeLog) remove(name string, at storer.Version) {
	delete(l.objects, name)
	delete(l.sizes, name)
	after := l.latest
	if previous, ok := l.removed[name]; ok {
		after = min(after, previous.after)
	}
	l.removed[name] = deletion{after, at}
}

// trim drops the older half of the deletions when there are too many. The caller holds mu.
func (l *changeLog) trim() {
	if len(l.removed) <= maxTombstones {
		return
	}
	versions := []storer.Version{}
	for _, d := range l.removed {
		versions = append(versions, d.at)
	}
	slices.Sort(versions)
	l.floor = max(l.floor, versions[len(versions)/2])
	maps.DeleteFunc(l.removed, func(_ string, d deletion) bool { return d.at <= l.floor })
}

// version returns the latest known version, and false before the first update.
func (l *changeLog) version() (storer.Version, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest, l.initialized
}

// since returns the changes after a version, as many as fit into one message. It
// returns false if the log does not hold all of them.
func (l *changeLog) since(v storer.Version, now timekeeper.Reading) (News, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, ok := l.largestPart(v, l.maxBytes, func(n News) bool {
		items, err := json.Marshal(n.Items)
		names, _ := json.Marshal(n.Removed) // Cannot fail.
		return err == nil && len(items)+len(names) <= l.maxBytes+maxArrayBytes && len(n.Removed) <= maxRemoved
	})
	changes.Age, changes.Regained = l.age(changes.At, now), l.regained(now)
	return changes, ok
}

// age returns how long ago a version is known to have been the store's newest. The caller
// holds mu.
func (l *changeLog) age(v storer.Version, now timekeeper.Reading) timekeeper.Millis {
	for _, s := range slices.Backward(l.states) {
		if s.version <= v {
			return max(now.Since(s.asOf), 0)
		}
	}
	return unknownAge
}

// regained returns how long ago the store recovered, or noRecovery. The caller holds mu.
func (l *changeLog) regained(now timekeeper.Reading) timekeeper.Millis {
	if age := now.Since(l.recoveredAt); l.recoveredAt != (timekeeper.Reading{}) && age < recoveryWindow {
		return max(age, 0)
	}
	return noRecovery
}

// largestPart returns the changes after a version, cut to what fits, or false if the log
// does not hold all of them or not even one fits. It begins with the entries whose sizes
// sum up to budget. The caller holds mu.
func (l *changeLog) largestPart(v storer.Version, budget int, fits func(News) bool) (News, bool) {
	inGap := func(g gap) bool { return g.from < v && v < g.to }
	if !l.initialized || v.Era() != l.latest.Era() || v < l.floor || slices.ContainsFunc(l.gaps, inGap) {
		return News{}, false
	}
	entries := l.entriesAfter(v)
	n := 0
	for size := 0; n < len(entries); n++ {
		if size += entries[n].size; size > budget && n > 0 {
			break
		}
	}
	for {
		part := l.part(v, entries, n)
		if fits(part) {
			return part, true
		}
		if n <= 1 {
			return News{}, false // No part of the set fits into a datagram.
		}
		n = n * 3 / 4
	}
}

// part returns the changes from a version up to that of the n-th entry. The exact version
// of a deletion is not known, so each part that may contain it lists it; a receiver that
// continues with the store's changes misses none. The caller holds mu.
func (l *changeLog) part(v storer.Version, entries []entry, n int) News {
	part := News{From: v, At: max(l.latest, v), Items: []Item{}, Removed: []string{}}
	if n < len(entries) {
		part.At = entries[n-1].at
	}
	for _, e := range entries {
		switch {
		case e.item == nil && e.after < part.At:
			part.Removed = append(part.Removed, e.name)
		case e.item != nil && e.at <= part.At:
			part.Items = append(part.Items, *e.item)
		}
	}
	return part
}

// entriesAfter returns the entries after a version. The caller holds mu.
func (l *changeLog) entriesAfter(v storer.Version) []entry {
	if v >= l.latest {
		return nil
	}
	if l.ordered == nil {
		l.ordered = []entry{}
		for name, item := range l.objects {
			// What a listing returned beyond its version follows with the next changes.
			if item.Version <= l.latest {
				l.ordered = append(l.ordered, l.writtenEntry(name))
			}
		}
		for name, d := range l.removed {
			l.ordered = append(l.ordered, entry{at: d.at, name: name, size: len(name) + maxArrayBytes, deletion: d})
		}
		slices.SortFunc(l.ordered, func(a, b entry) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name)) })
	}
	i, _ := slices.BinarySearchFunc(l.ordered, v+1, func(e entry, v storer.Version) int { return cmp.Compare(e.at, v) })
	return l.ordered[i:]
}

// writtenEntry returns the entry of an object, without its value if that is large or not
// valid JSON. The caller holds mu.
func (l *changeLog) writtenEntry(name string) entry {
	item := l.objects[name]
	size, ok := l.sizes[name]
	if !ok {
		data, err := json.Marshal(item)
		if err != nil || len(data) > maxInlineBytes {
			item.Value = nil
			data, _ = json.Marshal(item) // Cannot fail without a value.
			l.objects[name] = item
		}
		size = len(data)
		l.sizes[name] = size
	}
	return entry{at: item.Version, name: name, size: size, item: &item}
}
