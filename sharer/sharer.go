// Package sharer sends the other instances the work that this one has in flight at
// each target, and adds up what they send. It uses small datagrams without retries,
// because a newer message replaces a lost one.
//
// In a small fleet every instance sends to every other one. In a large one an instance
// sends to two relays of its data centre; these send it the work of all others and the
// changes in the store, so that neither messages nor calls grow with the square of the
// fleet.
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

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// minInterval and maxInterval bound the time between two messages to a peer. Between
	// them it is the prefill time of a prompt: work that changes more slowly is sent less
	// often.
	minInterval = 40 * timekeeper.Millisecond
	maxInterval = 160 * timekeeper.Millisecond
	// idleInterval is the time between two messages while nothing is in flight.
	idleInterval = 400 * timekeeper.Millisecond
	// maxSmallFleet is the number of peers up to which every instance sends to every other one.
	maxSmallFleet = 32
	// minIntervalPeers is the number of peers up to which minInterval applies in a small
	// fleet. With more peers the interval grows, to bound the number of messages.
	minIntervalPeers = 16
	// loadTTL is the time after which the loads of a peer expire.
	loadTTL = timekeeper.Second
	// receiveRetryDelay is the delay after a failed read of the socket.
	receiveRetryDelay = 50 * timekeeper.Millisecond
	// maxDatagramBytes bounds a datagram. Networks fragment or drop those larger than
	// about 1,400 bytes.
	maxDatagramBytes = 1400
)

// Peer is another instance.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// ProcessorShare is the peer's processor share. Peers with the largest share become
	// relays.
	ProcessorShare float64
}

// Source provides the version and the changes of one kind of objects that this instance
// knows, and takes changes from relays.
type Source interface {
	Version() (storer.Version, bool)
	Since(storer.Version) (follower.News, bool)
	PackedSince(storer.Version) (follower.Packed, bool)
	Offer(n follower.News, after timekeeper.Reading)
}

// Dependencies holds what a sharer is built from.
type Dependencies struct {
	Clock timekeeper.Clock
	// Self is this instance; its name in messages is Process.
	Self    Peer
	Process string
	// LocalLoads returns the local work in flight, and Eligible whether this instance
	// may hold duties.
	LocalLoads func() Loads
	Eligible   func() bool
	Sources    map[string]Source // By kind.
	// ShortestPrefillTime returns the shortest mean prefill time of a service, in which
	// the work at a target changes; it may be nil.
	ShortestPrefillTime func() timekeeper.Millis
	// LocalFigures returns the local statistics of services, in sums that decay; it may
	// be nil.
	LocalFigures func() Figures
	// SoleEra returns the era of the store if this process has known one only, and 0
	// otherwise. Messages that name no era are of that era. It may be nil.
	SoleEra    func() storer.Era
	Quarantine Quarantine // May be nil.
	Quotas     Quotas     // May be nil.
	Record     func(recorder.Event)
}

// Quarantine provides the evidence on prompt parts that crash targets, and takes that of
// the other instances.
type Quarantine interface {
	Announcements() []quarantiner.Evidence
	Verdicts() (quarantiner.Evidence, bool)
	Merge(quarantiner.Evidence) (quarantiner.Evidence, error)
}

// report is the newest message of another instance.
type report struct {
	message    Message
	address    netip.AddrPort
	receivedAt timekeeper.Reading
	isFollower bool                   // The sender follows this instance as a relay.
	readsEras  bool                   // It reads packed change sets that name their era.
	sent       map[string]sentChanges // What a follower was sent, by kind.
}

// Sharer exchanges loads with the other instances. It is safe for concurrent use.
type Sharer struct {
	Dependencies

	mu            sync.Mutex
	peers         []Peer             // The other instances.
	reports       map[string]*report // By process.
	totals        Loads              // The sum of the loads in reports.
	lastNumber    int64              // Of the newest message sent.
	relays        relays
	remoteFigures remoteFigures
	assemblies    map[netip.AddrPort]*assembly // By relay.

	loadsSentAt  timekeeper.Reading // When the local loads were last sent.
	sentIdle     bool               // The loads last sent were empty.
	sentVersions Versions           // As last sent.

	socket *net.UDPConn // For messages on quotas; nil before Run.

	verdictsSentAt timekeeper.Reading // When evidence for what is quarantined was last sent.
}

