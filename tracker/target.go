package tracker

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Role says which part of a request an engine serves.
type Role int

// Roles of targets.
const (
	Whole   Role = iota // Reads prompts and generates; plain services are always so.
	Prefill             // Reads prompts only.
	Decode              // Generates; reads prompts slowly.
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	default:
		return "whole"
	}
}

// Target is what a target says of itself in the store.
type Target struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	Leaving     bool
	Role        Role
	Reclaimable bool
	// Started is the start of the target's process; it tells two lives under one ID apart.
	Started timekeeper.Millis
}

// Load is what an answer tells about the target that gave it.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Outcome is how an attempt at a target ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered    Outcome = iota // A whole answer came.
	Failed                     // The target answered with a failure of its own.
	Rejected                   // The target said that it did not run the request.
	Elsewhere                  // Another target has the address now.
	Unreachable                // No connection could be made.
	Broken                     // The connection ended before the answer was whole.
	Silent                     // Nothing came in time.
	Spoiled                    // The bytes were no answer to this request.
	Cancelled                  // The caller went away.
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "rejected", "elsewhere", "unreachable", "broken", "silent", "spoiled", "cancelled"}[o]
}

// Work is what an attempt asks of its target.
type Work struct {
	Effort int  // Microseconds of a usual engine to read the prompt.
	Memory int  // Tokens of the prompt.
	Late   bool // The target does it after all work that is not late.
}
