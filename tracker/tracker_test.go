package tracker_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const grace = 1800 * timekeeper.Millisecond

type fixture struct {
	clock   *timekeeper.Manual
	tracker *tracker.Tracker
	states  []string
}

func newFixture() *fixture {
	f := &fixture{clock: timekeeper.NewManual(1_000_000)}
	f.tracker = tracker.New(f.clock.Clock(), grace, func(e tracker.Event) { f.states = append(f.states, e.Target.ID+" "+e.State) })
	return f
}

func engine(id string) tracker.Target {
	return tracker.Target{ID: id, Service: "llm", Address: "10.0.0.1:80", DataCentre: "a", Slots: 4, Role: tracker.Decode, Started: 1}
}

func (f *fixture) one(t *testing.T) tracker.Candidate {
	t.Helper()
	list := f.tracker.Candidates("llm")
	assert.Equal(t, len(list), 1)
	return list[0]
}

// Guards against routing to a target right after a failure of its own, and against
// excluding one permanently or for a failure of the request.
func TestOutcomesDecideWhetherATargetIsExcluded(t *testing.T) {
	for name, c := range map[string]struct {
		outcome tracker.Outcome
		running int // Load reported before the attempt ends.
		suspect bool
	}{
		"answered":                  {tracker.Answered, 1, false},
		"failure of its own":        {tracker.Failed, 1, false},
		"unreachable":               {tracker.Unreachable, 1, true},
		"broken connection":         {tracker.ConnectionLost, 1, true},
		"rejected with free slots":  {tracker.Rejected, 1, true},
		"rejected with slots full":  {tracker.Rejected, 9, false},
		"caller went away":          {tracker.Cancelled, 1, false},
		"no descriptor left here":   {tracker.LocalFailure, 1, false},
		"answer to another request": {tracker.InvalidAnswer, 1, false},
		"silent, but seen just now": {tracker.TimedOut, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.tracker.Replace([]tracker.Target{engine("e")}, false)
			k := f.tracker.Begin("e", tracker.Work{})
			k.RecordResponse(&tracker.Load{Running: c.running, Slots: 4})
			k.End(c.outcome, "test")
			assert.Equal(t, f.one(t).Suspected, c.suspect)
			f.clock.Advance(5 * timekeeper.Second)
			assert.Assert(t, !f.one(t).Suspected, "excluded permanently")
		})
	}
}

// Guards against an unresponsive target that receives requests until the store removes it.
func TestHangsAreDetected(t *testing.T) {
	f := newFixture()
	f.tracker.Replace([]tracker.Target{engine("e")}, false)
	for range 2 {
		f.tracker.Begin("e", tracker.Work{})
	}
	f.clock.Advance(600)
	assert.Assert(t, !f.one(t).Suspected)
	f.clock.Advance(400)
	assert.Assert(t, f.one(t).Suspected)
}

// Guards against a burst of requests to a suspected target when its suspicion time ends.
func TestOneTrialAttemptForASuspectedTarget(t *testing.T) {
	f := newFixture()
	f.tracker.Replace([]tracker.Target{engine("e")}, false)
	f.tracker.Begin("e", tracker.Work{}).End(tracker.Unreachable, "test")
	f.clock.Advance(timekeeper.Second)
	assert.Assert(t, !f.one(t).Suspected)
	trial := f.tracker.Begin("e", tracker.Work{})
	assert.Assert(t, f.one(t).Suspected, "a second attempt before the first ended")
	trial.End(tracker.Answered, "")
	assert.Assert(t, !f.one(t).Suspected)
}

// Guards against losing all targets when the store recovers without the entries that
// lapsed during the outage, and against keeping those that stay missing.
func TestEntriesThatLapsedInAnOutageStayForTheGraceTime(t *testing.T) {
	f := newFixture()
	f.tracker.Replace([]tracker.Target{engine("e"), engine("f")}, false)
	f.tracker.Replace(nil, true)
	assert.Equal(t, len(f.tracker.Candidates("llm")), 2)
	f.clock.Advance(grace / 2)
	f.tracker.Put(engine("e"))
	f.clock.Advance(grace)
	assert.Equal(t, f.one(t).ID, "e")
}

// Guards against use of a target that was already leaving before a store outage, and
// against a removal that is not applied although there was no outage.
func TestRemovalsThatTakeEffectAtOnce(t *testing.T) {
	for name, c := range map[string]struct{ leaving, regained bool }{
		"no outage":                {false, false},
		"leaving before an outage": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			e := engine("e")
			e.Leaving = c.leaving
			f.tracker.Replace([]tracker.Target{e}, false)
			f.tracker.Replace(nil, c.regained)
			assert.Equal(t, len(f.tracker.Targets()), 0)
		})
	}
}

