package faker

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Fault is how a call to the platform or an engine's order interface fails.
type Fault int

// Faults of one call.
const (
	// NoFault lets the call through.
	NoFault Fault = iota
	// FaultUnavailable rejects the call without effect.
	FaultUnavailable
	// FaultLostAnswer lets the change take effect but loses the answer.
	FaultLostAnswer
)

// Platform is a stand-in for the platform, in memory. It implements
// storer.Platform, records what reached it and is safe for concurrent use.
type Platform struct {
	clock timekeeper.Clock

	mu        sync.Mutex
	revision  storer.Version
	objects   map[string]storer.Object
	deleted   map[string]storer.Object
	changed   chan struct{}
	fault     func(operation, name string) Fault
	calls     map[string]int
	orders    []storer.TargetOrder
	ordered   map[string]storer.OrderedTarget
	tokens    map[string]int64
	reports   []storer.UsageReport
	instances map[string]storer.ListedInstance
}

var _ storer.Platform = (*Platform)(nil)

// NewPlatform returns an empty platform.
func NewPlatform(c timekeeper.Clock) *Platform {
	return &Platform{
		clock:     c,
		objects:   map[string]storer.Object{},
		deleted:   map[string]storer.Object{},
		changed:   make(chan struct{}),
		calls:     map[string]int{},
		ordered:   map[string]storer.OrderedTarget{},
		tokens:    map[string]int64{},
		instances: map[string]storer.ListedInstance{},
	}
}

// SetFault sets a function that chooses the fault of each later call by operation
// (get, put, delete, list, watch, order, ordered, report, register, instances) and
// name; nil ends all faults.
func (p *Platform) SetFault(f func(operation, name string) Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// SetDown makes every call fail while down.
func (p *Platform) SetDown(down bool) {
	if !down {
		p.SetFault(nil)
		return
	}
	p.SetFault(func(string, string) Fault { return FaultUnavailable })
}

// Calls returns the number of calls by operation, including failed ones.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int, len(p.calls))
	for operation, n := range p.calls {
		counts[operation] = n
	}
	return counts
}

// Orders returns the target orders that took effect, in order of arrival.
func (p *Platform) Orders() []storer.TargetOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]storer.TargetOrder(nil), p.orders...)
}

// Reports returns the usage reports that arrived, including duplicates.
func (p *Platform) Reports() []storer.UsageReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]storer.UsageReport(nil), p.reports...)
}

// startCall counts the call. It returns the error to fail it with, if any, and whether
// the answer is lost after the change. The caller holds mu.
func (p *Platform) startCall(ctx context.Context, operation, name string) (lost bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, errors.Wrap(storer.ErrUnavailable, err.Error())
	}
	p.calls[operation]++
	if p.fault == nil {
		return false, nil
	}
	switch p.fault(operation, name) {
	case FaultUnavailable:
		return false, storer.ErrUnavailable
	case FaultLostAnswer:
		return true, nil
	default:
		return false, nil
	}
}

func lostAnswer(lost bool) error {
	if lost {
		return storer.ErrOutcomeUnknown
	}
	return nil
}

// Get implements storer.Objects.
func (p *Platform) Get(ctx context.Context, name string) (storer.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "get", name)
	if err != nil {
		return storer.Object{}, err
	}
	if lost {
		return storer.Object{}, storer.ErrUnavailable
	}
	object, ok := p.objects[name]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return object, nil
}

// Put implements storer.Objects.
func (p *Platform) Put(ctx context.Context, name string, value []byte, expected storer.Version) (storer.Version, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "put", name)
	if err != nil {
		return 0, err
	}
	if len(value) > storer.MaxValueBytes {
		return 0, storer.ErrTooLarge
	}
	if p.objects[name].Version != expected {
		return 0, errors.Wrapf(storer.ErrConflict, "%s is at version %d, expected %d", name, p.objects[name].Version, expected)
	}
	p.change(storer.Object{Name: name, Value: append([]byte(nil), value...)})
	return p.revision, lostAnswer(lost)
}

// Delete implements storer.Objects.
func (p *Platform) Delete(ctx context.Context, name string, expected storer.Version) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "delete", name)
	if err != nil {
		return err
	}
	object, ok := p.objects[name]
	if !ok {
		return storer.ErrNotFound
	}
	if object.Version != expected {
		return errors.Wrapf(storer.ErrConflict, "%s is at version %d, expected %d", name, object.Version, expected)
	}
	delete(p.objects, name)
	p.change(storer.Object{Name: name})
	return lostAnswer(lost)
}

