package provisioner

import (
	"sort"

	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// minOnDemand is the number of on-demand targets kept in each data centre, so that
	// some remain after a reclaim.
	minOnDemand = 1
	// substituteRatio is how many on-demand targets are ordered for each reclaimable one
	// that is unavailable.
	substituteRatio = 0.5
)

// ServiceDataCentre identifies a service in one data centre.
type ServiceDataCentre struct {
	Service    string
	DataCentre string
}

// PlanCounts returns the orders that bring each data centre to its desired number of
// on-demand and reclaimable targets. Where reclaimable targets are unavailable,
// on-demand ones replace some of them, as far as the forecast needs them.
func PlanCounts(s resolver.Service, targets []tracker.Target, f Forecast, reclaimableUnavailable func(ServiceDataCentre) bool) []SetCount {
	type present struct{ onDemand, reclaimable int }
	counts := map[string]*present{}
	for _, centre := range s.Scaling.DataCentres {
		counts[centre] = &present{}
	}
	for _, t := range targets {
		if t.Service != s.Name {
			continue
		}
		if counts[t.DataCentre] == nil {
			if len(s.Scaling.DataCentres) > 0 {
				continue // The service isn't ordered there; the entry may be faulty.
			}
			counts[t.DataCentre] = &present{}
		}
		switch {
		case t.Leaving:
		case t.Reclaimable:
			counts[t.DataCentre].reclaimable++
		default:
			counts[t.DataCentre].onDemand++
		}
	}
	centres := make([]string, 0, len(counts))
	for c := range counts {
		centres = append(centres, c)
	}
	sort.Strings(centres)
	total := 0
	for _, c := range centres {
		total += counts[c].onDemand + counts[c].reclaimable
	}
	substitutes := f.missing(total, len(centres))
	var orders []SetCount
	for _, c := range centres {
		orders = append(orders, countOrders(s, c, counts[c].onDemand, counts[c].reclaimable, substitutes, reclaimableUnavailable(ServiceDataCentre{s.Name, c}))...)
	}
	return orders
}

// countOrders orders reclaimable targets up to the desired number and releases the
// on-demand targets that they replace.
func countOrders(s resolver.Service, centre string, onDemand, reclaimable, substitutes int, reclaimableUnavailable bool) []SetCount {
	var orders []SetCount
	wantReclaimable := max(s.Scaling.Max-minOnDemand, 0)
	if reclaimable < wantReclaimable {
		orders = append(orders, SetCount{s.Name, centre, wantReclaimable, true})
	}
	missing := max(wantReclaimable-reclaimable, 0)
	floor := max(minOnDemand, s.Scaling.Min-reclaimable)
	most := floor + int(substituteRatio*float64(missing))
	switch wantOnDemand := min(most, max(onDemand+substitutes, floor)); {
	case reclaimableUnavailable && onDemand < wantOnDemand:
		orders = append(orders, SetCount{s.Name, centre, wantOnDemand, false})
	case reclaimable > 0 && onDemand > wantOnDemand:
		orders = append(orders, SetCount{s.Name, centre, wantOnDemand, false})
	}
	return orders
}
