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

// entry is a record with the state of its dissemination.
type entry struct {
	Record
	digest        uint64
	size          int    // encoded bytes
	receivedFrom  string // peer that sent it; empty for a local change
	transmissions int    // times sent to peers in gossip rounds
	sequence      uint64 // order of insertion
	forwarded     bool   // already pushed on as urgent
}

func (e *entry) update(gone bool) Update {
	return Update{Owner: e.Owner, Kind: e.Kind, Incarnation: e.Inc, Version: e.Ver, Data: e.Data, Removed: gone}
}

// repaired reports whether digests cover the record, so that a lost one is sent again.
func (e *entry) repaired() bool { return Class(e.Class) < Load }

func (r Record) newer(other Record) bool {
	return r.Inc > other.Inc || r.Inc == other.Inc && r.Ver > other.Ver
}

// recordOverhead is the length of a record's field names and punctuation on the wire.
const recordOverhead = 64

func newEntry(r Record, from string) *entry {
	inc, version := strconv.FormatInt(r.Inc, 10), strconv.FormatInt(r.Ver, 10)
	return &entry{
		Record:       r,
		digest:       hash64(r.Owner + "/" + r.Kind + "/" + inc + "/" + version),
		size:         recordOverhead + len(r.Owner) + len(r.Kind) + len(inc) + len(version) + base64.StdEncoding.EncodedLen(len(r.Data)),
		receivedFrom: from,
	}
}

func (g *Gossiper) addOwner(name string) *owner {
	o := &owner{name: name, hash: uint32(hash64(name)), records: map[string]*entry{}}
	g.owners[name] = o
	g.byHash[o.hash] = o
	at, _ := slices.BinarySearchFunc(g.sortedOwners, name, compareName)
	g.sortedOwners = slices.Insert(g.sortedOwners, at, o)
	return o
}

func compareName(o *owner, name string) int { return strings.Compare(o.name, name) }

func (g *Gossiper) removeOwner(o *owner) {
	delete(g.owners, o.name)
	if g.byHash[o.hash] == o {
		delete(g.byHash, o.hash)
	}
	if at, found := slices.BinarySearchFunc(g.sortedOwners, o.name, compareName); found {
		g.sortedOwners = slices.Delete(g.sortedOwners, at, at+1)
	}
}

// insert merges a record and returns its entry, or nil if the record changed
// nothing. Merging does not depend on the order: the higher incarnation and
// version wins. The caller holds mu.
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
	e := g.storeRecord(o, r, from)
	if e != nil {
		g.notify(e, false)
	}
	return e
}

// storeRecord replaces the owner's record of the same kind. It returns nil if the
// state has no room for it. The caller holds mu.
func (g *Gossiper) storeRecord(o *owner, r Record, from string) *entry {
	e := newEntry(r, from)
	if g.bytes+e.size > maxStateBytes {
		return nil
	}
	g.removeRecord(o, r.Kind)
	g.sequence++
	e.sequence = g.sequence
	o.records[r.Kind] = e
	g.bytes += e.size
	g.toggleDigest(o, e)
	g.disseminating[e] = struct{}{}
	return e
}

// removeRecord deletes the owner's record of a kind. The caller holds mu.
func (g *Gossiper) removeRecord(o *owner, kind string) {
	e := o.records[kind]
	if e == nil {
		return
	}
	g.toggleDigest(o, e)
	g.bytes -= e.size
	delete(o.records, kind)
	delete(g.disseminating, e)
}

// toggleDigest adds a record to the digests or removes it. Digests leave out dead
// instances because each instance removes them at a different time.
func (g *Gossiper) toggleDigest(o *owner, e *entry) {
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
	previous := o.member
	g.replaceMember(now, o, m)
	e := g.storeRecord(o, r, from)
	if e == nil {
		return nil
	}
	if !previous.Live() || previous.State != m.State || previous.Incarnation != m.Incarnation || previous.DataCentre == "" {
		g.notifyMember(m)
	}
	g.supersede(now, m)
	return e
}

// replaceMember sets an owner's member and removes the records of an incarnation
// that has ended. The caller holds mu.
func (g *Gossiper) replaceMember(now timekeeper.Millis, o *owner, m Member) {
	obsolete := o.joined() && o != g.self && (m.Incarnation > o.member.Incarnation || !m.Live())
	for _, kind := range sortedKeys(o.records) {
		e := o.records[kind]
		if kind == memberKind || obsolete {
			g.removeRecord(o, kind)
		}
		if obsolete && kind != memberKind && e.Data != nil {
			g.notify(e, true)
		}
	}
	if o.member.State != m.State || o.member.Incarnation != m.Incarnation {
		o.stateChanged, o.unansweredSince, o.indirectlyProbed = now, 0, false
		g.view.valid = false
	}
	if m.Incarnation != o.member.Incarnation {
		o.lastSeen = now
	}
	if o.member.PeerAddress != m.PeerAddress || !o.member.Live() {
		g.view.valid = false
	}
	o.member = m
}

// supersede declares older instances at the address of a newer one dead. The
// caller holds mu.
func (g *Gossiper) supersede(now timekeeper.Millis, m Member) {
	if m.State != Alive {
		return
	}
	for _, o := range g.sortedOwners {
		if o != g.self && o.name != m.Name && o.member.Live() && o.member.PeerAddress == m.PeerAddress && o.member.ProcessIncarnation < m.ProcessIncarnation {
			g.publishState(now, o, Dead)
		}
	}
}

// publishState publishes a worse state of another instance that this one
// detected. The caller holds mu.
func (g *Gossiper) publishState(now timekeeper.Millis, o *owner, s State) {
	e := o.records[memberKind]
	if e == nil || o.member.State >= s {
		return
	}
	r := e.Record
	r.Ver = r.Ver&^(1<<stateBits-1) | int64(s)
	g.insert(now, r, "")
}

// refute counters a newer member record about this instance: a suspicion with a
// higher version, anything else with a higher incarnation under which all records
// are published again. The caller holds mu.
func (g *Gossiper) refute(now timekeeper.Millis, m Member, r Record) {
	self, current := &g.self.member, g.self.records[memberKind].Record
	if !r.newer(current) || self.State == Left {
		return
	}
	if m.State == Suspect && r.Inc == current.Inc {
		current.Ver = (r.Ver>>stateBits + 1) << stateBits
		if e := g.insert(now, current, ""); e != nil {
			// The refutation is pushed because the suspicion is already spreading.
			g.pushLocal(e)
		}
		return
	}
	next := *self
	next.Incarnation = max(int64(now), r.Inc+1)
	var republished []Record
	for _, kind := range sortedKeys(g.self.records) {
		republished = append(republished, g.self.records[kind].Record)
	}
	g.replaceMember(now, g.self, next)
	for _, r := range republished {
		r.Inc = next.Incarnation
		if r.Kind == memberKind {
			r.Ver = 0
		}
		if e := g.storeRecord(g.self, r, ""); e != nil && (r.Kind == memberKind || Class(r.Class) == Urgent) {
			g.pushLocal(e)
		}
	}
	g.notifyMember(g.self.member)
}
