package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/relayer"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Guards against passing on requests that an instance can't see to their end because it
// ends itself, and against refusing those that it can.
func TestRequestsNearTheEndOfTheInstance(t *testing.T) {
	const end = 3 * timekeeper.Second // Of the instance, from the start of the request.
	slowRefusal := failed(tracker.Rejected, retrier.NotSent)
	slowRefusal.delay = time.Second
	for name, c := range map[string]struct {
		route    resolver.Route
		timeout  timekeeper.Millis
		known    time.Duration // When the end becomes known, from the start of the request.
		outcomes []outcome
		sends    int
		status   int // Of a target's answer; 0 if refused.
		notRun   bool
	}{
		"ends before":                        {booking, 2000, -1, []outcome{{status: 200}}, 1, 200, false},
		"ends at the same time":              {booking, end, -1, []outcome{{status: 200}}, 1, 200, false},
		"may last longer":                    {booking, end + 1, -1, nil, 0, 0, true},
		"may be repeated, may last longer":   {lookup, end + 1, -1, nil, 0, 0, true},
		"known while it runs":                {booking, end + 1, 10 * time.Millisecond, []outcome{{status: 200, delay: time.Second}}, 1, 200, false},
		"known before a second attempt":      {booking, end + 1, 10 * time.Millisecond, []outcome{slowRefusal}, 1, 0, true},
		"second attempt that ends before":    {booking, 2000, 10 * time.Millisecond, []outcome{slowRefusal, {status: 200}}, 2, 200, false},
		"second attempt after one that ran":  {lookup, end + 1, 10 * time.Millisecond, []outcome{{status: 500, delay: time.Second}, {status: 200}}, 2, 200, false},
		"no time limit of route and caller":  {resolver.Route{Timeout: -1, MaxAttempts: 1}, 0, -1, nil, 0, 0, true},
		"second attempt, stream that broke":  {resolver.Route{Kind: resolver.Stream, Resumable: true, MaxAttempts: 2}, end + 1, 10 * time.Millisecond, []outcome{{status: 200, events: []string{"1"}, broken: true, pause: time.Second}, {status: 200, events: []string{"2"}}}, 2, 200, false},
		"stream that may last longer":        {resolver.Route{Kind: resolver.Stream, MaxAttempts: 1}, end + 1, -1, nil, 0, 0, true},
		"instance that does not end, at all": {booking, end + 1, time.Hour, []outcome{{status: 200}}, 1, 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := c.route
				if route.Timeout == 0 {
					route.Timeout = timekeeper.Minute
				}
				h := newHarness(t, route, c.outcomes...).withPlainTargets(3)
				finish := timekeeper.System().Read().Monotonic + end
				if c.known < 0 {
					h.relayer.FinishBy(finish)
				} else {
					time.AfterFunc(c.known, func() { h.relayer.FinishBy(finish) })
				}
				got := h.serve(relayer.Request{Timeout: c.timeout})
				assert.Equal(t, len(h.sender.sent), c.sends)
				if c.status != 0 {
					assert.Assert(t, got.refusal == nil && got.ended, "%v", got.refusal)
					assert.Equal(t, got.status, c.status)
					return
				}
				assert.Equal(t, got.refusal.Reason, relayer.ReasonLeaving)
				assert.Equal(t, got.refusal.NotRun, c.notRun)
				assert.Assert(t, got.refusal.RetryAfter > 0 && got.refusal.RetryAfter < 100, "others serve it at once")
			})
		})
	}
}

// Guards against callers who get no answer when their requests are aborted because the
// instance ends, and against refusals that are not true then.
func TestAbortedRequestsAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		route    resolver.Route
		outcomes []outcome
		cause    error
		refused  bool
		notRun   bool
		status   int
		broken   bool
	}{
		"running":                    {booking, []outcome{{hang: true}}, relayer.ErrAborted, true, false, 0, false},
		"caller went away":           {booking, []outcome{{hang: true}}, context.Canceled, false, false, 0, false},
		"before it is sent":          {booking, []outcome{{failure: failed(tracker.Rejected, retrier.NotSent).failure, delay: 2 * time.Second}}, relayer.ErrAborted, true, true, 0, false},
		"in a stream":                {resolver.Route{Kind: resolver.Stream, MaxAttempts: 1}, []outcome{{status: 200, events: []string{}, broken: true, pause: 2 * time.Second}}, relayer.ErrAborted, true, false, 0, false},
		"in a stream that has begun": {resolver.Route{Kind: resolver.Stream, MaxAttempts: 1}, []outcome{{status: 200, events: []string{"1", "2"}, broken: true, pause: 800 * time.Millisecond}}, relayer.ErrAborted, false, false, 200, true},
		"with a failure to pass on":  {lookup, []outcome{{status: 500}, {hang: true}}, relayer.ErrAborted, false, false, 500, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, c.route, c.outcomes...).withPlainTargets(3)
				ctx, abort := context.WithCancelCause(t.Context())
				time.AfterFunc(time.Second, func() { abort(c.cause) })
				got := &recordingCaller{}
				q := relayer.Request{ID: "q", Host: "host.example", Path: "/r/x", Key: "key", Arrived: timekeeper.System().Read()}
				h.relayer.Serve(ctx, q, got)
				assert.Equal(t, got.refusal != nil, c.refused)
				assert.Check(t, !c.refused || got.refusal.Reason == relayer.ReasonLeaving && got.refusal.NotRun == c.notRun, "%v", got.refusal)
				assert.Equal(t, got.status, c.status)
				assert.Equal(t, got.broken, c.broken)
			})
		})
	}
}
