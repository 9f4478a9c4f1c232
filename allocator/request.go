package allocator

import (
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// answerTimeout is the time after which an ask is sent again.
	answerTimeout = 40 * timekeeper.Millisecond
	// maxWait bounds the time that a request waits for a verdict: long enough for another
	// bank to take over.
	maxWait = 400 * timekeeper.Millisecond
	// maxStartWait is the same at an instance that has only just started: long enough for
	// its first list of the others.
	maxStartWait = 800 * timekeeper.Millisecond
	// soon bounds the time after which a refused request would pass for which it waits.
	soon = 60 * timekeeper.Millisecond
	// unansweredRetryAfter is when to return if no bank answered.
	unansweredRetryAfter = 300 * timekeeper.Millisecond
	// tryTTL is the time for which a late grant is expected.
	tryTTL = timekeeper.Second
)

// Decision is the outcome of a request.
type Decision struct {
	Granted  bool
	Answered bool              // A bank answered.
	After    timekeeper.Millis // When a request that was not granted would pass.
	Amount   float64
	Level    float64 // What the bank held of the workspace.
	Bank     string
	BankAge  timekeeper.Millis // Time since the bank's reply before that.
	Wait     timekeeper.Millis // Time since the request was made.
	Tries    int
}

// Request is a caller's request that waits for a grant.
type Request struct {
	workspace string
	quota     Quota
	amount    float64
	askedAt   timekeeper.Millis
	nextAt    timekeeper.Millis // When to ask again.
	tries     int
	done      chan struct{}
	settled   bool
	decision  Decision
	granted   *try
}

// try is one ask of a request.
type try struct {
	number  int64
	request *Request
	bank    *account
	sentAt  timekeeper.Millis
	bankAge timekeeper.Millis
}

// Done is closed when the request is decided.
func (r *Request) Done() <-chan struct{} { return r.done }

// Decision returns the outcome of a decided request.
func (r *Request) Decision() Decision { return r.decision }

// Ask requests a grant for an amount and returns the messages to send. Until the request
// is decided, Poll has to be called again and again.
func (a *Allocator) Ask(workspace string, q Quota, amount float64, now timekeeper.Millis) (*Request, []Datagram) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Request{workspace: workspace, quota: q, amount: amount, askedAt: now, done: make(chan struct{})}
	return r, a.ask(r, now)
}

// Poll returns the messages to send for a request that isn't decided yet.
func (a *Allocator) Poll(r *Request, now timekeeper.Millis) []Datagram {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case r.settled || now < r.nextAt:
		return nil
	case now-r.askedAt >= maxWait && (r.tries > 0 || now-r.askedAt >= maxStartWait):
		a.counters.Unanswered++
		a.settle(r, Decision{After: unansweredRetryAfter, Bank: a.current.peer.Name, BankAge: now - a.current.heardAt}, now)
		return nil
	}
	if r.tries > 0 {
		a.counters.Repeated++
	}
	return a.ask(r, now)
}

// Abandon ends a request whose caller has gone.
func (a *Allocator) Abandon(r *Request, now timekeeper.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !r.settled {
		a.settle(r, Decision{}, now)
	}
}

// Return gives back the grant of a request that was refused before it ran.
func (a *Allocator) Return(r *Request, now timekeeper.Millis) []Datagram {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := r.granted; t != nil && now-t.sentAt <= r.quota.transit() {
		r.granted = nil
		return a.contact(t.bank, Message{Returned: []int64{t.number}}, now)
	}
	return nil
}

// ask sends an ask to the current bank. The caller holds mu.
func (a *Allocator) ask(r *Request, now timekeeper.Millis) []Datagram {
	r.nextAt = now + answerTimeout
	if a.listed == 0 {
		return nil // No bank is known yet.
	}
	a.earn(now)
	a.chooseBank(now)
	r.tries++
	a.lastNumber++
	t := &try{a.lastNumber, r, a.current, now, now - a.current.heardAt}
	a.tries[t.number] = t
	return a.contact(a.current, Message{Ask: &Ask{
		Number: t.number, Workspace: keyOf(r.workspace), Amount: r.amount, Rate: r.quota.Rate, Burst: r.quota.Burst,
	}}, now)
}

// handleVerdict processes a bank's verdict. The caller holds mu.
func (a *Allocator) handleVerdict(b *account, v Verdict, now timekeeper.Millis) []Datagram {
	t := a.tries[v.Number]
	if t == nil || t.bank != b {
		return nil
	}
	delete(a.tries, v.Number)
	r := t.request
	late := r.settled || now-t.sentAt > r.quota.transit()
	switch {
	case v.Granted && late:
		a.counters.Late++
		return a.contact(b, Message{Returned: []int64{v.Number}}, now)
	case r.settled:
	case v.Granted:
		r.granted = t
		a.counters.Granted++
		a.settle(r, Decision{Granted: true, Answered: true, Level: v.Level, Bank: b.peer.Name, BankAge: t.bankAge}, now)
	case v.After <= soon && now+v.After < r.askedAt+maxWait:
		r.nextAt = now + v.After
	default:
		a.counters.Refused++
		a.settle(r, Decision{Answered: true, After: v.After, Level: v.Level, Bank: b.peer.Name, BankAge: t.bankAge}, now)
	}
	return nil
}

// settle decides a request. The caller holds mu.
func (a *Allocator) settle(r *Request, d Decision, now timekeeper.Millis) {
	d.Amount, d.Wait, d.Tries = r.amount, now-r.askedAt, r.tries
	r.settled, r.decision = true, d
	close(r.done)
}

// forgetTries drops the tries whose verdict is no longer expected. The caller holds mu.
func (a *Allocator) forgetTries(now timekeeper.Millis) {
	for number, t := range a.tries {
		if now-t.sentAt > tryTTL {
			delete(a.tries, number)
		}
	}
}
