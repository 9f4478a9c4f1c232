package planner

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Time constants of the forecast.
const (
	// levelTime smooths the noise of single requests and bursts of half a minute; at
	// 20 s bursts used up the role change budget.
	levelTime = 40 * timekeeper.Second
	// trendTime is longer, because a trend is the difference of two noisy levels.
	trendTime = 60 * timekeeper.Second
	// trendReach bounds how far a trend is carried on: swings end within minutes.
	trendReach = 90 * timekeeper.Second
	// peakTime is how long a peak keeps targets from being given back.
	peakTime = 5 * timekeeper.Minute
	peakStep = 10 * timekeeper.Second
)

// Forecast predicts one demand from its measurements by a level and a damped trend.
type Forecast struct {
	at    timekeeper.Millis
	level Demand
	trend Demand // per second
	begun bool
	peaks []peak
}

type peak struct {
	at     timekeeper.Millis
	demand Demand
}

// Observe takes a measured rate.
func (f *Forecast) Observe(now timekeeper.Millis, measured Demand) {
	if !f.begun {
		f.begun, f.at, f.level = true, now, measured
		f.notePeak(now)
		return
	}
	span := (now - f.at).Seconds()
	if span <= 0 {
		return
	}
	before := f.level
	a := 1 - math.Exp(-span/levelTime.Seconds())
	f.level = f.level.Times(1 - a).Plus(measured.Times(a))
	b := 1 - math.Exp(-span/trendTime.Seconds())
	slope := f.level.Plus(before.Times(-1)).Times(1 / span)
	f.trend = f.trend.Times(1 - b).Plus(slope.Times(b))
	f.at = now
	f.notePeak(now)
}

// notePeak counts what was forecast too: targets that were ordered for it are not
// given back as soon as the trend turns.
func (f *Forecast) notePeak(now timekeeper.Millis) {
	demand := f.Ahead(trendReach)
	if n := len(f.peaks); n > 0 && now-f.peaks[n-1].at < peakStep {
		f.peaks[n-1].demand = larger(f.peaks[n-1].demand, demand)
		return
	}
	f.peaks = append(f.peaks, peak{now, demand})
	for now-f.peaks[0].at > peakTime {
		f.peaks = f.peaks[1:]
	}
}

func larger(a, b Demand) Demand {
	return Demand{math.Max(a.Prefill, b.Prefill), math.Max(a.Decode, b.Decode)}
}

// After returns the demand expected after a span.
func (f *Forecast) After(span timekeeper.Millis) Demand {
	reach := trendReach.Seconds() * (1 - math.Exp(-span.Seconds()/trendReach.Seconds()))
	return larger(Demand{}, f.level.Plus(f.trend.Times(reach)))
}

// Ahead returns the larger of the demand now and after a span.
func (f *Forecast) Ahead(span timekeeper.Millis) Demand { return larger(f.level, f.After(span)) }

// Peak returns the largest demand of the last five minutes.
func (f *Forecast) Peak() Demand {
	var d Demand
	for _, p := range f.peaks {
		d = larger(d, p.demand)
	}
	return d
}
