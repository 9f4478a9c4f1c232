package relayer

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// probeTTL is how long the result of a probe holds for other requests that were lost on
// the same target.
const probeTTL = timekeeper.Second

// prober finds out whether targets that lost requests have crashed. It is safe for
// concurrent use.
type prober struct {
	mu     sync.Mutex
	probes map[quarantiner.Crash]*probe
}

// probe is one attempt to connect to a target that lost requests.
type probe struct {
	startedAt timekeeper.Reading
	done      chan struct{} // Closed when crashed is known.
	crashed   bool
}

// begin returns the current probe of a target's process, and whether the caller has to
// make it.
func (b *prober) begin(id quarantiner.Crash, now timekeeper.Reading) (*probe, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.probes[id]; q != nil && now.Since(q.startedAt) < probeTTL {
		return q, false
	}
	for other, q := range b.probes {
		if now.Since(q.startedAt) >= probeTTL {
			delete(b.probes, other)
		}
	}
	q := &probe{startedAt: now, done: make(chan struct{})}
	b.probes[id] = q
	return q, true
}

// suspectParts records the parts of a request that was lost before its answer began, if
// its target has crashed. A lost connection alone is no evidence of a crash.
func (p *pendingRequest) suspectParts(ctx context.Context, a Attempt) {
	id := quarantiner.Crash{Target: a.Target.ID, Started: a.Target.Started}
	q, first := p.prober.begin(id, p.Clock.Read())
	if first {
		// Others wait for the result, so the end of this request must not end the probe.
		q.crashed = p.Sender.Probe(context.WithoutCancel(ctx), a.Target) == ProbeRefused
		if q.crashed {
			p.Stats.Crashes.Add("refused", 1)
			p.record(recorder.TargetCrashed, a.Target.ID, "lost requests and refuses connections",
				zap.Int64("target-started", int64(a.Target.Started)), zap.String("address", a.Target.Address))
		}
		close(q.done)
	}
	select {
	case <-q.done:
	case <-ctx.Done():
		return
	}
	if q.crashed {
		p.Quarantine.RecordCrash(id, p.parts)
	}
}

// quarantined returns the refusal of a request whose prompt holds quarantined parts.
func (p *pendingRequest) quarantined() (Refusal, bool) {
	if p.trial {
		return Refusal{}, false
	}
	switch d := p.Quarantine.Admit(p.parts, p.MayTry); d.Verdict {
	case quarantiner.Refuse:
		return Refusal{ReasonQuarantined, true, max(d.RetryAt-p.Clock.Now(), 0)}, true
	case quarantiner.Trial:
		p.trial = true
	}
	return Refusal{}, false
}

// suspectableParts returns what may crash a target: a part that the prompt shares with
// others, or the request itself, which its caller may send again.
func (p *pendingRequest) suspectableParts(service string) []quarantiner.Part {
	parts := []quarantiner.Part{quarantiner.WholeOf(service, p.workspace, p.request.Digest)}
	for _, id := range p.request.Prompt.SharedParts() {
		parts = append(parts, quarantiner.PartOf(service, id))
	}
	return parts
}

// lostBeforeAnswer reports whether an attempt ended without the beginning of an answer
// because its connection broke.
func (p *pendingRequest) lostBeforeAnswer(f *Failure) bool {
	return f != nil && f.Outcome == tracker.ConnectionLost && !p.begun
}
