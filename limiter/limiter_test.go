package limiter

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	step    = 50 * timekeeper.Millisecond
	startAt = timekeeper.Millis(1_000_000)
)

func contract(requests, tokens float64, concurrent int) declarer.Workspace {
	return declarer.Workspace{Name: "w", Limits: &declarer.Limits{RequestsPerSecond: requests, TokensPerSecond: tokens, ConcurrentRequests: concurrent}}
}

// cluster is a set of limiters that exchange records within the delivery time,
// unless the predicate disconnected partitions them.
type cluster struct {
	now          timekeeper.Millis
	random       *rand.Rand
	limiters     []*Limiter
	timing       Timing
	inFlight     map[timekeeper.Millis][]func()
	disconnected func(a, b int) bool
}

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{now: startAt, random: rand.New(rand.NewPCG(seed, 1)), inFlight: map[timekeeper.Millis][]func(){}, disconnected: func(int, int) bool { return false }}
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("instance-%02d", i)
	}
	for _, name := range names {
		l := New(c.now, name, 1)
		l.SetInstances(c.now, names)
		c.limiters = append(c.limiters, l)
	}
	c.timing = c.limiters[0].timing
	return c
}

// tick delivers due records, publishes new ones and advances the time.
func (c *cluster) tick() {
	for _, deliver := range c.inFlight[c.now] {
		deliver()
	}
	delete(c.inFlight, c.now)
	for i, l := range c.limiters {
		if (c.now+timekeeper.Millis(i)*3*step)%c.timing.Period != 0 {
			continue
		}
		d := l.PublishDemand(c.now)
		for j, other := range c.limiters {
			delay := step * timekeeper.Millis(1+c.random.IntN(int(c.timing.Delivery/step)-1))
			if i == j || c.disconnected(i, j) {
				continue
			}
			c.inFlight[c.now+delay] = append(c.inFlight[c.now+delay], func() {
				if !c.disconnected(i, j) {
					_ = other.MergeDemand(c.now, d)
				}
			})
		}
	}
	c.now += step
}

// excessMeter measures by how much admissions exceeded rate x time over any span so far.
type excessMeter struct{ rate, excess, maxExcess, total float64 }

func (g *excessMeter) add(amount float64) {
	g.excess += amount
	g.total += amount
	g.maxExcess = max(g.maxExcess, g.excess)
}

func (g *excessMeter) tick() { g.excess = max(0, g.excess-g.rate*step.Seconds()) }

// runningRequest is an admitted request and the time when it ends.
type runningRequest struct {
	Grant
	until timekeeper.Millis
}

// Guards against admissions above the limits during partitions, one-way partitions,
// recovery and shifting demand: rates and concurrency stay within the bound in the
// package comment.
func TestOvershootIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "instances")
		c := newCluster(n, rapid.Uint64().Draw(t, "seed"))
		w := contract(100, 20_000, 12)
		requests, tokens := excessMeter{rate: 100 * OvershootFactor}, excessMeter{rate: 20_000 * OvershootFactor}
		running := make([][]runningRequest, n)
		// The bound does not cover long requests at a stale peer, so only connected cases have them.
		connected, longest := rapid.Bool().Draw(t, "connected"), 160
		if connected {
			longest = 1200
		}
		concurrent := 0
		for range 6 {
			side, offered := rapid.SliceOfN(rapid.IntRange(0, 1), n, n).Draw(t, "side"), rapid.SliceOfN(rapid.IntRange(0, 20), n, n).Draw(t, "offered")
			oneWay, duration := rapid.Bool().Draw(t, "one way"), timekeeper.Millis(rapid.IntRange(0, longest).Draw(t, "stay"))*step
			c.disconnected = func(a, b int) bool { return !connected && (side[a] < side[b] || side[a] != side[b] && !oneWay) }
			size := rapid.Float64Range(1, 400).Draw(t, "tokens")
			for until := c.now + timekeeper.Millis(rapid.IntRange(1, 12).Draw(t, "seconds"))*timekeeper.Second; c.now < until; {
				c.tick()
				requests.tick()
				tokens.tick()
				for i, l := range c.limiters {
					running[i] = slices.DeleteFunc(running[i], func(r runningRequest) bool {
						if r.until <= c.now {
							l.Done(c.now, r.Grant, r.charged)
							concurrent--
						}
						return r.until <= c.now
					})
					for range offered[i] {
						if g, refusal := l.Admit(c.now, w, Amount{Tokens: size}); refusal == nil {
							requests.add(1)
							tokens.add(size)
							running[i], concurrent = append(running[i], runningRequest{g, c.now + duration}), concurrent+1
						} else {
							assert.Assert(t, refusal.RetryAfter >= minRetry && refusal.RetryAfter <= maxRetry)
						}
					}
				}
				assert.Assert(t, float64(concurrent) <= 12*OvershootFactor+float64(n), "%d run at once", concurrent)
			}
		}
		assert.Assert(t, requests.maxExcess <= 100*OvershootFactor*rateBurstSeconds+float64(n), "requests exceed by %v", requests.maxExcess)
		assert.Assert(t, tokens.maxExcess <= 20_000*OvershootFactor*rateBurstSeconds+400*float64(n), "tokens exceed by %v", tokens.maxExcess)
	})
}

