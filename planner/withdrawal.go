package planner

import (
	"sort"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// WithdrawalAction is what happens to a running request when its target is
// withdrawn.
type WithdrawalAction string

// Actions for a running request.
const (
	// Finish lets the request complete on the target.
	Finish WithdrawalAction = "finish"
	// Resume continues a started stream on another target, from the exported KV cache.
	Resume WithdrawalAction = "resume"
	// Rerun runs the request again on another target.
	Rerun WithdrawalAction = "move"
	// LeaveRunning leaves a request running that can neither be rerun or resumed nor
	// complete in time. If it breaks, the failure is reported to its caller.
	LeaveRunning WithdrawalAction = "risk"
)

// withdrawalReserve is left for answers in transit before a target is gone.
const withdrawalReserve = 500 * timekeeper.Millisecond

// RunningRequest is a request that runs on a withdrawn target.
type RunningRequest struct {
	ID string
	// Priority is that of the request's class; 9 is the most urgent.
	Priority   int
	Idempotent bool
	// Started means that output already reached the caller.
	Started bool
	// Remaining is the time that the request still needs, ExportTime the time to
	// export its KV cache; 0 means that the engine cannot export it.
	Remaining  timekeeper.Millis
	ExportTime timekeeper.Millis
}

// WithdrawalStep is a running request and the action for it.
type WithdrawalStep struct {
	Request RunningRequest
	Action  WithdrawalAction
}

// PlanWithdrawal returns the actions for the requests of a target that is withdrawn
// after a time span, the most urgent class first. Exports run one after another, so
// the urgent ones get the available time. A request that is not idempotent is never
// rerun, because it must run at most once.
func PlanWithdrawal(requests []RunningRequest, after timekeeper.Millis) []WithdrawalStep {
	sorted := append([]RunningRequest(nil), requests...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Priority > sorted[j].Priority })
	usable := after - withdrawalReserve
	exported := timekeeper.Millis(0)
	steps := make([]WithdrawalStep, 0, len(sorted))
	for _, w := range sorted {
		action := Rerun
		switch {
		case w.Remaining <= usable:
			action = Finish
		case !w.Idempotent:
			action = LeaveRunning
		case w.Started && w.ExportTime > 0 && exported+w.ExportTime <= usable:
			action = Resume
			exported += w.ExportTime
		case w.Started:
			action = LeaveRunning
		}
		steps = append(steps, WithdrawalStep{w, action})
	}
	return steps
}

// Preemptible reports whether a request is preemptible and may run on a reclaimable
// target: it is idempotent, and its deadline leaves time to rerun it after a
// withdrawal.
func Preemptible(idempotent bool, expected, deadline timekeeper.Millis) bool {
	return idempotent && deadline >= 2*expected+withdrawalReserve
}
