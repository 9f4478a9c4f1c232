package sharer

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// relaysPerCentre is the number of relays that an instance follows, so that it can
	// lose one without interruption.
	relaysPerCentre = 2
	// relayInterval is the interval of the messages between an instance and its relays.
	relayInterval = 60 * timekeeper.Millisecond
	// relayTimeout is how long a relay may be silent before it is replaced.
	relayTimeout = 400 * timekeeper.Millisecond
	// suspicionTTL is how long a silent relay is not chosen again.
	suspicionTTL = 3 * timekeeper.Second
	// confirmInterval is the interval of confirmations that a kind has not changed.
	confirmInterval = 200 * timekeeper.Millisecond
	// centreInterval is the interval of the messages between relays.
	centreInterval = 200 * timekeeper.Millisecond
	// maxParts bounds the parts of a kind's change set that are sent at once, and
	// maxPackedParts those that are packed.
	maxParts       = 4
	maxPackedParts = 8
	// maxPackedDatagrams bounds the packed datagrams that a relay sends in an interval, to
	// all followers together: half of a link of 20 Mbit/s.
	maxPackedDatagrams = 60
	// resendDelay is how long a relay waits for a follower to report parts that it was
	// sent before it sends them again: two exchanges, and some time to process them.
	resendDelay = 4 * relayInterval
	// echoWindow is how many of this instance's latest messages a relay may echo: those
	// of more than two seconds.
	echoWindow = 64
)

// relays is the state that an instance of a large fleet keeps about relays.
type relays struct {
	self   Peer
	local  []Peer            // Of the local data centre, this instance included; strongest first.
	remote map[string][]Peer // Of other data centres, strongest first.

	lastSeen    map[netip.AddrPort]timekeeper.Reading // When a relay was chosen or last sent a digest.
	suspectedAt map[netip.AddrPort]timekeeper.Reading
	sentNumbers [echoWindow]int64
	sentTimes   [echoWindow]timekeeper.Reading

	digest   Loads // Loads of the newest digest.
	digestAt timekeeper.Reading

	centres       map[string]centreLoads // Other data centres, by name.
	otherRelays   map[string]otherRelay  // By process.
	confirmedAt   timekeeper.Reading     // When unchanged kinds were last confirmed.
	centresSentAt timekeeper.Reading     // When other relays were last sent the loads.
	relaying      bool                   // As last recorded.
}

// centreLoads are the loads that a relay of another data centre last reported.
type centreLoads struct {
	loads      Loads
	receivedAt timekeeper.Reading
}

// otherRelay is a relay that sent this one a message.
type otherRelay struct {
	address    netip.AddrPort
	eligible   bool // It may hold duties.
	receivedAt timekeeper.Reading
}

func newRelays(self Peer) relays {
	return relays{
		self: self, remote: map[string][]Peer{}, lastSeen: map[netip.AddrPort]timekeeper.Reading{},
		suspectedAt: map[netip.AddrPort]timekeeper.Reading{}, centres: map[string]centreLoads{}, otherRelays: map[string]otherRelay{},
	}
}

// setPeers replaces the other instances. Every instance sorts them in the same order.
func (r *relays) setPeers(peers []Peer) {
	r.local, r.remote = []Peer{r.self}, map[string][]Peer{}
	for _, p := range peers {
		if p.DataCentre == r.self.DataCentre {
			r.local = append(r.local, p)
		} else {
			r.remote[p.DataCentre] = append(r.remote[p.DataCentre], p)
		}
	}
	slices.SortFunc(r.local, compareStrength)
	for _, list := range r.remote {
		slices.SortFunc(list, compareStrength)
	}
}

func compareStrength(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.ProcessorShare, a.ProcessorShare), strings.Compare(a.Name, b.Name))
}

