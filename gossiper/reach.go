package gossiper

import (
	"sort"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	linkInterval  = timekeeper.Second
	reachInterval = 5 * timekeeper.Second
	// IsolatedAfter is the time without contact to peers and platform after which
	// an instance counts as isolated.
	IsolatedAfter = 3 * timekeeper.Second
	// maxLinkFailures is the number of failures after which a relay tries
	// instances of the remote data centre other than its known relays.
	maxLinkFailures = 2
)

// link is the state of the exchanges with a remote data centre.
type link struct {
	lastSeen     timekeeper.Millis
	nextExchange timekeeper.Millis
	nextDigest   timekeeper.Millis
	acknowledged uint64 // sequence up to which local records were acknowledged
	sentWide     uint64 // sequence up to which wide records were sent
	nextRelay    int
	failures     int
}

func (l *link) markSeen(now timekeeper.Millis) { l.lastSeen, l.failures = now, 0 }

// linkTo returns the link to a data centre and creates it if needed. The caller
// holds mu.
func (g *Gossiper) linkTo(now timekeeper.Millis, dc string) *link {
	l := g.links[dc]
	if l == nil {
		l = &link{lastSeen: now, acknowledged: g.sequence}
		g.links[dc] = l
	}
	return l
}

// linkExchanges returns the messages of a relay that are due to the remote data
// centres. The caller holds mu.
func (g *Gossiper) linkExchanges(now timekeeper.Millis) []Send {
	if !g.isRelay() {
		g.relaySince = 0
		return nil
	}
	if g.relaySince == 0 {
		g.relaySince = now
	}
	v := g.currentView()
	var sends []Send
	for _, dc := range sortedKeys(v.remote) {
		l := g.linkTo(now, dc)
		if len(v.remote[dc]) == 0 || now < l.nextExchange {
			continue
		}
		l.nextExchange = now + linkInterval + g.jitter(linkInterval/5)
		if now-l.lastSeen > g.options.DeadAfter {
			// Jitter keeps the relays from all reconnecting at once when the network recovers.
			l.nextExchange = now + linkInterval + g.jitter(2*linkInterval)
		}
		to := v.relays[dc][l.nextRelay%len(v.relays[dc])]
		if l.failures >= maxLinkFailures {
			to = v.remote[dc][g.random.IntN(len(v.remote[dc]))]
		}
		l.nextRelay++
		if g.fitsBudget(now, g.joinMessage()) {
			sends = append(sends, g.linkExchange(now, dc, l, to))
		}
	}
	return sends
}

// linkExchange builds the message of one link: the records of the local data
// centre that are not acknowledged yet, in order, and periodically the digests.
func (g *Gossiper) linkExchange(now timekeeper.Millis, dc string, l *link, to *owner) Send {
	m := g.newMessage()
	if now >= l.nextDigest {
		l.nextDigest = now + digestInterval + g.jitter(digestInterval)
		m.Digests = g.allDigests()
	}
	records := g.localRecords(func(e *entry) bool { return e.repaired() && e.sequence > l.acknowledged })
	upTo, used := g.sequence, m.size()
	for _, e := range records {
		if used += e.size; used > g.recordBytes(now, Normal) {
			upTo = e.sequence - 1
			break
		}
		m.Records = append(m.Records, e.Record)
	}
	for _, e := range g.localRecords(func(e *entry) bool { return Class(e.Class) == Wide && e.sequence > l.sentWide }) {
		if used += e.size; used > g.recordBytes(now, Wide) {
			break
		}
		m.Records, l.sentWide = append(m.Records, e.Record), e.sequence
	}
	if g.options.fullState {
		m.Records = g.allRecords()
	}
	s := g.send(now, to, m)
	s.linkDataCentre, s.lastSequence = dc, upTo
	return s
}

