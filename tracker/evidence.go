package tracker

import (
	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Candidate is a target that may take a request, with its estimated load and health.
type Candidate struct {
	Target
	LocalRequests         int     // Attempts of this instance in flight.
	LocalPrefillWork      int     // Prefill work of this instance in flight, in microseconds of a reference engine.
	LocalLowPriorityWork  int     // The same for low-priority requests.
	RemoteRequests        float64 // Requests of other instances, decayed since the last report.
	RemotePrefillWork     float64 // Prefill work of other instances in flight, where they report it.
	RemoteLowPriorityWork float64 // The same for low-priority requests.
	TokensInFlight        float64 // Tokens of all prompts in flight, including those that other instances report.
	RelativePrefillTime   float64 // Learned lasting prefill time, see Pace; 1 is as expected.
	Slowness              float64 // Momentary slowness as last reported, faded with its age; 0 or 1 is as usual.
	Latency               float64 // Moving average of an attempt's duration, in milliseconds; 0 is unknown.
	FailureRate           float64 // Moving average of the share of failed answers.
	Suspected             bool    // Excluded from routing unless there is no other target.
	Unreachable           bool    // No target of its data centre could be reached just now.
	LosesKVCaches         bool    // KV caches of prompts prefilled here were lost before decode.
	RecentlyAdded         bool    // It may still be ordered to change its role.
}

// Candidates returns the targets of a service that take new requests, ordered by ID.
func (t *Tracker) Candidates(service string) []Candidate {
	now := t.clock.Read()
	remoteLoads, known := t.remoteLoads()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	list := make([]Candidate, 0, len(t.entries))
	for _, e := range t.sorted() {
		t.endPause(e, now)
		if e.target.Service != service || e.target.Leaving || e.pauseLeft(now) > 0 {
			continue
		}
		t.detectHang(e, now)
		c := Candidate{
			Target: e.target, LocalRequests: e.localRequests, LocalPrefillWork: e.localPrefillWork, LocalLowPriorityWork: e.localLowPriorityWork, TokensInFlight: float64(e.localTokens), RemoteRequests: e.remoteRequestsNow(now),
			LosesKVCaches: e.kvCachesLostAt != (timekeeper.Reading{}) && now.Since(e.kvCachesLostAt) < kvLossTTL,
			RecentlyAdded: now.Since(e.addedAt) < recentWindow, RelativePrefillTime: e.pace.Relative(), Slowness: e.slownessNow(now), Latency: e.latency, FailureRate: e.failureRate, Suspected: e.excluded(now),
		}
		suspected, confirmed := t.outageAt(e, now)
		c.Suspected, c.Unreachable = c.Suspected || suspected, confirmed
		if known {
			sum := remoteLoads(e.target.ID)
			c.RemotePrefillWork, c.RemoteLowPriorityWork, c.RemoteRequests = sum.PrefillWork, sum.LowPriorityWork, sum.Requests
			c.TokensInFlight += sum.PromptTokens
			c.Suspected = c.Suspected || c.RemoteRequests >= rejectingLoadFactor*float64(max(c.Slots, 1))
		}
		c.RemoteRequests += e.rampLoad(now)
		c.Suspected = c.Suspected || e.changesRole(now)
		list = append(list, c)
	}
	return list
}

// changesRole reports whether a role change of the engine is in progress.
func (e *entry) changesRole(now timekeeper.Reading) bool {
	return e.roleChangeAt != (timekeeper.Reading{}) && now.Since(e.roleChangeAt) < e.roleChangeTimeout
}

// remoteRequestsNow returns the last reported requests of other instances, which
// decay linearly to zero.
func (e *entry) remoteRequestsNow(now timekeeper.Reading) float64 {
	ttl := loadTTL
	if e.target.Role == Decode {
		ttl = decodeLoadTTL
	}
	age := now.Since(e.remoteAt)
	if age >= ttl {
		return 0
	}
	return e.remoteRequests * float64(ttl-age) / float64(ttl)
}

// RecordPrefill learns the target's pace from a prefill that took place there.
func (k *Ticket) RecordPrefill(m PrefillSample) {
	t := k.tracker
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	k.entry.pace = k.entry.pace.With(m.pace(k.entry.slownessNow(now)))
}

// RecordStream learns the target's pace from the events of a stream after the first, which
// took a multiple of the expected time.
func (k *Ticket) RecordStream(relative float64, events int) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if relative > 0 {
		// Events of one stream share the same moments, so that many say little more than a few.
		k.entry.pace = k.entry.pace.With(relative, float64(events)/float64(events+sharedEvents))
	}
}

