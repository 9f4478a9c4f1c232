package faker

import (
	"context"
	"slices"
	"sync"
)

// gate is a mutex that admits the waiter with the highest priority first.
type gate struct {
	mu      sync.Mutex
	busy    bool
	waiters []*gateWaiter // highest priority first, then in order of arrival
}

type gateWaiter struct {
	priority int
	turn     chan struct{}
}

// lock waits for the gate and reports whether it was acquired before the context ended.
func (g *gate) lock(ctx context.Context, priority int) bool {
	g.mu.Lock()
	if !g.busy {
		g.busy = true
		g.mu.Unlock()
		return true
	}
	w := &gateWaiter{priority: priority, turn: make(chan struct{})}
	at := slices.IndexFunc(g.waiters, func(other *gateWaiter) bool { return other.priority < priority })
	if at < 0 {
		at = len(g.waiters)
	}
	g.waiters = slices.Insert(g.waiters, at, w)
	g.mu.Unlock()
	select {
	case <-w.turn:
		return true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := slices.Index(g.waiters, w); n >= 0 {
		g.waiters = slices.Delete(g.waiters, n, n+1)
		return false
	}
	// The waiter was admitted as its context ended: admit the next one instead.
	g.admitNext()
	return false
}

func (g *gate) unlock() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitNext()
}

// admitNext admits the next waiter or frees the gate. The caller holds mu.
func (g *gate) admitNext() {
	if len(g.waiters) == 0 {
		g.busy = false
		return
	}
	close(g.waiters[0].turn)
	g.waiters = g.waiters[1:]
}
