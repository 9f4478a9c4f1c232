package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/relayer"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

var (
	booking      = resolver.Route{Kind: resolver.AtMostOnce, MaxAttempts: 2}
	lookup       = resolver.Route{Kind: resolver.Idempotent, MaxAttempts: 2}
	chat         = resolver.Route{Kind: resolver.Stream, Resumable: true, MaxAttempts: 2}
	fixed        = resolver.Route{Kind: resolver.Stream, MaxAttempts: 2}
	engineStream = resolver.Route{Kind: resolver.Stream, MaxAttempts: 1, TargetLatency: 150}
)

// Guards against running an at-most-once request twice, retries that the route
// does not allow, and refusals marked not-run although the request may have run.
func TestRetriesAndFinalAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		route    resolver.Route
		outcomes []outcome
		sends    int
		body     string // Empty for a refusal or an aborted answer.
		notRun   bool
		broken   bool
	}{
		"booking served":                   {booking, nil, 1, "body 200", false, false},
		"booking lost on the way":          {booking, []outcome{failed(tracker.ConnectionLost, retrier.PossiblyRunning)}, 1, "", false, false},
		"booking with a broken answer":     {booking, []outcome{{status: 200, broken: true}}, 1, "", false, false},
		"booking with a foreign answer":    {booking, []outcome{failed(tracker.InvalidAnswer, retrier.PossiblyRunning)}, 1, "", false, false},
		"booking rejected once":            {booking, []outcome{failed(tracker.Rejected, retrier.NotSent)}, 2, "body 200", false, false},
		"booking rejected twice":           {booking, []outcome{failed(tracker.Rejected, retrier.NotSent), failed(tracker.Rejected, retrier.NotSent)}, 2, "", true, false},
		"booking rejected, then lost":      {booking, []outcome{failed(tracker.Rejected, retrier.NotSent), failed(tracker.ConnectionLost, retrier.PossiblyRunning)}, 2, "", false, false},
		"booking at unreachable targets":   {booking, []outcome{failed(tracker.Unreachable, retrier.NotSent), failed(tracker.Unreachable, retrier.NotSent)}, 3, "body 200", false, false},
		"booking failed by its target":     {booking, []outcome{{status: 500}}, 1, "body 500", false, false},
		"look-up lost once":                {lookup, []outcome{failed(tracker.ConnectionLost, retrier.PossiblyRunning)}, 2, "body 200", false, false},
		"look-up lost twice":               {lookup, []outcome{failed(tracker.ConnectionLost, retrier.PossiblyRunning), failed(tracker.ConnectionLost, retrier.PossiblyRunning)}, 2, "", false, false},
		"look-up failed once":              {lookup, []outcome{{status: 500}}, 2, "body 200", false, false},
		"look-up failed twice":             {lookup, []outcome{{status: 500}, {status: 503}}, 2, "body 503", false, false},
		"look-up failed, then lost":        {lookup, []outcome{{status: 500}, failed(tracker.ConnectionLost, retrier.PossiblyRunning)}, 2, "body 500", false, false},
		"booking without a descriptor":     {booking, []outcome{failed(tracker.LocalFailure, retrier.NotSent)}, 1, "", true, false},
		"look-up without a descriptor":     {lookup, []outcome{failed(tracker.LocalFailure, retrier.NotSent)}, 1, "", true, false},
		"look-up not found":                {lookup, []outcome{{status: 404}}, 1, "body 404", false, false},
		"stream served":                    {fixed, []outcome{{status: 200, events: []string{"1", "2"}}}, 1, "1;2;", false, false},
		"stream that breaks":               {fixed, []outcome{{status: 200, events: []string{"1"}, broken: true}}, 1, "", false, true},
		"stream lost before its first":     {fixed, []outcome{failed(tracker.ConnectionLost, retrier.PossiblyRunning)}, 1, "", false, false},
		"resumable stream that breaks":     {chat, []outcome{{status: 200, events: []string{"1", "2"}, broken: true}, {status: 200, events: []string{"3"}}}, 2, "1;2;3;", false, false},
		"resumable stream breaks twice":    {chat, []outcome{{status: 200, events: []string{"1"}, broken: true}, {status: 200, events: []string{"2"}, broken: true}}, 2, "", false, true},
		"resumable stream repeats a piece": {chat, []outcome{{status: 200, events: []string{"1", "2"}, broken: true}, {status: 200, events: []string{"2", "3"}}}, 2, "1;2;3;", false, false},
		"resumed run without a piece":      {chat, []outcome{{status: 200, events: []string{"1"}, broken: true}, {status: 200, events: []string{}}}, 2, "", false, true},
		"resumed run that fails":           {chat, []outcome{{status: 200, events: []string{"1"}, broken: true}, {status: 500}}, 2, "", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.route, c.outcomes...).withPlainTargets(6)
			got := h.serve(relayer.Request{})
			assert.Equal(t, len(h.sender.sent), c.sends)
			assert.Equal(t, got.broken, c.broken)
			assert.Check(t, got.heads <= 1, "%d heads", got.heads)
			switch {
			case c.body != "":
				assert.Assert(t, got.ended)
				assert.Equal(t, got.body, c.body)
			case !c.broken:
				assert.Assert(t, got.refusal != nil)
				assert.Equal(t, got.refusal.NotRun, c.notRun)
			}
		})
	}
}

