package claimer

import (
	"context"
	"time"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Options set up a claimer. The zero value of a bound means its default.
type Options struct {
	Self  Peer
	Clock timekeeper.Clock
	// Object is the name of the range table in the store.
	Object string
	// Ranges is the number of ranges of a table that is created.
	Ranges int
	// Retention is the time for which a key is remembered.
	Retention timekeeper.Millis
	// Grant is the time for which an owner holds its ranges without renewal.
	Grant timekeeper.Millis
	// Renew is the time between renewals.
	Renew timekeeper.Millis
	// Margin is added to a grant's end before another instance relies on it, for
	// clocks that differ.
	Margin timekeeper.Millis
	// Settle is the time without a change of the peers before ranges move for balance.
	Settle timekeeper.Millis
	// Refresh is the longest time between two reads of the table.
	Refresh timekeeper.Millis
	// CallTimeout bounds one message.
	CallTimeout timekeeper.Millis
	// MaxEntries bounds the claims of one range.
	MaxEntries int
	// MaxBytes bounds the stored answers of all ranges.
	MaxBytes int
	// Recorder receives claim events; nil records nothing.
	Recorder *recorder.Recorder
	// Sleep waits between attempts; nil means real time.
	Sleep func(ctx context.Context, d timekeeper.Millis)

	// countEarly counts a copy before the range is transferred. It exists to show
	// that the property test finds what the rule prevents.
	countEarly bool
}

// Default bounds.
const (
	DefaultRanges      = 64
	DefaultRetention   = timekeeper.Hour
	DefaultGrant       = 30 * timekeeper.Minute
	DefaultRenew       = 5 * timekeeper.Minute
	DefaultMargin      = timekeeper.Minute
	DefaultSettle      = 10 * timekeeper.Second
	DefaultRefresh     = timekeeper.Minute
	DefaultCallTimeout = timekeeper.Second
	DefaultMaxEntries  = 100_000
	DefaultMaxBytes    = 64 << 20
	// MaxAnswerBytes is the largest answer that is stored; a larger one makes the claim unknown.
	MaxAnswerBytes = 64 << 10
)

func orDefault[T int | timekeeper.Millis](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	orDefault(&o.Ranges, DefaultRanges)
	orDefault(&o.Retention, DefaultRetention)
	orDefault(&o.Grant, DefaultGrant)
	orDefault(&o.Renew, DefaultRenew)
	orDefault(&o.Margin, DefaultMargin)
	orDefault(&o.Settle, DefaultSettle)
	orDefault(&o.Refresh, DefaultRefresh)
	orDefault(&o.CallTimeout, DefaultCallTimeout)
	orDefault(&o.MaxEntries, DefaultMaxEntries)
	orDefault(&o.MaxBytes, DefaultMaxBytes)
	if o.Object == "" {
		o.Object = "claims/table"
	}
	if o.Sleep == nil {
		o.Sleep = func(ctx context.Context, d timekeeper.Millis) {
			select {
			case <-ctx.Done():
			case <-time.After(d.Duration()):
			}
		}
	}
	return o
}
