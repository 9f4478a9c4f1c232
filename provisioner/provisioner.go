// Package provisioner decides which engines prefill and which decode, and how many
// targets each data centre has. It sends the orders under a lease.
package provisioner

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// interval is the time between two plans; a change of role takes seconds.
	interval = 500 * timekeeper.Millisecond
	// retryAfter is the time after which an order without effect is retried. Targets
	// may carry out an unanswered order up to 12 s later.
	retryAfter = 5 * timekeeper.Second
	// changeTimeout is how long an ordered change of role may take: the answers in flight
	// finish first, which takes up to 10 s, and the change itself takes 3 s.
	changeTimeout = 15 * timekeeper.Second
	// changeCooldown is the time after a change of role in which other engines are
	// preferred for the next change.
	changeCooldown = 10 * timekeeper.Second
	// announcementTTL is the time within which an announced change of role is ordered;
	// it is longer than two intervals.
	announcementTTL = 1200 * timekeeper.Millisecond
	// unavailableRetryAfter is the time after which an order for unavailable targets is retried.
	unavailableRetryAfter = timekeeper.Second
	// unavailableTTL is how long after a refusal reclaimable targets count as unavailable.
	unavailableTTL = 3 * timekeeper.Second
)

// ErrNoneAvailable means that the platform has no targets of the ordered kind available.
var ErrNoneAvailable = errors.New("none of the ordered targets is available")

// Order is an order that the platform carries out: a SetRole or a SetCount. Equal
// orders have equal keys.
type Order interface{ key() string }

// SetRole orders an engine to take a role.
type SetRole struct {
	Target tracker.Target
	Role   tracker.Role
}

// SetCount orders a number of targets of a service in a data centre.
type SetCount struct {
	Service     string
	DataCentre  string
	Count       int
	Reclaimable bool
}

func (o SetRole) key() string { return fmt.Sprintf("role %s of %s", o.Role, o.Target.ID) }

func (o SetCount) key() string {
	return fmt.Sprintf("count %d of %s in %s, reclaimable %t", o.Count, o.Service, o.DataCentre, o.Reclaimable)
}

// roleChange is an ordered change of role.
type roleChange struct {
	role        tracker.Role
	orderedAt   timekeeper.Reading
	completedAt timekeeper.Reading // When the engine first reported the role; zero means not yet.
}

// Platform accepts orders under a fencing token.
type Platform interface {
	// Order sends an order. It returns what a target that received one says of itself.
	Order(ctx context.Context, token int64, o Order) (tracker.Report, error)
}

// Provisioner plans and sends the orders for the targets in its tracker.
type Provisioner struct {
	clock    timekeeper.Clock
	holder   *resolver.Holder
	tracker  *tracker.Tracker
	profiler *profiler.Profiler
	platform Platform
	record   func(recorder.Event)
	headroom float64        // Of the forecasts; 0 means that there are none.
	pending  *PendingKeeper // Nil if changes of role in progress are not stored.
	// When changes of role were announced, by order key.
	announcedAt map[string]timekeeper.Reading
	forecasts   map[string]Forecast // By service; plan replaces them while no order is being sent.

	mu            sync.Mutex // Guards what concurrent sends write.
	sentAt        map[string]timekeeper.Reading
	roleChanges   map[string]roleChange                    // Ordered changes of role by target.
	demands       map[string]*demandEstimator              // By service.
	unavailableAt map[ServiceDataCentre]timekeeper.Reading // When an order for reclaimable targets was last refused.
}

// New returns a provisioner that has sent no orders.
func New(c timekeeper.Clock, h *resolver.Holder, t *tracker.Tracker, f *profiler.Profiler, p Platform, record func(recorder.Event)) *Provisioner {
	return &Provisioner{clock: c, holder: h, tracker: t, profiler: f, platform: p, record: record, announcedAt: map[string]timekeeper.Reading{}, forecasts: map[string]Forecast{}, sentAt: map[string]timekeeper.Reading{}, roleChanges: map[string]roleChange{}, demands: map[string]*demandEstimator{}, unavailableAt: map[ServiceDataCentre]timekeeper.Reading{}}
}

