package demonstrator

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/renderer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// leaveBound is the time after which a leaving target gets no new work.
const leaveBound = 2 * timekeeper.Second

// maxRequestTokens is above the tokens of any request of the load: a broken
// answer is billed as far as it was served.
const maxRequestTokens = dossierBytes/4 + 64

// Line is what became of one workspace.
type Line struct {
	Workspace          string  `json:"workspace"`
	Sent               int     `json:"sent"`
	Served             int     `json:"served"`
	Refused            int     `json:"refused"`
	Broken             int     `json:"broken"`
	Goodput            float64 `json:"goodput"`
	SlowestFirstToken  int64   `json:"slowest-first-token-milliseconds"`
	Reservations       int     `json:"reservations"`
	Doubled            int     `json:"doubled"`
	Lost               int     `json:"lost"`
	ServedTokens       int64   `json:"served-tokens"`
	BilledTokens       int64   `json:"billed-tokens"`
	WrongAnswers       int     `json:"wrong-answers"`
	LastRefusal        string  `json:"last-refusal,omitempty"`
	FalseNotRunAnswers int     `json:"false-not-run"`
}

// Report is the result of a demonstration.
type Report struct {
	Lines   []Line   `json:"workspaces"`
	Drained string   `json:"drained-target"`
	Broken  []string `json:"broken-promises"`
	// Timeline holds the events of the instances that lived to the end.
	Timeline renderer.Merged `json:"-"`
}

func newReport(f *fleet, l *load, drained string) Report {
	r := Report{Drained: drained}
	made := reservationsByKey(f.reservations())
	ran := f.requestsThatRan()
	for _, w := range f.declaration.Workspaces {
		r.Lines = append(r.Lines, newLine(w.Name, l.tallies[w.Name], made, ran, f.billed(w.Name)))
	}
	sort.Slice(r.Lines, func(i, j int) bool { return r.Lines[i].Workspace < r.Lines[j].Workspace })
	r.Broken = f.brokenPromises(r, drained)
	return r
}

func reservationsByKey(all []faker.Reservation) map[string][]faker.Reservation {
	byKey := map[string][]faker.Reservation{}
	for _, reservation := range all {
		byKey[reservation.IdempotencyKey] = append(byKey[reservation.IdempotencyKey], reservation)
	}
	return byKey
}

// requestsThatRan returns the ids of all requests that reached a target.
func (f *fleet) requestsThatRan() map[string]bool {
	ran := map[string]bool{}
	for _, e := range f.engines {
		for _, run := range e.Runs() {
			ran[run.Request] = true
		}
	}
	for _, b := range f.bookings {
		for _, run := range b.Runs() {
			ran[run.Request] = true
		}
	}
	return ran
}

// billed returns the tokens of a workspace in the usage reports, each window once.
func (f *fleet) billed(workspace string) int64 {
	var tokens int64
	seen := map[string]bool{}
	for _, report := range f.platform.Reports() {
		if seen[report.Window] {
			continue
		}
		seen[report.Window] = true
		for _, line := range append(report.Lines, report.Late...) {
			if line.Workspace == workspace {
				tokens += line.PromptTokens + line.OutputTokens
			}
		}
	}
	return tokens
}

func newLine(workspace string, t *tally, made map[string][]faker.Reservation, ran map[string]bool, billed int64) Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := Line{
		Workspace: workspace, Sent: t.sent, Served: t.served, Refused: t.refused, Broken: t.broken,
		Goodput: float64(t.inTime) / float64(max(t.sent, 1)), SlowestFirstToken: t.slowest.Milliseconds(),
		ServedTokens: t.tokens, BilledTokens: billed, WrongAnswers: t.wrong, LastRefusal: t.lastRefusal,
	}
	for key, reservations := range made {
		if !strings.HasPrefix(key, "reservation-"+workspace+"-") {
			continue
		}
		line.Reservations++
		line.Doubled += len(reservations) - 1
	}
	for key := range t.confirmed {
		if len(made[key]) == 0 {
			line.Lost++
		}
	}
	for id := range t.refusedNotRun {
		if ran[id] {
			line.FalseNotRunAnswers++
		}
	}
	return line
}

func (f *fleet) brokenPromises(r Report, drained string) []string {
	broken := []string{}
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for _, line := range r.Lines {
		if line.Doubled > 0 {
			add("%s: %d reservations doubled", line.Workspace, line.Doubled)
		}
		if line.Lost > 0 {
			add("%s: %d confirmed reservations lost", line.Workspace, line.Lost)
		}
		if line.WrongAnswers > 0 {
			add("%s: %d answers wrong", line.Workspace, line.WrongAnswers)
		}
		if line.BilledTokens < line.ServedTokens {
			add("%s: %d tokens served, only %d billed", line.Workspace, line.ServedTokens, line.BilledTokens)
		}
		if line.BilledTokens > line.ServedTokens+int64(line.Broken+line.Refused)*maxRequestTokens {
			add("%s: %d tokens served, but %d billed", line.Workspace, line.ServedTokens, line.BilledTokens)
		}
		if line.FalseNotRunAnswers > 0 {
			add("%s: %d requests said not-run but ran", line.Workspace, line.FalseNotRunAnswers)
		}
	}
	if late := f.lateWork(drained); late > 0 {
		add("%s: %d requests arrived more than %s after it began to leave", drained, late, leaveBound)
	}
	for _, control := range f.controls {
		for _, conflict := range control.Conflicts() {
			add("conflicting orders: %s", conflict)
		}
	}
	if exposed := f.exposedKeys(); exposed > 0 {
		add("%d requests carried an access key to a target", exposed)
	}
	return broken
}

// lateWork counts requests that reached a leaving engine after the bound.
func (f *fleet) lateWork(name string) int {
	engine, ok := f.engines[name]
	if !ok {
		return 0
	}
	f.mu.Lock()
	left := f.leave[name]
	f.mu.Unlock()
	late := 0
	for _, run := range engine.Runs() {
		if run.Arrived > left+leaveBound {
			late++
		}
	}
	return late
}

// exposedKeys counts requests at targets that carry a caller's key.
func (f *fleet) exposedKeys() int {
	exposed := 0
	count := func(runs []faker.Run) {
		for _, run := range runs {
			for _, values := range run.Header {
				if strings.Contains(strings.Join(values, " "), "example-") {
					exposed++
				}
			}
		}
	}
	for _, e := range f.engines {
		count(e.Runs())
	}
	for _, b := range f.bookings {
		count(b.Runs())
	}
	return exposed
}

// Write prints the report as a table.
func (r Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workspace\tsent\tserved\trefused\tbroken\tgoodput\tslowest first token\treservations\tdoubled\tlost\tserved tokens\tbilled tokens\t")
	for _, l := range r.Lines {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.3f\t%d ms\t%d\t%d\t%d\t%d\t%d\t\n",
			l.Workspace, l.Sent, l.Served, l.Refused, l.Broken, l.Goodput, l.SlowestFirstToken,
			l.Reservations, l.Doubled, l.Lost, l.ServedTokens, l.BilledTokens)
	}
	table.Flush()
	fmt.Fprintf(w, "drained target: %s\n", r.Drained)
	if len(r.Broken) == 0 {
		fmt.Fprintln(w, "promises broken: none")
		return
	}
	fmt.Fprintln(w, "promises broken:")
	for _, b := range r.Broken {
		fmt.Fprintf(w, "  %s\n", b)
	}
}
