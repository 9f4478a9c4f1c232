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
	sweepInterval = 30 * timekeeper.Second
	tickInterval  = timekeeper.Second
)

// Run maintains the table and the copies until the context is done.
func (c *Claimer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Tick(ctx)
		// Jitter keeps the instances from updating the shared table simultaneously.
		wait := tickInterval/2 + timekeeper.Millis(rand.Int64N(int64(tickInterval)))
		select {
		case <-ctx.Done():
		case <-time.After(wait.Duration()):
		case <-c.wake:
		}
	}
}

// Tick runs one round of maintenance: it reads the table if due, changes it by a
// conditional update and transfers ranges to new copies.
func (c *Claimer) Tick(ctx context.Context) {
	c.mu.Lock()
	now := c.options.Clock.Now()
	if c.ticking {
		c.mu.Unlock()
		return
	}
	c.ticking = true
	if now >= c.nextSweep {
		c.nextSweep = now + sweepInterval
		for _, h := range c.held {
			c.answerBytes -= h.removeExpired(now)
		}
	}
	read := c.tableStale || now >= c.nextRefresh
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.ticking = false
		c.mu.Unlock()
	}()
	if read && !c.readTable(ctx) {
		return
	}
	before, after := c.updateTable(ctx)
	c.transferAll(ctx)
	c.announce(ctx, before, after)
}

// readTable reads the table and adopts a newer version. It reports success; a missing
// table is a success and is created by updateTable.
func (c *Claimer) readTable(ctx context.Context) bool {
	c.mu.Lock()
	// Invalidations from here on require another read.
	c.tableStale = false
	c.mu.Unlock()
	table, version, err := storer.Get(ctx, c.objects, c.options.Object, decodeTable)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.tableStale = true
		return false
	}
	now := c.options.Clock.Now()
	c.nextRefresh = now + c.options.Refresh/2 + timekeeper.Millis(c.random.Int64N(int64(c.options.Refresh)))
	if version > c.version {
		c.adopt(table, version)
	}
	return true
}

// updateTable writes the planned table if it differs, and returns the tables before
// and after; they are the same if no change took effect.
func (c *Claimer) updateTable(ctx context.Context) (before, after Table) {
	c.mu.Lock()
	now := c.options.Clock.Now()
	next, changed := c.plan(now)
	if c.version == 0 && !c.leaving {
		next, changed = c.initialTable(now), true
		c.creationPending = true
	}
	version := c.version
	before = c.table
	for i, r := range next.Ranges {
		if c.version > 0 && r.Owner == c.options.Self.ID && r.Epoch > before.Ranges[i].Epoch && !c.hasClaims(i, before.Ranges[i]) {
			c.pendingTakeovers[i] = r.Epoch
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
		// After a conflict or a lost answer only a new read shows the stored table.
		c.tableStale = true
		if errors.Is(err, storer.ErrConflict) {
			c.wakeUp()
		}
		return before, before
	}
	if version > c.version {
		c.adopt(next, version)
	}
	return before, next
}

// initialTable returns a table in which its creator owns all ranges; balancing then
// distributes them.
func (c *Claimer) initialTable(now timekeeper.Millis) Table {
	t := Table{Ranges: make([]Range, c.options.Ranges)}
	for i := range t.Ranges {
		t.Ranges[i] = Range{Owner: c.options.Self.ID, Epoch: 1, Until: now + c.options.Grant}
	}
	return t
}

// hasClaims reports whether this instance has the claims of a range. The caller holds mu.
func (c *Claimer) hasClaims(i int, r Range) bool {
	h := c.held[i]
	return h != nil && h.epoch == r.Epoch && (h.owner || c.copyReady(h))
}

// adopt replaces the table with a newer version. Only this instance's own updates make
// it an owner, so it still has the state from which such an update was planned.
// The caller holds mu.
func (c *Claimer) adopt(t Table, version storer.Version) {
	resize := len(t.Ranges) != len(c.table.Ranges)
	before := c.table
	c.table, c.version = t, version
	if resize {
		c.computePlacements()
	}
	self := c.options.Self.ID
	for i, r := range t.Ranges {
		h := c.held[i]
		switch {
		case h != nil && h.epoch >= r.Epoch:
		case r.Owner == self:
			c.becomeOwner(i, r, h, before)
		case r.Copy != self:
			c.dropRange(i)
		case h != nil && h.owner:
			// The new owner transfers the range back.
			c.dropRange(i)
		}
	}
	c.creationPending = false
}

// becomeOwner starts or continues ownership of a range under its new epoch. The caller
// holds mu.
func (c *Claimer) becomeOwner(i int, r Range, h *rangeState, before Table) {
	switch {
	case h != nil && h.epoch == r.Epoch-1 && (h.owner || c.copyReady(h)):
		if !h.owner {
			c.event(recorder.RangeTaken, fmt.Sprintf("range %d epoch %d", i, r.Epoch))
		}
	case c.creationPending && r.Epoch == 1 && h == nil, c.pendingTakeovers[i] == r.Epoch:
		c.dropRange(i)
		h = newRangeState(r.Epoch, true)
		c.held[i] = h
		if r.AmnesicUntil > r.Until-c.options.Grant {
			c.event(recorder.RangeLost, fmt.Sprintf("range %d epoch %d", i, r.Epoch))
		}
	default:
		// The claims are lost; the range is taken over again after its grant has expired.
		c.dropRange(i)
		return
	}
	delete(c.pendingTakeovers, i)
	h.epoch, h.owner, h.complete, h.lastPartSent, h.transferNumber = r.Epoch, true, false, false, 0
}

// announce notifies the instances affected by a change that the table changed.
func (c *Claimer) announce(ctx context.Context, before, after Table) {
	notified := map[string]bool{c.options.Self.ID: true, "": true}
	for i, r := range after.Ranges {
		if i >= len(before.Ranges) || r.Epoch == before.Ranges[i].Epoch && r.Handover == before.Ranges[i].Handover {
			continue
		}
		for _, id := range []string{r.Owner, r.Copy, before.Ranges[i].Owner, before.Ranges[i].Copy} {
			if notified[id] {
				continue
			}
			notified[id] = true
			c.mu.Lock()
			p, ok := c.peers[id]
			c.mu.Unlock()
			if ok && !p.Lost {
				// A lost message only delays the peer's next read.
				_ = c.call(ctx, p.Address, MethodRefresh, refreshMessage{}, &struct{}{})
			}
		}
	}
}
