package orderer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/orderer"
	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// awaitLeader runs the world until a node holds the lease and has loaded the
// intents, and returns it and another node.
func awaitLeader(t *testing.T, w *world) (leader, other *node) {
	t.Helper()
	ok := w.run(60*second, func() bool {
		for i, n := range w.nodes {
			if n.orderer != nil && n.orderer.Loaded() {
				leader, other = n, w.nodes[(i+1)%len(w.nodes)]
			}
		}
		return leader != nil
	})
	assert.Assert(t, ok, "no node became leader")
	return leader, other
}

// Guards against a stale order: a planner is paused for a minute between its
// decision to send and the write, and the engine ignores fencing tokens.
func TestPausedPlannerResumedInTheMiddleOfAnOrder(t *testing.T) {
	run := func(t *testing.T, options func(orderer.Options) orderer.Options) []string {
		w := newWorld(2)
		w.options = options
		leader, other := awaitLeader(t, w)
		leader.beforePermit = leader.pauseFor(60 * second)
		other.plan = submitOnce(changeRole("ignoring", orderer.RoleDecode))
		submitOnce(changeRole("ignoring", orderer.RoleMixed))(leader)
		w.run(120*second, nil)
		assert.Assert(t, other.epoch > leader.epoch || leader.epoch > 1, "no takeover")
		return w.conflicts()
	}
	assert.DeepEqual(t, run(t, func(o orderer.Options) orderer.Options { return o }), []string(nil))
	assert.Assert(t, len(run(t, orderer.Options.WithoutCheck)) > 0, "the test does not detect a missing check")
}

// Guards against a target that is ordered twice or not at all when a takeover
// comes between intent and confirmation: the first planner stops when it sends the
// order, which reaches the platform in one case and is lost in the other.
func TestTakeoverBetweenIntentAndOrder(t *testing.T) {
	run := func(t *testing.T, sent bool, options func(orderer.Options) orderer.Options) int {
		w := newWorld(2)
		w.options = options
		leader, other := awaitLeader(t, w)
		stop := func(operation, name string) faker.Fault {
			if operation != "order" {
				return faker.NoFault
			}
			leader.paused = 1 << 40
			if sent {
				return faker.FaultLostAnswer
			}
			return faker.FaultUnavailable
		}
		w.platform.SetFault(stop)
		submitOnce(startOne)(leader)
		assert.Assert(t, w.run(10*second, func() bool { return leader.paused > 0 }))
		w.platform.SetFault(nil)
		// The successor needs one target and orders it unless an intent has one.
		submitted := false
		other.plan = func(n *node) {
			if !submitted && len(n.orderer.Pending()) == 0 && len(w.failures) == 0 {
				_, err := n.orderer.Submit(startOne)
				submitted = err == nil
			}
		}
		w.run(90*second, nil)
		return len(w.platform.Orders())
	}
	unchanged := func(o orderer.Options) orderer.Options { return o }
	assert.Equal(t, run(t, true, unchanged), 1, "order that reached the platform")
	assert.Equal(t, run(t, false, unchanged), 1, "order that did not reach the platform")
	assert.Equal(t, run(t, true, orderer.Options.WithoutIntent), 2, "the test does not detect a missing intent")
}

// permanentAuthority never ends, like that of a planner with a wrong clock.
type permanentAuthority struct{ epoch int64 }

func (a permanentAuthority) Epoch() int64                  { return a.epoch }
func (a permanentAuthority) Check(timekeeper.Millis) error { return nil }
func (a permanentAuthority) ObserveEpoch(int64)            {}

