package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	steady      = declarer.TargetPurchaseSteady
	reclaimable = declarer.TargetPurchaseReclaimable
	step        = 5 * second
	harmless    = 0.6
	slack       = 10 * minute
)

// offers are one steady kind and a reclaimable one at 0.35 of its cost in three zones.
func offers() []Offer {
	list := []Offer{{Purchase: steady, Zone: "s", Cost: 1, Speed: engineSpeed}}
	for _, zone := range []string{"z1", "z2", "z3"} {
		list = append(list, Offer{Purchase: reclaimable, Zone: zone, Cost: 0.35, Speed: engineSpeed})
	}
	return list
}

// countSim plays a fleet whose work is counted in whole targets.
type countSim struct {
	now       timekeeper.Millis
	targets   []Target
	offers    []Offer
	forecasts [2]Forecast
	onDemand  bool // no reclaimable targets
	backlog   []arrival
	ordered   int

	spent, served, lostHarmful, lostHarmless, cheapServed, harmlessServed, mostSpend float64
}

type arrival struct {
	at   timekeeper.Millis
	work float64
}

func units(u float64) Demand { return engineSpeed.Times(u / 2) }

func (s *countSim) plan(load float64) {
	v := View{Now: s.now, Targets: s.targets, Offers: s.offers}
	if s.onDemand {
		v.Offers = s.offers[:1]
	}
	for i, share := range []float64{0.7, 0.3} {
		f := &s.forecasts[i]
		f.Observe(s.now, units(load*share))
		c := Contract{Workspace: fmt.Sprint(i), Ceiling: 30, Ahead: f.Ahead(3 * minute), Peak: f.Peak(), Harmless: harmless, Slack: slack}
		if s.onDemand {
			c.Harmless = 0
		}
		v.Contracts = append(v.Contracts, c)
	}
	for _, d := range Plan(v, Policy{}) {
		switch d := d.(type) {
		case Start:
			s.ordered++
			s.targets = append(s.targets, Target{
				Name: fmt.Sprint(s.ordered), Zone: d.Offer.Zone, Purchase: d.Offer.Purchase, Cost: d.Offer.Cost,
				Speed: d.Offer.Speed, Role: d.Role, State: Ordered, ReadyAt: s.now + 3*minute,
			})
		case Stop:
			s.withdraw(func(t Target) bool { return t.Name == d.Target })
		}
	}
}

// withdraw gives the chosen targets 30 s.
func (s *countSim) withdraw(chosen func(Target) bool) {
	for i, t := range s.targets {
		if chosen(t) && t.State != Leaving {
			s.targets[i].State, s.targets[i].ReadyAt = Leaving, s.now+30*second
		}
	}
}

func (s *countSim) serve(load float64) {
	var left []Target
	capacity := map[declarer.TargetPurchase]float64{}
	spend := 0.0
	for _, t := range s.targets {
		if t.State == Ordered && s.now >= t.ReadyAt {
			t.State = Serving
		}
		if t.State == Leaving && s.now >= t.ReadyAt {
			continue
		}
		if t.State == Serving {
			capacity[t.Purchase] += step.Seconds()
		}
		spend += t.Cost
		left = append(left, t)
	}
	s.targets, s.mostSpend = left, math.Max(s.mostSpend, spend)
	s.spent += spend * step.Seconds() / 3600
	harmful := load * (1 - harmless) * step.Seconds()
	done := math.Min(harmful, capacity[steady])
	s.lostHarmful += harmful - done
	s.served += done
	capacity[steady] -= done
	s.backlog = append(s.backlog, arrival{s.now, load * harmless * step.Seconds()})
	for len(s.backlog) > 0 {
		a := &s.backlog[0]
		if s.now-a.at <= slack {
			cheap := math.Min(a.work, capacity[reclaimable])
			rest := math.Min(a.work-cheap, capacity[steady])
			capacity[reclaimable] -= cheap
			capacity[steady] -= rest
			a.work -= cheap + rest
			s.cheapServed += cheap
			s.harmlessServed += cheap + rest
			s.served += cheap + rest
			if a.work > 1e-9 {
				return
			}
		}
		s.lostHarmless += a.work
		s.backlog = s.backlog[1:]
	}
}

// run plays six hours. A zone is withdrawn after two hours and cannot be had for
// half an hour; after four hours another one goes and nothing reclaimable can be
// had for twenty minutes.
func (s *countSim) run() *countSim {
	random := rand.New(rand.NewPCG(20261204, 2))
	s.offers = offers()
	for ; s.now < 360*minute; s.now += step {
		load := (12 + 6*math.Sin(2*math.Pi*float64(s.now)/float64(120*minute))) * (0.97 + 0.06*random.Float64())
		switch s.now {
		case 120 * minute:
			s.withdraw(func(t Target) bool { return t.Zone == "z1" })
			s.offers[1].UnavailableUntil = s.now + 30*minute
		case 240 * minute:
			s.withdraw(func(t Target) bool { return t.Zone == "z2" })
			for i := range s.offers[1:] {
				s.offers[i+1].UnavailableUntil = s.now + 20*minute
			}
		}
		s.plan(load)
		if s.now < 10*minute {
			// The first targets are on their way; nothing is measured yet.
			s.serve(0)
			s.spent, s.served = 0, 0
			continue
		}
		s.serve(load)
	}
	return s
}

