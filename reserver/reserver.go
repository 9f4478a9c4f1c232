// Package reserver accounts for the memory that the requests of a process hold. Memory is
// reserved before it is filled. When it runs short, requests that hold much of it and
// whose bytes arrive, or whose answers are read, slowest are evicted.
package reserver

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// OrdinaryBytes is how much a request may hold of the memory that is kept for
	// ordinary requests.
	OrdinaryBytes = 64 << 10
	// ordinaryShare is the share of an account that is kept for ordinary requests.
	ordinaryShare = 1.0 / 3
	// minStall is how long a request must have received nothing worth a reservation
	// before it is evicted for another one.
	minStall = timekeeper.Second
	// minUnread is the same for a request whose answer is delivered: it has run, and a
	// client on a slow link reads with long pauses.
	minUnread = 5 * timekeeper.Second
	// evictionWait bounds the wait for the memory of evicted requests.
	evictionWait = timekeeper.Second / 2
	// minHeldBytes counts for requests that hold less: each also holds a connection.
	minHeldBytes = 4 << 10
)

// Errors of reservations.
var (
	ErrFull    = errors.New("memory for requests is used up")
	ErrEvicted = errors.New("request was evicted")
)

// Account is the memory that the requests of a process may hold. It is safe for
// concurrent use.
type Account struct {
	clock timekeeper.Clock
	limit int64

	mu        sync.Mutex
	held      int64
	evictions int64
	evictable map[*Holding]struct{} // Requests that arrive, and answers that are delivered.
	waiting   int
	changed   chan struct{} // Closed when memory is released.
}

// New returns an account with a limit in bytes.
func New(c timekeeper.Clock, limit int64) *Account {
	return &Account{clock: c, limit: limit, evictable: map[*Holding]struct{}{}, changed: make(chan struct{})}
}

// Holding is what one request holds. Its methods may be called by one goroutine at a time.
type Holding struct {
	account *Account
	evict   func()

	// Guarded by the account's mutex.
	bytes    int64
	movedAt  timekeeper.Millis // When it last grew, or was last read from, on the monotonic clock.
	minStall timekeeper.Millis
	evicted  bool
}

// Receive begins a request whose bytes arrive. The evict function is called at most once,
// from another goroutine; it must make the receiver of the bytes give up, and not block.
func (a *Account) Receive(evict func()) *Holding {
	return a.add(&Holding{account: a, evict: evict, minStall: minStall})
}

// Deliver begins the delivery of an answer with n bytes that were taken, and which the
// holding returns. The evict function must make the delivery fail, as that of Receive.
func (a *Account) Deliver(n int64, evict func()) *Holding {
	return a.add(&Holding{account: a, evict: evict, bytes: n, minStall: minUnread})
}

// add makes a request evictable.
func (a *Account) add(h *Holding) *Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.movedAt = a.clock.Read().Monotonic
	a.evictable[h] = struct{}{}
	return h
}

// Read records that a part of the answer was read.
func (h *Holding) Read() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.movedAt = h.account.clock.Read().Monotonic
}

// Reserve reserves n more bytes for the request, or returns ErrFull or ErrEvicted. It
// waits a moment if others are evicted for it.
func (h *Holding) Reserve(n int64) error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.reserve(n, h.bytes+n <= OrdinaryBytes, h); err != nil {
		return err
	}
	h.bytes += n
	h.movedAt = a.clock.Read().Monotonic
	return nil
}

// reserve reserves n bytes for a request, which is nil for something else. The caller holds mu.
func (a *Account) reserve(n int64, ordinary bool, h *Holding) error {
	deadline := timekeeper.Millis(0)
	for {
		now := a.clock.Read().Monotonic
		if h != nil && h.evicted {
			return ErrEvicted
		}
		missing := a.missing(ordinary, n)
		if missing <= 0 {
			a.held += n
			return nil
		}
		if deadline == 0 {
			deadline = now + evictionWait
		}
		if now >= deadline || a.evictStalled(missing, now, a.stalled(now, h)) < missing {
			return ErrFull
		}
		a.awaitRelease(deadline - now)
	}
}

// missing returns how many bytes must be released before n more fit. The caller holds mu.
func (a *Account) missing(ordinary bool, n int64) int64 {
	limit := a.limit
	if !ordinary {
		limit -= int64(ordinaryShare * float64(a.limit))
	}
	return a.held + n - limit
}

