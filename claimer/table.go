package claimer

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// maxMoves is the maximum number of ranges that one update moves for balance, because
// a range grants nothing while it is transferred.
const maxMoves = 16

// KeyOf returns the claim key of a workspace's idempotency key.
func KeyOf(workspace, key string) string {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return base64.RawURLEncoding.EncodeToString(sum[:18])
}

func hash64(parts ...string) uint64 {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p + "\x00"))
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

func rangeOf(key string, ranges int) int { return int(hash64(key) % uint64(ranges)) }

func decodeTable(data []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(data, &t); err != nil {
		return t, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	return t, t.Check()
}

// placement is the wanted owner and copy of a range.
type placement struct{ owner, copy string }

// computePlacements computes the wanted placement of all ranges by rendezvous hashing
// over the usable peers. A copy is placed in another rack or data centre, if there is
// one. The caller holds mu.
func (c *Claimer) computePlacements() {
	var usable []Peer
	for _, p := range c.peers {
		if p.usable() {
			usable = append(usable, p)
		}
	}
	n := max(len(c.table.Ranges), c.options.Ranges)
	c.placements = make([]placement, n)
	scores := make(map[string]uint64, len(usable))
	var seed [4]byte
	for i := range c.placements {
		binary.BigEndian.PutUint32(seed[:], uint32(i))
		for _, p := range usable {
			scores[p.ID] = hash64(p.ID, string(seed[:]))
		}
		sort.Slice(usable, func(a, b int) bool { return scores[usable[a].ID] > scores[usable[b].ID] })
		if len(usable) > 0 {
			c.placements[i] = placement{usable[0].ID, selectCopy(usable, usable[0], "")}
		}
	}
}

// selectCopy returns the copy for an owner from peers sorted by preference.
func selectCopy(peers []Peer, owner Peer, excluded string) string {
	for _, p := range peers {
		if p.ID != owner.ID && p.ID != excluded && (p.DataCentre != owner.DataCentre || p.Rack != owner.Rack) {
			return p.ID
		}
	}
	for _, p := range peers {
		if p.ID != owner.ID && p.ID != excluded {
			return p.ID
		}
	}
	return ""
}

// copyFor returns the wanted copy of range i if owner owns it. The caller holds mu.
func (c *Claimer) copyFor(i int, owner string) string {
	w := c.placements[i]
	if w.owner == owner {
		return w.copy
	}
	// The wanted owner becomes the copy first and takes over when it has the range.
	return w.owner
}

// plan returns the table with the changes that this instance should make, and whether
// to write it. The caller holds mu.
func (c *Claimer) plan(now timekeeper.Millis) (Table, bool) {
	next := Table{Ranges: append([]Range(nil), c.table.Ranges...)}
	changed, renew, moves := false, false, 0
	stable := now-c.peersChangedAt >= c.options.Settle || c.leaving
	for i := range next.Ranges {
		before := next.Ranges[i]
		r := c.planRange(now, i, before, stable && moves < maxMoves)
		if r != before {
			changed = true
			next.Ranges[i] = r
			if !c.peers[before.Copy].Lost && !c.leaving {
				moves++
			}
		}
		if r.Owner == c.options.Self.ID && c.held[i] != nil && r.Until-now < c.options.Grant-c.options.Renew {
			renew = true
		}
	}
	for i, r := range next.Ranges {
		h := c.held[i]
		if (renew || changed) && r.Owner == c.options.Self.ID && h != nil && h.owner && h.epoch == c.table.Ranges[i].Epoch {
			next.Ranges[i].Until = now + c.options.Grant
		}
	}
	return next, changed || renew
}

// planRange returns one range with the changes that this instance should make. The
// caller holds mu.
func (c *Claimer) planRange(now timekeeper.Millis, i int, r Range, balance bool) Range {
	self := c.options.Self.ID
	h := c.held[i]
	current := h != nil && h.epoch == r.Epoch
	switch {
	case r.Owner == self && current && h.owner:
		return c.planOwned(now, i, r, h, balance)
	case r.Copy == self && current && c.copyReady(h) && (c.lost(r.Owner) || r.Handover) && !c.leaving:
		return c.takeOver(now, i, r)
	case c.leaving || c.placements[i].owner != self:
		return r
	case r.Owner == "":
		return c.takeOver(now, i, r)
	case c.orphaned(now, r, current):
		r = c.takeOver(now, i, r)
		r.AmnesicUntil = now + c.options.Retention
		return r
	}
	return r
}

func (c *Claimer) lost(id string) bool {
	p, ok := c.peers[id]
	return !ok || p.Lost
}

// orphaned reports whether the owner of a range is lost and the range grant has expired.
// A copy that is alive gets another margin to take over by itself.
func (c *Claimer) orphaned(now timekeeper.Millis, r Range, held bool) bool {
	end := r.Until + c.options.Margin
	if !c.lost(r.Copy) && r.Copy != c.options.Self.ID {
		end += c.options.Margin
	}
	ownerLost := c.lost(r.Owner) || r.Owner == c.options.Self.ID && !held
	return ownerLost && now > end
}

// takeOver makes this instance the owner under the next epoch. The caller holds mu.
func (c *Claimer) takeOver(now timekeeper.Millis, i int, r Range) Range {
	old := r.Owner
	r.Owner, r.Epoch, r.Handover, r.Until = c.options.Self.ID, r.Epoch+1, false, now+c.options.Grant
	r.Copy = c.copyFor(i, r.Owner)
	if c.placements[i].owner != r.Owner && c.peers[old].usable() {
		r.Copy = old
	}
	return r
}

// planOwned plans an owned range: it replaces an unusable copy, moves the range to its
// wanted placement and hands it over when leaving. The caller holds mu.
func (c *Claimer) planOwned(now timekeeper.Millis, i int, r Range, h *rangeState, balance bool) Range {
	wanted := c.copyFor(i, r.Owner)
	switch p := c.peers[r.Copy]; {
	case c.leaving && wanted == "":
		// Without a successor the next owner starts without claims; it must not grant
		// keys that this instance may have granted.
		if h.outstanding(now) {
			r.AmnesicUntil = now + c.options.Retention
		}
		r.Owner, r.Copy, r.Epoch, r.Until = "", "", r.Epoch+1, now
		return r
	case c.leaving && p.usable() && h.complete:
		r.Handover = true
	case !p.usable() && wanted != r.Copy, balance && wanted != r.Copy && (h.complete || r.Copy == ""):
		r.Copy, r.Epoch, r.Handover = wanted, r.Epoch+1, false
	case r.Copy != "" && r.Copy == c.placements[i].owner && h.complete && (balance || c.leaving):
		r.Handover = true
	}
	return r
}
