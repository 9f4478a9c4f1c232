package tracker

import (
	"math/rand/v2"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// unreachableTTL is how long the targets of a data centre are excluded after one of them
// was unreachable, or an examination reached none, unless they have responded since.
const unreachableTTL = timekeeper.Second

// outage is a data centre in which a target was unreachable.
type outage struct {
	since      timekeeper.Reading
	observedAt timekeeper.Reading // The newest observation.
	examined   bool               // An examination is in progress.
	confirmed  bool               // An examination reached none of its targets.
}

// current reports whether the newest observation is recent enough to rely on.
func (o *outage) current(now timekeeper.Reading) bool {
	return o != nil && o.observedAt != (timekeeper.Reading{}) && now.Since(o.observedAt) < unreachableTTL
}

// recordUnreachable records that a target of a data centre was unreachable. The caller
// holds mu.
func (t *Tracker) recordUnreachable(dataCentre string, now timekeeper.Reading) {
	o := t.outages[dataCentre]
	if o == nil {
		o = &outage{}
		t.outages[dataCentre] = o
	}
	if !o.current(now) {
		o.since, o.confirmed = now, false
	}
	o.observedAt = now
}

// outageAt reports whether the target's data centre may be cut off, because a target there
// was unreachable, and whether that is confirmed. It applies to targets that have not
// responded since. The caller holds mu.
func (t *Tracker) outageAt(e *entry, now timekeeper.Reading) (suspected, confirmed bool) {
	o := t.outages[e.target.DataCentre]
	suspected = o.current(now) && e.lastSeen.Monotonic < o.since.Monotonic
	return suspected, suspected && o.confirmed
}

// BeginExamination reports whether the caller has to find out if a data centre can be
// reached: a target there was unreachable, and nobody else is finding out.
func (t *Tracker) BeginExamination(dataCentre string) bool {
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.outages[dataCentre]
	if !o.current(now) || o.examined {
		return false
	}
	o.examined = true
	return true
}

// EndExamination ends the examination of a data centre, whose targets may be used again.
func (t *Tracker) EndExamination(dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.outages, dataCentre)
}

// ConfirmOutage records that none of several targets of a data centre could be reached.
func (t *Tracker) ConfirmOutage(dataCentre string) {
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordUnreachable(dataCentre, now)
	t.outages[dataCentre].confirmed = true
}

// ProbeTargets returns up to n random targets of a data centre, first those that are not
// suspected themselves.
func (t *Tracker) ProbeTargets(dataCentre string, n int) []Target {
	now := t.clock.Read()
	t.mu.Lock()
	defer t.mu.Unlock()
	var trusted, suspected []Target
	for _, e := range t.entries {
		switch {
		case e.target.DataCentre != dataCentre || e.target.Leaving:
		case e.excluded(now):
			suspected = append(suspected, e.target)
		default:
			trusted = append(trusted, e.target)
		}
	}
	for _, list := range [][]Target{trusted, suspected} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	list := append(trusted, suspected...)
	return list[:min(n, len(list))]
}
