package gossiper

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Bounds of a received message.
const (
	maxRecords = 1024
	maxPacked  = 8 * maxOwners
	// maxFollows bounds the messages that follow from one exchange: the first sends
	// and asks for what differs, the second sends what turned out newer.
	maxFollows = 2
)

// Check reports whether a received message is well formed.
func (m Message) Check() error {
	if m.From == "" || len(m.From) > maxNameBytes || m.Inc <= 0 {
		return errors.Wrap(ErrInvalidMessage, "sender")
	}
	if len(m.Records) > maxRecords || len(m.Versions) > maxPacked || len(m.Want) > maxPacked || len(m.PassOn) > maxPacked || len(m.Digests) > maxNameBytes {
		return errors.Wrap(ErrInvalidMessage, "too long")
	}
	if len(m.Versions)%8 != 0 || len(m.Want)%4 != 0 || len(m.PassOn)%4 != 0 {
		return errors.Wrap(ErrInvalidMessage, "packed list")
	}
	for _, d := range m.Digests {
		if len(d) != 8 {
			return errors.Wrap(ErrInvalidMessage, "digest")
		}
	}
	for _, r := range m.Records {
		if err := r.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check reports whether a received record is well formed.
func (r Record) Check() error {
	if r.Owner == "" || len(r.Owner) > maxNameBytes || r.Kind == "" || len(r.Kind) > maxNameBytes ||
		r.Inc <= 0 || r.Ver < 0 || r.Class < int(Urgent) || r.Class > int(Wide) || len(r.Data) > MaxPayloadBytes {
		return errors.Wrapf(ErrInvalidMessage, "record %s of %s", r.Kind, r.Owner)
	}
	return nil
}

// Receive merges a message and returns the answer.
func (g *Gossiper) Receive(now timekeeper.Millis, m Message) (Message, error) {
	if err := m.Check(); err != nil {
		return Message{}, err
	}
	defer g.deliver()
	g.mu.Lock()
	defer g.mu.Unlock()
	answer := g.message()
	if known := g.owners[m.From]; known == nil || !known.joined() {
		// A newcomer gets a few peers and compares its state with them: a contact
		// that sent everything could serve one newcomer a second.
		g.introduce(&answer, m)
		m.Digests = nil
	}
	resumed := now-g.lastTick > pauseLimit || now < g.resumed+g.options.Interval
	if resumed {
		// What waited during a pause is only acknowledged: the budget is for the
		// refutation of what the others took the pause for.
		m.Digests, m.VersionsOf, m.Want = nil, "", nil
	}
	g.merge(now, m, &answer)
	if sender := g.owners[m.From]; sender == nil || !sender.joined() {
		answer.Want = binary.BigEndian.AppendUint32(answer.Want, uint32(hash64(m.From)))
	} else if !resumed {
		g.addNews(now, &answer, sender)
	}
	if g.options.fullState {
		answer.Records = g.everything()
	}
	if m.Probe != "" {
		g.probeFor(now, m.Probe, m.From)
	}
	free := g.budget.free(now) - g.options.BytesPerSecond/refusalShare
	if answer.size() > free {
		answer = g.message()
	}
	if o := g.owners[m.From]; answer.size() > free && (o == nil || !g.own(o)) {
		// Peers of the data centre would take a refusal for silence.
		g.budget.spend(now, messageOverhead)
		return Message{}, ErrBudget
	}
	g.budget.spend(now, answer.size())
	return answer, nil
}

const introductions = 4

// introduce adds a few live members of a newcomer's data centre. The caller holds mu.
func (g *Gossiper) introduce(answer *Message, m Message) {
	var dc string
	for _, r := range m.Records {
		if member, ok := decodeMember(r); ok && r.Kind == memberKind && r.Owner == m.From {
			dc = member.DataCentre
		}
	}
	list := g.refresh().others[dc]
	if dc == g.self.member.DataCentre {
		list = append([]*owner{g.self}, g.view.peers...)
	}
	for _, i := range g.random.Perm(len(list))[:min(introductions, len(list))] {
		answer.Records = append(answer.Records, list[i].records[memberKind].Record)
	}
	// The contact itself may be in another data centre.
	answer.Records = append(answer.Records, g.self.records[memberKind].Record)
}

// Answered merges the answer to a message and returns messages that follow from it.
func (g *Gossiper) Answered(now timekeeper.Millis, s Send, answer Message) []Send {
	if answer.Check() != nil {
		return g.Failed(now, s)
	}
	defer g.deliver()
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.links[s.link]; l != nil && s.link != "" {
		l.sent = max(l.sent, s.upTo)
	}
	next := g.message()
	g.merge(now, answer, &next)
	var sends []Send
	if o := g.owners[answer.From]; o != nil && s.follows < maxFollows && (next.Records != nil || next.Want != nil) && g.affordable(now, next) {
		follow := g.send(now, o, next)
		follow.follows = s.follows + 1
		sends = append(sends, follow)
	}
	return append(sends, g.vouch(now, answer.From)...)
}

// Failed notes that no answer came to a message.
func (g *Gossiper) Failed(now timekeeper.Millis, s Send) []Send {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.links[s.link]; l != nil && s.link != "" {
		l.failures++
	}
	if s.push != nil {
		g.passOver(s)
	}
	return g.flush(now)
}

// merge takes in everything of a message and puts what the sender lacks into
// reply. The caller holds mu.
func (g *Gossiper) merge(now timekeeper.Millis, m Message, reply *Message) {
	var urgent []*entry
	for _, r := range m.Records {
		if e := g.insert(now, r, m.From); e != nil {
			if Class(e.Class) == Urgent {
				urgent = append(urgent, e)
			}
		} else {
			g.correct(now, r, reply)
		}
	}
	g.alive(now, m.From, m.Inc)
	if o := g.owners[m.From]; o != nil && o.joined() && (o.member.State == Suspect || o.member.State == Dead) && o.member.Incarnation == m.Inc {
		// The sender refutes only what it knows of.
		reply.Records = append(reply.Records, o.records[memberKind].Record)
	}
	if m.Heard != "" {
		if o := g.owners[m.Heard]; o != nil {
			g.alive(now, m.Heard, o.member.Incarnation)
		}
	}
	g.passOn(m, urgent)
	g.compareDigests(now, m, reply)
	g.compareVersions(now, m, reply)
	for i := 0; i+4 <= len(m.Want); i += 4 {
		g.addOwnerRecords(now, reply, g.byHash[binary.BigEndian.Uint32(m.Want[i:])])
	}
}

// correct adds the newer version of a record that the sender has, if there is room. The caller holds mu.
func (g *Gossiper) correct(now timekeeper.Millis, r Record, reply *Message) {
	o := g.owners[r.Owner]
	if o == nil || o.records[r.Kind] == nil {
		return
	}
	if e := o.records[r.Kind]; e.repaired() && e.newer(r) && reply.size()+e.size <= g.room(now, Normal) {
		reply.Records = append(reply.Records, e.Record)
	}
}

// alive notes a sign of life of an instance. The caller holds mu.
func (g *Gossiper) alive(now timekeeper.Millis, name string, incarnation int64) {
	o := g.owners[name]
	if o == nil || !o.joined() || o == g.self || incarnation < o.member.Incarnation {
		return
	}
	o.heard, o.probed, o.asked = now, 0, false
	if g.own(o) {
		g.lastPeer = now
		return
	}
	g.linkTo(now, o.member.DataCentre).hear(now)
}

// allDigests packs the digests of all data centres. The caller holds mu.
func (g *Gossiper) allDigests() MessageDigests {
	all := MessageDigests{}
	for dc, d := range g.digests {
		all[dc] = binary.BigEndian.AppendUint64(nil, d)
	}
	return all
}

// compareDigests answers differing digests with the versions of one data centre. The caller holds mu.
func (g *Gossiper) compareDigests(now timekeeper.Millis, m Message, reply *Message) {
	if m.Digests == nil {
		return
	}
	var differing []string
	for dc, d := range g.digests {
		if theirs, ok := m.Digests[dc]; !ok || binary.BigEndian.Uint64(theirs) != d {
			differing = append(differing, dc)
		}
	}
	for dc := range m.Digests {
		if _, ok := g.digests[dc]; !ok {
			differing = append(differing, dc)
		}
	}
	if len(differing) == 0 {
		return
	}
	sort.Strings(differing)
	reply.VersionsOf = differing[g.random.IntN(len(differing))]
	if own := g.self.member.DataCentre; slices.Contains(differing, own) && g.random.IntN(2) == 0 {
		reply.VersionsOf = own
	}
	reply.Versions = []byte{}
	var living []*owner
	for _, o := range g.list {
		if o.joined() && o.member.Live() && o.member.DataCentre == reply.VersionsOf {
			living = append(living, o)
		}
	}
	if g.room(now, Normal) < 11*len(living) {
		reply.VersionsOf, reply.Versions = "", nil
		return
	}
	for _, o := range living {
		reply.Versions = binary.BigEndian.AppendUint32(reply.Versions, o.hash)
		reply.Versions = binary.BigEndian.AppendUint32(reply.Versions, uint32(o.digest))
	}
}

// compareVersions sends and asks for the records of owners that differ. The caller holds mu.
func (g *Gossiper) compareVersions(now timekeeper.Millis, m Message, reply *Message) {
	if m.VersionsOf == "" {
		return
	}
	g.behind = true
	theirs := map[uint32]uint32{}
	for i := 0; i+8 <= len(m.Versions); i += 8 {
		theirs[binary.BigEndian.Uint32(m.Versions[i:])] = binary.BigEndian.Uint32(m.Versions[i+4:])
	}
	var differing []*owner
	for _, o := range g.list {
		if !o.joined() || o.member.DataCentre != m.VersionsOf {
			continue
		}
		digest, ok := theirs[o.hash]
		if ok && digest == uint32(o.digest) && o.member.Live() || !ok && !o.member.Live() {
			delete(theirs, o.hash)
			continue
		}
		differing = append(differing, o)
	}
	sort.Slice(differing, func(i, j int) bool { return differing[i].name < differing[j].name })
	g.random.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	wanted := make([]uint32, 0, len(theirs))
	for hash := range theirs {
		wanted = append(wanted, hash)
	}
	sort.Slice(wanted, func(i, j int) bool { return wanted[i] < wanted[j] })
	// Several peers are asked at about one time and each sends only what has room.
	g.random.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	for _, hash := range wanted {
		reply.Want = binary.BigEndian.AppendUint32(reply.Want, hash)
	}
	for _, o := range differing {
		g.addOwnerRecords(now, reply, o)
	}
}

// addOwnerRecords adds the repaired records of an owner while there is room. The caller holds mu.
func (g *Gossiper) addOwnerRecords(now timekeeper.Millis, m *Message, o *owner) {
	if o == nil || !o.joined() {
		return
	}
	kinds := make([]string, 0, len(o.records))
	for kind := range o.records {
		kinds = append(kinds, kind)
	}
	// Without the member record the receiver cannot use the others.
	sort.Slice(kinds, func(i, j int) bool {
		return kinds[i] == memberKind && kinds[j] != memberKind || kinds[j] != memberKind && kinds[i] < kinds[j]
	})
	for _, kind := range kinds {
		e := o.records[kind]
		if e.repaired() && m.size()+e.size <= g.room(now, Normal) {
			m.Records = append(m.Records, e.Record)
		}
	}
}

// addNews adds records that few have been told yet, in order of class. The caller holds mu.
func (g *Gossiper) addNews(now timekeeper.Millis, m *Message, to *owner) {
	if g.options.fullState {
		m.Records = g.everything()
		return
	}
	if !g.own(to) {
		return
	}
	news := make([]*entry, 0, len(g.hot))
	for e := range g.hot {
		if e.from != to.name && e.Owner != to.name {
			news = append(news, e)
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].before(news[j]) })
	limit := bits.Len(uint(len(g.refresh().peers)+1))/2 + 2
	used := m.size()
	for _, e := range news {
		if used+e.size > g.room(now, Class(e.Class)) {
			if Class(e.Class) >= Load {
				continue
			}
			break
		}
		m.Records = append(m.Records, e.Record)
		used += e.size
		e.sends++
		if e.sends >= limit || !e.repaired() && e.sends >= loadSends {
			delete(g.hot, e)
		}
	}
}

// loadSends is how often an instance passes a load record on. Three reach about
// 94 in 100 instances; the next version makes up for the rest.
const loadSends = 3

// before orders news: by class with membership before load, then by how often
// they were sent, the newest first.
func (e *entry) before(f *entry) bool {
	if e.Class != f.Class {
		return e.Class < f.Class
	}
	if e.sends != f.sends {
		return e.sends < f.sends
	}
	return e.sequence > f.sequence
}

// everything returns all records. The caller holds mu.
func (g *Gossiper) everything() []Record {
	var all []Record
	for _, o := range g.list {
		for _, kind := range sortedKeys(o.records) {
			all = append(all, o.records[kind].Record)
		}
	}
	return all
}
