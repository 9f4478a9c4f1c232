package quarantiner

import (
	"container/list"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// maxSuspectStrikes bounds the strikes kept for one fingerprint; more than MaxLost change nothing.
	maxSuspectStrikes = 8
	// maxCleared bounds the cleared requests kept for one fingerprint.
	maxCleared = 8
	// clearPasses is how many other requests of a fingerprint must succeed alone
	// before strikes that may have another cause are dropped.
	clearPasses = 3
	// maxCrashes bounds the crashes kept for one workspace.
	maxCrashes = 16
)

// suspect is a fingerprint with strikes.
type suspect struct {
	strikes   []Strike          // At most one for each request and crash.
	cleared   []Pass            // Requests that ran alone and succeeded.
	clearedAt timekeeper.Millis // Strikes up to then that may have another cause do not count.
}

func (s *suspect) active(since timekeeper.Millis) bool {
	s.strikes = slices.DeleteFunc(s.strikes, func(k Strike) bool { return k.At <= since })
	return len(s.strikes) > 0
}

func (s *suspect) clears(exact string) bool {
	return slices.ContainsFunc(s.cleared, func(p Pass) bool { return p.Exact == exact })
}

// outdated reports whether a strike that arrives again was already answered by a pass.
func (s *suspect) outdated(k Strike) bool {
	return (!k.Alone && k.At <= s.clearedAt) ||
		slices.ContainsFunc(s.cleared, func(p Pass) bool { return p.Exact == k.Exact && p.At >= k.At })
}

// isAlone reports whether a request was alone on the crashed target. Two requests
// of instances that did not know of each other contradict it.
func (q *Quarantiner) isAlone(k Strike) bool {
	return k.Alone && !slices.ContainsFunc(q.alone, func(o Strike) bool { return o.Exact != k.Exact && sameCrash(o, k, q.options) })
}

func (q *Quarantiner) aloneStrike(s *suspect, since timekeeper.Millis) bool {
	return slices.ContainsFunc(s.strikes, func(k Strike) bool { return k.At > since && q.isAlone(k) })
}

func (s *suspect) last() timekeeper.Millis {
	var last timekeeper.Millis
	for _, k := range s.strikes {
		last = max(last, k.At)
	}
	return last
}

// condemned reports whether the fingerprint lost enough targets and is known to be
// the cause: it was alone once, or one request of it was there each time.
func (q *Quarantiner) condemned(s *suspect, since timekeeper.Millis) bool {
	alone := q.aloneStrike(s, since)
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
		if lost >= q.options.MaxLost {
			return true
		}
	}
	return false
}

func sameCrash(a, b Strike, o Options) bool {
	return a.Target == b.Target && max(a.At-b.At, b.At-a.At) <= o.SameCrash
}

// workspace is what a workspace's requests took part in.
type workspace struct {
	crashes []Strike // One strike for each crash, marked alone if any of it was.
	passes  int      // Requests that ran alone and succeeded since the last crash.
}

// proven counts the crashes that requests of about this length caused while alone.
func (q *Quarantiner) proven(w *workspace, since timekeeper.Millis, bucket int) int {
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

func (w *workspace) lastProof() timekeeper.Millis {
	var last timekeeper.Millis
	for _, k := range w.crashes {
		if k.Alone {
			last = max(last, k.At)
		}
	}
	return last
}

// watched reports whether new prompts of the workspace run alone: it took part in
// several crashes and has not shown since that its requests are harmless.
func (w *workspace) watched(since timekeeper.Millis, o Options) bool {
	crashes := 0
	for _, k := range w.crashes {
		if k.At > since {
			crashes++
		}
	}
	return crashes >= o.WatchCrashes && w.passes < o.WatchPasses<<min(crashes-o.WatchCrashes, maxCrashes)
}

// bounded is a map that drops the least recently used entry above its capacity.
type bounded[T any] struct {
	capacity int
	entries  map[string]*list.Element
	order    *list.List
}

type entry[T any] struct {
	name  string
	value T
}

func newBounded[T any](capacity int) *bounded[T] {
	return &bounded[T]{capacity: capacity, entries: map[string]*list.Element{}, order: list.New()}
}

func (b *bounded[T]) get(name string) (T, bool) {
	element, ok := b.entries[name]
	if !ok {
		var zero T
		return zero, false
	}
	b.order.MoveToFront(element)
	return element.Value.(*entry[T]).value, true
}

func (b *bounded[T]) put(name string, value T) {
	if element, ok := b.entries[name]; ok {
		element.Value.(*entry[T]).value = value
		b.order.MoveToFront(element)
		return
	}
	if b.order.Len() >= b.capacity {
		oldest := b.order.Back()
		delete(b.entries, oldest.Value.(*entry[T]).name)
		b.order.Remove(oldest)
	}
	b.entries[name] = b.order.PushFront(&entry[T]{name: name, value: value})
}

func (b *bounded[T]) remove(name string) {
	if element, ok := b.entries[name]; ok {
		b.order.Remove(element)
		delete(b.entries, name)
	}
}
