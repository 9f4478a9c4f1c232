package tracker_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Checks over random sequences of answers, listings and outages that a target which said
// that it is leaving, or asked for a pause, takes no requests until a new process or the
// end of the pause, and that it takes them then.
func TestAnnouncementsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		listed := map[string]tracker.Target{}
		leaving := map[string]bool{}
		pausedUntil := map[string]timekeeper.Millis{}
		now := func() timekeeper.Millis { return f.clock.Clock().Read().Monotonic }
		ids := []string{"a", "b", "c"}
		id := rapid.SampledFrom(ids)
		for _, name := range ids {
			listed[name] = engine(name)
			f.tracker.Put(engine(name))
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				f.clock.Advance(timekeeper.Millis(rapid.IntRange(1, 900).Draw(t, "span")))
			},
			"leave": func(t *rapid.T) {
				if target, ok := listed[id.Draw(t, "id")]; ok {
					f.tracker.RecordReport(target, tracker.Report{Leaving: true}, "q")
					leaving[target.ID] = true
				}
			},
			"pause": func(t *rapid.T) {
				target, ok := listed[id.Draw(t, "id")]
				if !ok {
					return
				}
				span := timekeeper.Millis(rapid.IntRange(1, 3000).Draw(t, "span"))
				f.tracker.RecordReport(target, tracker.Report{Pause: span}, "q")
				pausedUntil[target.ID] = max(pausedUntil[target.ID], now()+span)
			},
			"an old process speaks": func(t *rapid.T) {
				if target, ok := listed[id.Draw(t, "id")]; ok {
					target.Started--
					f.tracker.RecordReport(target, tracker.Report{Leaving: true, Pause: 900}, "q")
				}
			},
			"listed as ready": func(t *rapid.T) {
				if target, ok := listed[id.Draw(t, "id")]; ok {
					f.tracker.Put(target)
				}
			},
			"listed anew after an outage": func(*rapid.T) {
				var list []tracker.Target
				for _, target := range listed {
					list = append(list, target)
				}
				f.tracker.Replace(nil, false) // The list was read before the entries were back.
				f.tracker.Replace(list, false)
			},
			"restarted": func(t *rapid.T) {
				target := listed[id.Draw(t, "id")]
				target.Started++
				listed[target.ID] = target
				f.tracker.Put(target)
				delete(leaving, target.ID)
				delete(pausedUntil, target.ID)
			},
			"": func(t *rapid.T) {
				var usable []string
				for _, c := range f.tracker.Candidates("llm") {
					usable = append(usable, c.ID)
				}
				for _, name := range ids {
					wanted := !leaving[name] && pausedUntil[name] <= now()
					assert.Check(t, slices.Contains(usable, name) == wanted, "%s: usable %v, leaving %v, paused until %d at %d", name, usable, leaving, pausedUntil[name], now())
					ticket := f.tracker.Begin(name, tracker.Work{})
					assert.Check(t, (ticket != nil) == wanted, "%s: an attempt was begun", name)
					if ticket != nil {
						ticket.End(tracker.Cancelled, "")
					}
				}
			},
		})
	})
}

// Guards against a target that is lost for good because it asked for an absurd pause, and
// against such values that are recorded again and again.
func TestPausesAreBounded(t *testing.T) {
	f := newFixture()
	f.tracker.Put(engine("e"))
	f.tracker.RecordReport(engine("e"), tracker.Report{Pause: 1000 * timekeeper.Hour}, "q")
	left, paused := f.tracker.PauseLeft("llm")
	assert.Assert(t, paused)
	assert.Equal(t, left, timekeeper.Minute)
	f.clock.Advance(timekeeper.Minute)
	assert.Equal(t, len(f.tracker.Candidates("llm")), 1)
	before := len(f.states)
	for range 5 {
		f.tracker.RecordReport(engine("e"), tracker.Report{InvalidPause: "soon"}, "q")
	}
	assert.DeepEqual(t, f.states[before:], []string{"e pause-invalid"})
}

// Guards against a rush to a target whose pause has just ended.
func TestATargetReturnsFromAPauseGradually(t *testing.T) {
	f := newFixture()
	f.tracker.Put(engine("e"))
	f.tracker.RecordReport(engine("e"), tracker.Report{Pause: 500}, "q")
	f.clock.Advance(500)
	load := f.one(t).RemoteRequests
	assert.Assert(t, load >= 4, "no load is assumed after the pause: %f", load)
	f.clock.Advance(500)
	half := f.one(t).RemoteRequests
	assert.Assert(t, half < load && half > 0, "%f after %f", half, load)
	f.clock.Advance(500)
	assert.Equal(t, f.one(t).RemoteRequests, 0.0)
}

// Guards against state that grows with each target that has left.
func TestAnnouncementsOfGoneTargetsAreBounded(t *testing.T) {
	f := newFixture()
	for i := range 5000 {
		target := engine(fmt.Sprintf("e%d", i))
		f.tracker.Put(target)
		f.tracker.RecordReport(target, tracker.Report{Leaving: true}, "q")
		f.tracker.Remove(target.ID)
	}
	assert.Assert(t, f.tracker.Unlisted() <= 1000, "%d", f.tracker.Unlisted())
}
