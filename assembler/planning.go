package assembler

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/orderer"
	"github.com/gypsumwharf/gypsumwharf/planner"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Planning configures the planner duty.
type Planning struct {
	Policy planner.Policy
	// Period is the time between plans; 0 means a third of the lease.
	Period timekeeper.Millis
	// OrderTargets lets the planner start and stop targets. Without it, the planner
	// only changes roles and loads models.
	OrderTargets bool
}

// offerUnavailableTime is how long an offer is excluded after the platform could not deliver it.
const offerUnavailableTime = 2 * timekeeper.Minute

// workload provides the queued work that the planner considers.
type workload interface {
	// queued returns the tokens that are queued at the data centre's targets.
	queued() planner.Demand
	// backlog returns how long requests wait in the instance's queues.
	backlog() timekeeper.Millis
}

// instanceWorkload is the workload of an instance, read from its router and its schedulers.
type instanceWorkload struct {
	*routing
	*admission
}

// backlog implements workload.
func (a *admission) backlog() timekeeper.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	longest := timekeeper.Millis(0)
	for _, p := range a.pools {
		longest = max(longest, p.scheduler.State().Backlog)
	}
	return longest
}

// queued implements workload from the router's view, which covers the work of all
// instances. Routes share targets, so the result is the largest queue, not the sum.
func (r *routing) queued() planner.Demand {
	var d planner.Demand
	now := r.instance.clock.Now()
	for _, route := range r.instance.Catalogue().Declaration().Routes {
		if route.Kind == declarer.RouteKindModel {
			d.Prefill = max(d.Prefill, r.router.Capacity(route.Name, true, now).PrefillQueued)
		}
	}
	return d
}

// planning measures demand at every instance, and makes plans at the instance that holds
// the planner's lease.
type planning struct {
	instance *Instance
	options  Planning
	workload workload
	states   *http.Client

	mu          sync.Mutex
	workspaces  map[string]*workspaceDemand
	total       planner.Forecast
	unavailable map[offerID]timekeeper.Millis
}

type offerID struct{ purchase, zone string }

// workspaceDemand is the demand of one workspace.
type workspaceDemand struct {
	forecast          planner.Forecast
	arrived           planner.Demand // since the last observation
	totalTokens       float64        // since the start, and the preemptible part of them
	preemptibleTokens float64
	slack             timekeeper.Millis
}

func newPlanning(i *Instance, o Planning) *planning {
	if o.Period == 0 {
		o.Period = timekeeper.Millis(i.settings.LeaseMilliseconds) / 3
	}
	o.Policy = o.Policy.WithDefaults()
	p := &planning{
		instance: i, options: o, workload: instanceWorkload{i.routing, i.admission}, states: orderer.NewStateClient(),
		workspaces: map[string]*workspaceDemand{}, unavailable: map[offerID]timekeeper.Millis{},
	}
	i.duties.add(leaser.LeaseDutyPlanner, p.runDuty)
	return p
}

// recordUsage adds the tokens that an attempt used.
func (p *planning) recordUsage(r request, u dispatcher.Usage) {
	d := planner.Demand{Prefill: float64(u.PromptTokens - u.CachedTokens), Decode: float64(u.OutputTokens)}
	if d == (planner.Demand{}) {
		return
	}
	ran := p.instance.clock.Now() - r.arrived
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workspaces[r.workspace.Name]
	if !ok {
		w = &workspaceDemand{}
		p.workspaces[r.workspace.Name] = w
	}
	w.arrived = w.arrived.Plus(d)
	w.totalTokens += d.Prefill + d.Decode
	if planner.Preemptible(r.Idempotent, ran, r.deadline-r.arrived) {
		w.preemptibleTokens += d.Prefill + d.Decode
		w.slack = r.deadline - r.arrived - ran
	}
}

// run measures demand in each period, so that a new lease holder has a forecast.
func (p *planning) run(ctx context.Context) {
	p.instance.every(ctx, p.options.Period, func(context.Context) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.observe(p.instance.clock.Now())
	})
}

// observe extrapolates the demand of the data centre from what arrived at this instance,
// as the load balancer gives instances equal shares. The caller holds mu.
func (p *planning) observe(now timekeeper.Millis) {
	var sum planner.Demand
	factor := float64(len(p.instance.duties.members())) / p.options.Period.Seconds()
	for _, w := range p.workspaces {
		rate := w.arrived.Times(factor)
		w.arrived = planner.Demand{}
		w.forecast.Observe(now, rate)
		sum = sum.Plus(rate)
	}
	p.total.Observe(now, sum)
}

// runDuty makes plans and submits orders during a tenure.
func (p *planning) runDuty(ctx context.Context, t leaser.Tenure) {
	fleet := &engineFleet{planning: p}
	o := orderer.New(orderer.Options{
		DataCentre: p.instance.settings.DataCentre, Objects: p.instance.platform, Targets: p.instance.platform,
		Clock: p.instance.clock, Engine: fleet.engine, Record: p.instance.recorder.Record, Finished: p.orderFinished,
		SendTimeout: p.instance.duties.options().SendTimeout, Seed: uint64(p.instance.incarnation),
	}, t)
	due := timekeeper.Millis(0)
	// The error is the reason why the tenure ended; the leaser records the loss of the lease.
	_ = o.Run(ctx, func(ctx context.Context) {
		if now := p.instance.clock.Now(); now >= due {
			due = now + p.options.Period
			p.planOnce(ctx, o, fleet)
		}
	})
}

