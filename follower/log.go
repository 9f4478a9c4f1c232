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
	// mostTombstones bounds the deletions that are remembered; a receiver that knows
	// less lists the store itself.
	mostTombstones = 1000
	// mostInline bounds the encoding of one object in bytes; the value of a larger one
	// is read from the store.
	mostInline = 500
	// mostNews bounds the bytes of one part of the news, which has to fit into a datagram.
	mostNews = 1000
	// mostRemoved bounds the deletions in one part of the news; a receiver that missed
	// more lists the store itself.
	mostRemoved = 25
	// mostGaps bounds the spans between listings that are remembered.
	mostGaps = 16
	// regainedSpan is how long after the store's return it is told that it was away;
	// targets register again within two seconds.
	regainedSpan = 2 * timekeeper.Second
	// notLately stands for a return of the store that is no news.
	notLately = -timekeeper.Millisecond
)

// log remembers what changed, for instances that know an earlier version.
type log struct {
	mu       sync.Mutex
	known    bool
	floor    storer.Version // Changes after this version are complete.
	at       storer.Version
	gaps     []gap
	asked    timekeeper.Reading
	regained timekeeper.Reading
	most     int // Bytes of one part of the news.
	objects  map[string]Item
	sizes    map[string]int // Encoded bytes by name.
	removed  map[string]storer.Version
}

// gap is a span of versions of which a listing showed only the end: what came and
// went inside it is not known.
type gap struct{ from, to storer.Version }

func newLog() *log {
	return &log{most: mostNews, objects: map[string]Item{}, sizes: map[string]int{}, removed: map[string]storer.Version{}}
}

// add takes what a call or another instance told.
func (l *log) add(s Sight, now timekeeper.Reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Regained {
		l.regained = s.Back
	}
	if s.Complete {
		l.skip(s.At)
		present := map[string]bool{}
		for _, o := range s.Objects {
			present[o.Name] = true
			l.put(o)
		}
		for _, name := range slices.Collect(maps.Keys(l.objects)) {
			if !present[name] {
				l.remove(name, s.At)
			}
		}
	}
	for _, c := range s.Changes {
		if c.Deleted {
			l.remove(c.Object.Name, s.At)
		} else {
			l.put(c.Object)
		}
	}
	if !l.known {
		l.known, l.floor = true, s.At
	}
	l.at = max(l.at, s.At)
	if l.asked == (timekeeper.Reading{}) || now.Since(s.Asked) < now.Since(l.asked) {
		l.asked = s.Asked
	}
	l.trim()
}

// skip notes a listing after what was known. The caller holds mu.
func (l *log) skip(to storer.Version) {
	if !l.known || to <= l.at {
		return
	}
	l.gaps = append(l.gaps, gap{l.at, to})
	if len(l.gaps) > mostGaps {
		l.floor = max(l.floor, l.gaps[0].to)
		l.gaps = l.gaps[1:]
	}
}

func (l *log) put(o storer.Object) {
	item := Item{Name: o.Name, Version: o.Version, Value: o.Value}
	data, err := json.Marshal(item)
	if err != nil || len(data) > mostInline {
		item.Value = nil
		data, _ = json.Marshal(item) // Cannot fail without a value.
	}
	l.objects[o.Name], l.sizes[o.Name] = item, len(data)
	delete(l.removed, o.Name)
}

func (l *log) remove(name string, at storer.Version) {
	delete(l.objects, name)
	delete(l.sizes, name)
	l.removed[name] = at
}

// trim forgets the oldest half of too many deletions.
func (l *log) trim() {
	if len(l.removed) <= mostTombstones {
		return
	}
	versions := slices.Sorted(maps.Values(l.removed))
	l.floor = max(l.floor, versions[len(versions)/2])
	maps.DeleteFunc(l.removed, func(_ string, at storer.Version) bool { return at <= l.floor })
}

// version returns how far the kind is known, and whether it is known at all.
func (l *log) version() (storer.Version, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at, l.known
}

// since returns the changes after a version, as many as fit into one message. It
// is false if they are not known completely.
func (l *log) since(v storer.Version, now timekeeper.Reading) (News, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	inGap := func(g gap) bool { return g.from < v && v < g.to }
	if !l.known || v < l.floor || slices.ContainsFunc(l.gaps, inGap) {
		return News{}, false
	}
	news := News{
		From: v, At: max(l.at, v), Age: max(now.Since(l.asked), 0), Removed: l.removedSince(v), Items: l.writtenSince(v),
		Regained: notLately,
	}
	if since := now.Since(l.regained); l.regained != (timekeeper.Reading{}) && since < regainedSpan {
		news.Regained = max(since, 0)
	}
	if len(news.Removed) > mostRemoved {
		return News{}, false
	}
	size := 0
	for _, name := range news.Removed {
		size += len(name)
	}
	for i, item := range news.Items {
		size += l.sizes[item.Name]
		if size > l.most && i > 0 {
			// The rest follows when the receiver knows this part.
			news.Items, news.At = news.Items[:i], news.Items[i-1].Version
			break
		}
	}
	return news, true
}

// removedSince returns what was deleted after a version. The exact versions are not
// known, so each part of the news names all. The caller holds mu.
func (l *log) removedSince(v storer.Version) []string {
	names := []string{}
	for name, at := range l.removed {
		if at > v {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// writtenSince returns what was written after a version, in the order of versions.
// The caller holds mu.
func (l *log) writtenSince(v storer.Version) []Item {
	items := []Item{}
	for _, item := range l.objects {
		if item.Version > v {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Version, b.Version) })
	return items
}
