// Package allocator keeps each workspace within its quota over all instances.
//
// Every listed instance earns an equal share of time and deposits it with a bank, which
// is one of the instances: the same one for all that can reach it. A bank turns deposited
// time into credit of each workspace at the workspace's rate, and grants requests while
// the credit lasts. Earned time expires after the time in which the rate earns the burst,
// wherever it is held, so that in any span T at most rate x T + burst is admitted: with
// lost, delayed or doubled messages, with several banks, and after restarts.
//
// Exceptions are the following. A request larger than the credit that can exist passes
// with the largest credit and leaves a debt: one such request for each bank. While
// instances have listed different numbers of instances and use different banks, the
// banks of those that know fewer earn up to the ratio of the numbers; banks spread the
// larger number, and each credits no more than the time that passes.
//
// The package does no input or output and reads no clock.
package allocator

import (
	"math/rand/v2"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// minInterval is the shortest time between two deposits. It grows with the fleet by
	// instanceInterval for each instance, to bound the messages that a bank receives.
	minInterval      = 50.0
	instanceInterval = 1.25
	// joinDelay is the time in which an instance that was never listed before earns
	// nothing, so that the others learn of it.
	joinDelay = 3 * timekeeper.Second
	// helloInterval is the time between messages to the next bank in order and to banks
	// that were silent.
	helloInterval = timekeeper.Second
	// peakTTL is the time for which the largest number of instances that another
	// instance has listed is used. It is above the longest time between listings.
	peakTTL = 20 * timekeeper.Second
)

// Quota bounds what a workspace may use, in its unit.
type Quota struct {
	Rate  float64 // For each second.
	Burst float64
}

// life returns the time for which earned time is credited.
func (q Quota) life() timekeeper.Millis {
	return timekeeper.Millis(min(q.Burst/q.Rate, maxLife.Seconds()) * float64(timekeeper.Second))
}

// transit returns the part of the life that is left for a grant on its way and for a
// request that is refused after it was granted.
func (q Quota) transit() timekeeper.Millis { return min(maxTransit, q.life()/transitDivisor) }

const (
	maxTransit     = 150 * timekeeper.Millisecond
	transitDivisor = 4
)

// Peer is another instance.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Strength   float64 // The strongest instances become banks.
}

// Datagram is a message and its receiver.
type Datagram struct {
	To      netip.AddrPort
	Message Message
}

// Allocator is an instance's part in the quotas: it earns, asks banks for grants, and
// is a bank to those that send it messages. It is safe for concurrent use.
type Allocator struct {
	mu     sync.Mutex
	self   Peer
	quotas func(workspace string) (Quota, bool)
	bank   bank

	active     bool              // Some workspace has a quota.
	activeFrom timekeeper.Millis // Since when.
	banks      []*account        // In the order of preference; the last is this instance's own.
	current    *account          // The bank that receives the deposits.
	listed     int               // Instances in the newest list; 0 before the first one.
	told       peak              // Most instances that a bank has told.
	divisor    int               // Number of instances that the earnings were last divided by.

	earningFrom timekeeper.Millis // When this instance begins to earn.
	earnedAt    timekeeper.Millis // Until when it has earned.

	lastNumber int64
	tries      map[int64]*try // Without an answer, or with one that came too late.
	counters   Counters
}

// Counters count the verdicts of an instance.
type Counters struct {
	Granted, Refused, Unanswered int64
	Repeated                     int64 // Asks sent again.
	Late                         int64 // Grants that came too late or were not needed.
	Banks                        int64 // Changes of the bank.
}

// peak is the largest number that was reported recently.
type peak struct {
	n  int
	at timekeeper.Millis
}

func (p *peak) report(n int, now timekeeper.Millis) {
	if n >= p.n || now-p.at > peakTTL {
		p.n, p.at = n, now
	}
}

func (p *peak) value(now timekeeper.Millis) int {
	if now-p.at > peakTTL {
		return 0
	}
	return p.n
}

