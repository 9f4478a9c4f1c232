package quarantiner

import (
	"slices"
	"strconv"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// signMargin is how much later than the beginning of a process's silence something
// received from it shows that it is alive. What it sent before may still be on its way.
const signMargin = 300 * timekeeper.Millisecond

// RecordSilence records that a target's process has answered nothing since a time, while
// other targets near it can be reached, and had not begun to answer a prompt with these
// parts. It counts as a crash until the process gives a sign of life.
func (p *PartQuarantine) RecordSilence(id Crash, since timekeeper.Reading, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, alive := p.alive(id, since); alive {
		return
	}
	now := p.clock.Read()
	c, added := p.addCrash(id, since, parts, true)
	p.recordLocal(c, added, now)
}

// Silence returns since when a process counts as crashed by silence, or false if it does
// not, and whether that is why a part is quarantined.
func (p *PartQuarantine) Silence(id Crash) (since timekeeper.Reading, counts, blames bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.crashes, func(c *partCrash) bool { return c.id == id && c.silent })
	if i < 0 {
		return timekeeper.Reading{}, false, false
	}
	c := p.crashes[i]
	return c.at, true, p.causedByCulprit(c)
}

// RecordSign records that a process is alive although this instance has received nothing
// from it.
func (p *PartQuarantine) RecordSign(id Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Read()
	p.signs.put(signName(id), now)
	p.withdraw(now)
}

// alive returns the newest sign of life of a process, and whether it is from after the
// beginning of a silence. The caller holds mu.
func (p *PartQuarantine) alive(id Crash, since timekeeper.Reading) (timekeeper.Reading, bool) {
	newest, known := p.heard(id)
	if at, ok := p.signs.get(signName(id)); ok && (!known || at.Monotonic > newest.Monotonic) {
		newest, known = at, true
	}
	return newest, known && newest.Monotonic > since.Monotonic+signMargin
}

func signName(id Crash) string {
	return id.Target + "\x00" + strconv.FormatInt(int64(id.Started), 10)
}

// withdraw drops the crashes of silent processes that have given a sign of life, and
// reports whether there were any. The caller holds mu.
func (p *PartQuarantine) withdraw(now timekeeper.Reading) bool {
	before := len(p.crashes)
	p.crashes = slices.DeleteFunc(p.crashes, func(c *partCrash) bool {
		if !c.silent {
			return false
		}
		_, alive := p.alive(c.id, c.at)
		if alive {
			p.drop(c)
		}
		return alive
	})
	if len(p.crashes) == before {
		return false
	}
	p.reassess(now)
	return true
}

// mergeSigns adds the signs of life that another instance reported. The caller holds mu.
func (p *PartQuarantine) mergeSigns(signs []LifeSign, now timekeeper.Reading) {
	for _, s := range signs {
		name, at := signName(Crash{s.Target, s.Started}), now.Before(s.Age)
		if known, ok := p.signs.get(name); !ok || known.Monotonic < at.Monotonic {
			p.signs.put(name, at)
		}
	}
	if len(signs) > 0 {
		p.withdraw(now)
	}
}

// addSign adds a sign of life of a process, within bounds.
func (e *Evidence) addSign(id Crash, age timekeeper.Millis) {
	if len(e.Signs) < maxReplySigns {
		e.Signs = append(e.Signs, LifeSign{Target: id.Target, Started: id.Started, Age: age})
	}
}
