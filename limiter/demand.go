package limiter

import (
	"cmp"
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Limits on demand records.
const (
	// MaxItems keeps a record at about 2.5 KB, within the byte budget of gossip.
	MaxItems = 32
	// maxName is the longest name that declarations allow.
	maxNameBytes = 63
	// maxPressure bounds the share of a limit that a faulty peer can claim.
	maxPressure = 1e4
	maxRunning  = 1 << 20
	// minPressure is the smallest demand that counts.
	minPressure = 1e-4
	// pressureStep is the factor between published values. Demand is rounded up to
	// the next one, so that records change rarely.
	pressureStep = 1.25
)

// ErrInvalidDemand means that a demand record from a peer is out of bounds.
var ErrInvalidDemand = errors.New("invalid demand record")

// Check returns an error that wraps ErrInvalidDemand if a record from a peer is
// out of bounds.
func (d Demand) Check() error {
	if d.Instance == "" || len(d.Instance) > maxNameBytes {
		return errors.Wrapf(ErrInvalidDemand, "instance name of %d bytes", len(d.Instance))
	}
	if len(d.Items) > MaxItems {
		return errors.Wrapf(ErrInvalidDemand, "%d items, at most %d are allowed", len(d.Items), MaxItems)
	}
	for i, item := range d.Items {
		if item.Workspace == "" || len(item.Workspace) > maxNameBytes {
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

// peer is the state kept for another instance.
type peer struct {
	lastSeen     timekeeper.Millis
	incarnation  int64
	version      int64
	reportsStale bool
	items        []WorkspaceDemand
}

// PublishDemand returns the record to publish to the other instances; call it once every
// Timing.Period. The version grows only when the record changes. PublishDemand also
// removes idle workspaces.
func (l *Limiter) PublishDemand(now timekeeper.Millis) Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateDegraded(now)
	// Demand within the minimum share of this instance is served without publishing it.
	minPublished := max(minPressure, 1/(floorDivisor*float64(len(l.instances))))
	items := make([]WorkspaceDemand, 0, 4*MaxItems)
	for name, e := range l.entries {
		e.refill(now, l)
		if p := e.pressure(now); p >= minPublished {
			// Truncating at a fixed size keeps the cost linear in the number of workspaces.
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
		e.history.publish(now, l.timing.confirmationTime(), chosen[name])
	}
	if !slices.Equal(items, l.published) || l.hasStalePeer != l.publishedStale {
		l.published, l.publishedStale = items, l.hasStalePeer
		l.version++
	}
	return Demand{
		Instance: l.self, Incarnation: int(l.incarnation), Version: int(l.version),
		Silence: l.hasStalePeer, Items: slices.Clone(l.published),
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

// MergeDemand stores the demand record of another instance. Older versions and records
// of unknown instances are ignored.
func (l *Limiter) MergeDemand(now timekeeper.Millis, d Demand) error {
	if err := d.Check(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[d.Instance]
	if !ok {
		return nil
	}
	p.lastSeen = max(p.lastSeen, now)
	incarnation, version := int64(d.Incarnation), int64(d.Version)
	if incarnation < p.incarnation || incarnation == p.incarnation && version <= p.version {
		return nil
	}
	l.removeDemand(d.Instance, p)
	p.incarnation, p.version, p.reportsStale, p.items = incarnation, version, d.Silence, slices.Clone(d.Items)
	for _, item := range p.items {
		if l.remoteDemand[item.Workspace] == nil {
			l.remoteDemand[item.Workspace] = map[string]WorkspaceDemand{}
		}
		l.remoteDemand[item.Workspace][d.Instance] = item
	}
	return nil
}

// removeDemand removes the demand that a peer has published.
func (l *Limiter) removeDemand(instance string, p *peer) {
	for _, item := range p.items {
		delete(l.remoteDemand[item.Workspace], instance)
		if len(l.remoteDemand[item.Workspace]) == 0 {
			delete(l.remoteDemand, item.Workspace)
		}
	}
	p.items = nil
}

// RecordHeartbeat records that another instance is alive.
func (l *Limiter) RecordHeartbeat(now timekeeper.Millis, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[instance]; ok {
		p.lastSeen = max(p.lastSeen, now)
	}
}

// SetInstances sets the instances that share the limits. Instances that are only
// unreachable must stay in the list: behind a partition they still admit requests.
func (l *Limiter) SetInstances(now timekeeper.Millis, instances []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := append([]string{l.self}, instances...)
	slices.Sort(all)
	l.instances = slices.Compact(all)
	l.selfIndex, _ = slices.BinarySearch(l.instances, l.self)
	for _, name := range l.instances {
		if _, ok := l.peers[name]; !ok && name != l.self {
			l.peers[name] = &peer{lastSeen: now, incarnation: -1}
		}
	}
	for name, p := range l.peers {
		if _, ok := slices.BinarySearch(l.instances, name); !ok {
			l.removeDemand(name, p)
			delete(l.peers, name)
		}
	}
	l.refreshedAt = 0
	l.updateDegraded(now)
}

// history keeps the smallest value published in each of the last intervals of the
// confirmation time. A higher value counts only once every peer must have
// received it.
type history struct {
	minima    [5]float64
	interval  timekeeper.Millis
	published float64
}

func (h *history) publish(now, confirmation timekeeper.Millis, value float64) {
	h.advance(now, confirmation)
	h.published = value
	i := h.interval % timekeeper.Millis(len(h.minima))
	h.minima[i] = min(h.minima[i], value)
}

func (h *history) advance(now, confirmation timekeeper.Millis) {
	count := timekeeper.Millis(len(h.minima))
	interval := now / max(confirmation/(count-1), 1)
	for s := max(h.interval+1, interval-count+1); s <= interval; s++ {
		h.minima[s%count] = h.published
	}
	h.interval = max(h.interval, interval)
}

// confirmed returns the smallest value published during the confirmation time.
func (h *history) confirmed(now, confirmation timekeeper.Millis) float64 {
	h.advance(now, confirmation)
	return slices.Min(h.minima[:])
}
