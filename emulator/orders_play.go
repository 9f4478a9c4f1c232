package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/provisioner"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	orderStep       = 100 * timekeeper.Millisecond
	maxFleetSeconds = 24 * 3600
	maxFleetEngines = 10_000
)

// OrderPolicy is how engines are ordered: an OrderNothing, OrderByProduct, OrderByDemand or
// OrderClairvoyant.
type OrderPolicy interface {
	fmt.Stringer
	orderPolicy()
}

// OrderNothing keeps the engines that are present.
type OrderNothing struct{}

// OrderByProduct orders as provisioner does with a headroom.
type OrderByProduct struct{ Headroom float64 }

// OrderByDemand orders reclaimable engines, too, only up to a multiple of the engines
// that the recent peak kept busy.
type OrderByDemand struct{ Headroom float64 }

// OrderClairvoyant knows the work and the reclaims that will come. It has the fewest
// engines that serve all work without a wait, each ordered just in time, at the lowest
// prices of that moment. It bounds what any policy can save that serves as much.
type OrderClairvoyant struct{}

func (OrderNothing) orderPolicy()     {}
func (OrderByProduct) orderPolicy()   {}
func (OrderByDemand) orderPolicy()    {}
func (OrderClairvoyant) orderPolicy() {}

func (OrderNothing) String() string     { return "nothing" }
func (o OrderByProduct) String() string { return fmt.Sprintf("headroom %g", o.Headroom) }
func (o OrderByDemand) String() string  { return fmt.Sprintf("all by demand %g", o.Headroom) }
func (OrderClairvoyant) String() string { return "clairvoyant" }

// OrderResult is the outcome of one run: work in seconds of an engine, spend in prices.
type OrderResult struct {
	Fleet          string
	Policy         OrderPolicy
	Served, Asked  float64
	Spend          float64
	ServedBySecond []Credit
}

// ServedShare returns the share of the work that was served.
func (r OrderResult) ServedShare() float64 { return Credit{r.Served, r.Asked}.Ratio() }

// WorstSecond returns the smallest share of the work of a second that was served in it.
func (r OrderResult) WorstSecond() float64 {
	worst := 1.0
	for _, c := range r.ServedBySecond {
		worst = min(worst, c.Ratio())
	}
	return worst
}

// fleetDay is what happens to a fleet whatever is ordered, by step.
type fleetDay struct {
	prefill, decode []float64
	unavailable     [][]bool // By data centre.
}

func (d fleetDay) work(i int) float64 { return d.prefill[i] + d.decode[i] }

func newFleetDay(f Fleet, seed uint64) fleetDay {
	random := rand.New(rand.NewPCG(seed, 3))
	steps := int(f.Seconds * 1000 / float64(orderStep))
	d := fleetDay{make([]float64, steps), make([]float64, steps), make([][]bool, len(f.DataCentres))}
	for i := range steps {
		high := f.Demand.FlipInterval > 0 && int(float64(i)*float64(orderStep)/f.Demand.FlipInterval)%2 == 0
		d.prefill[i], d.decode[i] = f.Demand.Prefill, f.Demand.Decode
		switch {
		case f.Demand.FlipInterval == 0:
		case high:
			d.prefill[i], d.decode[i] = d.prefill[i]*f.Demand.HighFactor, d.decode[i]*f.Demand.LowFactor
		default:
			d.prefill[i], d.decode[i] = d.prefill[i]*f.Demand.LowFactor, d.decode[i]*f.Demand.HighFactor
		}
	}
	for range f.Demand.Bursts {
		first := random.IntN(steps)
		for i := first; i < min(first+int(f.Demand.BurstTime/orderStep), steps); i++ {
			d.prefill[i] *= f.Demand.BurstFactor
			d.decode[i] *= f.Demand.BurstFactor
		}
	}
	for c := range d.unavailable {
		d.unavailable[c] = make([]bool, steps)
	}
	for range f.Reclaims {
		centre, first := random.IntN(len(f.DataCentres)), random.IntN(steps)
		for i := first; i < min(first+1+int(f.UnavailableTime/orderStep), steps); i++ {
			d.unavailable[centre][i] = true
		}
	}
	return d
}

