package gossiper

import (
	"slices"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// TickInterval is the time between calls of Tick.
const TickInterval = 100 * timekeeper.Millisecond

// pauseLimit is the gap between ticks above which this process counts as paused: missing
// answers during that time say nothing about other instances.
const pauseLimit = 5 * TickInterval

const (
	digestInterval    = 2 * timekeeper.Second
	contactInterval   = 5 * timekeeper.Second
	reconnectInterval = 5 * timekeeper.Second
	maxReprobes       = 2
	indirectProbes    = 2
)

// Send is a message to another instance. Its outcome goes to HandleAnswer or
// HandleFailure.
type Send struct {
	Address string
	Message Message

	to             string // name, if known
	linkDataCentre string // remote data centre of a relay exchange
	lastSequence   uint64 // last record sequence that an answer acknowledges
	push           *push
	// followUps is the number of exchanges that this one follows.
	followUps int
}

// Tick returns the messages that are due at now. It is called every TickInterval
// and when urgent messages are queued.
func (g *Gossiper) Tick(now timekeeper.Millis) []Send {
	defer g.deliver()
	g.mu.Lock()
	defer g.mu.Unlock()
	if gap := now - g.lastTick; gap > pauseLimit {
		g.extendDeadlines(gap)
		g.resumedAt = now
	}
	g.lastTick = now
	if g.self.member.State == Left {
		return g.duePushes(now)
	}
	if now >= g.nextExpire {
		g.nextExpire = now + 2*TickInterval
		g.expire(now)
	}
	sends := g.duePushes(now)
	sends = append(sends, g.detectFailures(now)...)
	if now >= g.nextRound {
		g.nextRound = now + g.options.Interval
		sends = append(sends, g.round(now)...)
	}
	sends = append(sends, g.linkExchanges(now)...)
	sends = append(sends, g.contact(now)...)
	g.updateReach(now)
	return sends
}

// extendDeadlines extends the deadlines of other instances by a pause of this process.
func (g *Gossiper) extendDeadlines(gap timekeeper.Millis) {
	for _, o := range g.sortedOwners {
		o.lastSeen += gap
		if o.member.State == Suspect {
			o.stateChanged += gap
		}
		o.unansweredSince, o.indirectlyProbed = 0, false
	}
	for _, l := range g.links {
		l.lastSeen += gap
	}
	g.lastPeerSeen += gap
	g.lastPlatformSeen += gap
}

// expire declares suspected instances dead after DeadAfter and removes dead and
// left ones after ForgetAfter. The caller holds mu.
func (g *Gossiper) expire(now timekeeper.Millis) {
	for _, o := range slices.Clone(g.sortedOwners) {
		if o == g.self || !o.joined() {
			continue
		}
		switch age := now - o.stateChanged; {
		case o.member.State == Suspect && age >= g.options.DeadAfter-g.options.SuspectAfter && g.isLocal(o):
			g.publishState(now, o, Dead)
		case !o.member.Live() && age >= g.options.ForgetAfter:
			g.removeRecord(o, memberKind)
			g.removeOwner(o)
		}
	}
}

// isLocal reports whether an instance is in the local data centre. Only instances
// of the same data centre declare an instance suspected or dead.
func (g *Gossiper) isLocal(o *owner) bool { return o.member.DataCentre == g.self.member.DataCentre }

// detectFailures requests indirect probes of peers that do not answer, then
// suspects them. The caller holds mu.
func (g *Gossiper) detectFailures(now timekeeper.Millis) []Send {
	var sends []Send
	peers := g.currentView().peers
	// If no peer answers, this instance is the likely cause. With a single peer that
	// cannot be distinguished, so the peer is suspected.
	noPeerSeen := len(peers) > 1 && now-g.lastPeerSeen >= g.options.SuspectAfter
	for _, o := range peers {
		if o.unansweredSince == 0 || o.member.State != Alive {
			continue
		}
		waited := now - o.unansweredSince
		if waited >= g.options.Interval && !o.indirectlyProbed {
			o.indirectlyProbed = true
			for range min(indirectProbes, len(peers)-1) {
				m := g.newMessage()
				m.Probe = o.name
				if helper := peers[g.random.IntN(len(peers))]; helper != o && g.fitsBudget(now, m) {
					sends = append(sends, g.send(now, helper, m))
				}
			}
		}
		if waited >= g.options.SuspectAfter && !noPeerSeen {
			g.publishState(now, o, Suspect)
		}
	}
	return sends
}

// round probes the successor on the hash ring of the data centre, one random peer
// and those that did not answer. Each probe carries changed records. The caller
// holds mu.
func (g *Gossiper) round(now timekeeper.Millis) []Send {
	peers := g.currentView().peers
	if len(peers) == 0 {
		return nil
	}
	next := sort.Search(len(peers), func(i int) bool { return peers[i].hash > g.self.hash }) % len(peers)
	chosen := []*owner{peers[next]}
	if other := peers[g.random.IntN(len(peers))]; other != chosen[0] && !other.unresponsive() {
		chosen = append(chosen, other)
	}
	for _, o := range peers {
		// One more probe before the suspicion is enough: a paused instance has all
		// probes queued and answers them when it resumes.
		overdue := o.unansweredSince != 0 && now-o.unansweredSince >= 2*g.options.Interval && now-o.unansweredSince < 3*g.options.Interval
		if overdue && o.member.State == Alive && len(chosen) < 2+maxReprobes && o != chosen[0] && o != chosen[len(chosen)-1] {
			chosen = append(chosen, o)
		}
	}
	sends := make([]Send, 0, len(chosen))
	for i, o := range chosen {
		m := g.newMessage()
		if i == len(chosen)-1 && (now >= g.nextDigest || g.outOfSync) {
			g.nextDigest, g.outOfSync = now+digestInterval+g.jitter(g.options.Interval), false
			m.Digests = g.allDigests()
		}
		g.addChanges(now, &m, o)
		if m.size() > g.budget.free(now) {
			break
		}
		sends = append(sends, g.probe(now, o, m))
	}
	return sends
}

func (g *Gossiper) jitter(span timekeeper.Millis) timekeeper.Millis {
	return timekeeper.Millis(g.random.Int64N(int64(span) + 1))
}

// probe returns a message to an instance that is suspected if no answer arrives.
// The caller holds mu.
func (g *Gossiper) probe(now timekeeper.Millis, o *owner, m Message) Send {
	if o.unansweredSince == 0 {
		o.unansweredSince = now
	}
	return g.send(now, o, m)
}

func (g *Gossiper) send(now timekeeper.Millis, o *owner, m Message) Send {
	g.budget.spend(now, m.size())
	return Send{Address: o.member.PeerAddress, Message: m, to: o.name}
}

func (g *Gossiper) newMessage() Message {
	return Message{From: g.self.name, Inc: g.self.member.Incarnation}
}

// contact returns messages to contact addresses of unknown instances and,
// periodically, to a dead instance: after a network partition each side must find
// the other again. The caller holds mu.
func (g *Gossiper) contact(now timekeeper.Millis) []Send {
	var sends []Send
	if now >= g.nextReconnect {
		g.nextReconnect = now + reconnectInterval + g.jitter(reconnectInterval)
		var dead []*owner
		for _, o := range g.sortedOwners {
			if o.member.State == Dead {
				dead = append(dead, o)
			}
		}
		if len(dead) > 0 && g.fitsBudget(now, g.joinMessage()) {
			sort.Slice(dead, func(i, j int) bool { return dead[i].name < dead[j].name })
			sends = append(sends, g.send(now, dead[g.random.IntN(len(dead))], g.joinMessage()))
		}
	}
	if now < g.nextContact {
		return sends
	}
	g.nextContact = now + contactInterval/2 + g.jitter(contactInterval)
	if len(g.currentView().peers) > 0 {
		// With known peers, contacts are only needed after a long network partition.
		g.nextContact = now + contactInterval + g.jitter(12*contactInterval)
	}
	known := map[string]bool{g.self.member.PeerAddress: true}
	for _, o := range g.sortedOwners {
		known[o.member.PeerAddress] = known[o.member.PeerAddress] || o.member.Live()
	}
	var unknown []string
	for address := range g.contactAddresses {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	sort.Strings(unknown)
	g.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	if m := g.joinMessage(); len(unknown) > 0 && g.fitsBudget(now, m) {
		g.budget.spend(now, m.size())
		sends = append(sends, Send{Address: unknown[0], Message: m})
	}
	return sends
}

// joinMessage returns a message with the member record of this instance and its
// digests. The caller holds mu.
func (g *Gossiper) joinMessage() Message {
	m := g.newMessage()
	m.Digests = g.allDigests()
	m.Records = []Record{g.self.records[memberKind].Record}
	return m
}

// SetContactAddresses sets the contact addresses that the platform lists. They replace those of
// earlier calls but not the contacts of the settings.
func (g *Gossiper) SetContactAddresses(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.contactAddresses)
	for _, address := range append(addresses[:min(len(addresses), maxOwners)], g.options.Contacts...) {
		g.contactAddresses[address] = struct{}{}
	}
}

// Leave announces that this instance leaves. Tick still returns the messages that
// announce it; the process can end a second later.
func (g *Gossiper) Leave(now timekeeper.Millis) {
	g.mu.Lock()
	if g.self.member.State != Left {
		r := g.self.records[memberKind].Record
		r.Ver |= int64(Left)
		g.pushes = nil
		if e := g.insert(now, r, ""); e != nil {
			g.pushEverywhere(e)
		}
		g.recordEvent(recorder.InstanceLeft, g.self.name+" leaves")
	}
	g.mu.Unlock()
	g.deliver()
	g.wakeUp()
}
