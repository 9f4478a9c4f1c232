package claimer

import (
	"context"
	"time"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Options configure a claimer. A zero value means the default.
type Options struct {
	Self  Peer
	Clock timekeeper.Clock
	// Object is the name of the range table in the store.
	Object string
	// Ranges is the number of ranges of a newly created table.
	Ranges int
	// Retention is the time for which a claim is kept after its deadline or outcome.
	Retention timekeeper.Millis
	// Grant is the time for which an owner may grant claims without renewing its ranges.
	Grant timekeeper.Millis
	// Renew is the time between renewals.
	Renew timekeeper.Millis
	// Margin is the clock skew allowed for: another instance waits this long after the
	// end of a grant before it relies on that end.
	Margin timekeeper.Millis
	// Settle is the time without a change of the peers before ranges are rebalanced.
	Settle timekeeper.Millis
	// Refresh is the mean time between two reads of the table; each interval is drawn
	// from half to one and a half times this value.
	Refresh timekeeper.Millis
	// CallTimeout is the timeout of one message and its answer.
	CallTimeout timekeeper.Millis
	// MaxEntries is the maximum number of claims of one range.
	MaxEntries int
	// MaxBytes is the maximum size of the stored answers of all ranges.
	MaxBytes int
	// Recorder receives claim events; nil records nothing.
	Recorder *recorder.Recorder
	// Sleep waits between attempts; nil means real time.
	Sleep func(ctx context.Context, d timekeeper.Millis)

	// allowIncompleteCopy lets a copy confirm claims and take over before the range is
	// transferred. Tests set it to show that they detect the violations it causes.
	allowIncompleteCopy bool
}

// Defaults of the options.
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

func setDefault[T int | timekeeper.Millis](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.Ranges, DefaultRanges)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.Grant, DefaultGrant)
	setDefault(&o.Renew, DefaultRenew)
	setDefault(&o.Margin, DefaultMargin)
	setDefault(&o.Settle, DefaultSettle)
	setDefault(&o.Refresh, DefaultRefresh)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.MaxEntries, DefaultMaxEntries)
	setDefault(&o.MaxBytes, DefaultMaxBytes)
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
