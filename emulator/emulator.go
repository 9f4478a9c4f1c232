// Package emulator plays arriving load on emulated engines in virtual time, with the
// product's own decisions and with baselines. It tells how a decision does on engines
// and loads that no deployment has yet; it is no test of transports or of faults of
// processes.
package emulator

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// ErrMalformed means that an experiment cannot be played.
var ErrMalformed = errors.New("malformed experiment")

// Experiment names what is played: each site under each pattern with each policy and seed.
type Experiment struct {
	Sites    []Site    `json:"sites"`
	Patterns []Pattern `json:"patterns"`
	Policies []Policy  `json:"policies"`
	Seeds    int       `json:"seeds"`
}

// Site is a fleet and what its callers ask of it.
type Site struct {
	Name      string `json:"name"`
	Engine    Engine `json:"engine"`
	Readers   int    `json:"readers"`
	Runners   int    `json:"runners"`
	Instances int    `json:"instances"`
	// Told is how long it takes until other instances know of work, in milliseconds.
	Told  float64 `json:"told-milliseconds"`
	Kinds []Kind  `json:"kinds"`
}

// Engine is the truth about an engine, which the product has to find out.
type Engine struct {
	Base         float64   `json:"base-milliseconds"` // Of a reading, besides its tokens.
	ReadRate     float64   `json:"tokens-per-millisecond"`
	PairRate     float64   `json:"pairs-per-millisecond"`
	Step         float64   `json:"step-milliseconds"`        // Of generating a token.
	StepGrowth   float64   `json:"step-growth-milliseconds"` // For each run beside.
	Places       int       `json:"places"`
	MemoryTokens int       `json:"memory-tokens"`
	MoveRate     float64   `json:"moved-tokens-per-millisecond"`
	Paces        []float64 `json:"paces"` // Of the engines in turn; 1 is usual, more is slower.
}

// Kind is a kind of request.
type Kind struct {
	Name      string            `json:"name"`
	PerSecond float64           `json:"per-second"`
	Own       float64           `json:"own-tokens"` // Mean of those that no other request shares.
	Spread    float64           `json:"own-spread"` // Of their logarithm.
	Shared    int               `json:"shared-tokens"`
	Sessions  int               `json:"sessions"` // Different shared parts.
	Output    float64           `json:"output-tokens"`
	Target    timekeeper.Millis `json:"target-milliseconds"`
	Deadline  timekeeper.Millis `json:"deadline-milliseconds"`
	Late      float64           `json:"late-worth"` // Of an answer in time.
}

// Pattern is how the load and the engines change.
type Pattern struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// Flip is the time after which the rates of the kinds change places, in
	// milliseconds: the even kinds come High times as often and the others Low times.
	Flip float64 `json:"flip-milliseconds"`
	High float64 `json:"high"`
	Low  float64 `json:"low"`
	// Slow makes some engines slower for a span.
	Slow *Slow `json:"slow"`
}

// Slow makes a share of the readers so many times slower.
type Slow struct {
	From  float64 `json:"from-second"`
	To    float64 `json:"to-second"`
	Share float64 `json:"share"`
	Times float64 `json:"times"`
}

// Policy is how requests are placed.
type Policy string

// Policies.
const (
	Learned    Policy = "learned"     // The product: what engines can do is learned.
	Oracle     Policy = "oracle"      // The product's placement with the true figures.
	Fixed      Policy = "fixed"       // The product's placement with the figures of one engine.
	LeastLoad  Policy = "least-load"  // Least own work, no refusals.
	RoundRobin Policy = "round-robin" // In turn, no refusals.
)

// Parse decodes and checks an experiment in JSON with comments.
func Parse(data []byte) (Experiment, error) {
	var e Experiment
	standard, err := hujson.Standardize(data)
	if err != nil {
		return e, errors.Wrap(ErrMalformed, err.Error())
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return e, errors.Wrap(ErrMalformed, err.Error())
	}
	return e, e.Check()
}

// Check reports what keeps an experiment from being played.
func (e Experiment) Check() error {
	if len(e.Sites) == 0 || len(e.Patterns) == 0 || len(e.Policies) == 0 || e.Seeds < 1 {
		return errors.Wrap(ErrMalformed, "sites, patterns, policies and seeds are needed")
	}
	for _, s := range e.Sites {
		if err := s.check(); err != nil {
			return errors.Wrapf(ErrMalformed, "site %q: %v", s.Name, err)
		}
	}
	for _, p := range e.Patterns {
		if p.Seconds <= 0 || p.Flip < 0 || p.High < 0 || p.Low < 0 {
			return errors.Wrapf(ErrMalformed, "pattern %q: a figure is negative or seconds are missing", p.Name)
		}
	}
	for _, p := range e.Policies {
		switch p {
		case Learned, Oracle, Fixed, LeastLoad, RoundRobin:
		default:
			return errors.Wrapf(ErrMalformed, "policy %q is not known", p)
		}
	}
	return nil
}

func (s Site) check() error {
	g := s.Engine
	switch {
	case s.Readers < 1 || s.Runners < 1 || s.Instances < 1:
		return errors.New("readers, runners and instances are needed")
	case g.ReadRate <= 0 || g.PairRate <= 0 || g.Step <= 0 || g.Places < 1 || g.MemoryTokens < 1 || g.MoveRate <= 0:
		return errors.New("a figure of the engine is missing or not positive")
	case g.Base < 0 || g.StepGrowth < 0 || s.Told < 0:
		return errors.New("a time is negative")
	case len(s.Kinds) == 0:
		return errors.New("kinds are needed")
	}
	for _, k := range s.Kinds {
		if k.PerSecond <= 0 || k.Own <= 0 || k.Sessions < 1 || k.Target <= 0 || k.Deadline <= k.Target {
			return errors.Errorf("kind %q: a figure is missing", k.Name)
		}
	}
	return nil
}