// Checks two guarantees over random sequences of outcomes: an at-most-once request
// is retried only if the previous attempt certainly did not run, and a refusal is
// marked not-run only if no attempt may have run.
func TestAtMostOnceHoldsForAllOutcomes(t *testing.T) {
	kinds := []outcome{
		{status: 200}, {status: 500}, {status: 200, broken: true},
		failed(tracker.ConnectionLost, retrier.PossiblyRunning), failed(tracker.TimedOut, retrier.PossiblyRunning),
		failed(tracker.InvalidAnswer, retrier.Ran), failed(tracker.Rejected, retrier.NotSent),
		failed(tracker.Unreachable, retrier.NotSent), failed(tracker.AddressReused, retrier.NotSent),
	}
	rapid.Check(t, func(r *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 6).Draw(r, "outcomes")
		route := rapid.SampledFrom([]resolver.Route{booking, fixed, lookup}).Draw(r, "route")
		h := newHarness(t, route, outcomes...).withPlainTargets(8)
		got := h.serve(relayer.Request{})
		ran, runs := false, 0
		for i := range h.sender.sent {
			o := outcome{status: 200}
			if i < len(outcomes) {
				o = outcomes[i]
			}
			if ran && !route.Retryable() {
				r.Fatalf("retried after it may have run: %+v", outcomes[:i+1])
			}
			if o.failure == nil || o.failure.State != retrier.NotSent {
				ran = true
				runs++
			}
		}
		if runs > route.MaxAttempts {
			r.Fatalf("%d runs", runs)
		}
		if got.refusal != nil && got.refusal.NotRun && ran {
			r.Fatalf("refused as not run: %+v", outcomes)
		}
		if got.refusal == nil && !got.ended && !got.broken {
			r.Fatal("no final answer")
		}
	})
}

// Guards against accepting keys although the configuration was not confirmed for
// too long, and against refusing requests to public routes for that reason.
func TestStaleConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		public bool
		reason relayer.Reason
	}{
		"keyed":  {false, relayer.ReasonStale},
		"public": {true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := lookup
				route.Public = c.public
				h := newHarness(t, route).withPlainTargets(1)
				time.Sleep(4 * time.Second)
				assert.Assert(t, h.serve(relayer.Request{}).ended)
				ready, _ := h.relayer.Ready()
				assert.Assert(t, ready)
				time.Sleep(1100 * time.Millisecond)
				got := h.serve(relayer.Request{})
				ready, _ = h.relayer.Ready()
				assert.Assert(t, !ready)
				if c.reason == "" {
					assert.Assert(t, got.ended)
					return
				}
				assert.Equal(t, got.refusal.Reason, c.reason)
				assert.Assert(t, got.refusal.NotRun && got.refusal.RetryAfter > 0)
			})
		})
	}
}

