package timekeeper

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a lease that seems valid after a suspension because only the monotonic clock was read.
func TestReadingSinceCountsSuspension(t *testing.T) {
	m := NewManual(1000)
	c := m.Clock()
	r0 := c.Read()
	m.Advance(10)
	m.Suspend(5 * Second)
	assert.Equal(t, c.Read().Since(r0), 5*Second+10)
}

// Guards against stamps that repeat or decrease when the wall clock does not advance or a peer's clock is ahead.
func TestStamperOnlyGrows(t *testing.T) {
	m := NewManual(1000)
	s := NewStamper(m.Clock())
	first := s.Next()
	second := s.Next()
	assert.Assert(t, first.Before(second))
	s.Observe(Stamp{Wall: 9000, Logical: 7})
	third := s.Next()
	assert.Assert(t, Stamp{Wall: 9000, Logical: 7}.Before(third))
	m.Advance(20 * Second)
	assert.Assert(t, third.Before(s.Next()))
}
