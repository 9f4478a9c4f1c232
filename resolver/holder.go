package resolver

import (
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Holder holds the current directory and the time at which it was last known to be
// the newest. It is safe for concurrent use.
type Holder struct {
	clock timekeeper.Clock

	mu        sync.RWMutex
	directory *Directory
	confirmed timekeeper.Reading
}

// NewHolder returns a holder without a directory.
func NewHolder(c timekeeper.Clock) *Holder { return &Holder{clock: c} }

// Adopt makes a directory the current one if it is newer, and reports whether it did.
func (h *Holder) Adopt(d *Directory) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.directory != nil && d.generation <= h.directory.generation {
		return false
	}
	h.directory = d
	return true
}

// Confirm records that no newer directory existed at the given time.
func (h *Holder) Confirm(at timekeeper.Reading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = at
}

// Current returns the current directory, or nil, and the time since it was last
// known to be the newest.
func (h *Holder) Current() (*Directory, timekeeper.Millis) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.directory == nil {
		return nil, 0
	}
	return h.directory, max(h.clock.Read().Since(h.confirmed), 0)
}
