package gossiper

import (
	"encoding/base64"
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	memberKind   = "member"
	reachKind    = "reach"
	maxNameBytes = 64
)

// entry is a record with what the sender side needs to know about it.
type entry struct {
	Record
	digest   uint64
	size     int    // encoded bytes
	from     string // peer that sent it
	sends    int    // times passed on as news
	sequence uint64 // order of arrival
	spread   bool   // passed on as urgent
}

func (e *entry) update(gone bool) Update {
	return Update{Owner: e.Owner, Kind: e.Kind, Inc: e.Inc, Version: e.Ver, Data: e.Data, Gone: gone}
}

// repaired reports whether digests cover the record.
func (e *entry) repaired() bool { return Class(e.Class) < Load }

func (r Record) newer(other Record) bool {
	return r.Inc > other.Inc || r.Inc == other.Inc && r.Ver > other.Ver
}

// recordOverhead is the length of a record's field names and punctuation on the wire.
const recordOverhead = 64

func newEntry(r Record, from string) *entry {
	inc, version := strconv.FormatInt(r.Inc, 10), strconv.FormatInt(r.Ver, 10)
	return &entry{
		Record: r,
		digest: hash64(r.Owner + "/" + r.Kind + "/" + inc + "/" + version),
		size:   recordOverhead + len(r.Owner) + len(r.Kind) + len(inc) + len(version) + base64.StdEncoding.EncodedLen(len(r.Data)),
		from:   from,
	}
}

func (g *Gossiper) addOwner(name string) *owner {
	o := &owner{name: name, hash: uint32(hash64(name)), records: map[string]*entry{}}
	g.owners[name] = o
	g.byHash[o.hash] = o
	at, _ := slices.BinarySearchFunc(g.list, name, compareName)
	g.list = slices.Insert(g.list, at, o)
	return o
}

func compareName(o *owner, name string) int { return strings.Compare(o.name, name) }

func (g *Gossiper) removeOwner(o *owner) {
	delete(g.owners, o.name)
	if g.byHash[o.hash] == o {
		delete(g.byHash, o.hash)
	}
	if at, found := slices.BinarySearchFunc(g.list, o.name, compareName); found {
		g.list = slices.Delete(g.list, at, at+1)
	}
}

// insert merges a record and returns its entry if it was news. Merging is
// independent of order: the higher incarnation and version holds. The caller holds mu.
func (g *Gossiper) insert(now timekeeper.Millis, r Record, from string) *entry {
	o := g.owners[r.Owner]
	if r.Kind == memberKind {
		return g.insertMember(now, r, from)
	}
	if o == nil || !o.joined() || r.Inc < o.member.Incarnation || r.Inc == o.member.Incarnation && !o.member.Live() {
		return nil
	}
	if known := o.records[r.Kind]; known != nil && !r.newer(known.Record) {
		return nil
	}
	if o.records[r.Kind] == nil && len(o.records) >= maxRecordsPerOwner {
		return nil
	}
	e := g.store(o, r, from)
	if e != nil {
		g.notify(e, false)
	}
	return e
}

// store puts a record in place of the one before. The caller holds mu.
func (g *Gossiper) store(o *owner, r Record, from string) *entry {
	e := newEntry(r, from)
	if g.bytes+e.size > maxStateBytes {
		return nil
	}
	g.drop(o, r.Kind)
	g.sequence++
	e.sequence = g.sequence
	o.records[r.Kind] = e
	g.bytes += e.size
	g.toggle(o, e)
	g.hot[e] = struct{}{}
	return e
}

// drop removes a record. The caller holds mu.
func (g *Gossiper) drop(o *owner, kind string) {
	e := o.records[kind]
	if e == nil {
		return
	}
	g.toggle(o, e)
	g.bytes -= e.size
	delete(o.records, kind)
	delete(g.hot, e)
}

// toggle adds a record to the digests or takes it out. Dead instances are left
// out, because each instance forgets them at another time.
func (g *Gossiper) toggle(o *owner, e *entry) {
	if e.repaired() && o.member.Live() {
		o.digest ^= e.digest
		g.digests[o.member.DataCentre] ^= e.digest
	}
}