// SetHeadroom bounds the on-demand substitutes of reclaimable engines: they are ordered
// only up to the given multiple of the engines that the recent peak kept busy.
func (p *Provisioner) SetHeadroom(h float64) { p.headroom = h }

// KeepPending sets what stores the changes of role in progress. It must be called before Run.
func (p *Provisioner) KeepPending(k *PendingKeeper) { p.pending = k }

// Run plans and sends orders under the tenure until the context ends.
func (p *Provisioner) Run(ctx context.Context, t leaser.Tenure) {
	p.resumePending(ctx)
	for ctx.Err() == nil {
		p.step(ctx, t)
		timekeeper.Sleep(ctx, interval)
	}
}

func (p *Provisioner) step(ctx context.Context, t leaser.Tenure) {
	directory, _ := p.holder.Current()
	if directory == nil || !p.tracker.HasList() {
		return
	}
	// Orders are sent concurrently, so that one without an answer does not delay the others.
	var due []Order
	for _, o := range p.plan(directory.Services()) {
		if p.due(o) {
			due = append(due, o)
			p.sentAt[o.key()] = p.clock.Read()
		}
	}
	p.addPending(ctx, due)
	var sending sync.WaitGroup
	for _, o := range due {
		if t.Check(t.SendTimeout()) != nil {
			break
		}
		sending.Go(func() { p.send(ctx, t, o) })
	}
	sending.Wait()
	for name, at := range p.sentAt {
		if p.clock.Read().Since(at) >= retryAfter {
			delete(p.sentAt, name)
		}
	}
}

// resumePending continues the changes of role that were ordered in earlier tenures.
func (p *Provisioner) resumePending(ctx context.Context) {
	if p.pending == nil {
		return
	}
	pending, now := p.pending.Load(ctx), p.clock.Read()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.tracker.Targets() {
		left := pending.Left(t, now.Wall)
		if left <= 0 {
			continue
		}
		role, _ := roleOf(pending[t.ID].Role) // Was checked when it was decoded.
		p.roleChanges[t.ID] = roleChange{role: role, orderedAt: now.Before(changeTimeout - left)}
	}
}

// addPending stores the changes of role among orders that are about to be sent.
func (p *Provisioner) addPending(ctx context.Context, due []Order) {
	var changes []SetRole
	for _, o := range due {
		if role, ok := o.(SetRole); ok {
			changes = append(changes, role)
		}
	}
	if p.pending != nil && len(changes) > 0 {
		p.pending.Add(ctx, changes)
	}
}

// due reports whether an order is to be sent now. A change of role is first announced
// to the other instances, so that they send the engine no requests that it would reject.
func (p *Provisioner) due(o Order) bool {
	now := p.clock.Read()
	if at, ok := p.sentAt[o.key()]; ok && now.Since(at) < retryAfter {
		return false
	}
	role, ok := o.(SetRole)
	if !ok {
		return true
	}
	if at, ok := p.announcedAt[o.key()]; ok && now.Since(at) < announcementTTL {
		delete(p.announcedAt, o.key())
		return true
	}
	p.announcedAt[o.key()] = now
	p.tracker.RoleChanging(role.Target.ID, announcementTTL)
	return false
}

// send sends an order and records the outcome. It is safe for concurrent use.
func (p *Provisioner) send(ctx context.Context, t leaser.Tenure, o Order) {
	ctx, cancel := context.WithTimeout(ctx, t.SendTimeout().Duration())
	defer cancel()
	inputs := append(p.inputs(o), zap.Int64("token", t.Epoch()))
	report, err := p.platform.Order(ctx, t.Epoch(), o)
	p.handleAnswer(o, report, err)
	if err != nil {
		p.record(recorder.Event{Code: recorder.OrderFailed, Order: o.key(), Cause: err.Error(), Inputs: inputs})
		return
	}
	p.record(recorder.Event{Code: recorder.OrderSent, Order: o.key(), Inputs: inputs})
}

