package relayer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/relayer"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

var errTest = errors.New("test")

// outcome is what a scripted target does with one attempt.
type outcome struct {
	failure *relayer.Failure // Returned instead of an answer.
	status  int
	events  []string // Events of a stream, by ID.
	broken  bool     // The connection breaks within the body.
	hang    bool     // No answer until the request's context ends.
	report  tracker.Report
	pause   time.Duration // Before each event of a stream.
	delay   time.Duration // Before the answer or failure.
}

func failed(o tracker.Outcome, s retrier.State) outcome {
	return outcome{failure: &relayer.Failure{Outcome: o, State: s, Cause: errTest}}
}

// scriptedSender is a relayer.Sender whose targets follow a script, one outcome per attempt.
type scriptedSender struct {
	mu              sync.Mutex
	outcomes        []outcome
	decide          func(relayer.Attempt) outcome           // Replaces outcomes if set.
	decidePrefill   func(relayer.Attempt) *relayer.Failure  // Replaces prefillFailures if set.
	refuses         func(target string) bool                // Whether a target refuses connections; nil if none does.
	probe           func(target string) relayer.ProbeResult // Replaces refuses if set.
	prefillFailures []*relayer.Failure
	sent            []relayer.Attempt
	prefilledAt     []string
	freed           int
}

func (s *scriptedSender) Send(ctx context.Context, a relayer.Attempt) (relayer.Answer, *relayer.Failure) {
	if a.MarkSent != nil {
		a.MarkSent()
	}
	o := s.next(a)
	time.Sleep(o.delay)
	if o.hang {
		<-ctx.Done()
		return nil, &relayer.Failure{Outcome: tracker.TimedOut, State: retrier.PossiblyRunning, Cause: ctx.Err()}
	}
	if o.failure != nil {
		return nil, o.failure
	}
	return &scriptedAnswer{outcome: o}, nil
}

// next records an attempt and returns its outcome.
func (s *scriptedSender) next(a relayer.Attempt) outcome {
	s.mu.Lock()
	o := outcome{status: 200}
	if len(s.sent) < len(s.outcomes) {
		o = s.outcomes[len(s.sent)]
	}
	s.sent = append(s.sent, a)
	s.mu.Unlock()
	if s.decide != nil {
		return s.decide(a)
	}
	return o
}

func (s *scriptedSender) Prefill(_ context.Context, a relayer.Attempt) (relayer.KVCache, tracker.Report, *relayer.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f *relayer.Failure
	if len(s.prefilledAt) < len(s.prefillFailures) {
		f = s.prefillFailures[len(s.prefilledAt)]
	}
	s.prefilledAt = append(s.prefilledAt, a.Target.ID)
	if s.decidePrefill != nil {
		f = s.decidePrefill(a)
	}
	return relayer.KVCache{Target: a.Target.ID, Address: a.Target.Address, Handle: "h", DataCentre: a.Target.DataCentre}, tracker.Report{}, f
}

func (s *scriptedSender) Probe(_ context.Context, target tracker.Target) relayer.ProbeResult {
	switch {
	case s.probe != nil:
		return s.probe(target.ID)
	case s.refuses != nil && s.refuses(target.ID):
		return relayer.ProbeRefused
	default:
		return relayer.ProbeAccepted
	}
}

func (s *scriptedSender) Free(relayer.Attempt, relayer.KVCache) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed++
}

type scriptedAnswer struct{ outcome }

func (a *scriptedAnswer) Succeeded() bool        { return a.status < 300 }
func (a *scriptedAnswer) Failed() bool           { return a.status >= 500 }
func (a *scriptedAnswer) Streamed() bool         { return a.events != nil }
func (a *scriptedAnswer) Report() tracker.Report { return a.report }
func (a *scriptedAnswer) Close()                 {}

func (a *scriptedAnswer) ReadAll() ([]byte, *relayer.Failure) {
	if a.broken {
		return nil, &relayer.Failure{Outcome: tracker.ConnectionLost, State: retrier.Ran, Cause: errTest}
	}
	return fmt.Appendf(nil, "body %d", a.status), nil
}

func (a *scriptedAnswer) NextEvent() (*relayer.Event, *relayer.Failure) {
	time.Sleep(a.pause)
	if len(a.events) == 0 {
		if a.broken {
			return nil, &relayer.Failure{Outcome: tracker.ConnectionLost, State: retrier.Ran, Cause: errTest}
		}
		return nil, nil
	}
	id := a.events[0]
	a.events = a.events[1:]
	return &relayer.Event{ID: id, Raw: []byte(id + ";")}, nil
}

// recordingCaller is a relayer.Caller that records what it receives.
type recordingCaller struct {
	refusal *relayer.Refusal
	status  int
	heads   int
	body    string
	ended   bool
	broken  bool
	pause   time.Duration // In which it receives an event.
}

func (c *recordingCaller) Refuse(r relayer.Refusal) { c.refusal = &r }
func (c *recordingCaller) Begin(a relayer.Answer) error {
	c.status = a.(*scriptedAnswer).status
	c.heads++
	return nil
}
func (c *recordingCaller) Write(data []byte) error {
	time.Sleep(c.pause)
	c.body += string(data)
	return nil
}
func (c *recordingCaller) End()   { c.ended = true }
func (c *recordingCaller) Abort() { c.broken = true }

