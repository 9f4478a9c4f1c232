package provisioner

import (
	"math"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// leastDecode and mostDecode bound the share of engines that generate. A dossier
	// of 9,000 tokens keeps a reading engine for 20 ms and a generating one for
	// hardly any time; a chat holds one of 64 places for three seconds. A change of
	// role takes an engine away for seconds, so any share in between is left as it is.
	leastDecode = 0.2
	mostDecode  = 0.34
)

// Engine is an engine with its work in flight.
type Engine struct {
	tracker.Target // With the role that the engine was ordered to take.
	Work           float64
	Changing       bool // The ordered role is not taken yet.
	Changed        bool // The role was taken a short time ago.
}

// Roles returns the changes of role that leave a share of the engines to generate,
// spread over the data centres: one in each at least.
func Roles(engines []Engine) []SetRole {
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
		changes = append(changes, rolesOf(byCentre[c])...)
	}
	return changes
}

// rolesOf returns the changes in one data centre. Steady engines generate rather
// than reclaimable ones, and engines with little work change first.
func rolesOf(engines []Engine) []SetRole {
	least := max(int(math.Ceil(leastDecode*float64(len(engines)))), 1)
	most := max(int(math.Floor(mostDecode*float64(len(engines)))), least)
	var decode, prefill []Engine
	for _, e := range engines {
		if e.Role == tracker.Decode {
			decode = append(decode, e)
		} else {
			prefill = append(prefill, e)
		}
	}
	changes := switchRoles(decode, len(decode)-most, tracker.Prefill)
	return append(changes, switchRoles(prefill, least-len(decode), tracker.Decode)...)
}

// switchRoles returns orders for some of the engines to take a role. An engine whose last
// change is not complete takes no other.
func switchRoles(engines []Engine, count int, to tracker.Role) []SetRole {
	var changes []SetRole
	byFitness(engines, to == tracker.Decode)
	for _, e := range engines {
		if len(changes) >= count {
			break
		}
		if !e.Changing {
			changes = append(changes, SetRole{e.Target, to})
		}
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
