package planner

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// need is a demand in units of whole targets.
type need struct {
	steady   float64 // work that must not run on reclaimable targets
	harmless float64
	// kept is the part of the harmless work that must go on at once when a zone is lost.
	kept float64
}

// want is the number of targets that a need asks for.
type want struct {
	steady int
	cheap  int
}

// market is what can be ordered now.
type market struct {
	steady    Offer
	available bool
	zones     []Offer
}

func marketOf(v View) market {
	var m market
	for _, o := range v.Offers {
		if v.Now < o.UnavailableUntil {
			continue
		}
		if o.Purchase == declarer.TargetPurchaseReclaimable {
			m.zones = append(m.zones, o)
		} else if !m.available || o.Cost < m.steady.Cost {
			m.steady, m.available = o, true
		}
	}
	return m
}

// countTargets orders what the forecast needs and gives back what neither the
// forecast nor the last minutes needed.
func countTargets(v View, p Policy) []Decision {
	if len(v.Offers) == 0 {
		return nil
	}
	m := marketOf(v)
	ahead := targetsFor(v, p, m, needOf(v, p, m, func(c Contract) Demand { return c.Ahead }))
	if starts := starting(v, p, m, ahead); len(starts) > 0 {
		return starts
	}
	peak := targetsFor(v, p, m, needOf(v, p, m, func(c Contract) Demand { return c.Peak }))
	return stopping(v, p, want{max(ahead.steady, peak.steady), max(ahead.cheap, peak.cheap)})
}

// speed returns the speed of a target, from the offers or what there is.
func speed(v View) Demand {
	if len(v.Offers) > 0 {
		return v.Offers[0].Speed
	}
	return v.Targets[0].Speed
}

// needOf sums the needs of all contracts, each cut to what its ceiling pays for:
// harmless work first, because it can wait.
func needOf(v View, p Policy, m market, demand func(Contract) Demand) need {
	var sum need
	per := speed(v)
	cheap, steady := cheapCost(v, m), steadyCost(v)
	for _, c := range v.Contracts {
		d := demand(c)
		units := (d.Prefill/per.Prefill + d.Decode/per.Decode) / p.Utilisation
		n := need{steady: units * (1 - c.Harmless), harmless: units * c.Harmless}
		if c.Ceiling > 0 {
			n.steady = min(n.steady, c.Ceiling/steady)
			n.harmless = min(n.harmless, (c.Ceiling-n.steady*steady)/cheap)
		}
		// Work that can wait for two deliveries survives a lost zone by waiting for
		// the replacement and then being caught up.
		waits := min(1, c.Slack.Seconds()/(2*p.Delivery.Seconds()))
		sum.steady += n.steady
		sum.harmless += n.harmless
		sum.kept += n.harmless * (1 - waits)
	}
	return sum
}

func steadyCost(v View) float64 {
	for _, o := range v.Offers {
		if o.Purchase == declarer.TargetPurchaseSteady {
			return o.Cost
		}
	}
	return v.Offers[0].Cost
}

// cheapCost is the cost at which harmless work runs now: that of steady targets
// when no reclaimable ones can be had.
func cheapCost(v View, m market) float64 {
	if len(m.zones) == 0 {
		return steadyCost(v)
	}
	return m.zones[0].Cost
}

// targetsFor returns the cheapest numbers of targets that serve a need, also
// after the loss of one zone.
func targetsFor(v View, p Policy, m market, n need) want {
	w := want{steady: max(p.SteadyFloor, up(n.steady))}
	zones := len(m.zones)
	if zones == 0 {
		// Nothing cheap can be had: what there is stays, steady targets fill the gap.
		w.cheap = len(present(v, declarer.TargetPurchaseReclaimable))
		w.steady = max(w.steady, up(n.steady+n.harmless)-w.cheap)
		return w
	}
	total := up(n.steady + n.harmless)
	w.cheap = max(0, total-w.steady)
	survivors := func() float64 {
		return float64(w.steady + w.cheap - (w.cheap+zones-1)/zones)
	}
	for survivors() < n.steady+n.kept {
		// Another reclaimable target helps only beside other zones, and only as long
		// as the spare ones cost less than one steady target.
		if zones > 1 && m.zones[0].Cost*float64(zones)/float64(zones-1) < steadyCost(v) {
			w.cheap++
		} else {
			w.steady++
			w.cheap = max(0, min(w.cheap, total-w.steady))
		}
	}
	return w
}

