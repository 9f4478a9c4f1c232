package router

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// firstPrefixBytes is the shortest prefix worth a hint.
	firstPrefixBytes = 256
	// maxPrefixes bounds the digests of one prompt; with steps of half an octave it covers 2 MiB.
	maxPrefixes = 26
	// affineBytes bounds the prefix that the rendezvous hash uses, so that the
	// turns of one conversation keep their target while the prompt grows.
	affineBytes = 2048
	// hintTargets bounds the targets remembered for one digest.
	hintTargets = 4
)

// Prefix is the start of a prompt.
type Prefix struct {
	Digest uint64
	Bytes  int
}

// Prefixes returns the digests of a prompt's starts, shortest first. They are
// scoped by workspace, so equal prompts of two workspaces share nothing.
func Prefixes(workspace, model string, prompt []byte) []Prefix {
	h := sha256.New()
	_, _ = h.Write([]byte(workspace + "\x00" + model + "\x00"))
	var (
		found []Prefix
		sum   [sha256.Size]byte
		done  int
	)
	for size := firstPrefixBytes; size <= len(prompt) && len(found) < maxPrefixes; size = nextSize(size) {
		_, _ = h.Write(prompt[done:size])
		done = size
		found = append(found, Prefix{Digest: binary.BigEndian.Uint64(h.Sum(sum[:0])), Bytes: size})
	}
	return found
}

// nextSize steps through 256, 384, 512, 768 and so on.
func nextSize(size int) int {
	if size&(size-1) == 0 {
		return size + size/2
	}
	return size / 3 * 4
}

// affineKey returns the digest that the rendezvous hash uses; 0 means none.
func affineKey(prefixes []Prefix) uint64 {
	var key uint64
	for _, p := range prefixes {
		if p.Bytes <= affineBytes {
			key = p.Digest
		}
	}
	return key
}

// CacheEvent is a target's notice about its prefix cache. Events may be late or missing.
type CacheEvent struct {
	Target  string
	At      timekeeper.Millis
	Stored  []uint64
	Evicted []uint64
	Cleared bool // The target lost its whole cache.
}

// ObserveCache takes over a cache event; news older than what is known of a digest is dropped.
func (r *Router) ObserveCache(e CacheEvent, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At > now || r.targets[e.Target] == nil {
		return
	}
	if e.Cleared {
		r.hints.clear(e.Target, e.At)
	}
	for _, d := range e.Stored {
		r.hints.put(d, e.Target, e.At, true)
	}
	for _, d := range e.Evicted {
		r.hints.put(d, e.Target, e.At, false)
	}
}

// hints remembers which targets hold which prefixes, at most a fixed number of digests.
type hints struct {
	capacity int
	life     timekeeper.Millis
	entries  map[uint64]*list.Element
	order    *list.List // Most recently used first.
	cleared  map[string]timekeeper.Millis
}

type hint struct {
	digest  uint64
	holders [hintTargets]holder
}

type holder struct {
	target string
	at     timekeeper.Millis
	stored bool
}

func newHints(capacity int, life timekeeper.Millis) *hints {
	return &hints{capacity: capacity, life: life, entries: map[uint64]*list.Element{}, order: list.New(), cleared: map[string]timekeeper.Millis{}}
}

func (h *hints) put(digest uint64, target string, at timekeeper.Millis, stored bool) {
	element, known := h.entries[digest]
	if !known {
		if !stored {
			return
		}
		if h.order.Len() >= h.capacity {
			oldest := h.order.Back()
			delete(h.entries, oldest.Value.(*hint).digest)
			h.order.Remove(oldest)
		}
		element = h.order.PushFront(&hint{digest: digest})
		h.entries[digest] = element
	}
	h.order.MoveToFront(element)
	item := element.Value.(*hint)
	slot := 0
	for i, o := range item.holders {
		if o.target == target {
			slot = i
			break
		}
		if o.at < item.holders[slot].at {
			slot = i
		}
	}
	if at >= item.holders[slot].at {
		item.holders[slot] = holder{target: target, at: at, stored: stored}
	}
}

func (h *hints) clear(target string, at timekeeper.Millis) {
	h.cleared[target] = max(h.cleared[target], at)
}

// holds reports whether target is believed to hold the prefix.
func (h *hints) holds(digest uint64, target string, now timekeeper.Millis) bool {
	element, ok := h.entries[digest]
	if !ok {
		return false
	}
	for _, o := range element.Value.(*hint).holders {
		if o.target == target {
			return o.stored && now-o.at < h.life && o.at > h.cleared[target]
		}
	}
	return false
}

// keepTargets forgets targets that the configuration no longer has.
func (h *hints) keepTargets(targets map[string]*target) {
	for name := range h.cleared {
		if targets[name] == nil {
			delete(h.cleared, name)
		}
	}
}

// cached estimates how many prompt tokens a target holds.
func (r *Router) cached(t *target, q Request, now timekeeper.Millis) float64 {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		if p := q.Prefixes[i]; r.hints.holds(p.Digest, t.Name, now) {
			return float64(q.PromptTokens) * min(float64(p.Bytes)/float64(max(q.PromptBytes, 1)), 1)
		}
	}
	return 0
}

// holder returns the candidate that holds the longest prefix of the prompt.
func (r *Router) holder(q Request, group []candidate, now timekeeper.Millis) *candidate {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		element, ok := r.hints.entries[q.Prefixes[i].Digest]
		if !ok {
			continue
		}
		var best *candidate
		for _, o := range element.Value.(*hint).holders {
			if !o.stored || now-o.at >= r.hints.life || o.at <= r.hints.cleared[o.target] {
				continue
			}
			for j := range group {
				if c := &group[j]; c.Name == o.target && (best == nil || c.busy < best.busy) {
					best = c
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}
