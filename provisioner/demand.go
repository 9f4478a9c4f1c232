package provisioner

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// averageWeight is the weight of the newest sample in the moving average; at one
	// sample per interval the average spans about two seconds.
	averageWeight = 0.25
	// peakTimeConstant is the time in which a recorded peak decays to 1/e. Roles change
	// more slowly than the traffic mix, so engines are kept for its recent peaks.
	peakTimeConstant = 30 * timekeeper.Second
	// minSamples is the number of samples under traffic after which the demand counts
	// as known.
	minSamples = 12
)

// demandEstimator estimates how many engines of a service its traffic needs.
type demandEstimator struct {
	samples     int
	average     float64 // Moving average of the engines that decodes in flight fill.
	decodePeak  float64 // The highest average, decaying.
	prefillPeak float64 // The most engines that arriving prefills kept busy, decaying.
}

// observe adds a sample: the decodes in flight now, and the number of engines that the
// arriving prefills keep busy.
func (d *demandEstimator) observe(engines []Engine, prefill float64) {
	decode := 0.0
	for _, e := range engines {
		if e.Role == tracker.Decode && !e.Changing && !e.Excluded {
			decode += e.Utilization
		}
	}
	if d.samples == 0 && decode == 0 {
		return // The traffic has not started.
	}
	d.samples++
	d.average += averageWeight * (decode - d.average)
	decay := math.Exp(-float64(interval) / float64(peakTimeConstant))
	d.decodePeak = max(d.average, d.decodePeak*decay)
	d.prefillPeak = max(prefill, d.prefillPeak*decay)
}

// estimate returns the current demand, using the measured profile of the engines.
func (d *demandEstimator) estimate(p profiler.Profile, engines []Engine) Demand {
	idle := true
	for _, e := range engines {
		idle = idle && (e.InFlight == 0 || e.Excluded)
	}
	return Demand{
		Known: p.Known && d.samples >= minSamples, Idle: idle, Engines: float64(len(engines)), Slowdown: p.Slowdown,
		Prefill: d.prefillPeak, Decode: d.decodePeak,
	}
}
