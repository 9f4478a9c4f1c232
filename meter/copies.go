package meter

import (
	"slices"
	"strings"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// maxCopiedLines is the maximum number of copied lines that one instance holds, at
// about 250 bytes each.
const maxCopiedLines = 200_000

// heldCopy is the copy of one source's counts. While its sender is live, two
// instances hold the counts; if the sender dies, this instance forwards the copy to
// another peer.
type heldCopy struct {
	batches  map[timekeeper.Millis]totals
	sender   Source
	revision int64 // counts the messages received
}

// Copies holds copies of other instances' counts. It is safe for concurrent use.
type Copies struct {
	mu    sync.Mutex
	held  map[Source]*heldCopy
	lines int
}

// NewCopies returns an empty set of copies.
func NewCopies() *Copies { return &Copies{held: map[Source]*heldCopy{}} }

// Receive merges the lines of a source. Figures are cumulative, so duplicate and
// reordered messages have no effect.
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
		h = &heldCopy{batches: map[timekeeper.Millis]totals{}}
		c.held[r.Source] = h
	}
	h.revision++
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
	if r.Sender == r.Source || h.within(r.Batches) {
		h.sender = r.Sender
	}
	return nil
}

// within reports whether a message holds all figures of the copy, so that its sender can
// stand in for this instance.
func (h *heldCopy) within(batches []Batch) bool {
	received := map[timekeeper.Millis]totals{}
	for _, b := range batches {
		received[b.Window] = totals{}
		received[b.Window].add(b.Lines)
	}
	for window, t := range h.batches {
		for l, a := range t {
			if sent := received[window][l]; sent.max(a) != sent {
				return false
			}
		}
	}
	return true
}

// Drop removes sealed counts and counts older than keepCounts. Counts that arrived after
// an earlier copy of their window was sealed are kept until they are sealed, too.
func (c *Copies) Drop(now timekeeper.Millis, marks []Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bySource := make(map[Source]Mark, len(marks))
	for _, m := range marks {
		bySource[m.Source] = m
	}
	for s, h := range c.held {
		m, ok := bySource[s]
		for window, t := range h.batches {
			sealed := ok && window <= m.Window && (m.Copy == nil || len(m.remainder(Batch{Window: window, Lines: t.lines()}).Lines) == 0)
			if sealed || now-window > keepCounts {
				c.lines -= len(t)
				delete(h.batches, window)
			}
		}
		if len(h.batches) == 0 {
			delete(c.held, s)
		}
	}
}

// Sources returns the sources whose counts are held.
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

// Get returns the copy of a source's counts up to a window.
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

// revision returns the revision of the copy of a source's counts.
func (c *Copies) revision(s Source) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.held[s]; ok {
		return h.revision
	}
	return 0
}

// orphans returns the sources that are not live and whose sender is not live.
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

// AnswerCollect answers a collect request from the instance's own counts or, if the request
// names sources, from the copies of their counts.
func AnswerCollect(c *Counter, copies *Copies, now timekeeper.Millis, r CollectRequest) CollectAnswer {
	copies.Drop(now, r.Marks)
	answer := CollectAnswer{Source: c.Source(), Batches: []Batch{}, Held: copies.Sources(), Copies: []Copy{}}
	if len(r.Copies) == 0 {
		answer.Batches, answer.Closed, answer.Stored = c.Collect(now, r.Window, r.Marks)
		return answer
	}
	for _, s := range r.Copies {
		answer.Copies = append(answer.Copies, copies.Get(s, r.Window))
	}
	return answer
}
