package storer

import "context"

type progressKey struct{}

// WithProgress returns a context whose calls report each step that succeeds, such as a
// page of a listing. So a caller can wait for a long call and give up a silent one.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// ReportProgress reports a step to the context's caller.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}
