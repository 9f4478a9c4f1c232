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
	// stateSettled means that owner and copy took an outcome.
	stateSettled = "settled"
	// stateLater means that the owner knows the claim but cannot copy it now.
	stateLater = "later"
)

// item is an entry with what its owner knows about its copy.
type item struct {
	Entry
	copied  bool // the copy acknowledged this version
	copying bool // the claim is being copied and will be granted or not
}

// holding is a range that this instance owns or copies, under one epoch.
type holding struct {
	epoch    int64
	owner    bool
	complete bool // the copy has the whole range and counts
	sentLast bool // owner: the copy may believe that it is complete
	transfer int64
	parts    map[int]bool
	items    map[string]*item
	seq      int64
}

func newHolding(epoch int64, owner bool) *holding {
	return &holding{epoch: epoch, owner: owner, parts: map[int]bool{}, items: map[string]*item{}}
}

// apply takes in an entry from the owner unless a later change is known.
func (h *holding) apply(e Entry) (bytes int) {
	known := h.items[e.Key]
	if known != nil && known.Seq >= e.Seq {
		return 0
	}
	if known != nil {
		bytes -= len(known.Answer)
	}
	h.items[e.Key] = &item{Entry: e}
	h.seq = max(h.seq, e.Seq)
	return bytes + len(e.Answer)
}

// find returns the claim of a key, if it is remembered at now.
func (h *holding) find(now timekeeper.Millis, key string) *item {
	it := h.items[key]
	if it == nil || now >= it.Expires {
		return nil
	}
	return it
}

// answer tells a caller that repeats a key what is known about it.
func (it *item) answer(now timekeeper.Millis, digest string) ClaimAnswer {
	switch {
	case it.Digest != digest:
		return ClaimAnswer{State: StateKeyReused}
	case it.State == StateGranted && now < it.Deadline:
		return ClaimAnswer{State: StateInProgress}
	case it.State == StateAnswered:
		return ClaimAnswer{State: StateAnswered, Answer: it.Answer}
	default:
		return ClaimAnswer{State: StateUnknown}
	}
}

// settle moves a claim to its outcome; the first answer is final.
func (h *holding) settle(it *item, m SettleMessage, expires timekeeper.Millis) {
	if it.State == StateAnswered || it.State == StateReleased || it.State == m.State {
		return
	}
	h.seq++
	it.State, it.Answer, it.Seq, it.Expires = m.State, m.Answer, h.seq, expires
	it.copied = false
}

// entries returns all claims in order of key.
func (h *holding) entries() []Entry {
	list := make([]Entry, 0, len(h.items))
	for _, it := range h.items {
		list = append(list, it.Entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// outstanding reports whether the loss of the claims could let a key run twice.
func (h *holding) outstanding(now timekeeper.Millis) bool {
	for _, it := range h.items {
		if now < it.Expires && it.State != StateReleased {
			return true
		}
	}
	return false
}

// forget drops claims past the retention time and returns the bytes freed.
func (h *holding) forget(now timekeeper.Millis) (bytes int) {
	for key, it := range h.items {
		if now >= it.Expires && !it.copying {
			bytes += len(it.Answer)
			delete(h.items, key)
		}
	}
	return bytes
}

// counts reports whether the copy of a range counts: only after it has the whole range.
func (c *Claimer) counts(h *holding) bool { return h.complete || c.options.countEarly }
