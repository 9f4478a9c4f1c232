package gossiper

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// directPeers is the largest data centre in which the publisher pushes to every
	// instance itself. Above it, pushing to all would use more than a second's
	// budget (57 x 250 bytes), so each of about sqrt(n) instances passes on to a segment.
	directPeers  = 16
	maxPushes    = 4096
	maxPushTries = 4
	maxAskers    = 8
)

// push is urgent news for one instance, which may pass it on to others.
type push struct {
	to      *owner
	passOn  []byte // owner hashes
	entries []*entry
	size    int
	tries   int
}

// pushEverywhere queues an own urgent record for the data centre and for the
// relays of the others. The caller holds mu.
func (g *Gossiper) pushEverywhere(e *entry) {
	v := g.refresh()
	for _, dc := range sortedKeys(v.others) {
		for _, o := range v.relays[dc] {
			if o != g.self && !g.own(o) {
				g.queue(push{to: o, entries: []*entry{e}})
			}
		}
	}
	g.spread(e)
}

// spread queues an urgent record for the own data centre. The segments depend
// only on the owner, so that the trees of two relays mostly coincide.
func (g *Gossiper) spread(e *entry) {
	e.spread = true
	peers := g.refresh().peers
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
		// A silent head would hold its whole segment up.
		sort.SliceStable(members, func(a, b int) bool { return !members[a].silent() && members[b].silent() })
		var rest []byte
		for _, o := range members[1:] {
			rest = binary.BigEndian.AppendUint32(rest, o.hash)
		}
		g.queue(push{to: members[0], passOn: rest, entries: []*entry{e}})
	}
}

// silent reports whether an instance is suspected or owes an answer.
func (o *owner) silent() bool { return o.member.State != Alive || o.probed != 0 }

// queue adds a push, joined with a waiting one along the same way. The caller holds mu.
func (g *Gossiper) queue(p push) {
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
		// The exchange of digests repairs what is dropped here.
		g.pushes = g.pushes[1:]
	}
	g.pushes = append(g.pushes, &p)
	g.wakeUp()
}

// flush returns the queued pushes that the budget allows. The caller holds mu.
func (g *Gossiper) flush(now timekeeper.Millis) []Send {
	sends := g.outbox
	g.outbox = nil
	for len(g.pushes) > 0 {
		p := g.pushes[0]
		m := g.message()
		m.PassOn = p.passOn
		for _, e := range p.entries {
			m.Records = append(m.Records, e.Record)
		}
		if !g.affordable(now, m) {
			break
		}
		g.pushes = g.pushes[1:]
		s := g.send(now, p.to, m)
		s.push = p
		sends = append(sends, s)
	}
	return sends
}

// passOver gives the segment of a push that failed to the next instance of it;
// a push to another data centre goes to another instance there. The caller holds mu.
func (g *Gossiper) passOver(s Send) {
	p := *s.push
	p.size = 0
	p.tries++
	if p.tries >= maxPushTries {
		return
	}
	if others := g.refresh().others[p.to.member.DataCentre]; len(others) > 0 {
		p.to = others[g.random.IntN(len(others))]
		g.queue(p)
		return
	}
	for len(p.passOn) >= 4 {
		next := g.byHash[binary.BigEndian.Uint32(p.passOn)]
		p.passOn = p.passOn[4:]
		if next != nil && next.member.Live() {
			p.to = next
			g.queue(p)
			return
		}
	}
}

// passOn spreads urgent records further: those from another data centre to the
// own one, those with a segment to the segment. The caller holds mu.
func (g *Gossiper) passOn(m Message, news []*entry) {
	sender := g.owners[m.From]
	if sender != nil && sender.joined() && !g.own(sender) {
		for _, e := range news {
			g.spread(e)
		}
		return
	}
	if len(m.PassOn) == 0 {
		return
	}
	var entries []*entry
	for _, r := range m.Records {
		o := g.owners[r.Owner]
		if o == nil {
			continue
		}
		if e := o.records[r.Kind]; e != nil && e.Inc == r.Inc && e.Ver == r.Ver && !e.spread {
			e.spread = true
			entries = append(entries, e)
		}
	}
	for i := 0; i+4 <= len(m.PassOn); i += 4 {
		if o := g.byHash[binary.BigEndian.Uint32(m.PassOn[i:])]; o != nil && o.member.Live() {
			g.queue(push{to: o, entries: entries})
		}
	}
}

// probeFor probes an instance because another one does not hear it. The caller holds mu.
func (g *Gossiper) probeFor(now timekeeper.Millis, name, asker string) {
	o := g.owners[name]
	if o == nil || o == g.self || !o.member.Live() || len(o.askers) >= maxAskers {
		return
	}
	if !g.affordable(now, g.message()) {
		return
	}
	o.askers = append(o.askers, asker)
	// Not a probe of this instance's own: helpers that asked further helpers would
	// bury a paused instance under probes.
	g.outbox = append(g.outbox, g.send(now, o, g.message()))
	g.wakeUp()
}

// vouch tells those that asked that an instance answered. The caller holds mu.
func (g *Gossiper) vouch(now timekeeper.Millis, name string) []Send {
	o := g.owners[name]
	if o == nil {
		return nil
	}
	var sends []Send
	for _, asker := range o.askers {
		if a := g.owners[asker]; a != nil && a.joined() {
			m := g.message()
			m.Heard = name
			if !g.affordable(now, m) {
				break
			}
			sends = append(sends, g.send(now, a, m))
		}
	}
	o.askers = nil
	return sends
}
