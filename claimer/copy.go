package claimer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// Methods of the messages between instances.
const (
	MethodClaim    = "claim"
	MethodCopy     = "claim-copy"
	MethodSettle   = "claim-settle"
	MethodTransfer = "claim-transfer"
	MethodRefresh  = "claim-refresh"
)

const (
	maxNameBytes = 256
	maxRanges    = 1 << 16
	maxParts     = 1 << 16
)

// storeEntry stores one entry as the copy of a range. An owner with an old epoch is
// refused as soon as this instance knows a newer epoch.
func (c *Claimer) storeEntry(m CopyMessage) CopyAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.copyState(m.Range, m.Epoch)
	if !ok {
		return CopyAnswer{Outcome: outcomeStale}
	}
	if h == nil || !h.complete {
		if !c.options.allowIncompleteCopy {
			return CopyAnswer{Outcome: outcomeIncomplete}
		}
		if h == nil {
			h = newRangeState(m.Epoch, false)
			c.held[m.Range] = h
		}
	}
	c.answerBytes += h.apply(m.Entry)
	return CopyAnswer{Outcome: outcomeAccepted}
}

// copyState returns the state of a range that this instance copies under an epoch, or
// nil if there is none yet; false means that the epoch is stale. The caller holds mu.
func (c *Claimer) copyState(i int, epoch int64) (*rangeState, bool) {
	if i < len(c.table.Ranges) && c.table.Ranges[i].Epoch > epoch {
		return nil, false
	}
	h := c.held[i]
	switch {
	case h == nil || h.epoch < epoch:
		return nil, true
	case h.epoch > epoch || h.owner:
		return nil, false
	default:
		return h, true
	}
}

// storePart stores one part of a transferred range.
func (c *Claimer) storePart(m TransferMessage) CopyAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.copyState(m.Range, m.Epoch)
	if !ok || c.leaving {
		return CopyAnswer{Outcome: outcomeStale}
	}
	if h == nil {
		// Entries of an older epoch are dropped: their sequence numbers may be higher
		// than the new owner's.
		c.dropRange(m.Range)
		h = newRangeState(m.Epoch, false)
		c.held[m.Range] = h
	}
	if m.Transfer < h.transferNumber {
		return CopyAnswer{Outcome: outcomeStale}
	}
	if m.Transfer > h.transferNumber {
		h.transferNumber, h.receivedParts = m.Transfer, map[int]bool{}
	}
	for _, e := range m.Entries {
		c.answerBytes += h.apply(e)
	}
	h.receivedParts[m.Part] = true
	if len(h.receivedParts) >= m.Parts {
		h.complete = true
	}
	return CopyAnswer{Outcome: outcomeAccepted}
}

// dropRange removes the claims of a range from memory. The caller holds mu.
func (c *Claimer) dropRange(i int) {
	if h := c.held[i]; h != nil {
		for _, cl := range h.claims {
			c.answerBytes -= len(cl.Answer)
		}
		delete(c.held, i)
	}
}

type checker interface{ Check() error }

// handle returns a handler that decodes and validates a message and answers it with f.
func handle[M checker](f func(context.Context, M) any) func(context.Context, json.RawMessage) (any, error) {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var m M
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, errors.Wrap(ErrInvalidMessage, err.Error())
		}
		if err := m.Check(); err != nil {
			return nil, err
		}
		return f(ctx, m), nil
	}
}

type refreshMessage struct{}

// Check implements checker.
func (refreshMessage) Check() error { return nil }

// Handlers returns the handlers for messages from other instances, by method.
func (c *Claimer) Handlers() map[string]func(context.Context, json.RawMessage) (any, error) {
	return map[string]func(context.Context, json.RawMessage) (any, error){
		MethodClaim:    handle(func(ctx context.Context, m ClaimMessage) any { return c.grant(ctx, m) }),
		MethodSettle:   handle(func(ctx context.Context, m SettleMessage) any { return c.settle(ctx, m) }),
		MethodCopy:     handle(func(_ context.Context, m CopyMessage) any { return c.storeEntry(m) }),
		MethodTransfer: handle(func(_ context.Context, m TransferMessage) any { return c.storePart(m) }),
		MethodRefresh:  handle(func(_ context.Context, _ refreshMessage) any { c.InvalidateTable(); return struct{}{} }),
	}
}

func check(ok bool, subject string) error {
	if ok {
		return nil
	}
	return errors.Wrap(ErrInvalidMessage, subject)
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// Check returns an error if a received message is malformed.
func (m ClaimMessage) Check() error {
	return check(validName(m.Key) && validName(m.ID) && validName(m.Digest) && m.Deadline > 0, "claim")
}

// Check returns an error if a received message is malformed.
func (m SettleMessage) Check() error {
	known := m.State == StateAnswered || m.State == StateUnknown || m.State == StateReleased
	return check(validName(m.Key) && validName(m.ID) && known && len(m.Answer) <= MaxAnswerBytes, "settlement")
}

// Check returns an error if a received entry is malformed.
func (e Entry) Check() error {
	known := e.State == StateGranted || e.State == StateAnswered || e.State == StateUnknown || e.State == StateReleased
	return check(validName(e.Key) && validName(e.ID) && validName(e.Digest) && known && e.Seq > 0 && len(e.Answer) <= MaxAnswerBytes, "entry")
}

// Check returns an error if a received message is malformed.
func (m CopyMessage) Check() error {
	if m.Range < 0 || m.Range >= maxRanges || m.Epoch <= 0 {
		return check(false, "copy")
	}
	return m.Entry.Check()
}

// Check returns an error if a received message is malformed.
func (m TransferMessage) Check() error {
	if m.Range < 0 || m.Range >= maxRanges || m.Epoch <= 0 || m.Part < 0 || m.Part >= m.Parts || m.Parts > maxParts || len(m.Entries) > transferEntries {
		return check(false, "transfer")
	}
	for _, e := range m.Entries {
		if err := e.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error if a stored table is malformed.
func (t Table) Check() error {
	if len(t.Ranges) == 0 || len(t.Ranges) > maxRanges {
		return check(false, "range table is empty or has too many ranges")
	}
	for _, r := range t.Ranges {
		if r.Epoch <= 0 || len(r.Owner) > maxNameBytes || len(r.Copy) > maxNameBytes {
			return check(false, "range table has a range with an invalid epoch or a too long owner or copy id")
		}
	}
	return nil
}