// Guards against applying failures and load of an earlier process with the same ID.
func TestARestartedTargetStartsAnew(t *testing.T) {
	f := newFixture()
	f.tracker.Replace([]tracker.Target{engine("e")}, false)
	old := f.tracker.Begin("e", tracker.Work{PrefillWork: 100})
	old.End(tracker.Unreachable, "test")
	again := engine("e")
	again.Started = 2
	f.tracker.Put(again)
	assert.Assert(t, !f.one(t).Suspected)
	assert.Equal(t, f.one(t).LocalPrefillWork, 0)
}

// Guards against counting the instance's own requests twice when a target reports its
// load, and against reports that never expire.
func TestRemoteLoadExcludesLocalAndDecays(t *testing.T) {
	f := newFixture()
	f.tracker.Replace([]tracker.Target{engine("e")}, false)
	k := f.tracker.Begin("e", tracker.Work{})
	k.RecordResponse(&tracker.Load{Running: 3, Waiting: 2, Slots: 4})
	assert.Equal(t, f.one(t).RemoteRequests, 4.0)
	f.clock.Advance(1500)
	assert.Equal(t, f.one(t).RemoteRequests, 2.0)
	f.clock.Advance(1500)
	assert.Equal(t, f.one(t).RemoteRequests, 0.0)
}

// Guards against routing to a target whose address now belongs to another one.
func TestATargetWhoseAddressMovedIsGone(t *testing.T) {
	f := newFixture()
	f.tracker.Replace([]tracker.Target{engine("e")}, false)
	f.tracker.Begin("e", tracker.Work{}).End(tracker.AddressReused, "test")
	assert.Equal(t, len(f.tracker.Targets()), 0)
	assert.DeepEqual(t, f.states, []string{"e seen", "e gone"})
}

// Guards against a request that tries the targets of a partitioned data centre one
// after the other, each until its connection times out.
func TestOneUnreachableTargetMakesItsDataCentreSuspected(t *testing.T) {
	f := newFixture()
	var targets []tracker.Target
	for _, id := range []string{"a1", "a2", "a3", "b1"} {
		e := engine(id)
		e.DataCentre = id[:1]
		targets = append(targets, e)
	}
	f.tracker.Replace(targets, false)
	suspects := func() (list []string) {
		for _, c := range f.tracker.Candidates("llm") {
			if c.Suspected {
				list = append(list, c.ID)
			}
		}
		return list
	}
	k := f.tracker.Begin("a1", tracker.Work{})
	f.clock.Advance(350)
	k.End(tracker.Unreachable, "test")
	assert.DeepEqual(t, suspects(), []string{"a1", "a2", "a3"})
	f.clock.Advance(10)
	k = f.tracker.Begin("a2", tracker.Work{})
	k.RecordResponse(nil)
	k.End(tracker.Answered, "")
	assert.DeepEqual(t, suspects(), []string{"a1", "a3"})
	f.clock.Advance(timekeeper.Second)
	assert.Equal(t, len(suspects()), 0)
}

// Guards against each instance sending requests to an engine that rejects them during
// a role change, and against excluding the engine after the change.
func TestARejectingTargetIsReportedAsFull(t *testing.T) {
	f := newFixture()
	e := engine("e")
	e.Role = tracker.Decode
	f.tracker.Replace([]tracker.Target{e}, false)
	f.tracker.Begin("e", tracker.Work{}).End(tracker.Rejected, "test")
	assert.Assert(t, f.one(t).Suspected)
	assert.Assert(t, f.tracker.Loads()[sharer.KeyOf("e")].Requests > e.Slots)
	e.Role = tracker.Prefill
	f.tracker.Put(e)
	assert.Assert(t, !f.one(t).Suspected)
	assert.Equal(t, len(f.tracker.Loads()), 0)
}

// Guards against requests to an engine during a role change, from the instance that
// ordered the change and from others, and against excluding the engine permanently if
// the order has no effect.
func TestAnEngineThatChangesItsRoleIsExcluded(t *testing.T) {
	f, other := newFixture(), newFixture()
	for _, x := range []*fixture{f, other} {
		x.tracker.Replace([]tracker.Target{engine("e")}, false)
	}
	other.tracker.SetRemoteLoads(func() (func(string) sharer.RemoteLoad, bool) {
		return func(id string) sharer.RemoteLoad {
			l := f.tracker.Loads()[sharer.KeyOf(id)]
			return sharer.RemoteLoad{Requests: float64(l.Requests)}
		}, true
	})
	f.tracker.RoleChanging("e", 3*timekeeper.Second)
	assert.Assert(t, f.one(t).Suspected && other.one(t).Suspected)
	f.clock.Advance(3 * timekeeper.Second)
	assert.Assert(t, !f.one(t).Suspected && !other.one(t).Suspected, "excluded although the role did not change")
	f.tracker.RoleChanging("e", 10*timekeeper.Second)
	changed := engine("e")
	changed.Role = tracker.Prefill
	f.tracker.Put(changed)
	assert.Assert(t, !f.one(t).Suspected && !other.one(t).Suspected)
}

