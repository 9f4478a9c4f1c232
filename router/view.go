package router

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// work is load of a target: requests, prompt tokens still to compute and output tokens still to come.
type work struct{ requests, prefill, output float64 }

func (w work) plus(v work) work {
	return work{w.requests + v.requests, w.prefill + v.prefill, w.output + v.output}
}

// minus subtracts v and never goes below zero.
func (w work) minus(v work) work {
	return work{max(w.requests-v.requests, 0), max(w.prefill-v.prefill, 0), max(w.output-v.output, 0)}
}

func (w work) scaled(f float64) work { return work{w.requests * f, w.prefill * f, w.output * f} }

func (w work) most(v work) work {
	return work{max(w.requests, v.requests), max(w.prefill, v.prefill), max(w.output, v.output)}
}

func workOf(l Load) work {
	return work{float64(l.Requests), float64(l.Prefill), float64(l.Output)}
}

// target is the view of one target.
type target struct {
	declarer.Target
	salt     uint64
	leaving  bool
	noticed  bool              // Whether this instance gave the newest notice.
	warmFrom timekeeper.Millis // Start of the warm-up; 0 means warm.

	own      work
	peers    work // Scaled to the router's epoch.
	reported work // Others' work in the last report.
	reportAt timekeeper.Millis

	evidence     evidence // Own attempts.
	heard        evidence // Attempts of peers; start is the time of the last news.
	ejectedUntil timekeeper.Millis
	ejections    int

	solo          string // Fingerprint for which this instance holds the target.
	soloSince     timekeeper.Millis
	soloSeen      timekeeper.Millis
	soloRuns      bool
	holdUntil     timekeeper.Millis // Kept free for the next suspect.
	reservedUntil timekeeper.Millis // Reservation by a peer.
	reservedFor   string
	reservedBy    string
}

// Report is a target's own account of its load.
type Report struct {
	Target        string
	At            timekeeper.Millis // When the target measured it.
	Running       int
	Waiting       int
	PrefillTokens int // Prompt tokens not yet computed; 0 when the target does not know.
	OutputTokens  int // Output tokens still expected; 0 when the target does not know.
	Leaving       bool
}

// ObserveReport takes over a target's report unless a newer one is known.
func (r *Router) ObserveReport(p Report, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Leaving {
		r.notice(Notice{Target: p.Target, At: min(p.At, now), Leaving: true}, true)
	}
	t := r.targets[p.Target]
	if t == nil || p.At <= t.reportAt || p.At > now {
		return
	}
	t.reportAt = p.At
	t.reported = r.reported(p).minus(t.own)
}

// reported is the work in a report. Without token counts, waiting requests count
// as typical ones and running requests as half answered.
func (r *Router) reported(p Report) work {
	running, waiting := float64(p.Running), float64(p.Waiting)
	if p.PrefillTokens == 0 && p.OutputTokens == 0 {
		return work{running + waiting, waiting * r.typical.prefill, (running/2 + waiting) * r.typical.output}
	}
	return work{running + waiting, float64(p.PrefillTokens), float64(p.OutputTokens)}
}

// snapshot is the view of a pool at one moment.
type snapshot struct {
	now     timekeeper.Millis
	decay   float64
	average work // Mean of the pool's reports, to which stale reports tend.
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
// same work, so the larger of the two counts. A stale report tends to the pool's
// mean: if it tended to zero, the targets heard least would look idle.
func (r *Router) load(t *target, s snapshot) work {
	others := t.peers.scaled(s.decay)
	if t.reportAt > 0 {
		fresh := math.Exp2(-float64(s.now-t.reportAt) / float64(r.options.ReportLag))
		others = others.most(t.reported.scaled(fresh).plus(s.average.scaled(1 - fresh)))
	}
	return t.own.plus(others)
}

// minWarmth lets a new or failing target be tried at all.
const minWarmth = 0.05

// warmth is the weight of a target between minWarmth and 1: it grows after the
// target is new and falls with the share of recent attempts that failed.
func (r *Router) warmth(t *target, now timekeeper.Millis) float64 {
	weight := 1.0
	if t.warmFrom > 0 {
		weight = min(float64(now-t.warmFrom)/float64(r.options.WarmUp), 1)
	}
	if e := r.evidence(t, now); e.failures > 0 {
		weight *= 1 - float64(e.failures)/float64(e.attempts)
	}
	return max(weight, minWarmth)
}

// wait estimates the time before a new request's prompt is computed, in milliseconds.
func (t *target) wait(l work) float64 {
	wait := l.prefill * 1000 / t.PrefillTokensPerSecond
	if over := l.requests + 1 - float64(t.Concurrency); over > 0 {
		// One slot frees after the mean remaining output of a running request, divided by the slots.
		mean := l.output / max(l.requests, 1)
		wait += over / float64(t.Concurrency) * mean * t.tokenTime(float64(t.Concurrency))
	}
	return wait
}

// tokenTime estimates the time between two tokens of one request in a batch, in
// milliseconds. Half of a step's time is taken as independent of the batch size.
func (t *target) tokenTime(batch float64) float64 {
	slots := float64(t.Concurrency)
	return 1000 / t.DecodeTokensPerSecond * (slots + min(batch, slots)) / 2
}

// total estimates the whole time of a request, in milliseconds.
func (t *target) total(l work, prefill, output float64) float64 {
	return t.wait(l) + prefill*1000/t.PrefillTokensPerSecond + output*t.tokenTime(l.requests+1)
}

// busy is the time the target needs for its work, in milliseconds, for comparing load.
func (t *target) busy(l work) float64 {
	return l.prefill*1000/t.PrefillTokensPerSecond + l.output*1000/t.DecodeTokensPerSecond + l.requests
}
