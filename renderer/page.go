package renderer

import (
	"fmt"
	"html"
	"sort"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Sizes of the chart in pixels, and limits on what the page shows.
const (
	laneHeight   = 44
	headerHeight = 40
	labelWidth   = 190
	chartWidth   = 1100
	markerRadius = 4
	timeTicks    = 6
	maxMarkers   = 20000
	maxTableRows = 2000
	labelSpacing = 90
	rightMargin  = 150
)

// eventGroup is a range of event numbers that share a colour.
type eventGroup struct {
	first  recorder.Code
	name   string
	colour string
}

var eventGroups = []eventGroup{
	{100, "process", "#4b5563"}, {200, "requests", "#60a5fa"}, {300, "targets", "#d97706"},
	{400, "membership", "#7c3aed"}, {500, "claims", "#0d9488"}, {600, "configuration and keys", "#15803d"},
	{700, "leases, roles and orders", "#b91c1c"}, {800, "usage", "#a16207"},
}

func groupOf(code recorder.Code) eventGroup {
	found := eventGroups[0]
	for _, g := range eventGroups {
		if code >= g.first {
			found = g
		}
	}
	return found
}

// hasLabel reports whether an event gets a text label in the chart.
func hasLabel(e recorder.Event) bool {
	return e.Code >= 300 && e.Code < 400 || e.Code >= 600 && e.Code < 800 || e.Code < 200
}

// chart draws events along a time axis, in one lane for each instance.
type chart struct {
	lanes map[string]int
	names []string
	from  timekeeper.Millis
	to    timekeeper.Millis
}

func newChart(events []recorder.Event) chart {
	c := chart{lanes: map[string]int{}}
	seen := map[string]bool{}
	for n, e := range events {
		if n == 0 || e.Stamp.Wall < c.from {
			c.from = e.Stamp.Wall
		}
		c.to = max(c.to, e.Stamp.Wall)
		if name := laneName(e); !seen[name] {
			seen[name] = true
			c.names = append(c.names, name)
		}
	}
	sort.Strings(c.names)
	for n, name := range c.names {
		c.lanes[name] = n
	}
	c.to = max(c.to, c.from+1)
	return c
}

func laneName(e recorder.Event) string { return e.DataCentre + " / " + e.Instance }

func (c chart) x(t timekeeper.Millis) float64 {
	return labelWidth + float64(t-c.from)/float64(c.to-c.from)*chartWidth
}

func (c chart) y(e recorder.Event) int {
	return headerHeight + c.lanes[laneName(e)]*laneHeight + laneHeight/2
}

// HTML renders one self-contained page: a chart with a lane for each instance and a
// table of events.
func (m Merged) HTML() string {
	var b strings.Builder
	b.WriteString(pageHead)
	c := newChart(m.Events)
	c.svg(&b, m.Events)
	m.gaps(&b)
	m.table(&b)
	b.WriteString("</body></html>\n")
	return b.String()
}

func (c chart) svg(b *strings.Builder, events []recorder.Event) {
	height := headerHeight + len(c.names)*laneHeight + 30
	fmt.Fprintf(b, `<svg width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", labelWidth+chartWidth+rightMargin, height)
	c.legend(b)
	c.grid(b, height)
	for n, name := range c.names {
		y := headerHeight + n*laneHeight + laneHeight/2
		fmt.Fprintf(b, `<line x1="%d" x2="%d" y1="%d" y2="%d" stroke="#d1d5db"/>`, labelWidth, labelWidth+chartWidth, y, y)
		fmt.Fprintf(b, `<text x="4" y="%d">%s</text>`+"\n", y+4, html.EscapeString(name))
	}
	nextLabelX := map[string]float64{}
	for n, e := range events {
		if n >= maxMarkers {
			break
		}
		c.marker(b, e, nextLabelX)
	}
	b.WriteString("</svg>\n")
}

func (c chart) legend(b *strings.Builder) {
	x := labelWidth
	for _, group := range eventGroups {
		fmt.Fprintf(b, `<circle cx="%d" cy="12" r="5" fill="%s"/><text x="%d" y="16">%s</text>`, x, group.colour, x+9, group.name)
		x += 30 + 7*len(group.name)
	}
	b.WriteString("\n")
}

func (c chart) grid(b *strings.Builder, height int) {
	for n := range timeTicks + 1 {
		t := c.from + (c.to-c.from)*timekeeper.Millis(n)/timeTicks
		x := c.x(t)
		fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#f3f4f6"/>`, x, x, headerHeight-8, height-24)
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle" fill="#6b7280">%s</text>`+"\n", x, height-8, t.Time().Format("15:04:05.000"))
	}
}

