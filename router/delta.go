package router

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds of a peer's delta.
const (
	maxNameBytes    = 63
	maxDeltaLoads   = 256
	maxNotices      = 16
	maxReservations = 8
	maxFailing      = 8
	maxPeerWork     = 1 << 30
	// noticeTTL is how long a notice is sent. Every instance keeps it until the
	// target returns or is removed.
	noticeTTL = 10 * timekeeper.Minute
	// peerReservationTTL frees the reservation of a peer whose deltas no longer arrive.
	peerReservationTTL = 3 * timekeeper.Second
)

// ErrMalformedDelta means that a peer's delta violates its schema or bounds.
var ErrMalformedDelta = errors.New("malformed delta")

// Check returns the first violation of the schema or bounds in a peer's delta.
func (d Delta) Check() error {
	if !validName(d.Instance) || d.At < 0 {
		return errors.Wrap(ErrMalformedDelta, "invalid instance name or time")
	}
	if len(d.Loads) > maxDeltaLoads || len(d.Notices) > maxNotices || len(d.Reserved) > maxReservations || len(d.Failing) > maxFailing {
		return errors.Wrap(ErrMalformedDelta, "too many entries")
	}
	for _, l := range d.Loads {
		if !validName(l.Target) || min(l.Requests, l.Prefill, l.Output) < 0 || max(l.Requests, l.Prefill, l.Output) > maxPeerWork {
			return errors.Wrapf(ErrMalformedDelta, "invalid load of target %q", l.Target)
		}
	}
	for _, n := range d.Notices {
		if !validName(n.Target) || n.At < 0 {
			return errors.Wrapf(ErrMalformedDelta, "invalid notice of target %q", n.Target)
		}
	}
	for _, v := range d.Reserved {
		if !validName(v.Target) || !validName(v.Fingerprint) {
			return errors.Wrapf(ErrMalformedDelta, "invalid reservation of target %q", v.Target)
		}
	}
	for _, f := range d.Failing {
		if !validName(f.Target) || f.Failures < 0 || f.Failures > f.Attempts || f.Attempts > maxPeerWork {
			return errors.Wrapf(ErrMalformedDelta, "invalid failures of target %q", f.Target)
		}
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Delta returns this instance's delta for its peers, of at most MaxDeltaBytes.
func (r *Router) Delta(now timekeeper.Millis) Delta {
	return r.DeltaWithin(now, r.options.MaxDeltaBytes)
}

// DeltaWithin is Delta with another size limit. Notices that were not sent yet have
// priority, then reservations, failures, other notices in turn, and the largest loads.
func (r *Router) DeltaWithin(now timekeeper.Millis, maxBytes int) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireAttempts(now)
	d := Delta{Instance: r.options.Instance, At: now, Loads: []Load{}}
	remaining := max(maxBytes, minDeltaBytes) - encodedBytes(d) - sectionBytes
	unsent, sent := r.sortedNotices(now)
	d.Notices, remaining = fit(unsent, maxNotices, remaining)
	for _, n := range d.Notices {
		delete(r.unsent, n.Target)
	}
	r.urgent = len(r.unsent) > 0
	reserved, failing, loads := r.localEntries(now)
	d.Reserved, remaining = fit(reserved, maxReservations, remaining)
	d.Failing, remaining = fit(failing, maxFailing, remaining)
	resent, remaining := fit(sent, maxNotices-len(d.Notices), remaining)
	d.Notices = append(d.Notices, resent...)
	r.noticeOffset += len(resent)
	fitting, _ := fit(loads, maxDeltaLoads, remaining)
	d.Loads = append(d.Loads, fitting...)
	return d
}

// sectionBytes is the encoded size of the optional lists without their items.
const sectionBytes = len(`,"notices":[],"reserved":[],"failing":[]`)

// fit returns the first items, at most limit, whose encoding fits into size bytes,
// and the bytes that remain.
func fit[T any](items []T, limit, size int) (fitting []T, remaining int) {
	for _, item := range items[:min(len(items), max(limit, 0))] {
		bytes := encodedBytes(item) + 1
		if bytes > size {
			break
		}
		fitting, size = append(fitting, item), size-bytes
	}
	return fitting, size
}

// sortedNotices returns the notices that were not sent yet, and those that are
// resent for peers that missed them, starting where the last delta ended.
func (r *Router) sortedNotices(now timekeeper.Millis) (unsent, sent []Notice) {
	for _, name := range slices.Sorted(maps.Keys(r.notices)) {
		switch n := r.notices[name]; {
		case r.unsent[name]:
			unsent = append(unsent, n)
		case r.targets[name].localNotice && now-n.At < noticeTTL:
			sent = append(sent, n)
		}
	}
	if len(sent) > 0 {
		offset := r.noticeOffset % len(sent)
		sent = append(sent[offset:], sent[:offset]...)
	}
	return unsent, sent
}

// localEntries returns reservations, failures and loads of this instance, each
// with the most important first.
func (r *Router) localEntries(now timekeeper.Millis) (reserved []Reservation, failing []Failing, loads []Load) {
	workTimes := map[string]float64{}
	for name, t := range r.targets {
		r.expireSoloReservation(t, now)
		if v, ok := t.reservation(now); ok {
			reserved = append(reserved, v)
		}
		if e := t.localOutcomes; e.failures > 0 && now-e.start <= r.options.OutcomeWindow {
			failing = append(failing, Failing{Target: name, Attempts: e.attempts, Failures: e.failures})
		}
		if t.local.requests > 0 {
			loads = append(loads, Load{Target: name, Requests: int(t.local.requests), Prefill: int(t.local.prefill), Output: int(t.local.output)})
			workTimes[name] = t.workTime(t.local)
		}
	}
	slices.SortFunc(reserved, func(a, b Reservation) int { return cmp.Compare(a.Target, b.Target) })
	slices.SortFunc(failing, func(a, b Failing) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(workTimes[b.Target], workTimes[a.Target]), cmp.Compare(a.Target, b.Target))
	})
	return reserved, failing, loads
}

