package tracker

import (
	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Candidate is a target that may take a request, with the load believed of it.
type Candidate struct {
	Target
	Own          int     // Attempts of this instance in flight.
	OwnEffort    int     // Effort of this instance's readings in flight.
	OwnLate      int     // Effort of those that give way to others.
	Others       float64 // Requests of other instances, faded since the last report.
	OthersEffort float64 // Effort of other instances' readings in flight, where they tell.
	OthersLate   float64 // Effort of those that give way to others.
	Memory       float64 // Tokens of all prompts in flight, where others tell of theirs.
	Pace         float64 // Measured time of reading prompts in relation to the expected one.
	Latency      float64 // Average time of an attempt, in milliseconds; 0 is unknown.
	Failures     float64 // Average share of failed answers.
	Suspect      bool    // Left alone unless nothing else is there.
	Forgetful    bool    // Prompts read here were lost before they could be used.
	Young        bool    // It came a moment ago and may yet be ordered to change its role.
}

// Candidates returns the targets of a service that take new requests, ordered by ID.
func (t *Tracker) Candidates(service string) []Candidate {
	now := t.clock.Read()
	others, told := t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	var list []Candidate
	for _, id := range t.ids() {
		e := t.entries[id]
		if e.target.Service != service || e.target.Leaving {
			continue
		}
		t.watchHang(e, now)
		c := Candidate{
			Target: e.target, Own: e.own, OwnEffort: e.ownEffort, OwnLate: e.ownLate, Memory: float64(e.ownMemory), Others: e.faded(now),
			Forgetful: e.forgetful != (timekeeper.Reading{}) && now.Since(e.forgetful) < forgetfulLife,
			Young:     now.Since(e.came) < youth, Pace: e.pace, Latency: e.latency, Failures: e.failures, Suspect: e.avoided(now) || t.doubted(e, now),
		}
		if told {
			sum := others(e.target.ID)
			c.OthersEffort, c.OthersLate, c.Others = sum.Effort, sum.Late, sum.Requests
			c.Memory += sum.Memory
			c.Suspect = c.Suspect || c.Others >= rejectingLoad*float64(max(c.Slots, 1))
		}
		c.Suspect = c.Suspect || e.switches(now)
		list = append(list, c)
	}
	return list
}

// switches reports whether the engine is on its way to another role.
func (e *entry) switches(now timekeeper.Reading) bool {
	return e.switching != (timekeeper.Reading{}) && now.Since(e.switching) < e.switchSpan
}

func (e *entry) faded(now timekeeper.Reading) float64 {
	life := loadLife
	if e.target.Role == Decode {
		life = decodeLoadLife
	}
	age := now.Since(e.othersAt)
	if age >= life {
		return 0
	}
	return e.others * float64(life-age) / float64(life)
}

// Paced notes how long the reading of a prompt took in relation to what was expected.
func (k *Ticket) Paced(ratio float64) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	ratio = min(max(ratio, slowestPace/10), slowestPace)
	k.entry.pace += paceShare * (ratio - k.entry.pace)
}

// avoided reports whether the target is left alone. After the suspicion ended one
// attempt at a time may try it.
func (e *entry) avoided(now timekeeper.Reading) bool {
	return e.suspect && (e.trial || now.Since(e.suspectAt) < e.suspicion)
}

// doubted reports whether the target's data centre seems cut off: a target there
// could not be reached, and this one was not heard since.
func (t *Tracker) doubted(e *entry, now timekeeper.Reading) bool {
	at, ok := t.doubts[e.target.DataCentre]
	return ok && now.Since(at) < doubtLife && e.heard.Monotonic < at.Monotonic
}

// watchHang suspects a target that has had work for a while and says nothing.
func (t *Tracker) watchHang(e *entry, now timekeeper.Reading) {
	if e.suspect || e.own < 2 {
		return
	}
	quiet := min(now.Monotonic-e.heard.Monotonic, now.Monotonic-e.waitsSince.Monotonic)
	if quiet > hangAfter+timekeeper.Millisecond*timekeeper.Millis(3*e.latency) {
		t.strike(e, now, "silent with work in flight")
	}
}

// Ticket is one attempt in flight.
type Ticket struct {
	tracker *Tracker
	entry   *entry
	work    Work
	begun   timekeeper.Reading
	trial   bool
}

// Begin notes that an attempt starts; the ticket must be ended. It is nil if the
// target is no longer known.
func (t *Tracker) Begin(id string, w Work) *Ticket {
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return nil
	}
	if e.own == 0 {
		e.waitsSince = now
	}
	e.note(w, 1)
	k := &Ticket{tracker: t, entry: e, work: w, begun: now}
	if e.suspect && !e.trial {
		e.trial, k.trial = true, true
	}
	return k
}

