package meter

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

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
	for _, b := range batches {
		switch {
		case b.Window > c.window || (known && b.Window <= m.Window) || c.window-b.Window > keepCounts:
		case b.Window == c.window:
			c.lines.add(b.Lines)
		default:
			c.late.add(b.Lines)
		}
	}
	if known && closed <= m.Window {
		return
	}
	c.marks = slices.DeleteFunc(c.marks, func(m Mark) bool { return m.Source == s })
	c.marks = append(c.marks, Mark{Source: s, Window: closed, Copied: copied})
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
