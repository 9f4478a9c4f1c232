package gossiper

import (
	"slices"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// TickInterval is the time between calls of Tick.
const TickInterval = 100 * timekeeper.Millisecond

// pauseLimit is the gap between ticks that counts as a pause of this process:
// silence during it says nothing about others.
const pauseLimit = 5 * TickInterval

const (
	digestEvery  = 2 * timekeeper.Second
	contactEvery = 5 * timekeeper.Second
	deadEvery    = 5 * timekeeper.Second
	maxReprobes  = 2
	indirect     = 2
)

// Send is a message for another instance. Its outcome goes to Answered or Failed.
type Send struct {
	Address string
	Message Message

	to   string // name, if known
	link string // other data centre of a relay exchange
	upTo uint64 // last record sequence that the exchange covers
	push *push
	// follows counts the exchanges that led to this one.
	follows int
}

// Tick returns the messages that are due at now. It is called every TickInterval
// and after Wake.
func (g *Gossiper) Tick(now timekeeper.Millis) []Send {
	defer g.deliver()
	g.mu.Lock()
	defer g.mu.Unlock()
	if gap := now - g.lastTick; gap > pauseLimit {
		g.forgive(gap)
		g.resumed = now
	}
	g.lastTick = now
	if g.self.member.State == Left {
		return g.flush(now)
	}
	if now >= g.nextExpire {
		g.nextExpire = now + 2*TickInterval
		g.expire(now)
	}
	sends := g.flush(now)
	sends = append(sends, g.suspicions(now)...)
	if now >= g.nextRound {
		g.nextRound = now + g.options.Interval
		sends = append(sends, g.round(now)...)
	}
	sends = append(sends, g.linkExchanges(now)...)
	sends = append(sends, g.contact(now)...)
	g.watchReach(now)
	return sends
}

// forgive moves the deadlines of others by the time in which this process stood still.
func (g *Gossiper) forgive(gap timekeeper.Millis) {
	for _, o := range g.list {
		o.heard += gap
		if o.member.State == Suspect {
			o.changed += gap
		}
		o.probed, o.asked = 0, false
	}
	for _, l := range g.links {
		l.heard += gap
	}
	g.lastPeer += gap
	g.lastPlatform += gap
}

// expire turns suspects into dead instances and forgets those dead for long. The caller holds mu.
func (g *Gossiper) expire(now timekeeper.Millis) {
	for _, o := range slices.Clone(g.list) {
		if o == g.self || !o.joined() {
			continue
		}
		switch age := now - o.changed; {
		case o.member.State == Suspect && age >= g.options.DeadAfter-g.options.SuspectAfter && g.own(o):
			g.setState(now, o, Dead)
		case !o.member.Live() && age >= g.options.Forget:
			g.drop(o, memberKind)
			g.removeOwner(o)
		}
	}
}

// own reports whether an instance is in the own data centre: only its own data
// centre judges an instance.
func (g *Gossiper) own(o *owner) bool { return o.member.DataCentre == g.self.member.DataCentre }

// suspicions asks others to probe silent instances, then suspects them. The caller holds mu.
func (g *Gossiper) suspicions(now timekeeper.Millis) []Send {
	var sends []Send
	peers := g.refresh().peers
	// An instance that hears nobody is itself the likely cause; of two instances
	// each must judge the other.
	alone := len(peers) > 1 && now-g.lastPeer >= g.options.SuspectAfter
	for _, o := range peers {
		if o.probed == 0 || o.member.State != Alive {
			continue
		}
		waited := now - o.probed
		if waited >= g.options.Interval && !o.asked {
			o.asked = true
			for range min(indirect, len(peers)-1) {
				m := g.message()
				m.Probe = o.name
				if helper := peers[g.random.IntN(len(peers))]; helper != o && g.affordable(now, m) {
					sends = append(sends, g.send(now, helper, m))
				}
			}
		}
		if waited >= g.options.SuspectAfter && !alone {
			g.setState(now, o, Suspect)
		}
	}
	return sends
}

// round probes the successor on the ring of the data centre, one random peer and
// those that did not answer, and carries news with each probe. The caller holds mu.
func (g *Gossiper) round(now timekeeper.Millis) []Send {
	peers := g.refresh().peers
	if len(peers) == 0 {
		return nil
	}
	next := sort.Search(len(peers), func(i int) bool { return peers[i].hash > g.self.hash }) % len(peers)
	chosen := []*owner{peers[next]}
	if other := peers[g.random.IntN(len(peers))]; other != chosen[0] && !other.silent() {
		chosen = append(chosen, other)
	}
	for _, o := range peers {
		// Once before the suspicion is enough: every probe waits for a paused instance.
		late := o.probed != 0 && now-o.probed >= 2*g.options.Interval && now-o.probed < 3*g.options.Interval
		if late && o.member.State == Alive && len(chosen) < 2+maxReprobes && o != chosen[0] && o != chosen[len(chosen)-1] {
			chosen = append(chosen, o)
		}
	}
	sends := make([]Send, 0, len(chosen))
	for i, o := range chosen {
		m := g.message()
		if i == len(chosen)-1 && (now >= g.nextDigest || g.behind) {
			g.nextDigest, g.behind = now+digestEvery+g.jitter(g.options.Interval), false
			m.Digests = g.allDigests()
		}
		g.addNews(now, &m, o)
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

// probe sends a message whose missing answer makes the instance a suspect. The caller holds mu.
func (g *Gossiper) probe(now timekeeper.Millis, o *owner, m Message) Send {
	if o.probed == 0 {
		o.probed = now
	}
	return g.send(now, o, m)
}

func (g *Gossiper) send(now timekeeper.Millis, o *owner, m Message) Send {
	g.budget.spend(now, m.size())
	return Send{Address: o.member.PeerAddress, Message: m, to: o.name}
}

func (g *Gossiper) message() Message {
	return Message{From: g.self.name, Inc: g.self.member.Incarnation}
}

// contact tries first contacts and, now and then, an instance that counts as
// dead: after a cut each side must find the other again. The caller holds mu.
func (g *Gossiper) contact(now timekeeper.Millis) []Send {
	var sends []Send
	if now >= g.nextDead {
		g.nextDead = now + deadEvery + g.jitter(deadEvery)
		var dead []*owner
		for _, o := range g.list {
			if o.member.State == Dead {
				dead = append(dead, o)
			}
		}
		if len(dead) > 0 && g.affordable(now, g.greeting()) {
			sort.Slice(dead, func(i, j int) bool { return dead[i].name < dead[j].name })
			sends = append(sends, g.send(now, dead[g.random.IntN(len(dead))], g.greeting()))
		}
	}
	if now < g.nextContact {
		return sends
	}
	g.nextContact = now + contactEvery/2 + g.jitter(contactEvery)
	if len(g.refresh().peers) > 0 {
		// Contacts that the others know too are only needed after a long cut.
		g.nextContact = now + contactEvery + g.jitter(12*contactEvery)
	}
	known := map[string]bool{g.self.member.PeerAddress: true}
	for _, o := range g.list {
		known[o.member.PeerAddress] = known[o.member.PeerAddress] || o.member.Live()
	}
	var unknown []string
	for address := range g.hints {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	sort.Strings(unknown)
	g.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	if m := g.greeting(); len(unknown) > 0 && g.affordable(now, m) {
		g.budget.spend(now, m.size())
		sends = append(sends, Send{Address: unknown[0], Message: m})
	}
	return sends
}

// greeting introduces this instance and compares states. The caller holds mu.
func (g *Gossiper) greeting() Message {
	m := g.message()
	m.Digests = g.allDigests()
	m.Records = []Record{g.self.records[memberKind].Record}
	return m
}

// Hint adds peer addresses for first contacts, as the platform lists them. The
// list replaces earlier hints but not the contacts of the settings.
func (g *Gossiper) Hint(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.hints)
	for _, address := range append(addresses[:min(len(addresses), maxOwners)], g.options.Contacts...) {
		g.hints[address] = struct{}{}
	}
}

// Leave announces that this instance leaves. Tick still returns the messages that
// spread it; the instance may end a second later.
func (g *Gossiper) Leave(now timekeeper.Millis) {
	g.mu.Lock()
	if g.self.member.State != Left {
		r := g.self.records[memberKind].Record
		r.Ver |= int64(Left)
		g.pushes = nil
		if e := g.insert(now, r, ""); e != nil {
			g.pushEverywhere(e)
		}
		g.event(recorder.InstanceLeft, g.self.name+" leaves")
	}
	g.mu.Unlock()
	g.deliver()
	g.wakeUp()
}
