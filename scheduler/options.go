package scheduler

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Origin identifies the instance and the pool in service records for peers.
type Origin struct {
	Instance    string
	Incarnation int64
	Pool        string
}

// BackgroundRule says which requests run in the background: those with a long
// prompt and a long deadline. They use only capacity that interactive requests
// leave free.
type BackgroundRule struct {
	// MinPrefill is the least number of prefill tokens of a background request.
	MinPrefill float64
	// MinDeadline is the shortest deadline of a background request. It also
	// applies to the first-token deadline.
	MinDeadline timekeeper.Millis
}

func (b BackgroundRule) matches(r Request) bool {
	due := timekeeper.Millis(r.Class.DeadlineMilliseconds)
	if first := timekeeper.Millis(r.Class.FirstTokenMilliseconds); first > 0 {
		due = min(due, first)
	}
	return r.Cost.Prefill >= b.MinPrefill && due >= b.MinDeadline
}

// Option configures a new scheduler.
type Option func(*Scheduler)

// WithQueue bounds the number of waiting requests.
func WithQueue(n int) Option {
	return func(s *Scheduler) { s.maxQueue = max(n, 1) }
}

// WithBackground sets which requests run in the background.
func WithBackground(b BackgroundRule) Option {
	return func(s *Scheduler) { s.backgroundRule = b }
}
