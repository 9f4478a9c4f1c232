package gossiper

import (
	"sort"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	linkEvery  = timekeeper.Second
	reachEvery = 5 * timekeeper.Second
	// IsolatedAfter is the silence of peers and platform after which an instance
	// counts as isolated.
	IsolatedAfter = 3 * timekeeper.Second
	// maxLinkFailures is the number of failures after which a relay tries
	// instances other than the relays it knows of.
	maxLinkFailures = 2
)

// link is the exchange with another data centre.
type link struct {
	heard      timekeeper.Millis
	next       timekeeper.Millis
	nextDigest timekeeper.Millis
	sent       uint64 // sequence up to which own records were acknowledged
	wide       uint64 // sequence up to which wide records were sent
	turn       int
	failures   int
}

func (l *link) hear(now timekeeper.Millis) { l.heard, l.failures = now, 0 }

// linkTo returns the link to a data centre. The caller holds mu.
func (g *Gossiper) linkTo(now timekeeper.Millis, dc string) *link {
	l := g.links[dc]
	if l == nil {
		l = &link{heard: now, sent: g.sequence}
		g.links[dc] = l
	}
	return l
}

// linkExchanges returns a relay's messages to the other data centres. The caller holds mu.
func (g *Gossiper) linkExchanges(now timekeeper.Millis) []Send {
	if !g.relay() {
		g.relaySince = 0
		return nil
	}
	if g.relaySince == 0 {
		g.relaySince = now
	}
	v := g.refresh()
	var sends []Send
	for _, dc := range sortedKeys(v.others) {
		l := g.linkTo(now, dc)
		if len(v.others[dc]) == 0 || now < l.next {
			continue
		}
		l.next = now + linkEvery + g.jitter(linkEvery/5)
		if now-l.heard > g.options.DeadAfter {
			// Jitter keeps relays from meeting a healed network all at once.
			l.next = now + linkEvery + g.jitter(2*linkEvery)
		}
		to := v.relays[dc][l.turn%len(v.relays[dc])]
		if l.failures >= maxLinkFailures {
			to = v.others[dc][g.random.IntN(len(v.others[dc]))]
		}
		l.turn++
		if g.affordable(now, g.greeting()) {
			sends = append(sends, g.linkExchange(now, dc, l, to))
		}
	}
	return sends
}

// linkExchange builds the message of one link: the records of the own data centre
// that were not acknowledged, in order, and now and then the digests.
func (g *Gossiper) linkExchange(now timekeeper.Millis, dc string, l *link, to *owner) Send {
	m := g.message()
	if now >= l.nextDigest {
		l.nextDigest = now + digestEvery + g.jitter(digestEvery)
		m.Digests = g.allDigests()
	}
	news := g.ownNews(func(e *entry) bool { return e.repaired() && e.sequence > l.sent })
	upTo, used := g.sequence, m.size()
	for _, e := range news {
		if used += e.size; used > g.room(now, Normal) {
			upTo = e.sequence - 1
			break
		}
		m.Records = append(m.Records, e.Record)
	}
	for _, e := range g.ownNews(func(e *entry) bool { return Class(e.Class) == Wide && e.sequence > l.wide }) {
		if used += e.size; used > g.room(now, Wide) {
			break
		}
		m.Records, l.wide = append(m.Records, e.Record), e.sequence
	}
	if g.options.fullState {
		m.Records = g.everything()
	}
	s := g.send(now, to, m)
	s.link, s.upTo = dc, upTo
	return s
}

// ownNews returns the records of the own data centre that match, in order of arrival. The caller holds mu.
func (g *Gossiper) ownNews(match func(*entry) bool) []*entry {
	var news []*entry
	for _, o := range g.list {
		if !o.joined() || !g.own(o) {
			continue
		}
		for _, e := range o.records {
			if match(e) {
				news = append(news, e)
			}
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].sequence < news[j].sequence })
	return news
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// unreachable returns the other data centres that no relay of the own one hears. The caller holds mu.
func (g *Gossiper) unreachable(now timekeeper.Millis) (list []string, others int) {
	v := g.refresh()
	relay := g.relay()
	for _, dc := range sortedKeys(v.others) {
		if len(v.others[dc]) == 0 {
			continue
		}
		others++
		silent := relay && now-max(g.linkTo(now, dc).heard, g.relaySince) > g.options.DeadAfter
		if !relay {
			silent = g.relaysMiss(dc)
		}
		if silent {
			list = append(list, dc)
		}
	}
	return list, others
}

// relaysMiss reports whether every relay of the own data centre says that it does not hear dc.
func (g *Gossiper) relaysMiss(dc string) bool {
	relays := g.refresh().relays[g.self.member.DataCentre]
	for _, o := range relays {
		e := o.records[reachKind]
		if e == nil || !strings.Contains(" "+string(e.Data)+" ", " "+dc+" ") {
			return false
		}
	}
	return len(relays) > 0
}

// watchReach publishes what a relay hears and notes when the data centre is cut
// off or the instance isolated. The caller holds mu.
func (g *Gossiper) watchReach(now timekeeper.Millis) {
	list, others := g.unreachable(now)
	if reach := strings.Join(list, " "); g.relay() && len(reach) <= MaxPayloadBytes && (reach != g.reach || now >= g.nextReach) {
		g.reach, g.nextReach = reach, now+reachEvery
		version := int64(1)
		if e := g.self.records[reachKind]; e != nil {
			version = e.Ver + 1
		}
		g.insert(now, Record{Owner: g.self.name, Inc: g.self.member.Incarnation, Ver: version, Kind: reachKind, Class: int(Load), Data: []byte(reach)}, "")
	}
	if cut := others > 0 && len(list) == others; cut != g.cutOff {
		g.cutOff = cut
		code := recorder.DataCentreRejoined
		if cut {
			code = recorder.DataCentreCutOff
		}
		g.event(code, g.self.member.DataCentre)
	}
	silent := now-g.lastPeer >= IsolatedAfter && now-g.lastPlatform >= IsolatedAfter
	isolated := silent && (g.isolated || len(g.refresh().peers) > 0)
	if isolated && !g.isolated {
		g.event(recorder.InstanceIsolated, g.self.name)
	}
	g.isolated = isolated
}

// LastHeard returns when a peer of the data centre and when the platform was last heard.
func (g *Gossiper) LastHeard() (peer, platform timekeeper.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastPeer, g.lastPlatform
}

// PlatformHeard notes that the platform answered this instance.
func (g *Gossiper) PlatformHeard(now timekeeper.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastPlatform = max(g.lastPlatform, now)
}

// Reach tells what an instance hears.
type Reach struct {
	// Isolated means that neither a peer of the data centre nor the platform is heard.
	Isolated bool
	// CutOff means that no other data centre is heard.
	CutOff bool
	// Platform means that the platform was heard within IsolatedAfter.
	Platform bool
	// Unreachable lists the other data centres that are not heard.
	Unreachable []string
}

// Reach returns what this instance hears at now.
func (g *Gossiper) Reach(now timekeeper.Millis) Reach {
	g.mu.Lock()
	defer g.mu.Unlock()
	list, _ := g.unreachable(now)
	return Reach{Isolated: g.isolated, CutOff: g.cutOff, Platform: now-g.lastPlatform < IsolatedAfter, Unreachable: list}
}