// Guards against two planners that both send orders because each considers its
// lease valid: the intents object lets only the higher epoch do so.
func TestRacingPlannersOnlyHigherEpochOrders(t *testing.T) {
	w := newWorld(1)
	n := w.nodes[0]
	low, high := orderer.New(n.options(), permanentAuthority{1}), orderer.New(n.options(), permanentAuthority{2})
	for !low.Loaded() {
		_, err := low.Step(t.Context())
		assert.NilError(t, err)
	}
	_, err := low.Submit(changeRole("ignoring", orderer.RoleDecode))
	assert.NilError(t, err)
	for !high.Loaded() {
		_, err := high.Step(t.Context())
		assert.NilError(t, err)
	}
	_, err = high.Submit(changeRole("ignoring", orderer.RoleMixed))
	assert.NilError(t, err)
	superseded := false
	for range 200 {
		_, err := low.Step(t.Context())
		superseded = superseded || errors.Is(err, orderer.ErrSuperseded)
		_, _ = high.Step(t.Context())
		w.advance(250)
	}
	assert.Assert(t, superseded)
	for _, r := range w.engines["ignoring"].Received() {
		assert.Equal(t, r.Token, int64(2))
	}
	assert.Equal(t, len(high.Pending()), 0)
	assert.DeepEqual(t, w.conflicts(), []string(nil))
}

// expiringAuthority is an authority whose lease always has the same remaining time.
type expiringAuthority struct{ remaining timekeeper.Millis }

func (e expiringAuthority) Epoch() int64 { return 1 }
func (e expiringAuthority) Check(need timekeeper.Millis) error {
	if need > e.remaining {
		return errors.New("remaining lease is too short")
	}
	return nil
}
func (e expiringAuthority) ObserveEpoch(int64) {}

// Guards against a send that can end after the lease at an engine that ignores
// fencing tokens; an engine that checks them needs no such margin.
func TestSendEndsBeforeTheLeaseAtAnIgnoringEngine(t *testing.T) {
	for target, sent := range map[string]bool{"ignoring": false, "checking": true} {
		w := newWorld(1)
		o := orderer.New(w.nodes[0].options(), expiringAuthority{2 * second})
		for step := range 40 {
			_, _ = o.Step(t.Context())
			if step == 5 {
				_, err := o.Submit(changeRole(target, orderer.RoleDecode))
				assert.NilError(t, err)
			}
			w.advance(250)
		}
		assert.Equal(t, len(w.engines[target].Received()) > 0, sent, target)
	}
}

// Guards against a successor that requests the state of an engine with fencing
// before the engine refuses the earlier holder's orders.
func TestCheckingEngineIsFencedBeforeItsStateIsRequested(t *testing.T) {
	w := newWorld(2)
	leader, other := awaitLeader(t, w)
	oldEpoch := leader.epoch
	submitOnce(changeRole("checking", orderer.RoleDecode))(leader)
	leader.beforePermit = leader.pauseFor(60 * second)
	w.run(100*second, nil)
	received := w.engines["checking"].Received()
	assert.Assert(t, len(received) > 0 && received[0].Action == orderer.ActionFence && received[0].Token == other.epoch)
	staleOrder := orderer.EngineOrder{ID: "1-1", Token: oldEpoch, Action: orderer.ActionDrain}
	assert.ErrorIs(t, w.engines["checking"].Deliver(t.Context(), staleOrder), orderer.ErrStale)
	assert.DeepEqual(t, w.conflicts(), []string(nil))
}

// Guards against a role change that interrupts requests, and against orders that
// get stuck or run twice when the engine crashes during a change or its responses
// are lost.
func TestRoleChangeSurvivesCrashAndLostAnswers(t *testing.T) {
	for _, target := range []string{"checking", "ignoring"} {
		t.Run(target, func(t *testing.T) {
			w := newWorld(1)
			leader := w.nodes[0]
			e := w.engines[target]
			e.SetRunning(3)
			e.SetFault(func(o orderer.EngineOrder) faker.Fault {
				if o.Action == orderer.ActionDrain {
					return faker.FaultLostAnswer
				}
				return faker.NoFault
			})
			leader.plan = submitOnce(changeRole(target, orderer.RoleDecode))
			w.run(30*second, nil)
			state, err := e.State(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, state.Draining && state.Role == orderer.RolePrefill, "role changed while requests ran")
			e.SetRunning(0)
			changing := func() bool { s, _ := e.State(t.Context()); return s.Changing != "" }
			assert.Assert(t, w.run(20*second, changing))
			e.Crash(true)
			w.run(20*second, nil)
			e.Crash(false)
			assert.Assert(t, w.run(60*second, func() bool { return len(w.failures) == 1 }))
			state, err = e.State(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, w.failures[0] == nil && state.Role == orderer.RoleDecode && !state.Draining)
			assert.DeepEqual(t, w.conflicts(), []string(nil))
		})
	}
}

