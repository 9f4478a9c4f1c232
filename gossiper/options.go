package gossiper

import (
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Options set the bounds of a gossiper. The zero value of a field means its default.
type Options struct {
	// Contacts are peer addresses for the first contact.
	Contacts []string
	// Interval is the time between rounds.
	Interval timekeeper.Millis
	// SuspectAfter is the silence after which an instance is suspected.
	SuspectAfter timekeeper.Millis
	// DeadAfter is the silence after which an instance counts as dead.
	DeadAfter timekeeper.Millis
	// Forget is the time for which dead and left instances are remembered.
	Forget timekeeper.Millis
	// BytesPerSecond bounds the bytes sent in any second.
	BytesPerSecond int
	// Recorder receives membership events; nil records nothing.
	Recorder *recorder.Recorder

	// fullState sends the whole state in each round: the baseline of the measurements.
	fullState bool
}

// Default bounds.
const (
	DefaultInterval       = 500 * timekeeper.Millisecond
	DefaultSuspectAfter   = 1500 * timekeeper.Millisecond
	DefaultDeadAfter      = 4 * timekeeper.Second
	DefaultForget         = 10 * timekeeper.Minute
	DefaultBytesPerSecond = 8192
)

func (o Options) withDefaults() Options {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.SuspectAfter == 0 {
		o.SuspectAfter = DefaultSuspectAfter
	}
	if o.DeadAfter == 0 {
		o.DeadAfter = DefaultDeadAfter
	}
	if o.Forget == 0 {
		o.Forget = DefaultForget
	}
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = DefaultBytesPerSecond
	}
	if o.fullState {
		o.BytesPerSecond = 1 << 30
	}
	return o
}
