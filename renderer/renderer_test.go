package renderer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func event(instance string, wall timekeeper.Millis, logical uint32, request string) recorder.Event {
	return recorder.Event{
		Code: recorder.RequestRefused, Name: "request-refused", Instance: instance, DataCentre: "dc-1",
		Stamp: timekeeper.Stamp{Wall: wall, Logical: logical}, Request: request, Cause: "<over-limit>",
	}
}

func timelines() []InstanceTimeline {
	return []InstanceTimeline{
		{Address: "a", Timeline: recorder.Timeline{Instance: "a", Dropped: 3, Events: []recorder.Event{event("a", 10, 0, "r1"), event("a", 30, 0, "r2")}}},
		{Address: "b", Timeline: recorder.Timeline{Instance: "b", Events: []recorder.Event{event("b", 10, 1, "r1"), event("b", 20, 0, "r3")}}},
		{Address: "c", Error: "connection refused"},
	}
}

// Guards against an effect shown before its cause, and against instances or spans
// that are missing and not reported.
func TestMergeOrdersAndNamesGaps(t *testing.T) {
	m := Merge(timelines())
	var order []string
	for _, e := range m.Events {
		order = append(order, e.Instance+e.Request)
	}
	assert.DeepEqual(t, order, []string{"ar1", "br1", "br3", "ar2"})
	assert.Equal(t, len(m.Gaps), 2)
	var text strings.Builder
	m.Text(&text)
	assert.Assert(t, strings.Contains(text.String(), "connection refused"))
	assert.Assert(t, strings.Contains(text.String(), "3 older events"))
}

// Guards against a filter that hides or lets through the wrong events.
func TestFilter(t *testing.T) {
	cases := map[string]struct {
		filter Filter
		want   int
	}{
		"all":            {Filter{}, 4},
		"request":        {Filter{Request: "r1"}, 2},
		"time":           {Filter{From: 20, To: 29}, 1},
		"no such target": {Filter{Target: "t"}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, len(Merge(timelines()).Filtered(tc.filter).Events), tc.want) })
	}
}

// Guards against causes that are rendered as markup, and against missing lanes.
func TestHTML(t *testing.T) {
	page := Merge(timelines()).HTML()
	assert.Assert(t, !strings.Contains(page, "<over-limit>"))
	assert.Assert(t, strings.Contains(page, "dc-1 / a") && strings.Contains(page, "dc-1 / b"))
	assert.Equal(t, strings.Count(page, "<circle cx=")-len(eventGroups), 4)
	assert.Assert(t, Merged{}.HTML() != "")
}
