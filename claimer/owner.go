package claimer

import (
	"context"

	"github.com/gypsumwharf/gypsumwharf/recorder"
)

// grant answers a claim as the owner of its range: it records the claim, has the
// copy acknowledge it under the same epoch, then grants it.
func (c *Claimer) grant(ctx context.Context, m ClaimMessage) ClaimAnswer {
	now := c.options.Clock.Now()
	c.mu.Lock()
	i, h := c.owned(m.Key)
	if h == nil {
		c.mu.Unlock()
		return ClaimAnswer{State: stateMoved}
	}
	r := c.table.Ranges[i]
	it := h.find(now, m.Key)
	if it != nil && !it.reusable(m) {
		answer := it.answer(now, m.Digest)
		c.mu.Unlock()
		return answer
	}
	if refusal := c.refusal(h, r, it != nil); refusal != nil {
		c.mu.Unlock()
		return *refusal
	}
	if it == nil || it.ID != m.ID {
		h.seq++
		it = &item{Entry: Entry{
			Key: m.Key, ID: m.ID, Digest: m.Digest, State: StateGranted,
			Deadline: m.Deadline, Expires: max(m.Deadline, now) + c.options.Retention, Seq: h.seq,
		}}
		h.items[m.Key] = it
	}
	if it.copied || r.Copy == "" {
		it.copied = true
		c.mu.Unlock()
		return ClaimAnswer{State: StateGranted}
	}
	it.copying = true
	entry := it.Entry
	c.mu.Unlock()

	outcome := c.copyOut(ctx, i, h.epoch, r.Copy, entry)
	now = c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	it.copying = false
	if _, still := c.owned(m.Key); still != h || h.items[m.Key] != it || h.epoch != c.table.Ranges[i].Epoch || r.Epoch != h.epoch {
		return ClaimAnswer{State: stateMoved}
	}
	if outcome != outcomeTaken || it.Seq != entry.Seq {
		return ClaimAnswer{State: stateLater, Reason: "copy " + outcome}
	}
	it.copied = true
	if now >= r.Until {
		return ClaimAnswer{State: StateUnknown, Reason: "range grant ended"}
	}
	c.event(recorder.ClaimGranted, m.ID)
	return ClaimAnswer{State: StateGranted}
}

// reusable reports whether a claim may be granted to an operation: it is its own
// claim, one that was never granted, or one that was released.
func (it *item) reusable(m ClaimMessage) bool {
	switch {
	case it.Digest != m.Digest && it.State != StateReleased, it.copying:
		return false
	case it.ID == m.ID:
		return it.State == StateGranted
	default:
		return it.State == StateReleased
	}
}

// refusal returns why a range cannot grant now. It says that the key has not run
// only while this instance is the sole authority on the range. The caller holds mu.
func (c *Claimer) refusal(h *holding, r Range, known bool) *ClaimAnswer {
	now := c.options.Clock.Now()
	switch {
	case now >= r.Until:
		return &ClaimAnswer{State: StateUnknown, Reason: "range grant ended"}
	case !known && now < r.AmnesicUntil:
		return &ClaimAnswer{State: StateUnknown, Reason: "claims of the range were lost"}
	case r.Copy != "" && !c.counts(h) && (known || h.sentLast):
		return &ClaimAnswer{State: stateLater, Reason: "copy incomplete"}
	case r.Copy != "" && !c.counts(h):
		// A copy that was never sent the last part cannot have taken the range over.
		return &ClaimAnswer{State: StateRefused, Reason: "copy incomplete"}
	case len(h.items) >= c.options.MaxEntries:
		return &ClaimAnswer{State: stateLater, Reason: "too many claims"}
	}
	return nil
}

// owned returns the range of a key and its holding if this instance owns it. The caller holds mu.
func (c *Claimer) owned(key string) (int, *holding) {
	if len(c.table.Ranges) == 0 {
		return 0, nil
	}
	i := rangeOf(key, len(c.table.Ranges))
	h := c.held[i]
	if h == nil || !h.owner || h.epoch != c.table.Ranges[i].Epoch {
		return i, nil
	}
	return i, h
}

