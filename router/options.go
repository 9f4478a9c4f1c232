package router

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// minDeltaBytes holds one notice with the longest names, so that notices always
// get through. More room for loads gained nothing: in the simulated shift, 1,024
// bytes gave the same number of answers in time as 256.
const minDeltaBytes = 288

// Options set the constants of a router; zero fields take the defaults.
type Options struct {
	Instance   string // Name of this instance, the owner of its deltas.
	DataCentre string // Data centre whose targets are preferred.
	Seed       uint64 // Seed of the random source; the instance name is mixed in.

	ReportLag      timekeeper.Millis // Time in which the weight of a target's report halves.
	PeerHalfLife   timekeeper.Millis // Time in which the weight of a peer's delta halves.
	WarmUp         timekeeper.Millis // Time over which a new target's weight grows to 1.
	EvidenceWindow timekeeper.Millis // Time over which failed attempts count as evidence.
	EjectFor       timekeeper.Millis // Length of the first ejection; it doubles up to 8 times this.
	ReclaimNotice  timekeeper.Millis // Slack that harmless work needs beyond its expected time.
	SoloWait       timekeeper.Millis // Longest wait for peers' work on a reserved target to end.
	HintLife       timekeeper.Millis // Age at which a prefix cache hint is dropped.

	WholeOnly     bool    // Never split: the caller cannot move KV caches.
	BoundedLoad   float64 // Load of the prefix-affine target over the pool's mean, at most.
	TransferRate  float64 // KV cache transfer between targets, in bytes per second.
	TransferDelay float64 // Fixed cost of a KV cache transfer, in milliseconds.
	MaxHints      int     // Most prefix digests in memory.
	MaxPeers      int     // Most peers whose deltas are kept.
	MaxDeltaBytes int     // Most bytes of this instance's delta; at least minDeltaBytes.
}

func (o Options) withDefaults() Options {
	set(&o.ReportLag, timekeeper.Second)
	set(&o.PeerHalfLife, 2*timekeeper.Second)
	set(&o.WarmUp, 30*timekeeper.Second)
	set(&o.EvidenceWindow, 10*timekeeper.Second)
	set(&o.EjectFor, 5*timekeeper.Second)
	set(&o.ReclaimNotice, 5*timekeeper.Second)
	set(&o.SoloWait, 20*timekeeper.Second)
	set(&o.HintLife, 10*timekeeper.Minute)
	set(&o.BoundedLoad, 1.25)
	set(&o.TransferRate, 4e9)
	set(&o.TransferDelay, 5)
	set(&o.MaxHints, 16384)
	set(&o.MaxPeers, 512)
	o.MaxDeltaBytes = max(o.MaxDeltaBytes, minDeltaBytes)
	return o
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