// insertMember merges a member record. The caller holds mu.
func (g *Gossiper) insertMember(now timekeeper.Millis, r Record, from string) *entry {
	m, ok := decodeMember(r)
	if !ok {
		return nil
	}
	o := g.owners[r.Owner]
	if o == g.self && from != "" {
		g.refute(now, m, r)
		return nil
	}
	if o == nil {
		if len(g.owners) >= maxOwners {
			return nil
		}
		o = g.addOwner(r.Owner)
	}
	if known := o.records[memberKind]; known != nil && !r.newer(known.Record) {
		return nil
	}
	before := o.member
	g.replace(now, o, m)
	e := g.store(o, r, from)
	if e == nil {
		return nil
	}
	if !before.Live() || before.State != m.State || before.Incarnation != m.Incarnation || before.DataCentre == "" {
		g.notifyMember(m)
	}
	g.supersede(now, m)
	return e
}

// replace sets an owner's member and drops the records of an incarnation that
// ended. The caller holds mu.
func (g *Gossiper) replace(now timekeeper.Millis, o *owner, m Member) {
	ended := o.joined() && o != g.self && (m.Incarnation > o.member.Incarnation || !m.Live())
	for _, kind := range sortedKeys(o.records) {
		e := o.records[kind]
		if kind == memberKind || ended {
			g.drop(o, kind)
		}
		if ended && kind != memberKind && e.Data != nil {
			g.notify(e, true)
		}
	}
	if o.member.State != m.State || o.member.Incarnation != m.Incarnation {
		o.changed, o.probed, o.asked = now, 0, false
		g.view.valid = false
	}
	if m.Incarnation != o.member.Incarnation {
		o.heard = now
	}
	if o.member.PeerAddress != m.PeerAddress || !o.member.Live() {
		g.view.valid = false
	}
	o.member = m
}

// supersede ends older instances at the address of a newer one. The caller holds mu.
func (g *Gossiper) supersede(now timekeeper.Millis, m Member) {
	if m.State != Alive {
		return
	}
	for _, o := range g.list {
		if o != g.self && o.name != m.Name && o.member.Live() && o.member.PeerAddress == m.PeerAddress && o.member.Process < m.Process {
			g.setState(now, o, Dead)
		}
	}
}

// setState publishes what this instance found out about another one. The caller holds mu.
func (g *Gossiper) setState(now timekeeper.Millis, o *owner, s State) {
	e := o.records[memberKind]
	if e == nil || o.member.State >= s {
		return
	}
	r := e.Record
	r.Ver = r.Ver&^(1<<stateBits-1) | int64(s)
	g.insert(now, r, "")
}

// refute answers a claim about this instance: a suspicion by a higher version, a
// death by a higher incarnation under which all records are published again. The
// caller holds mu.
func (g *Gossiper) refute(now timekeeper.Millis, m Member, r Record) {
	self, own := &g.self.member, g.self.records[memberKind].Record
	if !r.newer(own) || self.State == Left {
		return
	}
	if m.State == Suspect && r.Inc == own.Inc {
		own.Ver = (r.Ver>>stateBits + 1) << stateBits
		if e := g.insert(now, own, ""); e != nil {
			// The refutation must overtake the suspicion, which has a head start.
			g.spread(e)
		}
		return
	}
	next := *self
	next.Incarnation = max(int64(now), r.Inc+1)
	var again []Record
	for _, kind := range sortedKeys(g.self.records) {
		again = append(again, g.self.records[kind].Record)
	}
	g.replace(now, g.self, next)
	for _, r := range again {
		r.Inc = next.Incarnation
		if r.Kind == memberKind {
			r.Ver = 0
		}
		if e := g.store(g.self, r, ""); e != nil && (r.Kind == memberKind || Class(r.Class) == Urgent) {
			g.spread(e)
		}
	}
	g.notifyMember(g.self.member)
}