// Urgent reports whether the next delta holds a reservation or notice that peers
// need before the next regular delta.
func (r *Router) Urgent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.urgent
}

func encodedBytes(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0 // Cannot happen: only strings and integers are encoded.
	}
	return len(data)
}

// ObserveDelta applies a peer's delta, which must have passed Check, unless a newer
// one was received. Notices are applied even from an older delta.
func (r *Router) ObserveDelta(d Delta, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Instance == r.options.Instance {
		return
	}
	for _, n := range d.Notices {
		r.recordNotice(n, false)
	}
	d.At = min(d.At, now) // A peer's clock may be ahead.
	old, known := r.peers[d.Instance]
	if known && d.At <= old.At {
		return
	}
	r.rebase(now)
	if !known && len(r.peers) >= r.options.MaxPeers {
		r.evictOldestPeer()
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
			ttl := peerReservationTTL
			if v.Fingerprint == holdFingerprint {
				ttl = holdTime
			}
			if t.reservedUntil <= now || t.reservedFingerprint == holdFingerprint || t.reservedBy == d.Instance {
				t.reservedUntil, t.reservedBy, t.reservedFingerprint = d.At+ttl, d.Instance, v.Fingerprint
			}
		}
	}
}

// RemovePeer removes the deltas of a peer that is dead or has left.
func (r *Router) RemovePeer(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.peers[instance], -1)
	delete(r.peers, instance)
}

func (r *Router) evictOldestPeer() {
	oldest := ""
	for name, d := range r.peers {
		if o, ok := r.peers[oldest]; !ok || d.At < o.At || (d.At == o.At && name < oldest) {
			oldest = name
		}
	}
	r.apply(r.peers[oldest], -1)
	delete(r.peers, oldest)
}

// apply adds a delta to the targets' sums, or subtracts it with sign -1.
func (r *Router) apply(d Delta, sign float64) {
	for _, f := range d.Failing {
		if t := r.targets[f.Target]; t != nil {
			t.remoteOutcomes.attempts += int(sign) * f.Attempts
			t.remoteOutcomes.failures += int(sign) * f.Failures
			t.remoteOutcomes.start = max(t.remoteOutcomes.start, d.At)
		}
	}
	if len(d.Loads) == 0 {
		return
	}
	scale := sign / r.decay(d.At)
	for _, l := range d.Loads {
		if t := r.targets[l.Target]; t != nil {
			// Rounding may give a small negative number, which minus raises to zero.
			t.remote = t.remote.plus(workOf(l).scaled(scale)).minus(work{})
		}
	}
}
