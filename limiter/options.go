package limiter

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Timing says how fast demand spreads.
type Timing struct {
	// Period is the time between two demand records of an instance.
	Period timekeeper.Millis
	// Delivery is the longest time after which a record has reached every instance.
	Delivery timekeeper.Millis
}

// lag is the longest time after which every instance has seen a change.
func (t Timing) lag() timekeeper.Millis { return t.Period + t.Delivery }

// silence is the time after which a peer that was not heard counts as silent.
func (t Timing) silence() timekeeper.Millis { return t.lag() + t.Delivery }

// hold is the time after which a rise of demand counts. A peer may use a value
// until the silence ends; that value was up to a delivery time old when it
// arrived, and another instance may notice the same silence up to a lag later.
func (t Timing) hold() timekeeper.Millis {
	return t.silence() + t.Delivery + t.lag() + 2*refreshEvery
}

// Option changes a limiter while it is built.
type Option func(*Limiter)

// WithTiming sets how fast demand spreads.
func WithTiming(t Timing) Option {
	return func(l *Limiter) { l.timing = t }
}
