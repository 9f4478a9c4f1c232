package tracker

import (
	"slices"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// SlownessTTL is the age from which a reported momentary slowness no longer counts.
// Targets share their machines with others, whose work changes many times a second.
const SlownessTTL = 500 * timekeeper.Millisecond

const (
	// maxSlownessReports bounds the latest reports of a service from which the slowness is
	// learned that its targets reach at times.
	maxSlownessReports = 128
	// peakSlownessQuantile is the share of the reports that are at most the peak, so that
	// a target which always reports a high slowness doesn't decide it.
	peakSlownessQuantile = 0.9
	// peakInterval is the number of reports after which the peak is computed again.
	peakInterval = 16
)

// slownessReports holds the latest reports of a service's targets.
type slownessReports struct {
	values []float64
	next   int
	peak   float64
}

func (s *slownessReports) add(slowness float64) {
	if len(s.values) < maxSlownessReports {
		s.values = append(s.values, slowness)
	} else {
		s.values[s.next] = slowness
	}
	s.next = (s.next + 1) % maxSlownessReports
	if s.next%peakInterval == 0 || len(s.values) < peakInterval {
		sorted := slices.Sorted(slices.Values(s.values))
		s.peak = max(sorted[int(peakSlownessQuantile*float64(len(sorted)-1))], 1)
	}
}

// PeakSlowness returns the slowness that the targets of a service reach at times, as a
// multiple of the usual time; 1 if none is reported.
func (t *Tracker) PeakSlowness(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.slowness[service]; s != nil {
		return s.peak
	}
	return 1
}

// recordSlowness records the momentary slowness that a target reported. The caller holds
// the tracker's mutex.
func (t *Tracker) recordSlowness(e *entry, slowness float64, now timekeeper.Reading) {
	e.recordSlowness(slowness, now)
	s := t.slowness[e.target.Service]
	if s == nil {
		s = &slownessReports{}
		t.slowness[e.target.Service] = s
	}
	s.add(e.slowness)
}

// recordSlowness records the momentary slowness that a target reported. The caller holds
// the tracker's mutex.
func (e *entry) recordSlowness(slowness float64, now timekeeper.Reading) {
	e.slowness, e.slownessAt = min(max(slowness, 1/MaxPace), MaxPace), now
}

// slownessNow returns the momentary slowness, as a multiple of the usual time. It fades
// linearly to 1, as usual, until the report is SlownessTTL old.
func (e *entry) slownessNow(now timekeeper.Reading) float64 {
	age := now.Since(e.slownessAt)
	if e.slowness == 0 || age >= SlownessTTL {
		return 1
	}
	return 1 + (e.slowness-1)*float64(SlownessTTL-age)/float64(SlownessTTL)
}
