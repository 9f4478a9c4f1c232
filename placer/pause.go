package placer

import "github.com/gypsumwharf/gypsumwharf/tracker"

// pauseMargin is the share of the longest allowed pause from which on an expected pause
// costs something: engines also pause for prefills and for other streams.
const pauseMargin = 0.6

// longPauseCost returns the cost, in multiples of the mean prefill time, of a stream at an
// engine whose events may come too far apart: at its lasting speed, at the moments in
// which its machine is as slow as the engines of the service get. Short answers have no
// pause.
func (c Costs) longPauseCost(t tracker.Candidate, p Prompt) float64 {
	if c.MaxPause <= 0 || float64(p.Output)*c.PerOutput < c.EventInterval {
		return 0
	}
	pause := c.EventInterval * t.RelativePrefillTime * max(c.PeakSlowness, 1)
	return pauseCost * max(pause/c.MaxPause-pauseMargin, 0)
}
