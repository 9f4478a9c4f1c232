package meter

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// The figures of sealed copies are kept for copySealWindows and at least for copySealTime,
// in case their source was declared dead but returns.
const (
	copySealWindows = 10
	copySealTime    = 10 * timekeeper.Minute
)

// maxConcurrentCollects is the maximum number of concurrent collect requests.
const maxConcurrentCollects = 16

// copyGraceWindows is the number of windows for which the counts of a dead instance
// are held back while an unresponsive instance may hold a newer copy of them.
const copyGraceWindows = 10

// LateWindows is the number of windows after its own in which a count with a copy is
// reported at the latest, once the instances answer: the counts of a dead instance are held
// back, or its stored copy is read, for that long.
const LateWindows = max(copyGraceWindows, stoppedReadWindows) + 2

// Member is an instance of the reporter's data centre and its membership state.
type Member struct {
	Source Source
	Live   bool
	Peer   Peer
}

// collection holds the counts that a reporter gathered for one window.
type collection struct {
	window timekeeper.Millis
	lines  totals
	late   totals
	marks  []Mark
}

// gather collects the counts of all live members, then the copies of dead members'
// counts and the counts that stopped instances stored.
func gather(ctx context.Context, members []Member, window, length timekeeper.Millis, marks []Mark, stopped []stoppedCounts) collection {
	c := collection{window: window, lines: totals{}, late: totals{}}
	for _, m := range marks {
		if window-m.Window > max(copySealWindows*length, copySealTime) {
			m.Copy = nil
		}
		if window-m.Window <= keepMarks {
			c.marks = append(c.marks, m)
		}
	}
	answers := collectFrom(ctx, members, func(Member) CollectRequest {
		return CollectRequest{Window: window, Marks: marks, Copies: []Source{}}
	})
	live := map[Source]bool{}
	holders := map[Source][]Member{}
	missing := false
	for i, m := range members {
		if !m.Live {
			continue
		}
		live[m.Source] = true
		if answers[i] == nil {
			missing = true
			continue
		}
		live[answers[i].Source] = true
		c.include(answers[i].Source, answers[i].Batches, answers[i].Closed, false, answers[i].Stored)
		for _, s := range answers[i].Held {
			holders[s] = append(holders[s], m)
		}
	}
	copies := map[Source][]Copy{}
	for _, l := range stopped {
		copies[l.Source] = append(copies[l.Source], l.Copy)
		holders[l.Source] = append([]Member(nil), holders[l.Source]...)
	}
	for _, l := range stopped {
		if l.fromSource && !live[l.Source] {
			c.includeRemainder(l.Copy)
		}
	}
	for s, held := range holders {
		if !live[s] {
			c.includeFromCopies(ctx, s, held, copies[s], missing, length)
		}
	}
	slices.SortFunc(c.marks, func(a, b Mark) int {
		if d := strings.Compare(a.Source.Instance, b.Source.Instance); d != 0 {
			return d
		}
		return int(a.Source.Incarnation - b.Source.Incarnation)
	})
	return c
}

// includeFromCopies includes the counts of a dead source from its copies. An
// unresponsive instance may hold the newest copy, so the counts are then held back
// for up to copyGraceWindows and reported as late.
func (c *collection) includeFromCopies(ctx context.Context, s Source, holders []Member, copies []Copy, missing bool, length timekeeper.Millis) {
	answers := collectFrom(ctx, holders, func(Member) CollectRequest {
		return CollectRequest{Window: c.window, Marks: []Mark{}, Copies: []Source{s}}
	})
	for _, a := range answers {
		if a == nil {
			missing = true
			continue
		}
		copies = append(copies, a.Copies...)
	}
	merged := map[timekeeper.Millis]totals{}
	oldest := c.window
	for _, held := range copies {
		for _, b := range held.Batches {
			if b.Window > c.window {
				continue
			}
			if merged[b.Window] == nil {
				merged[b.Window] = totals{}
			}
			oldest = min(oldest, b.Window)
			for _, u := range b.Lines {
				l, amounts := fromWire(u)
				merged[b.Window][l] = merged[b.Window][l].max(amounts)
			}
		}
	}
	if len(merged) == 0 || (missing && c.window-oldest < copyGraceWindows*length) {
		return
	}
	var batches []Batch
	for window, t := range merged {
		batches = append(batches, Batch{Window: window, Lines: t.lines()})
	}
	c.include(s, batches, c.window, true, false)
}

