package leaser

import (
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Step is the machine's next action: Wait, Read or Write.
type Step interface{ step() }

// Wait requests another call of Next after a span.
type Wait struct{ Span timekeeper.Millis }

// Read requests a read of the lease object.
type Read struct{}

// Write requests a conditional write of the lease object.
type Write struct {
	Lease    Lease
	Expected storer.Version
}

func (Wait) step()  {}
func (Read) step()  {}
func (Write) step() {}

// minRetryDelay keeps a holder whose renewal fails from calling in a tight loop.
const minRetryDelay = 250 * timekeeper.Millisecond

// maxResolveDelay is the longest delay before a read resolves a lost answer.
const maxResolveDelay = timekeeper.Second

// maxUnresolved bounds the unresolved writes that are tracked; older ones count as lost.
const maxUnresolved = 16

// Machine is the state machine that decides when to read, write and give up one lease.
// It does no I/O and is safe for concurrent use; at most one step is in progress at a
// time.
type Machine struct {
	options     Options
	duty        LeaseDuty
	dataCentre  string
	instance    string
	incarnation int64

	mu        sync.Mutex
	random    *rand.Rand
	candidate bool
	releasing bool

	known        bool
	lease        Lease
	version      storer.Version
	observedAt   timekeeper.Reading // when the answer with this version was first received
	highestEpoch int64              // highest epoch seen in the store or elsewhere

	era       storer.Era
	eraSeenAt timekeeper.Reading // when the era was noticed
	continues bool               // the lease was held when the era was noticed

	held      bool
	epoch     int64
	validFrom timekeeper.Reading // taken before the write that gave the lease was sent
	endedAt   timekeeper.Reading // when the last tenure ended

	lastRenewal int64
	sentAt      map[int64]timekeeper.Reading // unresolved writes by renewal number
	unresolved  bool                         // a read must determine a write's outcome
	delay       delay                        // until the next call
}

// delay is a span from a point in time; it is over when it has passed on the faster clock.
type delay struct {
	from timekeeper.Reading
	span timekeeper.Millis
}

func (d delay) remaining(now timekeeper.Reading) timekeeper.Millis { return d.span - now.Since(d.from) }

// NewMachine returns the machine of an instance that competes for a duty.
func NewMachine(o Options, dataCentre string, duty LeaseDuty, instance string, incarnation int64) *Machine {
	o = o.withDefaults()
	return &Machine{
		options: o, duty: duty, dataCentre: dataCentre, instance: instance, incarnation: incarnation,
		random:    rand.New(rand.NewPCG(o.Seed, uint64(incarnation))),
		candidate: true,
		sentAt:    map[int64]timekeeper.Reading{},
	}
}

// SetCandidate sets whether the instance may take the lease. A lease that it holds is kept.
func (m *Machine) SetCandidate(candidate bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidate = candidate
}

// Release makes the next step release the lease. The caller must have no order in flight.
func (m *Machine) Release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releasing = true
}

// ObserveEpoch records an epoch seen outside the lease object. A holder whose epoch is not
// higher ends its tenure.
func (m *Machine) ObserveEpoch(now timekeeper.Reading, epoch int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeEra(now)
	m.highestEpoch = max(m.highestEpoch, epoch)
	if m.held && m.epoch <= epoch {
		m.endTenure(now)
	}
}

// Held returns the epoch if the lease is held.
func (m *Machine) Held(now timekeeper.Reading) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeEra(now)
	return m.epoch, m.remaining(now) > 0
}

// Remaining returns the remaining time of the lease; it is zero or negative if the
// lease is not held.
func (m *Machine) Remaining(now timekeeper.Reading) timekeeper.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeEra(now)
	return m.remaining(now)
}

// Check returns ErrNotHeld unless the lease is held under the epoch for at least need.
func (m *Machine) Check(now timekeeper.Reading, epoch int64, need timekeeper.Millis) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeEra(now)
	remaining := m.remaining(now)
	if remaining <= 0 || remaining < need || m.epoch != epoch {
		return errors.Wrapf(ErrNotHeld, "duty %s of %s: epoch %d, %s left, %s needed", m.duty, m.dataCentre, epoch, max(remaining, 0), need)
	}
	return nil
}

// noticeEra ends the tenure if the store has a new era: the lease may be gone, and another
// may take it. The caller holds mu.
func (m *Machine) noticeEra(now timekeeper.Reading) {
	era := m.options.Era()
	if era <= m.era {
		return
	}
	m.continues = m.remaining(now) > 0
	if m.held {
		m.endTenure(now)
		m.delay = delay{}
	}
	m.era, m.eraSeenAt = era, now
	m.known, m.unresolved = false, true
	m.lease, m.version = Lease{}, 0
	clear(m.sentAt)
}