// Guards against delaying the refusal of requests that nothing can serve.
func TestRefusalsAreImmediate(t *testing.T) {
	start := time.Now()
	got := newHarness(t, booking).serve(relayer.Request{})
	assertWithin(t, 50*time.Millisecond, start)
	assert.Equal(t, got.refusal.Reason, relayer.ReasonNoTarget)
	assert.Assert(t, got.refusal.NotRun && got.refusal.RetryAfter > 0)
	got = newHarness(t, booking).withPlainTargets(1).serve(relayer.Request{Key: "other"})
	assert.Equal(t, got.refusal.Reason, relayer.ReasonKey)
}

// Guards against holding a request longer than the timeout of its route or its
// caller, and against passing a longer timeout to the target.
func TestTimeIsBoundedByRouteAndCaller(t *testing.T) {
	for name, c := range map[string]struct{ route, patience, want timekeeper.Millis }{
		"route":  {800, 3000, 800},
		"caller": {3000, 700, 700},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := booking
				route.Timeout = c.route
				h := newHarness(t, route, outcome{hang: true}).withPlainTargets(2)
				start := time.Now()
				got := h.serve(relayer.Request{Timeout: c.patience})
				assert.Equal(t, time.Since(start), c.want.Duration())
				assert.Equal(t, got.refusal.Reason, relayer.ReasonDeadline)
				assert.Assert(t, !got.refusal.NotRun)
				assert.Assert(t, h.sender.sent[0].Timeout <= c.want)
			})
		})
	}
}

// Guards against work at a target after its caller disconnected.
func TestACallerWhoLeavesEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, lookup, outcome{hang: true}).withPlainTargets(3)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		c := &recordingCaller{}
		q := relayer.Request{ID: "q", Host: "host.example", Path: "/r/x", Key: "key", Arrived: timekeeper.System().Read()}
		start := time.Now()
		h.relayer.Serve(ctx, q, c)
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		assert.Equal(t, len(h.sender.sent), 1)
		assert.Assert(t, c.refusal == nil && !c.ended)
	})
}

// Guards against prefilling long prompts on decode engines, moving the KV caches of
// short ones, and KV caches that are never freed.
func TestLongPromptsArePrefilledSeparately(t *testing.T) {
	rejected := &relayer.Failure{Outcome: tracker.Rejected, State: retrier.NotSent, Cause: errTest}
	for name, c := range map[string]struct {
		attempts        int
		prompt          placer.Prompt
		prefillFailures []*relayer.Failure
		outcomes        []outcome
		prefills        int
		fromKVCache     []bool // Whether each attempt decodes from a transferred KV cache.
		freed           int
		ended           bool
	}{
		"long":                             {1, longPrompt(), nil, nil, 1, []bool{true}, 0, true},
		"short":                            {1, placer.Prompt{Input: 200}, nil, nil, 0, []bool{false}, 0, true},
		"first prefill engine rejects":     {1, longPrompt(), []*relayer.Failure{rejected}, nil, 2, []bool{true}, 0, true},
		"all prefill engines reject":       {1, longPrompt(), []*relayer.Failure{rejected, rejected}, nil, 2, []bool{false}, 0, true},
		"decode rejected":                  {1, longPrompt(), nil, []outcome{failed(tracker.Rejected, retrier.NotSent)}, 1, []bool{true}, 1, false},
		"decode rejected, another attempt": {2, longPrompt(), nil, []outcome{failed(tracker.Rejected, retrier.NotSent)}, 1, []bool{true, true}, 0, true},
		"decode rejected twice":            {2, longPrompt(), nil, []outcome{failed(tracker.Rejected, retrier.NotSent), failed(tracker.Rejected, retrier.NotSent)}, 1, []bool{true, true}, 1, false},
		"decode unreachable twice":         {1, longPrompt(), nil, []outcome{failed(tracker.Unreachable, retrier.NotSent), failed(tracker.Unreachable, retrier.NotSent)}, 1, []bool{true, true, true}, 0, true},
		"decode breaks off":                {1, longPrompt(), nil, []outcome{failed(tracker.ConnectionLost, retrier.PossiblyRunning)}, 1, []bool{true}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			route := engineStream
			route.MaxAttempts = c.attempts
			h := newHarness(t, route, c.outcomes...).withEngines(3, 3)
			h.sender.prefillFailures = c.prefillFailures
			// Earlier requests fill the retry budget.
			for range 40 {
				h.sender.prefillFailures, h.sender.outcomes = nil, nil
				h.serve(relayer.Request{Prompt: placer.Prompt{Input: 10}})
			}
			h.sender.sent, h.sender.prefilledAt, h.sender.prefillFailures, h.sender.outcomes = nil, nil, c.prefillFailures, c.outcomes
			got := h.serve(relayer.Request{Prompt: c.prompt})
			assert.Equal(t, len(h.sender.prefilledAt), c.prefills)
			var fromKVCache []bool
			for _, a := range h.sender.sent {
				fromKVCache = append(fromKVCache, a.KVCache != nil)
				assert.Equal(t, a.Target.Role, tracker.Decode)
			}
			assert.DeepEqual(t, fromKVCache, c.fromKVCache)
			assert.Equal(t, h.sender.freed, c.freed)
			assert.Equal(t, got.ended, c.ended)
		})
	}
}

