// Package meter counts usage on the instances that relay answers, replicates each
// count to one peer, seals each usage window exactly once and reports only sealed
// windows. A window is sealed when its figures are stored and can't change again.
package meter

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of metering.
var (
	// ErrNoCopy means that no peer accepted a copy of the counts.
	ErrNoCopy = errors.New("no peer holds a copy of the counts")
	// ErrFull means that an instance has reached its limit on held copies.
	ErrFull = errors.New("instance holds too many copies")
	// ErrSuperseded means that a reporter with a higher epoch has taken over.
	ErrSuperseded = errors.New("a reporter with a higher epoch has taken over")
	// ErrMalformed means that a message or a stored object is not well formed.
	ErrMalformed = errors.New("malformed usage")
)

// Default durations.
const (
	// Window is the length of a usage window.
	Window = timekeeper.Minute
	// CollectDelay is the delay between the end of a window and its collection.
	CollectDelay = 10 * timekeeper.Second
	// CopyInterval is the interval at which the counts of running streams are copied:
	// the longest time that they have no copy.
	CopyInterval = timekeeper.Second
)

// Retention times. Counts must be dropped before the marks that record them as
// sealed, or they would be sealed again.
const (
	keepCounts = 6 * 24 * timekeeper.Hour
	keepMarks  = 7 * 24 * timekeeper.Hour
	keepSealed = 8 * 24 * timekeeper.Hour
)

// Line is the key under which usage is counted.
type Line struct {
	Workspace string
	Key       string
	Model     string
	Route     string
}

// Amounts are the usage figures of one line.
type Amounts struct {
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
	Calls        int64
}

// plus returns the sum of a and b, figure by figure.
func (a Amounts) plus(b Amounts) Amounts {
	return Amounts{a.PromptTokens + b.PromptTokens, a.CachedTokens + b.CachedTokens, a.OutputTokens + b.OutputTokens, a.Calls + b.Calls}
}

// minus returns the difference of a and b, figure by figure.
func (a Amounts) minus(b Amounts) Amounts {
	return Amounts{a.PromptTokens - b.PromptTokens, a.CachedTokens - b.CachedTokens, a.OutputTokens - b.OutputTokens, a.Calls - b.Calls}
}

// max returns the larger value of each figure. It merges cumulative figures, which
// only grow.
func (a Amounts) max(b Amounts) Amounts {
	return Amounts{max(a.PromptTokens, b.PromptTokens), max(a.CachedTokens, b.CachedTokens), max(a.OutputTokens, b.OutputTokens), max(a.Calls, b.Calls)}
}

func toWire(l Line, a Amounts) storer.UsageLine {
	return storer.UsageLine{
		Workspace: l.Workspace, Key: l.Key, Model: l.Model, Route: l.Route,
		PromptTokens: a.PromptTokens, CachedTokens: a.CachedTokens, OutputTokens: a.OutputTokens, Calls: a.Calls,
	}
}

func fromWire(u storer.UsageLine) (Line, Amounts) {
	return Line{u.Workspace, u.Key, u.Model, u.Route}, Amounts{u.PromptTokens, u.CachedTokens, u.OutputTokens, u.Calls}
}

// totals maps each line to its figures.
type totals map[Line]Amounts

func (t totals) add(lines []storer.UsageLine) {
	for _, u := range lines {
		l, a := fromWire(u)
		t[l] = t[l].plus(a)
	}
}

func (t totals) lines() []storer.UsageLine {
	lines := make([]storer.UsageLine, 0, len(t))
	for l, a := range t {
		if a != (Amounts{}) {
			lines = append(lines, toWire(l, a))
		}
	}
	slices.SortFunc(lines, func(a, b storer.UsageLine) int {
		return strings.Compare(a.Workspace+"\x00"+a.Key+"\x00"+a.Model+"\x00"+a.Route, b.Workspace+"\x00"+b.Key+"\x00"+b.Model+"\x00"+b.Route)
	})
	return lines
}

// windowStart returns the start of the window that contains a time.
func windowStart(now, length timekeeper.Millis) timekeeper.Millis { return now - now%length }

func checkBatches(batches []Batch) error {
	for _, b := range batches {
		for _, u := range b.Lines {
			if min(u.PromptTokens, u.CachedTokens, u.OutputTokens, u.Calls) < 0 {
				return errors.Wrapf(ErrMalformed, "negative figures of workspace %q", u.Workspace)
			}
		}
	}
	return nil
}

// Check reports whether the request is well formed.
func (r CopyRequest) Check() error {
	if r.Source.Instance == "" {
		return errors.Wrap(ErrMalformed, "copy without a source")
	}
	return checkBatches(r.Batches)
}

// Check reports whether the request is well formed.
func (r CollectRequest) Check() error {
	if r.Window < 0 {
		return errors.Wrapf(ErrMalformed, "window %d", r.Window)
	}
	return nil
}

// Check reports whether the answer is well formed.
func (a CollectAnswer) Check() error {
	for _, c := range a.Copies {
		if err := checkBatches(c.Batches); err != nil {
			return err
		}
	}
	return checkBatches(a.Batches)
}

// markOf returns the mark of a source. Nothing of a source without a mark is sealed.
func markOf(marks []Mark, s Source) (Mark, bool) {
	i := slices.IndexFunc(marks, func(m Mark) bool { return m.Source == s })
	if i < 0 {
		return Mark{}, false
	}
	return marks[i], true
}
