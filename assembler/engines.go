package assembler

import (
	"context"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/orderer"
	"github.com/gypsumwharf/gypsumwharf/planner"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// engineFleet is the planner's view of the data centre's engines, both declared ones
// and those that the platform delivered. It is refreshed before each plan.
type engineFleet struct {
	planning *planning

	mu            sync.Mutex
	targetsByName map[string]declarer.Target
	targets       []planner.Target
	downloads     int
	servingSince  map[string]timekeeper.Millis
}

// declared returns the declared engines of the instance's data centre.
func (f *engineFleet) declared() []declarer.Target {
	i := f.planning.instance
	var list []declarer.Target
	for _, t := range i.Catalogue().Declaration().Targets {
		if t.Kind == declarer.TargetKindEngine && t.DataCentre == i.settings.DataCentre {
			list = append(list, t)
		}
	}
	return list
}

// engine implements orderer.Options.Engine.
func (f *engineFleet) engine(target string) (orderer.Engine, bool, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.targetsByName[target]
	if !ok {
		// An order of an earlier lease holder may be processed before the first refresh.
		t, ok = f.planning.instance.Catalogue().Target(target)
	}
	if !ok || t.URL == "" {
		return nil, false, false
	}
	return orderer.NewHTTPEngine(t.URL, f.planning.states), t.Fencing == declarer.TargetFencingChecked, true
}

// refresh requests the state of every engine. An engine that has no order interface
// or does not answer counts as serving in its declared role.
func (f *engineFleet) refresh(ctx context.Context, o *orderer.Orderer) error {
	i := f.planning.instance
	ordered, err := i.platform.ListOrdered(ctx, i.settings.DataCentre)
	if err != nil {
		return err
	}
	declared := f.declared()
	targetsByName := map[string]declarer.Target{}
	targets := make([]planner.Target, 0, len(declared)+len(ordered))
	for _, t := range declared {
		targetsByName[t.Name] = t
		targets = append(targets, f.target(t, planner.Serving))
	}
	for _, d := range ordered {
		t, ok := matchDeclared(declared, d)
		if _, isDeclared := targetsByName[d.Name]; !ok || isDeclared || d.State == "unavailable" {
			continue
		}
		targetsByName[d.Name] = t
		targets = append(targets, f.target(t, stateOf(d)))
	}
	f.mu.Lock()
	f.targetsByName = targetsByName
	f.mu.Unlock()
	f.targets = targets
	f.fetchStates(ctx)
	f.addOrders(o)
	f.protectDeclared(declared)
	return nil
}

func stateOf(t storer.OrderedTarget) planner.State {
	switch t.State {
	case "ordered":
		return planner.Ordered
	case "leaving":
		return planner.Leaving
	default:
		return planner.Serving
	}
}

func (f *engineFleet) target(t declarer.Target, s planner.State) planner.Target {
	now := f.planning.instance.clock.Now()
	if f.servingSince == nil {
		f.servingSince = map[string]timekeeper.Millis{}
	}
	if s == planner.Serving && f.servingSince[t.Name] == 0 {
		f.servingSince[t.Name] = now
	}
	return planner.Target{
		Name: t.Name, Zone: t.Zone, Purchase: t.Purchase, Role: t.Role, State: s, Cost: t.CostPerHour,
		Speed: speedOf(t), ReadyAt: f.servingSince[t.Name],
	}
}

// fetchStates requests the states of all serving engines concurrently. A delivered
// engine that answers should serve the first model of its matching declared engine.
func (f *engineFleet) fetchStates(ctx context.Context) {
	var group sync.WaitGroup
	states := make([]*orderer.EngineState, len(f.targets))
	for n, t := range f.targets {
		if t.State != planner.Serving {
			continue
		}
		engine, _, ok := f.engine(t.Name)
		if !ok {
			continue
		}
		group.Go(func() {
			if s, err := engine.State(ctx); err == nil && s.Check() == nil {
				states[n] = &s
			}
		})
	}
	group.Wait()
	for n, s := range states {
		if s == nil {
			continue
		}
		t := &f.targets[n]
		t.Model, t.Running = s.Model, s.Running
		t.Load = t.Speed.Times(min(1, float64(s.Running)/float64(max(1, f.targetsByName[t.Name].Concurrency))))
		if s.Role != orderer.RoleBlank {
			t.Role = declarer.TargetRole(s.Role)
		}
		if s.Changing != "" || s.Draining {
			t.State = planner.Changing
		}
		if _, isDeclared := f.planning.instance.Catalogue().Target(t.Name); !isDeclared {
			t.DesiredModel = f.targetsByName[t.Name].Models[0]
		}
	}
}

// addOrders sets the new role of engines whose role is being changed, and since when
// each engine has had its role.
func (f *engineFleet) addOrders(o *orderer.Orderer) {
	changing, since := map[string]orderer.Role{}, map[string]int64{}
	f.downloads = 0
	for _, order := range o.Pending() {
		switch {
		case order.Action == orderer.ActionChangeRole:
			changing[order.Target] = order.Role
		case order.Action == orderer.ActionLoad && order.Model != "":
			f.downloads++
		}
	}
	for _, c := range o.Changes() {
		since[c.Target] = max(since[c.Target], c.At)
	}
	for n := range f.targets {
		t := &f.targets[n]
		t.RoleSince = timekeeper.Millis(since[t.Name])
		if role, ok := changing[t.Name]; ok {
			t.State, t.Role = planner.Changing, declarer.TargetRole(role)
		}
	}
}

// protectDeclared keeps the planner from stopping declared targets, which only
// operators add and remove: a target that has just become ready is not stopped.
func (f *engineFleet) protectDeclared(declared []declarer.Target) {
	names := map[string]bool{}
	for _, t := range declared {
		names[t.Name] = true
	}
	now := f.planning.instance.clock.Now()
	for n := range f.targets {
		if names[f.targets[n].Name] {
			f.targets[n].ReadyAt = now
		}
	}
}
