// Package provisioner decides which engines read prompts and which generate, and
// how many targets each data centre has. It carries out its decisions under a lease.
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
	// interval is the time between looks at the fleet; a target is back from a
	// change of role after seconds.
	interval = 500 * timekeeper.Millisecond
	// repeatAfter is the time after which an order without effect is sent again.
	// Targets may carry out an order that they did not answer up to 12 s later.
	repeatAfter = 5 * timekeeper.Second
	// changeSpan is how long an ordered change of role may take: running answers end
	// first, which takes up to ten seconds, and the change itself three.
	changeSpan = 15 * timekeeper.Second
	// restSpan is how long an engine that changed its role keeps it if others can change instead.
	restSpan = 10 * timekeeper.Second
	// announceLife is the time in which an announced change of role is ordered; it is
	// longer than two looks at the fleet.
	announceLife = 1200 * timekeeper.Millisecond
	// dryRetry is the time after which targets that were not to be had are ordered again.
	dryRetry = timekeeper.Second
	// dryLife is how long after a refusal targets count as not to be had.
	dryLife = 3 * timekeeper.Second
)

// ErrNoneAvailable means that the platform has no targets of the ordered kind to give.
var ErrNoneAvailable = errors.New("none of the ordered targets is available")

// Order is an order for a target or for a number of targets.
type Order interface{ order() string }

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

func (o SetRole) order() string { return fmt.Sprintf("role %s of %s", o.Role, o.Target.ID) }

func (o SetCount) order() string {
	return fmt.Sprintf("count %d of %s in %s, reclaimable %t", o.Count, o.Service, o.DataCentre, o.Reclaimable)
}

// change is an ordered change of role.
type change struct {
	role tracker.Role
	at   timekeeper.Reading
	done timekeeper.Reading // When the engine was seen with the role; zero is not yet.
}

// Platform takes orders under a fencing token.
type Platform interface {
	Order(ctx context.Context, token int64, o Order) error
}

// Provisioner plans for the fleet that its tracker knows.
type Provisioner struct {
	clock    timekeeper.Clock
	holder   *resolver.Holder
	tracker  *tracker.Tracker
	profiler *profiler.Profiler
	platform Platform
	record   func(recorder.Event)
	// Announced changes of role, by order.
	announced map[string]timekeeper.Reading

	mu      sync.Mutex // Guards what orders that are being sent write.
	sent    map[string]timekeeper.Reading
	roles   map[string]change             // Ordered changes of role by target.
	demands map[string]*demand            // By service.
	dry     map[Centre]timekeeper.Reading // When reclaimable targets were not to be had.
}

// New returns a provisioner that has ordered nothing.
func New(c timekeeper.Clock, h *resolver.Holder, t *tracker.Tracker, f *profiler.Profiler, p Platform, record func(recorder.Event)) *Provisioner {
	return &Provisioner{clock: c, holder: h, tracker: t, profiler: f, platform: p, record: record, announced: map[string]timekeeper.Reading{}, sent: map[string]timekeeper.Reading{}, roles: map[string]change{}, demands: map[string]*demand{}, dry: map[Centre]timekeeper.Reading{}}
}

// Run gives orders until the context ends.
func (p *Provisioner) Run(ctx context.Context, t leaser.Tenure) {
	for ctx.Err() == nil {
		p.step(ctx, t)
		timekeeper.Sleep(ctx, interval)
	}
}

func (p *Provisioner) step(ctx context.Context, t leaser.Tenure) {
	directory, _ := p.holder.Current()
	if directory == nil || !p.tracker.Listed() {
		return
	}
	// An order that gets no answer must not hold up the others.
	var due []Order
	for _, o := range p.plan(directory.Services()) {
		if p.due(o) {
			due = append(due, o)
			p.sent[o.order()] = p.clock.Read()
		}
	}
	var sending sync.WaitGroup
	for _, o := range due {
		if t.Check(t.LongestSend()) != nil {
			break
		}
		sending.Go(func() { p.send(ctx, t, o) })
	}
	sending.Wait()
	for name, at := range p.sent {
		if p.clock.Read().Since(at) >= repeatAfter {
			delete(p.sent, name)
		}
	}
}