// Guards against a queue in which every request misses the target latency: a request
// that can't meet it gets low priority, and one that can't be answered before its
// caller's timeout is refused immediately.
func TestLongQueuesLowerPriorityOrRefuse(t *testing.T) {
	const microsPerMilli = 1000
	for name, c := range map[string]struct {
		backlog     int // Prefill work queued at the engine, in microseconds.
		lowBacklog  int // The same for low-priority requests.
		patience    timekeeper.Millis
		refused     bool
		lowPriority bool
	}{
		"short queue":                {100 * microsPerMilli, 0, 2000, false, false},
		"long queue":                 {400 * microsPerMilli, 0, 2000, false, true},
		"long low-priority queue":    {0, 400 * microsPerMilli, 2000, false, false},
		"both":                       {400 * microsPerMilli, 400 * microsPerMilli, 2000, false, true},
		"too long":                   {1300 * microsPerMilli, 0, 2000, true, false},
		"too long with low priority": {400 * microsPerMilli, 900 * microsPerMilli, 2000, true, false},
		"long queue, little time":    {400 * microsPerMilli, 0, 600, true, false},
		"no queue, little time too":  {0, 0, 200, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engineStream).withEngines(1, 1)
			h.tracker.Begin("prefill0", tracker.Work{PrefillWork: c.backlog})
			h.tracker.Begin("prefill0", tracker.Work{PrefillWork: c.lowBacklog, LowPriority: true})
			h.tracker.Begin("decode1", tracker.Work{PrefillWork: 9000 * microsPerMilli})
			got := h.serve(relayer.Request{Prompt: longPrompt(), Timeout: c.patience})
			assert.Equal(t, got.refusal != nil, c.refused)
			if c.refused {
				assert.Equal(t, got.refusal.Reason, relayer.ReasonOverloaded)
				assert.Assert(t, got.refusal.RetryAfter <= c.patience/3, "caller cannot retry in time")
				assert.Equal(t, len(h.sender.prefilledAt), 0)
				return
			}
			assert.Equal(t, len(h.sender.sent), 1)
			assert.Equal(t, h.sender.sent[0].LowPriority, c.lowPriority)
		})
	}
}

