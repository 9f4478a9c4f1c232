package emulator

import "sort"

// Result holds the outcome of one run.
type Result struct {
	Site, Pattern        string
	Policy               Policy
	Seed                 uint64
	Requests             int
	InTime               int
	Late                 int
	Refused              int      // Includes answers after the deadline.
	RecomputedTokens     int      // Shared tokens prefilled more than once.
	Seconds              []Credit // By the second of arrival.
	records              []requestRecord
	sharedPrefilled      int
	distinctSharedTokens int
}

// Credit is what served requests earned, of the maximum that all requests could earn.
type Credit struct{ Earned, Owed float64 }

// Ratio returns the earned share, 1 if none is owed.
func (s Credit) Ratio() float64 {
	if s.Owed == 0 {
		return 1
	}
	return s.Earned / s.Owed
}

type requestRecord struct {
	kind, tokens int
	served       bool
	request      *request
}

func newResult(s Site, p Pattern, policy Policy, seed uint64) Result {
	r := Result{Site: s.Name, Pattern: p.Name, Policy: policy, Seed: seed, Seconds: make([]Credit, int(p.Seconds)+1)}
	for _, k := range s.Kinds {
		r.distinctSharedTokens += k.Sessions * k.SharedTokens
	}
	return r
}

func (r *Result) creditAt(q *request) *Credit {
	return &r.Seconds[min(int(q.sentAt/1000), len(r.Seconds)-1)]
}

func (r *Result) recordRequest(q *request) {
	r.Requests++
	r.creditAt(q).Owed++
	r.records = append(r.records, requestRecord{kind: q.kindIndex, tokens: q.prompt.Input, request: q})
}

func (r *Result) recordAnswer(q *request, latency float64) {
	switch {
	case latency <= float64(q.kind.TargetLatency):
		r.InTime++
		r.creditAt(q).Earned++
	case latency <= float64(q.kind.Deadline):
		r.Late++
		r.creditAt(q).Earned += q.kind.LateCredit
	default:
		r.Refused++
		return
	}
	q.served = true
}

func (r *Result) recordRefusal() { r.Refused++ }

// recordSharedPrefill counts prefilled shared tokens; the first prefill of each is
// necessary, any further one is recomputation.
func (r *Result) recordSharedPrefill(tokens int) {
	r.sharedPrefilled += tokens
	r.RecomputedTokens = max(r.sharedPrefilled-r.distinctSharedTokens, 0)
}

// Credit returns the share of credit earned by requests that arrived in the seconds
// [from, to).
func (r Result) Credit(from, to int) float64 {
	var sum Credit
	for i := from; i < min(to, len(r.Seconds)); i++ {
		sum.Earned += r.Seconds[i].Earned
		sum.Owed += r.Seconds[i].Owed
	}
	return sum.Ratio()
}

// Overall returns the share of credit earned over the whole run.
func (r Result) Overall() float64 { return r.Credit(0, len(r.Seconds)) }

// Worst returns the lowest credit over any interval of the given length in seconds.
func (r Result) Worst(span int) float64 {
	worst := 1.0
	for i := 0; i+span < len(r.Seconds); i++ {
		worst = min(worst, r.Credit(i, i+span))
	}
	return worst
}

// LargestTenth returns the served share of the largest tenth of a kind's prompts, and
// of all prompts of the kind.
func (r Result) LargestTenth(kind int) (largest, all float64) {
	var list []requestRecord
	for _, s := range r.records {
		if s.kind == kind {
			s.served = s.request.served
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].tokens > list[j].tokens })
	share := func(part []requestRecord) float64 {
		served := 0
		for _, s := range part {
			if s.served {
				served++
			}
		}
		return float64(served) / float64(max(len(part), 1))
	}
	return share(list[:(len(list)+9)/10]), share(list)
}
