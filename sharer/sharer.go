// Package sharer tells the other instances what work this one has in flight at
// each target, and adds up what they tell. It uses small datagrams: an old figure
// is worth nothing, so a lost one is not sent again.
//
// In a small fleet every instance tells every other one. In a large one an instance
// tells two relays of its data centre; these tell it the work of all others and what
// changed in the store, so that neither messages nor calls grow with the square of
// the fleet.
package sharer

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// interval and longestInterval bound the time between two messages to a peer. In
	// between it is the time in which an engine reads a prompt: work that changes more
	// slowly is told less often.
	interval        = 40 * timekeeper.Millisecond
	longestInterval = 160 * timekeeper.Millisecond
	// idleInterval is the same while nothing is in flight.
	idleInterval = 400 * timekeeper.Millisecond
	// smallFleet is the number of peers up to which every instance tells every other one.
	smallFleet = 32
	// intervalPeers is the number of peers up to which interval holds in a small
	// fleet; more peers are told less often, so that messages stay within bounds.
	intervalPeers = 16
	// life is the time after which a peer's figures no longer count.
	life = timekeeper.Second
	// mostMessage bounds a datagram. Networks divide or drop larger ones than about 1,400 bytes.
	mostMessage = 1400
)

// Peer is another instance.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Strength is the peer's share of processors; strong peers relay.
	Strength float64
}

// Source tells how far this instance knows one kind of objects, and what is new
// for others.
type Source interface {
	Version() (storer.Version, bool)
	Since(storer.Version) (follower.News, bool)
	Offer(n follower.News, after timekeeper.Reading)
}

// Parts are what a sharer works with.
type Parts struct {
	Clock timekeeper.Clock
	// Self is this instance; its name in messages is Process.
	Self    Peer
	Process string
	// Own returns the work in flight, and Eligible whether duties may be held.
	Own      func() Loads
	Eligible func() bool
	Sources  map[string]Source // By kind.
	// Turnover returns the time in which the work at a target changes; it may be nil.
	Turnover func() timekeeper.Millis
	// Figures returns what this instance saw of services, in sums that fade; it may be nil.
	Figures func() Figures
	Record  func(recorder.Event)
}

// peer is what another instance told last.
type peer struct {
	message  Message
	address  netip.AddrPort
	at       timekeeper.Reading
	followed bool // It wants to be told.
}

// Sharer exchanges loads with the other instances. It is safe for concurrent use.
type Sharer struct {
	Parts

	mu     sync.Mutex
	others []Peer
	peers  map[string]*peer // Instances that told their own loads, by process.
	totals Loads            // The sum of their loads.
	number int64
	relays relays
	seen   seen

	told  timekeeper.Reading // When the own loads were told last.
	idle  bool               // They were told to be none.
	known Versions           // As told last.
}

// New returns a sharer of an instance's process.
func New(p Parts) *Sharer {
	return &Sharer{Parts: p, peers: map[string]*peer{}, totals: Loads{}, number: time.Now().UnixNano(), relays: newRelays(p.Self), seen: newSeen()}
}

// SetPeers replaces the other instances.
func (s *Sharer) SetPeers(others []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = others
	s.relays.order(others)
}

// large reports whether the fleet is too large for everyone to tell everyone. The
// caller holds mu.
func (s *Sharer) large() bool { return len(s.others) > smallFleet }

// Run sends and receives on a socket until the context ends.
func (s *Sharer) Run(ctx context.Context, c *net.UDPConn) {
	var receiving sync.WaitGroup
	receiving.Go(func() { s.receive(c) })
	defer receiving.Wait()
	defer c.Close()
	for timekeeper.Sleep(ctx, s.interval()) {
		if loads := s.Own(); s.due(loads) {
			s.write(c, s.round(loads))
		}
		s.write(c, s.digests())
		s.write(c, s.figures())
	}
}

// due reports whether there is something to tell: work, its end, what is known of
// the store, or that the instance lives.
func (s *Sharer) due(loads Loads) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	if len(loads) == 0 && s.idle && now.Since(s.told) < idleInterval && (!s.large() || maps.Equal(s.versions(), s.known)) {
		return false
	}
	s.idle, s.told = len(loads) == 0, now
	return true
}

// interval returns the time until the next round.
func (s *Sharer) interval() timekeeper.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.large() {
		return relayInterval
	}
	usual := interval
	if s.Turnover != nil {
		usual = min(max(usual, s.Turnover()), longestInterval)
	}
	return max(usual, interval*timekeeper.Millis(len(s.others))/intervalPeers)
}

// datagram is a message for some instances.
type datagram struct {
	addresses []netip.AddrPort
	message   Message
}