// choose returns the addresses of the relays to follow, and the relays that it newly suspects.
func (r *relays) choose(now timekeeper.Reading) (addresses []netip.AddrPort, silent []Peer) {
	missing := relaysPerCentre
	for _, p := range r.local {
		if missing == 0 {
			break
		}
		if at, ok := r.suspectedAt[p.Address]; ok && now.Since(at) < suspicionTTL {
			continue
		}
		if p.Name == r.self.Name {
			missing--
			continue
		}
		at, ok := r.lastSeen[p.Address]
		if !ok || now.Since(at) > suspicionTTL {
			r.lastSeen[p.Address] = now // Newly chosen.
		} else if now.Since(at) > relayTimeout {
			r.suspectedAt[p.Address] = now
			silent = append(silent, p)
			continue
		}
		addresses = append(addresses, p.Address)
		missing--
	}
	return addresses, silent
}

// recordSent records when a message was sent.
func (r *relays) recordSent(number int64, now timekeeper.Reading) {
	i := uint64(number) % echoWindow
	r.sentNumbers[i], r.sentTimes[i] = number, now
}

// acceptDigest stores the loads of a digest and returns a time before the digest was
// created: that of the message which it echoes. It returns false if that message is not
// among the recorded ones.
func (r *relays) acceptDigest(m Message, from netip.AddrPort, now timekeeper.Reading) (timekeeper.Reading, bool) {
	i := uint64(m.Digest.Echo) % echoWindow
	if r.sentNumbers[i] != m.Digest.Echo {
		return timekeeper.Reading{}, false
	}
	r.lastSeen[from] = now
	delete(r.suspectedAt, from)
	if m.Loads != nil {
		r.digest, r.digestAt = m.Loads, now
	}
	return r.sentTimes[i], true
}

// freshDigest returns the loads of all other instances, and false if they have expired.
func (r *relays) freshDigest(now timekeeper.Reading) (Loads, bool) {
	return r.digest, r.digest != nil && now.Since(r.digestAt) < loadTTL
}

// acceptCentre stores a message of another relay.
func (r *relays) acceptCentre(m Message, from netip.AddrPort, now timekeeper.Reading) {
	r.otherRelays[m.Sender] = otherRelay{from, m.Eligible, now}
	if m.DataCentre != r.self.DataCentre {
		r.centres[m.DataCentre] = centreLoads{m.Loads, now}
	}
}

// addCentres adds the loads of other data centres to a sum and returns it.
func (r *relays) addCentres(sum Loads, now timekeeper.Reading) Loads {
	for _, c := range r.centres {
		if now.Since(c.receivedAt) < loadTTL {
			sum.add(c.loads, 1)
		}
	}
	return sum
}

// eligibles returns the processes of the other relays that may hold duties.
func (r *relays) eligibles(now timekeeper.Reading) []string {
	var list []string
	for name, o := range r.otherRelays {
		switch {
		case now.Since(o.receivedAt) >= loadTTL:
			delete(r.otherRelays, name)
		case o.eligible:
			list = append(list, name)
		}
	}
	return list
}

// otherAddresses returns the addresses of the other relays: the strongest of each data
// centre, and the replacements that have sent this one a message.
func (r *relays) otherAddresses(now timekeeper.Reading) []netip.AddrPort {
	var list []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a != r.self.Address && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	for _, p := range r.local[:min(relaysPerCentre, len(r.local))] {
		add(p.Address)
	}
	for _, peers := range r.remote {
		for _, p := range peers[:min(relaysPerCentre, len(peers))] {
			add(p.Address)
		}
	}
	for _, o := range r.otherRelays {
		if now.Since(o.receivedAt) < loadTTL {
			add(o.address)
		}
	}
	return list
}

// isRelay reports whether this instance relays: it is one of the strongest of its data
// centre, or others follow it.
func (r *relays) isRelay(followers int) bool {
	for i, p := range r.local {
		if i == relaysPerCentre {
			break
		}
		if p.Name == r.self.Name {
			return true
		}
	}
	return followers > 0
}

// followerCount returns the number of instances that follow this relay. The caller holds mu.
func (s *Sharer) followerCount() int {
	n := 0
	for _, r := range s.reports {
		if r.isFollower {
			n++
		}
	}
	return n
}