// mapCounter counts requests by workspace.
type mapCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *mapCounter) Count(workspace string, _ timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[workspace]++
}

// harness holds a relayer with scripted targets and what it recorded.
type harness struct {
	relayer *relayer.Relayer
	sender  *scriptedSender
	holder  *resolver.Holder
	tracker *tracker.Tracker
	counts  *mapCounter
	parts   *quarantiner.PartQuarantine
	quotas  relayer.Quotas // May be nil.

	callerPause time.Duration // In which callers receive an event.
	unranked    bool          // The setting order-by-urgency is off.

	mu     sync.Mutex
	events []recorder.Event
}

func newHarness(t *testing.T, route resolver.Route, outcomes ...outcome) *harness {
	t.Helper()
	clock := timekeeper.System()
	h := &harness{sender: &scriptedSender{outcomes: outcomes}, holder: resolver.NewHolder(clock), counts: &mapCounter{counts: map[string]int{}}}
	h.tracker = tracker.New(clock, 0, func(tracker.Event) {})
	route.Name, route.Host, route.PathPrefix = "r", "host.example", "/r/"
	route.Splits = []resolver.Split{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 2 * timekeeper.Second
	}
	service := resolver.Service{Name: "s", Engines: route.TargetLatency > 0}
	d, err := resolver.New(1, resolver.Limits{}, []resolver.Service{service}, []resolver.Route{route},
		[]resolver.Workspace{{Name: "w", Keys: []authenticator.Hash{authenticator.HashKey("key")}}})
	assert.NilError(t, err)
	h.holder.Adopt(d)
	h.holder.Confirm(clock.Read())
	h.parts = quarantiner.NewPartQuarantine(clock, func(quarantiner.PartEvent) {})
	h.relayer = h.newRelayer()
	t.Cleanup(func() {
		r, _ := h.current()
		r.Close()
	})
	return h
}

func (h *harness) newRelayer() *relayer.Relayer {
	return relayer.New(relayer.Options{DataCentre: "a", MaxConfigurationAge: 5 * timekeeper.Second, RetryShare: 0.2, OrderByUrgency: !h.unranked}, relayer.Dependencies{
		Clock: timekeeper.System(), Holder: h.holder, Tracker: h.tracker, Profiler: profiler.New(timekeeper.System()), Sender: h.sender, Counter: h.counts,
		Record: h.record, Stats: relayer.NewStats(), Quarantine: h.parts,
		MayTry: func(quarantiner.Part) bool { return true }, Quotas: h.quotas,
	})
}

// restart replaces the relayer by one that knows nothing of crashes.
func (h *harness) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.relayer.Close()
	h.parts = quarantiner.NewPartQuarantine(timekeeper.System(), func(quarantiner.PartEvent) {})
	h.relayer = h.newRelayer()
}

func (h *harness) current() (*relayer.Relayer, *quarantiner.PartQuarantine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relayer, h.parts
}

func (h *harness) record(e recorder.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// withPlainTargets adds n targets of a plain service.
func (h *harness) withPlainTargets(n int) *harness {
	var list []tracker.Target
	for i := range n {
		list = append(list, tracker.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Address: "x", DataCentre: "a", Slots: 6})
	}
	h.tracker.Replace(list, false)
	return h
}

// withEngines adds engines for prefill and decode.
func (h *harness) withEngines(prefill, decode int) *harness {
	var list []tracker.Target
	for i := range prefill + decode {
		role := tracker.Prefill
		if i >= prefill {
			role = tracker.Decode
		}
		list = append(list, tracker.Target{ID: fmt.Sprintf("%s%d", role, i), Service: "s", Address: "x", DataCentre: "a", Slots: 4, Role: role})
	}
	h.tracker.Replace(list, false)
	return h
}

// confirm tells the instance that the configuration, without which keys are not trusted, and
// the list of targets are the newest.
func (h *harness) confirm() {
	now := timekeeper.System().Read()
	h.holder.Confirm(now)
	h.tracker.Confirm(now)
}

func (h *harness) serve(q relayer.Request) *recordingCaller {
	if q.ID == "" {
		q.ID = "request"
	}
	q.Host, q.Path, q.Arrived = "host.example", "/r/x", timekeeper.System().Read()
	if q.Key == "" {
		q.Key = "key"
	}
	c := &recordingCaller{pause: h.callerPause}
	r, _ := h.current()
	r.Serve(context.Background(), q, c)
	return c
}

func longPrompt() placer.Prompt {
	return placer.Prompt{Input: 9000, Output: 80, Parts: []placer.Part{{ID: "a", Tokens: 6000}, {ID: "b", Tokens: 3000}}}
}

// assertWithin fails the test if more time than bound has passed.
func assertWithin(t *testing.T, bound time.Duration, since time.Time) {
	t.Helper()
	assert.Check(t, time.Since(since) <= bound, "held for %s", time.Since(since))
}