// Guards against retries beyond the retry share: targets that all fail must not get
// every request twice.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, lookup).withPlainTargets(4)
	const requests = 500
	start := time.Now()
	defer assertWithin(t, 5*time.Second, start) // A request without retry budget must end immediately.
	for range requests {
		h.sender.outcomes = append(h.sender.outcomes, outcome{status: 500}, outcome{status: 500})
	}
	for range requests {
		h.serve(relayer.Request{})
	}
	retries := len(h.sender.sent) - requests
	assert.Check(t, retries <= requests/5+2, "%d retries for %d requests", retries, requests)
	assert.Check(t, retries > requests/10, "only %d retries", retries)
}

// Guards against billing a request twice or without a run.
func TestCounts(t *testing.T) {
	for name, c := range map[string]struct {
		route    resolver.Route
		outcomes []outcome
		count    int
	}{
		"served":           {lookup, nil, 1},
		"failed and again": {lookup, []outcome{{status: 500}}, 1},
		"rejected":         {booking, []outcome{failed(tracker.Rejected, retrier.NotSent), failed(tracker.Rejected, retrier.NotSent)}, 0},
		"stream resumed":   {chat, []outcome{{status: 200, events: []string{"1"}, broken: true}, {status: 200, events: []string{"2"}}}, 1},
		"lost":             {booking, []outcome{failed(tracker.ConnectionLost, retrier.PossiblyRunning)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.route, c.outcomes...).withPlainTargets(4)
			h.serve(relayer.Request{})
			assert.Equal(t, h.counts.counts["w"], c.count)
		})
	}
}

// Guards against prefilling prompts that no engine has a decode slot for: under peak
// load, each one takes prefill time from a request that could be served.
func TestNoPrefillWithoutDecodeSlot(t *testing.T) {
	for name, c := range map[string]struct {
		running  int // Requests in the slots of the only decode engine.
		prefills int
	}{"slots free": {0, 1}, "no slot for long": {400, 0}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, engineStream).withEngines(2, 1)
			for range c.running {
				h.tracker.Begin("decode2", tracker.Work{})
			}
			got := h.serve(relayer.Request{Prompt: longPrompt(), Timeout: 2000})
			assert.Equal(t, len(h.sender.prefilledAt), c.prefills)
			if c.prefills == 0 {
				assert.Equal(t, got.refusal.Reason, relayer.ReasonOverloaded)
				assert.Assert(t, got.refusal.NotRun)
			}
		})
	}
}

// Guards against callers who wait for their whole time on a connection that died without
// a sign, although their request may be repeated; and against leaving a target that is
// only slow.
func TestSilentTargetsAreLeft(t *testing.T) {
	for name, c := range map[string]struct {
		route       resolver.Route
		othersServe bool // The target answers another request meanwhile.
		sends       int
		served      bool
	}{
		"look-up":                     {lookup, false, 2, true},
		"resumable stream":            {chat, false, 2, true},
		"booking":                     {booking, false, 1, false},
		"stream that can't resume":    {fixed, false, 1, false},
		"look-up at a slow target":    {lookup, true, 1, false},
		"one attempt allowed":         {resolver.Route{Kind: resolver.Idempotent, MaxAttempts: 1}, false, 1, false},
		"too little time for another": {resolver.Route{Kind: resolver.Idempotent, MaxAttempts: 2, Timeout: 600}, false, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, c.route, outcome{hang: true}).withPlainTargets(2)
				if c.othersServe {
					time.AfterFunc(500*time.Millisecond, func() {
						for _, id := range []string{"t0", "t1"} {
							k := h.tracker.Begin(id, tracker.Work{})
							k.RecordResponse(nil)
							k.End(tracker.Answered, "")
						}
					})
				}
				begun := time.Now()
				got := h.serve(relayer.Request{})
				assert.Equal(t, len(h.sender.sent), c.sends)
				assert.Equal(t, got.ended, c.served)
				if c.served {
					assert.Check(t, h.sender.sent[0].Target.ID != h.sender.sent[1].Target.ID)
					assert.Check(t, time.Since(begun) <= 1100*time.Millisecond, "served after %s", time.Since(begun))
				}
			})
		})
	}
}
