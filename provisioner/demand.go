package provisioner

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// demandShare is the weight of the newest look at the fleet in the mean; with the
	// interval of the looks the mean spans about two seconds.
	demandShare = 0.25
	// peakLife is the time in which the memory of a peak falls to 1/e. Roles change
	// more slowly than a mix swings, so engines are kept for the last swings.
	peakLife = 30 * timekeeper.Second
	// enoughLooks is the number of looks at a working fleet after which the demand
	// counts as known.
	enoughLooks = 12
)

// demand is the work of a service's engines.
type demand struct {
	looks int
	mean  float64 // Engines that the runs in flight fill.
	peak  float64 // The highest mean, fading.
	reads float64 // The most engines that arriving readings kept busy, fading.
}

// look adds the runs that are in flight now, and the readings that arrive.
func (d *demand) look(engines []Engine, reading float64) {
	running := 0.0
	for _, e := range engines {
		if e.Role == tracker.Decode && !e.Changing && !e.Avoided {
			running += e.Taken
		}
	}
	if d.looks == 0 && running == 0 {
		return // The traffic has not started.
	}
	d.looks++
	d.mean += demandShare * (running - d.mean)
	fading := math.Exp(-float64(interval) / float64(peakLife))
	d.peak = max(d.mean, d.peak*fading)
	d.reads = max(reading, d.reads*fading)
}

// need returns the work that arrives for engines of which so much is learned.
func (d *demand) need(p profiler.Profile, engines []Engine) Need {
	idle := true
	for _, e := range engines {
		idle = idle && (e.Work == 0 || e.Avoided)
	}
	return Need{
		Known: p.Known && d.looks >= enoughLooks, Idle: idle, Engines: float64(len(engines)), Slowdown: p.Slowdown,
		Reading: d.reads, Running: d.peak,
	}
}
