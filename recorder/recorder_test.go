package recorder

import (
	"strconv"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against a docs/events.md that differs from the code; run with -update to rewrite it.
func TestDocumentMatchesPage(t *testing.T) {
	golden.Assert(t, Document(), "../../docs/events.md")
}

// Guards against two blocks that use one number: mergeEntries would drop an entry.
func TestCatalogueHasNoSharedNumbers(t *testing.T) {
	total := 0
	for _, block := range []map[Code]Entry{processEvents, requestEvents, targetEvents, membershipEvents, claimEvents, configurationEvents, authorityEvents, usageEvents} {
		total += len(block)
	}
	assert.Equal(t, total, len(Catalogue))
}

// Guards against a ring buffer that grows, changes the order of events or does not count those it drops.
func TestRingKeepsTheLastEvents(t *testing.T) {
	clock := timekeeper.NewManual(1).Clock()
	r := New(Origin{Instance: "a"}, timekeeper.NewStamper(clock), zap.NewNop(), 3)
	for i := range 5 {
		r.Record(Event{Code: ProcessStarted, Cause: strconv.Itoa(i)})
	}
	events, dropped := r.Events()
	assert.Equal(t, dropped, int64(2))
	assert.Equal(t, len(events), 3)
	for i, e := range events {
		assert.Equal(t, e.Cause, strconv.Itoa(i+2))
		if i > 0 {
			assert.Assert(t, events[i-1].Stamp.Before(e.Stamp))
		}
	}
}