// include adds the batches of a source that are not sealed yet, what sealed copies lacked
// of the others, and advances the mark of the source. Stored means that the source has stored its counts for a planned
// stop: what copies that were sealed in its place lacked is still to be added from there.
func (c *collection) include(s Source, batches []Batch, closed timekeeper.Millis, copied, stored bool) {
	m, known := markOf(c.marks, s)
	if !known {
		m = Mark{Source: s, Window: -1}
	}
	var sealed []Batch
	for _, b := range batches {
		if b.Window <= m.Window {
			b = m.remainder(b)
		}
		switch {
		case b.Window > c.window || c.window-b.Window > keepCounts || len(b.Lines) == 0:
			continue
		case b.Window == c.window:
			c.lines.add(b.Lines)
		default:
			c.late.add(b.Lines)
		}
		sealed = append(sealed, b)
	}
	next := Mark{Source: s, Window: max(closed, m.Window)}
	switch {
	case m.Copy != nil && (copied || stored || closed <= m.Window):
		next.Copy = &CopySeal{After: m.Copy.After, Batches: append(slices.Clone(m.Copy.Batches), sealed...)}
	case copied && closed > m.Window:
		next.Copy = &CopySeal{After: m.Window, Batches: sealed}
	}
	if known || closed > m.Window {
		c.setMark(next)
	}
}

// includeRemainder adds, as late, the part of a stopped source's final counts that
// the copies sealed in their place lacked.
func (c *collection) includeRemainder(final Copy) {
	m, known := markOf(c.marks, final.Source)
	if !known || m.Copy == nil {
		return
	}
	seal := CopySeal{After: m.Copy.After, Batches: slices.Clone(m.Copy.Batches)}
	for _, b := range final.Batches {
		if rest := m.remainder(b); len(rest.Lines) > 0 {
			c.late.add(rest.Lines)
			seal.Batches = append(seal.Batches, rest)
		}
	}
	m.Copy = &seal
	c.setMark(m)
}

// setMark replaces the mark of a source.
func (c *collection) setMark(m Mark) {
	c.marks = slices.DeleteFunc(c.marks, func(old Mark) bool { return old.Source == m.Source })
	c.marks = append(c.marks, m)
}

// remainder returns the part of the source's own counts of a window that the copies
// sealed in their place lacked.
func (m Mark) remainder(own Batch) Batch {
	rest := Batch{Window: own.Window}
	if m.Copy == nil || own.Window <= m.Copy.After || own.Window > m.Window {
		return rest
	}
	sealed := totals{}
	for _, b := range m.Copy.Batches {
		if b.Window == own.Window {
			sealed.add(b.Lines)
		}
	}
	for _, u := range own.Lines {
		l, a := fromWire(u)
		if more := a.minus(sealed[l]).max(Amounts{}); more != (Amounts{}) {
			rest.Lines = append(rest.Lines, toWire(l, more))
		}
	}
	return rest
}

func (c *collection) figures() Figures {
	return Figures{Lines: c.lines.lines(), Late: c.late.lines()}
}

// collectFrom sends a request to each live member. The answer of a member is nil if
// it failed or is malformed.
func collectFrom(ctx context.Context, members []Member, request func(Member) CollectRequest) []*CollectAnswer {
	answers := make([]*CollectAnswer, len(members))
	slots := make(chan struct{}, maxConcurrentCollects)
	var group sync.WaitGroup
	for i, m := range members {
		if !m.Live {
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answer, err := m.Peer.Collect(ctx, request(m))
			if err == nil && answer.Check() == nil {
				answers[i] = &answer
			}
		})
	}
	group.Wait()
	return answers
}

// report returns the usage report of a sealed window for the platform.
func report(s Sealed, f Figures, epoch int64) storer.UsageReport {
	return storer.UsageReport{
		Window: s.DataCentre + "/" + WindowID(s.Start), DataCentre: s.DataCentre, Start: s.Start, End: s.End,
		Token: epoch, Lines: f.Lines, Late: f.Late,
	}
}
