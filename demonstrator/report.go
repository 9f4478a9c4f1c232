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

// drainGracePeriod is the time after the start of a drain during which requests may still arrive.
const drainGracePeriod = 2 * timekeeper.Second

// maxRequestTokens is an upper bound on the tokens of a request of the load. A broken
// answer is billed for the part that was served.
const maxRequestTokens = dossierBytes/4 + 64

// WorkspaceResult holds the results of one workspace.
type WorkspaceResult struct {
	Workspace          string  `json:"workspace"`
	Sent               int     `json:"sent"`
	SentLate           int     `json:"sent-late"`
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

// KilledInstance says what the killed instance took along: usage that had no copy.
type KilledInstance struct {
	Instance       string `json:"instance"`
	UncopiedCalls  int64  `json:"uncopied-calls"`
	UncopiedTokens int64  `json:"uncopied-tokens"`
}

// Report is the result of a demonstration.
type Report struct {
	Workspaces []WorkspaceResult `json:"workspaces"`
	Drained    string            `json:"drained-target"`
	Broken     []string          `json:"broken-promises"`
	Killed     KilledInstance    `json:"killed-instance"`
	// Timeline holds the events of the instances that were not killed.
	Timeline renderer.Merged `json:"-"`
}

func newReport(f *fleet, l *load, drained string) Report {
	r := Report{Drained: drained, Killed: f.killed()}
	byKey := reservationsByKey(f.reservations())
	ran := f.requestsThatRan()
	for _, w := range f.declaration.Workspaces {
		r.Workspaces = append(r.Workspaces, newWorkspaceResult(w.Name, l.tallies[w.Name], byKey, ran, f.billed(w.Name)))
	}
	sort.Slice(r.Workspaces, func(i, j int) bool { return r.Workspaces[i].Workspace < r.Workspaces[j].Workspace })
	r.Broken = f.brokenPromises(r, drained)
	for _, dataCentre := range l.unreported {
		r.Broken = append(r.Broken, fmt.Sprintf("%s: usage reports that were due did not come", dataCentre))
	}
	return r
}

func (f *fleet) killed() KilledInstance {
	for _, m := range f.members {
		if !m.alive() {
			return KilledInstance{m.atKill.Instance, m.atKill.UncopiedCalls, m.atKill.UncopiedTokens}
		}
	}
	return KilledInstance{}
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

// unreported returns the data centres with instances whose reports do not reach a time.
func (f *fleet) unreported(last timekeeper.Millis) []string {
	reached := map[string]timekeeper.Millis{}
	for _, report := range f.platform.Reports() {
		reached[report.DataCentre] = max(reached[report.DataCentre], report.End)
	}
	var missing []string
	for n := range min(dataCentres, len(f.declaration.DataCentres)) {
		if name := f.declaration.DataCentres[n].Name; reached[name] < last {
			missing = append(missing, name)
		}
	}
	return missing
}

// billed returns the tokens of a workspace in the usage reports. A window that is
// reported more than once counts once.
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

func newWorkspaceResult(workspace string, t *tally, byKey map[string][]faker.Reservation, ran map[string]bool, billed int64) WorkspaceResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := WorkspaceResult{
		Workspace: workspace, Sent: t.sent, SentLate: t.sentLate, Served: t.served, Refused: t.refused, Broken: t.broken,
		Goodput: float64(t.inTime) / float64(max(t.sent, 1)), SlowestFirstToken: t.slowestFirstToken.Milliseconds(),
		ServedTokens: t.tokens, BilledTokens: billed, WrongAnswers: t.wrong, LastRefusal: t.lastRefusal,
	}
	for key, reservations := range byKey {
		if !strings.HasPrefix(key, "reservation-"+workspace+"-") {
			continue
		}
		result.Reservations++
		result.Doubled += len(reservations) - 1
	}
	for key := range t.confirmed {
		if len(byKey[key]) == 0 {
			result.Lost++
		}
	}
	for id := range t.refusedNotRun {
		if ran[id] {
			result.FalseNotRunAnswers++
		}
	}
	return result
}

func (f *fleet) brokenPromises(r Report, drained string) []string {
	broken := []string{}
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for _, result := range r.Workspaces {
		if result.Doubled > 0 {
			add("%s: %d reservations doubled", result.Workspace, result.Doubled)
		}
		if result.Lost > 0 {
			add("%s: %d confirmed reservations lost", result.Workspace, result.Lost)
		}
		if result.WrongAnswers > 0 {
			add("%s: %d answers wrong", result.Workspace, result.WrongAnswers)
		}
		if result.BilledTokens < result.ServedTokens {
			add("%s: %d tokens served, only %d billed", result.Workspace, result.ServedTokens, result.BilledTokens)
		}
		if result.BilledTokens > result.ServedTokens+int64(result.Broken+result.Refused)*maxRequestTokens {
			add("%s: %d tokens served, but %d billed", result.Workspace, result.ServedTokens, result.BilledTokens)
		}
		if result.FalseNotRunAnswers > 0 {
			add("%s: %d requests said not-run but ran", result.Workspace, result.FalseNotRunAnswers)
		}
	}
	if late := f.requestsAfterDrain(drained); late > 0 {
		add("%s: %d requests arrived more than %s after its drain began", drained, late, drainGracePeriod)
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

// requestsAfterDrain counts requests that reached a draining engine after the grace period.
func (f *fleet) requestsAfterDrain(name string) int {
	engine, ok := f.engines[name]
	if !ok {
		return 0
	}
	f.mu.Lock()
	drainStart := f.drainStarts[name]
	f.mu.Unlock()
	count := 0
	for _, run := range engine.Runs() {
		if run.Arrived > drainStart+drainGracePeriod {
			count++
		}
	}
	return count
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

func (r Report) sentLate() int {
	late := 0
	for _, l := range r.Workspaces {
		late += l.SentLate
	}
	return late
}

// Write prints the report as a table.
func (r Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workspace\tsent\tlate\tserved\trefused\tbroken\tgoodput\tslowest first token\treservations\tdoubled\tlost\tserved tokens\tbilled tokens\t")
	for _, l := range r.Workspaces {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d ms\t%d\t%d\t%d\t%d\t%d\t\n",
			l.Workspace, l.Sent, l.SentLate, l.Served, l.Refused, l.Broken, l.Goodput, l.SlowestFirstToken,
			l.Reservations, l.Doubled, l.Lost, l.ServedTokens, l.BilledTokens)
	}
	table.Flush()
	fmt.Fprintf(w, "drained target: %s\n", r.Drained)
	fmt.Fprintf(w, "killed instance: %s, with %d calls and %d tokens that had no copy\n", r.Killed.Instance, r.Killed.UncopiedCalls, r.Killed.UncopiedTokens)
	if late := r.sentLate(); late > 0 {
		fmt.Fprintf(w, "%d requests were sent more than %s late by the callers themselves: this machine was busy, which lowers the figures above\n", late, sendDelay)
	}
	if len(r.Broken) == 0 {
		fmt.Fprintln(w, "promises broken: none")
		return
	}
	fmt.Fprintln(w, "promises broken:")
	for _, b := range r.Broken {
		fmt.Fprintf(w, "  %s\n", b)
	}
}
