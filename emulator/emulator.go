// Package emulator runs synthetic load on emulated engines in virtual time, with the
// product's routing policy and with baselines. It evaluates routing on engines and
// loads that no deployment has yet; it doesn't cover transports or process failures.
package emulator

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// ErrMalformed means that an experiment is invalid.
var ErrMalformed = errors.New("malformed experiment")

// Experiment lists what to run: each site under each pattern with each policy and seed.
type Experiment struct {
	Sites    []Site    `json:"sites"`
	Patterns []Pattern `json:"patterns"`
	Policies []Policy  `json:"policies"`
	Seeds    int       `json:"seeds"`
}

// Site is a fleet and the requests of its callers.
type Site struct {
	Name           string `json:"name"`
	Engine         Engine `json:"engine"`
	PrefillEngines int    `json:"readers"`
	DecodeEngines  int    `json:"runners"`
	Instances      int    `json:"instances"`
	// PropagationDelay is how long it takes until other instances see a placed
	// request, in milliseconds.
	PropagationDelay float64 `json:"told-milliseconds"`
	Kinds            []Kind  `json:"kinds"`
}

// Engine holds the true performance of an engine, which the product has to learn.
type Engine struct {
	Base          float64   `json:"base-milliseconds"` // Fixed part of a prefill.
	PrefillRate   float64   `json:"tokens-per-millisecond"`
	PairRate      float64   `json:"pairs-per-millisecond"`
	Step          float64   `json:"step-milliseconds"`        // To generate a token.
	StepGrowth    float64   `json:"step-growth-milliseconds"` // For each concurrent decode.
	Slots         int       `json:"places"`
	KVCacheTokens int       `json:"memory-tokens"`
	MoveRate      float64   `json:"moved-tokens-per-millisecond"`
	RelativeTimes []float64 `json:"paces"` // Assigned to the engines in turn; 1 is as expected, more is slower.
}

// Kind is a kind of request.
type Kind struct {
	Name           string            `json:"name"`
	PerSecond      float64           `json:"per-second"`
	UnsharedTokens float64           `json:"own-tokens"` // Mean number that no other request shares.
	Spread         float64           `json:"own-spread"` // Standard deviation of its logarithm.
	SharedTokens   int               `json:"shared-tokens"`
	Sessions       int               `json:"sessions"` // Number of distinct shared parts.
	OutputTokens   float64           `json:"output-tokens"`
	TargetLatency  timekeeper.Millis `json:"target-milliseconds"`
	Deadline       timekeeper.Millis `json:"deadline-milliseconds"`
	LateCredit     float64           `json:"late-worth"` // Credit of a late answer, as a share of one in time.
}

// Pattern is how the load and the engines change.
type Pattern struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// FlipInterval is how often, in milliseconds, the rates of the kinds are swapped:
	// at first the kinds with an even index have their rate multiplied by HighFactor
	// and the others by LowFactor, then the reverse. 0 keeps the rates constant.
	FlipInterval float64 `json:"flip-milliseconds"`
	HighFactor   float64 `json:"high"`
	LowFactor    float64 `json:"low"`
	// Slowdown makes some engines slower for a time.
	Slowdown *Slowdown `json:"slow"`
}

// Slowdown makes a share of the prefill engines slower by a factor.
type Slowdown struct {
	From   float64 `json:"from-second"`
	To     float64 `json:"to-second"`
	Share  float64 `json:"share"`
	Factor float64 `json:"times"`
}

// Policy is how requests are routed.
type Policy string

// Policies.
const (
	Learned    Policy = "learned"     // The product: engine performance is learned.
	Oracle     Policy = "oracle"      // The product's placement with the true performance.
	Fixed      Policy = "fixed"       // The product's placement with a fixed profile of one engine.
	LeastLoad  Policy = "least-load"  // Fewest local requests, no admission control.
	RoundRobin Policy = "round-robin" // In turn, no admission control.
)

// Parse decodes and checks an experiment in JSON with comments.
func Parse(data []byte) (Experiment, error) {
	var e Experiment
	if err := decode(data, &e); err != nil {
		return e, err
	}
	return e, e.Check()
}

// decode decodes JSON with comments into a value and refuses unknown fields.
func decode(data []byte, v any) error {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// Check returns an error if the experiment is invalid.
func (e Experiment) Check() error {
	if len(e.Sites) == 0 || len(e.Patterns) == 0 || len(e.Policies) == 0 || e.Seeds < 1 {
		return errors.Wrap(ErrMalformed, "sites, patterns and policies must not be empty and seeds must be positive")
	}
	for _, s := range e.Sites {
		if err := s.check(); err != nil {
			return errors.Wrapf(ErrMalformed, "site %q: %v", s.Name, err)
		}
	}
	for _, p := range e.Patterns {
		if p.Seconds <= 0 || p.FlipInterval < 0 || p.HighFactor < 0 || p.LowFactor < 0 {
			return errors.Wrapf(ErrMalformed, "pattern %q: seconds must be positive and the other values must not be negative", p.Name)
		}
	}
	for _, p := range e.Policies {
		switch p {
		case Learned, Oracle, Fixed, LeastLoad, RoundRobin:
		default:
			return errors.Wrapf(ErrMalformed, "unknown policy %q", p)
		}
	}
	return nil
}

func (s Site) check() error {
	g := s.Engine
	switch {
	case s.PrefillEngines < 1 || s.DecodeEngines < 1 || s.Instances < 1:
		return errors.New("readers, runners and instances must be positive")
	case g.PrefillRate <= 0 || g.PairRate <= 0 || g.Step <= 0 || g.Slots < 1 || g.KVCacheTokens < 1 || g.MoveRate <= 0:
		return errors.New("engine rates, step-milliseconds, places and memory-tokens must be positive")
	case g.Base < 0 || g.StepGrowth < 0 || s.PropagationDelay < 0:
		return errors.New("base-milliseconds, step-growth-milliseconds and told-milliseconds must not be negative")
	case len(s.Kinds) == 0:
		return errors.New("kinds must not be empty")
	}
	for _, k := range s.Kinds {
		if k.PerSecond <= 0 || k.UnsharedTokens <= 0 || k.Sessions < 1 || k.TargetLatency <= 0 || k.Deadline <= k.TargetLatency {
			return errors.Errorf("kind %q: per-second, own-tokens, sessions and target-milliseconds must be positive and deadline-milliseconds greater than target-milliseconds", k.Name)
		}
	}
	return nil
}