// Guards against shares that starve uneven traffic: when one of 14 instances gets
// nearly all of it, 0.9 of the limit is admitted, far above static 1/n shares.
// During a partition into two halves and the recovery the total stays in bounds.
func TestSharesFollowDemandThroughPartition(t *testing.T) {
	const n, limit = 14, 280.0
	c := newCluster(n, 20261204)
	w := contract(limit, 0, 0)
	static := New(c.now, "static", 1)
	phases := map[string]struct{ adaptive, static, seconds float64 }{}
	meter := excessMeter{rate: limit * OvershootFactor}
	for c.now < startAt+180*timekeeper.Second {
		at := (c.now - startAt) / timekeeper.Second
		phase := "settled"
		switch {
		case at < 20:
			phase = "start"
		case at >= 60 && at < 100:
			phase = "partition"
		case at >= 100 && at < 120:
			phase = "healing"
		}
		c.disconnected = func(a, b int) bool { return phase == "partition" && a%2 != b%2 }
		c.tick()
		meter.tick()
		p := phases[phase]
		p.seconds += step.Seconds()
		for i, l := range c.limiters {
			offered := 0 // 5 a second at most instances, 800 a second at the first
			if c.now%(4*step) == 0 {
				offered = 1
			}
			if i == 0 {
				offered = 40
			}
			for range offered {
				if g, refusal := l.Admit(c.now, w, Amount{}); refusal == nil {
					l.Done(c.now, g, Amount{})
					meter.add(1)
					p.adaptive++
				}
			}
			share := contract(limit/n, 0, 0)
			share.Name = fmt.Sprint(i)
			for range offered {
				if g, refusal := static.Admit(c.now, share, Amount{}); refusal == nil {
					static.Done(c.now, g, Amount{})
					p.static++
				}
			}
		}
		phases[phase] = p
	}
	for name, p := range phases {
		t.Logf("%-9s admitted of the limit: %.2f, static 1/n: %.2f", name, p.adaptive/p.seconds/limit, p.static/p.seconds/limit)
	}
	settled := phases["settled"]
	assert.Assert(t, settled.adaptive/settled.seconds >= 0.9*limit)
	assert.Assert(t, phases["partition"].adaptive >= 0.9*phases["partition"].static, "a partition must not admit less than static shares do")
	assert.Assert(t, meter.maxExcess <= limit*OvershootFactor*rateBurstSeconds+n, "exceeds the limit by %v", meter.maxExcess)
}

// Guards against charges that stay at the estimate, spend above its ceiling, and a
// limit that refuses requests which use nothing of it.
func TestChargesAreCorrected(t *testing.T) {
	l := New(startAt, "a", 1)
	w := declarer.Workspace{Name: "w", SpendCeilingPerHour: 36, Limits: &declarer.Limits{TokensPerSecond: 100}}
	g, refusal := l.Admit(startAt, w, Amount{Tokens: 1000, Spend: 0.1})
	assert.Assert(t, refusal == nil)
	_, refusal = l.Admit(startAt, w, Amount{Tokens: 1, Spend: 0.001})
	assert.Equal(t, *refusal, Refusal{Dimension: Tokens, RetryAfter: 9 * timekeeper.Second})
	free, refusal := l.Admit(startAt, w, Amount{})
	assert.Assert(t, refusal == nil, "a request without tokens does not wait for tokens")
	l.Release(startAt, free)
	g = l.UpdateCharge(startAt, g, Amount{Tokens: 10, Spend: 1.6})
	_, refusal = l.Admit(startAt, w, Amount{Tokens: 1, Spend: 0.001})
	assert.Equal(t, *refusal, Refusal{Dimension: Spend, RetryAfter: 100 * timekeeper.Second})
	l.Done(startAt, g, Amount{Tokens: 10, Spend: 0.1})
	_, refusal = l.Admit(startAt, w, Amount{Tokens: 1, Spend: 0.001})
	assert.Assert(t, refusal == nil)
	one := contract(1, 0, 1)
	one.Name = "one"
	for range 3 {
		g, refusal = l.Admit(startAt, one, Amount{})
		assert.Assert(t, refusal == nil, "a released request must leave nothing charged")
		l.Release(startAt, g)
	}
	before := l.entries["one"].load
	_, refusal = l.RetryAdmission(startAt, one, Amount{})
	assert.Assert(t, refusal == nil && l.entries["one"].load == before, "a retry must not count as new demand")
}

