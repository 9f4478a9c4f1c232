package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// workload draws requests: chats with a growing history, and dossiers whose
// prompts share a prefix with others of their host, the manual.
type workload struct {
	random *rand.Rand
	turns  map[int]int
}

func (w *workload) chat(now timekeeper.Millis) Request {
	conversation := w.random.IntN(300)
	w.turns[conversation] = w.turns[conversation]%8 + 1
	turn := w.turns[conversation]
	q := Request{Workspace: fmt.Sprint("w", conversation%6), Route: "chat", Idempotent: true, OutputTokens: 80 + w.random.IntN(120), Deadline: now + 6*timekeeper.Second}
	q.Prefixes = append(q.Prefixes, Prefix{hashName(q.Workspace), 1600})
	for i := 1; i <= turn; i++ {
		q.Prefixes = append(q.Prefixes, Prefix{hashName(fmt.Sprint("chat", conversation, "/", i)), 1600 + 1200*i})
	}
	q.PromptTokens = 400 + 300*turn + 60
	q.PromptBytes = 4 * q.PromptTokens
	return q
}

func (w *workload) dossier(now timekeeper.Millis) Request {
	host := w.random.IntN(24)
	q := Request{Workspace: fmt.Sprint("w", host%6), Route: "chat", Idempotent: true, OutputTokens: 20 + w.random.IntN(40), Deadline: now + 20*timekeeper.Second}
	manual := 4000 + 100*host
	q.Prefixes = []Prefix{{hashName(fmt.Sprint("host", host)), 2000}, {hashName(fmt.Sprint("manual", host)), 4 * manual}}
	q.PromptTokens = manual + 1500 + w.random.IntN(2500)
	q.PromptBytes = 4 * q.PromptTokens
	return q
}

type measurements struct {
	requests, inTime, rejected int
	latency                    []float64
	hitShare                   float64
}

func (g measurements) percentile(p float64) float64 {
	slices.Sort(g.latency)
	return g.latency[int(p*float64(len(g.latency)-1))]
}

// simulateShift runs 14 instances and 10 engines with one policy, while the traffic
// shifts from mostly chats to mostly dossiers.
func simulateShift(requestRate float64, choose policy) measurements {
	f := newFleet(14, catalogue(10, nil))
	w := &workload{random: rand.New(rand.NewPCG(3, 4)), turns: map[int]int{}}
	var g measurements
	const length = 120 * timekeeper.Second
	for f.now < start+length+30*timekeeper.Second {
		f.advance()
		progress := float64(f.now-start) / float64(length)
		dossierShare := min(max(2*progress-0.5, 0.05), 0.6)
		rate := requestRate * step.Seconds() // Requests of all instances in one step.
		for f.now < start+length && w.random.Float64() < rate {
			q := w.chat(f.now)
			if w.random.Float64() < dossierShare {
				q = w.dossier(f.now)
			}
			g.requests++
			j := &job{request: q, arrivedAt: f.now, instance: w.random.IntN(len(f.routers))}
			c, err := choose(f, j.instance, q)
			if err != nil {
				g.rejected++
				break
			}
			j.choice = c
			j.done = func(j *job, ok bool) {
				f.routers[j.instance].Finish(j.choice.ID, Outcome{CachedTokens: j.cached}, f.now)
				g.latency = append(g.latency, float64(f.now-j.arrivedAt))
				if f.now <= j.request.Deadline {
					g.inTime++
				}
			}
			f.submit(j)
			break
		}
	}
	g.hitShare = f.cachedTokens / f.promptTokens
	return g
}

