// Package planner decides on roles of engines and on the number of targets of one
// data centre. Its decisions are pure: a view goes in, decisions come out.
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

// State is what a target does.
type State int

// States of a target.
const (
	// Serving targets take work.
	Serving State = iota
	// Ordered targets are paid for and not delivered yet.
	Ordered
	// Changing targets are drained, change their role or load a model.
	Changing
	// Leaving targets are withdrawn or given back.
	Leaving
)

// Target is one target as the planner sees it.
type Target struct {
	Name     string
	Zone     string
	Purchase declarer.TargetPurchase
	Role     declarer.TargetRole
	State    State
	// Cost is per hour; Speed is in tokens per second.
	Cost  float64
	Speed Demand
	// Load is the rate that the running requests need.
	Load    Demand
	Running int
	// RoleSince is when the target got its role, ReadyAt when it was delivered.
	RoleSince timekeeper.Millis
	ReadyAt   timekeeper.Millis
	// Model is the model that is loaded; Wants is the one that it should have.
	Model string
	Wants string
}

// Contract is what the planner needs to know of a workspace.
type Contract struct {
	Workspace string
	// Ceiling is the most target cost per hour; 0 means none.
	Ceiling float64
	// Ahead is the demand to be ready for: the larger of now and after the delivery time.
	Ahead Demand
	// Peak is the largest demand of the last minutes, below which nothing is given back.
	Peak Demand
	// Harmless is the share of the demand that may run on reclaimable targets.
	Harmless float64
	// Slack is how long harmless work can wait without missing its deadline.
	Slack timekeeper.Millis
}

// Offer is a kind of target that the platform delivers.
type Offer struct {
	Purchase declarer.TargetPurchase
	Zone     string
	Cost     float64
	Speed    Demand
	// UnavailableUntil is when an order that failed may be tried again.
	UnavailableUntil timekeeper.Millis
}

// Change is one role change of the past.
type Change struct {
	Target string
	At     timekeeper.Millis
}

// View is everything that a plan depends on.
type View struct {
	Now     timekeeper.Millis
	Targets []Target
	// Coming is the expected demand over the horizon, Queued the work that waits.
	Coming    Demand
	Queued    Demand
	Contracts []Contract
	Offers    []Offer
	Changes   []Change
	// Downloads is the number of models that are loaded now.
	Downloads int
	// Busy holds the targets with an unfinished order.
	Busy map[string]bool
}

// Decision is an order that the plan asks for: ChangeRole, Start, Stop or Load.
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

// Stop drains a target and gives it back.
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
	decisions := loads(v, p)
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

// loads returns downloads up to the limit of the weight store.
func loads(v View, p Policy) []Decision {
	var decisions []Decision
	running := v.Downloads
	for _, t := range v.Targets {
		if running >= p.Downloads {
			break
		}
		if t.State == Serving && t.Wants != "" && t.Model != t.Wants && !v.Busy[t.Name] {
			decisions = append(decisions, Load{Target: t.Name, Model: t.Wants})
			running++
		}
	}
	return decisions
}

// usable reports whether a target takes work now.
func (t Target) usable() bool {
	return t.State == Serving && (t.Wants == "" || t.Model == t.Wants)
}
