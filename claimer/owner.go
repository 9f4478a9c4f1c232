package claimer

import (
	"context"

	"github.com/gypsumwharf/gypsumwharf/recorder"
)

// grant answers a claim as the owner of its range: it records the claim, waits for
// the copy to acknowledge it under the same epoch, then grants it.
func (c *Claimer) grant(ctx context.Context, m ClaimMessage) ClaimAnswer {
	now := c.options.Clock.Now()
	c.mu.Lock()
	i, h := c.owned(m.Key)
	if h == nil {
		c.mu.Unlock()
		return ClaimAnswer{State: stateMoved}
	}
	r := c.table.Ranges[i]
	cl := h.find(now, m.Key)
	if cl != nil && !cl.grantableTo(m) {
		answer := cl.answer(now, m.Digest)
		c.mu.Unlock()
		return answer
	}
	if refusal := c.refusal(h, r, cl != nil); refusal != nil {
		c.mu.Unlock()
		return *refusal
	}
	if cl == nil || cl.ID != m.ID {
		h.seq++
		cl = &claim{Entry: Entry{
			Key: m.Key, ID: m.ID, Digest: m.Digest, State: StateGranted,
			Deadline: m.Deadline, Expires: max(m.Deadline, now) + c.options.Retention, Seq: h.seq,
		}}
		h.claims[m.Key] = cl
	}
	if cl.copied || r.Copy == "" {
		cl.copied = true
		c.mu.Unlock()
		return ClaimAnswer{State: StateGranted}
	}
	cl.copying = true
	entry := cl.Entry
	c.mu.Unlock()

	outcome := c.replicate(ctx, i, h.epoch, r.Copy, entry)
	now = c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	cl.copying = false
	if _, current := c.owned(m.Key); current != h || h.claims[m.Key] != cl || h.epoch != c.table.Ranges[i].Epoch || r.Epoch != h.epoch {
		return ClaimAnswer{State: stateMoved}
	}
	if outcome != outcomeAccepted || cl.Seq != entry.Seq {
		return ClaimAnswer{State: stateRetryLater, Reason: "copy " + outcome}
	}
	cl.copied = true
	if now >= r.Until {
		return ClaimAnswer{State: StateUnknown, Reason: "range grant ended"}
	}
	c.event(recorder.ClaimGranted, m.ID)
	return ClaimAnswer{State: StateGranted}
}

// grantableTo reports whether a known claim may be granted to an operation: it is the
// operation's own unsettled claim, or one that was released.
func (cl *claim) grantableTo(m ClaimMessage) bool {
	switch {
	case cl.Digest != m.Digest && cl.State != StateReleased, cl.copying:
		return false
	case cl.ID == m.ID:
		return cl.State == StateGranted
	default:
		return cl.State == StateReleased
	}
}

// refusal returns an answer if the range cannot grant now, or nil. It says that the key
// has not run only while no other instance can own the range. The caller holds mu.
func (c *Claimer) refusal(h *rangeState, r Range, known bool) *ClaimAnswer {
	now := c.options.Clock.Now()
	switch {
	case now >= r.Until:
		return &ClaimAnswer{State: StateUnknown, Reason: "range grant ended"}
	case !known && now < r.AmnesicUntil:
		return &ClaimAnswer{State: StateUnknown, Reason: "claims of the range were lost"}
	case r.Copy != "" && !c.copyReady(h) && (known || h.lastPartSent):
		return &ClaimAnswer{State: stateRetryLater, Reason: "copy incomplete"}
	case r.Copy != "" && !c.copyReady(h):
		// A copy that was never sent the last part cannot have taken over the range.
		return &ClaimAnswer{State: StateRefused, Reason: "copy incomplete"}
	case len(h.claims) >= c.options.MaxEntries:
		return &ClaimAnswer{State: stateRetryLater, Reason: "too many claims"}
	}
	return nil
}

