package estimator

// Option changes an estimator while it is built.
type Option func(*Estimator)

// WithEntries bounds the number of profiles of workspace and route that are kept.
func WithEntries(n int) Option {
	return func(e *Estimator) { e.half = max(n/2, 1) }
}