// FollowsRelays reports whether this instance receives the changes of the store from relays.
func (s *Sharer) FollowsRelays() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.expire(now)
	if !s.large() || s.relays.isRelay(s.followerCount()) {
		return false
	}
	_, ok := s.relays.freshDigest(now)
	return ok
}

// IsRelay reports whether this instance sends others the changes of the store.
func (s *Sharer) IsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.large() && s.relays.isRelay(s.followerCount())
}

// digestMessages returns the messages of a relay to its followers and to the other relays.
func (s *Sharer) digestMessages() []datagram {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	if !s.large() {
		return nil
	}
	s.expire(now)
	followers := s.followerCount()
	relaying := s.relays.isRelay(followers)
	s.recordRelaying(relaying, followers)
	if !relaying {
		return nil
	}
	centre := s.totals.clone()
	centre.add(s.LocalLoads(), 1)
	// Followers are sent the largest loads of all instances, less their own.
	all := s.relays.addCentres(centre.clone(), now).largest(maxRecords)
	confirm := now.Since(s.relays.confirmedAt) >= confirmInterval
	if confirm {
		s.relays.confirmedAt = now
	}
	var list []datagram
	for _, r := range s.reports {
		if r.isFollower {
			for _, m := range s.digestsFor(r, all, confirm) {
				list = append(list, datagram{[]netip.AddrPort{r.address}, m})
			}
		}
	}
	return append(list, s.centreMessages(centre, now)...)
}

// digestsFor returns the digests for the sender of a report. The caller holds mu.
func (s *Sharer) digestsFor(r *report, all Loads, confirm bool) []Message {
	digest := func(loads Loads, changes DigestChanges) Message {
		for kind, n := range changes {
			changes[kind] = n.Encoded()
		}
		return Message{Sender: s.Process, Number: s.lastNumber, Loads: loads, Digest: &Digest{Echo: r.message.Number, Changes: changes}}
	}
	var list []Message
	if r.message.WantsLoads {
		list = append(list, digest(all.without(r.message.Loads), DigestChanges{}))
	}
	unchanged := DigestChanges{}
	for kind, source := range s.Sources {
		version, ok := r.message.Known[kind]
		if r.message.ReadsPacked {
			if changes, ok := s.confirmation(r, kind, source); ok && confirm {
				unchanged[kind] = changes
			}
			continue
		}
		for range maxParts {
			if !ok {
				break // The follower has to list the store first.
			}
			var changes follower.News
			if changes, ok = source.Since(version); !ok {
				break
			}
			if len(changes.Items) == 0 {
				if version == r.message.Known[kind] && confirm {
					unchanged[kind] = changes
				}
				break
			}
			list = append(list, digest(nil, DigestChanges{kind: changes}))
			version = changes.At
		}
	}
	if len(unchanged) > 0 {
		list = append(list, digest(nil, unchanged))
	}
	return list
}

// centreMessages returns the messages with the loads of the local data centre for the
// relays of all data centres, if they are due. The caller holds mu.
func (s *Sharer) centreMessages(centre Loads, now timekeeper.Reading) []datagram {
	if now.Since(s.relays.centresSentAt) < centreInterval {
		return nil
	}
	s.relays.centresSentAt = now
	m := Message{Sender: s.Process, Number: s.lastNumber, Eligible: s.Eligible(), Loads: centre, DataCentre: s.Self.DataCentre}
	return []datagram{{s.relays.otherAddresses(now), m}}
}

// recordRelaying records a change of the instance's role in a large fleet. The caller holds mu.
func (s *Sharer) recordRelaying(relaying bool, followers int) {
	if relaying == s.relays.relaying {
		return
	}
	s.relays.relaying = relaying
	cause := "follows the relays of its data centre"
	if relaying {
		cause = "is a relay of its data centre"
	}
	s.Record(recorder.Event{Code: recorder.RelayChanged, Cause: cause, Inputs: []zap.Field{
		zap.Int("followers", followers), zap.Int("others", len(s.peers)),
	}})
}
