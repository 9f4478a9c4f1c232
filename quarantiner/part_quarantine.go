package quarantiner

import (
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strings"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Part identifies a part that prompts for one service share, or a whole request, which its
// caller may send again.
type Part string

// wholePrefix precedes the identifications of whole requests.
const wholePrefix = "w"

// PartOf returns the identification of a part that a service's prompts declare.
func PartOf(service, id string) Part { return Part(hash(service, id)) }

// WholeOf returns the identification of a request to a service by a digest of what it
// asks for.
func WholeOf(service, workspace, digest string) Part {
	return Part(wholePrefix + hash(service, workspace, digest))
}

func hash(fields ...string) string {
	h := fnv.New64a()
	for _, f := range fields {
		_, _ = h.Write([]byte(f + "\x00")) // Never fails.
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (p Part) isWhole() bool { return strings.HasPrefix(string(p), wholePrefix) }

const (
	// clearanceTime is how long before a crash an answer still shows that a part did not
	// cause it. It is bounded because an engine's new version may crash on a part that the
	// old one served.
	clearanceTime = 30 * timekeeper.Second
	// trialTimeout is how long the outcome of a trial is awaited before another one.
	trialTimeout = 10 * timekeeper.Second
	// crashWindow is the time in which reports on one process are about the same crash. A
	// process that starts again may look the same until the store shows the new one.
	crashWindow = 2 * timekeeper.Second
	// crashTTL is how long a crash is remembered; it exceeds maxHold.
	crashTTL = 30 * timekeeper.Minute
	// maxPartCrashes and maxCrashParts bound the crashes that are remembered and the parts
	// of each, and maxAnsweredParts the parts whose last answer is remembered.
	maxPartCrashes   = 64
	maxCrashParts    = 40
	maxAnsweredParts = 8192
	// maxSigns bounds the processes whose last sign of life is remembered.
	maxSigns = 256
)

// Crash identifies the crash of one process of a target.
type Crash struct {
	Target  string
	Started timekeeper.Millis
}

// PartEvent is a change in what is quarantined.
type PartEvent struct {
	Parts       []Part
	Crashes     int
	Quarantined bool // False if the parts were cleared.
}

// PartQuarantine quarantines parts of prompts that crash every target which begins to answer
// them. A part is suspected if its prompts were in flight without a begun answer in
// several crashes, and cleared by every answer. It is safe for concurrent use.
type PartQuarantine struct {
	clock  timekeeper.Clock
	notify func(PartEvent)

	mu          sync.Mutex
	crashes     []*partCrash // Oldest first.
	suspects    map[Part]int // Crashes with the part.
	answered    *lruMap[timekeeper.Reading]
	culprits    []culprit
	nextVerdict int                         // Index of the culprit with which the next message on what is quarantined begins.
	trials      map[Part]timekeeper.Reading // When a prompt of a culprit, by its first part, was last let through.
	heard       func(Crash) (timekeeper.Reading, bool)
	signs       *lruMap[timekeeper.Reading] // Signs of life that other instances reported.
}

// partCrash is a remembered crash.
type partCrash struct {
	id    Crash
	at    timekeeper.Reading
	parts []Part // Those that may be the cause, sorted.
	// silent means that the process is not known to have ended: it answers nothing. Any
	// sign of life withdraws such a crash.
	silent bool

	local       bool // Seen by this instance.
	announcedAt timekeeper.Reading
	announced   int
}

// NewPartQuarantine returns a quarantine without parts. The function notify is called with every
// change of what is quarantined.
func NewPartQuarantine(c timekeeper.Clock, notify func(PartEvent)) *PartQuarantine {
	return &PartQuarantine{
		clock: c, notify: notify, suspects: map[Part]int{}, answered: newLRUMap[timekeeper.Reading](maxAnsweredParts),
		trials: map[Part]timekeeper.Reading{}, signs: newLRUMap[timekeeper.Reading](maxSigns),
		heard: func(Crash) (timekeeper.Reading, bool) { return timekeeper.Reading{}, false },
	}
}

// SetHeard sets the function that returns when this instance last received something from
// a target's process.
func (p *PartQuarantine) SetHeard(heard func(Crash) (at timekeeper.Reading, known bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = heard
}

// RecordAnswer records that a target began to answer a prompt with these parts.
func (p *PartQuarantine) RecordAnswer(parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Read()
	changed := false
	for _, id := range parts {
		p.answered.put(string(id), now)
		changed = p.suspects[id] > 0 || changed
	}
	if changed {
		p.clear()
	}
}

// RecordCrash records that a target crashed before it began to answer a prompt with
// these parts.
func (p *PartQuarantine) RecordCrash(id Crash, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Read()
	c, added := p.addCrash(id, now, parts, false)
	p.recordLocal(c, added, now)
}

// recordLocal records that this instance saw a crash. The caller holds mu.
func (p *PartQuarantine) recordLocal(c *partCrash, added bool, now timekeeper.Reading) {
	c.local = true
	if added {
		c.announced = 0 // The other instances don't know the added parts.
		p.reassess(now)
	}
}

// addCrash adds a crash, or the parts that are not known yet of a crash that is, and
// reports whether it added parts. The caller holds mu.
func (p *PartQuarantine) addCrash(id Crash, at timekeeper.Reading, parts []Part, silent bool) (*partCrash, bool) {
	i := slices.IndexFunc(p.crashes, func(c *partCrash) bool {
		// A silent process has crashed once at most, whenever its connections end.
		return c.id == id && (silent || c.silent || max(at.Monotonic-c.at.Monotonic, c.at.Monotonic-at.Monotonic) < crashWindow)
	})
	if i < 0 {
		p.crashes = append(p.crashes, &partCrash{id: id, at: at, silent: silent})
		i = len(p.crashes) - 1
	}
	c, added := p.crashes[i], false
	for _, part := range parts {
		if len(c.parts) >= maxCrashParts || p.cleared(part, c.at) {
			continue
		}
		if j, known := slices.BinarySearch(c.parts, part); !known {
			c.parts = slices.Insert(c.parts, j, part)
			p.suspects[part]++
			added = true
		}
	}
	return c, added
}

// cleared reports whether an answer shows that a part did not cause a crash. The caller
// holds mu.
func (p *PartQuarantine) cleared(id Part, crashedAt timekeeper.Reading) bool {
	at, ok := p.answered.get(string(id))
	return ok && at.Monotonic >= crashedAt.Monotonic-clearanceTime
}

// clear drops the parts that answers have cleared. The caller holds mu.
func (p *PartQuarantine) clear() {
	dropped := false
	for _, c := range p.crashes {
		c.parts = slices.DeleteFunc(c.parts, func(id Part) bool {
			if !p.cleared(id, c.at) {
				return false
			}
			p.forget(id)
			dropped = true
			return true
		})
	}
	if dropped {
		p.reassess(p.clock.Read())
	}
}

// forget removes a part from the suspects of one crash. The caller holds mu.
func (p *PartQuarantine) forget(id Part) {
	if p.suspects[id]--; p.suspects[id] <= 0 {
		delete(p.suspects, id)
	}
}

// expire drops old crashes, those without a culprit first. The caller holds mu.
func (p *PartQuarantine) expire(now timekeeper.Reading) {
	p.crashes = slices.DeleteFunc(p.crashes, func(c *partCrash) bool {
		drop := now.Since(c.at) > crashTTL
		if drop {
			p.drop(c)
		}
		return drop
	})
	for len(p.crashes) > maxPartCrashes {
		i := max(slices.IndexFunc(p.crashes, func(c *partCrash) bool { return !p.causedByCulprit(c) }), 0)
		p.drop(p.crashes[i])
		p.crashes = slices.Delete(p.crashes, i, i+1)
	}
}

func (p *PartQuarantine) drop(c *partCrash) {
	for _, id := range c.parts {
		p.forget(id)
	}
}

func (p *PartQuarantine) causedByCulprit(c *partCrash) bool {
	return slices.ContainsFunc(p.culprits, func(k culprit) bool { return holdsAll(c.parts, k.parts) })
}

// reassess derives the culprits anew and notifies of changes. The caller holds mu.
func (p *PartQuarantine) reassess(now timekeeper.Reading) {
	p.expire(now)
	before := p.culprits
	p.culprits = findCulprits(p.crashes)
	for _, k := range p.culprits {
		if !slices.ContainsFunc(before, k.sameParts) {
			p.notify(PartEvent{Parts: k.parts, Crashes: k.crashes, Quarantined: true})
		}
	}
	for _, k := range before {
		if !slices.ContainsFunc(p.culprits, k.sameParts) {
			delete(p.trials, k.parts[0])
			p.notify(PartEvent{Parts: k.parts, Crashes: k.crashes})
		}
	}
}

// Admit decides on a prompt with these parts. mayTry tells whether this instance makes
// the trials of a part whose quarantine has ended; prompts at other instances wait for
// their outcome.
func (p *PartQuarantine) Admit(parts []Part, mayTry func(Part) bool) Decision {
	now := p.clock.Read()
	k, ok := p.culpritOf(parts, now)
	if !ok {
		return Decision{Verdict: Run}
	}
	left := max(k.hold()-now.Since(k.lastAt), 0)
	if left > 0 || !mayTry(k.parts[0]) {
		return Decision{Verdict: Refuse, RetryAt: now.Wall + max(left, trialTimeout)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.trials[k.parts[0]]; ok && now.Since(at) < trialTimeout {
		return Decision{Verdict: Refuse, RetryAt: now.Wall + trialTimeout}
	}
	p.trials[k.parts[0]] = now
	return Decision{Verdict: Trial}
}

// culpritOf returns the culprit whose parts a prompt holds.
func (p *PartQuarantine) culpritOf(parts []Part, now timekeeper.Reading) (culprit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	find := func() int {
		return slices.IndexFunc(p.culprits, func(k culprit) bool { return holdsAll(parts, k.parts) })
	}
	i := find()
	if i >= 0 && p.withdraw(now) {
		i = find()
	}
	if i < 0 {
		return culprit{}, false
	}
	return p.culprits[i], true
}
