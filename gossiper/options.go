package gossiper

import (
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Options are the settings of a gossiper. The zero value of a field means its default.
type Options struct {
	// Contacts are the peer addresses of seed instances, for joining.
	Contacts []string
	// Interval is the time between gossip rounds.
	Interval timekeeper.Millis
	// SuspectAfter is the time without an answer after which an instance is suspected.
	SuspectAfter timekeeper.Millis
	// DeadAfter is the time without an answer after which an instance is declared dead.
	DeadAfter timekeeper.Millis
	// ForgetAfter is the time after which dead and left instances are removed.
	ForgetAfter timekeeper.Millis
	// BytesPerSecond bounds the bytes sent in any second.
	BytesPerSecond int
	// Recorder receives the membership events; nil disables them.
	Recorder *recorder.Recorder

	// fullState sends the whole state in each round, as a baseline for benchmarks.
	fullState bool
}

// Defaults of the options.
const (
	DefaultInterval       = 500 * timekeeper.Millisecond
	DefaultSuspectAfter   = 1500 * timekeeper.Millisecond
	DefaultDeadAfter      = 4 * timekeeper.Second
	DefaultForgetAfter    = 10 * timekeeper.Minute
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
	if o.ForgetAfter == 0 {
		o.ForgetAfter = DefaultForgetAfter
	}
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = DefaultBytesPerSecond
	}
	if o.fullState {
		o.BytesPerSecond = 1 << 30
	}
	return o
}
