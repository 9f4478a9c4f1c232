// Package tracker keeps what an instance believes of the targets: which exist,
// how loaded they are, and which are to be left alone for a while. The store's
// list, answers and failed attempts all feed it.
package tracker

import (
	"sort"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// firstSuspicion and lastSuspicion bound how long a target is left alone after a
	// failure; the store drops a dead one after three heartbeats.
	firstSuspicion = 400 * timekeeper.Millisecond
	lastSuspicion  = 3 * timekeeper.Second
	// loadLife is the time in which a reported load fades; it covers a typical queue.
	loadLife = 600 * timekeeper.Millisecond
	// decodeLoadLife is the same for engines that generate; their requests last seconds.
	decodeLoadLife = 3 * timekeeper.Second
	// paceShare is the weight of the newest measured pace, and slowestPace the largest that counts.
	paceShare   = 0.1
	slowestPace = 5.0
	// latencyShare and failureShare are the weights of the newest sample in moving averages.
	latencyShare = 0.2
	failureShare = 0.1
	// doubtLife is how long the targets of another data centre are left alone after
	// one of them could not be reached, unless they were heard since.
	doubtLife = timekeeper.Second
	// rejectingLoad is the load told of a target that rejects requests, in multiples of its places.
	rejectingLoad = 2
	// mostLost and mostRefusals are the rejected runs from memory after which the engine
	// that read, or the one that should run, is held to be the cause.
	mostLost     = 2
	mostRefusals = 2
	// forgetfulLife is how long prompts are read elsewhere after an engine's memory of
	// prompts was lost; prompts are lost for seconds.
	forgetfulLife = 2 * timekeeper.Second
	// youth is the time in which a new engine may be ordered to change its role: it is
	// looked at twice a second, and the store tells the change after the order.
	youth = 1500 * timekeeper.Millisecond
	// hangAfter is the silence of a target with work after which it counts as hanging.
	hangAfter = 700 * timekeeper.Millisecond
)

// Event is a change of belief about a target.
type Event struct {
	Target Target
	Belief string // seen, changed, leaving, gone, lapsed, suspected, trusted
	Cause  string
}

// entry is one target with the evidence about it.
type entry struct {
	target Target
	came   timekeeper.Reading
	lapsed bool // The store lost the entry while it was away; the target may live.

	own       int // Attempts in flight.
	ownEffort int // Effort of readings in flight.
	ownLate   int // Effort of those that give way to others.
	ownMemory int // Tokens of the prompts in flight.
	others    float64
	othersAt  timekeeper.Reading

	pace     float64 // Moving average of the time of readings in relation to the expected one.
	latency  float64 // Moving average in milliseconds.
	failures float64 // Moving average of the share of failed answers.
	samples  int

	strikes    int
	lost       int // Runs in a row that could not go on from prompts read here.
	forgetful  timekeeper.Reading
	refusals   int                // Runs from memory in a row that this engine rejected.
	rejecting  bool               // It rejects requests though it has places as far as is known.
	switching  timekeeper.Reading // When its change of role was told; zero is not.
	switchSpan timekeeper.Millis  // How long that change may take.
	suspect    bool
	suspectAt  timekeeper.Reading
	suspicion  timekeeper.Millis
	trial      bool // One attempt tries whether a suspect works again.
	heard      timekeeper.Reading
	waitsSince timekeeper.Reading
}

// Tracker holds the beliefs of one instance. It is safe for concurrent use.
type Tracker struct {
	clock  timekeeper.Clock
	notify func(Event)
	grace  timekeeper.Millis
	others func() (func(string) sharer.Sum, bool)

	mu      sync.Mutex
	entries map[string]*entry
	doubts  map[string]timekeeper.Reading // By data centre, when a target there could not be reached.
	lapseAt timekeeper.Reading
	listed  bool
}

