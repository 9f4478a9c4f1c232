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
	onDemand         = declarer.TargetPurchaseSteady
	reclaimable      = declarer.TargetPurchaseReclaimable
	period           = 5 * second
	preemptibleShare = 0.6
	slack            = 10 * minute
)

// offers returns an on-demand offer and reclaimable ones at 0.35 of its cost in three
// zones.
func offers() []Offer {
	list := []Offer{{Purchase: onDemand, Zone: "s", Cost: 1, Speed: engineSpeed}}
	for _, zone := range []string{"z1", "z2", "z3"} {
		list = append(list, Offer{Purchase: reclaimable, Zone: zone, Cost: 0.35, Speed: engineSpeed})
	}
	return list
}

// targetTime is work, in microseconds of a target. Sums of whole numbers are exact, so
// that no work is lost or gained by rounding, on any processor.
type targetTime int64

func newTargetTime(seconds float64) targetTime { return targetTime(math.Round(1e6 * seconds)) }

func (t targetTime) seconds() float64 { return float64(t) / 1e6 }

// countSim simulates a fleet and the work that it serves.
type countSim struct {
	now          timekeeper.Millis
	targets      []Target
	offers       []Offer
	forecasts    [2]Forecast
	onDemandOnly bool // no reclaimable targets
	backlog      []arrival
	ordered      int

	spent, maxCostRate float64

	served, lostOther, lostPreemptible, reclaimableServed, preemptibleServed targetTime
}

type arrival struct {
	at   timekeeper.Millis
	work targetTime
}

func units(u float64) Demand { return engineSpeed.Times(u / 2) }