// marker draws one event. Refusals and warnings are drawn larger, and a label is
// drawn where the lane has room for it.
func (c chart) marker(b *strings.Builder, e recorder.Event, nextLabelX map[string]float64) {
	x, y := c.x(e.Stamp.Wall), c.y(e)
	radius := markerRadius
	stroke := "none"
	if e.Code == recorder.RequestRefused || recorder.Catalogue[e.Code].Level >= 1 {
		radius, stroke = markerRadius+2, "#111827"
	}
	fmt.Fprintf(b, `<circle cx="%.1f" cy="%d" r="%d" fill="%s" fill-opacity="0.75" stroke="%s"><title>%s</title></circle>`,
		x, y, radius, groupOf(e.Code).colour, stroke, html.EscapeString(fmt.Sprintf("%s %d %s%s", e.Stamp, e.Code, e.Name, details(e))))
	lane := laneName(e)
	if hasLabel(e) && x >= nextLabelX[lane] {
		fmt.Fprintf(b, `<text x="%.1f" y="%d" fill="%s">%s</text>`, x, y-9, groupOf(e.Code).colour, html.EscapeString(label(e)))
		nextLabelX[lane] = x + labelSpacing
	}
	b.WriteString("\n")
}

func label(e recorder.Event) string {
	if e.Target != "" {
		return e.Name + " " + e.Target
	}
	return e.Name
}

func (m Merged) gaps(b *strings.Builder) {
	if len(m.Gaps) == 0 {
		b.WriteString("<p>No instance and no span is missing.</p>\n")
		return
	}
	b.WriteString("<h2>Missing</h2><ul>\n")
	for _, g := range m.Gaps {
		fmt.Fprintf(b, "<li>%s %s: %s</li>\n", html.EscapeString(g.Address), html.EscapeString(g.Instance), html.EscapeString(g.Reason))
	}
	b.WriteString("</ul>\n")
}

func (m Merged) table(b *strings.Builder) {
	events := m.Events
	if len(events) > maxTableRows {
		fmt.Fprintf(b, "<p>The table shows the last %d of %d events.</p>\n", maxTableRows, len(events))
		events = events[len(events)-maxTableRows:]
	}
	b.WriteString("<table><tr><th>time</th><th>instance</th><th>event</th><th>name</th><th>request</th><th>order</th><th>workspace</th><th>target</th><th>cause</th></tr>\n")
	for _, e := range events {
		fmt.Fprintf(b, "<tr><td>%s</td><td>%s</td><td>%d</td>", e.Stamp, html.EscapeString(e.Instance), e.Code)
		for _, cell := range []string{e.Name, e.Request, e.Order, e.Workspace, e.Target, e.Cause} {
			fmt.Fprintf(b, "<td>%s</td>", html.EscapeString(cell))
		}
		b.WriteString("</tr>\n")
	}
	b.WriteString("</table>\n")
}

const pageHead = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>gypsumwharf time line</title>
<style>body{font-family:sans-serif;font-size:13px;margin:16px}table{border-collapse:collapse;font-size:12px}
td,th{border-bottom:1px solid #e5e7eb;padding:2px 8px;text-align:left;white-space:nowrap}</style></head><body>
<h1>Time line</h1>
`
