package provisioner

import (
	"sort"

	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// steadyFloor is the number of steady targets in a data centre that a reclaim leaves.
	steadyFloor = 1
	// substituteShare is how many steady targets are ordered for each reclaimable one
	// that is not to be had.
	substituteShare = 0.5
)

// Centre is a service in one data centre.
type Centre struct {
	Service    string
	DataCentre string
}

// Counts returns the orders that bring each data centre to its wanted number of
// steady and reclaimable targets. Where dry tells that no reclaimable ones are to be
// had, steady ones stand in for some of them.
func Counts(s resolver.Service, targets []tracker.Target, dry func(Centre) bool) []SetCount {
	type have struct{ steady, reclaimable int }
	counts := map[string]*have{}
	for _, centre := range s.Scaling.DataCentres {
		counts[centre] = &have{}
	}
	for _, t := range targets {
		if t.Service != s.Name {
			continue
		}
		if counts[t.DataCentre] == nil {
			counts[t.DataCentre] = &have{}
		}
		switch {
		case t.Leaving:
		case t.Reclaimable:
			counts[t.DataCentre].reclaimable++
		default:
			counts[t.DataCentre].steady++
		}
	}
	centres := make([]string, 0, len(counts))
	for c := range counts {
		centres = append(centres, c)
	}
	sort.Strings(centres)
	var orders []SetCount
	for _, c := range centres {
		orders = append(orders, countsOf(s, c, counts[c].steady, counts[c].reclaimable, dry(Centre{s.Name, c}))...)
	}
	return orders
}

// countsOf orders reclaimable targets up to their number, and gives back steady
// ones that they replace.
func countsOf(s resolver.Service, centre string, steady, reclaimable int, dry bool) []SetCount {
	var orders []SetCount
	want := max(s.Scaling.Max-steadyFloor, 0)
	if reclaimable < want {
		orders = append(orders, SetCount{s.Name, centre, want, true})
	}
	missing := max(want-reclaimable, 0)
	floor := max(steadyFloor, s.Scaling.Min-reclaimable)
	switch keep := floor + int(substituteShare*float64(missing)); {
	case dry && steady < keep:
		orders = append(orders, SetCount{s.Name, centre, keep, false})
	case reclaimable > 0 && steady > keep:
		orders = append(orders, SetCount{s.Name, centre, keep, false})
	}
	return orders
}