// New returns a sharer for one process.
func New(p Dependencies) *Sharer {
	return &Sharer{Dependencies: p, reports: map[string]*report{}, totals: Loads{}, lastNumber: time.Now().UnixNano(), relays: newRelays(p.Self), remoteFigures: newRemoteFigures(), assemblies: map[netip.AddrPort]*assembly{}}
}

// SetPeers replaces the other instances.
func (s *Sharer) SetPeers(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
	s.relays.setPeers(peers)
}

// large reports whether the fleet is too large for every instance to send to every
// other one. The caller holds mu.
func (s *Sharer) large() bool { return len(s.peers) > maxSmallFleet }

// Run sends and receives on a socket until the context ends.
func (s *Sharer) Run(ctx context.Context, c *net.UDPConn) {
	var receiving sync.WaitGroup
	receiving.Go(func() { s.receive(ctx, c) })
	receiving.Go(func() { s.runQuotas(ctx, c) })
	defer receiving.Wait()
	defer c.Close()
	for timekeeper.Sleep(ctx, s.interval()) {
		if loads := s.LocalLoads(); s.loadsDue(loads) {
			s.send(c, s.loadMessages(loads))
		}
		s.send(c, s.digestMessages())
		for _, d := range s.packedMessages() {
			_, _ = c.WriteToUDPAddrPort(d.data, d.address) // Sent again unless its receiver reports it.
		}
		s.send(c, s.figureMessages())
		s.send(c, s.evidenceMessages())
	}
}

// loadsDue reports whether to send the local loads: while there is work, once after it
// ended, every idleInterval as a heartbeat, and in a large fleet when a known version
// changed.
func (s *Sharer) loadsDue(loads Loads) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	if len(loads) == 0 && s.sentIdle && now.Since(s.loadsSentAt) < idleInterval && (!s.large() || maps.Equal(s.knownVersions(), s.sentVersions)) {
		return false
	}
	s.sentIdle, s.loadsSentAt = len(loads) == 0, now
	return true
}

// interval returns the time until the next messages.
func (s *Sharer) interval() timekeeper.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.large() {
		return relayInterval
	}
	interval := minInterval
	if s.ShortestPrefillTime != nil {
		interval = min(max(interval, s.ShortestPrefillTime()), maxInterval)
	}
	return max(interval, minInterval*timekeeper.Millis(len(s.peers))/minIntervalPeers)
}

// datagram is a message and its receivers.
type datagram struct {
	addresses []netip.AddrPort
	message   Message
}

func (s *Sharer) send(c *net.UDPConn, list []datagram) {
	for _, d := range list {
		data, err := json.Marshal(d.message)
		if err != nil || len(data) > maxDatagramBytes {
			s.Record(recorder.Event{Code: recorder.RecordRefused, Cause: fmt.Sprintf("%d bytes: %v", len(data), err)})
			continue
		}
		for _, a := range d.addresses {
			_, _ = c.WriteToUDPAddrPort(data, a) // The next message replaces a lost one.
		}
	}
}

// loadMessages returns the messages with the local loads.
func (s *Sharer) loadMessages(loads Loads) []datagram {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.lastNumber++
	m := Message{Sender: s.Process, Number: s.lastNumber, Eligible: s.Eligible(), Loads: loads}
	if !s.large() {
		return []datagram{{s.peerAddresses(), m}}
	}
	s.relays.recordSent(s.lastNumber, now)
	s.sentVersions = s.knownVersions()
	m.Known, m.KnownEras = s.sentVersions.encode()
	m.ReadsPacked = true
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

// knownVersions returns the newest known version of each kind. The caller holds mu.
func (s *Sharer) knownVersions() Versions {
	versions := Versions{}
	for kind, source := range s.Sources {
		if v, ok := source.Version(); ok {
			versions[kind] = v
		}
	}
	return versions
}

// receive handles messages until the socket is closed. Other errors of the socket pass.
func (s *Sharer) receive(ctx context.Context, c *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	failing := false
	for {
		n, from, err := c.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !failing {
				s.Record(recorder.Event{Code: recorder.ListenerFailed, Cause: "other instances: " + err.Error()})
			}
			failing = true
			timekeeper.Sleep(ctx, receiveRetryDelay)
			continue
		}
		failing = false
		var m Message
		switch {
		case isPacked(buffer[:n]):
			s.handlePacked(buffer[:n], from)
		case json.Unmarshal(buffer[:n], &m) != nil:
		case m.Quota != nil:
			s.send(c, s.handleQuota(m, from))
		case m.Evidence != nil:
			s.send(c, s.handleEvidence(m, from))
		default:
			s.handle(m, from)
		}
	}
}

