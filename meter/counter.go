package meter

import (
	"sync"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds on memory while windows cannot be sealed. Once backlogBatches closed
// batches are unsealed, a new batch spans wideBatchWindows windows and is counted in
// the last of them.
const (
	backlogBatches   = 60
	wideBatchWindows = 10
)

// entry is the count of one line in one batch.
type entry struct {
	line       Line
	window     timekeeper.Millis
	total      Amounts
	sent       Amounts // in the last message or stored copy
	copied     Amounts // acknowledged by the present holder of the copy
	lastChange int64
}

// batch holds the counts of one window. Its window is fixed when it is opened,
// because copies refer to it.
type batch struct {
	window  timekeeper.Millis
	entries map[Line]*entry
}

// wire returns the batch in its wire format.
func (b *batch) wire() Batch {
	w := Batch{Window: b.window, Lines: make([]storer.UsageLine, 0, len(b.entries))}
	for l, e := range b.entries {
		w.Lines = append(w.Lines, toWire(l, e.total))
	}
	return w
}

// Counter counts the usage of one incarnation of an instance. It is safe for concurrent use.
type Counter struct {
	source Source
	length timekeeper.Millis

	mu             sync.Mutex
	open           *batch
	closed         []*batch
	finalWindow    timekeeper.Millis // last window that accepts no more counts
	storedAtStop   bool              // the unsealed counts were stored for a planned stop
	sequence       int64
	copiedSequence int64
	dirty          map[*entry]struct{}
}

// NewCounter returns an empty counter for windows of the given length.
func NewCounter(s Source, length timekeeper.Millis) *Counter {
	return &Counter{source: s, length: length, finalWindow: -1, dirty: map[*entry]struct{}{}}
}

// Source returns the instance incarnation whose usage is counted.
func (c *Counter) Source() Source { return c.source }

// Add counts amounts in the current window and returns the sequence number of the
// change, for Copied and Copier.Flush.
func (c *Counter) Add(now timekeeper.Millis, l Line, a Amounts) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if c.open == nil {
		c.open = &batch{window: c.nextWindow(now), entries: map[Line]*entry{}}
	}
	e, ok := c.open.entries[l]
	if !ok {
		e = &entry{line: l, window: c.open.window}
		c.open.entries[l] = e
	}
	c.sequence++
	e.total, e.lastChange = e.total.plus(a), c.sequence
	c.dirty[e] = struct{}{}
	return c.sequence
}

// nextWindow returns the window of a new batch. A final window stays final even if
// the clock was set back.
func (c *Counter) nextWindow(now timekeeper.Millis) timekeeper.Millis {
	window := max(windowStart(now, c.length), c.finalWindow+1)
	if window%c.length != 0 {
		window += c.length - window%c.length
	}
	if len(c.closed) >= backlogBatches {
		window += (wideBatchWindows - 1) * c.length
	}
	return window
}

// rotate closes the open batch when its window has ended, and drops counts older
// than keepCounts.
func (c *Counter) rotate(now timekeeper.Millis) {
	c.finalWindow = max(c.finalWindow, windowStart(now, c.length)-c.length)
	if c.open != nil && c.open.window <= c.finalWindow {
		c.closed = append(c.closed, c.open)
		c.open = nil
	}
	for len(c.closed) > 0 && now-c.closed[0].window > keepCounts {
		c.clearDirty(c.closed[0])
		c.closed = c.closed[1:]
	}
}

// clearDirty removes the entries of a dropped batch from the dirty set.
func (c *Counter) clearDirty(b *batch) {
	for _, e := range b.entries {
		delete(c.dirty, e)
	}
}

// Changes returns the counts that the copy lacks, and the sequence number to pass
// to Acknowledge once the peer has them.
func (c *Counter) Changes() (CopyRequest, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byWindow := map[timekeeper.Millis][]storer.UsageLine{}
	for e := range c.dirty {
		e.sent = e.total
		byWindow[e.window] = append(byWindow[e.window], toWire(e.line, e.total))
	}
	r := CopyRequest{Source: c.source, Sender: c.source, Batches: make([]Batch, 0, len(byWindow))}
	for window, lines := range byWindow {
		r.Batches = append(r.Batches, Batch{Window: window, Lines: lines})
	}
	return r, c.sequence
}

// Acknowledge records that a peer has all changes up to a sequence number.
func (c *Counter) Acknowledge(sequence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copiedSequence = max(c.copiedSequence, sequence)
	for e := range c.dirty {
		e.copied = e.sent
		if e.lastChange <= sequence {
			delete(c.dirty, e)
		}
	}
}

// Uncopied returns the counts that have no copy: what would be lost if the instance were
// killed now. A copy that was sent and not acknowledged does not count.
func (c *Counter) Uncopied() Amounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all Amounts
	for e := range c.dirty {
		all = all.plus(e.total.minus(e.copied))
	}
	return all
}

// Copied reports whether the changes up to a sequence number have a copy.
func (c *Counter) Copied(sequence int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copiedSequence >= sequence
}

// Sequence returns the sequence number of the last change.
func (c *Counter) Sequence() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence
}

// MarkAllDirty makes the next Changes return all counts that are not known to be
// sealed, because another peer is about to hold the copy.
func (c *Counter) MarkAllDirty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copiedSequence = 0
	all := c.closed
	if c.open != nil {
		all = append(append([]*batch(nil), c.closed...), c.open)
	}
	for _, b := range all {
		for _, e := range b.entries {
			e.copied = Amounts{}
			c.dirty[e] = struct{}{}
		}
	}
}

// Collect drops sealed counts, and returns the closed batches up to a window, the last
// of those windows that is final, and whether the counts were stored for a planned stop.
func (c *Counter) Collect(now, window timekeeper.Millis, marks []Mark) ([]Batch, timekeeper.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if m, ok := markOf(marks, c.source); ok {
		c.dropSealed(now, m)
	}
	batches := []Batch{}
	for _, b := range c.closed {
		if b.window > window {
			continue
		}
		batches = append(batches, b.wire())
	}
	return batches, min(c.finalWindow, window), c.storedAtStop
}

// dropSealed removes sealed batches. Where a copy was sealed in place of the
// counter's own figures and lacked a part of them, the batch is kept until the reporter
// has sealed that part. It stays under its window, so that the same count never stands
// under two windows in copies and in the store.
func (c *Counter) dropSealed(now timekeeper.Millis, m Mark) {
	// A copy may be sealed for a window that has not yet ended by this clock.
	c.finalWindow = max(c.finalWindow, m.Window)
	c.rotate(now)
	kept := c.closed[:0:0]
	for _, b := range c.closed {
		if b.window > m.Window || len(m.remainder(b.wire()).Lines) > 0 {
			kept = append(kept, b)
			continue
		}
		c.clearDirty(b)
	}
	c.closed = kept
}

// LineCount returns the number of lines in memory, over all batches.
func (c *Counter) LineCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, b := range c.closed {
		n += len(b.entries)
	}
	if c.open != nil {
		n += len(c.open.entries)
	}
	return n
}