// Guards against peer records that are out of bounds, outdated or never expire, and
// against state that grows without limit.
func TestRecordsAreChecked(t *testing.T) {
	l := New(startAt, "a", 1)
	l.SetInstances(startAt, []string{"a", "b"})
	for name, d := range map[string]Demand{
		"no instance": {}, "pressure": {Instance: "b", Items: []WorkspaceDemand{{Workspace: "w", Pressure: -1}}},
		"workspace": {Instance: "b", Items: []WorkspaceDemand{{}}}, "items": {Instance: "b", Items: make([]WorkspaceDemand, MaxItems+1)},
	} {
		assert.ErrorIs(t, l.MergeDemand(startAt, d), ErrInvalidDemand, name)
	}
	assert.NilError(t, l.MergeDemand(startAt, Demand{Instance: "b", Version: 2, Items: []WorkspaceDemand{{Workspace: "w", Pressure: 1}}}))
	assert.NilError(t, l.MergeDemand(startAt, Demand{Instance: "b", Version: 1}))
	assert.Equal(t, l.remoteDemand["w"]["b"].Pressure, 1.0)
	for i := range 1000 {
		w := contract(10, 10, 10)
		w.Name = fmt.Sprint(i)
		for range 1 + i%2*2 {
			g, _ := l.Admit(startAt, w, Amount{Tokens: 1})
			l.Done(startAt, g, Amount{Tokens: 1})
		}
	}
	record := l.PublishDemand(startAt)
	assert.Equal(t, len(record.Items), MaxItems)
	for _, item := range record.Items {
		assert.Assert(t, item.Pressure >= 1.0/8, "demand within the minimum share, half of a quarter, needs no record")
	}
	for s := range timekeeper.Millis(60) {
		l.PublishDemand(startAt + s*timekeeper.Second)
	}
	assert.Equal(t, l.Len(), 0)
	l.SetInstances(startAt, nil)
	assert.Equal(t, len(l.remoteDemand)+len(l.peers), 0)
}

// newLoadedLimiter returns a limiter with n workspaces and a number of peers, each
// with demand for the first MaxItems workspaces, and the memory it takes in bytes.
func newLoadedLimiter(n, peers int) (*Limiter, []declarer.Workspace, float64) {
	workspaces := make([]declarer.Workspace, n)
	for i := range workspaces {
		workspaces[i] = contract(1e6, 1e9, 1e6)
		workspaces[i].Name = fmt.Sprintf("workspace-%d", i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := New(startAt, "a", 1)
	names := make([]string, peers)
	for i := range names {
		names[i] = fmt.Sprintf("instance-%d", i)
	}
	l.SetInstances(startAt, names)
	for _, name := range names {
		d := Demand{Instance: name, Version: 1}
		for i := range min(n, MaxItems) {
			d.Items = append(d.Items, WorkspaceDemand{Workspace: workspaces[i].Name, Pressure: 0.5})
		}
		_ = l.MergeDemand(startAt, d)
	}
	for _, w := range workspaces {
		g, _ := l.Admit(startAt, w, Amount{Tokens: 4e6})
		l.Done(startAt, g, Amount{Tokens: 4e6})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return l, workspaces, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Measures the cost of admission for each request, with 339 peers.
func BenchmarkAdmitAndDone(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			l, workspaces, bytes := newLoadedLimiter(n, 339)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := startAt + timekeeper.Millis(i/10)
				g, _ := l.Admit(now, workspaces[(i*7919)%n], Amount{Tokens: 100})
				l.Done(now, g, Amount{Tokens: 120})
			}
			b.ReportMetric(bytes, "state-bytes")
		})
	}
}

// Measures the cost of a demand record, which is published once every gossip period.
func BenchmarkDemand(b *testing.B) {
	for _, n := range []int{100, 1000, 26000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			l, _, _ := newLoadedLimiter(n, 339)
			b.ReportAllocs()
			for b.Loop() {
				l.PublishDemand(startAt)
			}
			record, _ := json.Marshal(l.PublishDemand(startAt))
			b.ReportMetric(float64(len(record)), "record-bytes")
		})
	}
}
