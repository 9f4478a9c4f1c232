package emulator

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// OrderExperiment compares ways to order engines: each fleet with each policy and seed.
type OrderExperiment struct {
	Fleets []Fleet `json:"fleets"`
	// Headrooms are the values of the setting order-headroom with which the product is
	// run; 0 sets no bound.
	Headrooms []float64 `json:"headrooms"`
	// Limits are the headrooms with which all engines are ordered by demand.
	Limits []float64 `json:"limits"`
	Seeds  int       `json:"seeds"`
}

// Fleet is a service whose engines are ordered by data centre.
type Fleet struct {
	Name             string            `json:"name"`
	Seconds          float64           `json:"seconds"`
	DataCentres      []FleetDataCentre `json:"data-centres"`
	Min              int               `json:"min"` // Engines in each data centre.
	Max              int               `json:"max"`
	ReclaimablePrice float64           `json:"reclaimable-price"` // Share of the price of an on-demand engine.
	StartupTime      timekeeper.Millis `json:"startup-milliseconds"`
	Demand           FleetDemand       `json:"demand"`
	// Reclaims is how often all reclaimable engines of a data centre are withdrawn, at
	// random times and places.
	Reclaims int `json:"reclaims"`
	// UnavailableTime is how long none can be ordered there afterwards.
	UnavailableTime timekeeper.Millis `json:"unavailable-milliseconds"`
}

// FleetDataCentre is a data centre in which engines can be ordered.
type FleetDataCentre struct {
	Name     string  `json:"name"`
	Price    float64 `json:"price"`     // Of an on-demand engine for a second.
	OnDemand int     `json:"on-demand"` // Engines present at the start.
}

// FleetDemand is the work that arrives, in engines kept busy by it.
type FleetDemand struct {
	Prefill float64 `json:"prefill"` // Means.
	Decode  float64 `json:"decode"`
	// FlipInterval is how often, in milliseconds, prefill and decode swap the factors by
	// which they are multiplied; 0 keeps them constant.
	FlipInterval float64 `json:"flip-milliseconds"`
	HighFactor   float64 `json:"high"`
	LowFactor    float64 `json:"low"`
	// Bursts is the number of times, at random, that all work is multiplied by BurstFactor.
	Bursts      int               `json:"bursts"`
	BurstFactor float64           `json:"burst"`
	BurstTime   timekeeper.Millis `json:"burst-milliseconds"`
	// Patience is how long work may wait before its callers leave.
	Patience timekeeper.Millis `json:"patience-milliseconds"`
}

// ParseOrders decodes and checks an experiment on orders in JSON with comments.
func ParseOrders(data []byte) (OrderExperiment, error) {
	var e OrderExperiment
	if err := decode(data, &e); err != nil {
		return e, err
	}
	return e, e.Check()
}

// Check returns an error if the experiment is invalid.
func (e OrderExperiment) Check() error {
	if len(e.Fleets) == 0 || len(e.Headrooms) == 0 || e.Seeds < 1 {
		return errors.Wrap(ErrMalformed, "fleets and headrooms must not be empty and seeds must be positive")
	}
	for _, h := range slices.Concat(e.Headrooms, e.Limits) {
		if h < 0 {
			return errors.Wrapf(ErrMalformed, "headroom %v must not be negative", h)
		}
	}
	for _, f := range e.Fleets {
		if err := f.check(); err != nil {
			return errors.Wrapf(ErrMalformed, "fleet %q: %v", f.Name, err)
		}
	}
	return nil
}

func (f Fleet) check() error {
	d := f.Demand
	switch {
	case f.Seconds < 1 || f.Seconds > maxFleetSeconds:
		return errors.Errorf("seconds must be at least 1 and at most %d", maxFleetSeconds)
	case len(f.DataCentres) == 0:
		return errors.New("data-centres must not be empty")
	case f.Min < 0 || f.Max < max(f.Min, 1) || f.Max > maxFleetEngines:
		return errors.Errorf("min must not be negative, and max at least 1 and min and at most %d", maxFleetEngines)
	case f.ReclaimablePrice < 0 || f.StartupTime < 0 || f.Reclaims < 0 || f.UnavailableTime < 0:
		return errors.New("reclaimable-price, startup-milliseconds, reclaims and unavailable-milliseconds must not be negative")
	case d.Prefill < 0 || d.Decode < 0 || d.FlipInterval < 0 || d.HighFactor < 0 || d.LowFactor < 0:
		return errors.New("prefill, decode, flip-milliseconds, high and low must not be negative")
	case d.Bursts < 0 || d.BurstFactor < 0 || d.BurstTime < 0 || d.Patience <= 0:
		return errors.New("bursts, burst and burst-milliseconds must not be negative and patience-milliseconds must be positive")
	}
	names := map[string]bool{}
	for _, c := range f.DataCentres {
		if names[c.Name] || c.Price < 0 || c.OnDemand < 0 || c.OnDemand > f.Max {
			return errors.Errorf("data centre %q: the name must be unique, the price not negative and on-demand between 0 and max", c.Name)
		}
		names[c.Name] = true
	}
	return nil
}
