package provisioner

import (
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Interval returns the time between two plans.
func Interval() timekeeper.Millis { return interval }

// ForecastSeries returns the forecast that a provisioner with the given headroom has at
// each plan, from the prefill and decode work at each plan in engines kept busy. Both
// series have the same length.
func ForecastSeries(headroom float64, prefill, decode []float64) []Forecast {
	var d demandEstimator
	forecasts := make([]Forecast, len(prefill))
	for i := range prefill {
		engines := []Engine{{Target: tracker.Target{Role: tracker.Decode}, InFlight: 1, Utilization: decode[i]}}
		d.observe(engines, prefill[i])
		n := d.estimate(profiler.Profile{Known: true}, engines)
		forecasts[i] = Forecast{Headroom: headroom, Known: n.Known, Peak: n.Prefill + n.Decode}
	}
	return forecasts
}