// handle processes a received message.
func (s *Sharer) handle(m Message, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	switch {
	case m.Sender == s.Process:
	case m.Figures != nil:
		s.remoteFigures.update(m, s.Self.DataCentre, now)
	case m.Digest != nil:
		s.handleDigest(m, from, now)
	case m.DataCentre != "":
		s.relays.acceptCentre(m, from, now)
	default:
		old := s.reports[m.Sender]
		if old == nil {
			old = &report{}
		}
		if m.Number <= old.message.Number {
			return
		}
		s.totals.add(old.message.Loads, -1)
		s.totals.add(m.Loads, 1)
		readsEras := len(m.KnownEras) > 0
		m.Known = m.Known.decode(m.KnownEras, s.impliedEra())
		s.reports[m.Sender] = &report{message: m, address: from, receivedAt: now, isFollower: m.Known != nil, readsEras: readsEras, sent: old.sent}
	}
}

// handleDigest processes a digest from a relay. The caller holds mu.
func (s *Sharer) handleDigest(m Message, from netip.AddrPort, now timekeeper.Reading) {
	sent, ok := s.relays.acceptDigest(m, from, now)
	if !ok {
		return
	}
	for kind, changes := range m.Digest.Changes {
		if source := s.Sources[kind]; source != nil {
			if decoded, ok := changes.Decoded(s.impliedEra()); ok {
				source.Offer(decoded, sent)
			}
		}
	}
}

// RemoteLoad is the work in flight of several instances at a target, in the units of
// Load.
type RemoteLoad struct{ PrefillWork, LowPriorityWork, Requests, PromptTokens float64 }

// RemoteLoads returns a function for the work that the other instances have in flight
// at a target, scaled up for those without a recent message. Known is false if there is
// no recent message at all.
func (s *Sharer) RemoteLoads() (at func(target string) RemoteLoad, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.expire(now)
	totals, scale := Loads(nil), 1.0
	switch digest, ok := s.relays.freshDigest(now); {
	case s.large() && s.relays.isRelay(s.followerCount()):
		totals = s.relays.addCentres(s.totals.clone(), now)
	case s.large() && ok:
		totals = digest // Replaced, never changed.
	case len(s.reports) == 0 || s.large():
		return nil, false
	default:
		totals = s.totals.clone()
		scale = max(float64(len(s.peers))/float64(len(s.reports)), 1)
	}
	return func(target string) RemoteLoad {
		l := totals[KeyOf(target)]
		return RemoteLoad{scale * float64(l.PrefillWork), scale * float64(l.LowPriorityWork), scale * float64(l.Requests), scale * float64(l.PromptTokens)}
	}, true
}

// FleetSize returns the number of instances, this one included.
func (s *Sharer) FleetSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
}

// EligibleProcesses returns the processes that are known to be eligible for duties. It
// is empty in a large fleet for an instance that is not a relay.
func (s *Sharer) EligibleProcesses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.expire(now)
	var list []string
	if s.large() {
		if !s.relays.isRelay(s.followerCount()) {
			return nil
		}
		list = s.relays.eligibles(now)
	} else {
		for name, r := range s.reports {
			if r.message.Eligible {
				list = append(list, name)
			}
		}
	}
	list = append(list, s.Process)
	sort.Strings(list)
	return list
}

// expire drops the reports that are older than loadTTL. The caller holds mu.
func (s *Sharer) expire(now timekeeper.Reading) {
	for name, r := range s.reports {
		if now.Since(r.receivedAt) > loadTTL {
			s.totals.add(r.message.Loads, -1)
			delete(s.reports, name)
		}
	}
}