// note adds work in flight, or takes it off with sign -1.
func (e *entry) note(w Work, sign int) {
	e.own += sign
	e.ownMemory += sign * w.Memory
	if w.Late {
		e.ownLate += sign * w.Effort
	} else {
		e.ownEffort += sign * w.Effort
	}
}

// Heard notes that bytes came, with the load they told, if any.
func (k *Ticket) Heard(l *Load) {
	t := k.tracker
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	k.entry.heard = now
	if l != nil {
		k.entry.others = max(float64(l.Running+l.Waiting-k.entry.own), 0)
		k.entry.othersAt = now
	}
}

// End notes how the attempt ended.
func (k *Ticket) End(o Outcome, cause string) {
	t := k.tracker
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := k.entry
	e.note(k.work, -1)
	e.waitsSince = now
	if k.trial {
		e.trial = false
	}
	switch o {
	case Answered, Failed:
		t.trust(e, now)
	case Rejected:
		t.rejected(e, now)
	case Elsewhere:
		if t.entries[e.target.ID] == e {
			delete(t.entries, e.target.ID)
			t.notify(Event{e.target, "gone", "another target has its address"})
		}
	case Unreachable:
		t.doubts[e.target.DataCentre] = now
		t.strike(e, now, cause)
	case Broken:
		t.strike(e, now, cause)
	case Silent:
		if now.Since(e.heard) > hangAfter {
			t.strike(e, now, cause)
		}
	case Spoiled, Cancelled: // Says nothing about the target's health.
	}
	e.sample(o, now.Since(k.begun))
}

func (e *entry) sample(o Outcome, took timekeeper.Millis) {
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
		e.latency = float64(took)
	}
	e.latency += latencyShare * (float64(took) - e.latency)
	e.failures += failureShare * (failed - e.failures)
}

// EndFromMemory notes how an attempt ended that was to go on from the memory of a
// prompt read by another engine. A rejection does not tell which of both is the
// cause, so it counts against each, and only a series counts.
func (k *Ticket) EndFromMemory(reader string, o Outcome, cause string) {
	if o != Rejected && o != Answered && o != Failed {
		k.End(o, cause)
		return
	}
	if o != Rejected {
		k.remembered(reader)
		k.End(o, cause)
		return
	}
	if k.refused(reader) {
		k.End(Rejected, cause)
		return
	}
	k.End(Cancelled, cause)
}

// remembered notes that the memory was there.
func (k *Ticket) remembered(reader string) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	k.entry.refusals = 0
	if r := t.entries[reader]; r != nil {
		r.lost = 0
	}
}

// refused notes a rejection, and reports whether the engine that should run seems to
// be its cause.
func (k *Ticket) refused(reader string) bool {
	t := k.tracker
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.entries[reader]
	if r == nil {
		return false // Its memory is gone with it.
	}
	if r.lost == 0 {
		k.entry.refusals++
	}
	r.lost++
	if r.lost >= mostLost {
		r.forgetful = now
		t.notify(Event{r.target, "suspected", "prompts read here are lost"})
	}
	return k.entry.refusals >= mostRefusals
}

// rejected takes a target that rejects requests for full. If it has places as far
// as is known, something else keeps it from work, such as a change of its role.
func (t *Tracker) rejected(e *entry, now timekeeper.Reading) {
	if float64(e.own)+e.faded(now) < float64(e.target.Slots) {
		e.rejecting = true
		t.strike(e, now, "rejects requests with places free")
		return
	}
	e.heard = now
}

func (t *Tracker) trust(e *entry, now timekeeper.Reading) {
	e.heard = now
	e.strikes, e.rejecting = 0, false
	if e.suspect {
		e.suspect = false
		t.notify(Event{e.target, "trusted", "answered"})
	}
}

// strike leaves a target alone for a time that doubles with each failure. Failures
// of attempts that were in flight together count once.
func (t *Tracker) strike(e *entry, now timekeeper.Reading, cause string) {
	if e.suspect && now.Since(e.suspectAt) < e.suspicion {
		return
	}
	e.strikes++
	e.suspect, e.suspectAt = true, now
	e.suspicion = min(firstSuspicion<<min(e.strikes-1, 4), lastSuspicion)
	t.notify(Event{e.target, "suspected", cause})
}

// Loads returns the work in flight at each target that has any. A target that
// rejects requests is told as full, so that not every instance has to find out.
func (t *Tracker) Loads() sharer.Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := sharer.Loads{}
	now := t.clock.Read()
	for id, e := range t.entries {
		load := sharer.Load{Effort: e.ownEffort, Late: e.ownLate, Requests: e.own, Memory: e.ownMemory}
		if e.rejecting && e.avoided(now) || e.switches(now) {
			load.Requests += rejectingLoad * e.target.Slots
		}
		if load != (sharer.Load{}) {
			loads[sharer.KeyOf(id)] = load
		}
	}
	return loads
}
