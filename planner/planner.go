// Package planner decides on the roles of engines and the number of targets in one
// data centre. It has no side effects: Plan maps a view to decisions.
package planner

import (
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Demand is a rate of work in tokens per second, or an amount of it in tokens.
type Demand struct {
	Prefill float64
	Decode  float64
}

// Plus returns the sum of two demands.
func (d Demand) Plus(e Demand) Demand { return Demand{d.Prefill + e.Prefill, d.Decode + e.Decode} }

// Times returns the demand scaled by a factor.
func (d Demand) Times(f float64) Demand { return Demand{d.Prefill * f, d.Decode * f} }

// State is the state of a target.
type State int

// States of a target.
const (
	// Serving targets accept requests.
	Serving State = iota
	// Ordered targets are paid for and not delivered yet.
	Ordered
	// Changing targets drain, change their role or load a model.
	Changing
	// Leaving targets are withdrawn by the platform or being stopped.
	Leaving
)

// Target is the state of one target that a plan depends on.
type Target struct {
	Name     string
	Zone     string
	Purchase declarer.TargetPurchase
	Role     declarer.TargetRole
	State    State
	// Cost is per hour; Speed is in tokens per second.
	Cost  float64
	Speed Demand
	// Load is the rate of work of the running requests.
	Load    Demand
	Running int
	// RoleSince is when the target got its role, ReadyAt when it was delivered.
	RoleSince timekeeper.Millis
	ReadyAt   timekeeper.Millis
	// Model is the loaded model, DesiredModel the model that should be loaded.
	Model        string
	DesiredModel string
}

// Contract is the demand of a workspace and the limits of its contract.
type Contract struct {
	Workspace string
	// SpendCeiling is the largest target cost per hour; 0 means no ceiling.
	SpendCeiling float64
	// ExpectedDemand is the larger of the current demand and that expected after the lead time.
	ExpectedDemand Demand
	// PeakDemand is the largest demand of the last minutes. Targets that it needs are not
	// stopped.
	PeakDemand Demand
	// PreemptibleShare is the share of preemptible work in the demand, which may run on
	// reclaimable targets.
	PreemptibleShare float64
	// Slack is how long preemptible work can wait without missing its deadline.
	Slack timekeeper.Millis
}

// Offer is a kind of target that can be ordered from the platform.
type Offer struct {
	Purchase declarer.TargetPurchase
	Zone     string
	Cost     float64
	Speed    Demand
	// UnavailableUntil is when a failed order may be retried.
	UnavailableUntil timekeeper.Millis
}

// Change is a past role change.
type Change struct {
	Target string
	At     timekeeper.Millis
}

// View is the input of a plan, beside the policy.
type View struct {
	Now     timekeeper.Millis
	Targets []Target
	// ExpectedDemand is the expected demand over the horizon, QueuedWork the work in queues.
	ExpectedDemand Demand
	QueuedWork     Demand
	Contracts      []Contract
	Offers         []Offer
	Changes        []Change
	// Downloads is the number of model downloads in progress.
	Downloads int
	// Busy holds the targets with an unfinished order.
	Busy map[string]bool
}

// Decision is a ChangeRole, Start, Stop or Load.
type Decision interface{ decision() }

// ChangeRole drains an engine and changes its role.
type ChangeRole struct {
	Target string
	Role   declarer.TargetRole
}

// Start orders a target.
type Start struct {
	Offer Offer
	Role  declarer.TargetRole
}

// Stop drains a target and returns it to the platform.
type Stop struct{ Target string }

// Load downloads a model to a target.
type Load struct {
	Target string
	Model  string
}

func (ChangeRole) decision() {}
func (Start) decision()      {}
func (Stop) decision()       {}
func (Load) decision()       {}

// Plan returns the decisions for a view: downloads, target counts, then roles.
func Plan(v View, p Policy) []Decision {
	p = p.WithDefaults()
	decisions := startDownloads(v, p)
	counts := countTargets(v, p)
	decisions = append(decisions, counts...)
	leaving := map[string]bool{}
	for _, d := range counts {
		if s, ok := d.(Stop); ok {
			leaving[s.Target] = true
		}
	}
	return append(decisions, changeRoles(v, p, leaving)...)
}

// startDownloads returns model downloads up to the limit of the weight store.
func startDownloads(v View, p Policy) []Decision {
	var decisions []Decision
	downloads := v.Downloads
	for _, t := range v.Targets {
		if downloads >= p.MaxDownloads {
			break
		}
		if t.State == Serving && t.DesiredModel != "" && t.Model != t.DesiredModel && !v.Busy[t.Name] {
			decisions = append(decisions, Load{Target: t.Name, Model: t.DesiredModel})
			downloads++
		}
	}
	return decisions
}

// usable reports whether a target accepts requests with the model it should have.
func (t Target) usable() bool {
	return t.State == Serving && (t.DesiredModel == "" || t.Model == t.DesiredModel)
}
