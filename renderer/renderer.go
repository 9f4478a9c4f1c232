// Package renderer merges the timelines of instances in causal order and
// renders them as text, JSON or one self-contained page.
package renderer

import (
	"fmt"
	"io"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// InstanceTimeline is the timeline of one instance, or the reason why it is missing.
type InstanceTimeline struct {
	Address  string
	Error    string
	Timeline recorder.Timeline
}

// Gap is an instance, or a span of its events, that the merged timeline lacks.
type Gap struct {
	Address  string            `json:"address"`
	Instance string            `json:"instance,omitempty"`
	Until    timekeeper.Millis `json:"until,omitempty"`
	Reason   string            `json:"reason"`
}

// Merged is a timeline of several instances. It is immutable.
type Merged struct {
	Events []recorder.Event `json:"events"`
	Gaps   []Gap            `json:"gaps"`
}

// Merge joins timelines in the order of their stamps. Hybrid logical stamps sort an
// effect after its cause even when clocks differ.
func Merge(timelines []InstanceTimeline) Merged {
	m := Merged{Events: []recorder.Event{}, Gaps: []Gap{}}
	for _, p := range timelines {
		if p.Error != "" {
			m.Gaps = append(m.Gaps, Gap{Address: p.Address, Reason: p.Error})
			continue
		}
		m.Events = append(m.Events, p.Timeline.Events...)
		if p.Timeline.Dropped > 0 && len(p.Timeline.Events) > 0 {
			m.Gaps = append(m.Gaps, Gap{
				Address: p.Address, Instance: p.Timeline.Instance, Until: p.Timeline.Events[0].Stamp.Wall,
				Reason: fmt.Sprintf("%d older events are no longer kept", p.Timeline.Dropped),
			})
		}
	}
	sort.SliceStable(m.Events, func(i, j int) bool { return before(m.Events[i], m.Events[j]) })
	return m
}

// before orders by stamp, and by instance where stamps are equal, so that the order
// is deterministic.
func before(a, b recorder.Event) bool {
	if a.Stamp != b.Stamp {
		return a.Stamp.Before(b.Stamp)
	}
	return a.Instance < b.Instance
}

// Filter selects events. Empty fields select all; From and To are inclusive.
type Filter struct {
	Workspace string
	Target    string
	Request   string
	Order     string
	From      timekeeper.Millis
	To        timekeeper.Millis
}

func (f Filter) selects(e recorder.Event) bool {
	for _, pair := range [][2]string{
		{f.Workspace, e.Workspace}, {f.Target, e.Target}, {f.Request, e.Request}, {f.Order, e.Order},
	} {
		if pair[0] != "" && pair[0] != pair[1] {
			return false
		}
	}
	return e.Stamp.Wall >= f.From && (f.To == 0 || e.Stamp.Wall <= f.To)
}

// Filtered returns the timeline with only the events that the filter selects.
func (m Merged) Filtered(f Filter) Merged {
	selected := Merged{Events: []recorder.Event{}, Gaps: m.Gaps}
	for _, e := range m.Events {
		if f.selects(e) {
			selected.Events = append(selected.Events, e)
		}
	}
	return selected
}

// Text writes one line for each event, then the gaps.
func (m Merged) Text(w io.Writer) {
	for _, e := range m.Events {
		fmt.Fprintf(w, "%s  %-24s  %3d %-22s%s\n", e.Stamp, e.Instance, e.Code, e.Name, details(e))
	}
	for _, g := range m.Gaps {
		fmt.Fprintf(w, "missing: %s %s: %s\n", g.Address, g.Instance, g.Reason)
	}
}

func details(e recorder.Event) string {
	text := ""
	for _, pair := range [][2]string{
		{"request", e.Request}, {"order", e.Order}, {"workspace", e.Workspace}, {"target", e.Target}, {"cause", e.Cause},
	} {
		if pair[1] != "" {
			text += fmt.Sprintf(" %s=%q", pair[0], pair[1])
		}
	}
	return text
}
