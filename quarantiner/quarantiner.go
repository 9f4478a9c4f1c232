// Package quarantiner keeps requests that crash their targets from taking more
// targets with them: requests that were on a crashed target run alone next, and a
// fingerprint that lost two targets is refused.
package quarantiner

import (
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Verdict is what may happen to a request.
type Verdict string

// Verdicts on a request.
const (
	Run    Verdict = "run"    // It may run with others.
	Solo   Verdict = "solo"   // It must be alone on its target; it holds the turn until its end.
	Wait   Verdict = "wait"   // Another suspect has the turn; ask again at RetryAt.
	Refuse Verdict = "refuse" // It crashed targets and is quarantined until RetryAt.
)

// Decision is a verdict with the time at which it may change.
type Decision struct {
	Verdict Verdict
	RetryAt timekeeper.Millis
}

// Quarantiner holds one instance's suspects. It is safe for concurrent use.
type Quarantiner struct {
	options Options

	mu         sync.Mutex
	runs       map[string]run
	suspects   *bounded[*suspect]
	workspaces *bounded[*workspace]
	passed     *bounded[struct{}]
	turns      map[string]turn // Turns taken, by fingerprint or watched workspace.
	strikes    []Strike        // Strikes of this instance, oldest first.
	passes     []Pass          // Passes of this instance, oldest first.
	alone      []Strike        // Strikes of any instance for requests alone on their target.
}

// run is a request in flight on a target.
type run struct {
	identity Identity
	target   string
	solo     bool
	started  timekeeper.Millis
}

// turn is the right of one suspect to run; others with the same name wait.
type turn struct {
	exact string
	since timekeeper.Millis
}

// New returns a quarantiner without suspects.
func New(o Options) *Quarantiner {
	o = o.withDefaults()
	return &Quarantiner{
		options:    o,
		runs:       map[string]run{},
		suspects:   newBounded[*suspect](o.MaxFingerprints),
		workspaces: newBounded[*workspace](o.MaxWorkspaces),
		passed:     newBounded[struct{}](o.MaxFingerprints),
		turns:      map[string]turn{},
	}
}

// Admit decides on a request before a target is chosen. After Solo the caller
// ends the turn with Ended or Abandon.
func (q *Quarantiner) Admit(id Identity, now timekeeper.Millis) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	since := now - q.options.StrikeLife
	w, _ := q.workspaces.get(id.Workspace)
	if s, ok := q.suspects.get(id.Fingerprint); ok && s.active(since) {
		switch {
		case s.clears(id.Exact):
			return Decision{Verdict: Run}
		case q.condemned(s, since), q.aloneStrike(s, since) && q.proven(w, since, id.Bucket) >= q.options.WorkspaceProof:
			return Decision{Verdict: Refuse, RetryAt: s.last() + q.options.StrikeLife}
		}
		return q.takeTurn(id.Fingerprint, id, now)
	}
	if _, ok := q.passed.get(id.Fingerprint); ok || w == nil {
		return Decision{Verdict: Run}
	}
	if q.proven(w, since, id.Bucket) >= q.options.WorkspaceProof {
		return Decision{Verdict: Refuse, RetryAt: w.lastProof() + q.options.StrikeLife}
	}
	if w.watched(since, q.options) {
		return q.takeTurn(watchTurn+id.Workspace, id, now)
	}
	return Decision{Verdict: Run}
}

// watchTurn marks the turn of a watched workspace; fingerprints are hexadecimal and never start so.
const watchTurn = "workspace:"

func (q *Quarantiner) takeTurn(name string, id Identity, now timekeeper.Millis) Decision {
	if t, taken := q.turns[name]; taken && now-t.since < q.options.SoloLife {
		return Decision{Verdict: Wait, RetryAt: now + q.options.WaitStep}
	}
	q.turns[name] = turn{exact: id.Exact, since: now}
	return Decision{Verdict: Solo, RetryAt: now}
}

// Abandon gives back the turn of a solo request that found no target in time.
func (q *Quarantiner) Abandon(id Identity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endTurn(id)
}

func (q *Quarantiner) endTurn(id Identity) {
	for _, name := range []string{id.Fingerprint, watchTurn + id.Workspace} {
		if q.turns[name].exact == id.Exact {
			delete(q.turns, name)
		}
	}
}

// Started notes that a request is in flight on a target; solo repeats the verdict.
func (q *Quarantiner) Started(request string, id Identity, target string, solo bool, now timekeeper.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runs[request] = run{identity: id, target: target, solo: solo, started: now}
}

// Ended notes that a request is no longer in flight. A suspect that succeeded
// alone is cleared; its pass is to be spread if the result is not empty.
func (q *Quarantiner) Ended(request string, succeeded bool, now timekeeper.Millis) Strikes {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.runs[request]
	if !ok {
		return Strikes{Instance: q.options.Instance}
	}
	delete(q.runs, request)
	if !r.solo {
		return Strikes{Instance: q.options.Instance}
	}
	q.endTurn(r.identity)
	if !succeeded {
		return Strikes{Instance: q.options.Instance}
	}
	p := Pass{Workspace: r.identity.Workspace, Fingerprint: r.identity.Fingerprint, Exact: r.identity.Exact, At: now}
	q.pass(p, now)
	q.passes = appendBounded(q.passes, p, maxPasses)
	return Strikes{Instance: q.options.Instance, Passes: []Pass{p}}
}

// Crashed gives a strike to every request in flight on a target that crashed. A
// target that announced its end did not crash. Spread the result before the
// callers of these requests get an answer: then no instance runs them unaware.
func (q *Quarantiner) Crashed(target string, now timekeeper.Millis) Strikes {
	q.mu.Lock()
	defer q.mu.Unlock()
	var requests []string
	for request, r := range q.runs {
		if r.target == target {
			requests = append(requests, request)
		}
	}
	message := Strikes{Instance: q.options.Instance}
	seen := map[string]bool{}
	for _, request := range requests {
		r := q.runs[request]
		delete(q.runs, request)
		if r.solo {
			q.endTurn(r.identity)
		}
		// Equal requests on one target are one suspect.
		if id := r.identity; !seen[id.Exact] && len(message.Strikes) < maxStrikes {
			seen[id.Exact] = true
			message.Strikes = append(message.Strikes, Strike{
				Workspace: id.Workspace, Fingerprint: id.Fingerprint, Exact: id.Exact, Bucket: id.Bucket,
				Target: target, At: now, Alone: r.solo && len(requests) == 1,
			})
		}
	}
	sortStrikes(message.Strikes)
	for _, s := range message.Strikes {
		q.strike(s, now)
		q.strikes = appendBounded(q.strikes, s, maxStrikes)
	}
	return message
}

// expire drops runs and turns whose caller never ended them.
func (q *Quarantiner) expire(now timekeeper.Millis) {
	for name, t := range q.turns {
		if now-t.since >= q.options.SoloLife {
			delete(q.turns, name)
		}
	}
	for request, r := range q.runs {
		if now-r.started >= lostRunLife {
			delete(q.runs, request)
		}
	}
}

// lostRunLife is longer than any deadline that a class may declare (24 h).
const lostRunLife = 25 * timekeeper.Hour
