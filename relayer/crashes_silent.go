package relayer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// silenceInterval is the time between two looks at a silent target.
	silenceInterval = timekeeper.Second
	// silenceRounds bounds the looks at a target whose neighbours can't be reached either.
	silenceRounds = 6
	// maxExaminations bounds the targets that are examined at once, for the connections.
	// That many are silent only for a reason that no request is.
	maxExaminations = 16
	// maxNeighbours is how many targets of the same data centre are tried.
	maxNeighbours = 3
)

// silenceVerdict is what connecting to a silent target shows.
type silenceVerdict int

const (
	silenceUnexplained silenceVerdict = iota // It may be slow, or cut off with its data centre.
	silenceEnded                             // Its process has ended.
	silenceAlone                             // It answers nobody, but others of its data centre do.
)

// silence is the examination of a silent target's process.
type silence struct {
	waiting []suspicion
	ended   bool
	endedAt timekeeper.Reading
	since   timekeeper.Reading // When the target did not answer.
	verdict silenceVerdict
}

// suspicion is a request that a silent target has not begun to answer.
type suspicion struct {
	sentAt timekeeper.Reading
	parts  []quarantiner.Part
}

// silences holds the examinations of silent targets. It is safe for concurrent use.
type silences struct {
	mu       sync.Mutex
	byTarget map[quarantiner.Crash]*silence
	awaited  map[quarantiner.Crash]bool // Silent processes whose return is awaited.
}

// join adds a suspicion to the examination of a target, which the caller has to make if
// it is new. If it has just ended, it returns its result.
func (b *silences) join(id quarantiner.Crash, u suspicion, now timekeeper.Reading) (q *silence, first, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, q := range b.byTarget {
		if q.ended && now.Since(q.endedAt) >= silenceInterval {
			delete(b.byTarget, other)
		}
	}
	if q := b.byTarget[id]; q != nil {
		if !q.ended {
			q.waiting = append(q.waiting, u)
		}
		return q, false, q.ended
	}
	if len(b.byTarget) >= maxExaminations {
		return nil, false, false
	}
	q = &silence{waiting: []suspicion{u}}
	b.byTarget[id] = q
	return q, true, false
}

// end records the result of an examination and returns who waits for it.
func (b *silences) end(q *silence, v silenceVerdict, since, now timekeeper.Reading) []suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := q.waiting
	q.waiting, q.ended, q.endedAt, q.verdict, q.since = nil, true, now, v, since
	return waiting
}

// watchSilence looks at the target of an attempt whenever it has been silent for long,
// until unwatch is called. It returns the attempt, which must be sent.
func (p *pendingRequest) watchSilence(ctx context.Context, a Attempt) Attempt {
	if a.unproven = p.mayHaveBeenSilent(a); p.begun || a.unproven {
		return a
	}
	sent := make(chan struct{})
	a.MarkSent = sync.OnceFunc(func() { close(sent) })
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(p.Tracker.HangTimeout().Duration(), func() {
		select {
		case <-sent:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			if p.Tracker.Silent(a.Target, a.sentAt) {
				p.examine(ctx, a)
			}
			select {
			case <-time.After(silenceInterval.Duration()):
			case <-ctx.Done():
			}
		}
	})
	p.unwatch = func() { timer.Stop(); cancel() }
	return a
}

// mayHaveBeenSilent reports whether an attempt is a repetition at a target that has not been
// heard since the attempts before. It may have been lost together with theirs, and the
// request would be blamed for both.
func (p *pendingRequest) mayHaveBeenSilent(a Attempt) bool {
	at, known := p.Tracker.Heard(a.Target.ID, a.Target.Started)
	return p.calls > 0 && (!known || a.sentAt.Monotonic-at.Monotonic >= p.Tracker.HangTimeout())
}

// examineAfter looks at the target of an attempt that ended in silence. It does not wait.
func (p *pendingRequest) examineAfter(ctx context.Context, a Attempt, f *Failure) {
	p.unwatch()
	if f != nil && p.endedInSilence(a, f) {
		go p.examine(ctx, a)
	}
}

