package tracker

import (
	"fmt"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// maxPause bounds a pause, so that one wrong value does not take a target out for
	// good; the target can ask for another one.
	maxPause = timekeeper.Minute
	// rampTime is the time after a pause in which the target's share grows from one
	// request at a time to its usual one.
	rampTime = timekeeper.Second
	// announcementTTL is how long the announcements of a target that is no longer listed
	// are kept, in case its entry comes back. Leaving targets end within seconds.
	announcementTTL = timekeeper.Minute
	// maxUnlisted bounds the targets that are no longer listed whose announcements are
	// kept.
	maxUnlisted = 1000
)

// announcements are what a target said of itself in its answers.
type announcements struct {
	leaving   bool // It is leaving, whatever the store lists.
	pausedAt  timekeeper.Reading
	pauseSpan timekeeper.Millis // 0 if it is not paused.
}

// pauseLeft returns the rest of the pause.
func (a announcements) pauseLeft(now timekeeper.Reading) timekeeper.Millis {
	if a.pauseSpan == 0 {
		return 0
	}
	return max(a.pauseSpan-now.Since(a.pausedAt), 0)
}

// unlisted holds the announcements of a target whose entry was removed.
type unlisted struct {
	announcements
	left      bool // It was leaving when its entry was removed.
	removedAt timekeeper.Reading
}

// incarnation identifies one process of a target.
type incarnation struct {
	id      string
	started timekeeper.Millis
}

func incarnationOf(t Target) incarnation { return incarnation{t.ID, t.Started} }

// RecordReport records what a target says of itself with an answer to a request. The
// answer must be known to be the target's own. It is ignored if another process has the
// target's ID by now.
func (t *Tracker) RecordReport(target Target, r Report, request string) {
	if !r.Leaving && r.Pause <= 0 && r.InvalidPause == "" && r.Slowness <= 0 {
		return
	}
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[target.ID]
	if e == nil || e.target.Started != target.Started {
		return
	}
	if r.Slowness > 0 {
		t.recordSlowness(e, r.Slowness, now)
	}
	if r.Leaving && !e.leaving {
		e.leaving, e.target.Leaving = true, true
		t.notify(Event{Target: e.target, State: "leaving", Cause: "announced in an answer", Request: request})
	}
	if r.Pause > 0 {
		t.pause(e, min(r.Pause, maxPause), now, request)
	}
	if r.InvalidPause != "" && !e.invalidPause {
		e.invalidPause = true
		t.notify(Event{Target: e.target, State: "pause-invalid", Cause: fmt.Sprintf("%.50q", r.InvalidPause), Request: request})
	}
}

// pause excludes a target for a span, unless a longer pause is in progress.
func (t *Tracker) pause(e *entry, span timekeeper.Millis, now timekeeper.Reading, request string) {
	if e.pauseLeft(now) >= span {
		return
	}
	if e.pauseLeft(now) == 0 {
		t.notify(Event{Target: e.target, State: "paused", Cause: fmt.Sprintf("asked for %s", span), Request: request})
	}
	e.pausedAt, e.pauseSpan = now, span
}

// endPause records the end of a pause. The caller holds mu.
func (t *Tracker) endPause(e *entry, now timekeeper.Reading) {
	if e.pauseSpan == 0 || e.pauseLeft(now) > 0 {
		return
	}
	e.resumedAt, e.pauseSpan = now, 0
	t.notify(Event{Target: e.target, State: "resumed", Cause: "the pause it asked for has ended"})
}

// rampLoad returns the requests that a target counts as having in addition to its own
// while it returns from a pause, so that not all waiting work goes there at once.
func (e *entry) rampLoad(now timekeeper.Reading) float64 {
	if e.resumedAt == (timekeeper.Reading{}) {
		return 0
	}
	age := now.Since(e.resumedAt)
	if age >= rampTime {
		return 0
	}
	return float64(e.target.Slots) * float64(rampTime-age) / float64(rampTime)
}

// PauseLeft returns the time until the first paused target of a service takes requests
// again, or false if none is paused.
func (t *Tracker) PauseLeft(service string) (timekeeper.Millis, bool) {
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest, found := timekeeper.Millis(0), false
	for _, e := range t.entries {
		left := e.pauseLeft(now)
		if e.target.Service != service || e.target.Leaving || left == 0 {
			continue
		}
		if !found || left < shortest {
			shortest, found = left, true
		}
	}
	return shortest, found
}

// Paused reports whether a target has asked for a pause that has not ended.
func (t *Tracker) Paused(id string) bool {
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && e.pauseLeft(now) > 0
}

// keepAnnouncements keeps the announcements of a target whose entry is removed. The
// caller holds mu.
func (t *Tracker) keepAnnouncements(e *entry) {
	now := t.clock.Read()
	for i, u := range t.unlisted {
		if now.Since(u.removedAt) >= announcementTTL || len(t.unlisted) >= maxUnlisted {
			delete(t.unlisted, i)
		}
	}
	if e.target.Leaving || e.leaving || e.pauseLeft(now) > 0 {
		t.unlisted[incarnationOf(e.target)] = unlisted{e.announcements, e.target.Leaving, now}
	}
}

// announced returns what a target said before its entry was removed. The caller holds mu.
func (t *Tracker) announced(target Target) announcements {
	u, ok := t.unlisted[incarnationOf(target)]
	if !ok || t.clock.Read().Since(u.removedAt) >= announcementTTL {
		return announcements{}
	}
	return u.announcements
}