// Guards against routing that wastes capacity when traffic shifts from chats to
// dossiers: fewer answers in time than 1.3 times the better baseline, each at its
// best request rate, or a lower share of prompt tokens from prefix caches.
func TestGoodputThroughAShift(t *testing.T) {
	best, hits := map[string]int{}, map[string]float64{}
	for _, rate := range []float64{12, 24, 36} {
		for name, choose := range map[string]policy{"router": routerPolicy, "round robin": roundRobin(), "least loaded": leastLoaded} {
			g := simulateShift(rate, choose)
			t.Logf("%v/s %-12s requests %d in time %d p50 %.0f ms p95 %.0f ms hit share %.2f", rate, name, g.requests, g.inTime, g.percentile(0.5), g.percentile(0.95), g.hitShare)
			best[name], hits[name] = max(best[name], g.inTime), max(hits[name], g.hitShare)
		}
	}
	assert.Assert(t, float64(best["router"]) >= 1.3*float64(max(best["round robin"], best["least loaded"])), "%v", best)
	assert.Assert(t, hits["router"] > max(hits["round robin"], hits["least loaded"]), "%v", hits)
}

// Guards against estimates of KV cache transfers that stay wrong: the engines here
// take 1.7 times the nominal time.
func TestTransferEstimatesFollowTheMeasurements(t *testing.T) {
	f := newFleet(4, catalogue(10, func(i int, d *declarer.Target) {
		d.Role = []declarer.TargetRole{declarer.TargetRoleMixed, declarer.TargetRolePrefill, declarer.TargetRoleDecode}[i%3]
	}))
	w, requests, split, late := &workload{random: rand.New(rand.NewPCG(5, 6)), turns: map[int]int{}}, 0, 0, 0
	for f.now < start+60*timekeeper.Second {
		f.advance()
		if f.now%80 != 0 {
			continue
		}
		j := &job{request: w.dossier(f.now), instance: w.random.IntN(4)}
		c, err := routerPolicy(f, j.instance, j.request)
		assert.NilError(t, err)
		j.choice, requests = c, requests+1
		if c.Prefill != "" {
			split++
		}
		j.done = func(j *job, _ bool) {
			o := Outcome{CachedTokens: j.cached}
			if j.choice.Prefill != "" {
				o.Transfer = float64(j.readyAt - j.firstTokenAt)
			}
			if f.now > j.request.Deadline {
				late++
			}
			f.routers[j.instance].Finish(j.choice.ID, o, f.now)
		}
		f.submit(j)
	}
	k := f.routers[0].Calibration()
	t.Logf("requests %d split %d late %d; estimated %.0f ms measured %.0f ms factor %.2f", requests, split, late, k.Estimated, k.Measured, k.Factor)
	assert.Assert(t, split > 0 && split < requests && late == 0)
	assert.Assert(t, k.Factor > 0.9*transferRatio && k.Factor < 1.1*transferRatio)
	assert.Assert(t, k.Estimated > 0.8*k.Measured && k.Estimated < 1.2*k.Measured)
}

// simulateOutage runs 12 engines of which 4 refuse connections. It returns the
// number of attempts, of requests and of answers in time.
func simulateOutage(choose policy, retry func(j *job, f *fleet) (timekeeper.Millis, bool)) (attempts, requests, inTime int) {
	f := newFleet(14, catalogue(12, nil))
	for _, name := range []string{"engine-001", "engine-004", "engine-007", "engine-010"} {
		f.engines[name].downUntil = start + timekeeper.Hour
	}
	var send func(j *job)
	send = func(j *job) {
		c, err := choose(f, j.instance, j.request)
		if err != nil {
			return
		}
		j.choice = c
		j.attempts++
		attempts++
		if f.submit(j) {
			return
		}
		f.routers[j.instance].Finish(c.ID, Outcome{Result: Failed}, f.now)
		if at, ok := retry(j, f); ok {
			j.request.Exclude = append(j.request.Exclude, c.Target)
			f.after(at-f.now, func() { send(j) })
		}
	}
	w := &workload{random: rand.New(rand.NewPCG(7, 8)), turns: map[int]int{}}
	for f.now < start+90*timekeeper.Second {
		f.advance()
		if f.now%60 != 0 || f.now > start+60*timekeeper.Second {
			continue
		}
		requests++
		send(&job{request: w.chat(f.now), instance: w.random.IntN(14), done: func(j *job, _ bool) {
			f.routers[j.instance].Finish(j.choice.ID, Outcome{}, f.now)
			if f.now <= j.request.Deadline {
				inTime++
			}
		}})
	}
	return attempts, requests, inTime
}

