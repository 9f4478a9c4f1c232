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
	maxRecords     = 1024
	maxPackedBytes = 8 * maxOwners
	// maxFollowUps bounds the messages that follow one exchange: the first sends
	// and requests the records that differ, the second sends those that proved newer.
	maxFollowUps = 2
)

// Check returns an error if a received message is malformed.
func (m Message) Check() error {
	if m.From == "" || len(m.From) > maxNameBytes || m.Inc <= 0 {
		return errors.Wrap(ErrInvalidMessage, "sender")
	}
	if len(m.Records) > maxRecords || len(m.Versions) > maxPackedBytes || len(m.Want) > maxPackedBytes || len(m.PassOn) > maxPackedBytes || len(m.Digests) > maxNameBytes {
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

// Check returns an error if a received record is malformed.
func (r Record) Check() error {
	if r.Owner == "" || len(r.Owner) > maxNameBytes || r.Kind == "" || len(r.Kind) > maxNameBytes ||
		r.Inc <= 0 || r.Ver < 0 || r.Class < int(Urgent) || r.Class > int(Wide) || len(r.Data) > MaxPayloadBytes {
		return errors.Wrapf(ErrInvalidMessage, "record %s of %s", r.Kind, r.Owner)
	}
	return nil
}

// Receive merges a message and returns the answer to it.
func (g *Gossiper) Receive(now timekeeper.Millis, m Message) (Message, error) {
	if err := m.Check(); err != nil {
		return Message{}, err
	}
	defer g.deliver()
	g.mu.Lock()
	defer g.mu.Unlock()
	answer := g.newMessage()
	if known := g.owners[m.From]; known == nil || !known.joined() {
		// A joining instance gets a few peers and compares its state with them: the
		// budget would let a contact send the whole state to only one instance a second.
		g.addIntroductions(&answer, m)
		m.Digests = nil
	}
	resumed := now-g.lastTick > pauseLimit || now < g.resumedAt+g.options.Interval
	if resumed {
		// Messages that queued up during a pause of this process are only
		// acknowledged. The budget is needed to refute the suspicion or death that
		// other instances derived from the pause.
		m.Digests, m.VersionsOf, m.Want = nil, "", nil
	}
	g.merge(now, m, &answer)
	if sender := g.owners[m.From]; sender == nil || !sender.joined() {
		answer.Want = binary.BigEndian.AppendUint32(answer.Want, uint32(hash64(m.From)))
	} else if !resumed {
		g.addChanges(now, &answer, sender)
	}
	if g.options.fullState {
		answer.Records = g.allRecords()
	}
	if m.Probe != "" {
		g.probeOnBehalf(now, m.Probe, m.From)
	}
	free := g.budget.free(now) - g.options.BytesPerSecond/refusalDivisor
	if answer.size() > free {
		answer = g.newMessage()
	}
	if o := g.owners[m.From]; answer.size() > free && (o == nil || !g.isLocal(o)) {
		// Peers of the local data centre would treat a refusal as a missing answer.
		g.budget.spend(now, messageOverhead)
		return Message{}, ErrBudgetExhausted
	}
	g.budget.spend(now, answer.size())
	return answer, nil
}

const maxIntroductions = 4

// addIntroductions adds a few live members of a joining instance's data centre.
// The caller holds mu.
func (g *Gossiper) addIntroductions(answer *Message, m Message) {
	var dc string
	for _, r := range m.Records {
		if member, ok := decodeMember(r); ok && r.Kind == memberKind && r.Owner == m.From {
			dc = member.DataCentre
		}
	}
	list := g.currentView().remote[dc]
	if dc == g.self.member.DataCentre {
		list = append([]*owner{g.self}, g.view.peers...)
	}
	for _, i := range g.random.Perm(len(list))[:min(maxIntroductions, len(list))] {
		answer.Records = append(answer.Records, list[i].records[memberKind].Record)
	}
	// This instance may be in another data centre than the joining one.
	answer.Records = append(answer.Records, g.self.records[memberKind].Record)
}

// HandleAnswer merges the answer to a message and returns the messages to send next.
func (g *Gossiper) HandleAnswer(now timekeeper.Millis, s Send, answer Message) []Send {
	if answer.Check() != nil {
		return g.HandleFailure(now, s)
	}
	defer g.deliver()
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.links[s.linkDataCentre]; l != nil && s.linkDataCentre != "" {
		l.acknowledged = max(l.acknowledged, s.lastSequence)
	}
	next := g.newMessage()
	g.merge(now, answer, &next)
	var sends []Send
	if o := g.owners[answer.From]; o != nil && s.followUps < maxFollowUps && (next.Records != nil || next.Want != nil) && g.fitsBudget(now, next) {
		follow := g.send(now, o, next)
		follow.followUps = s.followUps + 1
		sends = append(sends, follow)
	}
	return append(sends, g.reportProbeAnswer(now, answer.From)...)
}

// HandleFailure handles a message that got no answer and returns the messages to
// send next.
func (g *Gossiper) HandleFailure(now timekeeper.Millis, s Send) []Send {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.links[s.linkDataCentre]; l != nil && s.linkDataCentre != "" {
		l.failures++
	}
	if s.push != nil {
		g.reroutePush(s)
	}
	return g.duePushes(now)
}

// merge applies a message and adds what the sender lacks to reply. The caller
// holds mu.
func (g *Gossiper) merge(now timekeeper.Millis, m Message, reply *Message) {
	var urgent []*entry
	for _, r := range m.Records {
		if e := g.insert(now, r, m.From); e != nil {
			if Class(e.Class) == Urgent {
				urgent = append(urgent, e)
			}
		} else {
			g.addNewerVersion(now, r, reply)
		}
	}
	g.markSeen(now, m.From, m.Inc)
	if o := g.owners[m.From]; o != nil && o.joined() && (o.member.State == Suspect || o.member.State == Dead) && o.member.Incarnation == m.Inc {
		// The sender must know of its suspicion or death to refute it.
		reply.Records = append(reply.Records, o.records[memberKind].Record)
	}
	if m.Heard != "" {
		if o := g.owners[m.Heard]; o != nil {
			g.markSeen(now, m.Heard, o.member.Incarnation)
		}
	}
	g.forwardUrgent(m, urgent)
	g.compareDigests(now, m, reply)
	g.compareVersions(now, m, reply)
	for i := 0; i+4 <= len(m.Want); i += 4 {
		g.addOwnerRecords(now, reply, g.byHash[binary.BigEndian.Uint32(m.Want[i:])])
	}
}

// addNewerVersion adds the newer version of a record that the sender has, if the
// budget allows. The caller holds mu.
func (g *Gossiper) addNewerVersion(now timekeeper.Millis, r Record, reply *Message) {
	o := g.owners[r.Owner]
	if o == nil || o.records[r.Kind] == nil {
		return
	}
	if e := o.records[r.Kind]; e.repaired() && e.newer(r) && reply.size()+e.size <= g.recordBytes(now, Normal) {
		reply.Records = append(reply.Records, e.Record)
	}
}

// markSeen notes contact with an instance, direct or reported. The caller holds mu.
func (g *Gossiper) markSeen(now timekeeper.Millis, name string, incarnation int64) {
	o := g.owners[name]
	if o == nil || !o.joined() || o == g.self || incarnation < o.member.Incarnation {
		return
	}
	o.lastSeen, o.unansweredSince, o.indirectlyProbed = now, 0, false
	if g.isLocal(o) {
		g.lastPeerSeen = now
		return
	}
	g.linkTo(now, o.member.DataCentre).markSeen(now)
}

// allDigests packs the digests of all data centres. The caller holds mu.
func (g *Gossiper) allDigests() MessageDigests {
	all := MessageDigests{}
	for dc, d := range g.digests {
		all[dc] = binary.BigEndian.AppendUint64(nil, d)
	}
	return all
}

// compareDigests adds the versions of one data centre whose digest differs. The
// caller holds mu.
func (g *Gossiper) compareDigests(now timekeeper.Millis, m Message, reply *Message) {
	if m.Digests == nil {
		return
	}
	var differing []string
	for dc, d := range g.digests {
		if peerDigest, ok := m.Digests[dc]; !ok || binary.BigEndian.Uint64(peerDigest) != d {
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
	if local := g.self.member.DataCentre; slices.Contains(differing, local) && g.random.IntN(2) == 0 {
		reply.VersionsOf = local
	}
	reply.Versions = []byte{}
	var live []*owner
	for _, o := range g.sortedOwners {
		if o.joined() && o.member.Live() && o.member.DataCentre == reply.VersionsOf {
			live = append(live, o)
		}
	}
	if g.recordBytes(now, Normal) < 11*len(live) {
		reply.VersionsOf, reply.Versions = "", nil
		return
	}
	for _, o := range live {
		reply.Versions = binary.BigEndian.AppendUint32(reply.Versions, o.hash)
		reply.Versions = binary.BigEndian.AppendUint32(reply.Versions, uint32(o.digest))
	}
}

// compareVersions adds the records of owners whose digests differ and requests the
// sender's records of them. The caller holds mu.
func (g *Gossiper) compareVersions(now timekeeper.Millis, m Message, reply *Message) {
	if m.VersionsOf == "" {
		return
	}
	g.outOfSync = true
	peerDigests := map[uint32]uint32{}
	for i := 0; i+8 <= len(m.Versions); i += 8 {
		peerDigests[binary.BigEndian.Uint32(m.Versions[i:])] = binary.BigEndian.Uint32(m.Versions[i+4:])
	}
	var differing []*owner
	for _, o := range g.sortedOwners {
		if !o.joined() || o.member.DataCentre != m.VersionsOf {
			continue
		}
		digest, ok := peerDigests[o.hash]
		if ok && digest == uint32(o.digest) && o.member.Live() || !ok && !o.member.Live() {
			delete(peerDigests, o.hash)
			continue
		}
		differing = append(differing, o)
	}
	sort.Slice(differing, func(i, j int) bool { return differing[i].name < differing[j].name })
	g.random.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	wanted := make([]uint32, 0, len(peerDigests))
	for hash := range peerDigests {
		wanted = append(wanted, hash)
	}
	sort.Slice(wanted, func(i, j int) bool { return wanted[i] < wanted[j] })
	// Several peers are asked at about the same time and each sends only what its
	// budget allows: a random order makes them send different records.
	g.random.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	for _, hash := range wanted {
		reply.Want = binary.BigEndian.AppendUint32(reply.Want, hash)
	}
	for _, o := range differing {
		g.addOwnerRecords(now, reply, o)
	}
}

// addOwnerRecords adds the records of an owner that digests cover, as far as the
// budget allows. The caller holds mu.
func (g *Gossiper) addOwnerRecords(now timekeeper.Millis, m *Message, o *owner) {
	if o == nil || !o.joined() {
		return
	}
	kinds := make([]string, 0, len(o.records))
	for kind := range o.records {
		kinds = append(kinds, kind)
	}
	// The receiver ignores records of an owner whose member record it lacks.
	sort.Slice(kinds, func(i, j int) bool {
		return kinds[i] == memberKind && kinds[j] != memberKind || kinds[j] != memberKind && kinds[i] < kinds[j]
	})
	for _, kind := range kinds {
		e := o.records[kind]
		if e.repaired() && m.size()+e.size <= g.recordBytes(now, Normal) {
			m.Records = append(m.Records, e.Record)
		}
	}
}

// addChanges adds recently changed records that were sent to few peers yet, in
// order of class. The caller holds mu.
func (g *Gossiper) addChanges(now timekeeper.Millis, m *Message, to *owner) {
	if g.options.fullState {
		m.Records = g.allRecords()
		return
	}
	if !g.isLocal(to) {
		return
	}
	candidates := make([]*entry, 0, len(g.disseminating))
	for e := range g.disseminating {
		if e.receivedFrom != to.name && e.Owner != to.name {
			candidates = append(candidates, e)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].sendsBefore(candidates[j]) })
	limit := bits.Len(uint(len(g.currentView().peers)+1))/2 + 2
	used := m.size()
	for _, e := range candidates {
		if used+e.size > g.recordBytes(now, Class(e.Class)) {
			if Class(e.Class) >= Load {
				continue
			}
			break
		}
		m.Records = append(m.Records, e.Record)
		used += e.size
		e.transmissions++
		if e.transmissions >= limit || !e.repaired() && e.transmissions >= maxLoadTransmissions {
			delete(g.disseminating, e)
		}
	}
}

// maxLoadTransmissions is how often an instance sends a best-effort record on. Three
// transmissions reach about 94% of the instances; the next version makes up for
// the rest.
const maxLoadTransmissions = 3

// sendsBefore orders changed records: by class, which puts membership before load,
// then those sent least often, then the newest.
func (e *entry) sendsBefore(f *entry) bool {
	if e.Class != f.Class {
		return e.Class < f.Class
	}
	if e.transmissions != f.transmissions {
		return e.transmissions < f.transmissions
	}
	return e.sequence > f.sequence
}

// allRecords returns the records of all owners. The caller holds mu.
func (g *Gossiper) allRecords() []Record {
	var all []Record
	for _, o := range g.sortedOwners {
		for _, kind := range sortedKeys(o.records) {
			all = append(all, o.records[kind].Record)
		}
	}
	return all
}
