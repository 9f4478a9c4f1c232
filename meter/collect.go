package meter

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// restWindows is how many windows the figures of sealed copies are kept for a
// source that seemed dead and returns; membership notices a living one within seconds.
const restWindows = 10

// collectCalls is how many instances are asked at once.
const collectCalls = 16

// copyGraceWindows is how many windows the counts of a dead instance wait for
// instances that do not answer and may hold a newer copy.
const copyGraceWindows = 10

// Member is an instance of the reporter's data centre as membership knows it.
type Member struct {
	Source Source
	Live   bool
	Peer   Peer
}

// collection is what a reporter gathered for one window.
type collection struct {
	window timekeeper.Millis
	lines  totals
	late   totals
	marks  []Mark
}

// gather asks all live members, then fetches the copies of dead ones and adds
// what stopped ones left in the store.
func gather(ctx context.Context, members []Member, window, length timekeeper.Millis, marks []Mark, stored []left) collection {
	c := collection{window: window, lines: totals{}, late: totals{}}
	for _, m := range marks {
		if window-m.Window > restWindows*length {
			m.Copy = nil
		}
		if window-m.Window <= keepMarks {
			c.marks = append(c.marks, m)
		}
	}
	answers := ask(ctx, members, func(Member) CollectRequest {
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
		c.include(answers[i].Source, answers[i].Batches, answers[i].Closed, false)
		for _, s := range answers[i].Held {
			holders[s] = append(holders[s], m)
		}
	}
	copies := map[Source][]Copy{}
	for _, l := range stored {
		copies[l.Source] = append(copies[l.Source], l.Copy)
		holders[l.Source] = append([]Member(nil), holders[l.Source]...)
	}
	for _, l := range stored {
		if l.final && !live[l.Source] {
			c.includeRest(l.Copy)
		}
	}
	for s, held := range holders {
		if !live[s] {
			c.recover(ctx, s, held, copies[s], missing, length)
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

// recover includes the counts of a dead source from its copies. While an
// instance does not answer, it may hold the newest copy: the counts then wait and become late.
func (c *collection) recover(ctx context.Context, s Source, holders []Member, copies []Copy, missing bool, length timekeeper.Millis) {
	answers := ask(ctx, holders, func(Member) CollectRequest {
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
	c.include(s, batches, c.window, true)
}

// include adds the batches of a source that no earlier window includes.
func (c *collection) include(s Source, batches []Batch, closed timekeeper.Millis, copied bool) {
	m, known := markOf(c.marks, s)
	if !known {
		m = Mark{Source: s, Window: -1}
	}
	var sealed []Batch
	for _, b := range batches {
		switch {
		case b.Window > c.window || b.Window <= m.Window || c.window-b.Window > keepCounts:
			continue
		case b.Window == c.window:
			c.lines.add(b.Lines)
		default:
			c.late.add(b.Lines)
		}
		sealed = append(sealed, b)
	}
	if closed <= m.Window {
		return
	}
	next := Mark{Source: s, Window: closed}
	if copied {
		next.Copy = &CopySeal{After: m.Window, Batches: sealed}
		if m.Copy != nil {
			next.Copy.After, next.Copy.Batches = m.Copy.After, append(slices.Clone(m.Copy.Batches), sealed...)
		}
	}
	c.setMark(next)
}

// includeRest adds, as late, what the last counts of a stopped source hold beyond
// the copies that were sealed in their place.
func (c *collection) includeRest(final Copy) {
	m, known := markOf(c.marks, final.Source)
	if !known || m.Copy == nil {
		return
	}
	seal := CopySeal{After: m.Copy.After, Batches: slices.Clone(m.Copy.Batches)}
	for _, b := range final.Batches {
		if rest := m.rest(b); len(rest.Lines) > 0 {
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

// rest returns what the source's own counts of a window hold beyond the copies
// that were sealed in their place.
func (m Mark) rest(own Batch) Batch {
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

// ask sends a request to each live member; an answer is nil where none came.
func ask(ctx context.Context, members []Member, request func(Member) CollectRequest) []*CollectAnswer {
	answers := make([]*CollectAnswer, len(members))
	slots := make(chan struct{}, collectCalls)
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

// report returns what the platform receives for a sealed window.
func report(s Sealed, f Figures, epoch int64) storer.UsageReport {
	return storer.UsageReport{
		Window: s.DataCentre + "/" + WindowID(s.Start), DataCentre: s.DataCentre, Start: s.Start, End: s.End,
		Token: epoch, Lines: f.Lines, Late: f.Late,
	}
}
