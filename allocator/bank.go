package allocator

import (
	"math"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// maxLump bounds the time credited at once, after a time without deposits.
	maxLump = timekeeper.Second
	// depositorTTL is the time after which a silent depositor is forgotten.
	depositorTTL = timekeeper.Minute
	// recentGrants is the number of verdicts of a depositor that a bank remembers, to
	// answer a doubled ask alike and to take a grant back once.
	recentGrants = 32
	// maxRetryAfter bounds the time after which a refused request is told to return, and
	// minFraction the share of the rate that this is reckoned with.
	maxRetryAfter = 3 * timekeeper.Second
	minFraction   = 0.05
	// forgetInterval is the time between two searches for state that is no longer needed.
	forgetInterval = 2 * timekeeper.Second
)

// bank holds the time that instances deposited, and what workspaces used of it.
type bank struct {
	term   int64
	quotas func(workspace string) (Quota, bool)
	listed int
	peak   peak // Most instances that a depositor has listed.

	fine, coarse *history
	credited     float64           // Milliseconds credited in total.
	allowance    float64           // Milliseconds that may still be credited.
	allowedAt    timekeeper.Millis // When allowance was last raised.

	depositors  map[string]*depositor // By process.
	buckets     map[string]*bucket    // By workspace; a workspace without one has used nothing.
	forgottenAt timekeeper.Millis
}

// depositor is what a bank knows of one process.
type depositor struct {
	account int64
	earned  float64           // As last deposited.
	at      timekeeper.Millis // A time before that deposit was sent.
	dated   bool              // At is known.
	heardAt timekeeper.Millis
	recent  [recentGrants]grant
}

// grant is a verdict on an ask.
type grant struct {
	verdict   Verdict
	workspace string
	amount    float64
	at        timekeeper.Millis
	returned  bool
}

// bucket is the credit of a workspace.
type bucket struct {
	level    float64
	credited float64 // Of the bank, when the level was last computed.
	promised float64 // Amount of the refused requests that were told to return.
	quota    Quota
}

func newBank(term int64, quotas func(string) (Quota, bool)) bank {
	return bank{
		term: term, quotas: quotas, depositors: map[string]*depositor{}, buckets: map[string]*bucket{},
		fine: newHistory(fineWidth, fineSlots), coarse: newHistory(coarseWidth, coarseSlots),
	}
}

// handle processes the message of a depositor.
func (b *bank) handle(sender string, m Message, now timekeeper.Millis) *Reply {
	b.peak.report(m.Deposit.Instances, now)
	d := b.deposit(sender, *m.Deposit, now)
	for _, number := range m.Returned {
		b.takeBack(d, number, now)
	}
	r := &Reply{Term: b.term, Stamp: now, Instances: max(b.listed, b.peak.value(now))}
	if m.Ask != nil {
		v := b.decide(d, *m.Ask, now)
		r.Verdict = &v
	}
	return r
}

// deposit credits what a process has earned since its last deposit, or since its account
// began.
func (b *bank) deposit(sender string, p Deposit, now timekeeper.Millis) *depositor {
	d := b.depositors[sender]
	if d == nil {
		d = &depositor{}
		b.depositors[sender] = d
	}
	d.heardAt = now
	if p.Term != b.term {
		return d
	}
	sent := min(p.Stamp+p.Elapsed, now)
	switch {
	case !d.dated || p.Account > d.account:
		b.credit(min(p.Earned, float64(p.Age)), max(sent-p.Age, 0), sent, now)
		d.account, d.earned, d.at, d.dated = p.Account, p.Earned, sent, true
	case p.Account < d.account || p.Earned < d.earned:
	default:
		b.credit(p.Earned-d.earned, min(d.at, sent), sent, now)
		d.earned, d.at = p.Earned, sent
	}
	return d
}

