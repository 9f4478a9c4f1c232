package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	sweepEvery = 30 * timekeeper.Second
	tickEvery  = timekeeper.Second
)

// Run maintains the table and the copies until the context ends.
func (c *Claimer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Tick(ctx)
		// Jitter keeps the instances from updating the one table at one moment.
		wait := tickEvery/2 + timekeeper.Millis(rand.Int64N(int64(tickEvery)))
		select {
		case <-ctx.Done():
		case <-time.After(wait.Duration()):
		case <-c.wake:
		}
	}
}

// Tick does once what is due: it reads the table, changes it by a conditional
// update and transfers ranges to new copies.
func (c *Claimer) Tick(ctx context.Context) {
	c.mu.Lock()
	now := c.options.Clock.Now()
	if c.busy {
		c.mu.Unlock()
		return
	}
	c.busy = true
	if now >= c.sweep {
		c.sweep = now + sweepEvery
		for _, h := range c.held {
			c.bytes -= h.forget(now)
		}
	}
	read := c.dirty || now >= c.refresh
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.busy = false
		c.mu.Unlock()
	}()
	if read && !c.read(ctx) {
		return
	}
	before, after := c.update(ctx)
	c.transferAll(ctx)
	c.announce(ctx, before, after)
}

// read reads the table and adopts it; a missing table is created. It reports success.
func (c *Claimer) read(ctx context.Context) bool {
	c.mu.Lock()
	// Changes that are noted from here on need another read.
	c.dirty = false
	c.mu.Unlock()
	table, version, err := storer.Get(ctx, c.objects, c.options.Object, decodeTable)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.dirty = true
		return false
	}
	now := c.options.Clock.Now()
	c.refresh = now + c.options.Refresh/2 + timekeeper.Millis(c.random.Int64N(int64(c.options.Refresh)))
	if version > c.version {
		c.adopt(table, version)
	}
	return true
}

// update writes the table that this instance wants, if it differs, and returns
// the tables before and after a change that took effect.
func (c *Claimer) update(ctx context.Context) (before, after Table) {
	c.mu.Lock()
	now := c.options.Clock.Now()
	next, changed := c.plan(now)
	if c.version == 0 && !c.leaving {
		next, changed = c.initial(now), true
		c.creating = true
	}
	version := c.version
	before = c.table
	for i, r := range next.Ranges {
		if c.version > 0 && r.Owner == c.options.Self.ID && r.Epoch > before.Ranges[i].Epoch && !c.inherits(i, before.Ranges[i]) {
			c.taking[i] = r.Epoch
		}
	}
	c.mu.Unlock()
	if !changed {
		return before, before
	}
	value, err := json.Marshal(next)
	if err == nil {
		version, err = c.objects.Put(ctx, c.options.Object, value, version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// After a conflict or a lost answer only the table tells what holds.
		c.dirty = true
		if errors.Is(err, storer.ErrConflict) {
			c.nudge()
		}
		return before, before
	}
	if version > c.version {
		c.adopt(next, version)
	}
	return before, next
}

// initial is a table in which the creator owns all ranges; balancing spreads them.
func (c *Claimer) initial(now timekeeper.Millis) Table {
	t := Table{Ranges: make([]Range, c.options.Ranges)}
	for i := range t.Ranges {
		t.Ranges[i] = Range{Owner: c.options.Self.ID, Epoch: 1, Until: now + c.options.Grant}
	}
	return t
}

// inherits reports whether this instance has the claims of a range. The caller holds mu.
func (c *Claimer) inherits(i int, r Range) bool {
	h := c.held[i]
	return h != nil && h.epoch == r.Epoch && (h.owner || c.counts(h))
}

// adopt puts a newer table in force. Only this instance's own updates make it an
// owner, so that the state from which such an update was planned is still held.
// The caller holds mu.
func (c *Claimer) adopt(t Table, version storer.Version) {
	resize := len(t.Ranges) != len(c.table.Ranges)
	before := c.table
	c.table, c.version = t, version
	if resize {
		c.place()
	}
	self := c.options.Self.ID
	for i, r := range t.Ranges {
		h := c.held[i]
		switch {
		case h != nil && h.epoch >= r.Epoch:
		case r.Owner == self:
			c.own(i, r, h, before)
		case r.Copy != self:
			c.drop(i)
		case h != nil && h.owner:
			// The new owner transfers the range back.
			c.drop(i)
		}
	}
	c.creating = false
}

// own starts or goes on with owning a range under its new epoch. The caller holds mu.
func (c *Claimer) own(i int, r Range, h *holding, before Table) {
	switch {
	case h != nil && h.epoch == r.Epoch-1 && (h.owner || c.counts(h)):
		if !h.owner {
			c.event(recorder.RangeTaken, fmt.Sprintf("range %d epoch %d", i, r.Epoch))
		}
	case c.creating && r.Epoch == 1 && h == nil, c.taking[i] == r.Epoch:
		c.drop(i)
		h = newHolding(r.Epoch, true)
		c.held[i] = h
		if r.AmnesicUntil > r.Until-c.options.Grant {
			c.event(recorder.RangeAmnesic, fmt.Sprintf("range %d epoch %d", i, r.Epoch))
		}
	default:
		// The claims are gone; the range is taken anew after its grant ended.
		c.drop(i)
		return
	}
	delete(c.taking, i)
	h.epoch, h.owner, h.complete, h.sentLast, h.transfer = r.Epoch, true, false, false, 0
}

// announce tells the instances that a change concerns that the table changed.
func (c *Claimer) announce(ctx context.Context, before, after Table) {
	told := map[string]bool{c.options.Self.ID: true, "": true}
	for i, r := range after.Ranges {
		if i >= len(before.Ranges) || r.Epoch == before.Ranges[i].Epoch && r.Handover == before.Ranges[i].Handover {
			continue
		}
		for _, id := range []string{r.Owner, r.Copy, before.Ranges[i].Owner, before.Ranges[i].Copy} {
			if told[id] {
				continue
			}
			told[id] = true
			c.mu.Lock()
			p, ok := c.peers[id]
			c.mu.Unlock()
			if ok && !p.Lost {
				// A lost message only delays the other's next read.
				_ = c.call(ctx, p.Address, MethodRefresh, refreshMessage{}, &struct{}{})
			}
		}
	}
}
