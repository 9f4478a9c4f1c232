package planner

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// targetDemand is a demand as a number of targets.
type targetDemand struct {
	onDemand    float64 // work that must not run on reclaimable targets
	preemptible float64
	// nonDeferrable is the part of the preemptible work that cannot wait for
	// replacements when a zone is lost.
	nonDeferrable float64
}

// targetCounts is the number of targets to have, by purchase.
type targetCounts struct {
	onDemand    int
	reclaimable int
}

// market holds the offers that can be ordered now.
type market struct {
	onDemand    Offer
	hasOnDemand bool
	reclaimable []Offer
}

func marketOf(v View) market {
	var m market
	for _, o := range v.Offers {
		if v.Now < o.UnavailableUntil {
			continue
		}
		if o.Purchase == declarer.TargetPurchaseReclaimable {
			m.reclaimable = append(m.reclaimable, o)
		} else if !m.hasOnDemand || o.Cost < m.onDemand.Cost {
			m.onDemand, m.hasOnDemand = o, true
		}
	}
	return m
}

// countTargets starts the targets that the forecast needs. If none are missing, it
// stops a target that neither the forecast nor the recent peak needs.
func countTargets(v View, p Policy) []Decision {
	if len(v.Offers) == 0 {
		return nil
	}
	m := marketOf(v)
	ahead := targetsFor(v, p, m, demandOf(v, p, m, func(c Contract) Demand { return c.ExpectedDemand }))
	if starts := startMissing(v, p, m, ahead); len(starts) > 0 {
		return starts
	}
	peak := targetsFor(v, p, m, demandOf(v, p, m, func(c Contract) Demand { return c.PeakDemand }))
	return stopSurplus(v, p, targetCounts{max(ahead.onDemand, peak.onDemand), max(ahead.reclaimable, peak.reclaimable)})
}

// speed returns the speed of a target, from the offers or the existing targets.
func speed(v View) Demand {
	if len(v.Offers) > 0 {
		return v.Offers[0].Speed
	}
	return v.Targets[0].Speed
}

// demandOf sums the demand of all contracts, each limited to what its spend ceiling
// pays for. Preemptible work is cut first, because it can wait.
func demandOf(v View, p Policy, m market, demand func(Contract) Demand) targetDemand {
	var sum targetDemand
	perTarget := speed(v)
	preemptibleRate, onDemandRate := preemptibleCost(v, m), onDemandCost(v)
	for _, c := range v.Contracts {
		d := demand(c)
		units := (d.Prefill/perTarget.Prefill + d.Decode/perTarget.Decode) / p.Utilisation
		n := targetDemand{onDemand: units * (1 - c.PreemptibleShare), preemptible: units * c.PreemptibleShare}
		if c.SpendCeiling > 0 {
			n.onDemand = min(n.onDemand, c.SpendCeiling/onDemandRate)
			n.preemptible = min(n.preemptible, (c.SpendCeiling-n.onDemand*onDemandRate)/preemptibleRate)
		}
		// After the loss of a zone, work that can wait for two delivery times waits
		// for the replacement and is then caught up.
		deferrable := min(1, c.Slack.Seconds()/(2*p.Delivery.Seconds()))
		sum.onDemand += n.onDemand
		sum.preemptible += n.preemptible
		sum.nonDeferrable += n.preemptible * (1 - deferrable)
	}
	return sum
}

func onDemandCost(v View) float64 {
	for _, o := range v.Offers {
		if o.Purchase == declarer.TargetPurchaseSteady {
			return o.Cost
		}
	}
	return v.Offers[0].Cost
}

// preemptibleCost returns the cost per hour of a target for preemptible work: that
// of an on-demand target if no reclaimable one can be ordered.
func preemptibleCost(v View, m market) float64 {
	if len(m.reclaimable) == 0 {
		return onDemandCost(v)
	}
	return m.reclaimable[0].Cost
}

// targetsFor returns the cheapest numbers of targets that serve a demand, also
// after the loss of one zone.
func targetsFor(v View, p Policy, m market, n targetDemand) targetCounts {
	w := targetCounts{onDemand: max(p.MinOnDemand, roundUp(n.onDemand))}
	zones := len(m.reclaimable)
	if zones == 0 {
		// No reclaimable target can be ordered: keep the existing ones and fill the
		// gap with on-demand targets.
		w.reclaimable = len(notLeaving(v, declarer.TargetPurchaseReclaimable))
		w.onDemand = max(w.onDemand, roundUp(n.onDemand+n.preemptible)-w.reclaimable)
		return w
	}
	total := roundUp(n.onDemand + n.preemptible)
	w.reclaimable = max(0, total-w.onDemand)
	survivors := func() float64 {
		return float64(w.onDemand + w.reclaimable - (w.reclaimable+zones-1)/zones)
	}
	for survivors() < n.onDemand+n.nonDeferrable {
		// Another reclaimable target helps only if there are other zones, and only as
		// long as the spare ones cost less than one on-demand target.
		if zones > 1 && m.reclaimable[0].Cost*float64(zones)/float64(zones-1) < onDemandCost(v) {
			w.reclaimable++
		} else {
			w.onDemand++
			w.reclaimable = max(0, min(w.reclaimable, total-w.onDemand))
		}
	}
	return w
}

