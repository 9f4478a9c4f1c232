package provisioner

import (
	"math"
	"slices"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// defaultDecodeShare is the share of engines that decode until the demand is known.
	defaultDecodeShare = 0.25
	// lowerTolerance and upperTolerance are by how much, as a share, the number of decode
	// engines may deviate before roles are changed: a change makes an engine unavailable
	// for seconds. The lower one is smaller because too few decode engines delay all
	// answers, while one too many delays only a few prefills.
	lowerTolerance = 0.25
	upperTolerance = 0.5
	// minDecodeShare and maxDecodeShare bound the share, so that engines of both roles
	// are there when the traffic mix changes suddenly.
	minDecodeShare = 0.1
	maxDecodeShare = 0.8
	// headroom is the multiple of the recent peak for which decode engines are kept, where
	// there are enough engines; it grows where concurrent decodes slow each other down.
	// The remaining engines prefill, because prefills queue behind each other, while
	// decodes share an engine.
	headroom = 1.5
)

// Demand is the work that arrives for the engines of a service, measured in engines
// kept busy by it.
type Demand struct {
	Known   bool
	Idle    bool // No requests are in flight, so roles may change freely.
	Prefill float64
	Decode  float64
	Engines float64 // Number of engines present.
	// Slowdown is by how much, as a share, a decode takes longer at half utilization of
	// an engine than on an empty one.
	Slowdown float64
}

// decodeShare returns the desired share of decode engines and whether roles may be
// changed to reach it.
func (d Demand) decodeShare() (float64, bool) {
	switch {
	case d.Known && d.Decode+d.Prefill > 0:
		required := max(d.Decode+d.Prefill, d.Engines/(headroom*(1+d.Slowdown)))
		return min(max(d.Decode/required, minDecodeShare), maxDecodeShare), true
	default:
		return defaultDecodeShare, d.Idle
	}
}

// Engine is a target with its role, load and pending change of role.
type Engine struct {
	tracker.Target          // Its Role is the one that the engine was ordered to take.
	InFlight        float64 // Requests in flight.
	Utilization     float64 // Share of its slots or of its KV cache that they use, whichever is larger.
	Changing        bool    // The engine has not taken the ordered role yet.
	RecentlyChanged bool    // The engine took its role within changeCooldown.
	Excluded        bool    // Excluded from routing, so its load says nothing about the demand.
}

// PlanRoles returns the changes of role that give the desired share of the engines in
// each data centre, and at least one, the decode role.
func PlanRoles(engines []Engine, demand Demand) []SetRole {
	share, known := demand.decodeShare()
	if !known {
		return nil // Engines that serve requests keep their roles until the demand is known.
	}
	byCentre := map[string][]Engine{}
	var centres []string
	for _, e := range engines {
		if len(byCentre[e.DataCentre]) == 0 {
			centres = append(centres, e.DataCentre)
		}
		byCentre[e.DataCentre] = append(byCentre[e.DataCentre], e)
	}
	sort.Strings(centres)
	var changes []SetRole
	for _, c := range centres {
		changes = append(changes, balanceRoles(byCentre[c], share)...)
	}
	return changes
}

// balanceRoles returns the changes in one data centre. On-demand engines are preferred
// for decode, and engines with few requests in flight change first.
func balanceRoles(engines []Engine, share float64) []SetRole {
	minDecode := max(int(math.Ceil((1-lowerTolerance)*share*float64(len(engines)))), 1)
	maxDecode := max(int(math.Floor((1+upperTolerance)*share*float64(len(engines)))), minDecode)
	var decode, prefill []Engine
	for _, e := range engines {
		if e.Role == tracker.Decode {
			decode = append(decode, e)
		} else {
			prefill = append(prefill, e)
		}
	}
	changes := switchRoles(decode, len(decode)-maxDecode, tracker.Prefill, anyDraining(prefill))
	return append(changes, switchRoles(prefill, minDecode-len(decode), tracker.Decode, anyDraining(decode))...)
}

// anyDraining reports whether one of the engines still serves requests in its previous role.
func anyDraining(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool { return e.Changing && e.InFlight > 0 })
}

// switchRoles returns orders for up to count of the engines to take a role. An engine
// whose last change is not complete gets no new order. Of the engines with requests in
// flight only one changes at a time, because it accepts none until these have finished.
func switchRoles(engines []Engine, count int, to tracker.Role, draining bool) []SetRole {
	var changes []SetRole
	sortForSwitch(engines, to == tracker.Decode)
	for _, e := range engines {
		if len(changes) >= count {
			break
		}
		if e.Changing {
			continue
		}
		if e.InFlight > 0 && draining {
			break // The remaining engines changed recently or have more requests in flight.
		}
		draining = draining || e.InFlight > 0
		changes = append(changes, SetRole{e.Target, to})
	}
	return changes
}

// sortForSwitch sorts engines so that the one to change first comes first.
func sortForSwitch(engines []Engine, onDemandFirst bool) {
	sort.Slice(engines, func(i, j int) bool {
		a, b := engines[i], engines[j]
		if a.RecentlyChanged != b.RecentlyChanged {
			return b.RecentlyChanged
		}
		if a.Reclaimable != b.Reclaimable {
			return b.Reclaimable == onDemandFirst
		}
		if a.InFlight != b.InFlight {
			return a.InFlight < b.InFlight
		}
		return a.ID < b.ID
	})
}