// Guards against a role change that interrupts a request: an instance sends it
// before it has received the drain, when the engine already runs no requests.
func TestRoleChangeWaitsUntilAllInstancesKnowOfTheDrain(t *testing.T) {
	w := newWorld(1)
	e := w.engines["ignoring"]
	w.nodes[0].plan = submitOnce(changeRole("ignoring", orderer.RoleDecode))
	draining := func() bool { s, _ := e.State(t.Context()); return s.Draining }
	assert.Assert(t, w.run(30*second, draining))
	w.run(500, nil)
	e.SetRunning(1)
	w.run(10*second, nil)
	e.SetRunning(0)
	assert.Assert(t, w.run(60*second, func() bool { return len(w.failures) == 1 }))
	assert.DeepEqual(t, w.conflicts(), []string(nil))
}

// Guards against conflicting orders, orders of an old epoch and duplicate platform
// orders under any mix of lost responses, outages, delays, pauses and crashes.
func TestOrdersUnderFaults(t *testing.T) {
	epochCount, finished := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		var storeFault, engineFault faker.Fault
		w.platform.SetFault(func(string, string) faker.Fault { return storeFault })
		for _, e := range w.engines {
			e.SetFault(func(orderer.EngineOrder) faker.Fault { return engineFault })
		}
		delay, submitted, epochs := timekeeper.Millis(0), 0, map[int64]bool{}
		w.delay = func() (timekeeper.Millis, bool) { return delay, delay > 0 }
		targets := rapid.SampledFrom([]string{"checking", "ignoring"})
		roles := rapid.SampledFrom([]orderer.Role{orderer.RolePrefill, orderer.RoleDecode, orderer.RoleMixed})
		pick := func(t *rapid.T) *node { return w.nodes[rapid.IntRange(0, 2).Draw(t, "node")] }
		faults := rapid.SampledFrom([]faker.Fault{faker.NoFault, faker.NoFault, faker.FaultLostAnswer, faker.FaultUnavailable})
		actions := map[string]func(*rapid.T){
			"store fault":  func(t *rapid.T) { storeFault = faults.Draw(t, "fault") },
			"engine fault": func(t *rapid.T) { engineFault = faults.Draw(t, "fault") },
			"delay":        func(t *rapid.T) { delay = timekeeper.Millis(rapid.IntRange(0, 2999).Draw(t, "delay")) },
			"crash":        func(t *rapid.T) { w.engines[targets.Draw(t, "target")].Crash(rapid.Bool().Draw(t, "down")) },
			"pause":        func(t *rapid.T) { pick(t).paused = w.now + 60*second },
			"suspend":      func(t *rapid.T) { pick(t).source.Suspend(40 * second) },
			"pause in send": func(t *rapid.T) {
				n := pick(t)
				n.beforePermit = n.pauseFor(60 * second)
			},
			"pause before platform": func(t *rapid.T) {
				n := pick(t)
				n.beforePlatform = n.pauseFor(60 * second)
			},
			"order": func(t *rapid.T) {
				order := startOne
				if rapid.Bool().Draw(t, "role") {
					order = changeRole(targets.Draw(t, "target"), roles.Draw(t, "role"))
				}
				for _, n := range w.nodes {
					if n.orderer != nil && w.now >= n.paused {
						if _, err := n.orderer.Submit(order); err == nil && order.Action == orderer.ActionStart {
							submitted++
						}
					}
				}
			},
			"": func(t *rapid.T) {
				if c := w.conflicts(); len(c) > 0 {
					t.Fatalf("conflicts: %v", c)
				}
				orders := w.platform.Orders()
				ids := map[string]bool{}
				for i, order := range orders {
					if ids[order.ID] || i > 0 && order.Token < orders[i-1].Token {
						t.Fatalf("platform order %s with token %d after %+v", order.ID, order.Token, orders[:i])
					}
					ids[order.ID] = true
					epochs[order.Token] = true
				}
				if len(orders) > submitted {
					t.Fatalf("%d orders took effect, %d were submitted", len(orders), submitted)
				}
			},
		}
		spans := rapid.SampledFrom([]timekeeper.Millis{250, second, 10 * second, 40 * second})
		for name, action := range actions {
			if name != "" {
				actions[name] = func(t *rapid.T) {
					action(t)
					w.run(spans.Draw(t, "span"), nil)
				}
			}
		}
		w.run(5*second, nil)
		// One Repeat makes about 30 steps; takeovers during orders need more.
		for range 3 {
			t.Repeat(actions)
		}
		epochCount, finished = epochCount+len(epochs), finished+len(w.failures)
	})
	t.Logf("%d epochs sent orders, %d orders finished", epochCount, finished)
	assert.Assert(t, finished > 0 && epochCount > 0)
}

