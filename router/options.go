package router

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// minDeltaBytes is enough for one notice with the longest names, so that notices
// are always sent. More space for loads has no benefit: in the simulated traffic
// shift, 1,024 bytes gave as many answers within their deadlines as 256.
const minDeltaBytes = 288

// Options configure a router; zero fields have the defaults.
type Options struct {
	Instance   string // Name of this instance, the sender of its deltas.
	DataCentre string // Data centre of this instance; its targets are preferred.
	Seed       uint64 // Seed of the random source; the instance name is mixed in.

	ReportHalfLife  timekeeper.Millis // Half-life of the weight of a target's report.
	PeerHalfLife    timekeeper.Millis // Half-life of the weight of a peer's delta.
	WarmUp          timekeeper.Millis // Time in which a new target's weight grows to 1.
	OutcomeWindow   timekeeper.Millis // Window of the attempts that count for ejections and weights.
	EjectionTime    timekeeper.Millis // Length of the first ejection; repeated ones double, up to 8 times this.
	PreemptionSlack timekeeper.Millis // Slack that a preemptible request needs beyond twice its expected duration.
	MaxSoloWait     timekeeper.Millis // Maximum wait for the end of peers' work on a reserved target.
	HintTTL         timekeeper.Millis // Age at which a prefix cache hint expires.

	DisableSplit  bool    // Disables prefill on a separate target, for callers that cannot transfer KV caches.
	BoundedLoad   float64 // Maximum ratio of a target's load to the group's mean for prefix affinity.
	TransferRate  float64 // Throughput of KV cache transfers between targets, in bytes per second.
	TransferDelay float64 // Fixed delay of a KV cache transfer, in milliseconds.
	MaxHints      int     // Maximum number of prefix digests with hints.
	MaxPeers      int     // Maximum number of peers whose deltas are kept.
	MaxDeltaBytes int     // Maximum size of this instance's delta; at least minDeltaBytes.
}

func (o Options) withDefaults() Options {
	setDefault(&o.ReportHalfLife, timekeeper.Second)
	setDefault(&o.PeerHalfLife, 2*timekeeper.Second)
	setDefault(&o.WarmUp, 30*timekeeper.Second)
	setDefault(&o.OutcomeWindow, 10*timekeeper.Second)
	setDefault(&o.EjectionTime, 5*timekeeper.Second)
	setDefault(&o.PreemptionSlack, 5*timekeeper.Second)
	setDefault(&o.MaxSoloWait, 20*timekeeper.Second)
	setDefault(&o.HintTTL, 10*timekeeper.Minute)
	setDefault(&o.BoundedLoad, 1.25)
	setDefault(&o.TransferRate, 4e9)
	setDefault(&o.TransferDelay, 5)
	setDefault(&o.MaxHints, 16384)
	setDefault(&o.MaxPeers, 512)
	o.MaxDeltaBytes = max(o.MaxDeltaBytes, minDeltaBytes)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
