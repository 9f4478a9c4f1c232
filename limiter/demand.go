package limiter

import (
	"cmp"
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds of a demand record.
const (
	// MaxItems bounds a record to about 2.5 KB, so that it fits the byte budget of gossip.
	MaxItems = 32
	// maxName is the longest name that declarations allow.
	maxName = 63
	// maxPressure bounds what a faulty peer can claim of a limit.
	maxPressure = 1e4
	maxRunning  = 1 << 20
	// minPressure is the smallest demand that is worth spreading.
	minPressure = 1e-4
	// pressureStep rounds demand up to steps of a quarter, so that records change rarely.
	pressureStep = 1.25
)

// ErrInvalidDemand means that a demand record from a peer breaks its bounds.
var ErrInvalidDemand = errors.New("invalid demand record")

// Check reports whether a record from a peer is within its bounds.
func (j Demand) Check() error {
	if j.Instance == "" || len(j.Instance) > maxName {
		return errors.Wrapf(ErrInvalidDemand, "instance name of %d bytes", len(j.Instance))
	}
	if len(j.Items) > MaxItems {
		return errors.Wrapf(ErrInvalidDemand, "%d items, at most %d are allowed", len(j.Items), MaxItems)
	}
	for i, item := range j.Items {
		if item.Workspace == "" || len(item.Workspace) > maxName {
			return errors.Wrapf(ErrInvalidDemand, "item %d has a workspace name of %d bytes", i, len(item.Workspace))
		}
		if !(item.Pressure >= 0 && item.Pressure <= maxPressure) {
			return errors.Wrapf(ErrInvalidDemand, "item %d has pressure %v", i, item.Pressure)
		}
		if item.Running < 0 || item.Running > maxRunning {
			return errors.Wrapf(ErrInvalidDemand, "item %d has %d running requests", i, item.Running)
		}
	}
	return nil
}

// peer is what is known of another instance.
type peer struct {
	heard       timekeeper.Millis
	incarnation int64
	version     int64
	silence     bool
	items       []WorkspaceDemand
}

// Demand returns the record to spread; call it once every Timing.Period. Its
// version grows only when the items change. It also drops idle workspaces.
func (l *Limiter) Demand(now timekeeper.Millis) Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	// Demand within the floor of this instance is served without peers knowing it.
	least := max(minPressure, 1/(floorDivisor*float64(len(l.known))))
	items := make([]WorkspaceDemand, 0, 4*MaxItems)
	for name, e := range l.entries {
		e.refill(now, l)
		if p := e.offered(now); p >= least {
			// Cutting now and then keeps the cost linear in the workspaces.
			item := WorkspaceDemand{Workspace: name, Pressure: p}
			if e.limits.concurrent > 0 {
				item.Running = e.running
			}
			if items = append(items, item); len(items) == cap(items) {
				items = largest(items)
			}
		} else if e.idle(now) {
			delete(l.entries, name)
		}
	}
	items = largest(items)
	chosen := make(map[string]float64, len(items))
	for i, item := range items {
		items[i].Pressure = quantise(item.Pressure)
		chosen[item.Workspace] = items[i].Pressure
	}
	slices.SortFunc(items, func(a, b WorkspaceDemand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	for name, e := range l.entries {
		e.history.publish(now, l.timing.hold(), chosen[name])
	}
	if !slices.Equal(items, l.published) || l.deaf != l.complained {
		l.published, l.complained = items, l.deaf
		l.version++
	}
	return Demand{
		Instance: l.self, Incarnation: int(l.incarnation), Version: int(l.version),
		Silence: l.deaf, Items: slices.Clone(l.published),
	}
}

// largest returns the items with the highest pressure.
func largest(items []WorkspaceDemand) []WorkspaceDemand {
	slices.SortFunc(items, func(a, b WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.Pressure, a.Pressure), cmp.Compare(a.Workspace, b.Workspace))
	})
	return items[:min(len(items), MaxItems)]
}

func quantise(pressure float64) float64 {
	steps := math.Ceil(math.Log(pressure)/math.Log(pressureStep) - 1e-9)
	return min(math.Pow(pressureStep, steps), maxPressure)
}

// Merge takes a record of another instance; older versions have no effect.
func (l *Limiter) Merge(now timekeeper.Millis, d Demand) error {
	if err := d.Check(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[d.Instance]
	if !ok {
		return nil
	}
	p.heard = max(p.heard, now)
	incarnation, version := int64(d.Incarnation), int64(d.Version)
	if incarnation < p.incarnation || incarnation == p.incarnation && version <= p.version {
		return nil
	}
	l.forget(d.Instance, p)
	p.incarnation, p.version, p.silence, p.items = incarnation, version, d.Silence, slices.Clone(d.Items)
	for _, item := range p.items {
		if l.demands[item.Workspace] == nil {
			l.demands[item.Workspace] = map[string]WorkspaceDemand{}
		}
		l.demands[item.Workspace][d.Instance] = item
	}
	return nil
}

// forget removes the demand that a peer had published.
func (l *Limiter) forget(instance string, p *peer) {
	for _, item := range p.items {
		delete(l.demands[item.Workspace], instance)
		if len(l.demands[item.Workspace]) == 0 {
			delete(l.demands, item.Workspace)
		}
	}
	p.items = nil
}

// Heard notes that another instance is alive, as its heartbeats show.
func (l *Limiter) Heard(now timekeeper.Millis, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[instance]; ok {
		p.heard = max(p.heard, now)
	}
}

// Known replaces the instances that share the limits. Instances that are only
// silent must stay in the list: behind a partition they go on admitting.
func (l *Limiter) Known(now timekeeper.Millis, instances []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append([]string{l.self}, instances...)
	slices.Sort(all)
	l.known = slices.Compact(all)
	l.index, _ = slices.BinarySearch(l.known, l.self)
	for _, name := range l.known {
		if _, ok := l.peers[name]; !ok && name != l.self {
			l.peers[name] = &peer{heard: now, incarnation: -1}
		}
	}
	for name, p := range l.peers {
		if _, ok := slices.BinarySearch(l.known, name); !ok {
			l.forget(name, p)
			delete(l.peers, name)
		}
	}
	l.refreshed = 0
	l.refresh(now)
}

// history keeps the smallest value published in each of the last parts of the
// hold time. A value that rose counts only once every peer must have heard it.
type history struct {
	minima    [5]float64
	slot      timekeeper.Millis
	published float64
}

func (h *history) publish(now, hold timekeeper.Millis, value float64) {
	h.roll(now, hold)
	h.published = value
	i := h.slot % timekeeper.Millis(len(h.minima))
	h.minima[i] = min(h.minima[i], value)
}

func (h *history) roll(now, hold timekeeper.Millis) {
	n := timekeeper.Millis(len(h.minima))
	slot := now / max(hold/(n-1), 1)
	for s := max(h.slot+1, slot-n+1); s <= slot; s++ {
		h.minima[s%n] = h.published
	}
	h.slot = max(h.slot, slot)
}

// confirmed returns the smallest value in force during the hold time.
func (h *history) confirmed(now, hold timekeeper.Millis) float64 {
	h.roll(now, hold)
	return slices.Min(h.minima[:])
}
