// Package quarantiner protects targets from requests that crash them. A request
// that was in flight on a target when it crashed gets a strike and is a suspect: it
// runs alone on its target next. A pass records that it succeeded alone. A
// fingerprint that caused the loss of two targets is refused.
//
// PartQuarantine does the same for parts of prompts, which differ in everything else.
package quarantiner

import (
	"sync"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Verdict tells whether and how a request may run.
type Verdict string

// Verdicts on a request.
const (
	Run    Verdict = "run"    // It may share a target with other requests.
	Solo   Verdict = "solo"   // It must be alone on its target and holds the turn until it ends.
	Wait   Verdict = "wait"   // Another suspect has the turn; call Admit again at RetryAt.
	Trial  Verdict = "trial"  // It shows whether its quarantined parts still crash targets; one attempt.
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

	mu           sync.Mutex
	inFlight     map[string]inFlightRequest // By request ID.
	suspects     *lruMap[*suspect]          // By fingerprint.
	workspaces   *lruMap[*workspace]        // By name.
	passed       *lruMap[struct{}]          // Fingerprints without strikes that succeeded alone.
	turns        map[string]turn            // Turns taken, by fingerprint or watched workspace.
	localStrikes []Strike                   // Strikes of this instance, oldest first.
	localPasses  []Pass                     // Passes of this instance, oldest first.
	aloneStrikes []Strike                   // Strikes of any instance for requests alone on their target.
}

// inFlightRequest is a request in flight on a target.
type inFlightRequest struct {
	identity Identity
	target   string
	solo     bool
	started  timekeeper.Millis
}

// turn is the exclusive right of one suspect to run. Suspects with the same
// fingerprint, or in the same watched workspace, wait for it.
type turn struct {
	exact string
	since timekeeper.Millis
}

// New returns a quarantiner without suspects.
func New(o Options) *Quarantiner {
	o = o.withDefaults()
	return &Quarantiner{
		options:    o,
		inFlight:   map[string]inFlightRequest{},
		suspects:   newLRUMap[*suspect](o.MaxFingerprints),
		workspaces: newLRUMap[*workspace](o.MaxWorkspaces),
		passed:     newLRUMap[struct{}](o.MaxFingerprints),
		turns:      map[string]turn{},
	}
}

// Admit decides on a request before a target is chosen. After Solo the caller must
// end the turn with Ended or Abandon.
func (q *Quarantiner) Admit(id Identity, now timekeeper.Millis) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	since := now - q.options.StrikeTTL
	w, _ := q.workspaces.get(id.Workspace)
	if s, ok := q.suspects.get(id.Fingerprint); ok && s.active(since) {
		switch {
		case s.isCleared(id.Exact):
			return Decision{Verdict: Run}
		case q.quarantined(s, since), q.hasAloneStrike(s, since) && q.provenCrashes(w, since, id.Bucket) >= q.options.MaxProvenCrashes:
			return Decision{Verdict: Refuse, RetryAt: s.lastStrike() + q.options.StrikeTTL}
		}
		return q.takeTurn(id.Fingerprint, id, now)
	}
	if _, ok := q.passed.get(id.Fingerprint); ok || w == nil {
		return Decision{Verdict: Run}
	}
	if q.provenCrashes(w, since, id.Bucket) >= q.options.MaxProvenCrashes {
		return Decision{Verdict: Refuse, RetryAt: w.lastAloneCrash() + q.options.StrikeTTL}
	}
	if w.watched(since, q.options) {
		return q.takeTurn(watchTurnPrefix+id.Workspace, id, now)
	}
	return Decision{Verdict: Run}
}

// watchTurnPrefix precedes a watched workspace's name in the names of turns.
// Fingerprints are hexadecimal and cannot start with it.
const watchTurnPrefix = "workspace:"

func (q *Quarantiner) takeTurn(name string, id Identity, now timekeeper.Millis) Decision {
	if t, taken := q.turns[name]; taken && now-t.since < q.options.SoloTimeout {
		return Decision{Verdict: Wait, RetryAt: now + q.options.RetryInterval}
	}
	q.turns[name] = turn{exact: id.Exact, since: now}
	return Decision{Verdict: Solo, RetryAt: now}
}

// Abandon ends the turn of a solo request that found no target in time.
func (q *Quarantiner) Abandon(id Identity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endTurn(id)
}

func (q *Quarantiner) endTurn(id Identity) {
	for _, name := range []string{id.Fingerprint, watchTurnPrefix + id.Workspace} {
		if q.turns[name].exact == id.Exact {
			delete(q.turns, name)
		}
	}
}

// Started records that a request is in flight on a target. solo tells whether its
// verdict was Solo.
func (q *Quarantiner) Started(request string, id Identity, target string, solo bool, now timekeeper.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight[request] = inFlightRequest{identity: id, target: target, solo: solo, started: now}
}

// Ended records that a request is no longer in flight. A suspect that succeeded
// alone is cleared, and the result holds its pass. If the result is not empty, the
// caller must send it to all peers.
func (q *Quarantiner) Ended(request string, succeeded bool, now timekeeper.Millis) Strikes {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.inFlight[request]
	if !ok {
		return Strikes{Instance: q.options.Instance}
	}
	delete(q.inFlight, request)
	if !r.solo {
		return Strikes{Instance: q.options.Instance}
	}
	q.endTurn(r.identity)
	if !succeeded {
		return Strikes{Instance: q.options.Instance}
	}
	p := Pass{Workspace: r.identity.Workspace, Fingerprint: r.identity.Fingerprint, Exact: r.identity.Exact, At: now}
	q.addPass(p, now)
	q.localPasses = appendBounded(q.localPasses, p, maxPasses)
	return Strikes{Instance: q.options.Instance, Passes: []Pass{p}}
}

// Crashed gives a strike to every request in flight on a crashed target. A target
// that announced its shutdown did not crash. Send the result to all peers before
// the callers of these requests are answered, so that every instance has the
// strikes when a caller retries.
func (q *Quarantiner) Crashed(target string, now timekeeper.Millis) Strikes {
	q.mu.Lock()
	defer q.mu.Unlock()
	var requests []string
	for request, r := range q.inFlight {
		if r.target == target {
			requests = append(requests, request)
		}
	}
	message := Strikes{Instance: q.options.Instance}
	seen := map[string]bool{}
	for _, request := range requests {
		r := q.inFlight[request]
		delete(q.inFlight, request)
		if r.solo {
			q.endTurn(r.identity)
		}
		// Identical requests on one target get one strike.
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
		q.addStrike(s, now)
		q.localStrikes = appendBounded(q.localStrikes, s, maxStrikes)
	}
	return message
}

// expire drops requests in flight and turns that their caller did not end.
func (q *Quarantiner) expire(now timekeeper.Millis) {
	for name, t := range q.turns {
		if now-t.since >= q.options.SoloTimeout {
			delete(q.turns, name)
		}
	}
	for request, r := range q.inFlight {
		if now-r.started >= inFlightTTL {
			delete(q.inFlight, request)
		}
	}
}

// inFlightTTL is longer than the longest deadline that a class may declare (24 h).
const inFlightTTL = 25 * timekeeper.Hour
