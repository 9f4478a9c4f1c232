package timekeeper

import (
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// stepTolerance is the largest difference between the clocks that is drift; a larger one is a jump.
	stepTolerance = 150 * Millisecond
	// minStepDuration is how long a jump must persist before the clock follows it.
	minStepDuration = 20 * Second
	// driftDivisor sets how fast drift is corrected: each call of Now corrects 1/16 of it.
	driftDivisor = 16
)

// SmoothedClock is a clock of the time of day that does not follow jumps of the machine's
// wall clock that are soon reversed. It counts time in which the machine is suspended.
type SmoothedClock struct {
	wall func() Millis
	boot func() Millis

	mu       sync.Mutex
	offset   Millis // Time of day at boot (wall minus boot time).
	jumpedAt Millis // Boot time at which the time of day jumped; 0 if it did not.
}

// NewSmoothedClock returns a smoothed clock of the machine.
func NewSmoothedClock() *SmoothedClock { return newSteady(System().Now, bootTime) }

func newSteady(wall, boot func() Millis) *SmoothedClock {
	return &SmoothedClock{wall: wall, boot: boot, offset: wall() - boot()}
}

// bootTime returns the time since boot, including suspended time. On machines
// without that clock it returns the process's monotonic time, which lacks suspended time.
func bootTime() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return System().Read().Monotonic
	}
	return Millis(t.Nano() / 1e6)
}

// Now returns the time of day.
func (s *SmoothedClock) Now() Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	boot := s.boot()
	difference := s.wall() - boot - s.offset
	switch {
	case max(difference, -difference) <= stepTolerance:
		// Rounded away from zero, so that the last milliseconds are corrected too.
		s.offset += (difference + sign(difference)*(driftDivisor-1)) / driftDivisor
		s.jumpedAt = 0
	case s.jumpedAt == 0:
		s.jumpedAt = boot
	case boot-s.jumpedAt >= minStepDuration:
		s.offset += difference
		s.jumpedAt = 0
	}
	return boot + s.offset
}

func sign(m Millis) Millis {
	switch {
	case m > 0:
		return 1
	case m < 0:
		return -1
	default:
		return 0
	}
}