// evictStalled evicts stalled requests until the given number of bytes is about to be
// released, and returns that number. It evicts none if they do not suffice. The caller
// holds mu.
func (a *Account) evictStalled(needed int64, now timekeeper.Millis, stalled []*Holding) int64 {
	released := int64(0)
	for h := range a.evictable {
		if h.evicted {
			released += h.bytes
		}
	}
	list := selectForEviction(stalled, needed-released, now)
	for _, h := range list {
		released += h.bytes
	}
	if released < needed {
		return released
	}
	for _, h := range list {
		a.evictOne(h)
	}
	return released
}

// stalled returns the requests that may be evicted, other than one. The caller holds mu.
func (a *Account) stalled(now timekeeper.Millis, except *Holding) []*Holding {
	var list []*Holding
	for h := range a.evictable {
		if h != except && !h.evicted && now-h.movedAt >= h.minStall {
			list = append(list, h)
		}
	}
	return list
}

// selectForEviction returns the requests to evict, in order, until their bytes suffice: first
// those that hold most for longest without growing.
func selectForEviction(candidates []*Holding, needed int64, now timekeeper.Millis) []*Holding {
	cost := func(h *Holding) int64 { return max(h.bytes, minHeldBytes) * int64(now-h.movedAt) }
	slices.SortFunc(candidates, func(h, o *Holding) int { return cmp.Compare(cost(o), cost(h)) })
	for i, h := range candidates {
		if needed <= 0 {
			return candidates[:i]
		}
		needed -= h.bytes
	}
	return candidates
}

// evictOne evicts a request. The caller holds mu.
func (a *Account) evictOne(h *Holding) {
	h.evicted = true
	a.evictions++
	go h.evict()
}

// awaitRelease waits until memory is released, at most for a span. The caller holds mu.
func (a *Account) awaitRelease(span timekeeper.Millis) {
	a.waiting++
	changed := a.changed
	a.mu.Unlock()
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
	a.mu.Lock()
}

// EvictStalled evicts up to n stalled requests, whatever they hold, so that their
// connections end.
func (a *Account) EvictStalled(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Read().Monotonic
	const all = math.MaxInt64
	list := selectForEviction(a.stalled(now, nil), all, now)
	for _, h := range list[:min(n, len(list))] {
		a.evictOne(h)
	}
}

// Return returns a part of what the request holds.
func (h *Holding) Return(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.bytes -= n
	h.account.release(n)
}

// Received ends the receipt of the request's bytes, which it holds until Release. It
// returns false if the request was evicted before.
func (h *Holding) Received() bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.evictable, h)
	return !h.evicted
}

// Evicted reports whether the request was evicted.
func (h *Holding) Evicted() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Release returns all that the request holds.
func (h *Holding) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.evictable, h)
	a.release(h.bytes)
	h.bytes = 0
}

// release returns bytes to the account. The caller holds mu.
func (a *Account) release(n int64) {
	a.held -= n
	if a.waiting > 0 && n > 0 {
		close(a.changed)
		a.changed, a.waiting = make(chan struct{}), 0
	}
}

// Take reserves n bytes for something other than a received request, or returns ErrFull.
// It waits a moment if requests are evicted for it.
func (a *Account) Take(n int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserve(n, true, nil)
}

// EvictUnread evicts answers that are not read until n bytes are released, and waits a
// moment for that. It returns false if they do not suffice.
func (a *Account) EvictUnread(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Read().Monotonic
	var list []*Holding // Those whose bytes are about to be released.
	for h := range a.evictable {
		if h.evicted && h.minStall == minUnread && h.bytes > 0 {
			list, n = append(list, h), n-h.bytes
		}
	}
	if n > 0 {
		more := selectForEviction(slices.DeleteFunc(a.stalled(now, nil), func(h *Holding) bool { return h.minStall != minUnread }), n, now)
		for _, h := range more {
			n -= h.bytes
		}
		if n > 0 {
			return false
		}
		for _, h := range more {
			a.evictOne(h)
		}
		list = append(list, more...)
	}
	for deadline := now + evictionWait; now < deadline; now = a.clock.Read().Monotonic {
		if !slices.ContainsFunc(list, func(h *Holding) bool { return h.bytes > 0 }) {
			return true
		}
		a.awaitRelease(deadline - now)
	}
	return false
}

// Return returns bytes that were taken.
func (a *Account) Return(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(n)
}

// Limit returns how many bytes may be reserved.
func (a *Account) Limit() int64 { return a.limit }

// Held returns the number of reserved bytes.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Evictions returns how many requests were evicted.
func (a *Account) Evictions() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evictions
}
