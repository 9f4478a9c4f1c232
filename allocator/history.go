package allocator

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

const (
	// fineWidth and coarseWidth are the widths of the slots of the two histories, and
	// their lengths the longest lives that they serve.
	fineWidth   = 16 * timekeeper.Millisecond
	fineSlots   = 512
	coarseWidth = timekeeper.Second
	coarseSlots = 2048
	// maxLife is the longest time for which earned time is credited.
	maxLife = coarseWidth * (coarseSlots - 2)
)

// history holds what was earned, by the time at which it was earned.
type history struct {
	width  timekeeper.Millis
	slots  []float64
	newest timekeeper.Millis // Number of the newest slot.
}

func newHistory(width timekeeper.Millis, slots int) *history {
	return &history{width: width, slots: make([]float64, slots)}
}

// advance empties the slots that the time has come to.
func (h *history) advance(now timekeeper.Millis) {
	slot := now / h.width
	if slot-h.newest >= timekeeper.Millis(len(h.slots)) {
		clear(h.slots)
		h.newest = slot
	}
	for h.newest < slot {
		h.newest++
		h.slots[h.newest%timekeeper.Millis(len(h.slots))] = 0
	}
}

// add records what was earned evenly over a span; what is too old is dropped.
func (h *history) add(amount float64, from, to timekeeper.Millis) {
	oldest := h.newest - timekeeper.Millis(len(h.slots)) + 1
	total := float64(to - from + 1)
	for slot := max(from/h.width, oldest); slot <= min(to/h.width, h.newest); slot++ {
		first, last := max(from, slot*h.width), min(to, (slot+1)*h.width-1)
		h.slots[slot%timekeeper.Millis(len(h.slots))] += amount * float64(last-first+1) / total
	}
}

// since returns what was earned within the last span; a slot that begins before it is
// left out.
func (h *history) since(span, now timekeeper.Millis) float64 {
	sum := 0.0
	first := (now - span + h.width) / h.width
	for slot := max(first, h.newest-timekeeper.Millis(len(h.slots))+1, 0); slot <= h.newest; slot++ {
		sum += h.slots[slot%timekeeper.Millis(len(h.slots))]
	}
	return sum
}
