package sharer

import (
	"net/netip"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// relaysPerCentre is how many relays an instance listens to, so that the loss of
	// one is not felt.
	relaysPerCentre = 2
	// relayInterval is the time between two messages between an instance and its relays.
	relayInterval = 60 * timekeeper.Millisecond
	// relaySilence is how long a relay may say nothing before another takes its place.
	relaySilence = 400 * timekeeper.Millisecond
	// relaySuspicion is how long a silent relay is left alone.
	relaySuspicion = 3 * timekeeper.Second
	// newsInterval is the time between two confirmations of what did not change.
	newsInterval = 200 * timekeeper.Millisecond
	// centreInterval is the time between two messages to another data centre.
	centreInterval = 200 * timekeeper.Millisecond
	// mostParts bounds the parts of the news of one kind that are sent at once.
	mostParts = 4
	// rememberedMessages is how many of the own messages a relay may echo: those of
	// more than two seconds.
	rememberedMessages = 64
)

// relays is what an instance of a large fleet knows of the relays.
type relays struct {
	self   Peer
	own    []Peer            // Of the own data centre with this instance, strongest first.
	remote map[string][]Peer // Of other data centres, strongest first.

	since   map[netip.AddrPort]timekeeper.Reading // When a relay was chosen or heard last.
	suspect map[netip.AddrPort]timekeeper.Reading
	numbers [rememberedMessages]int64
	times   [rememberedMessages]timekeeper.Reading

	loads   Loads // The newest digest.
	loadsAt timekeeper.Reading

	centres  map[string]centre
	contacts map[string]contact // Other relays, by process.
	told     timekeeper.Reading // When news were told last.
	toldFar  timekeeper.Reading // When other relays were told last.
	relaying bool
}

// centre is what a relay of another data centre told last.
type centre struct {
	loads Loads
	at    timekeeper.Reading
}

// contact is another relay that was heard.
type contact struct {
	address  netip.AddrPort
	eligible bool // It may hold duties.
	at       timekeeper.Reading
}

func newRelays(self Peer) relays {
	return relays{
		self: self, remote: map[string][]Peer{}, since: map[netip.AddrPort]timekeeper.Reading{},
		suspect: map[netip.AddrPort]timekeeper.Reading{}, centres: map[string]centre{}, contacts: map[string]contact{},
	}
}

// order sorts the instances as all instances sort them.
func (r *relays) order(others []Peer) {
	r.own, r.remote = []Peer{r.self}, map[string][]Peer{}
	for _, p := range others {
		if p.DataCentre == r.self.DataCentre {
			r.own = append(r.own, p)
		} else {
			r.remote[p.DataCentre] = append(r.remote[p.DataCentre], p)
		}
	}
	slices.SortFunc(r.own, stronger)
	for _, list := range r.remote {
		slices.SortFunc(list, stronger)
	}
}

func stronger(a, b Peer) int {
	switch {
	case a.Strength > b.Strength:
		return -1
	case a.Strength < b.Strength:
		return 1
	default:
		return strings.Compare(a.Name, b.Name)
	}
}

// choose returns the addresses of the relays to follow, and those that fell silent.
func (r *relays) choose(now timekeeper.Reading) (list []netip.AddrPort, silent []Peer) {
	left := relaysPerCentre
	for _, p := range r.own {
		if left == 0 {
			break
		}
		if at, ok := r.suspect[p.Address]; ok && now.Since(at) < relaySuspicion {
			continue
		}
		if p.Name == r.self.Name {
			left--
			continue
		}
		at, ok := r.since[p.Address]
		if !ok || now.Since(at) > relaySuspicion {
			r.since[p.Address] = now // Chosen anew.
		} else if now.Since(at) > relaySilence {
			r.suspect[p.Address] = now
			silent = append(silent, p)
			continue
		}
		list = append(list, p.Address)
		left--
	}
	return list, silent
}

// sent remembers when a message left.
func (r *relays) sent(number int64, now timekeeper.Reading) {
	i := uint64(number) % rememberedMessages
	r.numbers[i], r.times[i] = number, now
}

// takeDigest takes the loads of a digest, and returns a time before it was made. It
// is false for a digest that answers none of the remembered messages.
func (r *relays) takeDigest(m Message, from netip.AddrPort, now timekeeper.Reading) (timekeeper.Reading, bool) {
	i := uint64(m.Digest.Echo) % rememberedMessages
	if r.numbers[i] != m.Digest.Echo {
		return timekeeper.Reading{}, false
	}
	r.since[from] = now
	delete(r.suspect, from)
	if m.Loads != nil {
		r.loads, r.loadsAt = m.Loads, now
	}
	return r.times[i], true
}

// digest returns the loads of all others, if a relay told them lately.
func (r *relays) digest(now timekeeper.Reading) (Loads, bool) {
	return r.loads, r.loads != nil && now.Since(r.loadsAt) < life
}

// takeCentre takes what another relay tells.
func (r *relays) takeCentre(m Message, from netip.AddrPort, now timekeeper.Reading) {
	r.contacts[m.Sender] = contact{from, m.Eligible, now}
	if m.DataCentre != r.self.DataCentre {
		r.centres[m.DataCentre] = centre{m.Loads, now}
	}
}