func roundUp(units float64) int { return int(math.Ceil(units - 1e-9)) }

// notLeaving returns the targets of a purchase that are or will be serving.
func notLeaving(v View, purchase declarer.TargetPurchase) []Target {
	var list []Target
	for _, t := range v.Targets {
		if t.Purchase == purchase && t.State != Leaving {
			list = append(list, t)
		}
	}
	return list
}

// serving returns the targets of a purchase that accept requests.
func serving(v View, purchase declarer.TargetPurchase) []Target {
	var list []Target
	for _, t := range notLeaving(v, purchase) {
		if t.State == Serving {
			list = append(list, t)
		}
	}
	return list
}

// startMissing orders the missing targets, on-demand ones first, within the spend
// ceilings.
func startMissing(v View, p Policy, m market, w targetCounts) []Decision {
	var decisions []Decision
	remaining := totalCeiling(v) - totalCost(v)
	capacity := fleetOf(v.Targets, nil).withChanging(v, v.Targets)
	order := func(o Offer) bool {
		if o.Cost > remaining {
			return false
		}
		role := capacity.scarcerRole(v.ExpectedDemand)
		capacity = capacity.with(role, o.Speed, 1)
		decisions = append(decisions, Start{Offer: o, Role: role})
		remaining -= o.Cost
		return true
	}
	for range w.onDemand - len(notLeaving(v, declarer.TargetPurchaseSteady)) {
		if !m.hasOnDemand || !order(m.onDemand) {
			break
		}
	}
	reclaimable := notLeaving(v, declarer.TargetPurchaseReclaimable)
	inZone := map[string]int{}
	for _, t := range reclaimable {
		inZone[t.Zone]++
	}
	for range w.reclaimable - len(reclaimable) {
		if len(m.reclaimable) == 0 {
			break
		}
		o := smallestZone(m.reclaimable, inZone)
		if !order(o) {
			break
		}
		inZone[o.Zone]++
	}
	return decisions
}

func smallestZone(zones []Offer, inZone map[string]int) Offer {
	best := zones[0]
	for _, o := range zones {
		if inZone[o.Zone] < inZone[best.Zone] {
			best = o
		}
	}
	return best
}

// scarcerRole returns the role whose capacity limits a demand, or mixed if the
// fleet has no targets of a single role.
func (f fleet) scarcerRole(d Demand) declarer.TargetRole {
	switch {
	case f.prefill == 0 && f.decode == 0:
		return declarer.TargetRoleMixed
	case d.Prefill*f.decode > d.Decode*f.prefill:
		return declarer.TargetRolePrefill
	default:
		return declarer.TargetRoleDecode
	}
}

// totalCeiling returns the sum of the spend ceilings per hour, infinite if a
// contract has none.
func totalCeiling(v View) float64 {
	sum := 0.0
	for _, c := range v.Contracts {
		if c.SpendCeiling == 0 {
			return math.Inf(1)
		}
		sum += c.SpendCeiling
	}
	return sum
}

// totalCost returns the cost per hour of all targets, drained ones included.
func totalCost(v View) float64 {
	sum := 0.0
	for _, t := range v.Targets {
		sum += t.Cost
	}
	return sum
}

// stopSurplus stops at most one target, so that the effect of each drain shows
// before the next. It prefers the most expensive purchase in surplus, and of its
// targets the one with the fewest running requests. Targets that are not delivered
// yet don't count, since they cannot replace a serving one.
func stopSurplus(v View, p Policy, w targetCounts) []Decision {
	onDemand, reclaimable := serving(v, declarer.TargetPurchaseSteady), serving(v, declarer.TargetPurchaseReclaimable)
	candidates := onDemand
	if len(onDemand) <= w.onDemand {
		candidates = nil
		if len(reclaimable) > w.reclaimable {
			candidates = largestZone(reclaimable)
		}
	}
	best := -1
	for i, t := range candidates {
		if v.Busy[t.Name] || v.Now-t.ReadyAt < p.MinLifetime || t.Role != declarer.TargetRoleMixed && !canSpare(v.Targets, t) {
			continue
		}
		if best < 0 || t.Running < candidates[best].Running {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return []Decision{Stop{Target: candidates[best].Name}}
}

func largestZone(targets []Target) []Target {
	zones := map[string][]Target{}
	var largest []Target
	for _, t := range targets {
		zones[t.Zone] = append(zones[t.Zone], t)
		if len(zones[t.Zone]) > len(largest) {
			largest = zones[t.Zone]
		}
	}
	return largest
}

// LeadTime returns how far ahead targets are ordered: the delivery time plus the
// time for the downloads that wait for the weight store.
func LeadTime(p Policy, waiting int, download timekeeper.Millis) timekeeper.Millis {
	p = p.WithDefaults()
	rounds := (waiting + p.MaxDownloads) / p.MaxDownloads
	return p.Delivery + timekeeper.Millis(rounds)*download
}
