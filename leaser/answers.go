package leaser

import (
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// WriteDone applies the outcome of a write.
func (m *Machine) WriteDone(now timekeeper.Reading, w Write, version storer.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeEra(now)
	if err == nil {
		m.applyAnswer(now, w.Lease, version)
		return
	}
	switch {
	case errors.Is(err, storer.ErrUnavailable):
		m.backOff(now)
	case errors.Is(err, storer.ErrConflict) && len(m.sentAt) == 1 && !m.held:
		// Another candidate wrote first; the next call reads its lease.
		m.unresolved = true
		m.delayNext(now, m.options.Renew)
	default:
		// This write may have taken effect, or an earlier one that made it conflict. If
		// so, reading soon leaves most of the lease's time usable.
		m.unresolved = true
		m.delayNext(now, maxResolveDelay)
	}
}

// ReadDone applies the outcome of a read; version 0 means that no lease exists.
func (m *Machine) ReadDone(now timekeeper.Reading, l Lease, version storer.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeEra(now)
	if err != nil {
		m.backOff(now)
		return
	}
	m.unresolved = false
	m.applyAnswer(now, l, version)
}

// observe adopts a lease that is newer than the known one and reports whether it did.
// An older version is a stale answer and is ignored.
func (m *Machine) observe(now timekeeper.Reading, l Lease, version storer.Version) bool {
	removed := version == 0 && m.version != 0
	if m.known && version <= m.version && !removed {
		return false
	}
	m.known, m.lease, m.version, m.observedAt = true, l, version, now
	m.continues = m.continues && (version == 0 || m.isOwnLease())
	m.highestEpoch = max(m.highestEpoch, l.Epoch)
	return true
}

// applyAnswer updates the state from an answer of the store and schedules the next call.
func (m *Machine) applyAnswer(now timekeeper.Reading, l Lease, version storer.Version) {
	if m.observe(now, l, version) {
		m.updateHeld(now)
		// Writes that expected an older version can no longer take effect.
		clear(m.sentAt)
	}
	if m.held && m.remaining(now) <= 0 {
		m.endTenure(now)
		return
	}
	m.scheduleNext(now)
}

// updateHeld decides from a newly observed lease whether the instance holds it.
func (m *Machine) updateHeld(now timekeeper.Reading) {
	sent, own := m.sentAt[m.lease.Renewal]
	own = own && m.isOwnLease()
	neverHeld := m.endedAt == timekeeper.Reading{}
	switch {
	case own && m.lease.Released:
		m.held = false
	case own && (m.held || neverHeld || m.endedAt.Since(sent) < 0):
		m.held, m.epoch, m.validFrom = true, m.lease.Epoch, sent
	case m.held:
		m.held, m.endedAt = false, now
	}
}

// scheduleNext schedules the next call after a successful one.
func (m *Machine) scheduleNext(now timekeeper.Reading) {
	if m.held {
		// Jitter of a tenth spreads the renewals of holders that started together.
		span := int64(m.options.Renew)
		m.delay = delay{m.validFrom, timekeeper.Millis(span*9/10 + m.random.Int64N(span/5+1))}
		return
	}
	if wait := m.takeoverWait(now); wait <= m.options.Length/4 {
		m.delay = delay{now, max(wait, 0)}
		return
	}
	// One read per lease length on average; the jitter spreads the candidates' reads.
	length := int64(m.options.Length)
	span := timekeeper.Millis(length*3/4 + m.random.Int64N(length/2+1))
	m.delay = delay{now, min(span, m.takeoverWait(now))}
}

// backOff schedules the next call after a failure: a holder retries within the remaining
// time of its lease, any other instance with full jitter over one lease length.
func (m *Machine) backOff(now timekeeper.Reading) {
	if !m.held {
		m.delayNext(now, m.options.Length)
		return
	}
	m.delayNext(now, max(m.remaining(now)/2-minRetryDelay, 0))
	m.delay.span += minRetryDelay
}
