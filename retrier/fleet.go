package retrier

import (
	"math"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// crowdingShare is the share of a service's recent retries from which a workspace
	// leaves the last crowdingReserve of the budget to the others.
	crowdingShare   = 0.5
	crowdingReserve = 0.5
	// minSpent is the decayed number of retries below which a workspace is forgotten.
	minSpent = 0.05
)

// FleetOptions configure a FleetBudget.
type FleetOptions struct {
	// Share is the number of retries that each request adds.
	Share float64
	// Allowance is the number of retries of a service that all instances together may
	// make within Window in addition to Share.
	Allowance float64
	Window    timekeeper.Millis
	// Reserve replaces this instance's part of the allowance if none is declared.
	Reserve float64
}

// FleetBudget bounds the retries of one instance for each service, so that those of all
// instances together stay within the share and the allowance. Within any window all
// instances make at most Share x requests + Allowance retries: half of the allowance may
// be saved up, the other half is earned within the window. It is safe for concurrent use.
type FleetBudget struct {
	options FleetOptions

	mu       sync.Mutex
	limit    float64 // What this instance may save up, and earns in a window without requests.
	services map[string]*serviceBudget
}

// serviceBudget is a token bucket with the recent retries of each workspace.
type serviceBudget struct {
	tokens     float64
	refilledAt timekeeper.Millis
	spent      map[string]float64 // Retries by workspace, decayed with the window.
	workspace  string             // Of the last request.
	mixedAt    timekeeper.Millis  // When a request of another workspace than the one before came.
}

// NewFleetBudget returns a budget. If an allowance is declared, it grants nothing until
// the number of instances is known.
func NewFleetBudget(o FleetOptions) *FleetBudget {
	b := &FleetBudget{options: o, services: map[string]*serviceBudget{}}
	if o.Allowance == 0 {
		b.limit = o.Reserve
	}
	return b
}

// Divide sets this instance's part of the allowance; rank is its place among the
// instances, from 0. A part below one retry is useless, so then some instances get whole
// retries and the others none.
func (b *FleetBudget) Divide(instances, rank int) {
	if b.options.Allowance == 0 {
		return
	}
	part := b.options.Allowance / 2 / float64(instances)
	if part < 1 {
		part = math.Floor(part*float64(rank+1)) - math.Floor(part*float64(rank))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = part
}

// Started adds the share of a new request to the budget of its service.
func (b *FleetBudget) Started(workspace, service string, now timekeeper.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilled(service, now)
	if s.workspace != "" && s.workspace != workspace {
		s.mixedAt = now
	}
	s.workspace = workspace
	s.tokens = min(s.tokens+b.options.Share, b.limit)
}

// Take takes a retry from the budget of a service, or returns why it is not allowed.
// A workspace that made most of the recent retries leaves a reserve to others that send
// requests.
func (b *FleetBudget) Take(workspace, service string, now timekeeper.Millis) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refilled(service, now)
	if s.tokens < 1 {
		return ErrTargetBudget
	}
	mixed := now-s.mixedAt < b.options.Window
	if mixed && s.crowds(workspace) && s.tokens-1 < min(crowdingReserve*b.limit, b.limit-1) {
		return ErrWorkspaceBudget
	}
	s.tokens--
	s.spent[workspace]++
	return nil
}

// crowds reports whether a workspace made most of the recent retries.
func (s *serviceBudget) crowds(workspace string) bool {
	total := 0.0
	for _, n := range s.spent {
		total += n
	}
	return s.spent[workspace] > crowdingShare*total
}

// refilled returns the budget of a service with what was earned since its last use. The
// caller holds mu.
func (b *FleetBudget) refilled(service string, now timekeeper.Millis) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{refilledAt: now, spent: map[string]float64{}, mixedAt: now - b.options.Window}
		if b.options.Allowance == 0 {
			s.tokens = b.limit
		}
		b.services[service] = s
	}
	share := float64(max(now-s.refilledAt, 0)) / float64(b.options.Window)
	s.refilledAt = max(now, s.refilledAt)
	s.tokens = min(s.tokens+share*b.limit, b.limit)
	decay := math.Exp(-share)
	for name, n := range s.spent {
		if s.spent[name] = n * decay; s.spent[name] < minSpent {
			delete(s.spent, name)
		}
	}
	return s
}
