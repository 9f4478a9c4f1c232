package planner

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Time constants of the forecast.
const (
	// levelTimeConstant smooths the noise of single requests and bursts of half a
	// minute. With 20 s, bursts used up the role change budget.
	levelTimeConstant = 40 * timekeeper.Second
	// trendTimeConstant is longer, because a trend is the difference of two noisy levels.
	trendTimeConstant = 60 * timekeeper.Second
	// trendDampingTime limits the extrapolation of a trend, because swings end within
	// minutes.
	trendDampingTime = 90 * timekeeper.Second
	// peakWindow is how long a peak prevents targets from being stopped.
	peakWindow   = 5 * timekeeper.Minute
	peakInterval = 10 * timekeeper.Second
)

// Forecast predicts a demand from its measurements by a level and a damped trend.
type Forecast struct {
	observedAt timekeeper.Millis
	level      Demand
	trend      Demand // per second
	started    bool
	peaks      []peak
}

type peak struct {
	at     timekeeper.Millis
	demand Demand
}

// Observe adds a measured rate.
func (f *Forecast) Observe(now timekeeper.Millis, measured Demand) {
	if !f.started {
		f.started, f.observedAt, f.level = true, now, measured
		f.recordPeak(now)
		return
	}
	span := (now - f.observedAt).Seconds()
	if span <= 0 {
		return
	}
	before := f.level
	a := 1 - math.Exp(-span/levelTimeConstant.Seconds())
	f.level = f.level.Times(1 - a).Plus(measured.Times(a))
	b := 1 - math.Exp(-span/trendTimeConstant.Seconds())
	slope := f.level.Plus(before.Times(-1)).Times(1 / span)
	f.trend = f.trend.Times(1 - b).Plus(slope.Times(b))
	f.observedAt = now
	f.recordPeak(now)
}

// recordPeak records the larger of the current and the forecast demand, so that
// targets ordered for a forecast are not stopped as soon as the trend turns.
func (f *Forecast) recordPeak(now timekeeper.Millis) {
	demand := f.MaxUntil(trendDampingTime)
	if n := len(f.peaks); n > 0 && now-f.peaks[n-1].at < peakInterval {
		f.peaks[n-1].demand = maxDemand(f.peaks[n-1].demand, demand)
		return
	}
	f.peaks = append(f.peaks, peak{now, demand})
	for now-f.peaks[0].at > peakWindow {
		f.peaks = f.peaks[1:]
	}
}

func maxDemand(a, b Demand) Demand {
	return Demand{math.Max(a.Prefill, b.Prefill), math.Max(a.Decode, b.Decode)}
}

// After returns the demand expected after a time span.
func (f *Forecast) After(span timekeeper.Millis) Demand {
	reach := trendDampingTime.Seconds() * (1 - math.Exp(-span.Seconds()/trendDampingTime.Seconds()))
	return maxDemand(Demand{}, f.level.Plus(f.trend.Times(reach)))
}

// MaxUntil returns the larger of the current demand and that expected after a time span.
func (f *Forecast) MaxUntil(span timekeeper.Millis) Demand { return maxDemand(f.level, f.After(span)) }

// Peak returns the largest demand of the last five minutes.
func (f *Forecast) Peak() Demand {
	var d Demand
	for _, p := range f.peaks {
		d = maxDemand(d, p.demand)
	}
	return d
}
