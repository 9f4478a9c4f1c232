package router

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// work is load of a target: requests, prompt tokens to prefill and output tokens to decode.
type work struct{ requests, prefill, output float64 }

func (w work) plus(v work) work {
	return work{w.requests + v.requests, w.prefill + v.prefill, w.output + v.output}
}

// minus subtracts v and never goes below zero.
func (w work) minus(v work) work {
	return work{max(w.requests-v.requests, 0), max(w.prefill-v.prefill, 0), max(w.output-v.output, 0)}
}

func (w work) scaled(f float64) work { return work{w.requests * f, w.prefill * f, w.output * f} }

func (w work) max(v work) work {
	return work{max(w.requests, v.requests), max(w.prefill, v.prefill), max(w.output, v.output)}
}

func workOf(l Load) work {
	return work{float64(l.Requests), float64(l.Prefill), float64(l.Output)}
}

// target is this instance's view of one target.
type target struct {
	declarer.Target
	nameHash    uint64
	leaving     bool
	localNotice bool              // Whether the newest notice is from this instance.
	warmUpStart timekeeper.Millis // 0 means that the target needs no warm-up.

	local      work
	remote     work // Scaled to the router's epoch.
	reported   work // Work in the last report, without local work.
	reportedAt timekeeper.Millis

	localOutcomes  outcomeCounts // Attempts of this instance.
	remoteOutcomes outcomeCounts // Attempts of peers; start is the time of their newest delta.
	ejectedUntil   timekeeper.Millis
	ejections      int

	soloFingerprint     string // Suspect for which this instance reserves the target.
	soloSince           timekeeper.Millis
	soloRequestedAt     timekeeper.Millis
	soloRunning         bool
	holdUntil           timekeeper.Millis // Until then the target is kept free for the next suspect.
	reservedUntil       timekeeper.Millis // End of a peer's reservation.
	reservedFingerprint string
	reservedBy          string
}

// Report is a target's report of its load.
type Report struct {
	Target        string
	At            timekeeper.Millis // When the target measured it.
	Running       int
	Waiting       int
	PrefillTokens int // Prompt tokens not yet prefilled; 0 if the target does not report them.
	OutputTokens  int // Output tokens still expected; 0 if the target does not report them.
	Leaving       bool
}

// ObserveReport applies a target's report unless a newer one was received.
func (r *Router) ObserveReport(p Report, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Leaving {
		r.recordNotice(Notice{Target: p.Target, At: min(p.At, now), Leaving: true}, true)
	}
	t := r.targets[p.Target]
	if t == nil || p.At <= t.reportedAt || p.At > now {
		return
	}
	t.reportedAt = p.At
	t.reported = r.reportedWork(p).minus(t.local)
}

// reportedWork returns the work in a report. Without token counts, waiting requests
// count as average ones and running requests as half decoded.
func (r *Router) reportedWork(p Report) work {
	running, waiting := float64(p.Running), float64(p.Waiting)
	if p.PrefillTokens == 0 && p.OutputTokens == 0 {
		return work{running + waiting, waiting * r.averageRequest.prefill, (running/2 + waiting) * r.averageRequest.output}
	}
	return work{running + waiting, float64(p.PrefillTokens), float64(p.OutputTokens)}
}

// snapshot is the view of a pool at one point in time.
type snapshot struct {
	now     timekeeper.Millis
	decay   float64
	average work // Mean of the pool's reports, towards which stale reports decay.
}

func (r *Router) snapshot(p *pool, now timekeeper.Millis) snapshot {
	r.rebase(now)
	s := snapshot{now: now, decay: r.decay(now)}
	for _, t := range p.targets {
		s.average = s.average.plus(t.reported)
	}
	s.average = s.average.scaled(1 / float64(max(len(p.targets), 1)))
	return s
}

// load estimates the work on a target. Peers' deltas and the report describe the
// same work, so the larger of the two counts. A stale report decays towards the
// pool's mean: with a decay to zero, targets that report rarely would look idle.
func (r *Router) load(t *target, s snapshot) work {
	remote := t.remote.scaled(s.decay)
	if t.reportedAt > 0 {
		reportWeight := math.Exp2(-float64(s.now-t.reportedAt) / float64(r.options.ReportHalfLife))
		remote = remote.max(t.reported.scaled(reportWeight).plus(s.average.scaled(1 - reportWeight)))
	}
	return t.local.plus(remote)
}

// minWeight keeps new and failing targets from getting no requests at all.
const minWeight = 0.05

// weight returns the weight of a target, between minWeight and 1: it grows during
// the warm-up and falls with the share of recent attempts that failed.
func (r *Router) weight(t *target, now timekeeper.Millis) float64 {
	weight := 1.0
	if t.warmUpStart > 0 {
		weight = min(float64(now-t.warmUpStart)/float64(r.options.WarmUp), 1)
	}
	if e := r.recentOutcomes(t, now); e.failures > 0 {
		weight *= 1 - float64(e.failures)/float64(e.attempts)
	}
	return max(weight, minWeight)
}

// waitTime estimates the wait before the prefill of a new request, in milliseconds.
func (t *target) waitTime(l work) float64 {
	wait := l.prefill * 1000 / t.PrefillTokensPerSecond
	if over := l.requests + 1 - float64(t.Concurrency); over > 0 {
		// Slots become free at intervals of a request's mean remaining decode time divided by the slots.
		mean := l.output / max(l.requests, 1)
		wait += over / float64(t.Concurrency) * mean * t.tokenTime(float64(t.Concurrency))
	}
	return wait
}

// tokenTime estimates the time between two tokens of one request in a batch, in
// milliseconds. Half of a decode step's time is assumed independent of the batch size.
func (t *target) tokenTime(batch float64) float64 {
	slots := float64(t.Concurrency)
	return 1000 / t.DecodeTokensPerSecond * (slots + min(batch, slots)) / 2
}

// totalTime estimates the duration of a request, in milliseconds.
func (t *target) totalTime(l work, prefill, output float64) float64 {
	return t.waitTime(l) + prefill*1000/t.PrefillTokensPerSecond + output*t.tokenTime(l.requests+1)
}

// workTime returns the time that a target needs for work l, in milliseconds, for
// comparing loads. Each request adds a millisecond.
func (t *target) workTime(l work) float64 {
	return l.prefill*1000/t.PrefillTokensPerSecond + l.output*1000/t.DecodeTokensPerSecond + l.requests
}
