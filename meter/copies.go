package meter

import (
	"slices"
	"strings"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// maxCopiedLines bounds the copies that one instance holds, at about 250 bytes each.
const maxCopiedLines = 200_000

// held is the copy of one source. While its sender lives, the counts are in two
// places; when the sender is dead, this instance makes another copy.
type held struct {
	batches map[timekeeper.Millis]totals
	sender  Source
}

// Copies holds the counts of other instances. It is safe for concurrent use.
type Copies struct {
	mu    sync.Mutex
	held  map[Source]*held
	lines int
}

// NewCopies returns an instance's copies, of which there are none yet.
func NewCopies() *Copies { return &Copies{held: map[Source]*held{}} }

// Receive takes lines of a source. Figures are cumulative, so repeated messages
// and messages out of order change nothing.
func (c *Copies) Receive(r CopyRequest) error {
	if err := r.Check(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lines > maxCopiedLines {
		return ErrFull
	}
	h, ok := c.held[r.Source]
	if !ok {
		h = &held{batches: map[timekeeper.Millis]totals{}}
		c.held[r.Source] = h
	}
	h.sender = r.Sender
	for _, b := range r.Batches {
		t, ok := h.batches[b.Window]
		if !ok {
			t = totals{}
			h.batches[b.Window] = t
		}
		for _, u := range b.Lines {
			l, a := fromWire(u)
			old, ok := t[l]
			if !ok {
				c.lines++
			}
			t[l] = old.max(a)
		}
	}
	return nil
}

// Drop forgets what is sealed and what is too old.
func (c *Copies) Drop(now timekeeper.Millis, marks []Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sealed := make(map[Source]timekeeper.Millis, len(marks))
	for _, m := range marks {
		sealed[m.Source] = m.Window
	}
	for s, h := range c.held {
		through, ok := sealed[s]
		for window, t := range h.batches {
			if (ok && window <= through) || now-window > keepCounts {
				c.lines -= len(t)
				delete(h.batches, window)
			}
		}
		if len(h.batches) == 0 {
			delete(c.held, s)
		}
	}
}

// Sources returns the sources of which counts are held.
func (c *Copies) Sources() []Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	sources := make([]Source, 0, len(c.held))
	for s := range c.held {
		sources = append(sources, s)
	}
	slices.SortFunc(sources, func(a, b Source) int { return strings.Compare(a.Instance, b.Instance) })
	return sources
}

// Get returns the counts of a source up to a window.
func (c *Copies) Get(s Source, window timekeeper.Millis) Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := Copy{Source: s, Batches: []Batch{}}
	if h, ok := c.held[s]; ok {
		for w, t := range h.batches {
			if w <= window {
				found.Batches = append(found.Batches, Batch{Window: w, Lines: t.lines()})
			}
		}
	}
	return found
}

// orphans returns the copies whose sender is not live.
func (c *Copies) orphans(live map[Source]bool) []Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sources []Source
	for s, h := range c.held {
		if !live[h.sender] && !live[s] {
			sources = append(sources, s)
		}
	}
	return sources
}

// Answer serves a collection from the own counts and the copies.
func Answer(c *Counter, copies *Copies, now timekeeper.Millis, r CollectRequest) CollectAnswer {
	copies.Drop(now, r.Marks)
	answer := CollectAnswer{Source: c.Source(), Batches: []Batch{}, Held: copies.Sources(), Copies: []Copy{}}
	if len(r.Copies) == 0 {
		answer.Batches, answer.Closed = c.Collect(now, r.Window, r.Marks)
		return answer
	}
	for _, s := range r.Copies {
		answer.Copies = append(answer.Copies, copies.Get(s, r.Window))
	}
	return answer
}
