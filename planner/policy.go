package planner

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Policy holds the constants of the decisions; zero values take the defaults.
type Policy struct {
	// Horizon is the time over which a role change must pay off.
	Horizon timekeeper.Millis
	// RoleLoss is how long a role change takes an engine out of service: drain,
	// change and warm-up.
	RoleLoss timekeeper.Millis
	// MinGain is the least gain of a role change, in seconds of the whole service
	// over the horizon beyond the seconds lost. It keeps noise from changing roles.
	MinGain float64
	// MinStay is how long an engine keeps a role at least.
	MinStay timekeeper.Millis
	// MaxChanges is the number of role changes in Window in the data centre.
	MaxChanges int
	Window     timekeeper.Millis
	// Utilisation is the share of capacity that is planned for; the rest absorbs noise.
	Utilisation float64
	// Delivery is the time from an order to a serving target.
	Delivery timekeeper.Millis
	// KeepAtLeast is how long a delivered target is kept.
	KeepAtLeast timekeeper.Millis
	// SteadyFloor is the least number of steady targets.
	SteadyFloor int
	// Downloads is the number of models that are loaded at once.
	Downloads int
}

// WithDefaults returns the policy with its zero values replaced.
func (p Policy) WithDefaults() Policy {
	fill(&p.Horizon, 180*timekeeper.Second)
	fill(&p.RoleLoss, 40*timekeeper.Second)
	fill(&p.MinGain, 8)
	fill(&p.MinStay, 120*timekeeper.Second)
	fill(&p.MaxChanges, 3)
	fill(&p.Window, 10*timekeeper.Minute)
	fill(&p.Utilisation, 0.85)
	fill(&p.Delivery, 3*timekeeper.Minute)
	fill(&p.KeepAtLeast, 5*timekeeper.Minute)
	fill(&p.SteadyFloor, 1)
	fill(&p.Downloads, 2)
	return p
}

func fill[T int | float64 | timekeeper.Millis](field *T, byDefault T) {
	if *field == 0 {
		*field = byDefault
	}
}
