package router

import (
	"cmp"
	"encoding/json"
	"maps"
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

// Delta returns this instance's own work for its peers, within MaxDeltaBytes.
func (r *Router) Delta(now timekeeper.Millis) Delta {
	return r.DeltaWithin(now, r.options.MaxDeltaBytes)
}

// DeltaWithin is Delta with another bound in bytes. Notices that no peer heard yet
// go first, then reservations, failures, other notices in turn, and the largest loads.
func (r *Router) DeltaWithin(now timekeeper.Millis, size int) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	d := Delta{Instance: r.options.Instance, At: now, Loads: []Load{}}
	rest := max(size, minDeltaBytes) - encodedBytes(d) - sectionBytes
	fresh, known := r.sortedNotices(now)
	d.Notices, rest = fit(fresh, maxNotices, rest)
	for _, n := range d.Notices {
		delete(r.unsent, n.Target)
	}
	r.urgent = len(r.unsent) > 0
	reserved, failing, loads := r.ownNews(now)
	d.Reserved, rest = fit(reserved, maxReservations, rest)
	d.Failing, rest = fit(failing, maxFailing, rest)
	repeated, rest := fit(known, maxNotices-len(d.Notices), rest)
	d.Notices = append(d.Notices, repeated...)
	r.noticeTurn += len(repeated)
	fitting, _ := fit(loads, maxDeltaLoads, rest)
	d.Loads = append(d.Loads, fitting...)
	return d
}

// sectionBytes is what the names of the optional lists add to the encoding.
const sectionBytes = len(`,"notices":[],"reserved":[],"failing":[]`)

// fit takes items while they are at most limit and their encoding stays within size.
func fit[T any](items []T, limit, size int) (taken []T, rest int) {
	for _, item := range items[:min(len(items), max(limit, 0))] {
		bytes := encodedBytes(item) + 1
		if bytes > size {
			break
		}
		taken, size = append(taken, item), size-bytes
	}
	return taken, size
}

// sortedNotices returns the notices that were not sent yet, and those that are
// repeated for peers that missed them, starting where the last delta ended.
func (r *Router) sortedNotices(now timekeeper.Millis) (fresh, known []Notice) {
	for _, name := range slices.Sorted(maps.Keys(r.notices)) {
		switch n := r.notices[name]; {
		case r.unsent[name]:
			fresh = append(fresh, n)
		case r.targets[name].noticed && now-n.At < noticeLife:
			known = append(known, n)
		}
	}
	if len(known) > 0 {
		turn := r.noticeTurn % len(known)
		known = append(known[turn:], known[:turn]...)
	}
	return fresh, known
}

// ownNews returns reservations, failures and loads of this instance, the most important first.
func (r *Router) ownNews(now timekeeper.Millis) (reserved []Reservation, failing []Failing, loads []Load) {
	busy := map[string]float64{}
	for name, t := range r.targets {
		r.forgetSolo(t, now)
		if v, ok := t.reservation(now); ok {
			reserved = append(reserved, v)
		}
		if e := t.evidence; e.failures > 0 && now-e.start <= r.options.EvidenceWindow {
			failing = append(failing, Failing{Target: name, Attempts: e.attempts, Failures: e.failures})
		}
		if t.own.requests > 0 {
			loads = append(loads, Load{Target: name, Requests: int(t.own.requests), Prefill: int(t.own.prefill), Output: int(t.own.output)})
			busy[name] = t.busy(t.own)
		}
	}
	slices.SortFunc(reserved, func(a, b Reservation) int { return cmp.Compare(a.Target, b.Target) })
	slices.SortFunc(failing, func(a, b Failing) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(busy[b.Target], busy[a.Target]), cmp.Compare(a.Target, b.Target))
	})
	return reserved, failing, loads
}

// Urgent reports whether the next delta holds a reservation or notice that peers
// need at once rather than with the next round.
func (r *Router) Urgent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.urgent
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
		r.notice(n, false)
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
			life := reservationLife
			if v.Fingerprint == holdMark {
				life = soloHold
			}
			if t.reservedUntil <= now || t.reservedFor == holdMark || t.reservedBy == d.Instance {
				t.reservedUntil, t.reservedBy, t.reservedFor = d.At+life, d.Instance, v.Fingerprint
			}
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
