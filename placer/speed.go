package placer

import "github.com/gypsumwharf/gypsumwharf/tracker"

// decodeTimeWeight is the weight of the time that a decode takes longer at a slow engine,
// beside that until its first token.
const decodeTimeWeight = 0.1

// relativePrefillTime returns a candidate's prefill time in multiples of the mean one: the
// lasting one, which is the same from one moment to the next.
func relativePrefillTime(c tracker.Candidate) float64 {
	if c.Role == tracker.Decode {
		return c.RelativePrefillTime / decodePrefillSpeed
	}
	return c.RelativePrefillTime
}

// delay returns by how much the momentary slowness of a candidate prolongs work that takes
// a number of milliseconds otherwise; it is negative if work is quicker at the moment. The
// slowness passes, so that long work is prolonged only as far as it falls in that time.
func delay(c tracker.Candidate, millis float64) float64 {
	if c.Slowness <= 0 || c.Slowness == 1 {
		return 0
	}
	const lasts = float64(tracker.SlownessTTL)
	if millis*c.Slowness <= lasts {
		return millis * (c.Slowness - 1)
	}
	return lasts * (1 - 1/c.Slowness)
}

// prefillDelay returns the delay of a prefill itself, which takes a number of milliseconds
// otherwise, behind those that come before.
func (c Costs) prefillDelay(t tracker.Candidate, millis float64) float64 {
	ahead := c.referenceWait(t) * relativePrefillTime(t)
	return delay(t, ahead+millis) - delay(t, ahead)
}

// slowDecodeCost returns the cost of a decode at an engine that is lastingly slower than its
// service. A quicker one costs no less, so that not all decodes go to the same few.
func (c Costs) slowDecodeCost(t tracker.Candidate, p Prompt) float64 {
	return decodeTimeWeight * float64(p.Output) * c.PerOutput * max(t.RelativePrefillTime-1, 0)
}
