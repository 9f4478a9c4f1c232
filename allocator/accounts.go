package allocator

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// maxBanks bounds the other instances that may become this instance's bank.
	maxBanks = 12
	// silenceTimeout and maxUnanswered say when a bank is silent: as many messages were
	// sent to it and the first is that old.
	silenceTimeout = 200 * timekeeper.Millisecond
	maxUnanswered  = 5
	// doubtful is the number of unanswered messages from which the next banks in order
	// are contacted as well.
	doubtful = 2
	// doubtInterval is the time between messages to a bank that owes a reply.
	doubtInterval = 40 * timekeeper.Millisecond
	// liveTTL is the time after which a bank that sent no reply is not known to be live.
	liveTTL = 2*helloInterval + 500*timekeeper.Millisecond
)

// account is this instance's account with a bank.
type account struct {
	peer   Peer
	own    bool // The bank is this instance.
	number int64
	earned float64           // Since the account began.
	began  timekeeper.Millis // When the account's number was given.

	sentAt        timekeeper.Millis // When the bank was last sent a message.
	unanswered    int               // Messages since the last reply.
	awaitingSince timekeeper.Millis // When the first of them was sent.
	silent        bool

	heardAt timekeeper.Millis // When the last reply was received; its term and stamp follow.
	term    int64
	stamp   timekeeper.Millis
}

// renew replaces the account by an empty one. What wasn't credited yet is lost.
func (b *account) renew(now timekeeper.Millis) {
	b.number++
	b.earned, b.began = 0, now
}

func (b *account) live(now timekeeper.Millis) bool {
	return b.own || b.term != 0 && !b.silent && now-b.heardAt < liveTTL
}

// orderBanks sets the order of preference, which starts alike at all instances: the
// strongest instance and the strongest of another data centre, then the two strongest of
// this one, then all others by strength. The caller holds mu.
func (a *Allocator) orderBanks(peers []Peer, now timekeeper.Millis) {
	sorted := append(slices.Clone(peers), a.self)
	slices.SortFunc(sorted, compareStrength)
	var ordered []Peer
	take := func(n int, fits func(Peer) bool) {
		for _, p := range sorted {
			if n > 0 && fits(p) && !slices.ContainsFunc(ordered, func(o Peer) bool { return o.Name == p.Name }) {
				ordered = append(ordered, p)
				n--
			}
		}
	}
	take(1, func(Peer) bool { return true })
	take(1, func(p Peer) bool { return p.DataCentre != ordered[0].DataCentre })
	take(2, func(p Peer) bool { return p.DataCentre == a.self.DataCentre })
	take(maxBanks-len(ordered), func(Peer) bool { return true })
	if !slices.ContainsFunc(ordered, func(o Peer) bool { return o.Name == a.self.Name }) {
		ordered = append(ordered, a.self) // The last resort.
	}
	old := a.banks
	a.banks = nil
	for _, p := range ordered {
		b := &account{peer: p, own: p.Name == a.self.Name, number: 1, began: now}
		if i := slices.IndexFunc(old, func(o *account) bool { return o.peer.Name == p.Name && o.peer.Address == p.Address }); i >= 0 {
			b = old[i]
			b.peer = p
		}
		a.banks = append(a.banks, b)
	}
}

func compareStrength(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), strings.Compare(a.Name, b.Name))
}

// chooseBank makes the first live bank the current one. If none is known to be live,
// it is the first that isn't silent. The caller holds mu.
func (a *Allocator) chooseBank(now timekeeper.Millis) {
	for _, b := range a.banks {
		if b.unanswered >= maxUnanswered && now-b.awaitingSince >= silenceTimeout {
			b.silent = true
		}
	}
	chosen := a.firstBank(func(b *account) bool { return !b.own && b.live(now) })
	if own := a.firstBank(func(b *account) bool { return b.own }); chosen == nil || a.before(own, chosen) {
		chosen = a.firstBank(func(b *account) bool { return !b.silent })
	}
	if chosen == a.current {
		return
	}
	if a.current.term != 0 {
		a.counters.Banks++
	}
	a.current.renew(now)
	chosen.renew(now)
	a.current = chosen
}

// firstBank returns the first bank in order that fits, or nil. The caller holds mu.
func (a *Allocator) firstBank(fits func(*account) bool) *account {
	for _, b := range a.banks {
		if fits(b) {
			return b
		}
	}
	return nil
}

// before reports whether a bank comes before another one in order. The caller holds mu.
func (a *Allocator) before(b, other *account) bool {
	return slices.Index(a.banks, b) < slices.Index(a.banks, other)
}

// worthContact reports whether to send a bank that is not the current one a message:
// whether it is the next one in order or comes before the current one, or the current
// one may be silent. The caller holds mu.
func (a *Allocator) worthContact(b *account) bool {
	next := slices.Index(a.banks, a.current) + 1
	return slices.Index(a.banks, b) <= next || a.current.unanswered >= doubtful
}

// contact returns a message to a bank, or processes it if this instance is the bank.
// The caller holds mu.
func (a *Allocator) contact(b *account, m Message, now timekeeper.Millis) []Datagram {
	a.earn(now)
	if b.term != 0 && now-b.heardAt > depositorTTL/2 {
		b.term = 0 // The bank may have forgotten the account.
		b.renew(now)
	}
	m.Deposit = &Deposit{Account: b.number, Age: max(now-b.began, 0), Earned: b.earned, Instances: max(a.listed, 1)}
	b.sentAt = now
	if b.own {
		m.Deposit.Term, m.Deposit.Stamp = a.bank.term, now
		return a.handleReplyOf(b, *a.bank.handle(a.self.Name, m, now), now)
	}
	if b.term != 0 {
		m.Deposit.Term, m.Deposit.Stamp, m.Deposit.Elapsed = b.term, b.stamp, now-b.heardAt
	}
	if b.unanswered == 0 {
		b.awaitingSince = now
	}
	b.unanswered++
	return []Datagram{{b.peer.Address, m}}
}

// handleReply processes the reply of another instance. The caller holds mu.
func (a *Allocator) handleReply(from netip.AddrPort, r Reply, now timekeeper.Millis) []Datagram {
	b := a.firstBank(func(b *account) bool { return !b.own && b.peer.Address == from })
	if b == nil {
		return nil
	}
	a.told.report(r.Instances, now)
	return a.handleReplyOf(b, r, now)
}

// handleReplyOf processes a bank's reply. The caller holds mu.
func (a *Allocator) handleReplyOf(b *account, r Reply, now timekeeper.Millis) []Datagram {
	first := b.term != r.Term
	if first && b.term != 0 {
		b.renew(now) // The bank's process has restarted and doesn't know what it credited.
	}
	b.heardAt, b.term, b.stamp = now, r.Term, r.Stamp
	b.unanswered, b.silent = 0, false
	var list []Datagram
	if r.Verdict != nil {
		list = a.handleVerdict(b, *r.Verdict, now)
	}
	if first && b == a.current && !b.own {
		list = append(list, a.contact(b, Message{}, now)...) // Only now can the bank date what was earned.
	}
	return list
}