// settle answers a settlement as the owner of its range.
func (c *Claimer) settle(ctx context.Context, m SettleMessage) ClaimAnswer {
	now := c.options.Clock.Now()
	c.mu.Lock()
	i, h := c.owned(m.Key)
	if h == nil {
		c.mu.Unlock()
		return ClaimAnswer{State: stateMoved}
	}
	it := h.find(now, m.Key)
	if it == nil || it.ID != m.ID {
		c.mu.Unlock()
		return ClaimAnswer{State: StateUnknown, Reason: "claim not known"}
	}
	if m.State == StateAnswered && (len(m.Answer) > MaxAnswerBytes || c.bytes+len(m.Answer) > c.options.MaxBytes) {
		m.State, m.Answer = StateUnknown, nil
	}
	c.bytes -= len(it.Answer)
	h.settle(it, m, now+c.options.Retention)
	c.bytes += len(it.Answer)
	r, entry := c.table.Ranges[i], it.Entry
	if r.Copy == "" || it.copied {
		c.mu.Unlock()
		return ClaimAnswer{State: stateSettled}
	}
	c.mu.Unlock()
	if outcome := c.copyOut(ctx, i, h.epoch, r.Copy, entry); outcome != outcomeTaken {
		return ClaimAnswer{State: stateLater, Reason: "copy " + outcome}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if it.Seq == entry.Seq {
		it.copied = true
	}
	return ClaimAnswer{State: stateSettled}
}

// Outcomes of a message to a copy.
const (
	outcomeTaken      = "taken"
	outcomeStale      = "stale"
	outcomeIncomplete = "incomplete"
	outcomeSilent     = "silent"
)

// copyOut brings an entry to the copy and returns the outcome.
func (c *Claimer) copyOut(ctx context.Context, i int, epoch int64, id string, e Entry) string {
	c.mu.Lock()
	address := c.peers[id].Address
	c.mu.Unlock()
	var a CopyAnswer
	if err := c.call(ctx, address, MethodCopy, CopyMessage{Range: i, Epoch: epoch, Entry: e}, &a); err != nil {
		return outcomeSilent
	}
	c.heed(i, epoch, a.Outcome)
	return a.Outcome
}

// heed reacts to a copy that does not count this instance as owner.
func (c *Claimer) heed(i int, epoch int64, outcome string) {
	if outcome == outcomeTaken {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[i]
	if h == nil || h.epoch != epoch || !h.owner {
		return
	}
	if outcome == outcomeStale {
		c.dirty = true
	}
	if outcome == outcomeIncomplete {
		h.complete = false
	}
	c.nudge()
}

const transferEntries = 256

// transferAll brings every owned range whose copy does not count yet to its copy.
func (c *Claimer) transferAll(ctx context.Context) {
	c.mu.Lock()
	var waiting []int
	for i, r := range c.table.Ranges {
		if h := c.held[i]; h != nil && h.owner && h.epoch == r.Epoch && r.Copy != "" && !c.counts(h) && !c.peers[r.Copy].Lost {
			waiting = append(waiting, i)
		}
	}
	c.mu.Unlock()
	silent := map[string]bool{}
	for _, i := range waiting {
		c.mu.Lock()
		to := ""
		if i < len(c.table.Ranges) {
			to = c.table.Ranges[i].Copy
		}
		c.mu.Unlock()
		if !silent[to] && !c.transfer(ctx, i) {
			silent[to] = true
		}
	}
}

// transfer brings a whole range to its copy; only then the copy counts. It
// reports whether the copy answered.
func (c *Claimer) transfer(ctx context.Context, i int) bool {
	c.mu.Lock()
	h, r := c.held[i], c.table.Ranges[i]
	if h == nil || !h.owner || h.epoch != r.Epoch || r.Copy == "" {
		c.mu.Unlock()
		return true
	}
	h.transfer++
	entries, address := h.entries(), c.peers[r.Copy].Address
	m := TransferMessage{Range: i, Epoch: h.epoch, Transfer: h.transfer, Parts: (len(entries)+transferEntries-1)/transferEntries + 1}
	c.mu.Unlock()
	for ; m.Part < m.Parts; m.Part++ {
		m.Entries = entries[min(len(entries), m.Part*transferEntries):min(len(entries), (m.Part+1)*transferEntries)]
		c.mu.Lock()
		h.sentLast = h.sentLast || m.Part == m.Parts-1
		c.mu.Unlock()
		var a CopyAnswer
		if err := c.call(ctx, address, MethodTransfer, m, &a); err != nil {
			return false
		}
		if a.Outcome != outcomeTaken {
			c.heed(i, m.Epoch, a.Outcome)
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[i] == h && h.owner && h.epoch == m.Epoch && h.transfer == m.Transfer {
		h.complete = true
		for _, e := range entries {
			if it := h.items[e.Key]; it != nil && it.Seq == e.Seq {
				it.copied = true
			}
		}
	}
	return true
}