func (s *countSim) plan(load float64) {
	v := View{Now: s.now, Targets: s.targets, Offers: s.offers}
	if s.onDemandOnly {
		v.Offers = s.offers[:1]
	}
	for i, share := range []float64{0.7, 0.3} {
		f := &s.forecasts[i]
		f.Observe(s.now, units(load*share))
		c := Contract{Workspace: fmt.Sprint(i), SpendCeiling: 30, ExpectedDemand: f.MaxUntil(3 * minute), PeakDemand: f.Peak(), PreemptibleShare: preemptibleShare, Slack: slack}
		if s.onDemandOnly {
			c.PreemptibleShare = 0
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

// withdraw removes the chosen targets after 30 s.
func (s *countSim) withdraw(chosen func(Target) bool) {
	for i, t := range s.targets {
		if chosen(t) && t.State != Leaving {
			s.targets[i].State, s.targets[i].ReadyAt = Leaving, s.now+30*second
		}
	}
}

func (s *countSim) serve(load float64) {
	var remaining []Target
	capacity := map[declarer.TargetPurchase]targetTime{}
	costRate := 0.0
	for _, t := range s.targets {
		if t.State == Ordered && s.now >= t.ReadyAt {
			t.State = Serving
		}
		if t.State == Leaving && s.now >= t.ReadyAt {
			continue
		}
		if t.State == Serving {
			capacity[t.Purchase] += newTargetTime(period.Seconds())
		}
		costRate += t.Cost
		remaining = append(remaining, t)
	}
	s.targets, s.maxCostRate = remaining, math.Max(s.maxCostRate, costRate)
	s.spent += costRate * period.Seconds() / 3600
	other := newTargetTime(load * (1 - preemptibleShare) * period.Seconds())
	done := min(other, capacity[onDemand])
	s.lostOther += other - done
	s.served += done
	capacity[onDemand] -= done
	s.backlog = append(s.backlog, arrival{s.now, newTargetTime(load * preemptibleShare * period.Seconds())})
	for len(s.backlog) > 0 {
		a := &s.backlog[0]
		if s.now-a.at <= slack {
			fromReclaimable := min(a.work, capacity[reclaimable])
			fromOnDemand := min(a.work-fromReclaimable, capacity[onDemand])
			capacity[reclaimable] -= fromReclaimable
			capacity[onDemand] -= fromOnDemand
			a.work -= fromReclaimable + fromOnDemand
			s.reclaimableServed += fromReclaimable
			s.preemptibleServed += fromReclaimable + fromOnDemand
			s.served += fromReclaimable + fromOnDemand
			if a.work > 0 {
				return
			}
		}
		s.lostPreemptible += a.work
		s.backlog = s.backlog[1:]
	}
}

// run simulates six hours. A zone is withdrawn after two hours and unavailable for
// half an hour. After four hours another one is withdrawn, and no reclaimable target
// can be ordered for twenty minutes.
func (s *countSim) run() *countSim {
	random := rand.New(rand.NewPCG(20261204, 2))
	s.offers = offers()
	for ; s.now < 360*minute; s.now += period {
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
			// The first targets are not delivered yet, so nothing is measured.
			s.serve(0)
			s.spent, s.served = 0, 0
			continue
		}
		s.serve(load)
	}
	return s
}

// Guards against target counts that cost too much, break contracts when a zone of
// reclaimable targets is lost, or leave preemptible work on on-demand targets.
func TestSpendAgainstOnDemandOnly(t *testing.T) {
	base, s := (&countSim{onDemandOnly: true}).run(), (&countSim{}).run()
	for name, r := range map[string]*countSim{"on-demand only": base, "planner": s} {
		t.Logf("%s: served %.0f target seconds, cost %.4f per 1000, lost %.1f non-preemptible and %.1f preemptible, %.2f of preemptible work on reclaimable targets, highest cost %.2f/h",
			name, r.served.seconds(), r.spent/r.served.seconds()*1000, r.lostOther.seconds(), r.lostPreemptible.seconds(),
			r.reclaimableServed.seconds()/r.preemptibleServed.seconds(), r.maxCostRate)
	}
	ratio := (s.spent / s.served.seconds()) / (base.spent / base.served.seconds())
	t.Logf("cost of served work: %.3f of on-demand only", ratio)
	assert.Check(t, ratio <= 2.0/3)
	assert.Check(t, s.served >= base.served, "served %.0f, on demand %.0f", s.served.seconds(), base.served.seconds())
	assert.Check(t, s.lostOther == 0 && s.lostPreemptible == 0, "lost %.1f non-preemptible, %.1f preemptible", s.lostOther.seconds(), s.lostPreemptible.seconds())
	assert.Check(t, 10*s.reclaimableServed >= 8*s.preemptibleServed)
}

// Guards against plans that exceed the limits on role changes, spend or downloads,
// change roles before the minimum stay, take the last engine of a role or capacity
// that running requests need, or leave too few targets when a zone is lost.
func TestPlanKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := func(low, high int, name string) int { return rapid.IntRange(low, high).Draw(t, name) }
		v := View{Now: 100 * minute, Offers: offers(), Downloads: number(0, 3, "downloads")}
		for i := range number(0, 4, "changes") {
			v.Changes = append(v.Changes, Change{At: v.Now - timekeeper.Millis(number(0, 1200, fmt.Sprint("ago", i)))*second})
		}
		v.ExpectedDemand = Demand{float64(number(0, 40000, "prefill")), float64(number(0, 8000, "decode"))}
		c := Contract{SpendCeiling: float64(number(1, 30, "ceiling")), ExpectedDemand: units(float64(number(0, 30, "need"))), PreemptibleShare: 0.5}
		v.Contracts = []Contract{c}
		for i := range number(0, 8, "targets") {
			role := rapid.SampledFrom([]declarer.TargetRole{prefill, decode}).Draw(t, "role")
			v.Targets = append(v.Targets, Target{
				Name: fmt.Sprint(i), Role: role, Purchase: onDemand, Cost: 1, Speed: engineSpeed, DesiredModel: rapid.SampledFrom([]string{"", "m"}).Draw(t, "wants"),
				RoleSince: v.Now - timekeeper.Millis(number(0, 300, "since"))*second, Load: engineSpeed.Times(float64(number(0, 10, "load")) / 10),
			})
		}
		changes, downloads, cost := 0, 0, totalCost(v)
		for _, d := range Plan(v, Policy{}) {
			switch d := d.(type) {
			case ChangeRole:
				changes++
				target := v.Targets[int(d.Target[0]-'0')]
				if v.Now-target.RoleSince < 120*second || !canSpare(v.Targets, target) {
					t.Fatalf("changed %+v", target)
				}
			case Load:
				downloads++
			case Start:
				cost += d.Offer.Cost
			}
		}
		if changes > max(0, remainingChanges(v, Policy{}.WithDefaults())) || downloads > max(0, 2-v.Downloads) {
			t.Fatalf("%d changes, %d downloads", changes, downloads)
		}
		if cost > totalCost(v) && cost > c.SpendCeiling+1e-9 { // rounding of sums
			t.Fatalf("cost %.2f above the spend ceiling %.2f", cost, c.SpendCeiling)
		}
		n := targetDemand{onDemand: float64(number(0, 90, "steady")) / 10, preemptible: float64(number(0, 90, "harmless")) / 10}
		n.nonDeferrable = n.preemptible * float64(number(0, 2, "kept")) / 2
		m := marketOf(View{Offers: offers()[:1+number(0, 3, "zones")]})
		w := targetsFor(View{Offers: offers()}, Policy{}.WithDefaults(), m, n)
		zones := max(1, len(m.reclaimable))
		if float64(w.onDemand) < n.onDemand || float64(w.onDemand+w.reclaimable-(w.reclaimable+zones-1)/zones) < n.onDemand+n.nonDeferrable {
			t.Fatalf("counts %+v do not serve demand %+v after the loss of one of %d zones", w, n, zones)
		}
	})
}

// Guards against a wrong action for a running request, by its class and remaining
// time, when its target is withdrawn.
func TestWithdrawalByClass(t *testing.T) {
	requests := []RunningRequest{
		{ID: "short", Remaining: second},
		{ID: "booking", Remaining: minute},
		{ID: "dossier", Idempotent: true, Remaining: minute},
		{ID: "old stream", Priority: 2, Idempotent: true, Started: true, Remaining: minute, ExportTime: 6 * second},
		{ID: "chat", Priority: 8, Idempotent: true, Started: true, Remaining: minute, ExportTime: 6 * second},
	}
	actions := map[string]WithdrawalAction{}
	for _, s := range PlanWithdrawal(requests, 10*second) {
		actions[s.Request.ID] = s.Action
	}
	assert.DeepEqual(t, actions, map[string]WithdrawalAction{"short": Finish, "booking": LeaveRunning, "dossier": Rerun, "old stream": LeaveRunning, "chat": Resume})
	assert.Assert(t, !Preemptible(false, second, minute) && Preemptible(true, second, minute) && !Preemptible(true, 40*second, minute))
}
