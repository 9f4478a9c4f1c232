package sharer

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// packedMark and a version are the first bytes of a datagram with a packed change set.
	// Programs that don't know it drop it, because no JSON begins so.
	packedMark = 'P'
	// packedVersion has no era; packedEraVersion begins with it.
	packedVersion    = 1
	packedEraVersion = 2
)

// sentChanges are the changes of one kind that a follower was sent.
type sentChanges struct {
	known      storer.Version     // As the follower last reported it.
	to         storer.Version     // Version of the newest part that was sent.
	progressAt timekeeper.Reading // When the first part was sent, or known last advanced.
}

// next returns the version from which the next part is to be sent: after those under
// way, or from the follower's version if these seem lost.
func (c sentChanges) next(known storer.Version, now timekeeper.Reading) sentChanges {
	switch {
	case known >= c.to || known < c.known || now.Since(c.progressAt) >= resendDelay && known == c.known:
		return sentChanges{known, known, now}
	case known > c.known:
		return sentChanges{known, c.to, now}
	default:
		return c
	}
}

// packedDatagram is a packed change set for a follower.
type packedDatagram struct {
	address netip.AddrPort
	data    []byte
}

// packedMessages returns the packed change sets of a relay for its followers.
func (s *Sharer) packedMessages() []packedDatagram {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.large() {
		return nil
	}
	var list []packedDatagram
	parts := min(max(maxPackedDatagrams/max(s.followerCount(), 1), 1), maxPackedParts)
	for _, r := range s.reports { // In random order, so that none is left out for long.
		if len(list) >= maxPackedDatagrams {
			break
		}
		if r.isFollower && r.message.ReadsPacked {
			list = append(list, s.packedFor(r, parts, s.Clock.Read())...)
		}
	}
	return list
}

// packedFor returns up to a number of parts of each kind for the sender of a report. The caller holds mu.
func (s *Sharer) packedFor(r *report, parts int, now timekeeper.Reading) []packedDatagram {
	if r.sent == nil {
		r.sent = map[string]sentChanges{}
	}
	var list []packedDatagram
	for kind, source := range s.Sources {
		known, ok := r.message.Known[kind]
		if !ok {
			continue // The follower has to list the store first.
		}
		sent := r.sent[kind].next(known, now)
		for range parts {
			changes, ok := source.PackedSince(sent.to)
			if !ok || len(changes.Data) == 0 {
				break
			}
			for _, data := range encodePacked(kind, r.message.Number, changes, r.readsEras) {
				list = append(list, packedDatagram{r.address, data})
			}
			sent.to = changes.At
		}
		r.sent[kind] = sent
	}
	return list
}

// confirmation returns an empty change set for a follower that has all changes of a kind.
func (s *Sharer) confirmation(r *report, kind string, source Source) (follower.News, bool) {
	known, ok := r.message.Known[kind]
	if !ok {
		return follower.News{}, false
	}
	p, ok := source.PackedSince(known)
	if !ok || len(p.Data) > 0 {
		return follower.News{}, false
	}
	return follower.News{From: p.From, At: p.At, Age: p.Age, Regained: p.Regained, Items: []follower.Item{}, Removed: []string{}}, true
}

// fragment is a datagram with a packed change set, or with a part of its data.
type fragment struct {
	kind         string
	echo         int64 // Number of a message of the receiver, as in a Digest.
	index, count int64
	follower.Packed
}

// encodePacked returns the datagrams with a packed change set. They name its era if the
// receiver reads that.
func encodePacked(kind string, echo int64, p follower.Packed, withEra bool) [][]byte {
	header := []byte{packedMark, packedVersion}
	if era := p.At.Era(); withEra && era != 0 {
		header = binary.AppendVarint([]byte{packedMark, packedEraVersion}, int64(era))
	}
	var list [][]byte
	parts := slices.Collect(slices.Chunk(p.Data, follower.MaxFragmentBytes))
	for i, part := range parts {
		data := slices.Clone(header)
		for _, n := range []int64{echo, int64(i), int64(len(parts)), p.From.Revision(), p.At.Revision(), int64(p.Age), int64(p.Regained), int64(len(kind))} {
			data = binary.AppendVarint(data, n)
		}
		list = append(list, append(append(data, kind...), part...))
	}
	return list
}

// isPacked reports whether a datagram contains a packed change set of a known version.
func isPacked(data []byte) bool {
	return len(data) > 2 && data[0] == packedMark && (data[1] == packedVersion || data[1] == packedEraVersion)
}

// decodeFragment decodes a datagram for which isPacked is true. The fragment refers to data.
// If it names no era, it is of the implied one.
func decodeFragment(data []byte, implied storer.Era) (fragment, bool) {
	version, data := data[1], data[2:]
	next := func() (int64, bool) {
		n, length := binary.Varint(data)
		data = data[max(length, 0):]
		return n, length > 0
	}
	era := implied
	if version == packedEraVersion {
		n, ok := next()
		if !ok {
			return fragment{}, false
		}
		era = storer.Era(n)
	}
	var numbers [8]int64
	for i := range numbers {
		n, ok := next()
		if !ok {
			return fragment{}, false
		}
		numbers[i] = n
	}
	length := numbers[7]
	if length < 0 || length > int64(len(data)) {
		return fragment{}, false
	}
	from, fromErr := storer.NewVersion(era, numbers[3])
	at, atErr := storer.NewVersion(era, numbers[4])
	f := fragment{
		kind: string(data[:length]), echo: numbers[0], index: numbers[1], count: numbers[2],
		Packed: follower.Packed{
			From: from, At: at,
			Age: timekeeper.Millis(numbers[5]), Regained: timekeeper.Millis(numbers[6]), Data: data[length:],
		},
	}
	return f, fromErr == nil && atErr == nil && 0 <= f.index && f.index < f.count && f.count <= follower.MaxFragments
}

// sending identifies the datagrams of a change set.
type sending struct {
	kind     string
	echo     int64
	from, at storer.Version
	count    int64
}

// assembly is a change set of which some datagrams were received from a relay.
type assembly struct {
	sending
	parts   [][]byte
	missing int64
}

// assemble returns the data of the change set that a fragment completes. Of each relay it
// keeps the newest incomplete one.
func (s *Sharer) assemble(f fragment, from netip.AddrPort) ([]byte, bool) {
	if f.count == 1 {
		return f.Data, true
	}
	key := sending{f.kind, f.echo, f.From, f.At, f.count}
	a := s.assemblies[from]
	if a == nil || a.sending != key {
		a = &assembly{key, make([][]byte, f.count), f.count}
		s.assemblies[from] = a
	}
	if a.parts[f.index] == nil {
		a.parts[f.index] = bytes.Clone(f.Data)
		a.missing--
	}
	if a.missing > 0 {
		return nil, false
	}
	delete(s.assemblies, from)
	return bytes.Join(a.parts, nil), true
}

// handlePacked processes a packed change set from a relay.
func (s *Sharer) handlePacked(data []byte, from netip.AddrPort) {
	f, ok := decodeFragment(data, s.impliedEra())
	source := s.Sources[f.kind]
	if !ok || source == nil {
		return
	}
	s.mu.Lock()
	sent, ok := s.relays.acceptDigest(Message{Digest: &Digest{Echo: f.echo}}, from, s.Clock.Read())
	if ok {
		f.Data, ok = s.assemble(f, from)
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	if known, ok := source.Version(); !ok || f.At <= known {
		f.Data = nil // Nothing in it is new; it still shows that the state is recent.
	}
	changes, err := f.News()
	if err != nil {
		return // The relay sends it again.
	}
	source.Offer(changes, sent)
}