// Guards against excluding decode targets, and reporting them as full, because a
// prefill target lost the KV cache; and against prefill targets that keep losing
// KV caches.
func TestRejectedDecodesAreAttributedToTheirCause(t *testing.T) {
	for name, c := range map[string]struct {
		rejected                [][2]string // Prefill and decode target of each rejected decode.
		answeredFirst           bool        // A decode from a KV cache succeeded after each rejection.
		suspects, losesKVCaches []string
	}{
		"once":                      {[][2]string{{"r1", "d1"}}, false, nil, nil},
		"one prefill, many decodes": {[][2]string{{"r1", "d1"}, {"r1", "d2"}, {"r1", "d1"}}, false, nil, []string{"r1"}},
		"many prefills, one decode": {[][2]string{{"r1", "d1"}, {"r2", "d1"}}, false, []string{"d1"}, nil},
		"with successes in between": {[][2]string{{"r1", "d1"}, {"r2", "d1"}}, true, nil, nil},
		"a prefill target removed":  {[][2]string{{"x1", "d1"}, {"x2", "d1"}}, false, nil, nil},
		"one prefill, one decode":   {[][2]string{{"r1", "d1"}, {"r1", "d1"}}, false, nil, []string{"r1"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			var targets []tracker.Target
			for _, id := range []string{"r1", "r2", "d1", "d2"} {
				e := engine(id)
				e.Role = map[byte]tracker.Role{'r': tracker.Prefill, 'd': tracker.Decode}[id[0]]
				targets = append(targets, e)
			}
			f.tracker.Replace(targets, false)
			for _, pair := range c.rejected {
				f.tracker.Begin(pair[1], tracker.Work{}).EndFromKVCache(pair[0], tracker.Rejected, "test")
				if c.answeredFirst {
					f.tracker.Begin(pair[1], tracker.Work{}).EndFromKVCache(pair[0], tracker.Answered, "")
				}
			}
			var suspects, losesKVCaches []string
			for _, k := range f.tracker.Candidates("llm") {
				if k.Suspected {
					suspects = append(suspects, k.ID)
				}
				if k.LosesKVCaches {
					losesKVCaches = append(losesKVCaches, k.ID)
				}
			}
			assert.DeepEqual(t, suspects, c.suspects)
			assert.DeepEqual(t, losesKVCaches, c.losesKVCaches)
		})
	}
}

// Guards against removals that are ignored for longer than the grace time after an
// outage: two relays report the recovery repeatedly, one of which had no outage.
func TestTheGraceTimeCountsFromTheStoresReturn(t *testing.T) {
	f := newFixture()
	f.tracker.Replace([]tracker.Target{engine("e")}, false)
	recovered := f.clock.Clock().Read()
	for range 8 {
		f.clock.Advance(grace / 10)
		f.tracker.StoreRecovered(recovered)
		f.tracker.StoreRecovered(recovered.Before(grace))
	}
	f.tracker.Remove("e")
	assert.Equal(t, len(f.tracker.Candidates("llm")), 1, "the entry lapsed and is in its grace time")
	f.clock.Advance(grace/5 + 1)
	assert.Equal(t, len(f.tracker.Candidates("llm")), 0)
}

// Guards against requests to a target that leaves, because the store has come back from a copy
// with an older entry, and against targets that count as leaving for ever.
func TestALeavingIsKnownAfterTheStoreHasComeBack(t *testing.T) {
	f := newFixture()
	leaving, ready := engine("e"), engine("e")
	leaving.Leaving = true
	f.tracker.Replace([]tracker.Target{ready}, false)
	f.tracker.Put(leaving)
	f.tracker.Replace([]tracker.Target{ready}, true)
	assert.Assert(t, f.tracker.Targets()[0].Leaving)
	f.tracker.Put(ready)
	assert.Assert(t, f.tracker.Targets()[0].Leaving)
	f.clock.Advance(grace)
	f.tracker.Put(ready)
	assert.Assert(t, !f.tracker.Targets()[0].Leaving)
	restarted := ready
	restarted.Started++
	f.tracker.Put(leaving)
	f.tracker.Replace([]tracker.Target{restarted}, true)
	assert.Assert(t, !f.tracker.Targets()[0].Leaving)
}