// credit adds time that was earned in a span.
func (b *bank) credit(amount float64, from, to, now timekeeper.Millis) {
	b.allowance = min(b.allowance+float64(now-b.allowedAt), float64(maxLump))
	b.allowedAt = now
	amount = min(amount, b.allowance)
	b.allowance -= amount
	b.fine.advance(now)
	b.coarse.advance(now)
	b.fine.add(amount, from, to)
	b.coarse.add(amount, from, to)
	b.credited += amount
}

// held returns the time earned within the last span that was deposited.
func (b *bank) held(span, now timekeeper.Millis) float64 {
	h := b.fine
	if span > fineWidth*(fineSlots-2) {
		h = b.coarse
	}
	h.advance(now)
	return h.since(span, now)
}

// refresh brings the level of a bucket up to date and returns the time held.
func (b *bank) refresh(k *bucket, now timekeeper.Millis) float64 {
	perMilli := k.quota.Rate / float64(timekeeper.Second)
	added := perMilli * (b.credited - k.credited)
	k.credited = b.credited
	held := b.held(k.quota.life()-k.quota.transit(), now)
	k.level = min(k.level+added, perMilli*held)
	k.promised = max(k.promised-added, 0)
	return held
}

// bucketOf returns the bucket of a workspace, brought up to date, and the time held.
func (b *bank) bucketOf(workspace string, announced Quota, now timekeeper.Millis) (*bucket, float64) {
	k := b.buckets[workspace]
	if k == nil {
		k = &bucket{level: math.Inf(1), credited: b.credited}
		b.buckets[workspace] = k
	}
	k.quota = announced
	if q, ok := b.quotas(workspace); ok {
		k.quota = q
	}
	return k, b.refresh(k, now)
}

// decide grants or refuses an ask.
func (b *bank) decide(d *depositor, p Ask, now timekeeper.Millis) Verdict {
	memory := &d.recent[uint64(p.Number)%recentGrants]
	if memory.verdict.Number == p.Number && memory.workspace != "" {
		return memory.verdict
	}
	k, held := b.bucketOf(p.Workspace, Quota{p.Rate, p.Burst}, now)
	span := k.quota.life() - k.quota.transit()
	perMilli := k.quota.Rate / float64(timekeeper.Second)
	needed := min(p.Amount, perMilli*float64(span))
	v := Verdict{Number: p.Number, Level: k.level, Granted: k.level >= needed}
	if v.Granted {
		k.level -= p.Amount
	} else {
		fraction := max(held/float64(max(span, 1)), minFraction)
		v.After = timekeeper.Millis(min(math.Ceil((needed+k.promised-k.level)/(perMilli*fraction)), float64(maxRetryAfter)))
		if v.After < maxRetryAfter {
			k.promised += p.Amount
		}
	}
	*memory = grant{verdict: v, workspace: p.Workspace, amount: p.Amount, at: now}
	return v
}

// takeBack restores the credit of a grant that was not used, once and only while the
// time that it was made of may still be credited.
func (b *bank) takeBack(d *depositor, number int64, now timekeeper.Millis) {
	g := &d.recent[uint64(number)%recentGrants]
	k := b.buckets[g.workspace]
	if k == nil || g.verdict.Number != number || !g.verdict.Granted || g.returned || now-g.at > k.quota.transit() {
		return
	}
	g.returned = true
	k.level += g.amount
}

// forget drops depositors that are silent and buckets that are full.
func (b *bank) forget(now timekeeper.Millis) {
	if now-b.forgottenAt < forgetInterval {
		return
	}
	b.forgottenAt = now
	for name, d := range b.depositors {
		if now-d.heardAt > depositorTTL {
			delete(b.depositors, name)
		}
	}
	for name, k := range b.buckets {
		held := b.refresh(k, now)
		if _, ok := b.quotas(name); !ok || k.level >= held*k.quota.Rate/float64(timekeeper.Second) {
			delete(b.buckets, name)
		}
	}
}
