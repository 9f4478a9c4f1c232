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

// copyEntry takes in one entry as the copy of a range. An owner of an old epoch is
// refused from the moment at which this instance knows of a newer one.
func (c *Claimer) copyEntry(m CopyMessage) CopyAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.copyHolding(m.Range, m.Epoch)
	if !ok {
		return CopyAnswer{Outcome: outcomeStale}
	}
	if h == nil || !h.complete {
		if !c.options.countEarly {
			return CopyAnswer{Outcome: outcomeIncomplete}
		}
		if h == nil {
			h = newHolding(m.Epoch, false)
			c.held[m.Range] = h
		}
	}
	c.bytes += h.apply(m.Entry)
	return CopyAnswer{Outcome: outcomeTaken}
}

// copyHolding returns the holding of a range as copy under an epoch, or nil if
// there is none yet; false means that the epoch is old. The caller holds mu.
func (c *Claimer) copyHolding(i int, epoch int64) (*holding, bool) {
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

// takePart takes in one part of a transferred range.
func (c *Claimer) takePart(m TransferMessage) CopyAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.copyHolding(m.Range, m.Epoch)
	if !ok || c.leaving {
		return CopyAnswer{Outcome: outcomeStale}
	}
	if h == nil {
		// Entries of an older epoch may be ahead of the new owner's: they go.
		c.drop(m.Range)
		h = newHolding(m.Epoch, false)
		c.held[m.Range] = h
	}
	if m.Transfer < h.transfer {
		return CopyAnswer{Outcome: outcomeStale}
	}
	if m.Transfer > h.transfer {
		h.transfer, h.parts = m.Transfer, map[int]bool{}
	}
	for _, e := range m.Entries {
		c.bytes += h.apply(e)
	}
	h.parts[m.Part] = true
	if len(h.parts) >= m.Parts {
		h.complete = true
	}
	return CopyAnswer{Outcome: outcomeTaken}
}

// drop forgets a range. The caller holds mu.
func (c *Claimer) drop(i int) {
	if h := c.held[i]; h != nil {
		for _, it := range h.items {
			c.bytes -= len(it.Answer)
		}
		delete(c.held, i)
	}
}

type checked interface{ Check() error }

// handle decodes and checks a message before f answers it.
func handle[M checked](f func(context.Context, M) any) func(context.Context, json.RawMessage) (any, error) {
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

// Check implements checked.
func (refreshMessage) Check() error { return nil }

// Handlers returns the functions that answer the messages of other instances, by method.
func (c *Claimer) Handlers() map[string]func(context.Context, json.RawMessage) (any, error) {
	return map[string]func(context.Context, json.RawMessage) (any, error){
		MethodClaim:    handle(func(ctx context.Context, m ClaimMessage) any { return c.grant(ctx, m) }),
		MethodSettle:   handle(func(ctx context.Context, m SettleMessage) any { return c.settle(ctx, m) }),
		MethodCopy:     handle(func(_ context.Context, m CopyMessage) any { return c.copyEntry(m) }),
		MethodTransfer: handle(func(_ context.Context, m TransferMessage) any { return c.takePart(m) }),
		MethodRefresh:  handle(func(_ context.Context, _ refreshMessage) any { c.Changed(); return struct{}{} }),
	}
}

func check(ok bool, what string) error {
	if ok {
		return nil
	}
	return errors.Wrap(ErrInvalidMessage, what)
}

func name(s string) bool { return s != "" && len(s) <= maxNameBytes }

// Check reports whether a received message is well formed.
func (m ClaimMessage) Check() error {
	return check(name(m.Key) && name(m.ID) && name(m.Digest) && m.Deadline > 0, "claim")
}

// Check reports whether a received message is well formed.
func (m SettleMessage) Check() error {
	known := m.State == StateAnswered || m.State == StateUnknown || m.State == StateReleased
	return check(name(m.Key) && name(m.ID) && known && len(m.Answer) <= MaxAnswerBytes, "settlement")
}

// Check reports whether a received entry is well formed.
func (e Entry) Check() error {
	known := e.State == StateGranted || e.State == StateAnswered || e.State == StateUnknown || e.State == StateReleased
	return check(name(e.Key) && name(e.ID) && name(e.Digest) && known && e.Seq > 0 && len(e.Answer) <= MaxAnswerBytes, "entry")
}

// Check reports whether a received message is well formed.
func (m CopyMessage) Check() error {
	if m.Range < 0 || m.Range >= maxRanges || m.Epoch <= 0 {
		return check(false, "copy")
	}
	return m.Entry.Check()
}

// Check reports whether a received message is well formed.
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

// Check reports whether a table that was read is well formed.
func (t Table) Check() error {
	if len(t.Ranges) == 0 || len(t.Ranges) > maxRanges {
		return check(false, "table without ranges")
	}
	for _, r := range t.Ranges {
		if r.Epoch <= 0 || len(r.Owner) > maxNameBytes || len(r.Copy) > maxNameBytes {
			return check(false, "range of the table")
		}
	}
	return nil
}