// Guards against retries that multiply the load when a third of the targets is
// unavailable.
func TestLoadWithAThirdOut(t *testing.T) {
	retriers := map[int]*retrier.Retrier{}
	budgeted := func(j *job, f *fleet) (timekeeper.Millis, bool) {
		r := retriers[j.instance]
		if r == nil {
			r = retrier.New(retrier.Options{Instance: fmt.Sprint(j.instance), Seed: 1})
			retriers[j.instance] = r
		}
		if j.attempts == 1 {
			r.Started(j.request.Workspace, j.choice.Target, f.now)
		}
		at, err := r.Retry(retrier.Attempt{Workspace: j.request.Workspace, Target: j.choice.Target, Number: j.attempts,
			State: retrier.NotSent, Idempotent: true, Deadline: j.request.Deadline, Expected: 500}, f.now)
		return at, err == nil
	}
	unbounded := func(j *job, f *fleet) (timekeeper.Millis, bool) { return f.now + step, j.attempts < 8 }
	attempts, requests, inTime := simulateOutage(routerPolicy, budgeted)
	baselineAttempts, _, baselineInTime := simulateOutage(roundRobin(), unbounded)
	t.Logf("requests %d: router and budget %d attempts (%.3f) in time %d; round robin without budget %d (%.3f) in time %d", requests,
		attempts, float64(attempts)/float64(requests), inTime, baselineAttempts, float64(baselineAttempts)/float64(requests), baselineInTime)
	assert.Assert(t, float64(attempts) <= 1.2*float64(requests))
	assert.Assert(t, float64(attempts)/float64(requests) < float64(baselineAttempts)/float64(requests))
}

// Guards against preemptible requests on on-demand targets while reclaimable ones
// are free, and against other requests on reclaimable ones, also while half of the
// reclaimable targets are withdrawn.
func TestPreemptibleRequestsUseReclaimableTargets(t *testing.T) {
	reclaimable := func(name string) bool { return name < "engine-004" }
	f := newFleet(14, catalogue(10, func(_ int, d *declarer.Target) {
		if reclaimable(d.Name) {
			d.Purchase = declarer.TargetPurchaseReclaimable
		}
	}))
	w := &workload{random: rand.New(rand.NewPCG(13, 14)), turns: map[int]int{}}
	preemptible, onReclaimable, inTime, late := 0, 0, 0, 0
	for f.now < start+100*timekeeper.Second {
		f.advance()
		if f.now == start+40*timekeeper.Second {
			f.routers[0].Drain("engine-000", f.now)
			f.routers[0].Drain("engine-001", f.now)
		}
		if f.now%100 != 0 || f.now > start+80*timekeeper.Second {
			continue
		}
		q := w.chat(f.now)
		if w.random.IntN(3) == 0 {
			q = w.dossier(f.now)
			q.Reclaimable = true
			preemptible++
		}
		j := &job{request: q, instance: w.random.IntN(14), done: func(j *job, _ bool) {
			f.routers[j.instance].Finish(j.choice.ID, Outcome{}, f.now)
			if f.now <= j.request.Deadline {
				inTime++
			} else {
				late++
			}
		}}
		c, err := routerPolicy(f, j.instance, q)
		assert.NilError(t, err)
		onLeaving := c.Target < "engine-002" && f.now > start+42*timekeeper.Second
		assert.Assert(t, !onLeaving && (q.Reclaimable || !reclaimable(c.Target)))
		if j.choice = c; reclaimable(c.Target) {
			onReclaimable++
		}
		f.submit(j)
	}
	t.Logf("preemptible %d, on reclaimable targets %d; all requests in time %d, late %d", preemptible, onReclaimable, inTime, late)
	assert.Assert(t, float64(onReclaimable) >= 0.8*float64(preemptible))
	assert.Equal(t, late, 0)
}