func up(units float64) int { return int(math.Ceil(units - 1e-9)) }

// present returns the targets of a purchase that are or will be serving.
func present(v View, purchase declarer.TargetPurchase) []Target {
	var list []Target
	for _, t := range v.Targets {
		if t.Purchase == purchase && t.State != Leaving {
			list = append(list, t)
		}
	}
	return list
}

// serving returns the targets of a purchase that take work.
func serving(v View, purchase declarer.TargetPurchase) []Target {
	var list []Target
	for _, t := range present(v, purchase) {
		if t.State == Serving {
			list = append(list, t)
		}
	}
	return list
}

// starting orders what is missing, steady targets first, below the ceilings.
func starting(v View, p Policy, m market, w want) []Decision {
	var decisions []Decision
	room := ceiling(v) - spend(v)
	balance := fleetOf(v.Targets, nil).withReturning(v, v.Targets)
	take := func(o Offer) bool {
		if o.Cost > room {
			return false
		}
		role := balance.scarcer(v.Coming)
		balance = balance.with(role, o.Speed, 1)
		decisions = append(decisions, Start{Offer: o, Role: role})
		room -= o.Cost
		return true
	}
	for range w.steady - len(present(v, declarer.TargetPurchaseSteady)) {
		if !m.available || !take(m.steady) {
			break
		}
	}
	cheap := present(v, declarer.TargetPurchaseReclaimable)
	inZone := map[string]int{}
	for _, t := range cheap {
		inZone[t.Zone]++
	}
	for range w.cheap - len(cheap) {
		if len(m.zones) == 0 {
			break
		}
		o := emptiest(m.zones, inZone)
		if !take(o) {
			break
		}
		inZone[o.Zone]++
	}
	return decisions
}

func emptiest(zones []Offer, inZone map[string]int) Offer {
	best := zones[0]
	for _, o := range zones {
		if inZone[o.Zone] < inZone[best.Zone] {
			best = o
		}
	}
	return best
}

// scarcer returns the role that limits a demand; mixed if the fleet has no roles.
func (f fleet) scarcer(d Demand) declarer.TargetRole {
	switch {
	case f.prefill == 0 && f.decode == 0:
		return declarer.TargetRoleMixed
	case d.Prefill*f.decode > d.Decode*f.prefill:
		return declarer.TargetRolePrefill
	default:
		return declarer.TargetRoleDecode
	}
}

// ceiling returns the most that all contracts pay per hour together.
func ceiling(v View) float64 {
	sum := 0.0
	for _, c := range v.Contracts {
		if c.Ceiling == 0 {
			return math.Inf(1)
		}
		sum += c.Ceiling
	}
	return sum
}

// spend returns the cost per hour of everything that is paid for, drained targets included.
func spend(v View) float64 {
	sum := 0.0
	for _, t := range v.Targets {
		sum += t.Cost
	}
	return sum
}

// stopping gives back one target at a time, the dearest surplus first and of
// these the one that runs least, so that each drain is seen before the next.
// Targets that are not delivered yet replace none that serve.
func stopping(v View, p Policy, w want) []Decision {
	steady, cheap := serving(v, declarer.TargetPurchaseSteady), serving(v, declarer.TargetPurchaseReclaimable)
	candidates := steady
	if len(steady) <= w.steady {
		candidates = nil
		if len(cheap) > w.cheap {
			candidates = fullestZone(cheap)
		}
	}
	best := -1
	for i, t := range candidates {
		if v.Busy[t.Name] || v.Now-t.ReadyAt < p.KeepAtLeast || t.Role != declarer.TargetRoleMixed && !spare(v.Targets, t) {
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

func fullestZone(targets []Target) []Target {
	zones := map[string][]Target{}
	var fullest []Target
	for _, t := range targets {
		zones[t.Zone] = append(zones[t.Zone], t)
		if len(zones[t.Zone]) > len(fullest) {
			fullest = zones[t.Zone]
		}
	}
	return fullest
}

// LeadTime returns how far ahead targets are ordered: the delivery time and the
// downloads that wait for the weight store.
func LeadTime(p Policy, waiting int, download timekeeper.Millis) timekeeper.Millis {
	p = p.WithDefaults()
	rounds := (waiting + p.Downloads) / p.Downloads
	return p.Delivery + timekeeper.Millis(rounds)*download
}
