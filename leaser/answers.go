package leaser

import (
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// WriteDone takes the outcome of a write.
func (m *Machine) WriteDone(now timekeeper.Reading, w Write, version storer.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.adopt(now, w.Lease, version)
		return
	}
	switch {
	case errors.Is(err, storer.ErrUnavailable):
		m.backOff(now)
	case errors.Is(err, storer.ErrConflict) && len(m.attempts) == 1 && !m.held:
		// Another candidate was faster; its lease is read with the next round.
		m.unsure = true
		m.pause(now, m.options.Renew)
	default:
		// The write may be in the store; so may an earlier one that made this one
		// conflict. Reading soon keeps most of the lease if it is.
		m.unsure = true
		m.pause(now, resolveSpan)
	}
}

// ReadDone takes the outcome of a read; version 0 means that no lease exists.
func (m *Machine) ReadDone(now timekeeper.Reading, l Lease, version storer.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.backOff(now)
		return
	}
	m.unsure = false
	m.adopt(now, l, version)
}

// observe keeps a lease that is newer than the one known and reports whether it
// is. An older version is a stale answer and is ignored.
func (m *Machine) observe(now timekeeper.Reading, l Lease, version storer.Version) bool {
	gone := version == 0 && m.version != 0
	if m.known && version <= m.version && !gone {
		return false
	}
	m.known, m.lease, m.version, m.observed = true, l, version, now
	m.highest = max(m.highest, l.Epoch)
	return true
}

// adopt takes on what an answer says about the instance, and plans the next call.
func (m *Machine) adopt(now timekeeper.Reading, l Lease, version storer.Version) {
	if m.observe(now, l, version) {
		m.judge(now)
		// Writes that expected an older version can no longer take effect.
		clear(m.attempts)
	}
	if m.held && m.remaining(now) <= 0 {
		m.giveUp(now)
		return
	}
	m.plan(now)
}

// judge decides from a newly seen lease whether the instance holds it.
func (m *Machine) judge(now timekeeper.Reading) {
	sent, ours := m.attempts[m.lease.Renewal]
	ours = ours && m.mine()
	neverHeld := m.gaveUp == timekeeper.Reading{}
	switch {
	case ours && m.lease.Released:
		m.held = false
	case ours && (m.held || neverHeld || m.gaveUp.Since(sent) < 0):
		m.held, m.epoch, m.validFrom = true, m.lease.Epoch, sent
	case m.held:
		m.held, m.gaveUp = false, now
	}
}

// plan sets the time of the next call after a successful one.
func (m *Machine) plan(now timekeeper.Reading) {
	if m.held {
		// A tenth of jitter keeps holders that started together apart.
		span := int64(m.options.Renew)
		m.paused = pause{m.validFrom, timekeeper.Millis(span*9/10 + m.random.Int64N(span/5+1))}
		return
	}
	if wait := m.takeover(now); wait <= m.options.Length/4 {
		m.paused = pause{now, max(wait, 0)}
		return
	}
	// One read per lease time on average; the jitter keeps candidates apart.
	length := int64(m.options.Length)
	span := timekeeper.Millis(length*3/4 + m.random.Int64N(length/2+1))
	m.paused = pause{now, min(span, m.takeover(now))}
}

// backOff plans the next call after a failure: a holder tries again within what
// is left of its lease, anyone else with full jitter over one lease time.
func (m *Machine) backOff(now timekeeper.Reading) {
	if !m.held {
		m.pause(now, m.options.Length)
		return
	}
	m.pause(now, max(m.remaining(now)/2-minRetry, 0))
	m.paused.span += minRetry
}
