package scheduler

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Origin names the scheduler in records for peers.
type Origin struct {
	Instance    string
	Incarnation int64
	Pool        string
}

// Dossier says which requests use only what chat leaves: those with a long
// prompt and a long deadline.
type Dossier struct {
	// Prefill is the fewest prefill tokens of a dossier.
	Prefill float64
	// Deadline is the shortest time in which a dossier is due, the first token included.
	Deadline timekeeper.Millis
}

func (d Dossier) matches(r Request) bool {
	due := timekeeper.Millis(r.Class.DeadlineMilliseconds)
	if first := timekeeper.Millis(r.Class.FirstTokenMilliseconds); first > 0 {
		due = min(due, first)
	}
	return r.Cost.Prefill >= d.Prefill && due >= d.Deadline
}

// Option changes a scheduler while it is built.
type Option func(*Scheduler)

// WithQueue bounds the number of waiting requests.
func WithQueue(n int) Option {
	return func(s *Scheduler) { s.maxQueue = max(n, 1) }
}

// WithDossier sets which requests count as dossiers.
func WithDossier(d Dossier) Option {
	return func(s *Scheduler) { s.dossier = d }
}