// RunOrders plays a fleet with a policy. Runs with the same seed see the same work and
// the same reclaims.
func RunOrders(f Fleet, policy OrderPolicy, seed uint64) OrderResult {
	day := newFleetDay(f, seed)
	r := OrderResult{Fleet: f.Name, Policy: policy, ServedBySecond: make([]Credit, int(f.Seconds)+1)}
	switch p := policy.(type) {
	case OrderClairvoyant:
		playClairvoyant(f, day, &r)
	case OrderByProduct:
		playEngines(f, day, &r, productPlan(f, day, p.Headroom, false))
	case OrderByDemand:
		playEngines(f, day, &r, productPlan(f, day, p.Headroom, true))
	case OrderNothing:
		playEngines(f, day, &r, func(int, *engineStock) {})
	}
	return r
}

// record adds a step to the result.
func (r *OrderResult) record(step int, served, asked, spend float64) {
	share := float64(orderStep) / 1000
	second := int(float64(step) * share)
	r.Served, r.Asked, r.Spend = r.Served+served*share, r.Asked+asked*share, r.Spend+spend*share
	r.ServedBySecond[second].Earned += served * share
	r.ServedBySecond[second].Owed += asked * share
}

// playEngines plays a day with engines that plan orders at each interval of the product.
func playEngines(f Fleet, day fleetDay, r *OrderResult, plan func(step int, s *engineStock)) {
	s := newEngineStock(f)
	waiting := 0.0
	for i := range day.prefill {
		s.withdraw(func(centre int) bool { return day.unavailable[centre][i] })
		if i%int(provisioner.Interval()/orderStep) == 0 {
			plan(i, s)
		}
		capacity := s.running(i)
		served := min(waiting+day.work(i), capacity)
		waiting = min(waiting+day.work(i)-served, capacity*float64(f.Demand.Patience)/float64(orderStep))
		r.record(i, served, day.work(i), s.price())
	}
}

// productPlan orders what provisioner orders from the work that it has seen so far. If
// limited, it lowers the number that may be ordered to what the forecast needs.
func productPlan(f Fleet, day fleetDay, headroom float64, limited bool) func(int, *engineStock) {
	stride := int(provisioner.Interval() / orderStep)
	var prefill, decode []float64
	for i := 0; i < len(day.prefill); i += stride {
		prefill, decode = append(prefill, day.prefill[i]), append(decode, day.decode[i])
	}
	forecasts := provisioner.ForecastSeries(headroom, prefill, decode)
	scaling := resolver.Scaling{Min: f.Min}
	for _, c := range f.DataCentres {
		scaling.DataCentres = append(scaling.DataCentres, c.Name)
	}
	service := resolver.Service{Name: f.Name, Scaling: &scaling}
	return func(step int, s *engineStock) {
		unavailable := func(c provisioner.ServiceDataCentre) bool {
			return day.unavailable[slices.Index(scaling.DataCentres, c.DataCentre)][step]
		}
		forecast := forecasts[step/stride]
		scaling.Max = f.Max
		if limited && forecast.Known {
			each := math.Ceil(headroom * forecast.Peak / float64(len(f.DataCentres)))
			scaling.Max = min(max(int(each), f.Min, 1), f.Max)
			s.release(scaling.Max)
		}
		for _, o := range provisioner.PlanCounts(service, s.targets(step), forecast, unavailable) {
			centre := slices.Index(scaling.DataCentres, o.DataCentre)
			if o.Reclaimable && day.unavailable[centre][step] {
				continue
			}
			s.order(centre, o.Reclaimable, o.Count, step)
		}
	}
}

