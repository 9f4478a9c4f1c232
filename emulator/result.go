package emulator

import "sort"

// Result is what came of one run.
type Result struct {
	Site, Pattern  string
	Policy         Policy
	Seed           uint64
	Asked          int
	InTime         int
	Late           int
	Refused        int     // Also those whose callers left.
	ReadAgain      int     // Shared tokens read more than once.
	Seconds        []Share // By the second of arrival.
	sizes          []sized
	read           int
	differentParts int
}

// Share is credit earned of credit owed.
type Share struct{ Earned, Owed float64 }

// Of returns the share.
func (s Share) Of() float64 {
	if s.Owed == 0 {
		return 1
	}
	return s.Earned / s.Owed
}

type sized struct {
	kind, tokens int
	served       bool
	request      *request
}

func newResult(s Site, p Pattern, policy Policy, seed uint64) Result {
	r := Result{Site: s.Name, Pattern: p.Name, Policy: policy, Seed: seed, Seconds: make([]Share, int(p.Seconds)+1)}
	for _, k := range s.Kinds {
		r.differentParts += k.Sessions * k.Shared
	}
	return r
}

func (r *Result) second(q *request) *Share {
	return &r.Seconds[min(int(q.first/1000), len(r.Seconds)-1)]
}

func (r *Result) asked(q *request) {
	r.Asked++
	r.second(q).Owed++
	r.sizes = append(r.sizes, sized{kind: q.number, tokens: q.prompt.Input, request: q})
}

func (r *Result) answered(q *request, after float64) {
	switch {
	case after <= float64(q.kind.Target):
		r.InTime++
		r.second(q).Earned++
	case after <= float64(q.kind.Deadline):
		r.Late++
		r.second(q).Earned += q.kind.Late
	default:
		r.Refused++
		return
	}
	q.served = true
}

func (r *Result) refused() { r.Refused++ }

// readShared counts shared tokens that were read; each is to be read once.
func (r *Result) readShared(tokens int) {
	r.read += tokens
	r.ReadAgain = max(r.read-r.differentParts, 0)
}

// Credit returns the share of credit earned from a second on, before another one.
func (r Result) Credit(from, to int) float64 {
	var sum Share
	for i := from; i < min(to, len(r.Seconds)); i++ {
		sum.Earned += r.Seconds[i].Earned
		sum.Owed += r.Seconds[i].Owed
	}
	return sum.Of()
}

// Whole returns the share of credit earned over all.
func (r Result) Whole() float64 { return r.Credit(0, len(r.Seconds)) }

// Worst returns the smallest credit of a span of so many seconds.
func (r Result) Worst(span int) float64 {
	worst := 1.0
	for i := 0; i+span < len(r.Seconds); i++ {
		worst = min(worst, r.Credit(i, i+span))
	}
	return worst
}

// Largest returns the served share of the largest tenth of a kind's prompts, and of all of the kind.
func (r Result) Largest(kind int) (largest, all float64) {
	var list []sized
	for _, s := range r.sizes {
		if s.kind == kind {
			s.served = s.request.served
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].tokens > list[j].tokens })
	share := func(part []sized) float64 {
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