// New returns a tracker without targets. Entries that the store lost while it was
// away stay in use for grace after its return. The function notify is called with
// every change of belief.
func New(c timekeeper.Clock, grace timekeeper.Millis, notify func(Event)) *Tracker {
	none := func() (func(string) sharer.Sum, bool) { return nil, false }
	return &Tracker{clock: c, grace: grace, notify: notify, others: none, entries: map[string]*entry{}, doubts: map[string]timekeeper.Reading{}}
}

// Ask makes the tracker ask others for the work in flight of other instances.
// Without it, or while it knows nothing, the targets' reports count.
func (t *Tracker) Ask(others func() (at func(target string) sharer.Sum, known bool)) {
	t.others = others
}

// Replace takes a complete list. With regained, the store was away until now.
func (t *Tracker) Replace(targets []Target, regained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for _, target := range targets {
		present[target.ID] = true
		t.put(target)
	}
	if regained {
		t.lapseAt = t.clock.Read()
	}
	for _, id := range t.ids() {
		if !present[id] {
			t.drop(id)
		}
	}
	t.listed = true
}

// Regained notes that the store was away until a time. Several instances may tell of
// the same return; the grace time counts from the latest one, however often it is told.
func (t *Tracker) Regained(at timekeeper.Reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Read()
	if t.lapseAt == (timekeeper.Reading{}) || now.Since(at) < now.Since(t.lapseAt) {
		t.lapseAt = at
	}
}

// Put takes one new or changed entry.
func (t *Tracker) Put(target Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(target)
}

// Switching notes that an engine changes its role: it rejects requests until the
// store tells the new role, or the span is over.
func (t *Tracker) Switching(id string, span timekeeper.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.switching, e.switchSpan = t.clock.Read(), span
	}
}

// Remove takes the removal of an entry.
func (t *Tracker) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(id)
}

func (t *Tracker) put(target Target) {
	e := t.entries[target.ID]
	if e == nil || e.target.Started != target.Started || e.target.Address != target.Address {
		// Its entry is a sign of life.
		t.entries[target.ID] = &entry{target: target, pace: 1, heard: t.clock.Read(), came: t.clock.Read()}
		t.notify(Event{target, "seen", "store"})
		return
	}
	before := e.target
	e.target = target
	switch {
	case e.lapsed:
		e.lapsed = false
		t.notify(Event{target, "seen", "store after a lapse"})
	case target.Leaving && !before.Leaving:
		t.notify(Event{target, "leaving", "store"})
	case target.Role != before.Role:
		e.switching = timekeeper.Reading{}
		if e.rejecting {
			t.trust(e, t.clock.Read()) // It rejected because it was changing its role.
		}
		t.notify(Event{target, "changed", "role " + target.Role.String()})
	}
}

// drop removes an entry, or keeps it for the grace time if the store was away.
func (t *Tracker) drop(id string) {
	e := t.entries[id]
	if e == nil || e.lapsed {
		return
	}
	if t.inGrace() && !e.target.Leaving {
		e.lapsed = true
		t.notify(Event{e.target, "lapsed", "the store was away"})
		return
	}
	delete(t.entries, id)
	t.notify(Event{e.target, "gone", "store"})
}

func (t *Tracker) inGrace() bool {
	return t.lapseAt != (timekeeper.Reading{}) && t.clock.Read().Since(t.lapseAt) < t.grace
}

// Listed reports whether a complete list was seen.
func (t *Tracker) Listed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

// Targets returns all targets that may be used, ordered by ID.
func (t *Tracker) Targets() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	var list []Target
	for _, id := range t.ids() {
		list = append(list, t.entries[id].target)
	}
	return list
}

// expire drops entries that did not come back after the store did.
func (t *Tracker) expire() {
	if t.inGrace() {
		return
	}
	for _, id := range t.ids() {
		if e := t.entries[id]; e.lapsed {
			delete(t.entries, id)
			t.notify(Event{e.target, "gone", "not back after a lapse"})
		}
	}
}

func (t *Tracker) ids() []string {
	list := make([]string, 0, len(t.entries))
	for id := range t.entries {
		list = append(list, id)
	}
	sort.Strings(list)
	return list
}
