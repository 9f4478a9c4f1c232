package limiter

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Timing says how fast demand spreads.
type Timing struct {
	// Period is the time between two demand records of an instance.
	Period timekeeper.Millis
	// Delivery is the longest time after which a record has reached every instance.
	Delivery timekeeper.Millis
}

// silence is the time after which a peer that was not heard counts as silent.
func (t Timing) silence() timekeeper.Millis { return t.Period + 2*t.Delivery }

// settle is the longest time between the silence that one instance notices and
// the last peer that acts on it: that peer may hear a record from before the
// silence was noticed, and count its own silence from there.
func (t Timing) settle() timekeeper.Millis { return t.silence() + t.Delivery + 2*refreshEvery }

// hold is the time after which a rise of demand counts. A peer may use a value
// until its silence has settled; the value was up to a delivery time old when it
// arrived.
func (t Timing) hold() timekeeper.Millis {
	return t.silence() + t.Delivery + t.settle() + 2*refreshEvery
}

// Option changes a limiter while it is built.
type Option func(*Limiter)

// WithTiming sets how fast demand spreads.
func WithTiming(t Timing) Option {
	return func(l *Limiter) { l.timing = t }
}