// Guards against target counts that cost too much, break contracts when a zone
// of reclaimable targets goes, or leave harmless work on steady targets.
func TestSpendAgainstOnDemandOnly(t *testing.T) {
	base, s := (&countSim{onDemand: true}).run(), (&countSim{}).run()
	for name, r := range map[string]*countSim{"on-demand only": base, "planner": s} {
		t.Logf("%s: served %.0f target seconds, spend %.4f per 1000, lost %.1f harmful and %.1f harmless, %.2f of harmless work on reclaimable targets, most spend %.2f/h",
			name, r.served, r.spent/r.served*1000, r.lostHarmful, r.lostHarmless, r.cheapServed/r.harmlessServed, r.mostSpend)
	}
	ratio := (s.spent / s.served) / (base.spent / base.served)
	t.Logf("spend per served work: %.3f of on-demand only", ratio)
	assert.Check(t, ratio <= 2.0/3)
	assert.Check(t, s.served >= base.served, "served %.0f, on demand %.0f", s.served, base.served)
	assert.Check(t, s.lostHarmful == 0 && s.lostHarmless == 0, "lost %.1f harmful, %.1f harmless", s.lostHarmful, s.lostHarmless)
	assert.Check(t, s.cheapServed >= 0.8*s.harmlessServed)
}

// Guards against plans that exceed the role change budget, the minimum stay, the
// spend ceilings or the downloads, take the last engine of a role or less than
// running work needs, or leave a contract short when a zone goes.
func TestPlanKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := func(low, high int, name string) int { return rapid.IntRange(low, high).Draw(t, name) }
		v := View{Now: 100 * minute, Offers: offers(), Downloads: number(0, 3, "downloads")}
		for i := range number(0, 4, "changes") {
			v.Changes = append(v.Changes, Change{At: v.Now - timekeeper.Millis(number(0, 1200, fmt.Sprint("ago", i)))*second})
		}
		v.Coming = Demand{float64(number(0, 40000, "prefill")), float64(number(0, 8000, "decode"))}
		c := Contract{Ceiling: float64(number(1, 30, "ceiling")), Ahead: units(float64(number(0, 30, "need"))), Harmless: 0.5}
		v.Contracts = []Contract{c}
		for i := range number(0, 8, "targets") {
			role := rapid.SampledFrom([]declarer.TargetRole{prefill, decode}).Draw(t, "role")
			v.Targets = append(v.Targets, Target{
				Name: fmt.Sprint(i), Role: role, Purchase: steady, Cost: 1, Speed: engineSpeed, Wants: rapid.SampledFrom([]string{"", "m"}).Draw(t, "wants"),
				RoleSince: v.Now - timekeeper.Millis(number(0, 300, "since"))*second, Load: engineSpeed.Times(float64(number(0, 10, "load")) / 10),
			})
		}
		changes, downloads, cost := 0, 0, spend(v)
		for _, d := range Plan(v, Policy{}) {
			switch d := d.(type) {
			case ChangeRole:
				changes++
				target := v.Targets[int(d.Target[0]-'0')]
				if v.Now-target.RoleSince < 120*second || !spare(v.Targets, target) {
					t.Fatalf("changed %+v", target)
				}
			case Load:
				downloads++
			case Start:
				cost += d.Offer.Cost
			}
		}
		if changes > max(0, budget(v, Policy{}.WithDefaults())) || downloads > max(0, 2-v.Downloads) {
			t.Fatalf("%d changes, %d downloads", changes, downloads)
		}
		if cost > spend(v) && cost > c.Ceiling+1e-9 { // sums of costs round
			t.Fatalf("spend %.2f above the ceiling %.2f", cost, c.Ceiling)
		}
		n := need{steady: float64(number(0, 90, "steady")) / 10, harmless: float64(number(0, 90, "harmless")) / 10}
		n.kept = n.harmless * float64(number(0, 2, "kept")) / 2
		m := marketOf(View{Offers: offers()[:1+number(0, 3, "zones")]})
		w := targetsFor(View{Offers: offers()}, Policy{}.WithDefaults(), m, n)
		zones := max(1, len(m.zones))
		if float64(w.steady) < n.steady || float64(w.steady+w.cheap-(w.cheap+zones-1)/zones) < n.steady+n.kept {
			t.Fatalf("%+v is short of %+v after the loss of one of %d zones", w, n, zones)
		}
	})
}

// Guards against work that is moved, finished or left at risk against its class
// when a target gets a notice of withdrawal.
func TestWithdrawalByClass(t *testing.T) {
	works := []Work{
		{Request: "short", Remaining: second},
		{Request: "booking", Remaining: minute},
		{Request: "dossier", Idempotent: true, Remaining: minute},
		{Request: "old stream", Priority: 2, Idempotent: true, Begun: true, Remaining: minute, Export: 6 * second},
		{Request: "chat", Priority: 8, Idempotent: true, Begun: true, Remaining: minute, Export: 6 * second},
	}
	fates := map[string]Fate{}
	for _, s := range Withdraw(works, 10*second) {
		fates[s.Work.Request] = s.Fate
	}
	assert.DeepEqual(t, fates, map[string]Fate{"short": Finish, "booking": Risk, "dossier": Move, "old stream": Risk, "chat": Resume})
	assert.Assert(t, !Harmless(false, second, minute) && Harmless(true, second, minute) && !Harmless(true, 40*second, minute))
}
