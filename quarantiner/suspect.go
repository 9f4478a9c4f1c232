package quarantiner

import (
	"container/list"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// maxSuspectStrikes limits the strikes kept for one fingerprint. More than
	// MaxLostTargets have no effect.
	maxSuspectStrikes = 8
	// maxCleared limits the cleared requests kept for one fingerprint.
	maxCleared = 8
	// clearPasses is the number of other requests of a fingerprint that must succeed
	// alone before its strikes that may have another cause are dropped.
	clearPasses = 3
	// maxCrashes limits the crashes kept for one workspace.
	maxCrashes = 16
)

// suspect is a fingerprint with strikes.
type suspect struct {
	strikes   []Strike          // At most one for each request and crash.
	cleared   []Pass            // Requests that succeeded alone.
	clearedAt timekeeper.Millis // Strikes up to this time do not count unless the request was alone.
}

// active drops expired strikes and reports whether any remain.
func (s *suspect) active(since timekeeper.Millis) bool {
	s.strikes = slices.DeleteFunc(s.strikes, func(k Strike) bool { return k.At <= since })
	return len(s.strikes) > 0
}

func (s *suspect) isCleared(exact string) bool {
	return slices.ContainsFunc(s.cleared, func(p Pass) bool { return p.Exact == exact })
}

// superseded reports whether a later pass already cleared a strike. Such a strike
// may still arrive again from a peer.
func (s *suspect) superseded(k Strike) bool {
	return (!k.Alone && k.At <= s.clearedAt) ||
		slices.ContainsFunc(s.cleared, func(p Pass) bool { return p.Exact == k.Exact && p.At >= k.At })
}

// isAlone reports whether a request was alone on the crashed target. An instance
// does not see the requests of others, so a strike for another request that was
// also alone in that crash contradicts it.
func (q *Quarantiner) isAlone(k Strike) bool {
	return k.Alone && !slices.ContainsFunc(q.aloneStrikes, func(o Strike) bool { return o.Exact != k.Exact && sameCrash(o, k, q.options) })
}

func (q *Quarantiner) hasAloneStrike(s *suspect, since timekeeper.Millis) bool {
	return slices.ContainsFunc(s.strikes, func(k Strike) bool { return k.At > since && q.isAlone(k) })
}

func (s *suspect) lastStrike() timekeeper.Millis {
	var last timekeeper.Millis
	for _, k := range s.strikes {
		last = max(last, k.At)
	}
	return last
}

// quarantined reports whether the fingerprint lost MaxLostTargets targets and is
// known to be the cause: one of its requests was alone in a crash, or the same
// request was there in all the crashes.
func (q *Quarantiner) quarantined(s *suspect, since timekeeper.Millis) bool {
	alone := q.hasAloneStrike(s, since)
	for _, k := range s.strikes {
		lost := 0
		for i, other := range s.strikes {
			counts := alone || other.Exact == k.Exact
			if counts && !slices.ContainsFunc(s.strikes[:i], func(e Strike) bool {
				return sameCrash(e, other, q.options) && (alone || e.Exact == k.Exact)
			}) {
				lost++
			}
		}
		if lost >= q.options.MaxLostTargets {
			return true
		}
	}
	return false
}

func sameCrash(a, b Strike, o Options) bool {
	return a.Target == b.Target && max(a.At-b.At, b.At-a.At) <= o.CrashWindow
}

// workspace holds the crashes in which a workspace's requests were in flight.
type workspace struct {
	crashes []Strike // One strike for each crash, marked alone if a request was alone in it.
	passes  int      // Requests that succeeded alone since the last crash.
}

// provenCrashes counts the crashes caused by requests that were alone and whose
// length bucket differs by at most one.
func (q *Quarantiner) provenCrashes(w *workspace, since timekeeper.Millis, bucket int) int {
	count := 0
	if w != nil {
		for _, k := range w.crashes {
			if k.At > since && q.isAlone(k) && max(k.Bucket-bucket, bucket-k.Bucket) <= 1 {
				count++
			}
		}
	}
	return count
}

func (w *workspace) lastAloneCrash() timekeeper.Millis {
	var last timekeeper.Millis
	for _, k := range w.crashes {
		if k.Alone {
			last = max(last, k.At)
		}
	}
	return last
}

// watched reports whether new prompts of the workspace must run alone: its requests
// were in flight in several crashes, and too few have succeeded alone since.
func (w *workspace) watched(since timekeeper.Millis, o Options) bool {
	crashes := 0
	for _, k := range w.crashes {
		if k.At > since {
			crashes++
		}
	}
	return crashes >= o.WatchCrashes && w.passes < o.WatchPasses<<min(crashes-o.WatchCrashes, maxCrashes)
}

// lruMap is a map that drops the least recently used entry when it is full.
type lruMap[T any] struct {
	capacity int
	entries  map[string]*list.Element
	order    *list.List
}

type entry[T any] struct {
	name  string
	value T
}

func newLRUMap[T any](capacity int) *lruMap[T] {
	return &lruMap[T]{capacity: capacity, entries: map[string]*list.Element{}, order: list.New()}
}

func (m *lruMap[T]) get(name string) (T, bool) {
	element, ok := m.entries[name]
	if !ok {
		var zero T
		return zero, false
	}
	m.order.MoveToFront(element)
	return element.Value.(*entry[T]).value, true
}

func (m *lruMap[T]) put(name string, value T) {
	if element, ok := m.entries[name]; ok {
		element.Value.(*entry[T]).value = value
		m.order.MoveToFront(element)
		return
	}
	if m.order.Len() >= m.capacity {
		oldest := m.order.Back()
		delete(m.entries, oldest.Value.(*entry[T]).name)
		m.order.Remove(oldest)
	}
	m.entries[name] = m.order.PushFront(&entry[T]{name: name, value: value})
}

func (m *lruMap[T]) remove(name string) {
	if element, ok := m.entries[name]; ok {
		m.order.Remove(element)
		delete(m.entries, name)
	}
}
