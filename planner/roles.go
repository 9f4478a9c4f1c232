package planner

import "github.com/gypsumwharf/gypsumwharf/declarer"

// fleet is the capacity of a data centre by role, in tokens per second. Mixed
// engines divide their time between both kinds of work.
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

// with adds an engine (or takes it away, at factor -1, unless it is mixed).
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

// served returns the share of a demand that the fleet serves: a request needs
// both its prefill and its decode.
func (f fleet) served(d Demand) float64 {
	low, high := 0.0, 1.0
	if f.serves(d, 1) {
		return 1
	}
	// 20 halvings give the share to one in a million.
	for range 20 {
		if middle := (low + high) / 2; f.serves(d, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func (f fleet) serves(d Demand, share float64) bool {
	p, q := d.Prefill*share-f.prefill, d.Decode*share-f.decode
	for _, speed := range f.mixed {
		time := 1.0
		if p > 0 {
			used := min(time, p/speed.Prefill)
			p, time = p-used*speed.Prefill, time-used
		}
		if q > 0 && time > 0 {
			q -= min(time, q/speed.Decode) * speed.Decode
		}
	}
	return p <= 1e-9 && q <= 1e-9
}

// budget returns how many role changes are left: at most MaxChanges in any Window.
func budget(v View, p Policy) int {
	left := p.MaxChanges
	for _, c := range v.Changes {
		if v.Now-c.At < p.Window {
			left--
		}
	}
	return left
}

// changeRoles returns the role changes that pay off within the budget, the best
// first. The least gain grows with each change of the budget that is used, so
// that short bursts do not use up what the next swing needs.
func changeRoles(v View, p Policy, leaving map[string]bool) []Decision {
	var decisions []Decision
	load := v.Coming.Plus(v.Queued.Times(1 / p.Horizon.Seconds()))
	targets := append([]Target(nil), v.Targets...)
	for left := budget(v, p); left > 0; left-- {
		capacity := fleetOf(targets, leaving).withReturning(v, targets)
		best, gain := -1, p.MinGain*float64(1+p.MaxChanges-left)
		var role declarer.TargetRole
		for i, t := range targets {
			if !movable(v, p, t) || leaving[t.Name] || !spare(targets, t) {
				continue
			}
			to := other(t.Role)
			if g := worth(capacity, load, t, to, p); g > gain {
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

// withReturning adds the engines that are changing: they serve in their new role
// for most of the horizon, and without them every plan would change one more.
func (f fleet) withReturning(v View, targets []Target) fleet {
	for _, t := range targets {
		if t.State == Changing {
			f = f.with(t.Role, t.Speed, 1)
		}
	}
	return f
}

func movable(v View, p Policy, t Target) bool {
	return t.usable() && !v.Busy[t.Name] && t.Role != declarer.TargetRoleMixed && v.Now-t.RoleSince >= p.MinStay
}

func other(r declarer.TargetRole) declarer.TargetRole {
	if r == declarer.TargetRolePrefill {
		return declarer.TargetRoleDecode
	}
	return declarer.TargetRolePrefill
}

// spare reports whether the engines that stay in the role of t can run what runs
// in it now, t's own requests included.
func spare(targets []Target, t Target) bool {
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

// worth returns what a role change gains over the horizon less what it loses
// while the engine is out of service, in seconds of the whole service.
func worth(f fleet, load Demand, t Target, to declarer.TargetRole, p Policy) float64 {
	without := f.with(t.Role, t.Speed, -1)
	changed := without.with(to, t.Speed, 1)
	now := f.served(load)
	out, in := p.RoleLoss.Seconds(), (p.Horizon - p.RoleLoss).Seconds()
	return in*(changed.served(load)-now) - out*(now-without.served(load))
}
