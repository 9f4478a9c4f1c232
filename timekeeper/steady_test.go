package timekeeper

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against usage counted in wrong windows while the time of day jumps, and
// against a permanent correction or a suspension that the clock never follows.
func TestSteadyClock(t *testing.T) {
	for name, c := range map[string]struct {
		step    Millis // Jump of the time of day after a second.
		back    Millis // When the jump is reversed; 0 is never.
		suspend Millis // Suspension after two seconds, which both clocks count.
		largest Millis // Largest error of the clock at the end.
	}{
		"calm":           {0, 0, 0, 0},
		"jump and back":  {2400, 6000, 0, 0},
		"backward":       {-2400, 6000, 0, 0},
		"lasting":        {2400, 0, 0, stepTolerance},
		"suspended":      {0, 0, 7000, 0},
		"small lasting":  {100, 0, 0, 10},
		"suspended jump": {2400, 9000, 3000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			boot, wall := Millis(1000), Millis(1_700_000_000_000)
			s := newSteady(func() Millis { return wall }, func() Millis { return boot })
			truth, worst := wall, Millis(0)
			for i := range 400 {
				at := Millis(i) * 100
				boot, wall, truth = boot+100, wall+100, truth+100
				switch {
				case at == Second:
					wall += c.step
					if c.back == 0 {
						truth += c.step
					}
				case at == 2*Second:
					boot, wall, truth = boot+c.suspend, wall+c.suspend, truth+c.suspend
				case c.back > 0 && at == c.back:
					wall -= c.step
				}
				now := s.Now()
				if c.back > 0 || c.step == 0 {
					worst = max(worst, now-truth, truth-now)
				}
			}
			assert.Check(t, worst <= stepTolerance, "off by up to %s", worst)
			end := s.Now() - truth
			assert.Check(t, max(end, -end) <= c.largest, "off by %s at the end", end)
		})
	}
}
