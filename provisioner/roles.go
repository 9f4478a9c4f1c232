package provisioner

import (
	"math"
	"slices"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// assumedDecode is the share of engines that generate until the demand is known.
	assumedDecode = 0.25
	// lowSlack and highSlack are by how much the share may be off before roles are
	// changed: a change takes an engine away for seconds. Too few that generate hold up
	// all answers, one too many is missed by few readings.
	lowSlack  = 0.25
	highSlack = 0.5
	// fewest and greatest bound the share, so that a sudden change of the mix finds
	// engines of both roles.
	fewest   = 0.1
	greatest = 0.8
	// headroom is how many times the last peak engines are kept for, where there are
	// enough; it grows where runs slow each other down. What is left reads, because
	// readings wait behind each other, while runs share an engine.
	headroom = 1.5
)

// Need is the work that arrives for the engines of a service, in engines that are
// busy with it.
type Need struct {
	Known   bool
	Idle    bool // There is no work, so roles may change freely.
	Reading float64
	Running float64
	Engines float64 // Those that are there.
	// Slowdown is by how much longer a run takes on an engine that is half taken.
	Slowdown float64
}

// share returns the share of engines that are to generate, and whether it is known.
func (n Need) share() (float64, bool) {
	switch {
	case n.Known && n.Running+n.Reading > 0:
		work := max(n.Running+n.Reading, n.Engines/(headroom*(1+n.Slowdown)))
		return min(max(n.Running/work, fewest), greatest), true
	default:
		return assumedDecode, n.Idle
	}
}

// Engine is an engine with its work in flight.
type Engine struct {
	tracker.Target         // With the role that the engine was ordered to take.
	Work           float64 // Requests in flight.
	Taken          float64 // The part of its places or of its memory that they take.
	Changing       bool    // The ordered role is not taken yet.
	Changed        bool    // The role was taken a short time ago.
	Avoided        bool    // It takes no requests, so its work is not known.
}

// Roles returns the changes of role that leave a share of the engines to generate,
// spread over the data centres: one in each at least.
func Roles(engines []Engine, need Need) []SetRole {
	share, known := need.share()
	if !known {
		return nil // Roles that serve are not changed for an assumption.
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
		changes = append(changes, rolesOf(byCentre[c], share)...)
	}
	return changes
}

// rolesOf returns the changes in one data centre. Steady engines generate rather
// than reclaimable ones, and engines with little work change first.
func rolesOf(engines []Engine, share float64) []SetRole {
	least := max(int(math.Ceil((1-lowSlack)*share*float64(len(engines)))), 1)
	most := max(int(math.Floor((1+highSlack)*share*float64(len(engines)))), least)
	var decode, prefill []Engine
	for _, e := range engines {
		if e.Role == tracker.Decode {
			decode = append(decode, e)
		} else {
			prefill = append(prefill, e)
		}
	}
	changes := switchRoles(decode, len(decode)-most, tracker.Prefill, leaving(prefill))
	return append(changes, switchRoles(prefill, least-len(decode), tracker.Decode, leaving(decode))...)
}

// leaving reports whether one of the engines is still at work in the role that it leaves.
func leaving(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool { return e.Changing && e.Work > 0 })
}

// switchRoles returns orders for some of the engines to take a role. An engine whose last
// change is not complete takes no other, and of those that are at work only one at a
// time goes: it takes no requests until its running answers have ended.
func switchRoles(engines []Engine, count int, to tracker.Role, leaving bool) []SetRole {
	var changes []SetRole
	byFitness(engines, to == tracker.Decode)
	for _, e := range engines {
		if len(changes) >= count {
			break
		}
		if e.Changing {
			continue
		}
		if e.Work > 0 && leaving {
			break // The others changed lately, or work more.
		}
		leaving = leaving || e.Work > 0
		changes = append(changes, SetRole{e.Target, to})
	}
	return changes
}

// byFitness sorts engines by who is to change first.
func byFitness(engines []Engine, steadyFirst bool) {
	sort.Slice(engines, func(i, j int) bool {
		a, b := engines[i], engines[j]
		if a.Changed != b.Changed {
			return b.Changed
		}
		if a.Reclaimable != b.Reclaimable {
			return b.Reclaimable == steadyFirst
		}
		if a.Work != b.Work {
			return a.Work < b.Work
		}
		return a.ID < b.ID
	})
}
