package quarantiner

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// announcements is how often a crash is announced, because datagrams may be lost,
	// and announceInterval the time between.
	announcements    = 3
	announceInterval = 300 * timekeeper.Millisecond
	// maxVerdictCrashes bounds the crashes of a message that repeats what is quarantined,
	// and maxReplyAnswers the answers of a reply, so that each fits into one datagram.
	maxVerdictCrashes = 8
	maxReplyAnswers   = 24
	// maxReplySigns bounds the signs of life of a reply.
	maxReplySigns = 8
)

var errEvidence = errors.New("malformed evidence")

// Check returns an error if the evidence is out of bounds.
func (e Evidence) Check() error {
	if len(e.Crashes) > maxPartCrashes || len(e.Answers) > maxCrashParts*maxPartCrashes || len(e.Signs) > maxPartCrashes {
		return errors.Wrapf(errEvidence, "%d crashes, %d answers and %d signs of life", len(e.Crashes), len(e.Answers), len(e.Signs))
	}
	for _, c := range e.Crashes {
		if c.Age < 0 || len(c.Parts) > maxCrashParts || c.Target == "" {
			return errors.Wrapf(errEvidence, "crash of %q, %d ms old, with %d parts", c.Target, c.Age, len(c.Parts))
		}
	}
	for _, a := range e.Answers {
		if a.Age < 0 || a.Part == "" {
			return errors.Wrapf(errEvidence, "answer of %q, %d ms old", a.Part, a.Age)
		}
	}
	for _, s := range e.Signs {
		if s.Age < 0 || s.Target == "" {
			return errors.Wrapf(errEvidence, "sign of life of %q, %d ms old", s.Target, s.Age)
		}
	}
	return nil
}

// Announcements returns a message for all other instances for each crash that this
// instance saw and that is due to be announced.
func (p *PartQuarantine) Announcements() []Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Read()
	p.withdraw(now)
	var list []Evidence
	for _, c := range p.crashes {
		due := c.announced == 0 || c.announced < announcements && now.Since(c.announcedAt) >= announceInterval
		if c.local && due && len(c.parts) > 0 {
			c.announced++
			c.announcedAt = now
			list = append(list, Evidence{Crashes: []PartCrash{c.message(now, c.parts)}})
		}
	}
	return list
}

func (c *partCrash) message(now timekeeper.Reading, parts []Part) PartCrash {
	return PartCrash{Target: c.id.Target, Started: c.id.Started, Age: now.Since(c.at), Parts: slices.Clone(parts), Silent: c.silent}
}

// Verdicts returns the evidence for what is quarantined, for instances that have missed
// the announcements, or false if nothing is. If it is too much for one message, each call
// returns another piece.
func (p *PartQuarantine) Verdicts() (Evidence, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Read()
	var e Evidence
	parts := 0
	for i := range p.culprits {
		k := p.culprits[(p.nextVerdict+i)%len(p.culprits)]
		parts += minCulpritCrashes * len(k.parts)
		if i > 0 && (parts > maxCrashParts || len(e.Crashes) >= maxVerdictCrashes) {
			p.nextVerdict += i
			break
		}
		e.Crashes = append(e.Crashes, p.newestCrashes(k, now)...)
	}
	return e, len(e.Crashes) > 0
}

// newestCrashes returns as many of a culprit's crashes as it takes to quarantine it. The
// caller holds mu.
func (p *PartQuarantine) newestCrashes(k culprit, now timekeeper.Reading) []PartCrash {
	var list []PartCrash
	for _, c := range slices.Backward(p.crashes) {
		if len(list) < minCulpritCrashes && holdsAll(c.parts, k.parts) {
			list = append(list, c.message(now, k.parts))
		}
	}
	return list
}

// Merge adds the evidence of another instance. It returns what clears parts of it, for
// the sender, or an error if the evidence is malformed.
func (p *PartQuarantine) Merge(e Evidence) (Evidence, error) {
	if err := e.Check(); err != nil {
		return Evidence{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Read()
	for _, a := range e.Answers {
		at := now.Before(a.Age)
		if known, ok := p.answered.get(string(a.Part)); !ok || known.Monotonic < at.Monotonic {
			p.answered.put(string(a.Part), at)
		}
	}
	if len(e.Answers) > 0 {
		p.clear()
	}
	p.mergeSigns(e.Signs, now)
	var reply Evidence
	changed := false
	for _, c := range e.Crashes {
		at := now.Before(c.Age)
		if c.Age > crashTTL {
			continue
		}
		id := Crash{c.Target, c.Started}
		if sign, alive := p.alive(id, at); c.Silent && alive {
			reply.addSign(id, max(now.Since(sign), 0))
			continue
		}
		_, added := p.addCrash(id, at, c.Parts, c.Silent)
		changed = changed || added
		for _, id := range c.Parts {
			if p.cleared(id, at) {
				reply.addAnswer(id, p.sinceAnswer(id, now))
			}
		}
	}
	if changed {
		p.reassess(now)
	}
	return reply, nil
}

// sinceAnswer returns the time since an answer with a part began. The caller holds mu.
func (p *PartQuarantine) sinceAnswer(id Part, now timekeeper.Reading) timekeeper.Millis {
	at, _ := p.answered.get(string(id))
	return max(now.Since(at), 0)
}

// addAnswer adds the answer to a part, once and within bounds.
func (e *Evidence) addAnswer(id Part, age timekeeper.Millis) {
	known := slices.ContainsFunc(e.Answers, func(a PartAnswer) bool { return a.Part == id })
	if !known && len(e.Answers) < maxReplyAnswers {
		e.Answers = append(e.Answers, PartAnswer{Part: id, Age: age})
	}
}