// excluded reports whether the target is excluded from routing. After the suspicion
// time one attempt at a time is allowed as a trial.
func (e *entry) excluded(now timekeeper.Reading) bool {
	return e.suspect && (e.trial || now.Since(e.suspectedAt) < e.suspicionTime)
}

// detectHang suspects a target that has work in flight and has been silent for too long.
func (t *Tracker) detectHang(e *entry, now timekeeper.Reading) {
	if e.suspect || e.localRequests < 2 {
		return
	}
	silence := min(now.Monotonic-e.lastSeen.Monotonic, now.Monotonic-e.waitingSince.Monotonic)
	if silence > hangTimeout+timekeeper.Millisecond*timekeeper.Millis(3*e.latency) {
		t.markSuspected(e, now, "silent with work in flight")
	}
}

// Ticket is one attempt in flight.
type Ticket struct {
	tracker   *Tracker
	entry     *entry
	work      Work
	startedAt timekeeper.Reading
	trial     bool
}

// Begin records the start of an attempt; the caller must end the ticket. It returns
// nil if the target is no longer known, or has asked for no more requests since it was
// chosen.
func (t *Tracker) Begin(id string, w Work) *Ticket {
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.leaving || e.pauseLeft(now) > 0 {
		return nil
	}
	if e.localRequests == 0 {
		e.waitingSince = now
	}
	e.addWork(w, 1)
	k := &Ticket{tracker: t, entry: e, work: w, startedAt: now}
	if e.suspect && !e.trial {
		e.trial, k.trial = true, true
	}
	return k
}

// addWork adds work in flight, or removes it if sign is -1.
func (e *entry) addWork(w Work, sign int) {
	e.localRequests += sign
	e.localTokens += sign * w.PromptTokens
	if w.LowPriority {
		e.localLowPriorityWork += sign * w.PrefillWork
	} else {
		e.localPrefillWork += sign * w.PrefillWork
	}
}

// SilentSince reports whether a target has sent nothing to this instance since a time.
func (t *Tracker) SilentSince(id string, at timekeeper.Reading) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e == nil || e.lastSeen.Monotonic <= at.Monotonic
}

// RecordResponse records that the target sent bytes, with the load that it reported, if
// any.
func (k *Ticket) RecordResponse(l *Load) {
	t := k.tracker
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	k.entry.lastSeen = now
	if l != nil {
		k.entry.remoteRequests = max(float64(l.Running+l.Waiting-k.entry.localRequests), 0)
		k.entry.remoteAt = now
	}
}

// End records the attempt's outcome.
func (k *Ticket) End(o Outcome, cause string) {
	t := k.tracker
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := k.entry
	e.addWork(k.work, -1)
	e.waitingSince = now
	if k.trial {
		e.trial = false
	}
	switch o {
	case Answered, Failed:
		t.clearSuspicion(e, now)
	case Rejected:
		t.handleRejection(e, now)
	case AddressReused:
		if t.entries[e.target.ID] == e {
			t.remove(e, "another target has its address")
		}
	case Unreachable:
		t.recordUnreachable(e.target.DataCentre, now)
		t.markSuspected(e, now, cause)
	case ConnectionLost:
		t.markSuspected(e, now, cause)
	case TimedOut:
		if now.Since(e.lastSeen) > hangTimeout {
			t.markSuspected(e, now, cause)
		}
	case InvalidAnswer, Cancelled, LocalFailure, Withheld: // No evidence about the target's health.
	}
	e.addSample(o, now.Since(k.startedAt))
}

