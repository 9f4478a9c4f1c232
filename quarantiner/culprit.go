package quarantiner

import (
	"cmp"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// minCulpritCrashes is the number of crashes after which a part is quarantined.
	minCulpritCrashes = 2
	// maxCulpritParts bounds the parts of a culprit.
	maxCulpritParts = 12
	// firstHold is the time from the last crash to a trial of a part with the fewest
	// crashes; each further crash doubles it, up to maxHold.
	firstHold = 30 * timekeeper.Second
	maxHold   = 10 * timekeeper.Minute
	// maxDoublings keeps the hold within its type.
	maxDoublings = 10
)

// culprit is a set of parts that were together in several crashes. Prompts that hold
// all of them are refused.
type culprit struct {
	parts   []Part // Sorted.
	crashes int
	lastAt  timekeeper.Reading // Time of the last crash.
}

// hold returns the time from the last crash to a trial.
func (k culprit) hold() timekeeper.Millis {
	return min(firstHold<<min(k.crashes-minCulpritCrashes, maxDoublings), maxHold)
}

func (k culprit) sameParts(o culprit) bool { return slices.Equal(k.parts, o.parts) }

// findCulprits attributes crashes to as few parts as possible: the part that was in most
// crashes first, then the one in most of the others. Parts that were in the same crashes
// can't be told apart, so they are one culprit.
func findCulprits(crashes []*partCrash) []culprit {
	var culprits []culprit
	unexplained := slices.Clone(crashes)
	for {
		counts := map[Part]int{}
		for _, c := range unexplained {
			for _, id := range c.parts {
				counts[id]++
			}
		}
		worst, most := worstPart(counts)
		if most < minCulpritCrashes {
			return culprits
		}
		caused, rest := partition(unexplained, worst)
		culprits, unexplained = append(culprits, newCulprit(caused)), rest
	}
}

// partition returns the crashes with a part and those without.
func partition(crashes []*partCrash, id Part) (with, without []*partCrash) {
	for _, c := range crashes {
		if _, ok := slices.BinarySearch(c.parts, id); ok {
			with = append(with, c)
		} else {
			without = append(without, c)
		}
	}
	return with, without
}

// newCulprit returns the parts that several crashes have in common. A request that was
// repeated was in several crashes like the parts of its prompt; it is blamed only if
// none of these is left.
func newCulprit(crashes []*partCrash) culprit {
	k := culprit{parts: crashes[0].parts, crashes: len(crashes), lastAt: crashes[0].at}
	for _, c := range crashes[1:] {
		k.parts = intersect(k.parts, c.parts)
		if c.at.Monotonic > k.lastAt.Monotonic {
			k.lastAt = c.at
		}
	}
	if shared := slices.DeleteFunc(slices.Clone(k.parts), Part.isWhole); len(shared) > 0 {
		k.parts = shared
	}
	k.parts = k.parts[:min(len(k.parts), maxCulpritParts)]
	return k
}

// worstPart returns the part with the highest count; of several the first in order.
func worstPart(counts map[Part]int) (worst Part, most int) {
	for id, n := range counts {
		if cmp.Or(cmp.Compare(n, most), cmp.Compare(worst, id)) > 0 {
			worst, most = id, n
		}
	}
	return worst, most
}

// intersect returns the parts that are in both sorted lists.
func intersect(a, b []Part) []Part {
	var both []Part
	for _, id := range a {
		if _, ok := slices.BinarySearch(b, id); ok {
			both = append(both, id)
		}
	}
	return both
}

func holdsAll(parts, wanted []Part) bool {
	return !slices.ContainsFunc(wanted, func(id Part) bool { return !slices.Contains(parts, id) })
}
