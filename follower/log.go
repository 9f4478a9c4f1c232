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
	// maxGaps bounds the recorded gaps.
	maxGaps = 16
	// recoveryWindow is how long after the store's recovery other instances are notified
	// of the outage; targets register again within two seconds.
	recoveryWindow = 2 * timekeeper.Second
	// noRecovery is the value of News.Regained without a recent recovery of the store.
	noRecovery = -timekeeper.Millisecond
)

// changeLog records the changes for instances that know an earlier version.
type changeLog struct {
	mu          sync.Mutex
	initialized bool
	floor       storer.Version // Changes after this version are complete.
	latest      storer.Version
	gaps        []gap
	asOf        timekeeper.Reading
	recoveredAt timekeeper.Reading
	maxBytes    int // Of one part of a change set.
	objects     map[string]Item
	sizes       map[string]int // Encoded bytes by name.
	removed     map[string]storer.Version
}

// gap is a range of versions that a listing skipped: objects that were created and
// deleted within it are not known.
type gap struct{ from, to storer.Version }

func newChangeLog() *changeLog {
	return &changeLog{maxBytes: maxPartBytes, objects: map[string]Item{}, sizes: map[string]int{}, removed: map[string]storer.Version{}}
}

// add records an update from the store or from another instance.
func (l *changeLog) add(u Update, now timekeeper.Reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
	if l.asOf == (timekeeper.Reading{}) || now.Since(u.AsOf) < now.Since(l.asOf) {
		l.asOf = u.AsOf
	}
	l.trim()
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
	item := Item{Name: o.Name, Version: o.Version, Value: o.Value}
	data, err := json.Marshal(item)
	if err != nil || len(data) > maxInlineBytes {
		item.Value = nil
		data, _ = json.Marshal(item) // Cannot fail without a value.
	}
	l.objects[o.Name], l.sizes[o.Name] = item, len(data)
	delete(l.removed, o.Name)
}

func (l *changeLog) remove(name string, at storer.Version) {
	delete(l.objects, name)
	delete(l.sizes, name)
	l.removed[name] = at
}

// trim drops the older half of the deletions when there are too many. The caller holds mu.
func (l *changeLog) trim() {
	if len(l.removed) <= maxTombstones {
		return
	}
	versions := slices.Sorted(maps.Values(l.removed))
	l.floor = max(l.floor, versions[len(versions)/2])
	maps.DeleteFunc(l.removed, func(_ string, at storer.Version) bool { return at <= l.floor })
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
	inGap := func(g gap) bool { return g.from < v && v < g.to }
	if !l.initialized || v < l.floor || slices.ContainsFunc(l.gaps, inGap) {
		return News{}, false
	}
	changes := News{
		From: v, At: max(l.latest, v), Age: max(now.Since(l.asOf), 0), Removed: l.removedSince(v), Items: l.writtenSince(v),
		Regained: noRecovery,
	}
	if age := now.Since(l.recoveredAt); l.recoveredAt != (timekeeper.Reading{}) && age < recoveryWindow {
		changes.Regained = max(age, 0)
	}
	if len(changes.Removed) > maxRemoved {
		return News{}, false
	}
	size := 0
	for _, name := range changes.Removed {
		size += len(name)
	}
	for i, item := range changes.Items {
		size += l.sizes[item.Name]
		if size > l.maxBytes && i > 0 {
			// The rest is sent once the receiver reports the version of this part.
			changes.Items, changes.At = changes.Items[:i], changes.Items[i-1].Version
			break
		}
		if size > l.maxBytes {
			return News{}, false // No part of the set fits into a datagram.
		}
	}
	return changes, true
}

// removedSince returns the names of objects deleted after a version. The exact versions
// of deletions are not known, so each part of a change set lists all. The caller holds mu.
func (l *changeLog) removedSince(v storer.Version) []string {
	names := []string{}
	for name, at := range l.removed {
		if at > v {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// writtenSince returns the objects written after a version, ordered by version.
// The caller holds mu.
func (l *changeLog) writtenSince(v storer.Version) []Item {
	items := []Item{}
	for _, item := range l.objects {
		if item.Version > v {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Version, b.Version) })
	return items
}