// due reports whether an order is to be sent now. A change of role is announced to
// the other instances first, so that the engine gets no requests that it would reject.
func (p *Provisioner) due(o Order) bool {
	now := p.clock.Read()
	if at, ok := p.sent[o.order()]; ok && now.Since(at) < repeatAfter {
		return false
	}
	role, ok := o.(SetRole)
	if !ok {
		return true
	}
	if at, ok := p.announced[o.order()]; ok && now.Since(at) < announceLife {
		delete(p.announced, o.order())
		return true
	}
	p.announced[o.order()] = now
	p.tracker.Switching(role.Target.ID, announceLife)
	return false
}

// send sends an order; several may be sent at once.
func (p *Provisioner) send(ctx context.Context, t leaser.Tenure, o Order) {
	ctx, cancel := context.WithTimeout(ctx, t.LongestSend().Duration())
	defer cancel()
	token := zap.Int64("token", t.Epoch())
	err := p.platform.Order(ctx, t.Epoch(), o)
	p.answered(o, err)
	if err != nil {
		p.record(recorder.Event{Code: recorder.OrderFailed, Order: o.order(), Cause: err.Error(), Inputs: []zap.Field{token}})
		return
	}
	p.record(recorder.Event{Code: recorder.OrderSent, Order: o.order(), Inputs: []zap.Field{token}})
}

// answered notes what became of an order.
func (p *Provisioner) answered(o Order, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch o := o.(type) {
	case SetCount:
		if errors.Is(err, ErrNoneAvailable) {
			p.dry[Centre{o.Service, o.DataCentre}] = p.clock.Read()
			// None may be there in a second.
			p.sent[o.order()] = p.clock.Read().Before(repeatAfter - dryRetry)
		}
	case SetRole:
		if err == nil {
			p.roles[o.Target.ID] = change{role: o.Role, at: p.clock.Read()}
			p.tracker.Switching(o.Target.ID, changeSpan)
		}
	}
}

// plan returns the orders that bring the fleet to the wanted state.
func (p *Provisioner) plan(services []resolver.Service) []Order {
	targets := p.tracker.Targets()
	var orders []Order
	for _, s := range services {
		if s.Engines {
			engines := p.engines(s)
			d := p.demands[s.Name]
			if d == nil {
				d = &demand{}
				p.demands[s.Name] = d
			}
			profile := p.profiler.Profile(s.Name)
			d.look(engines, profile.Reading)
			for _, o := range Roles(engines, d.need(profile, engines)) {
				orders = append(orders, o)
			}
		}
		if s.Scaling != nil {
			for _, o := range Counts(s, targets, p.isDry) {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// engines returns the engines of a service that have a role, with the role that
// they were ordered to take.
func (p *Provisioner) engines(s resolver.Service) []Engine {
	var list []Engine
	now := p.clock.Read()
	costs := placer.Costs{Engine: s.Engine}
	for _, c := range p.tracker.Candidates(s.Name) {
		if c.Role == tracker.Whole {
			continue
		}
		e := Engine{Target: c.Target, Work: float64(c.Own) + c.Others, Avoided: c.Suspect}
		if e.Work > 0 {
			e.Taken = costs.Taken(c, 0)
		}
		if ordered, ok := p.roles[c.ID]; ok {
			ordered = ordered.seen(c.Role, now)
			p.roles[c.ID] = ordered
			switch {
			case ordered.done == (timekeeper.Reading{}) && now.Since(ordered.at) < changeSpan:
				e.Role = ordered.role
				e.Changing = true
			case ordered.done != (timekeeper.Reading{}) && now.Since(ordered.done) < restSpan:
				e.Changed = true
			default:
				delete(p.roles, c.ID)
			}
		}
		list = append(list, e)
	}
	return list
}

// seen notes the role that the engine tells.
func (c change) seen(role tracker.Role, now timekeeper.Reading) change {
	if c.done == (timekeeper.Reading{}) && role == c.role {
		c.done = now
	}
	return c
}

// isDry reports whether reclaimable targets were lately not to be had.
func (p *Provisioner) isDry(c Centre) bool {
	at, ok := p.dry[c]
	return ok && p.clock.Read().Since(at) < dryLife
}
