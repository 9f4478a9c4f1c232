package limiter

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Timing describes how fast demand records reach the other instances.
type Timing struct {
	// Period is the time between two demand records of an instance.
	Period timekeeper.Millis
	// Delivery is the longest time that a record takes to reach every instance.
	Delivery timekeeper.Millis
}

// staleTimeout is the time after which a peer that was not seen is stale.
func (t Timing) staleTimeout() timekeeper.Millis { return t.Period + 2*t.Delivery }

// convergenceTime is the longest time from the detection of a stale peer at one
// instance until every peer has acted on it. A peer may still receive a record
// from before the detection, and its own stale timeout starts from there.
func (t Timing) convergenceTime() timekeeper.Millis {
	return t.staleTimeout() + t.Delivery + 2*refreshInterval
}

// confirmationTime is the time after which an increase of demand counts. A peer
// may use the previous value, which was up to a delivery time old when it
// arrived, until its stale timeout and the convergence time have passed.
func (t Timing) confirmationTime() timekeeper.Millis {
	return t.staleTimeout() + t.Delivery + t.convergenceTime() + 2*refreshInterval
}

// Option configures a limiter in New.
type Option func(*Limiter)

// WithTiming sets the timing of demand records.
func WithTiming(t Timing) Option {
	return func(l *Limiter) { l.timing = t }
}
