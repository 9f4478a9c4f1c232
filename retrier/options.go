package retrier

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// maxDoublings keeps the backoff's shift inside the range of Millis.
const maxDoublings = 16

// Options set the constants of a retrier; zero fields take the defaults.
type Options struct {
	Instance string // Name of this instance, mixed into the seed.
	Seed     uint64

	Share       float64           // Retries per request.
	Reserve     float64           // Retries granted without earlier requests.
	ReserveTime timekeeper.Millis // Time after which the reserve is granted again.
	Burst       float64           // Most retries saved up.
	MaxAttempts int               // Attempts of one request, the first included.
	BaseDelay   timekeeper.Millis // Longest delay before the second attempt.
	MaxDelay    timekeeper.Millis // Longest delay before any attempt.
	MaxEntries  int               // Most workspaces, and most targets, with a budget in memory.
}

func (o Options) withDefaults() Options {
	set(&o.Share, 0.1)
	set(&o.Reserve, 1)
	set(&o.ReserveTime, 10*timekeeper.Second)
	set(&o.Burst, 20)
	set(&o.MaxAttempts, 3)
	set(&o.BaseDelay, 50*timekeeper.Millisecond)
	set(&o.MaxDelay, 2*timekeeper.Second)
	set(&o.MaxEntries, 32768)
	return o
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