// planOnce makes one plan and submits its decisions as orders.
func (p *planning) planOnce(ctx context.Context, o *orderer.Orderer, fleet *engineFleet) {
	if err := fleet.refresh(ctx, o); err != nil {
		return
	}
	view := p.view(o, fleet)
	for _, d := range planner.Plan(view, p.options.Policy) {
		if order, ok := p.orderFor(d); ok {
			// A decision about a busy target is made again in the next round.
			_, _ = o.Submit(order)
		}
	}
}

func (p *planning) orderFor(d planner.Decision) (orderer.Order, bool) {
	switch d := d.(type) {
	case planner.ChangeRole:
		return orderer.Order{Action: orderer.ActionChangeRole, Target: d.Target, Role: orderer.Role(d.Role)}, true
	case planner.Load:
		model := p.model(d.Model)
		return orderer.Order{Action: orderer.ActionLoad, Target: d.Target, Model: model.Name, Version: model.Version}, true
	case planner.Start:
		return orderer.Order{
			Action: orderer.ActionStart, Kind: string(declarer.TargetKindEngine), Purchase: string(d.Offer.Purchase),
			Zone: d.Offer.Zone, Role: orderer.Role(d.Role),
		}, p.options.OrderTargets
	case planner.Stop:
		return orderer.Order{Action: orderer.ActionStop, Target: d.Target}, p.options.OrderTargets
	default:
		return orderer.Order{}, false
	}
}

func (p *planning) model(name string) declarer.Model {
	for _, m := range p.instance.Catalogue().Declaration().Models {
		if m.Name == name {
			return m
		}
	}
	return declarer.Model{Name: name}
}

// orderFinished excludes an offer for some time if the platform could not deliver it.
func (p *planning) orderFinished(order orderer.Order, err error) {
	if errors.Is(err, orderer.ErrNoCapacity) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.unavailable[offerID{order.Purchase, order.Zone}] = p.instance.clock.Now() + offerUnavailableTime
	}
}

// view collects the inputs of a plan.
func (p *planning) view(o *orderer.Orderer, fleet *engineFleet) planner.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := planner.View{
		Now: p.instance.clock.Now(), ExpectedDemand: p.total.After(p.options.Policy.Horizon / 2), Contracts: p.contracts(),
		Targets: fleet.targets, Downloads: fleet.downloads, Busy: map[string]bool{},
	}
	// The requests queued at the instances are assumed to have the mix of the forecast.
	v.QueuedWork = p.workload.queued().Plus(v.ExpectedDemand.Times(p.workload.backlog().Seconds()))
	for _, order := range o.Pending() {
		v.Busy[order.Target] = true
	}
	for _, c := range o.Changes() {
		v.Changes = append(v.Changes, planner.Change{Target: c.Target, At: timekeeper.Millis(c.At)})
	}
	if p.options.OrderTargets {
		v.Offers = p.offers(fleet)
	}
	return v
}

// contracts returns the demand of each workspace. A spend ceiling applies to all data
// centres together, so each gets an equal part of it.
func (p *planning) contracts() []planner.Contract {
	var list []planner.Contract
	declaration := p.instance.Catalogue().Declaration()
	for _, w := range declaration.Workspaces {
		d, ok := p.workspaces[w.Name]
		if !ok {
			d = &workspaceDemand{}
		}
		c := planner.Contract{
			Workspace: w.Name, SpendCeiling: w.SpendCeilingPerHour / float64(max(1, len(declaration.DataCentres))),
			ExpectedDemand: d.forecast.MaxUntil(planner.LeadTime(p.options.Policy, 0, 0)), PeakDemand: d.forecast.Peak(), Slack: d.slack,
		}
		if w.Reclaimable && d.totalTokens > 0 {
			c.PreemptibleShare = d.preemptibleTokens / d.totalTokens
		}
		list = append(list, c)
	}
	return list
}

// offers returns one offer for each purchase and zone among the declared engines.
func (p *planning) offers(fleet *engineFleet) []planner.Offer {
	var list []planner.Offer
	seen := map[offerID]bool{}
	for _, t := range fleet.declared() {
		id := offerID{string(t.Purchase), t.Zone}
		if seen[id] {
			continue
		}
		seen[id] = true
		list = append(list, planner.Offer{
			Purchase: t.Purchase, Zone: t.Zone, Cost: t.CostPerHour, Speed: speedOf(t), UnavailableUntil: p.unavailable[id],
		})
	}
	return list
}

func speedOf(t declarer.Target) planner.Demand {
	return planner.Demand{Prefill: t.PrefillTokensPerSecond, Decode: t.DecodeTokensPerSecond}
}

// matchDeclared returns an ordered target with the properties of a declared engine of the
// same purchase type, if there is one.
func matchDeclared(declared []declarer.Target, o storer.OrderedTarget) (declarer.Target, bool) {
	for _, t := range declared {
		if string(t.Purchase) == o.Purchase {
			t.Name, t.URL, t.Zone, t.Role = o.Name, o.URL, o.Zone, declarer.TargetRoleMixed
			return t, true
		}
	}
	return declarer.Target{}, false
}
