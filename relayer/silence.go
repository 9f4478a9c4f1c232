package relayer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// silenceShare is the share of the remaining time after which an attempt at a silent
	// target is given up for another one. The rest is for that one.
	silenceShare = 0.5
	// minSilence is the shortest such time.
	minSilence = 700 * timekeeper.Millisecond
)

var errTargetSilent = errors.New("target is silent")

// untilSilent returns a context for an attempt that ends early if its target answers
// nobody, and a function that must be called after the attempt. It applies to requests
// that may be repeated: the connection may be dead although both ends keep it open. A
// target that answers others is only slow, and another one would not be faster.
func (p *pendingRequest) untilSilent(ctx context.Context, a Attempt) (context.Context, func()) {
	bound := max(timekeeper.Millis(silenceShare*float64(p.remaining())), minSilence)
	if !p.route.Retryable() || p.begun || p.sends+1 >= max(p.route.MaxAttempts, 1) || bound >= p.remaining() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(bound.Duration(), func() {
		// Without budget for another attempt, this one is better than none.
		if p.Tracker.SilentSince(a.Target.ID, a.sentAt) && p.spendRetryBudget() == nil {
			cancel(errTargetSilent)
		}
	})
	return ctx, func() { timer.Stop(); cancel(nil) }
}

// explainSilence changes the failure of an attempt that was given up because of its
// target's silence.
func (p *pendingRequest) explainSilence(ctx context.Context, f *Failure) {
	if f == nil || context.Cause(ctx) != errTargetSilent {
		return
	}
	f.Outcome, f.Cause = tracker.TimedOut, errTargetSilent
	p.retryPaid = true
}
