package planner

import "github.com/gypsumwharf/gypsumwharf/declarer"

// fleet is the capacity of a data centre by role, in tokens per second. Mixed
// engines divide their time between prefill and decode.
type fleet struct {
	prefill float64
	decode  float64
	mixed   []Demand
}

func fleetOf(targets []Target, leaving map[string]bool) fleet {
	var f fleet
	for _, t := range targets {
		if t.usable() && !leaving[t.Name] {
			f = f.with(t.Role, t.Speed, 1)
		}
	}
	return f
}

// with adds an engine. A factor of -1 removes it, unless it is mixed.
func (f fleet) with(role declarer.TargetRole, speed Demand, factor float64) fleet {
	switch role {
	case declarer.TargetRolePrefill:
		f.prefill += speed.Prefill * factor
	case declarer.TargetRoleDecode:
		f.decode += speed.Decode * factor
	default:
		f.mixed = append(f.mixed[:len(f.mixed):len(f.mixed)], speed)
	}
	return f
}

// servedShare returns the share of a demand that the fleet can serve. A request
// needs both prefill and decode.
func (f fleet) servedShare(d Demand) float64 {
	low, high := 0.0, 1.0
	if f.canServe(d, 1) {
		return 1
	}
	// 20 bisections give the share to one in a million.
	for range 20 {
		if middle := (low + high) / 2; f.canServe(d, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func (f fleet) canServe(d Demand, share float64) bool {
	prefillLeft, decodeLeft := d.Prefill*share-f.prefill, d.Decode*share-f.decode
	for _, speed := range f.mixed {
		timeLeft := 1.0
		if prefillLeft > 0 {
			used := min(timeLeft, prefillLeft/speed.Prefill)
			prefillLeft, timeLeft = prefillLeft-used*speed.Prefill, timeLeft-used
		}
		if decodeLeft > 0 && timeLeft > 0 {
			decodeLeft -= min(timeLeft, decodeLeft/speed.Decode) * speed.Decode
		}
	}
	return prefillLeft <= 1e-9 && decodeLeft <= 1e-9
}

// remainingChanges returns how many role changes are allowed now: at most
// MaxChanges in any Window.
func remainingChanges(v View, p Policy) int {
	remaining := p.MaxChanges
	for _, c := range v.Changes {
		if v.Now-c.At < p.Window {
			remaining--
		}
	}
	return remaining
}

// changeRoles returns the role changes that pay off, the best first, within the
// role change budget. The minimum gain grows with each used change of the budget,
// so that short bursts leave changes for the next swing.
func changeRoles(v View, p Policy, leaving map[string]bool) []Decision {
	var decisions []Decision
	load := v.ExpectedDemand.Plus(v.QueuedWork.Times(1 / p.Horizon.Seconds()))
	targets := append([]Target(nil), v.Targets...)
	for remaining := remainingChanges(v, p); remaining > 0; remaining-- {
		capacity := fleetOf(targets, leaving).withChanging(v, targets)
		best, gain := -1, p.MinGain*float64(1+p.MaxChanges-remaining)
		var role declarer.TargetRole
		for i, t := range targets {
			if !canChangeRole(v, p, t) || leaving[t.Name] || !canSpare(targets, t) {
				continue
			}
			to := otherRole(t.Role)
			if g := changeGain(capacity, load, t, to, p); g > gain {
				best, gain, role = i, g, to
			}
		}
		if best < 0 {
			break
		}
		decisions = append(decisions, ChangeRole{Target: targets[best].Name, Role: role})
		targets[best].Role, targets[best].State = role, Changing
	}
	return decisions
}

// withChanging adds the engines that are changing. They serve in their new role for
// most of the horizon, and without them every plan would change one more.
func (f fleet) withChanging(v View, targets []Target) fleet {
	for _, t := range targets {
		if t.State == Changing {
			f = f.with(t.Role, t.Speed, 1)
		}
	}
	return f
}

func canChangeRole(v View, p Policy, t Target) bool {
	return t.usable() && !v.Busy[t.Name] && t.Role != declarer.TargetRoleMixed && v.Now-t.RoleSince >= p.MinRoleTime
}

func otherRole(r declarer.TargetRole) declarer.TargetRole {
	if r == declarer.TargetRolePrefill {
		return declarer.TargetRoleDecode
	}
	return declarer.TargetRolePrefill
}

// canSpare reports whether the other engines in the role of t can carry the current
// load of the role, including that of t.
func canSpare(targets []Target, t Target) bool {
	var capacity, running Demand
	others := 0
	for _, u := range targets {
		if u.Role != t.Role || !u.usable() {
			continue
		}
		running = running.Plus(u.Load)
		if u.Name != t.Name {
			others++
			capacity = capacity.Plus(u.Speed)
		}
	}
	if t.Role == declarer.TargetRolePrefill {
		return others > 0 && capacity.Prefill >= running.Prefill
	}
	return others > 0 && capacity.Decode >= running.Decode
}

// changeGain returns the net gain of a role change over the horizon, less the loss
// while the engine is out of service, in seconds of the service of the whole load.
func changeGain(f fleet, load Demand, t Target, to declarer.TargetRole, p Policy) float64 {
	without := f.with(t.Role, t.Speed, -1)
	changed := without.with(to, t.Speed, 1)
	now := f.servedShare(load)
	out, in := p.RoleChangeTime.Seconds(), (p.Horizon - p.RoleChangeTime).Seconds()
	return in*(changed.servedShare(load)-now) - out*(now-without.servedShare(load))
}
