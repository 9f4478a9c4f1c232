package retrier

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// maxDoublings keeps the shift of the backoff from overflowing Millis.
const maxDoublings = 16

// Options configure a retrier; zero fields take the defaults.
type Options struct {
	Instance string // Name of this instance, mixed into the seed.
	Seed     uint64

	Share       float64           // Retries that each request adds to a budget.
	Reserve     float64           // Retries granted regardless of earlier requests.
	ReserveTime timekeeper.Millis // Time after which the reserve is granted again.
	Burst       float64           // Most retries that a budget accumulates.
	MaxAttempts int               // Attempts per request, the first included.
	BaseDelay   timekeeper.Millis // Longest backoff before the second attempt.
	MaxDelay    timekeeper.Millis // Longest backoff before any attempt.
	MaxEntries  int               // Most budgets kept for workspaces, and as many for targets.
}

func (o Options) withDefaults() Options {
	setDefault(&o.Share, 0.1)
	setDefault(&o.Reserve, 1)
	setDefault(&o.ReserveTime, 10*timekeeper.Second)
	setDefault(&o.Burst, 20)
	setDefault(&o.MaxAttempts, 3)
	setDefault(&o.BaseDelay, 50*timekeeper.Millisecond)
	setDefault(&o.MaxDelay, 2*timekeeper.Second)
	setDefault(&o.MaxEntries, 32768)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