// endedInSilence reports whether an attempt that reached its target ended without a sign
// of life.
func (p *pendingRequest) endedInSilence(a Attempt, f *Failure) bool {
	lost := f.Outcome == tracker.TimedOut || f.Outcome == tracker.ConnectionLost ||
		f.Outcome == tracker.Cancelled && f.State != retrier.NotSent
	return lost && !p.begun && !a.unproven && p.Tracker.SilentSince(a.Target.ID, a.sentAt)
}

// examine finds out whether a silent target has crashed, and records the request as a
// suspect if so. Requests that are silent on the same target share the result.
func (p *pendingRequest) examine(ctx context.Context, a Attempt) {
	id := quarantiner.Crash{Target: a.Target.ID, Started: a.Target.Started}
	u := suspicion{a.sentAt, p.parts}
	q, first, ended := p.silences.join(id, u, p.Clock.Read())
	if ended {
		p.suspect(id, q, u)
		return
	}
	if !first {
		return
	}
	// Others wait for the result, so the end of this request must not end the examination.
	verdict, since := p.explain(context.WithoutCancel(ctx), a.Target)
	waiting := p.silences.end(q, verdict, since, p.Clock.Read())
	if verdict != silenceUnexplained {
		cause, kind := "answers no connection, though others of its data centre do", "silent"
		if verdict == silenceEnded {
			cause, kind = "fell silent and refuses connections", "refused"
		}
		p.Stats.Crashes.Add(kind, 1)
		p.record(recorder.TargetCrashed, a.Target.ID, cause, zap.Int64("target-started", int64(a.Target.Started)),
			zap.String("address", a.Target.Address), zap.Int("requests", len(waiting)))
	}
	for _, u := range waiting {
		p.suspect(id, q, u)
	}
	if verdict == silenceAlone && p.silences.await(id) {
		go p.awaitReturn(p.closed, id)
	}
}

// suspect records what may have crashed a target. A request that was sent when the target
// was silent already is not the cause.
func (p *pendingRequest) suspect(id quarantiner.Crash, q *silence, u suspicion) {
	switch {
	case q.verdict == silenceEnded:
		p.Quarantine.RecordCrash(id, u.parts)
	case q.verdict == silenceAlone && u.sentAt.Monotonic <= q.since.Monotonic:
		p.Quarantine.RecordSilence(id, q.since, u.parts)
	}
}

// explain connects to a silent target and to others of its data centre, and returns since
// when the target has been silent if it is alone in that. Another target that can be
// reached between two connections that are not answered rules out a cut of their data
// centre, and of this instance.
func (p *pendingRequest) explain(ctx context.Context, target tracker.Target) (silenceVerdict, timekeeper.Reading) {
	for round := range silenceRounds {
		if round > 0 {
			time.Sleep(silenceInterval.Duration())
		}
		since := p.Clock.Read()
		reached := p.Sender.Probe(ctx, target)
		if reached == ProbeUnanswered {
			if !p.anyAccepts(ctx, p.Tracker.Neighbours(target, maxNeighbours)) {
				continue
			}
			reached = p.Sender.Probe(ctx, target)
		}
		switch reached {
		case ProbeUnanswered:
			return silenceAlone, since
		case ProbeRefused:
			return silenceEnded, since
		default:
			return silenceUnexplained, since
		}
	}
	return silenceUnexplained, timekeeper.Reading{}
}

// anyAccepts reports whether one of the targets takes a connection.
func (p *pendingRequest) anyAccepts(ctx context.Context, targets []tracker.Target) bool {
	results := make(chan bool, len(targets))
	for _, t := range targets {
		go func() { results <- p.Sender.Probe(ctx, t) == ProbeAccepted }()
	}
	for range targets {
		if <-results {
			return true
		}
	}
	return false
}
