// Package tracker keeps an instance's view of the targets: which exist, how loaded
// they are, and which are temporarily excluded from routing. It is updated from the
// store's list, from answers and from failed attempts.
package tracker

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// minSuspicionTime and maxSuspicionTime bound how long a target is excluded after
	// a failure; the store removes an unresponsive one after three heartbeats.
	minSuspicionTime = 400 * timekeeper.Millisecond
	maxSuspicionTime = 3 * timekeeper.Second
	// loadTTL is the time in which a reported load decays to zero; it covers a typical
	// queue.
	loadTTL = 600 * timekeeper.Millisecond
	// decodeLoadTTL is the same for decode targets, whose requests take seconds.
	decodeLoadTTL = 3 * timekeeper.Second
	// latencyWeight and failureWeight are the weights of the newest sample in moving averages.
	latencyWeight = 0.2
	failureWeight = 0.1
	// rejectingLoadFactor is the load reported for a target that rejects requests, in
	// multiples of its slots.
	rejectingLoadFactor = 2
	// maxLostKVCaches and maxRejectedDecodes are the numbers of consecutive rejected
	// decodes after which the prefill target, or the decode target, counts as the cause.
	maxLostKVCaches    = 2
	maxRejectedDecodes = 2
	// kvLossTTL is how long prompts are prefilled elsewhere after an engine lost KV
	// caches; such a fault persists for seconds.
	kvLossTTL = 2 * timekeeper.Second
	// recentWindow is the time in which a new engine may be ordered to change its role:
	// the roles are checked twice a second, and the store reports the change after
	// the order.
	recentWindow = 1500 * timekeeper.Millisecond
	// hangTimeout is how long a target with work in flight may be silent before it is
	// suspected to hang; three times the target's average latency are added.
	hangTimeout = 700 * timekeeper.Millisecond
)

// Event is a change in the view of a target.
type Event struct {
	Target  Target
	State   string // seen, changed, leaving, gone, lapsed, suspected, trusted, paused, resumed, pause-invalid
	Cause   string
	Request string // The request whose answer caused the change, if any.
}

// entry is one target with its measured load and health.
type entry struct {
	target  Target
	addedAt timekeeper.Reading
	lapsed  bool // The store lost the entry during an outage; the target may still serve.

	localRequests        int // Attempts in flight.
	localPrefillWork     int // Prefill work in flight, in microseconds of a reference engine.
	localLowPriorityWork int // The same for low-priority requests.
	localTokens          int // Tokens of the prompts in flight.
	remoteRequests       float64
	remoteAt             timekeeper.Reading

	pace        Pace
	slowness    float64 // Momentary slowness as last reported; 0 if it never was.
	slownessAt  timekeeper.Reading
	latency     float64 // Moving average in milliseconds.
	failureRate float64 // Moving average of the share of failed answers.
	samples     int

	suspicions        int
	lostKVCaches      int // Consecutive rejected decodes of prompts prefilled here.
	kvCachesLostAt    timekeeper.Reading
	rejectedDecodes   int                // Consecutive decodes from a KV cache that this engine rejected.
	rejecting         bool               // It rejects requests although it has free slots according to the known load.
	roleChangeAt      timekeeper.Reading // When a role change was ordered; zero if none is in progress.
	roleChangeTimeout timekeeper.Millis  // How long the role change may take.
	suspect           bool
	suspectedAt       timekeeper.Reading
	suspicionTime     timekeeper.Millis
	trial             bool // One attempt checks whether the suspected target works again.
	lastSeen          timekeeper.Reading
	waitingSince      timekeeper.Reading

	announcements
	resumedAt    timekeeper.Reading // When its last pause ended.
	invalidPause bool               // It asked for a pause that cannot be understood.
}

// Tracker holds one instance's view of the targets. It is safe for concurrent use.
type Tracker struct {
	clock       timekeeper.Clock
	notify      func(Event)
	grace       timekeeper.Millis
	remoteLoads func() (func(string) sharer.RemoteLoad, bool)
	entryLapse  timekeeper.Millis // Bounds how long the store lists a process after its end.

	mu          sync.Mutex
	entries     map[string]*entry
	ordered     []*entry           // The entries by ID; nil after one was added or removed.
	outages     map[string]*outage // By data centre.
	recoveredAt timekeeper.Reading
	confirmedAt timekeeper.Reading // The list reflects the store's state then or later.
	listed      bool
	unlisted    map[incarnation]unlisted
	slowness    map[string]*slownessReports // By service.
}

// New returns a tracker without targets. Entries that the store lost during an outage
// stay in use for the grace time after its recovery. The function notify is called
// with every change in the view of a target.
func New(c timekeeper.Clock, grace timekeeper.Millis, notify func(Event)) *Tracker {
	none := func() (func(string) sharer.RemoteLoad, bool) { return nil, false }
	return &Tracker{clock: c, grace: grace, notify: notify, remoteLoads: none, entryLapse: defaultEntryLapse, entries: map[string]*entry{}, outages: map[string]*outage{}, unlisted: map[incarnation]unlisted{}, slowness: map[string]*slownessReports{}}
}

