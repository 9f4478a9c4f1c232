package leaser

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Options are the durations of a lease; zero values take the defaults.
type Options struct {
	// Length is how long a lease is valid, counted from just before its renewal was sent.
	Length timekeeper.Millis
	// Renew is the time between renewals.
	Renew timekeeper.Millis
	// Margin covers the drift between two clocks over one lease. The holder stops this
	// much earlier and a successor waits this much longer.
	Margin timekeeper.Millis
	// SendTimeout is the longest time for which an order can be in flight.
	SendTimeout timekeeper.Millis
	// Seed seeds the jitter, so that tests are reproducible.
	Seed uint64
	// Era returns the newest known era of the store; nil means that it has none.
	Era func() storer.Era
}

// WithLength returns options whose durations are all scaled to a lease length.
func (o Options) WithLength(length timekeeper.Millis) Options {
	o.Length, o.Renew, o.Margin, o.SendTimeout = length, length/3, length*2/15, length/5
	return o
}

func (o Options) withDefaults() Options {
	if o.Length == 0 {
		o.Length = 15 * timekeeper.Second
	}
	if o.Renew == 0 {
		o.Renew = o.Length / 3
	}
	if o.Margin == 0 {
		o.Margin = 2 * timekeeper.Second
	}
	if o.SendTimeout == 0 {
		o.SendTimeout = 3 * timekeeper.Second
	}
	if o.Era == nil {
		o.Era = func() storer.Era { return 0 }
	}
	return o
}

// CandidatesPerDuty bounds the load of reads on the store: with three candidates, 18
// leases cost 2.4 reads a second.
const CandidatesPerDuty = 3

// Candidates returns the instances that compete for a duty, chosen by rendezvous hashing.
func Candidates(members []string, dataCentre string, duty LeaseDuty) []string {
	type ranked struct {
		name string
		hash [sha256.Size]byte
	}
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		all = append(all, ranked{m, sha256.Sum256([]byte(dataCentre + "\x00" + string(duty) + "\x00" + m))})
	}
	slices.SortFunc(all, func(a, b ranked) int { return bytes.Compare(a.hash[:], b.hash[:]) })
	var names []string
	for _, r := range all[:min(CandidatesPerDuty, len(all))] {
		names = append(names, r.name)
	}
	return names
}
