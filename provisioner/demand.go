package provisioner

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/resolver"
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
	mean  float64 // Runs in flight.
	peak  float64 // The highest mean, fading.
}

// look adds the runs that are in flight now.
func (d *demand) look(engines []Engine) {
	running := 0.0
	for _, e := range engines {
		if e.Role == tracker.Decode && !e.Changing && !e.Avoided {
			running += e.Work
		}
	}
	if d.looks == 0 && running == 0 {
		return // The traffic has not started.
	}
	d.looks++
	d.mean += demandShare * (running - d.mean)
	d.peak = max(d.mean, d.peak*math.Exp(-float64(interval)/float64(peakLife)))
}

// need returns the work that arrives, by what was learned and published of the engines.
func (d *demand) need(p profiler.Profile, published resolver.Engine, engines []Engine) Need {
	idle := true
	slots := 1
	for _, e := range engines {
		idle = idle && (e.Work == 0 || e.Avoided)
		slots = max(slots, e.Slots)
	}
	n := Need{Known: p.Known && d.looks >= enoughLooks, Idle: idle, Reading: p.Reading, Running: d.peak / float64(slots), Engines: float64(len(engines))}
	if published.Memory > 0 {
		n.Running = max(n.Running, d.peak*p.Memory/float64(published.Memory))
	}
	return n
}