// change stores an object with the next version and notifies the watches; an
// object without a value marks a deletion. The caller holds mu.
func (p *Platform) change(object storer.Object) {
	p.revision++
	object.Version = p.revision
	if object.Value != nil {
		p.objects[object.Name] = object
		delete(p.deleted, object.Name)
	} else {
		p.deleted[object.Name] = object
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// List implements storer.Objects.
func (p *Platform) List(ctx context.Context, prefix string) ([]storer.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "list", prefix)
	if err != nil {
		return nil, err
	}
	if lost {
		return nil, storer.ErrUnavailable
	}
	list := []storer.Object{}
	for name, object := range p.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, storer.Object{Name: name, Version: object.Version})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// Watch implements storer.Objects. It returns without changes when the context ends.
func (p *Platform) Watch(ctx context.Context, prefix string, after storer.Version) ([]storer.Object, storer.Version, error) {
	p.mu.Lock()
	lost, err := p.startCall(ctx, "watch", prefix)
	p.mu.Unlock()
	if err != nil {
		return nil, after, err
	}
	if lost {
		<-ctx.Done()
		return nil, after, storer.ErrUnavailable
	}
	for {
		p.mu.Lock()
		changes, next, changed := p.changesSince(prefix, after), p.revision, p.changed
		p.mu.Unlock()
		if len(changes) > 0 {
			return changes, next, nil
		}
		select {
		case <-ctx.Done():
			return nil, next, nil
		case <-changed:
		}
	}
}

// changesSince returns the changes under a prefix after a version, in order of version.
// The caller holds mu.
func (p *Platform) changesSince(prefix string, after storer.Version) []storer.Object {
	var changes []storer.Object
	for _, set := range []map[string]storer.Object{p.objects, p.deleted} {
		for name, object := range set {
			if object.Version > after && strings.HasPrefix(name, prefix) {
				changes = append(changes, object)
			}
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Version < changes[j].Version })
	return changes
}

// Order implements storer.Targets. Orders are idempotent by id, and a stale token is
// rejected.
func (p *Platform) Order(ctx context.Context, order storer.TargetOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "order", order.ID)
	if err != nil {
		return err
	}
	if order.Token < p.tokens[order.DataCentre] {
		return errors.Wrapf(storer.ErrStaleToken, "token %d, seen %d", order.Token, p.tokens[order.DataCentre])
	}
	p.tokens[order.DataCentre] = order.Token
	for _, known := range p.orders {
		if known.ID == order.ID {
			return lostAnswer(lost)
		}
	}
	p.orders = append(p.orders, order)
	p.apply(order)
	return lostAnswer(lost)
}

func (p *Platform) apply(order storer.TargetOrder) {
	if order.Action == storer.ActionStop {
		if target, ok := p.ordered[order.Target]; ok {
			target.State = "leaving"
			p.ordered[order.Target] = target
		}
		return
	}
	name := order.Target
	if name == "" {
		name = "ordered-" + order.ID
	}
	p.ordered[name] = storer.OrderedTarget{
		OrderID: order.ID, Name: name, DataCentre: order.DataCentre,
		Zone: order.Zone, Purchase: order.Purchase, State: "ordered",
	}
}

// SetOrdered sets the state of an ordered target, as the platform does when it
// starts, reclaims or removes it.
func (p *Platform) SetOrdered(target storer.OrderedTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordered[target.Name] = target
}

// ListOrdered implements storer.Targets.
func (p *Platform) ListOrdered(ctx context.Context, dataCentre string) ([]storer.OrderedTarget, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "ordered", dataCentre)
	if err != nil {
		return nil, err
	}
	if lost {
		return nil, storer.ErrUnavailable
	}
	list := []storer.OrderedTarget{}
	for _, target := range p.ordered {
		if target.DataCentre == dataCentre {
			list = append(list, target)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// Report implements storer.Usage.
func (p *Platform) Report(ctx context.Context, report storer.UsageReport) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "report", report.Window)
	if err != nil {
		return err
	}
	p.reports = append(p.reports, report)
	return lostAnswer(lost)
}

// Register implements storer.Instances.
func (p *Platform) Register(ctx context.Context, instance storer.ListedInstance) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "register", instance.Name)
	if err != nil {
		return err
	}
	p.instances[instance.Name] = instance
	return lostAnswer(lost)
}

// Instances implements storer.Instances.
func (p *Platform) Instances(ctx context.Context) ([]storer.ListedInstance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost, err := p.startCall(ctx, "instances", "")
	if err != nil {
		return nil, err
	}
	if lost {
		return nil, storer.ErrUnavailable
	}
	list := []storer.ListedInstance{}
	for _, instance := range p.instances {
		list = append(list, instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}