// inputs returns what decided an order, for its log line.
func (p *Provisioner) inputs(o Order) []zap.Field {
	count, ok := o.(SetCount)
	if !ok {
		return nil
	}
	f := p.forecasts[count.Service]
	return []zap.Field{zap.Bool("demand-known", f.Known), zap.Float64("engines-busy-at-peak", f.Peak), zap.Float64("order-headroom", f.Headroom)}
}

// handleAnswer updates the state with the outcome of an order.
func (p *Provisioner) handleAnswer(o Order, report tracker.Report, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch o := o.(type) {
	case SetCount:
		if errors.Is(err, ErrNoneAvailable) {
			p.unavailableAt[ServiceDataCentre{o.Service, o.DataCentre}] = p.clock.Read()
			// Backdated, so that the order is retried after unavailableRetryAfter:
			// targets may have become available by then.
			p.sentAt[o.key()] = p.clock.Read().Before(retryAfter - unavailableRetryAfter)
		}
	case SetRole:
		p.tracker.RecordReport(o.Target, report, "")
		if err == nil {
			p.roleChanges[o.Target.ID] = roleChange{role: o.Role, orderedAt: p.clock.Read()}
			p.tracker.RoleChanging(o.Target.ID, changeTimeout)
		}
	}
}

// plan returns the orders that bring the fleet to the desired state.
func (p *Provisioner) plan(services []resolver.Service) []Order {
	targets := p.tracker.Targets()
	var orders []Order
	for _, s := range services {
		var forecast Forecast
		if s.Engines {
			engines := p.engines(s)
			estimator := p.demands[s.Name]
			if estimator == nil {
				estimator = &demandEstimator{}
				p.demands[s.Name] = estimator
			}
			profile := p.profiler.Profile(s.Name)
			estimator.observe(engines, profile.PrefillDemand)
			demand := estimator.estimate(profile, engines)
			for _, o := range PlanRoles(engines, demand) {
				orders = append(orders, o)
			}
			forecast = Forecast{Headroom: p.headroom, Known: demand.Known, Peak: demand.Prefill + demand.Decode}
			p.forecasts[s.Name] = forecast
		}
		if s.Scaling != nil {
			for _, o := range PlanCounts(s, targets, forecast, p.reclaimableUnavailable) {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// engines returns the engines of a service that only prefill or only decode, each with
// the role that it was last ordered to take.
func (p *Provisioner) engines(s resolver.Service) []Engine {
	var list []Engine
	now := p.clock.Read()
	costs := placer.Costs{Engine: s.Engine}
	for _, c := range p.tracker.Candidates(s.Name) {
		if c.Role == tracker.PrefillAndDecode {
			continue
		}
		e := Engine{Target: c.Target, InFlight: float64(c.LocalRequests) + c.RemoteRequests, Excluded: c.Suspected}
		if e.InFlight > 0 {
			e.Utilization = costs.Utilization(c, 0)
		}
		if ordered, ok := p.roleChanges[c.ID]; ok {
			ordered = ordered.confirm(c.Role, now)
			p.roleChanges[c.ID] = ordered
			switch {
			case ordered.completedAt == (timekeeper.Reading{}) && now.Since(ordered.orderedAt) < changeTimeout:
				e.Role = ordered.role
				e.Changing = true
			case ordered.completedAt != (timekeeper.Reading{}) && now.Since(ordered.completedAt) < changeCooldown:
				e.RecentlyChanged = true
			default:
				delete(p.roleChanges, c.ID)
			}
		}
		list = append(list, e)
	}
	return list
}

// confirm marks the change as complete if the engine reports the ordered role.
func (c roleChange) confirm(role tracker.Role, now timekeeper.Reading) roleChange {
	if c.completedAt == (timekeeper.Reading{}) && role == c.role {
		c.completedAt = now
	}
	return c
}

// reclaimableUnavailable reports whether an order for reclaimable targets was refused
// within unavailableTTL.
func (p *Provisioner) reclaimableUnavailable(c ServiceDataCentre) bool {
	at, ok := p.unavailableAt[c]
	return ok && p.clock.Read().Since(at) < unavailableTTL
}
