package estimator

// Option configures a new estimator.
type Option func(*Estimator)

// WithEntries limits the number of profiles that are kept.
func WithEntries(n int) Option {
	return func(e *Estimator) { e.halfCapacity = max(n/2, 1) }
}
