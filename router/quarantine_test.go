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

// outbreak is a fleet whose callers include one that sends a crashing request again
// and again through different instances.
type outbreak struct {
	*fleet
	guards                       []*quarantiner.Quarantiner
	protect                      bool
	lost, refused, asked, served int
	next                         int
	delays                       []float64
}

type caller struct {
	job
	name string
	id   quarantiner.Identity
}

func (o *outbreak) send(c *caller) {
	if !o.protect {
		o.choose(c, "")
		return
	}
	switch d := o.guards[c.instance].Admit(c.id, o.now); d.Verdict {
	case quarantiner.Refuse:
		if !c.crashes {
			o.refused++
		}
	case quarantiner.Wait:
		o.after(d.RetryAt-o.now, func() { o.send(c) })
	case quarantiner.Solo:
		o.choose(c, c.id.Fingerprint)
	case quarantiner.Run:
		o.choose(c, "")
	}
}

func (o *outbreak) choose(c *caller, solo string) {
	c.request.Solo = solo
	choice, err := o.routers[c.instance].Choose(c.request, o.now)
	switch {
	case errors.Is(err, ErrNotIdle):
		o.guards[c.instance].Abandon(c.id)
		o.after(50, func() { o.send(c) })
	case err != nil:
		o.guards[c.instance].Abandon(c.id)
		c.request.Exclude = nil
		o.after(100, func() { o.send(c) })
	default:
		o.next++
		c.choice, c.name = choice, fmt.Sprint(o.next)
		o.guards[c.instance].Started(c.name, c.id, choice.Target, solo != "", o.now)
		if !o.place(&c.job) {
			o.end(c, false)
			c.request.Exclude = append(c.request.Exclude, choice.Target)
			o.after(100, func() { o.send(c) })
		}
	}
}

func (o *outbreak) end(c *caller, ok bool) {
	result := Failed
	if ok {
		result = Answered
	}
	o.routers[c.instance].Finish(c.choice.ID, Outcome{Result: result}, o.now)
	o.spread(o.guards[c.instance].Ended(c.name, ok, o.now))
}

func (o *outbreak) spread(m quarantiner.Strikes) {
	for _, g := range o.guards {
		g.Observe(m, o.now)
	}
}

// siege is how the caller sends the crashing request and what else runs.
type siege struct {
	vary   bool              // Each prompt has another end.
	copies int               // Copies sent at once through different instances.
	every  timekeeper.Millis // Interval between sendings.
	others timekeeper.Millis // Interval between unrelated requests.
}

// run lets the caller send the crashing request for two minutes.
func (o *outbreak) run(s siege) {
	callers := map[*job]*caller{}
	w := &workload{random: rand.New(rand.NewPCG(9, 10)), turns: map[int]int{}}
	start := func(c *caller) {
		callers[&c.job] = c
		c.arrived = o.now
		c.done = func(_ *job, ok bool) {
			o.end(c, ok)
			delete(callers, &c.job)
			o.served++
			o.delays = append(o.delays, float64(o.now-c.arrived))
		}
		o.send(c)
	}
	o.crashed = func(e *engine, lost []*job) {
		o.lost++
		for _, g := range o.guards {
			o.spread(g.Crashed(e.Name, o.now))
		}
		for _, j := range lost {
			o.end(callers[j], false)
			if c := callers[j]; !c.crashes {
				o.after(20, func() { o.send(c) })
			}
		}
	}
	bad := strings.Repeat("a prompt that ends the engine ", 100)
	for begin, sent := o.now, 0; o.now < begin+180*timekeeper.Second; {
		o.advance()
		for i, r := range o.routers {
			if r.Urgent() {
				o.broadcast(i)
			}
		}
		if o.now > begin+120*timekeeper.Second {
			continue
		}
		for range s.copies {
			if (o.now-begin)%s.every != 0 {
				break
			}
			text := bad
			if sent++; s.vary {
				text += fmt.Sprint(" try ", sent)
			}
			q := Request{Workspace: "w0", Route: "chat", Idempotent: true, PromptTokens: 800, OutputTokens: 50, Deadline: o.now + timekeeper.Minute}
			q.Prefixes, q.PromptBytes = Prefixes("w0", "m", []byte(text)), len(text)
			start(&caller{job: job{request: q, crashes: true, instance: sent % len(o.routers)}, id: quarantiner.Identify("w0", "m", []byte(text))})
		}
		if o.now%s.others == 0 {
			o.asked++
			q := w.chat(o.now)
			last := q.Prefixes[len(q.Prefixes)-1].Digest
			start(&caller{job: job{request: q, instance: w.random.IntN(len(o.routers))}, id: quarantiner.Identify(q.Workspace, "m", fmt.Appendf(nil, "%0200d", last))})
		}
	}
}

// Guards against a crashing request that takes more than two targets with it
// although its caller sends it again and again through different instances, and
// against harm to requests that merely ran beside it: they may be late, never refused.
func TestCrashingRequestCostsAtMostTwoTargets(t *testing.T) {
	for name, s := range map[string]siege{
		"same prompt":        {false, 1, 3000, 120},
		"variations":         {true, 1, 3000, 60},
		"variations, full":   {true, 1, 3000, 30},
		"fast":               {false, 1, 200, 60},
		"fast variations":    {true, 1, 200, 60},
		"copies at once":     {false, 3, 3000, 60},
		"variations at once": {true, 3, 3000, 60},
	} {
		t.Run(name, func(t *testing.T) {
			measure := func(protect bool) *outbreak {
				o := &outbreak{fleet: newFleet(14, catalogue(10, nil)), protect: protect}
				for _, r := range o.routers {
					o.guards = append(o.guards, quarantiner.New(quarantiner.Options{Instance: r.options.Instance}))
				}
				o.run(s)
				g := figures{latency: o.delays}
				t.Logf("quarantine %v: lost %d, unrelated asked %d served %d refused %d, p50 %.0f ms p99 %.0f ms", protect,
					o.lost, o.asked, o.served, o.refused, g.percentile(0.5), g.percentile(0.99))
				return o
			}
			guarded := measure(true)
			assert.Check(t, guarded.lost <= 2, "%d targets lost", guarded.lost)
			if s.copies == 1 && s.every == 3000 {
				assert.Check(t, measure(false).lost > 2, "the baseline must show the harm")
			}
			assert.Equal(t, guarded.refused, 0)
			assert.Equal(t, guarded.served, guarded.asked)
		})
	}
}
