package claimer

import (
	"sort"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// States of a claim, and of an answer to a claim.
const (
	StateGranted    = "granted"
	StateInProgress = "in-progress"
	StateAnswered   = "answered"
	StateUnknown    = "unknown"
	StateReleased   = "released"
	StateKeyReused  = "key-reused"
	// StateRefused means that the owner is certain that the key has not run.
	StateRefused = "refused"
	// stateMoved means that another instance owns the range.
	stateMoved = "moved"
	// stateSettled means that owner and copy stored an outcome.
	stateSettled = "settled"
	// stateRetryLater means that the owner cannot answer the claim now, for example
	// because the copy is not ready; the key may have run.
	stateRetryLater = "later"
)

// claim is an entry with its replication state at the owner.
type claim struct {
	Entry
	copied  bool // the copy has acknowledged the current Seq
	copying bool // replication is in flight; the grant depends on its result
}

// rangeState is the state of a range that this instance owns or copies, under one epoch.
type rangeState struct {
	epoch          int64
	owner          bool
	complete       bool // the copy has the whole range and may take over
	lastPartSent   bool // owner: the copy may have received the whole range
	transferNumber int64
	receivedParts  map[int]bool
	claims         map[string]*claim
	seq            int64
}

func newRangeState(epoch int64, owner bool) *rangeState {
	return &rangeState{epoch: epoch, owner: owner, receivedParts: map[int]bool{}, claims: map[string]*claim{}}
}

// apply stores an entry from the owner unless a later change is known, and returns
// the change in answer bytes.
func (h *rangeState) apply(e Entry) (bytes int) {
	known := h.claims[e.Key]
	if known != nil && known.Seq >= e.Seq {
		return 0
	}
	if known != nil {
		bytes -= len(known.Answer)
	}
	h.claims[e.Key] = &claim{Entry: e}
	h.seq = max(h.seq, e.Seq)
	return bytes + len(e.Answer)
}

// find returns the claim of a key, or nil if there is none or it has expired.
func (h *rangeState) find(now timekeeper.Millis, key string) *claim {
	cl := h.claims[key]
	if cl == nil || now >= cl.Expires {
		return nil
	}
	return cl
}

// answer returns the answer to another claim of the same key.
func (cl *claim) answer(now timekeeper.Millis, digest string) ClaimAnswer {
	switch {
	case cl.Digest != digest:
		return ClaimAnswer{State: StateKeyReused}
	case cl.State == StateGranted && now < cl.Deadline:
		return ClaimAnswer{State: StateInProgress}
	case cl.State == StateAnswered:
		return ClaimAnswer{State: StateAnswered, Answer: cl.Answer}
	default:
		return ClaimAnswer{State: StateUnknown}
	}
}

// settle sets the outcome of a claim; a stored answer or a release is final.
func (h *rangeState) settle(cl *claim, m SettleMessage, expires timekeeper.Millis) {
	if cl.State == StateAnswered || cl.State == StateReleased || cl.State == m.State {
		return
	}
	h.seq++
	cl.State, cl.Answer, cl.Seq, cl.Expires = m.State, m.Answer, h.seq, expires
	cl.copied = false
}

// entries returns all claims sorted by key.
func (h *rangeState) entries() []Entry {
	list := make([]Entry, 0, len(h.claims))
	for _, cl := range h.claims {
		list = append(list, cl.Entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// outstanding reports whether losing the claims could let a key run twice.
func (h *rangeState) outstanding(now timekeeper.Millis) bool {
	for _, cl := range h.claims {
		if now < cl.Expires && cl.State != StateReleased {
			return true
		}
	}
	return false
}

// removeExpired deletes claims past the retention time and returns the bytes freed.
func (h *rangeState) removeExpired(now timekeeper.Millis) (bytes int) {
	for key, cl := range h.claims {
		if now >= cl.Expires && !cl.copying {
			bytes += len(cl.Answer)
			delete(h.claims, key)
		}
	}
	return bytes
}

// copyReady reports whether the copy of a range may confirm claims and take over:
// only after it received the whole range.
func (c *Claimer) copyReady(h *rangeState) bool { return h.complete || c.options.allowIncompleteCopy }