// addSample updates the moving averages of latency and failures.
func (e *entry) addSample(o Outcome, duration timekeeper.Millis) {
	switch o {
	case Answered, Failed:
	default:
		return
	}
	failed := 0.0
	if o == Failed {
		failed = 1
	}
	e.samples++
	if e.samples == 1 {
		e.latency = float64(duration)
	}
	e.latency += latencyWeight * (float64(duration) - e.latency)
	e.failureRate += failureWeight * (failed - e.failureRate)
}

// EndFromKVCache records the outcome of a decode from the KV cache of a prompt that
// prefillTarget prefilled. A rejection does not show which of the two engines is the
// cause, so it counts against both, and only consecutive rejections have an effect.
func (k *Ticket) EndFromKVCache(prefillTarget string, o Outcome, cause string) {
	if o != Rejected && o != Answered && o != Failed {
		k.End(o, cause)
		return
	}
	if o != Rejected {
		k.kvCacheFound(prefillTarget)
		k.End(o, cause)
		return
	}
	if k.decodeRejected(prefillTarget) {
		k.End(Rejected, cause)
		return
	}
	k.End(Cancelled, cause)
}

// kvCacheFound resets the counts of both engines: the KV cache was available.
func (k *Ticket) kvCacheFound(prefillTarget string) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	k.entry.rejectedDecodes = 0
	if p := t.entries[prefillTarget]; p != nil {
		p.lostKVCaches = 0
	}
}

// decodeRejected counts a rejection, and reports whether the decode target is the
// likely cause.
func (k *Ticket) decodeRejected(prefillTarget string) bool {
	t := k.tracker
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.entries[prefillTarget]
	if p == nil {
		return false // The KV cache was removed with its engine.
	}
	if p.lostKVCaches == 0 {
		k.entry.rejectedDecodes++
	}
	p.lostKVCaches++
	if p.lostKVCaches >= maxLostKVCaches {
		p.kvCachesLostAt = now
		t.notify(Event{Target: p.target, State: "suspected", Cause: "prompts read here are lost"})
	}
	return k.entry.rejectedDecodes >= maxRejectedDecodes
}

// handleRejection treats a rejecting target as full. If it has free slots according
// to the known load, something else prevents it from working, such as a role change,
// and it is suspected.
func (t *Tracker) handleRejection(e *entry, now timekeeper.Reading) {
	if float64(e.localRequests)+e.remoteRequestsNow(now) < float64(e.target.Slots) {
		e.rejecting = true
		t.markSuspected(e, now, "rejects requests with places free")
		return
	}
	e.lastSeen = now
}

// clearSuspicion records a response that shows that the target works.
func (t *Tracker) clearSuspicion(e *entry, now timekeeper.Reading) {
	e.lastSeen = now
	e.suspicions, e.rejecting = 0, false
	if e.suspect {
		e.suspect = false
		t.notify(Event{Target: e.target, State: "trusted", Cause: "answered"})
	}
}

// markSuspected excludes a target from routing for a time that doubles with each
// failure. Failures of concurrent attempts count once.
func (t *Tracker) markSuspected(e *entry, now timekeeper.Reading, cause string) {
	if e.suspect && now.Since(e.suspectedAt) < e.suspicionTime {
		return
	}
	e.suspicions++
	e.suspect, e.suspectedAt = true, now
	e.suspicionTime = min(minSuspicionTime<<min(e.suspicions-1, 4), maxSuspicionTime)
	t.notify(Event{Target: e.target, State: "suspected", Cause: cause})
}

// Loads returns the work in flight at each target that has any. A target that rejects
// requests or changes its role is reported as full, so that other instances exclude it
// without trying it first.
func (t *Tracker) Loads() sharer.Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := sharer.Loads{}
	now := t.clock.Read()
	for _, e := range t.sorted() {
		load := sharer.Load{PrefillWork: e.localPrefillWork, LowPriorityWork: e.localLowPriorityWork, Requests: e.localRequests, PromptTokens: e.localTokens}
		if e.rejecting && e.excluded(now) || e.changesRole(now) || e.pauseLeft(now) > 0 || e.leaving {
			load.Requests += rejectingLoadFactor * e.target.Slots
		}
		if load != (sharer.Load{}) {
			loads[sharer.KeyOf(e.target.ID)] = load
		}
	}
	return loads
}