// engineStock is the engines of a fleet, by data centre and kind; each is the step in
// which it starts to serve.
type engineStock struct {
	fleet       Fleet
	onDemand    [][]int
	reclaimable [][]int
}

func newEngineStock(f Fleet) *engineStock {
	s := &engineStock{f, make([][]int, len(f.DataCentres)), make([][]int, len(f.DataCentres))}
	for i, c := range f.DataCentres {
		s.onDemand[i] = make([]int, c.OnDemand)
	}
	return s
}

func (s *engineStock) withdraw(unavailable func(centre int) bool) {
	for i := range s.reclaimable {
		if unavailable(i) {
			s.reclaimable[i] = nil
		}
	}
}

// order sets the number of engines of a kind in a data centre; the newest leave first.
func (s *engineStock) order(centre int, reclaimable bool, count, step int) {
	list := &s.onDemand[centre]
	if reclaimable {
		list = &s.reclaimable[centre]
	}
	for len(*list) < count {
		*list = append(*list, step+int(s.fleet.StartupTime/orderStep))
	}
	*list = (*list)[:count]
}

// release removes the reclaimable engines above a number in each data centre.
func (s *engineStock) release(count int) {
	for i, list := range s.reclaimable {
		s.reclaimable[i] = list[:min(len(list), count)]
	}
}

func (s *engineStock) running(step int) float64 {
	n := 0
	for _, list := range slices.Concat(s.onDemand, s.reclaimable) {
		n += started(list, step)
	}
	return float64(n)
}

// price returns what all engines cost for a second.
func (s *engineStock) price() float64 {
	sum := 0.0
	for i, c := range s.fleet.DataCentres {
		sum += c.Price * (float64(len(s.onDemand[i])) + s.fleet.ReclaimablePrice*float64(len(s.reclaimable[i])))
	}
	return sum
}

// targets returns the engines that have started; others aren't listed yet.
func (s *engineStock) targets(step int) []tracker.Target {
	var list []tracker.Target
	for i, c := range s.fleet.DataCentres {
		for range started(s.onDemand[i], step) {
			list = append(list, tracker.Target{Service: s.fleet.Name, DataCentre: c.Name})
		}
		for range started(s.reclaimable[i], step) {
			list = append(list, tracker.Target{Service: s.fleet.Name, DataCentre: c.Name, Reclaimable: true})
		}
	}
	return list
}

// started returns how many engines serve in a step.
func started(engines []int, step int) int {
	n := 0
	for _, ready := range engines {
		if ready <= step {
			n++
		}
	}
	return n
}

// playClairvoyant plays the bound.
func playClairvoyant(f Fleet, day fleetDay, r *OrderResult) {
	startup := int(f.StartupTime / orderStep)
	for i := range day.prefill {
		needed := 0
		for u := i; u <= min(i+startup, len(day.prefill)-1); u++ {
			needed = max(needed, int(math.Ceil(day.work(u))))
		}
		engines, spend := cheapest(f, needed, func(centre int) bool {
			return slices.Contains(day.unavailable[centre][i:min(i+startup+1, len(day.prefill))], true)
		})
		r.record(i, min(day.work(i), float64(engines)), day.work(i), spend)
	}
}

// cheapest returns how many of the needed engines can be had and what they cost for a
// second, where some data centres have no reclaimable ones.
func cheapest(f Fleet, needed int, unavailable func(centre int) bool) (int, float64) {
	prices := make([]float64, 0, len(f.DataCentres)*f.Max)
	for i, c := range f.DataCentres {
		price := c.Price
		if !unavailable(i) {
			price *= f.ReclaimablePrice
		}
		for range f.Max {
			prices = append(prices, price)
		}
	}
	slices.Sort(prices)
	engines, sum := min(needed, len(prices)), 0.0
	for _, p := range prices[:engines] {
		sum += p
	}
	return engines, sum
}
