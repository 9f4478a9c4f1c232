package planner

import (
	"sort"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Fate is what happens to a running request when its target is withdrawn.
type Fate string

// Fates of a running request.
const (
	// Finish lets the request run to its end on the target.
	Finish Fate = "finish"
	// Resume carries a begun stream on elsewhere, from the exported KV cache.
	Resume Fate = "resume"
	// Move runs the request again elsewhere.
	Move Fate = "move"
	// Risk lets a request run that may neither move nor end in time; if it breaks, its caller sees so.
	Risk Fate = "risk"
)

// withdrawalReserve is kept free before a target goes, for answers on the way.
const withdrawalReserve = 500 * timekeeper.Millisecond

// Work is a running request as a withdrawal sees it.
type Work struct {
	Request string
	// Priority is that of the request's class; 9 is the most urgent.
	Priority   int
	Idempotent bool
	// Begun tells that output already reached the caller.
	Begun bool
	// Remaining is the time that the request still needs, Export the time to
	// export its KV cache; 0 means that the engine cannot export it.
	Remaining timekeeper.Millis
	Export    timekeeper.Millis
}

// Settled is a running request with its fate.
type Settled struct {
	Work Work
	Fate Fate
}

// Withdraw returns the fates of the requests of a target that goes after a span,
// the most urgent class first. Exports run one after another, so the urgent ones
// get the time that there is. A request that is not idempotent never moves,
// because it runs at most once.
func Withdraw(works []Work, after timekeeper.Millis) []Settled {
	sorted := append([]Work(nil), works...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Priority > sorted[j].Priority })
	left := after - withdrawalReserve
	exported := timekeeper.Millis(0)
	settled := make([]Settled, 0, len(sorted))
	for _, w := range sorted {
		fate := Move
		switch {
		case w.Remaining <= left:
			fate = Finish
		case !w.Idempotent:
			fate = Risk
		case w.Begun && w.Export > 0 && exported+w.Export <= left:
			fate = Resume
			exported += w.Export
		case w.Begun:
			fate = Risk
		}
		settled = append(settled, Settled{w, fate})
	}
	return settled
}

// Harmless reports whether work may run on a reclaimable target: it may be
// repeated, and the deadline leaves time to run it again after a withdrawal.
func Harmless(idempotent bool, expected, deadline timekeeper.Millis) bool {
	return idempotent && deadline >= 2*expected+withdrawalReserve
}
