package placer

import (
	"container/list"
	"sync"
)

// maxCachedPrefixes bounds the pairs of a target and a shared part: a fleet of 45
// engines caches about 60 parts each.
const maxCachedPrefixes = 4096

// prefixCache is an LRU cache of the shared parts that each target has prefilled for
// this instance, most recent first.
type prefixCache struct {
	mu      sync.Mutex
	entries map[prefixLocation]*list.Element
	order   *list.List
}

type prefixLocation struct{ target, key string }

func newPrefixCache() *prefixCache {
	return &prefixCache{entries: map[prefixLocation]*list.Element{}, order: list.New()}
}

func (m *prefixCache) add(target, key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := prefixLocation{target, key}
	if element, ok := m.entries[p]; ok {
		m.order.MoveToFront(element)
		return
	}
	m.entries[p] = m.order.PushFront(p)
	if m.order.Len() > maxCachedPrefixes {
		oldest := m.order.Back()
		delete(m.entries, oldest.Value.(prefixLocation))
		m.order.Remove(oldest)
	}
}

func (m *prefixCache) has(target, key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.entries[prefixLocation{target, key}]
	return ok
}
