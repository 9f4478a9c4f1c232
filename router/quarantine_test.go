package router

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// crashSimulation is a fleet of which one caller repeatedly sends a request that
// crashes its target, through different instances.
type crashSimulation struct {
	*fleet
	quarantiners                            []*quarantiner.Quarantiner
	quarantineEnabled                       bool
	lostTargets, rejected, requests, served int
	attempts                                int
	latencies                               []float64
}

type caller struct {
	job
	attemptID string
	id        quarantiner.Identity
}

func (o *crashSimulation) send(c *caller) {
	if !o.quarantineEnabled {
		o.choose(c, "")
		return
	}
	switch d := o.quarantiners[c.instance].Admit(c.id, o.now); d.Verdict {
	case quarantiner.Refuse:
		if !c.crashes {
			o.rejected++
		}
	case quarantiner.Wait:
		o.after(d.RetryAt-o.now, func() { o.send(c) })
	case quarantiner.Solo:
		o.choose(c, c.id.Fingerprint)
	case quarantiner.Run:
		o.choose(c, "")
	}
}

func (o *crashSimulation) choose(c *caller, solo string) {
	c.request.SuspectFingerprint = solo
	choice, err := o.routers[c.instance].Choose(c.request, o.now)
	switch {
	case errors.Is(err, ErrReserved):
		o.quarantiners[c.instance].Abandon(c.id)
		o.after(50, func() { o.send(c) })
	case err != nil:
		o.quarantiners[c.instance].Abandon(c.id)
		c.request.Exclude = nil
		o.after(100, func() { o.send(c) })
	default:
		o.attempts++
		c.choice, c.attemptID = choice, fmt.Sprint(o.attempts)
		o.quarantiners[c.instance].Started(c.attemptID, c.id, choice.Target, solo != "", o.now)
		if !o.submit(&c.job) {
			o.finish(c, false)
			c.request.Exclude = append(c.request.Exclude, choice.Target)
			o.after(100, func() { o.send(c) })
		}
	}
}

func (o *crashSimulation) finish(c *caller, ok bool) {
	result := Failed
	if ok {
		result = Answered
	}
	o.routers[c.instance].Finish(c.choice.ID, Outcome{Result: result}, o.now)
	o.broadcastStrikes(o.quarantiners[c.instance].Ended(c.attemptID, ok, o.now))
}

func (o *crashSimulation) broadcastStrikes(m quarantiner.Strikes) {
	for _, g := range o.quarantiners {
		g.Observe(m, o.now)
	}
}

// scenario sets how the crashing request is sent and the rate of other requests.
type scenario struct {
	varyPrompt        bool              // Whether each prompt has a different suffix.
	copies            int               // Copies that are sent at once through different instances.
	interval          timekeeper.Millis // Interval at which the crashing request is sent.
	unrelatedInterval timekeeper.Millis // Interval between unrelated requests.
}

// run sends the crashing request and unrelated requests for two minutes, and waits
// another minute for answers.
func (o *crashSimulation) run(s scenario) {
	callers := map[*job]*caller{}
	w := &workload{random: rand.New(rand.NewPCG(9, 10)), turns: map[int]int{}}
	submitNew := func(c *caller) {
		callers[&c.job] = c
		c.arrivedAt = o.now
		c.done = func(_ *job, ok bool) {
			o.finish(c, ok)
			delete(callers, &c.job)
			o.served++
			o.latencies = append(o.latencies, float64(o.now-c.arrivedAt))
		}
		o.send(c)
	}
	o.onCrash = func(e *engine, lost []*job) {
		o.lostTargets++
		for _, g := range o.quarantiners {
			o.broadcastStrikes(g.Crashed(e.Name, o.now))
		}
		for _, j := range lost {
			o.finish(callers[j], false)
			if c := callers[j]; !c.crashes {
				o.after(20, func() { o.send(c) })
			}
		}
	}
	crashingPrompt := strings.Repeat("a prompt that ends the engine ", 100)
	for startedAt, sent := o.now, 0; o.now < startedAt+180*timekeeper.Second; {
		o.advance()
		for i, r := range o.routers {
			if r.Urgent() {
				o.broadcast(i)
			}
		}
		if o.now > startedAt+120*timekeeper.Second {
			continue
		}
		for range s.copies {
			if (o.now-startedAt)%s.interval != 0 {
				break
			}
			text := crashingPrompt
			if sent++; s.varyPrompt {
				text += fmt.Sprint(" try ", sent)
			}
			q := Request{Workspace: "w0", Route: "chat", Idempotent: true, PromptTokens: 800, OutputTokens: 50, Deadline: o.now + timekeeper.Minute}
			q.Prefixes, q.PromptBytes = Prefixes("w0", "m", []byte(text)), len(text)
			submitNew(&caller{job: job{request: q, crashes: true, instance: sent % len(o.routers)}, id: quarantiner.Identify("w0", "m", []byte(text))})
		}
		if o.now%s.unrelatedInterval == 0 {
			o.requests++
			q := w.chat(o.now)
			last := q.Prefixes[len(q.Prefixes)-1].Digest
			submitNew(&caller{job: job{request: q, instance: w.random.IntN(len(o.routers))}, id: quarantiner.Identify(q.Workspace, "m", fmt.Appendf(nil, "%0200d", last))})
		}
	}
}

// Guards against a request that crashes more than two targets when its caller sends
// it repeatedly through different instances, and against harm to unrelated requests
// on the same targets: they may be delayed, but never rejected.
func TestCrashingRequestCostsAtMostTwoTargets(t *testing.T) {
	for name, s := range map[string]scenario{
		"same prompt":        {false, 1, 3000, 120},
		"variations":         {true, 1, 3000, 60},
		"variations, full":   {true, 1, 3000, 30},
		"fast":               {false, 1, 200, 60},
		"fast variations":    {true, 1, 200, 60},
		"copies at once":     {false, 3, 3000, 60},
		"variations at once": {true, 3, 3000, 60},
	} {
		t.Run(name, func(t *testing.T) {
			measure := func(quarantine bool) *crashSimulation {
				o := &crashSimulation{fleet: newFleet(14, catalogue(10, nil)), quarantineEnabled: quarantine}
				for _, r := range o.routers {
					o.quarantiners = append(o.quarantiners, quarantiner.New(quarantiner.Options{Instance: r.options.Instance}))
				}
				o.run(s)
				g := measurements{latency: o.latencies}
				t.Logf("quarantine %v: targets lost %d; unrelated requests %d served %d rejected %d, p50 %.0f ms p99 %.0f ms", quarantine,
					o.lostTargets, o.requests, o.served, o.rejected, g.percentile(0.5), g.percentile(0.99))
				return o
			}
			quarantined := measure(true)
			assert.Check(t, quarantined.lostTargets <= 2, "%d targets lost", quarantined.lostTargets)
			if s.copies == 1 && s.interval == 3000 {
				assert.Check(t, measure(false).lostTargets > 2, "without quarantine, more than two targets must crash")
			}
			assert.Equal(t, quarantined.rejected, 0)
			assert.Equal(t, quarantined.served, quarantined.requests)
		})
	}
}
