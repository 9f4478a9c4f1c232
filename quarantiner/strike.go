package quarantiner

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds of one message; an engine runs at most a few hundred requests of one instance.
const (
	maxStrikes = 64
	maxPasses  = 64
	maxName    = 63
)

// ErrMalformedStrikes means that a peer's strikes break their schema or bounds.
var ErrMalformedStrikes = errors.New("malformed strikes")

// Check reports the first fault of strikes from a peer.
func (j Strikes) Check() error {
	if !fits(j.Instance, maxName) || len(j.Strikes) > maxStrikes || len(j.Passes) > maxPasses {
		return errors.Wrap(ErrMalformedStrikes, "instance or number of entries")
	}
	for _, s := range j.Strikes {
		if !fits(s.Workspace, maxName) || !fits(s.Target, maxName) || !fits(s.Fingerprint, 2*digestBytes) ||
			!fits(s.Exact, 2*digestBytes) || s.At < 0 || s.Bucket < 0 || s.Bucket > 64 {
			return errors.Wrapf(ErrMalformedStrikes, "strike on target %q", s.Target)
		}
	}
	for _, p := range j.Passes {
		if !fits(p.Workspace, maxName) || !fits(p.Fingerprint, 2*digestBytes) || !fits(p.Exact, 2*digestBytes) || p.At < 0 {
			return errors.Wrapf(ErrMalformedStrikes, "pass of workspace %q", p.Workspace)
		}
	}
	return nil
}

func fits(text string, size int) bool { return text != "" && len(text) <= size }

// Empty reports whether there is nothing to spread.
func (j Strikes) Empty() bool { return len(j.Strikes) == 0 && len(j.Passes) == 0 }

// Strikes returns all strikes and passes of this instance that still count, for
// peers that missed the messages.
func (q *Quarantiner) Strikes(now timekeeper.Millis) Strikes {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	since := now - q.options.StrikeLife
	q.strikes = slices.DeleteFunc(q.strikes, func(s Strike) bool { return s.At <= since })
	q.passes = slices.DeleteFunc(q.passes, func(p Pass) bool { return p.At <= since })
	return Strikes{Instance: q.options.Instance, Strikes: slices.Clone(q.strikes), Passes: slices.Clone(q.passes)}
}

// Observe takes over checked strikes of a peer; repeated ones change nothing.
func (q *Quarantiner) Observe(m Strikes, now timekeeper.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range m.Strikes {
		s.At = min(s.At, now) // A peer's clock may be ahead.
		q.strike(s, now)
	}
	for _, p := range m.Passes {
		p.At = min(p.At, now)
		q.pass(p, now)
	}
}

func (q *Quarantiner) strike(k Strike, now timekeeper.Millis) {
	if k.At <= now-q.options.StrikeLife {
		return
	}
	s, ok := q.suspects.get(k.Fingerprint)
	if !ok {
		s = &suspect{}
		q.suspects.put(k.Fingerprint, s)
	}
	known := func(o Strike) bool { return o.Exact == k.Exact && sameCrash(o, k, q.options) }
	if s.outdated(k) || slices.ContainsFunc(s.strikes, known) {
		return
	}
	s.cleared = slices.DeleteFunc(s.cleared, func(p Pass) bool { return p.Exact == k.Exact })
	if k.Alone {
		q.alone = appendBounded(q.alone, k, maxStrikes)
	}
	s.strikes = appendBounded(s.strikes, k, maxSuspectStrikes)
	q.passed.remove(k.Fingerprint)
	q.charge(k)
}

// charge counts the crash for the workspace once, however many of its requests were there.
func (q *Quarantiner) charge(k Strike) {
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

func (q *Quarantiner) pass(p Pass, now timekeeper.Millis) {
	if p.At <= now-q.options.StrikeLife {
		return
	}
	if s, ok := q.suspects.get(p.Fingerprint); ok {
		if s.clears(p.Exact) || slices.ContainsFunc(s.strikes, func(k Strike) bool { return k.Exact == p.Exact && k.At > p.At }) {
			return
		}
		s.cleared = appendBounded(s.cleared, p, maxCleared)
		if len(s.cleared) >= clearPasses {
			s.clearedAt = p.At
		}
		s.strikes = slices.DeleteFunc(s.strikes, s.outdated)
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

// appendBounded appends and drops the oldest items above size.
func appendBounded[T any](items []T, item T, size int) []T {
	items = append(items, item)
	return slices.Delete(items, 0, max(len(items)-size, 0))
}
