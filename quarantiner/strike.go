package quarantiner

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds of one message. An engine runs at most a few hundred requests of one instance.
const (
	maxStrikes   = 64
	maxPasses    = 64
	maxNameBytes = 63
)

// ErrMalformedStrikes means that a peer's strikes violate their schema or bounds.
var ErrMalformedStrikes = errors.New("malformed strikes")

// Check returns an error if a message from a peer is out of bounds.
func (j Strikes) Check() error {
	if !fits(j.Instance, maxNameBytes) || len(j.Strikes) > maxStrikes || len(j.Passes) > maxPasses {
		return errors.Wrap(ErrMalformedStrikes, "instance name or number of entries is out of bounds")
	}
	for _, s := range j.Strikes {
		if !fits(s.Workspace, maxNameBytes) || !fits(s.Target, maxNameBytes) || !fits(s.Fingerprint, 2*digestBytes) ||
			!fits(s.Exact, 2*digestBytes) || s.At < 0 || s.Bucket < 0 || s.Bucket > 64 {
			return errors.Wrapf(ErrMalformedStrikes, "strike on target %q has a field out of bounds", s.Target)
		}
	}
	for _, p := range j.Passes {
		if !fits(p.Workspace, maxNameBytes) || !fits(p.Fingerprint, 2*digestBytes) || !fits(p.Exact, 2*digestBytes) || p.At < 0 {
			return errors.Wrapf(ErrMalformedStrikes, "pass of workspace %q has a field out of bounds", p.Workspace)
		}
	}
	return nil
}

func fits(text string, size int) bool { return text != "" && len(text) <= size }

// Empty reports whether the message has neither strikes nor passes.
func (j Strikes) Empty() bool { return len(j.Strikes) == 0 && len(j.Passes) == 0 }

// Strikes returns all unexpired strikes and passes of this instance, for peers that
// missed earlier messages.
func (q *Quarantiner) Strikes(now timekeeper.Millis) Strikes {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	since := now - q.options.StrikeTTL
	q.localStrikes = slices.DeleteFunc(q.localStrikes, func(s Strike) bool { return s.At <= since })
	q.localPasses = slices.DeleteFunc(q.localPasses, func(p Pass) bool { return p.At <= since })
	return Strikes{Instance: q.options.Instance, Strikes: slices.Clone(q.localStrikes), Passes: slices.Clone(q.localPasses)}
}

// Observe adds the strikes and passes of a peer's checked message. It is idempotent.
func (q *Quarantiner) Observe(m Strikes, now timekeeper.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range m.Strikes {
		s.At = min(s.At, now) // A peer's clock may be ahead.
		q.addStrike(s, now)
	}
	for _, p := range m.Passes {
		p.At = min(p.At, now)
		q.addPass(p, now)
	}
}

func (q *Quarantiner) addStrike(k Strike, now timekeeper.Millis) {
	if k.At <= now-q.options.StrikeTTL {
		return
	}
	s, ok := q.suspects.get(k.Fingerprint)
	if !ok {
		s = &suspect{}
		q.suspects.put(k.Fingerprint, s)
	}
	known := func(o Strike) bool { return o.Exact == k.Exact && sameCrash(o, k, q.options) }
	if s.superseded(k) || slices.ContainsFunc(s.strikes, known) {
		return
	}
	s.cleared = slices.DeleteFunc(s.cleared, func(p Pass) bool { return p.Exact == k.Exact })
	if k.Alone {
		q.aloneStrikes = appendBounded(q.aloneStrikes, k, maxStrikes)
	}
	s.strikes = appendBounded(s.strikes, k, maxSuspectStrikes)
	q.passed.remove(k.Fingerprint)
	q.addCrash(k)
}

// addCrash adds a crash to the workspace once, however many of its requests were on
// the target.
func (q *Quarantiner) addCrash(k Strike) {
	w, ok := q.workspaces.get(k.Workspace)
	if !ok {
		w = &workspace{}
		q.workspaces.put(k.Workspace, w)
	}
	for i, o := range w.crashes {
		if sameCrash(o, k, q.options) {
			if k.Alone && !o.Alone {
				w.crashes[i] = k
			}
			return
		}
	}
	w.crashes = appendBounded(w.crashes, k, maxCrashes)
	w.passes = 0
}

func (q *Quarantiner) addPass(p Pass, now timekeeper.Millis) {
	if p.At <= now-q.options.StrikeTTL {
		return
	}
	if s, ok := q.suspects.get(p.Fingerprint); ok {
		if s.isCleared(p.Exact) || slices.ContainsFunc(s.strikes, func(k Strike) bool { return k.Exact == p.Exact && k.At > p.At }) {
			return
		}
		s.cleared = appendBounded(s.cleared, p, maxCleared)
		if len(s.cleared) >= clearPasses {
			s.clearedAt = p.At
		}
		s.strikes = slices.DeleteFunc(s.strikes, s.superseded)
		if len(s.strikes) == 0 {
			q.passed.put(p.Fingerprint, struct{}{})
		}
	} else if _, known := q.passed.get(p.Fingerprint); known {
		return
	} else {
		q.passed.put(p.Fingerprint, struct{}{})
	}
	if w, ok := q.workspaces.get(p.Workspace); ok {
		w.passes++
	}
}

func sortStrikes(strikes []Strike) {
	slices.SortFunc(strikes, func(a, b Strike) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Exact, b.Exact))
	})
}

// appendBounded appends an item and drops the oldest ones beyond size.
func appendBounded[T any](items []T, item T, size int) []T {
	items = append(items, item)
	return slices.Delete(items, 0, max(len(items)-size, 0))
}
