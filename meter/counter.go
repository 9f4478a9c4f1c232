package meter

import (
	"sync"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds on memory while windows cannot be sealed. After backlogBatches batches
// wait, a new batch spans wideWindows windows and is counted in the last of them.
const (
	backlogBatches = 60
	wideWindows    = 10
)

// entry is the count of one line in one batch.
type entry struct {
	line    Line
	window  timekeeper.Millis
	total   Amounts
	changed int64
}

// batch is the count of one window. Its window is fixed when it is opened,
// because copies refer to it.
type batch struct {
	window  timekeeper.Millis
	entries map[Line]*entry
}

// wire returns the batch's counts as they are sent.
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

	mu       sync.Mutex
	open     *batch
	closed   []*batch
	final    timekeeper.Millis // last window that takes no more counts
	left     bool              // the counts are stored for the time after the stop
	sequence int64
	copied   int64
	dirty    map[*entry]struct{}
}

// NewCounter returns a counter without counts for windows of a length.
func NewCounter(s Source, length timekeeper.Millis) *Counter {
	return &Counter{source: s, length: length, final: -1, dirty: map[*entry]struct{}{}}
}

// Source returns the incarnation that counts.
func (c *Counter) Source() Source { return c.source }

// Add counts amounts in the current window and returns the number that Copied
// must reach before they have a copy.
func (c *Counter) Add(now timekeeper.Millis, l Line, a Amounts) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(now, l, a)
}

func (c *Counter) add(now timekeeper.Millis, l Line, a Amounts) int64 {
	c.roll(now)
	if c.open == nil {
		c.open = &batch{window: c.nextWindow(now), entries: map[Line]*entry{}}
	}
	e, ok := c.open.entries[l]
	if !ok {
		e = &entry{line: l, window: c.open.window}
		c.open.entries[l] = e
	}
	c.sequence++
	e.total, e.changed = e.total.plus(a), c.sequence
	c.dirty[e] = struct{}{}
	return c.sequence
}

// nextWindow returns the window of a new batch. The clock may have gone back:
// a window that was final stays final.
func (c *Counter) nextWindow(now timekeeper.Millis) timekeeper.Millis {
	window := max(start(now, c.length), c.final+1)
	if window%c.length != 0 {
		window += c.length - window%c.length
	}
	if len(c.closed) >= backlogBatches {
		window += (wideWindows - 1) * c.length
	}
	return window
}

// roll closes the open batch when its window has ended, and forgets counts that are too old.
func (c *Counter) roll(now timekeeper.Millis) {
	c.final = max(c.final, start(now, c.length)-c.length)
	if c.open != nil && c.open.window <= c.final {
		c.closed = append(c.closed, c.open)
		c.open = nil
	}
	for len(c.closed) > 0 && now-c.closed[0].window > keepCounts {
		c.forget(c.closed[0])
		c.closed = c.closed[1:]
	}
}

func (c *Counter) forget(b *batch) {
	for _, e := range b.entries {
		delete(c.dirty, e)
	}
}

// Changes returns what a copy lacks, and the number to give to Acknowledge when
// the peer has it.
func (c *Counter) Changes() (CopyRequest, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byWindow := map[timekeeper.Millis][]storer.UsageLine{}
	for e := range c.dirty {
		byWindow[e.window] = append(byWindow[e.window], toWire(e.line, e.total))
	}
	r := CopyRequest{Source: c.source, Sender: c.source, Batches: make([]Batch, 0, len(byWindow))}
	for window, lines := range byWindow {
		r.Batches = append(r.Batches, Batch{Window: window, Lines: lines})
	}
	return r, c.sequence
}

// Acknowledge notes that a peer has all changes up to a number.
func (c *Counter) Acknowledge(sequence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copied = max(c.copied, sequence)
	for e := range c.dirty {
		if e.changed <= sequence {
			delete(c.dirty, e)
		}
	}
}

// Copied reports whether the changes up to a number have a copy.
func (c *Counter) Copied(sequence int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copied >= sequence
}

// Sequence returns the number of the last change.
func (c *Counter) Sequence() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence
}

// Restart makes the next changes carry all counts that are not sealed: another
// peer is about to hold the copy.
func (c *Counter) Restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copied = 0
	all := c.closed
	if c.open != nil {
		all = append(append([]*batch(nil), c.closed...), c.open)
	}
	for _, b := range all {
		for _, e := range b.entries {
			c.dirty[e] = struct{}{}
		}
	}
}

// Collect drops what is sealed and returns the final counts up to a window and
// the last window that is final.
func (c *Counter) Collect(now, window timekeeper.Millis, marks []Mark) ([]Batch, timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roll(now)
	if m, ok := markOf(marks, c.source); ok {
		c.drop(now, m)
	}
	batches := []Batch{}
	for _, b := range c.closed {
		if b.window > window {
			continue
		}
		batches = append(batches, b.wire())
	}
	return batches, min(c.final, window)
}

// drop removes sealed batches. Where a copy was sealed in place of the own
// counts, what the copy lacked is counted again in the open window. After the
// counts were left in the store, the reporter adds it from there instead.
func (c *Counter) drop(now timekeeper.Millis, m Mark) {
	// A copy may be sealed beyond what this clock calls ended.
	c.final = max(c.final, m.Window)
	c.roll(now)
	kept := c.closed[:0:0]
	var again []storer.UsageLine
	for _, b := range c.closed {
		if b.window > m.Window {
			kept = append(kept, b)
			continue
		}
		c.forget(b)
		if !c.left {
			again = append(again, m.rest(b.wire()).Lines...)
		}
	}
	c.closed = kept
	for _, u := range again {
		l, a := fromWire(u)
		c.add(now, l, a)
	}
}

// Lines returns the number of counts in memory.
func (c *Counter) Lines() int {
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