func (s *Sharer) write(c *net.UDPConn, list []datagram) {
	for _, d := range list {
		data, err := json.Marshal(d.message)
		if err != nil || len(data) > mostMessage {
			s.Record(recorder.Event{Code: recorder.RecordRefused, Cause: fmt.Sprintf("%d bytes: %v", len(data), err)})
			continue
		}
		for _, a := range d.addresses {
			_, _ = c.WriteToUDPAddrPort(data, a) // The next message replaces a lost one.
		}
	}
}

// round returns the messages that tell the own loads.
func (s *Sharer) round(loads Loads) []datagram {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.number++
	m := Message{Sender: s.Process, Number: s.number, Eligible: s.Eligible(), Loads: loads}
	if !s.large() {
		return []datagram{{s.addresses(), m}}
	}
	s.relays.sent(s.number, now)
	m.Known = s.versions()
	s.known = m.Known
	var list []datagram
	chosen, silent := s.relays.choose(now)
	for _, p := range silent {
		s.Record(recorder.Event{Code: recorder.InstanceSuspected, Cause: "relay " + p.Name + " is silent"})
	}
	for i, address := range chosen {
		m.WantsLoads = i == 0
		list = append(list, datagram{[]netip.AddrPort{address}, m})
	}
	return list
}

// versions returns how far each kind is known. The caller holds mu.
func (s *Sharer) versions() Versions {
	known := Versions{}
	for kind, source := range s.Sources {
		if v, ok := source.Version(); ok {
			known[kind] = v
		}
	}
	return known
}

func (s *Sharer) receive(c *net.UDPConn) {
	buffer := make([]byte, mostMessage)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The socket was closed.
		}
		var m Message
		if json.Unmarshal(buffer[:n], &m) == nil {
			s.take(m, from)
		}
	}
}

// take replaces what a peer told before.
func (s *Sharer) take(m Message, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	switch {
	case m.Sender == s.Process:
	case m.Figures != nil:
		s.seen.take(m, s.Self.DataCentre, now)
	case m.Digest != nil:
		s.takeDigest(m, from, now)
	case m.DataCentre != "":
		s.relays.takeCentre(m, from, now)
	default:
		old := s.peers[m.Sender]
		if old == nil {
			old = &peer{}
		}
		if m.Number <= old.message.Number {
			return
		}
		s.totals.add(old.message.Loads, -1)
		s.totals.add(m.Loads, 1)
		s.peers[m.Sender] = &peer{message: m, address: from, at: now, followed: m.Known != nil}
	}
}

// takeDigest takes what a relay tells. The caller holds mu.
func (s *Sharer) takeDigest(m Message, from netip.AddrPort, now timekeeper.Reading) {
	sent, ok := s.relays.takeDigest(m, from, now)
	if !ok {
		return
	}
	for kind, news := range m.Digest.News {
		if source := s.Sources[kind]; source != nil {
			source.Offer(news, sent)
		}
	}
}

// Sum is work in flight of several instances at a target.
type Sum struct{ Effort, Late, Requests, Memory float64 }

// Others returns a function that tells what the other instances have in flight at
// a target, scaled up for those that were not heard lately. Known is false if none was heard.
func (s *Sharer) Others() (at func(target string) Sum, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.expire(now)
	totals, scale := Loads(nil), 1.0
	switch digest, ok := s.relays.digest(now); {
	case s.large() && s.relays.isRelay(s.followed()):
		totals = s.relays.foreign(s.totals.clone(), now)
	case s.large() && ok:
		totals = digest // Replaced, never changed.
	case len(s.peers) == 0 || s.large():
		return nil, false
	default:
		totals = s.totals.clone()
		scale = max(float64(len(s.others))/float64(len(s.peers)), 1)
	}
	return func(target string) Sum {
		l := totals[KeyOf(target)]
		return Sum{scale * float64(l.Effort), scale * float64(l.Late), scale * float64(l.Requests), scale * float64(l.Memory)}
	}, true
}

// Fleet returns the number of instances, this one included.
func (s *Sharer) Fleet() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.others) + 1
}

// Eligibles returns the processes that may hold duties as far as is known. It is
// empty for an instance that leaves them to others.
func (s *Sharer) Eligibles() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.expire(now)
	var list []string
	if s.large() {
		if !s.relays.isRelay(s.followed()) {
			return nil
		}
		list = s.relays.eligibles(now)
	} else {
		for name, p := range s.peers {
			if p.message.Eligible {
				list = append(list, name)
			}
		}
	}
	list = append(list, s.Process)
	sort.Strings(list)
	return list
}

// expire drops peers that were not heard lately. The caller holds mu.
func (s *Sharer) expire(now timekeeper.Reading) {
	for name, p := range s.peers {
		if now.Since(p.at) > life {
			s.totals.add(p.message.Loads, -1)
			delete(s.peers, name)
		}
	}
}