// owned returns the range of a key, and its state if this instance owns it. The caller holds mu.
func (c *Claimer) owned(key string) (int, *rangeState) {
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
	cl := h.find(now, m.Key)
	if cl == nil || cl.ID != m.ID {
		c.mu.Unlock()
		return ClaimAnswer{State: StateUnknown, Reason: "claim not known"}
	}
	if m.State == StateAnswered && (len(m.Answer) > MaxAnswerBytes || c.answerBytes+len(m.Answer) > c.options.MaxBytes) {
		m.State, m.Answer = StateUnknown, nil
	}
	c.answerBytes -= len(cl.Answer)
	h.settle(cl, m, now+c.options.Retention)
	c.answerBytes += len(cl.Answer)
	r, entry := c.table.Ranges[i], cl.Entry
	if r.Copy == "" || cl.copied {
		c.mu.Unlock()
		return ClaimAnswer{State: stateSettled}
	}
	c.mu.Unlock()
	if outcome := c.replicate(ctx, i, h.epoch, r.Copy, entry); outcome != outcomeAccepted {
		return ClaimAnswer{State: stateRetryLater, Reason: "copy " + outcome}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl.Seq == entry.Seq {
		cl.copied = true
	}
	return ClaimAnswer{State: stateSettled}
}

// Outcomes of a message to a copy.
const (
	outcomeAccepted   = "taken"
	outcomeStale      = "stale"
	outcomeIncomplete = "incomplete"
	outcomeNoAnswer   = "silent"
)

// replicate sends an entry to the copy and returns the outcome.
func (c *Claimer) replicate(ctx context.Context, i int, epoch int64, id string, e Entry) string {
	c.mu.Lock()
	address := c.peers[id].Address
	c.mu.Unlock()
	var a CopyAnswer
	if err := c.call(ctx, address, MethodCopy, CopyMessage{Range: i, Epoch: epoch, Entry: e}, &a); err != nil {
		return outcomeNoAnswer
	}
	c.handleCopyOutcome(i, epoch, a.Outcome)
	return a.Outcome
}

// handleCopyOutcome reacts to a copy that did not accept a message: a stale epoch
// causes a read of the table, an incomplete copy another transfer.
func (c *Claimer) handleCopyOutcome(i int, epoch int64, outcome string) {
	if outcome == outcomeAccepted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[i]
	if h == nil || h.epoch != epoch || !h.owner {
		return
	}
	if outcome == outcomeStale {
		c.tableStale = true
	}
	if outcome == outcomeIncomplete {
		h.complete = false
	}
	c.wakeUp()
}

const transferEntries = 256

// transferAll sends every owned range whose copy is not ready yet to that copy.
func (c *Claimer) transferAll(ctx context.Context) {
	c.mu.Lock()
	var pending []int
	for i, r := range c.table.Ranges {
		if h := c.held[i]; h != nil && h.owner && h.epoch == r.Epoch && r.Copy != "" && !c.copyReady(h) && !c.peers[r.Copy].Lost {
			pending = append(pending, i)
		}
	}
	c.mu.Unlock()
	unresponsive := map[string]bool{}
	for _, i := range pending {
		c.mu.Lock()
		copyID := ""
		if i < len(c.table.Ranges) {
			copyID = c.table.Ranges[i].Copy
		}
		c.mu.Unlock()
		if !unresponsive[copyID] && !c.transfer(ctx, i) {
			unresponsive[copyID] = true
		}
	}
}

// transfer sends a whole range to its copy, which is ready only after the last part.
// It reports whether the copy answered.
func (c *Claimer) transfer(ctx context.Context, i int) bool {
	c.mu.Lock()
	h, r := c.held[i], c.table.Ranges[i]
	if h == nil || !h.owner || h.epoch != r.Epoch || r.Copy == "" {
		c.mu.Unlock()
		return true
	}
	h.transferNumber++
	entries, address := h.entries(), c.peers[r.Copy].Address
	m := TransferMessage{Range: i, Epoch: h.epoch, Transfer: h.transferNumber, Parts: (len(entries)+transferEntries-1)/transferEntries + 1}
	c.mu.Unlock()
	for ; m.Part < m.Parts; m.Part++ {
		m.Entries = entries[min(len(entries), m.Part*transferEntries):min(len(entries), (m.Part+1)*transferEntries)]
		c.mu.Lock()
		h.lastPartSent = h.lastPartSent || m.Part == m.Parts-1
		c.mu.Unlock()
		var a CopyAnswer
		if err := c.call(ctx, address, MethodTransfer, m, &a); err != nil {
			return false
		}
		if a.Outcome != outcomeAccepted {
			c.handleCopyOutcome(i, m.Epoch, a.Outcome)
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[i] == h && h.owner && h.epoch == m.Epoch && h.transferNumber == m.Transfer {
		h.complete = true
		for _, e := range entries {
			if cl := h.claims[e.Key]; cl != nil && cl.Seq == e.Seq {
				cl.copied = true
			}
		}
	}
	return true
}
