package planner

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Policy holds the parameters of a plan. Zero values mean the defaults.
type Policy struct {
	// Horizon is the time over which a role change must pay off.
	Horizon timekeeper.Millis
	// RoleChangeTime is how long a role change takes an engine out of service: drain,
	// change and warm-up.
	RoleChangeTime timekeeper.Millis
	// MinGain is the smallest net gain of a role change over the horizon, in seconds
	// of the service of the whole demand. It prevents role changes caused by noise.
	MinGain float64
	// MinRoleTime is the shortest time between two role changes of an engine.
	MinRoleTime timekeeper.Millis
	// MaxChanges is the largest number of role changes in the data centre within
	// any Window.
	MaxChanges int
	Window     timekeeper.Millis
	// Utilisation is the share of capacity that is planned for; the rest absorbs noise.
	Utilisation float64
	// Delivery is the time from an order to a serving target.
	Delivery timekeeper.Millis
	// MinLifetime is the shortest time that a delivered target is kept.
	MinLifetime timekeeper.Millis
	// MinOnDemand is the smallest number of on-demand targets.
	MinOnDemand int
	// MaxDownloads is the largest number of concurrent model downloads.
	MaxDownloads int
}

// WithDefaults returns the policy with its zero values replaced.
func (p Policy) WithDefaults() Policy {
	setDefault(&p.Horizon, 180*timekeeper.Second)
	setDefault(&p.RoleChangeTime, 40*timekeeper.Second)
	setDefault(&p.MinGain, 8)
	setDefault(&p.MinRoleTime, 120*timekeeper.Second)
	setDefault(&p.MaxChanges, 3)
	setDefault(&p.Window, 10*timekeeper.Minute)
	setDefault(&p.Utilisation, 0.85)
	setDefault(&p.Delivery, 3*timekeeper.Minute)
	setDefault(&p.MinLifetime, 5*timekeeper.Minute)
	setDefault(&p.MinOnDemand, 1)
	setDefault(&p.MaxDownloads, 2)
	return p
}

func setDefault[T int | float64 | timekeeper.Millis](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