// localRecords returns the matching records of the local data centre in order of
// insertion. The caller holds mu.
func (g *Gossiper) localRecords(match func(*entry) bool) []*entry {
	var matching []*entry
	for _, o := range g.sortedOwners {
		if !o.joined() || !g.isLocal(o) {
			continue
		}
		for _, e := range o.records {
			if match(e) {
				matching = append(matching, e)
			}
		}
	}
	sort.Slice(matching, func(i, j int) bool { return matching[i].sequence < matching[j].sequence })
	return matching
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// unreachable returns the remote data centres that no relay of the local one has
// contact with, and the number of remote data centres. The caller holds mu.
func (g *Gossiper) unreachable(now timekeeper.Millis) (list []string, remoteCount int) {
	v := g.currentView()
	relay := g.isRelay()
	for _, dc := range sortedKeys(v.remote) {
		if len(v.remote[dc]) == 0 {
			continue
		}
		remoteCount++
		noContact := relay && now-max(g.linkTo(now, dc).lastSeen, g.relaySince) > g.options.DeadAfter
		if !relay {
			noContact = g.relaysReportUnreachable(dc)
		}
		if noContact {
			list = append(list, dc)
		}
	}
	return list, remoteCount
}

// relaysReportUnreachable reports whether every relay of the local data centre
// lists dc as unreachable.
func (g *Gossiper) relaysReportUnreachable(dc string) bool {
	relays := g.currentView().relays[g.self.member.DataCentre]
	for _, o := range relays {
		e := o.records[reachKind]
		if e == nil || !strings.Contains(" "+string(e.Data)+" ", " "+dc+" ") {
			return false
		}
	}
	return len(relays) > 0
}

// updateReach publishes the data centres that a relay cannot reach, and records
// when the data centre is cut off or the instance isolated. The caller holds mu.
func (g *Gossiper) updateReach(now timekeeper.Millis) {
	list, remoteCount := g.unreachable(now)
	if reach := strings.Join(list, " "); g.isRelay() && len(reach) <= MaxPayloadBytes && (reach != g.publishedReach || now >= g.nextReachPublish) {
		g.publishedReach, g.nextReachPublish = reach, now+reachInterval
		version := int64(1)
		if e := g.self.records[reachKind]; e != nil {
			version = e.Ver + 1
		}
		g.insert(now, Record{Owner: g.self.name, Inc: g.self.member.Incarnation, Ver: version, Kind: reachKind, Class: int(Load), Data: []byte(reach)}, "")
	}
	if cutOff := remoteCount > 0 && len(list) == remoteCount; cutOff != g.cutOff {
		g.cutOff = cutOff
		code := recorder.DataCentreRejoined
		if cutOff {
			code = recorder.DataCentreCutOff
		}
		g.recordEvent(code, g.self.member.DataCentre)
	}
	noContact := now-g.lastPeerSeen >= IsolatedAfter && now-g.lastPlatformSeen >= IsolatedAfter
	isolated := noContact && (g.isolated || len(g.currentView().peers) > 0)
	if isolated && !g.isolated {
		g.recordEvent(recorder.InstanceIsolated, g.self.name)
	}
	g.isolated = isolated
}

// LastContact returns when this instance last had contact with a peer of its data
// centre and with the platform.
func (g *Gossiper) LastContact() (peer, platform timekeeper.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastPeerSeen, g.lastPlatformSeen
}

// RecordPlatformContact records that the platform answered this instance.
func (g *Gossiper) RecordPlatformContact(now timekeeper.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastPlatformSeen = max(g.lastPlatformSeen, now)
}

// Connectivity describes the connectivity of an instance.
type Connectivity struct {
	// Isolated means no contact with the peers of the data centre or the platform.
	Isolated bool
	// CutOff means no contact with any other data centre.
	CutOff bool
	// PlatformReachable means that the platform answered within IsolatedAfter.
	PlatformReachable bool
	// Unreachable lists the other data centres without contact.
	Unreachable []string
}

// Connectivity returns the connectivity of this instance at now.
func (g *Gossiper) Connectivity(now timekeeper.Millis) Connectivity {
	g.mu.Lock()
	defer g.mu.Unlock()
	list, _ := g.unreachable(now)
	return Connectivity{Isolated: g.isolated, CutOff: g.cutOff, PlatformReachable: now-g.lastPlatformSeen < IsolatedAfter, Unreachable: list}
}
