package router

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds of a delta that a peer sent.
const (
	maxNameBytes    = 63
	maxDeltaLoads   = 256
	maxNotices      = 16
	maxReservations = 8
	maxFailing      = 8
	maxPeerWork     = 1 << 30
	// noticeLife is how long a notice is passed on; every instance keeps it until the target returns or is removed.
	noticeLife = 10 * timekeeper.Minute
	// reservationLife frees a peer's reservation when the peer is no longer heard.
	reservationLife = 3 * timekeeper.Second
)

// ErrMalformedDelta means that a peer's delta breaks its schema or bounds.
var ErrMalformedDelta = errors.New("malformed delta")

// Check reports the first fault of a delta from a peer.
func (j Delta) Check() error {
	if !nameFits(j.Instance) || j.At < 0 {
		return errors.Wrap(ErrMalformedDelta, "instance or at")
	}
	if len(j.Loads) > maxDeltaLoads || len(j.Notices) > maxNotices || len(j.Reserved) > maxReservations || len(j.Failing) > maxFailing {
		return errors.Wrap(ErrMalformedDelta, "too many entries")
	}
	for _, l := range j.Loads {
		if !nameFits(l.Target) || min(l.Requests, l.Prefill, l.Output) < 0 || max(l.Requests, l.Prefill, l.Output) > maxPeerWork {
			return errors.Wrapf(ErrMalformedDelta, "load of target %q", l.Target)
		}
	}
	for _, n := range j.Notices {
		if !nameFits(n.Target) || n.At < 0 {
			return errors.Wrapf(ErrMalformedDelta, "notice of target %q", n.Target)
		}
	}
	for _, v := range j.Reserved {
		if !nameFits(v.Target) || !nameFits(v.Fingerprint) {
			return errors.Wrapf(ErrMalformedDelta, "reservation of target %q", v.Target)
		}
	}
	for _, f := range j.Failing {
		if !nameFits(f.Target) || f.Failures < 0 || f.Failures > f.Attempts || f.Attempts > maxPeerWork {
			return errors.Wrapf(ErrMalformedDelta, "failures of target %q", f.Target)
		}
	}
	return nil
}

func nameFits(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Delta returns this instance's own work for its peers, within MaxDeltaBytes:
// notices and reservations first, then the largest loads.
func (r *Router) Delta(now timekeeper.Millis) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	d := Delta{Instance: r.options.Instance, At: now, Loads: []Load{}}
	var (
		loads []Load
		busy  = map[string]float64{}
	)
	for name, t := range r.targets {
		if t.solo != "" && len(d.Reserved) < maxReservations {
			d.Reserved = append(d.Reserved, Reservation{Target: name, Fingerprint: t.solo})
		}
		if e := t.evidence; e.failures > 0 && now-e.start <= r.options.EvidenceWindow {
			d.Failing = append(d.Failing, Failing{Target: name, Attempts: e.attempts, Failures: e.failures})
		}
		if t.own.requests > 0 {
			loads = append(loads, Load{Target: name, Requests: int(t.own.requests), Prefill: int(t.own.prefill), Output: int(t.own.output)})
			busy[name] = t.busy(t.own)
		}
	}
	for _, n := range r.notices {
		if now-n.At < noticeLife {
			d.Notices = append(d.Notices, n)
		}
	}
	slices.SortFunc(d.Reserved, func(a, b Reservation) int { return cmp.Compare(a.Target, b.Target) })
	slices.SortFunc(d.Notices, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(busy[b.Target], busy[a.Target]), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(d.Failing, func(a, b Failing) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.Target, b.Target))
	})
	d.Failing = d.Failing[:min(len(d.Failing), maxFailing)]
	d.Notices = d.Notices[:min(len(d.Notices), maxNotices)]
	return d.fill(loads, r.options.MaxDeltaBytes)
}

// fill appends loads while the encoded delta stays within size.
func (j Delta) fill(loads []Load, size int) Delta {
	used := encodedBytes(j)
	for _, l := range loads[:min(len(loads), maxDeltaLoads)] {
		used += encodedBytes(l) + 1
		if used > size {
			break
		}
		j.Loads = append(j.Loads, l)
	}
	return j
}

func encodedBytes(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0 // Only strings and integers are encoded here.
	}
	return len(data)
}

// ObserveDelta takes over a peer's checked delta unless a newer one is known.
// Notices count in any order.
func (r *Router) ObserveDelta(d Delta, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Instance == r.options.Instance {
		return
	}
	for _, n := range d.Notices {
		r.notice(n)
	}
	d.At = min(d.At, now) // A peer's clock may be ahead.
	old, known := r.peers[d.Instance]
	if known && d.At <= old.At {
		return
	}
	r.rebase(now)
	if !known && len(r.peers) >= r.options.MaxPeers {
		r.forgetOldest()
	}
	r.apply(old, -1)
	r.apply(d, 1)
	r.peers[d.Instance] = d
	for _, v := range old.Reserved {
		if t := r.targets[v.Target]; t != nil && t.reservedBy == d.Instance {
			t.reservedUntil = 0
		}
	}
	for _, v := range d.Reserved {
		if t := r.targets[v.Target]; t != nil {
			t.reservedUntil, t.reservedBy, t.reservedFor = d.At+reservationLife, d.Instance, v.Fingerprint
		}
	}
}

// Forget drops the load of a peer that is dead or has left.
func (r *Router) Forget(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.peers[instance], -1)
	delete(r.peers, instance)
}

func (r *Router) forgetOldest() {
	oldest := ""
	for name, d := range r.peers {
		if o, ok := r.peers[oldest]; !ok || d.At < o.At || (d.At == o.At && name < oldest) {
			oldest = name
		}
	}
	r.apply(r.peers[oldest], -1)
	delete(r.peers, oldest)
}

// apply adds a delta to the targets' sums, or takes it out again with sign -1.
func (r *Router) apply(d Delta, sign float64) {
	for _, f := range d.Failing {
		if t := r.targets[f.Target]; t != nil {
			t.heard.attempts += int(sign) * f.Attempts
			t.heard.failures += int(sign) * f.Failures
			t.heard.start = max(t.heard.start, d.At)
		}
	}
	if len(d.Loads) == 0 {
		return
	}
	scale := sign / r.decay(d.At)
	for _, l := range d.Loads {
		if t := r.targets[l.Target]; t != nil {
			// Rounding may leave a trace below zero; minus clips it.
			t.peers = t.peers.plus(workOf(l).scaled(scale)).minus(work{})
		}
	}
}
