package tracker

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Role says which part of a request an engine serves.
type Role int

// Roles of targets.
const (
	PrefillAndDecode Role = iota // Prefill and decode; targets of plain services have this role.
	Prefill                      // Prefill only.
	Decode                       // Decode, and slow prefill.
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

// Target is a target's entry in the store.
type Target struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	Leaving     bool
	Role        Role
	Reclaimable bool
	// Started is the start time of the target's process. It distinguishes processes
	// that had the same ID.
	Started timekeeper.Millis
}

// Load is the load that a target reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Report is what a target says of itself with an answer.
type Report struct {
	Load *Load // Nil if it reports none.
	// Slowness is how long work takes at the target at the moment, as a multiple of the
	// usual time; 0 if it does not report that.
	Slowness float64
	// Leaving means that the target is about to end and wants no new requests.
	Leaving bool
	// Pause is how long the target wants no requests from this instance; 0 if it asks for
	// no pause.
	Pause timekeeper.Millis
	// InvalidPause is a pause that cannot be understood, as the target sent it.
	InvalidPause string
}

// Outcome is how an attempt at a target ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered       Outcome = iota // The whole answer was received.
	Failed                        // The target answered with an error of its own.
	Rejected                      // The target reported that it did not run the request.
	AddressReused                 // Another target has the address now.
	Unreachable                   // No connection could be established.
	ConnectionLost                // The connection ended before the answer was whole.
	TimedOut                      // Nothing was received before the timeout.
	InvalidAnswer                 // What was received is not an answer to this request.
	Cancelled                     // The caller cancelled the request.
	LocalFailure                  // The instance itself could not open a connection.
	Withheld                      // The instance sent nothing, as the target holds too much of what it was sent.
)

// Connected reports whether the attempt had a connection to the target.
func (o Outcome) Connected() bool { return o != Unreachable && o != LocalFailure && o != Withheld }

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "rejected", "elsewhere", "unreachable", "broken", "silent", "spoiled", "cancelled", "local-failure", "withheld"}[o]
}

// Work is the load that an attempt puts on its target.
type Work struct {
	PrefillWork  int  // Prefill work, in microseconds of a reference engine.
	PromptTokens int  // Tokens of the prompt.
	LowPriority  bool // Low priority: the target does it after all other work.
}
