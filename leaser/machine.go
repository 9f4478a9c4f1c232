package leaser

import (
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Step is what a machine wants done next: Wait, Read or Write.
type Step interface{ step() }

// Wait asks to call Next again after a span.
type Wait struct{ Span timekeeper.Millis }

// Read asks to read the lease object.
type Read struct{}

// Write asks for a conditional write of the lease object.
type Write struct {
	Lease    Lease
	Expected storer.Version
}

func (Wait) step()  {}
func (Read) step()  {}
func (Write) step() {}

// minRetry keeps a holder whose renewal fails from calling in a tight loop.
const minRetry = 250 * timekeeper.Millisecond

// resolveSpan is the longest delay before a read resolves a lost answer.
const resolveSpan = timekeeper.Second

// maxAttempts bounds the unresolved writes that are remembered; an older one counts as lost.
const maxAttempts = 16

// Machine decides when to read, write and give up one lease. It does no I/O and
// is safe for concurrent use; at most one step is in progress at a time.
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

	known    bool
	lease    Lease
	version  storer.Version
	observed timekeeper.Reading // when the version was first seen, after the answer came
	highest  int64              // highest epoch seen anywhere

	held      bool
	epoch     int64
	validFrom timekeeper.Reading // before the write that holds the lease was sent
	gaveUp    timekeeper.Reading

	attempt  int64
	attempts map[int64]timekeeper.Reading // unresolved writes and when they were sent
	unsure   bool                         // a write's outcome must be read
	paused   pause                        // no call before it ends
}

// pause is a span from a moment; it is over when the faster clock has passed it.
type pause struct {
	from timekeeper.Reading
	span timekeeper.Millis
}

func (p pause) rest(now timekeeper.Reading) timekeeper.Millis { return p.span - now.Since(p.from) }

// NewMachine returns a machine of an instance that competes for a duty.
func NewMachine(o Options, dataCentre string, duty LeaseDuty, instance string, incarnation int64) *Machine {
	o = o.withDefaults()
	return &Machine{
		options: o, duty: duty, dataCentre: dataCentre, instance: instance, incarnation: incarnation,
		random:    rand.New(rand.NewPCG(o.Seed, uint64(incarnation))),
		candidate: true,
		attempts:  map[int64]timekeeper.Reading{},
	}
}

// SetCandidate tells whether the instance may take the lease; a holder keeps what it holds.
func (m *Machine) SetCandidate(candidate bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidate = candidate
}

// Release makes the next step give the lease back. The caller has no order in flight.
func (m *Machine) Release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releasing = true
}

// Raise records an epoch seen outside the lease object. A holder with an epoch
// that is not higher gives up.
func (m *Machine) Raise(now timekeeper.Reading, epoch int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest = max(m.highest, epoch)
	if m.held && m.epoch <= epoch {
		m.giveUp(now)
	}
}

// Held returns the epoch if the lease is held.
func (m *Machine) Held(now timekeeper.Reading) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch, m.remaining(now) > 0
}

// Remaining returns how long the lease is still held; it is not positive when it is not held.
func (m *Machine) Remaining(now timekeeper.Reading) timekeeper.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.remaining(now)
}

// Check returns ErrNotHeld unless the lease is held under the epoch for need longer.
func (m *Machine) Check(now timekeeper.Reading, epoch int64, need timekeeper.Millis) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	rest := m.remaining(now)
	if rest <= 0 || rest < need || m.epoch != epoch {
		return errors.Wrapf(ErrNotHeld, "%s of %s: epoch %d, %s left, %s needed", m.duty, m.dataCentre, epoch, max(rest, 0), need)
	}
	return nil
}

func (m *Machine) remaining(now timekeeper.Reading) timekeeper.Millis {
	if !m.held {
		return 0
	}
	return m.options.Length - m.options.Margin - now.Since(m.validFrom)
}

// giveUp ends the tenure before the lease ends. The caller holds mu.
func (m *Machine) giveUp(now timekeeper.Reading) {
	m.held, m.gaveUp = false, now
	m.pause(now, m.options.Length)
}

// pause delays the next call by full jitter over a span. The caller holds mu.
func (m *Machine) pause(now timekeeper.Reading, span timekeeper.Millis) {
	m.paused = pause{now, timekeeper.Millis(m.random.Int64N(int64(span) + 1))}
}

// Next returns the next step. For a Write, now is the moment before it is sent.
func (m *Machine) Next(now timekeeper.Reading) Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	rest := m.remaining(now)
	if m.held && rest <= 0 {
		m.giveUp(now)
	}
	if m.releasing {
		return m.nextRelease(now)
	}
	if !m.held && !m.candidate {
		return Wait{m.options.Length}
	}
	if wait := m.paused.rest(now); wait > 0 {
		if m.held {
			wait = min(wait, rest)
		}
		return Wait{wait}
	}
	switch {
	case m.unsure || !m.known:
		return Read{}
	case m.held:
		return m.write(now, m.epoch, false)
	}
	if m.takeover(now) > 0 {
		return Read{}
	}
	return m.write(now, max(m.highest, m.lease.Epoch)+1, false)
}

func (m *Machine) nextRelease(now timekeeper.Reading) Step {
	switch {
	case !m.held:
		return Wait{m.options.Length}
	case m.unsure:
		return Read{}
	}
	return m.write(now, m.epoch, true)
}

func (m *Machine) write(now timekeeper.Reading, epoch int64, released bool) Step {
	m.attempt++
	if len(m.attempts) >= maxAttempts {
		clear(m.attempts)
	}
	m.attempts[m.attempt] = now
	return Write{Expected: m.version, Lease: Lease{
		Duty: m.duty, DataCentre: m.dataCentre, Holder: m.instance, Incarnation: m.incarnation,
		Epoch: epoch, Renewal: m.attempt, LengthMilliseconds: int64(m.options.Length), Released: released,
	}}
}

// takeover returns how long the instance must still wait before it may take the
// lease. Time is counted on the slower clock, so that a clock that jumps forward
// cannot shorten the wait.
func (m *Machine) takeover(now timekeeper.Reading) timekeeper.Millis {
	switch {
	case m.version == 0 && m.highest == 0, m.lease.Released:
		return 0
	case m.mine() && m.gaveUp != (timekeeper.Reading{}):
		// Its own orders ended with the tenure, except for those still on their way.
		return m.options.LongestSend - slower(now, m.gaveUp)
	}
	length := max(m.options.Length, timekeeper.Millis(m.lease.LengthMilliseconds))
	return length + m.options.Margin + m.options.LongestSend - slower(now, m.observed)
}

func slower(now, from timekeeper.Reading) timekeeper.Millis {
	return min(now.Wall-from.Wall, now.Monotonic-from.Monotonic)
}

// mine reports whether this incarnation wrote the lease that was seen last.
func (m *Machine) mine() bool {
	return m.lease.Holder == m.instance && m.lease.Incarnation == m.incarnation
}
