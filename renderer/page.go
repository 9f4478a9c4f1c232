package renderer

import (
	"fmt"
	"html"
	"sort"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Measures of the picture, in pixels.
const (
	laneHeight  = 44
	headHeight  = 40
	labelWidth  = 190
	chartWidth  = 1100
	markRadius  = 4
	ticks       = 6
	maxMarks    = 20000
	maxListed   = 2000
	labelSpread = 90
	rightMargin = 150
)

// block is a group of event numbers that share a colour.
type block struct {
	from   recorder.Code
	name   string
	colour string
}

var blocks = []block{
	{100, "process", "#4b5563"}, {200, "requests", "#60a5fa"}, {300, "targets", "#d97706"},
	{400, "membership", "#7c3aed"}, {500, "claims", "#0d9488"}, {600, "configuration and keys", "#15803d"},
	{700, "leases, roles and orders", "#b91c1c"}, {800, "usage", "#a16207"},
}

func blockOf(code recorder.Code) block {
	found := blocks[0]
	for _, b := range blocks {
		if code >= b.from {
			found = b
		}
	}
	return found
}

// labelled are events that are written out in the picture, besides all warnings.
func labelled(e recorder.Event) bool {
	return e.Code >= 300 && e.Code < 400 || e.Code >= 600 && e.Code < 800 || e.Code < 200
}

// chart places events on lanes.
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
	return headHeight + c.lanes[laneName(e)]*laneHeight + laneHeight/2
}

// HTML renders one self-contained page: a lane for each instance and a table of events.
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
	height := headHeight + len(c.names)*laneHeight + 30
	fmt.Fprintf(b, `<svg width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", labelWidth+chartWidth+rightMargin, height)
	c.legend(b)
	c.grid(b, height)
	for n, name := range c.names {
		y := headHeight + n*laneHeight + laneHeight/2
		fmt.Fprintf(b, `<line x1="%d" x2="%d" y1="%d" y2="%d" stroke="#d1d5db"/>`, labelWidth, labelWidth+chartWidth, y, y)
		fmt.Fprintf(b, `<text x="4" y="%d">%s</text>`+"\n", y+4, html.EscapeString(name))
	}
	labelledUntil := map[string]float64{}
	for n, e := range events {
		if n >= maxMarks {
			break
		}
		c.mark(b, e, labelledUntil)
	}
	b.WriteString("</svg>\n")
}

func (c chart) legend(b *strings.Builder) {
	x := labelWidth
	for _, group := range blocks {
		fmt.Fprintf(b, `<circle cx="%d" cy="12" r="5" fill="%s"/><text x="%d" y="16">%s</text>`, x, group.colour, x+9, group.name)
		x += 30 + 7*len(group.name)
	}
	b.WriteString("\n")
}

func (c chart) grid(b *strings.Builder, height int) {
	for n := range ticks + 1 {
		t := c.from + (c.to-c.from)*timekeeper.Millis(n)/ticks
		x := c.x(t)
		fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#f3f4f6"/>`, x, x, headHeight-8, height-24)
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle" fill="#6b7280">%s</text>`+"\n", x, height-8, t.Time().Format("15:04:05.000"))
	}
}

// mark draws one event; refusals and warnings are drawn larger, and a label is
// written where the lane has room for it.
func (c chart) mark(b *strings.Builder, e recorder.Event, labelledUntil map[string]float64) {
	x, y := c.x(e.Stamp.Wall), c.y(e)
	radius := markRadius
	stroke := "none"
	if e.Code == recorder.RequestRefused || recorder.Catalogue[e.Code].Level >= 1 {
		radius, stroke = markRadius+2, "#111827"
	}
	fmt.Fprintf(b, `<circle cx="%.1f" cy="%d" r="%d" fill="%s" fill-opacity="0.75" stroke="%s"><title>%s</title></circle>`,
		x, y, radius, blockOf(e.Code).colour, stroke, html.EscapeString(fmt.Sprintf("%s %d %s%s", e.Stamp, e.Code, e.Name, details(e))))
	lane := laneName(e)
	if labelled(e) && x >= labelledUntil[lane] {
		fmt.Fprintf(b, `<text x="%.1f" y="%d" fill="%s">%s</text>`, x, y-9, blockOf(e.Code).colour, html.EscapeString(label(e)))
		labelledUntil[lane] = x + labelSpread
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
	if len(events) > maxListed {
		fmt.Fprintf(b, "<p>The table shows the last %d of %d events.</p>\n", maxListed, len(events))
		events = events[len(events)-maxListed:]
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