func (m *Machine) continuesTenure() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.continues
}

func (m *Machine) remaining(now timekeeper.Reading) timekeeper.Millis {
	if !m.held {
		return 0
	}
	return m.options.Length - m.options.Margin - now.Since(m.validFrom)
}

// endTenure ends the tenure before the lease ends. The caller holds mu.
func (m *Machine) endTenure(now timekeeper.Reading) {
	m.held, m.endedAt = false, now
	m.delayNext(now, m.options.Length)
}

// delayNext delays the next call with full jitter over a span. The caller holds mu.
func (m *Machine) delayNext(now timekeeper.Reading, span timekeeper.Millis) {
	m.delay = delay{now, timekeeper.Millis(m.random.Int64N(int64(span) + 1))}
}

// Next returns the next step. For a Write, now is the time just before it is sent.
func (m *Machine) Next(now timekeeper.Reading) Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeEra(now)
	remaining := m.remaining(now)
	if m.held && remaining <= 0 {
		m.endTenure(now)
	}
	if m.releasing {
		return m.nextRelease(now)
	}
	if !m.held && !m.candidate {
		return Wait{m.options.Length}
	}
	if wait := m.delay.remaining(now); wait > 0 {
		if m.held {
			wait = min(wait, remaining)
		}
		return Wait{wait}
	}
	switch {
	case m.unresolved || !m.known:
		return Read{}
	case m.held:
		return m.write(now, m.epoch, false)
	}
	if m.takeoverWait(now) > 0 {
		return Read{}
	}
	return m.write(now, max(m.highestEpoch, m.lease.Epoch, m.epochFloor(now))+1, false)
}

func (m *Machine) nextRelease(now timekeeper.Reading) Step {
	switch {
	case m.unresolved: // A write may have taken the lease, or renewed it.
		return Read{}
	case !m.held:
		return Wait{m.options.Length}
	}
	return m.write(now, m.epoch, true)
}

func (m *Machine) write(now timekeeper.Reading, epoch int64, released bool) Step {
	m.lastRenewal++
	if len(m.sentAt) >= maxUnresolved {
		clear(m.sentAt)
	}
	m.sentAt[m.lastRenewal] = now
	return Write{Expected: m.version, Lease: Lease{
		Duty: m.duty, DataCentre: m.dataCentre, Holder: m.instance, Incarnation: m.incarnation,
		Epoch: epoch, Renewal: m.lastRenewal, LengthMilliseconds: int64(m.options.Length), Released: released,
	}}
}

// takeoverWait returns how long the instance must still wait before it may take the
// lease. Time is measured on the slower clock, so that a clock that jumps forward
// cannot shorten the wait.
func (m *Machine) takeoverWait(now timekeeper.Reading) timekeeper.Millis {
	var inEra timekeeper.Millis
	if m.era != 0 && !m.continues {
		// The lease of a holder that acts by an older era may be lost.
		inEra = m.longestTenure(m.options.Length) - slowerElapsed(now, m.eraSeenAt)
	}
	switch {
	case m.version == 0 && m.highestEpoch == 0, m.lease.Released:
		return max(inEra, 0)
	case m.endedAt != (timekeeper.Reading{}) && (m.isOwnLease() || m.version == 0 && m.continues):
		// It sent its last orders before the tenure ended; only those may still be in flight.
		return max(inEra, m.options.SendTimeout-slowerElapsed(now, m.endedAt))
	}
	length := max(m.options.Length, timekeeper.Millis(m.lease.LengthMilliseconds))
	return max(inEra, m.longestTenure(length)-slowerElapsed(now, m.observedAt))
}

// longestTenure returns how long the orders of a holder may arrive after it has renewed a
// lease of a length.
func (m *Machine) longestTenure(length timekeeper.Millis) timekeeper.Millis {
	return length + m.options.Margin + m.options.SendTimeout
}

// epochFloor returns a number that the epochs of the current era are above. Those of older
// eras may be lost with the lease. So may that of this era: a write from before the return
// replaces the lease if its revision was given out again. Therefore the floor rises with time.
func (m *Machine) epochFloor(now timekeeper.Reading) int64 {
	if m.era == 0 {
		return 0
	}
	return int64(m.era)<<32 + int64(now.Wall/timekeeper.Second)
}

func slowerElapsed(now, from timekeeper.Reading) timekeeper.Millis {
	return min(now.Wall-from.Wall, now.Monotonic-from.Monotonic)
}

// isOwnLease reports whether this incarnation wrote the last observed lease.
func (m *Machine) isOwnLease() bool {
	return m.lease.Holder == m.instance && m.lease.Incarnation == m.incarnation
}