// New returns the allocator of one process. Until SetPeers is called it earns nothing.
func New(self Peer, quotas func(workspace string) (Quota, bool)) *Allocator {
	a := &Allocator{self: self, quotas: quotas, tries: map[int64]*try{}, bank: newBank(rand.Int64N(1<<62)+1, quotas)}
	own := &account{peer: self, own: true, number: 1}
	a.banks, a.current = []*account{own}, own
	return a
}

// SetPeers replaces the other instances. Known reports whether this instance was listed
// before its process started.
func (a *Allocator) SetPeers(peers []Peer, known bool, now timekeeper.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listed > 0 {
		a.earn(now)
		a.listed = len(peers) + 1
		a.orderBanks(peers, now)
		a.chooseBank(now)
	} else {
		a.listed = len(peers) + 1
		a.orderBanks(peers, now)
		a.chooseBank(now)
		a.beginEarning(known, now)
	}
	a.bank.listed = a.listed
}

// beginEarning sets from when a process earns, after its first list: from when it knew
// the quotas if the instance was listed before. The caller holds mu.
func (a *Allocator) beginEarning(known bool, now timekeeper.Millis) {
	a.earningFrom = now
	switch {
	case !known:
		a.earningFrom += joinDelay
	case a.active:
		a.earningFrom = a.activeFrom
	}
	a.earnedAt = a.earningFrom
	a.divisor = a.instances(now)
	a.current.renew(a.earningFrom)
}

// SetActive sets whether any workspace has a quota. Without one, nothing is earned or sent.
func (a *Allocator) SetActive(active bool, now timekeeper.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if active && !a.active {
		a.activeFrom = now
		a.earnedAt = max(a.earningFrom, now)
		a.current.renew(a.earnedAt)
	}
	a.active = active
}

// instances returns the number of instances that share the time. The caller holds mu.
func (a *Allocator) instances(now timekeeper.Millis) int {
	return max(a.listed, a.told.value(now), a.bank.peak.value(now))
}

// earn adds the time since the last call to the account of the current bank. If the
// number of instances has changed, the account is replaced, because a bank assumes that
// an account earns evenly. The caller holds mu.
func (a *Allocator) earn(now timekeeper.Millis) {
	n := a.instances(now)
	if !a.active || a.listed == 0 || now <= a.earnedAt {
		return
	}
	if n != a.divisor {
		a.divisor = n
		a.current.renew(a.earnedAt)
	}
	a.current.earned += float64(now-a.earnedAt) / float64(n)
	a.earnedAt = now
}

// interval returns the time between two messages to the current bank. The caller holds mu.
func (a *Allocator) interval() timekeeper.Millis {
	if a.current.unanswered > 0 {
		return doubtInterval
	}
	return timekeeper.Millis(max(minInterval, instanceInterval*float64(a.listed)))
}

// Advance returns the messages that are due, and the time after which to call it again.
func (a *Allocator) Advance(now timekeeper.Millis) ([]Datagram, timekeeper.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.earn(now)
	a.chooseBank(now)
	a.forgetTries(now)
	a.bank.forget(now)
	if !a.active || a.listed == 0 {
		return nil, a.interval()
	}
	var list []Datagram
	if now-a.current.sentAt >= a.interval() {
		list = append(list, a.contact(a.current, Message{}, now)...)
	}
	for _, b := range a.banks {
		if b != a.current && !b.own && now-b.sentAt >= helloInterval && a.worthContact(b) {
			list = append(list, a.contact(b, Message{}, now)...)
		}
	}
	return list, max(min(a.interval(), a.current.sentAt+a.interval()-now), 1)
}

// Handle processes a message from another instance and returns the replies.
func (a *Allocator) Handle(sender string, from netip.AddrPort, m Message, now timekeeper.Millis) ([]Datagram, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Reply != nil {
		return a.handleReply(from, *m.Reply, now), nil
	}
	return []Datagram{{from, Message{Reply: a.bank.handle(sender, m, now)}}}, nil
}

// Counters returns the counters.
func (a *Allocator) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counters
}

var errMessage = errors.New("malformed message on quotas")