// foreign adds the loads of other data centres.
func (r *relays) foreign(sum Loads, now timekeeper.Reading) Loads {
	for _, c := range r.centres {
		if now.Since(c.at) < life {
			sum.add(c.loads, 1)
		}
	}
	return sum
}

// eligibles returns the other relays that may hold duties.
func (r *relays) eligibles(now timekeeper.Reading) []string {
	var list []string
	for name, c := range r.contacts {
		switch {
		case now.Since(c.at) >= life:
			delete(r.contacts, name)
		case c.eligible:
			list = append(list, name)
		}
	}
	return list
}

// others returns the addresses of the other relays: the first of each data centre,
// and those that took their place and told of it.
func (r *relays) others(now timekeeper.Reading) []netip.AddrPort {
	var list []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a != r.self.Address && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	for _, p := range r.own[:min(relaysPerCentre, len(r.own))] {
		add(p.Address)
	}
	for _, peers := range r.remote {
		for _, p := range peers[:min(relaysPerCentre, len(peers))] {
			add(p.Address)
		}
	}
	for _, c := range r.contacts {
		if now.Since(c.at) < life {
			add(c.address)
		}
	}
	return list
}

// isRelay reports whether this instance relays: it is one of the first of its data
// centre, or others follow it.
func (r *relays) isRelay(followers int) bool {
	for i, p := range r.own {
		if i == relaysPerCentre {
			break
		}
		if p.Name == r.self.Name {
			return true
		}
	}
	return followers > 0
}

// followed returns the number of instances that listen to this one. The caller holds mu.
func (s *Sharer) followed() int {
	n := 0
	for _, p := range s.peers {
		if p.followed {
			n++
		}
	}
	return n
}

// FollowsRelays reports whether the store may be left to the relays.
func (s *Sharer) FollowsRelays() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.expire(now)
	if !s.large() || s.relays.isRelay(s.followed()) {
		return false
	}
	_, ok := s.relays.digest(now)
	return ok
}

// IsRelay reports whether this instance tells others the news.
func (s *Sharer) IsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.large() && s.relays.isRelay(s.followed())
}

// digests returns what a relay tells its followers and the relays of other data centres.
func (s *Sharer) digests() []datagram {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	if !s.large() {
		return nil
	}
	s.expire(now)
	followers := s.followed()
	relaying := s.relays.isRelay(followers)
	s.recordRelaying(relaying, followers)
	if !relaying {
		return nil
	}
	own := s.totals.clone()
	own.add(s.Own(), 1)
	all := s.relays.foreign(own.clone(), now)
	confirm := now.Since(s.relays.told) >= newsInterval
	if confirm {
		s.relays.told = now
	}
	var list []datagram
	for _, p := range s.peers {
		if p.followed {
			for _, m := range s.digestsFor(p, all, confirm) {
				list = append(list, datagram{[]netip.AddrPort{p.address}, m})
			}
		}
	}
	return append(list, s.centreMessages(own, now)...)
}

// digestsFor returns the digests for a follower. The caller holds mu.
func (s *Sharer) digestsFor(p *peer, all Loads, confirm bool) []Message {
	digest := func(loads Loads, news DigestNews) Message {
		return Message{Sender: s.Process, Number: s.number, Loads: loads, Digest: &Digest{Echo: p.message.Number, News: news}}
	}
	var list []Message
	if p.message.WantsLoads {
		loads := all.clone()
		loads.add(p.message.Loads, -1)
		list = append(list, digest(loads, DigestNews{}))
	}
	same := DigestNews{}
	for kind, source := range s.Sources {
		version, ok := p.message.Known[kind]
		for range mostParts {
			if !ok {
				break // The follower has to list the store first.
			}
			var news follower.News
			if news, ok = source.Since(version); !ok {
				break
			}
			if len(news.Items) == 0 {
				if version == p.message.Known[kind] && confirm {
					same[kind] = news
				}
				break
			}
			list = append(list, digest(nil, DigestNews{kind: news}))
			version = news.At
		}
	}
	if len(same) > 0 {
		list = append(list, digest(nil, same))
	}
	return list
}

// centreMessages returns what the relays of all data centres are told. The caller holds mu.
func (s *Sharer) centreMessages(own Loads, now timekeeper.Reading) []datagram {
	if now.Since(s.relays.toldFar) < centreInterval {
		return nil
	}
	s.relays.toldFar = now
	m := Message{Sender: s.Process, Number: s.number, Eligible: s.Eligible(), Loads: own, DataCentre: s.Self.DataCentre}
	return []datagram{{s.relays.others(now), m}}
}

// recordRelaying records a change of the instance's part in a large fleet. The caller holds mu.
func (s *Sharer) recordRelaying(relaying bool, followers int) {
	if relaying == s.relays.relaying {
		return
	}
	s.relays.relaying = relaying
	cause := "follows the relays of its data centre"
	if relaying {
		cause = "relays for its data centre"
	}
	s.Record(recorder.Event{Code: recorder.RelayChanged, Cause: cause, Inputs: []zap.Field{
		zap.Int("followers", followers), zap.Int("others", len(s.others)),
	}})
}