// Guards against an HTTP order that is written after the lease expired during a
// slow dial, and against refusals that are mistaken for lost responses.
func TestHTTPEngineChecksThePermitBeforeWriting(t *testing.T) {
	control := faker.NewEngineControl(timekeeper.System(), "e", orderer.RolePrefill, true, 0)
	mux := echo.New()
	control.Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	engine := orderer.NewHTTPEngine(server.URL, server.Client())
	order := func(token int64) orderer.EngineOrder {
		return orderer.EngineOrder{ID: "7-1", Token: token, Action: orderer.ActionDrain}
	}
	permit := func() error { return nil }
	refuse := func() error { return storer.ErrStaleToken }
	assert.ErrorIs(t, engine.Send(t.Context(), order(7), refuse), orderer.ErrNotSent)
	assert.Equal(t, len(control.Received()), 0)
	assert.NilError(t, engine.Send(t.Context(), order(7), permit))
	assert.ErrorIs(t, engine.Send(t.Context(), order(6), permit), orderer.ErrStale)
	state, err := engine.State(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, state.Draining && state.Token == 7)
	control.SetFault(func(orderer.EngineOrder) faker.Fault { return faker.FaultLostAnswer })
	err = engine.Send(context.Background(), order(8), permit)
	assert.Assert(t, err != nil && !errors.Is(err, orderer.ErrNotSent) && !errors.Is(err, orderer.ErrRejected))
	server.Close()
	assert.ErrorIs(t, engine.Send(t.Context(), order(8), permit), orderer.ErrNotSent)
}

// Guards against an order that is taken for accepted, or a state that is believed, because of
// an answer that is none.
func TestAnswersOfFaultyEngines(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 000 ": false, "HTTP/1.1 099 A": false, "HTTP/1.1 600 A": false, "HTTP/2.0 200 OK": false,
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other": false,
		"HTTP/1.1 302 Found\r\nLocation: /":                                         false,
	} {
		t.Run(line, func(t *testing.T) {
			address, stop, err := imitator.ServePeer("127.0.0.1:0", func(c *net.TCPConn, _ *http.Request) error {
				_, err := fmt.Fprintf(c, "%s\r\nContent-Length: 2\r\n\r\n{}", line)
				return err
			})
			assert.NilError(t, err)
			defer stop()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			engine := orderer.NewHTTPEngine("http://"+address, orderer.NewStateClient())
			err = engine.Send(ctx, orderer.EngineOrder{ID: "7-1", Token: 7, Action: orderer.ActionDrain}, func() error { return nil })
			assert.Equal(t, err == nil, valid, "%v", err)
			assert.Check(t, !errors.Is(err, orderer.ErrNotSent))
			_, err = engine.State(ctx)
			assert.Equal(t, err == nil, valid, "%v", err)
		})
	}
}
