package gossiper

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// directPeers is the largest number of peers in a data centre to which the
	// publisher pushes directly. Pushing to all of a larger one would exceed the
	// budget of a second (57 x 250 bytes), so about sqrt(n) instances each forward
	// to a segment.
	directPeers        = 16
	maxPushes          = 4096
	maxPushAttempts    = 4
	maxProbeRequesters = 8
)

// push is a set of urgent records for one instance, which may forward them to others.
type push struct {
	to       *owner
	passOn   []byte // hashes of the instances to forward to
	entries  []*entry
	size     int
	attempts int
}

// pushEverywhere queues an urgent record of this instance for the local data
// centre and for the relays of the remote ones. The caller holds mu.
func (g *Gossiper) pushEverywhere(e *entry) {
	v := g.currentView()
	for _, dc := range sortedKeys(v.remote) {
		for _, o := range v.relays[dc] {
			if o != g.self && !g.isLocal(o) {
				g.queuePush(push{to: o, entries: []*entry{e}})
			}
		}
	}
	g.pushLocal(e)
}

// pushLocal queues an urgent record for the local data centre. The segments depend
// only on the owner, so that two relays build mostly the same segments.
func (g *Gossiper) pushLocal(e *entry) {
	e.forwarded = true
	peers := g.currentView().peers
	n := len(peers)
	if n == 0 {
		return
	}
	segment := 1
	if n > directPeers {
		segment = int(math.Ceil(math.Sqrt(float64(n))))
	}
	start := int(hash64(e.Owner) % uint64(n))
	for i := 0; i < n; i += segment {
		var members []*owner
		for j := i; j < min(i+segment, n); j++ {
			members = append(members, peers[(start+j)%n])
		}
		// An unresponsive first instance would delay its whole segment.
		sort.SliceStable(members, func(a, b int) bool { return !members[a].unresponsive() && members[b].unresponsive() })
		var others []byte
		for _, o := range members[1:] {
			others = binary.BigEndian.AppendUint32(others, o.hash)
		}
		g.queuePush(push{to: members[0], passOn: others, entries: []*entry{e}})
	}
}

// unresponsive reports whether an instance is not alive or has an unanswered probe.
func (o *owner) unresponsive() bool { return o.member.State != Alive || o.unansweredSince != 0 }

// queuePush queues a push, merged with a queued one that has the same recipients.
// The caller holds mu.
func (g *Gossiper) queuePush(p push) {
	if p.to == g.self || len(p.entries) == 0 {
		return
	}
	for _, e := range p.entries {
		p.size += e.size
	}
	for _, waiting := range g.pushes {
		if waiting.to == p.to && string(waiting.passOn) == string(p.passOn) && waiting.size+p.size <= maxMessageBytes {
			waiting.entries = append(waiting.entries, p.entries...)
			waiting.size += p.size
			return
		}
	}
	if len(g.pushes) >= maxPushes {
		// Digests detect the loss of the records that are dropped here.
		g.pushes = g.pushes[1:]
	}
	g.pushes = append(g.pushes, &p)
	g.wakeUp()
}

// duePushes returns the outbox and the queued pushes that the budget allows. The
// caller holds mu.
func (g *Gossiper) duePushes(now timekeeper.Millis) []Send {
	sends := g.outbox
	g.outbox = nil
	for len(g.pushes) > 0 {
		p := g.pushes[0]
		m := g.newMessage()
		m.PassOn = p.passOn
		for _, e := range p.entries {
			m.Records = append(m.Records, e.Record)
		}
		if !g.fitsBudget(now, m) {
			break
		}
		g.pushes = g.pushes[1:]
		s := g.send(now, p.to, m)
		s.push = p
		sends = append(sends, s)
	}
	return sends
}

// reroutePush sends a failed push to the next instance of its segment, or to
// another instance of the same remote data centre. The caller holds mu.
func (g *Gossiper) reroutePush(s Send) {
	p := *s.push
	p.size = 0
	p.attempts++
	if p.attempts >= maxPushAttempts {
		return
	}
	if others := g.currentView().remote[p.to.member.DataCentre]; len(others) > 0 {
		p.to = others[g.random.IntN(len(others))]
		g.queuePush(p)
		return
	}
	for len(p.passOn) >= 4 {
		next := g.byHash[binary.BigEndian.Uint32(p.passOn)]
		p.passOn = p.passOn[4:]
		if next != nil && next.member.Live() {
			p.to = next
			g.queuePush(p)
			return
		}
	}
}

// forwardUrgent forwards urgent records: those from a remote data centre to the
// local one, those with a segment to that segment. The caller holds mu.
func (g *Gossiper) forwardUrgent(m Message, changed []*entry) {
	sender := g.owners[m.From]
	if sender != nil && sender.joined() && !g.isLocal(sender) {
		for _, e := range changed {
			g.pushLocal(e)
		}
		return
	}
	if len(m.PassOn) == 0 {
		return
	}
	var forward []*entry
	for _, r := range m.Records {
		o := g.owners[r.Owner]
		if o == nil {
			continue
		}
		if e := o.records[r.Kind]; e != nil && e.Inc == r.Inc && e.Ver == r.Ver && !e.forwarded {
			e.forwarded = true
			forward = append(forward, e)
		}
	}
	for i := 0; i+4 <= len(m.PassOn); i += 4 {
		if o := g.byHash[binary.BigEndian.Uint32(m.PassOn[i:])]; o != nil && o.member.Live() {
			g.queuePush(push{to: o, entries: forward})
		}
	}
}

// probeOnBehalf probes an instance for another one that got no answer from it. The
// caller holds mu.
func (g *Gossiper) probeOnBehalf(now timekeeper.Millis, name, requester string) {
	o := g.owners[name]
	if o == nil || o == g.self || !o.member.Live() || len(o.probeRequesters) >= maxProbeRequesters {
		return
	}
	if !g.fitsBudget(now, g.newMessage()) {
		return
	}
	o.probeRequesters = append(o.probeRequesters, requester)
	// This is not tracked as a probe of this instance: if it requested further
	// indirect probes, a paused instance would be flooded with probes.
	g.outbox = append(g.outbox, g.send(now, o, g.newMessage()))
	g.wakeUp()
}

// reportProbeAnswer reports to the requesters of an indirect probe that the
// instance answered. The caller holds mu.
func (g *Gossiper) reportProbeAnswer(now timekeeper.Millis, name string) []Send {
	o := g.owners[name]
	if o == nil {
		return nil
	}
	var sends []Send
	for _, requester := range o.probeRequesters {
		if a := g.owners[requester]; a != nil && a.joined() {
			m := g.newMessage()
			m.Heard = name
			if !g.fitsBudget(now, m) {
				break
			}
			sends = append(sends, g.send(now, a, m))
		}
	}
	o.probeRequesters = nil
	return sends
}
