// Package timekeeper provides time in milliseconds: a clock that tests can
// control, a reading of both the wall and the monotonic clock, and hybrid logical
// timestamps that order the events of several processes.
package timekeeper

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Millis is a point in time (milliseconds since the Unix epoch) or a span, in milliseconds.
type Millis int64

// Units of time.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds returns a span in seconds.
func (m Millis) Seconds() float64 { return float64(m) / float64(Second) }

// Time converts a point in time to the standard library's type, in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// String formats a span with its unit.
func (m Millis) String() string { return m.Duration().String() }

// Sleep waits for a span and reports whether it passed before the context ended.
func Sleep(ctx context.Context, m Millis) bool {
	timer := time.NewTimer(m.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// FromDuration converts a standard library duration to Millis, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// FromTime converts a standard library time to Millis.
func FromTime(t time.Time) Millis { return Millis(t.UnixMilli()) }

// Reading is the time of both clocks at one moment. Wall may jump; Monotonic does
// not count time in which the machine is suspended. Leases need both to detect expiry.
type Reading struct {
	Wall      Millis
	Monotonic Millis
}

// Since returns the larger of the spans that the two clocks measured since r0.
func (r Reading) Since(r0 Reading) Millis {
	return max(r.Wall-r0.Wall, r.Monotonic-r0.Monotonic)
}

// Before returns the reading with both clocks a span earlier.
func (r Reading) Before(span Millis) Reading {
	return Reading{Wall: r.Wall - span, Monotonic: r.Monotonic - span}
}

// Clock returns the time. The zero value is the machine's clock.
type Clock struct {
	manual *Manual
}

// start is the origin of the monotonic times of the machine's clock.
var start = time.Now()

// System returns the machine's clock.
func System() Clock { return Clock{} }

// Now returns the wall clock's time.
func (c Clock) Now() Millis { return c.Read().Wall }

// Read returns a reading of both clocks.
func (c Clock) Read() Reading {
	if c.manual != nil {
		return c.manual.read()
	}
	now := time.Now()
	return Reading{Wall: FromTime(now), Monotonic: FromDuration(now.Sub(start))}
}

// Manual is a clock source that only its methods advance, for tests in virtual time.
type Manual struct {
	mu      sync.Mutex
	reading Reading
}

// NewManual returns a source with both clocks set to now.
func NewManual(now Millis) *Manual {
	return &Manual{reading: Reading{Wall: now, Monotonic: now}}
}

// Clock returns a clock that reads this source.
func (m *Manual) Clock() Clock { return Clock{manual: m} }

// Advance moves both clocks forward by d.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Wall += d
	m.reading.Monotonic += d
}

// Suspend moves only the wall clock forward, as a suspension of the machine does.
func (m *Manual) Suspend(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Wall += d
}

func (m *Manual) read() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading
}

// Stamp is a hybrid logical timestamp: wall time plus a counter that orders
// events of one millisecond and keeps causal order when clocks differ.
type Stamp struct {
	Wall    Millis `json:"wall"`
	Logical uint32 `json:"logical"`
}

// Before reports whether s orders before t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// String formats a stamp as wall time and counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Wall.Time().Format("2006-01-02T15:04:05.000Z"), s.Logical)
}

// Stamper issues strictly increasing stamps for one process. It is safe for
// concurrent use.
type Stamper struct {
	clock Clock
	mu    sync.Mutex
	last  Stamp
}

// NewStamper returns a stamper on the given clock.
func NewStamper(c Clock) *Stamper { return &Stamper{clock: c} }

// Next returns a stamp later than every stamp issued or observed before.
func (s *Stamper) Next() Stamp {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now > s.last.Wall {
		s.last = Stamp{Wall: now}
	} else {
		s.last.Logical++
	}
	return s.last
}

// Observe makes later stamps order after t, a stamp received from another process.
func (s *Stamper) Observe(t Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.Before(t) {
		s.last = t
	}
}