// SetRemoteLoads sets the function that returns the work in flight of other instances.
// Without it, or while it reports that nothing is known, the tracker uses the loads
// that the targets report.
func (t *Tracker) SetRemoteLoads(remoteLoads func() (at func(target string) sharer.RemoteLoad, known bool)) {
	t.remoteLoads = remoteLoads
}

// Replace applies a complete list of targets. If recovered is set, the store was
// unavailable until now.
func (t *Tracker) Replace(targets []Target, recovered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recovered {
		t.recoveredAt = t.clock.Read()
	}
	present := map[string]bool{}
	for _, target := range targets {
		present[target.ID] = true
		t.put(target)
	}
	for _, e := range t.sorted() {
		if !present[e.target.ID] {
			t.drop(e.target.ID)
		}
	}
	t.listed = true
}

// StoreRecovered records that the store was unavailable until a time. Several instances
// may report the same recovery; the grace time starts at the latest recovery, however
// often it is reported.
func (t *Tracker) StoreRecovered(at timekeeper.Reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Read()
	if t.recoveredAt == (timekeeper.Reading{}) || now.Since(at) < now.Since(t.recoveredAt) {
		t.recoveredAt = at
	}
}

// Put applies one new or changed entry.
func (t *Tracker) Put(target Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(target)
}

// RoleChanging records that an engine changes its role: it is excluded from routing
// until the store reports the new role or the timeout has passed.
func (t *Tracker) RoleChanging(id string, timeout timekeeper.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.roleChangeAt, e.roleChangeTimeout = t.clock.Read(), timeout
	}
}

// Remove applies the removal of an entry.
func (t *Tracker) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(id)
}

func (t *Tracker) put(target Target) {
	e := t.entries[target.ID]
	if e == nil || e.target.Started != target.Started || e.target.Address != target.Address {
		// A new entry shows that the target works, so it counts as seen now.
		said := t.announced(target)
		if e != nil && e.target.Started == target.Started { // It has moved to another address.
			said = e.announcements
		}
		target.Leaving = target.Leaving || said.leaving
		t.ordered = nil
		t.entries[target.ID] = &entry{target: target, lastSeen: t.clock.Read(), addedAt: t.clock.Read(), announcements: said}
		t.notify(Event{Target: target, State: "seen", Cause: "store"})
		return
	}
	previous := e.target
	// After an outage the store may list an older entry.
	target.Leaving = target.Leaving || e.leaving || previous.Leaving && t.inGrace()
	e.target = target
	switch {
	case e.lapsed:
		e.lapsed = false
		t.notify(Event{Target: target, State: "seen", Cause: "listed again after a store outage"})
	case target.Leaving && !previous.Leaving:
		t.notify(Event{Target: target, State: "leaving", Cause: "store"})
	case target.Role != previous.Role:
		e.roleChangeAt = timekeeper.Reading{}
		if e.rejecting {
			t.clearSuspicion(e, t.clock.Read()) // It rejected requests because of the role change.
		}
		t.notify(Event{Target: target, State: "changed", Cause: "role " + target.Role.String()})
	}
}

// drop removes an entry, or keeps it for the grace time if the store recovered recently.
func (t *Tracker) drop(id string) {
	e := t.entries[id]
	if e == nil || e.lapsed {
		return
	}
	if t.inGrace() && !e.target.Leaving {
		e.lapsed = true
		t.notify(Event{Target: e.target, State: "lapsed", Cause: "missing after a store outage"})
		return
	}
	t.remove(e, "store")
}

// remove removes an entry. The caller holds mu.
func (t *Tracker) remove(e *entry, cause string) {
	t.keepAnnouncements(e)
	delete(t.entries, e.target.ID)
	t.ordered = nil
	t.notify(Event{Target: e.target, State: "gone", Cause: cause})
}

func (t *Tracker) inGrace() bool {
	return t.recoveredAt != (timekeeper.Reading{}) && t.clock.Read().Since(t.recoveredAt) < t.grace
}

// HasList reports whether a complete list was received.
func (t *Tracker) HasList() bool {
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
	for _, e := range t.sorted() {
		list = append(list, e.target)
	}
	return list
}

// expire removes entries that are still missing when the grace time ends.
func (t *Tracker) expire() {
	if t.inGrace() {
		return
	}
	for _, e := range t.sorted() {
		if e.lapsed {
			t.remove(e, "still missing after the grace time")
		}
	}
}

// sorted returns the entries by ID. The slice is never changed: entries that are added or
// removed while the caller reads it lead to a new one. The caller holds mu.
func (t *Tracker) sorted() []*entry {
	if t.ordered == nil {
		t.ordered = slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int { return strings.Compare(a.target.ID, b.target.ID) })
	}
	return t.ordered
}
