package router

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// minPrefixBytes is the length of the shortest prefix of which a hint is kept.
	minPrefixBytes = 256
	// maxPrefixes bounds the digests of one prompt. With two prefixes per doubling of
	// the length, it covers 2 MiB.
	maxPrefixes = 26
	// maxAffinityBytes bounds the prefix that the rendezvous hash uses, so that the
	// turns of one conversation keep their target while the prompt grows.
	maxAffinityBytes = 2048
	// maxHintTargets bounds the targets of one hint.
	maxHintTargets = 4
)

// Prefix identifies the first bytes of a prompt.
type Prefix struct {
	Digest uint64
	Bytes  int
}

// Prefixes returns the prefixes of a prompt, shortest first. Digests are scoped by
// workspace, so equal prompts of two workspaces share nothing.
func Prefixes(workspace, model string, prompt []byte) []Prefix {
	h := sha256.New()
	_, _ = h.Write([]byte(workspace + "\x00" + model + "\x00"))
	var (
		found  []Prefix
		sum    [sha256.Size]byte
		hashed int
	)
	for size := minPrefixBytes; size <= len(prompt) && len(found) < maxPrefixes; size = nextSize(size) {
		_, _ = h.Write(prompt[hashed:size])
		hashed = size
		found = append(found, Prefix{Digest: binary.BigEndian.Uint64(h.Sum(sum[:0])), Bytes: size})
	}
	return found
}

// nextSize returns the next length in the series 256, 384, 512, 768 and so on.
func nextSize(size int) int {
	if size&(size-1) == 0 {
		return size + size/2
	}
	return size / 3 * 4
}

// affinityKey returns the digest that the rendezvous hash uses, or 0 if there is none.
func affinityKey(prefixes []Prefix) uint64 {
	var key uint64
	for _, p := range prefixes {
		if p.Bytes <= maxAffinityBytes {
			key = p.Digest
		}
	}
	return key
}

// CacheEvent reports changes of a target's prefix cache. Events may be delayed or lost.
type CacheEvent struct {
	Target  string
	At      timekeeper.Millis
	Stored  []uint64
	Evicted []uint64
	Cleared bool // The target lost its whole cache.
}

// ObserveCache applies a cache event. Entries older than the state of their digest are ignored.
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

// hints is an LRU cache of the targets that hold a prefix, with at most capacity digests.
type hints struct {
	capacity int
	ttl      timekeeper.Millis
	entries  map[uint64]*list.Element
	order    *list.List // Most recently used first.
	cleared  map[string]timekeeper.Millis
}

type hint struct {
	digest  uint64
	targets [maxHintTargets]targetHint
}

type targetHint struct {
	target string
	at     timekeeper.Millis
	stored bool
}

func newHints(capacity int, ttl timekeeper.Millis) *hints {
	return &hints{capacity: capacity, ttl: ttl, entries: map[uint64]*list.Element{}, order: list.New(), cleared: map[string]timekeeper.Millis{}}
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
	for i, o := range item.targets {
		if o.target == target {
			slot = i
			break
		}
		if o.at < item.targets[slot].at {
			slot = i
		}
	}
	if at >= item.targets[slot].at {
		item.targets[slot] = targetHint{target: target, at: at, stored: stored}
	}
}

func (h *hints) clear(target string, at timekeeper.Millis) {
	h.cleared[target] = max(h.cleared[target], at)
}

// holds reports whether target holds the prefix according to an unexpired hint.
func (h *hints) holds(digest uint64, target string, now timekeeper.Millis) bool {
	element, ok := h.entries[digest]
	if !ok {
		return false
	}
	for _, o := range element.Value.(*hint).targets {
		if o.target == target {
			return o.stored && now-o.at < h.ttl && o.at > h.cleared[target]
		}
	}
	return false
}

// keepTargets removes targets that are no longer in the configuration.
func (h *hints) keepTargets(targets map[string]*target) {
	for name := range h.cleared {
		if targets[name] == nil {
			delete(h.cleared, name)
		}
	}
}

// cached estimates how many tokens of the prompt are in a target's prefix cache.
func (r *Router) cached(t *target, q Request, now timekeeper.Millis) float64 {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		if p := q.Prefixes[i]; r.hints.holds(p.Digest, t.Name, now) {
			return float64(q.PromptTokens) * min(float64(p.Bytes)/float64(max(q.PromptBytes, 1)), 1)
		}
	}
	return 0
}

// longestPrefixHolder returns the candidate that holds the longest prefix of the
// prompt, the one with the least work time if there are several.
func (r *Router) longestPrefixHolder(q Request, group []candidate, now timekeeper.Millis) *candidate {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		element, ok := r.hints.entries[q.Prefixes[i].Digest]
		if !ok {
			continue
		}
		var best *candidate
		for _, o := range element.Value.(*hint).targets {
			if !o.stored || now-o.at >= r.hints.ttl || o.at <= r.hints.cleared[o.target] {
				continue
			}
			for j := range group {
				if c := &group[j]; c.Name == o.target && (best == nil || c.weightedWorkTime < best.weightedWorkTime) {
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
