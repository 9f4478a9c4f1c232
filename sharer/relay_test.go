package sharer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// fakeSource is the Source of an instance of the simulated fleet.
type fakeSource struct {
	version   storer.Version
	received  follower.News
	sentAfter timekeeper.Reading
}

func (f *fakeSource) Version() (storer.Version, bool) { return f.version, true }

func (f *fakeSource) Since(v storer.Version) (follower.News, bool) {
	return follower.News{From: v, At: f.version, Age: 30}, v <= f.version
}

func (f *fakeSource) PackedSince(v storer.Version) (follower.Packed, bool) {
	p := follower.Packed{From: v, At: f.version, Age: 30}
	if f.version > v {
		p.Data = []byte("\xab\xae\x05\x00") // "{}", compressed.
	}
	return p, v <= f.version
}

func (f *fakeSource) Offer(n follower.News, after timekeeper.Reading) {
	f.received, f.sentAfter = n, after
	f.version = max(f.version, n.At)
}

// instance is an instance of the simulated fleet.
type instance struct {
	*Sharer
	source    *fakeSource
	loads     Loads
	stopped   bool
	sent      int // Datagrams.
	sentBytes int
}

// fleet carries datagrams between instances in virtual time.
type fleet struct {
	t         *testing.T
	clock     *timekeeper.Manual
	advance   func(timekeeper.Millis)
	instances []*instance
	byAddress map[netip.AddrPort]*instance
	lost      func() bool            // Whether the next datagram is lost; may be nil.
	early     func(n *instance) bool // Whether an instance runs a program without packed changes; may be nil.
	noEras    func(n *instance) bool // Whether an instance runs a program that ignores eras; may be nil.
}

// newFleet returns a fleet with perCentre instances in each of two data centres. The
// first two of each have a higher strength, so they are its relays.
func newFleet(t *testing.T, perCentre int) *fleet {
	t.Helper()
	clock := timekeeper.NewManual(1_000_000)
	f := newFleetOf(t, 2, perCentre, clock.Clock(), func(n *instance) Source {
		n.source = &fakeSource{version: 1}
		return n.source
	})
	f.clock, f.advance = clock, clock.Advance
	return f
}

// newFleetOf returns a fleet in a number of data centres whose instances have a source.
func newFleetOf(t *testing.T, centres, perCentre int, clock timekeeper.Clock, newSource func(*instance) Source) *fleet {
	t.Helper()
	f := &fleet{t: t, byAddress: map[netip.AddrPort]*instance{}}
	var all []Peer
	for c := range centres {
		for i := range perCentre {
			p := Peer{
				Name: fmt.Sprintf("%c%02d", 'a'+c, i), DataCentre: string(rune('a' + c)), ProcessorShare: 0.134,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(c), 0, byte(i)}), 1),
			}
			if i < 2 {
				p.ProcessorShare = 0.8
			}
			n := &instance{loads: Loads{KeyOf("e"): {PrefillWork: workUnit, Requests: 1}}}
			n.Sharer = New(Dependencies{
				Clock: clock, Process: "p-" + p.Name, Self: p, LocalLoads: func() Loads { return n.loads },
				Eligible: func() bool { return true }, Sources: map[string]Source{"targets": newSource(n)}, Record: func(recorder.Event) {},
			})
			all = append(all, p)
			f.instances = append(f.instances, n)
			f.byAddress[p.Address] = n
		}
	}
	for i, n := range f.instances {
		n.SetPeers(append(append([]Peer(nil), all[:i]...), all[i+1:]...))
	}
	return f
}

// roundTrip encodes and decodes a message.
func (f *fleet) roundTrip(m Message) (received Message, bytes int) {
	f.t.Helper()
	data, err := json.Marshal(m)
	assert.NilError(f.t, err)
	assert.Assert(f.t, len(data) <= maxDatagramBytes, "%d bytes: %s", len(data), data)
	assert.NilError(f.t, json.Unmarshal(data, &received))
	return received, len(data)
}

// run lets the instances exchange datagrams for a duration.
func (f *fleet) run(duration timekeeper.Millis) {
	for range duration / relayInterval {
		f.advance(relayInterval)
		for _, n := range f.instances {
			if n.stopped {
				continue
			}
			var list []datagram
			if n.loadsDue(n.loads) {
				list = n.loadMessages(n.loads)
			}
			f.deliver(n, slices.Concat(list, n.digestMessages(), n.figureMessages(), n.evidenceMessages()))
			f.deliverPacked(n, n.packedMessages())
		}
	}
}

// deliver carries datagrams to instances that are not stopped, and their replies back.
func (f *fleet) deliver(n *instance, list []datagram) {
	for _, d := range list {
		var bytes int
		d.message, bytes = f.roundTrip(d.message)
		for _, a := range d.addresses {
			n.sent++
			n.sentBytes += bytes
			to := f.byAddress[a]
			if f.noEras != nil && f.noEras(to) {
				d.message = withoutEras(d.message)
			}
			d.message.ReadsPacked = d.message.ReadsPacked && (f.early == nil || !f.early(n) && !f.early(to))
			switch {
			case to.stopped || f.lost != nil && f.lost():
			case d.message.Evidence != nil:
				f.deliver(to, to.handleEvidence(d.message, n.Self.Address))
			default:
				to.handle(d.message, n.Self.Address)
			}
		}
	}
}

// withoutEras returns what a program reads of a message that ignores eras.
func withoutEras(m Message) Message {
	m.KnownEras = nil
	if m.Digest != nil {
		changes := DigestChanges{}
		for kind, n := range m.Digest.Changes {
			n.Era = 0
			changes[kind] = n
		}
		m.Digest = &Digest{Echo: m.Digest.Echo, Changes: changes}
	}
	return m
}

// deliverPacked carries packed change sets to instances that are not stopped.
func (f *fleet) deliverPacked(n *instance, list []packedDatagram) {
	for _, d := range list {
		assert.Assert(f.t, isPacked(d.data) && len(d.data) <= maxDatagramBytes, "%d bytes: %q", len(d.data), d.data)
		n.sent++
		n.sentBytes += len(d.data)
		if to := f.byAddress[d.address]; !to.stopped && (f.lost == nil || !f.lost()) {
			to.handlePacked(d.data, n.Self.Address)
		}
	}
}

// Guards against a large fleet in which instances do not know each other's work, or
// need a number of messages that grows with the square of the fleet.
func TestRelaysReportTheLoadsOfAllOthers(t *testing.T) {
	const perCentre = 40
	f := newFleet(t, perCentre)
	f.run(2 * timekeeper.Second)
	for _, n := range f.instances {
		at, known := n.RemoteLoads()
		assert.Assert(t, known, n.Self.Name)
		sum := at("e")
		assert.Equal(t, sum.PrefillWork, workUnit*float64(2*perCentre-1), n.Self.Name)
		assert.Equal(t, sum.Requests, float64(2*perCentre-1), n.Self.Name)
		relay := n.Self.ProcessorShare > 0.5
		assert.Equal(t, n.FollowsRelays(), !relay, n.Self.Name)
		assert.Equal(t, len(n.EligibleProcesses()) > 0, relay, n.Self.Name)
		if !relay {
			perSecond := n.sent / 2
			assert.Assert(t, perSecond <= 2*int(timekeeper.Second/relayInterval)+2, "%s sends %d a second", n.Self.Name, perSecond)
		}
	}
	assert.Equal(t, len(f.instances[0].EligibleProcesses()), 4)
}

// Guards against instances that no longer receive changes of the store, or keep stale
// loads, when one or all of the first relays of a data centre stop.
func TestRelaysAreReplaced(t *testing.T) {
	for name, stopped := range map[string][]int{"one": {0}, "both": {0, 1}, "both and their successors": {0, 1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 40)
			f.run(timekeeper.Second)
			for _, i := range stopped {
				f.instances[i].stopped = true
			}
			// Each pair of stopped relays is replaced only after relayTimeout.
			f.run(timekeeper.Second * timekeeper.Millis(len(stopped)+1))
			for _, n := range f.instances {
				if !n.stopped && n.Self.DataCentre == "b" {
					n.source.version = 7
				}
			}
			for _, n := range f.instances[len(stopped):] {
				n.source.received = follower.News{}
			}
			f.run(600 * timekeeper.Millisecond)
			for i, n := range f.instances[:40] {
				if n.stopped {
					continue
				}
				at, known := n.RemoteLoads()
				assert.Assert(t, known, n.Self.Name)
				work := at("e").PrefillWork
				assert.Assert(t, work >= workUnit*float64(80-1-len(stopped)), "%s has %v microseconds of prefill work", n.Self.Name, work)
				if i >= len(stopped)+2 {
					assert.Assert(t, n.source.received.At > 0, "%s received no changes", n.Self.Name)
				}
			}
		})
	}
}

// Guards against changes that seem newer than they are: an instance that was suspended
// finds old digests in its socket.
func TestAgeOfChangesCountsFromTheEchoedMessage(t *testing.T) {
	f := newFleet(t, 40)
	f.run(timekeeper.Second)
	member := f.instances[10]
	relay := f.instances[0]
	before := f.clock.Clock().Read()
	var stale []datagram
	for _, d := range relay.digestMessages() {
		if d.addresses[0] == member.Self.Address {
			stale = append(stale, d)
		}
	}
	assert.Assert(t, len(stale) > 0)
	f.clock.Advance(10 * timekeeper.Second)
	stale[0].message.Digest.Changes = map[string]follower.News{"targets": {At: 9}}
	member.handle(stale[0].message, relay.Self.Address)
	assert.Equal(t, member.source.received.At, storer.Version(9))
	assert.Assert(t, member.source.sentAfter.Monotonic <= before.Monotonic, "changes count as %d ms newer", member.source.sentAfter.Monotonic-before.Monotonic)

	unknown := stale[0].message
	unknown.Digest = &Digest{Echo: 12345, Changes: map[string]follower.News{"targets": {At: 11}}}
	member.handle(unknown, relay.Self.Address)
	assert.Equal(t, member.source.received.At, storer.Version(9), "the age of a digest that echoes no recorded message is unknown")
}

// Guards against loads that do not fit into a datagram, omit the largest, or are decoded
// as other loads.
func TestLoadsFitIntoADatagram(t *testing.T) {
	for name, targets := range map[string]int{"none": 0, "some": 60, "many": 860} {
		t.Run(name, func(t *testing.T) {
			loads := Loads{}
			for i := range targets {
				loads[KeyOf(fmt.Sprintf("i-%08x", i*7919))] = Load{PrefillWork: workUnit * i, Requests: i % 70}
			}
			loads[KeyOf("huge")] = Load{PrefillWork: 1 << 30, Requests: 1 << 20}
			data, err := json.Marshal(Message{Sender: "18a2b3c4d5e6f708", Number: 1 << 62, Loads: loads, Known: Versions{"config": 1 << 40, "servers": 1 << 40}})
			assert.NilError(t, err)
			assert.Assert(t, len(data) <= maxDatagramBytes, "%d bytes", len(data))
			var received Message
			assert.NilError(t, json.Unmarshal(data, &received))
			assert.Equal(t, len(received.Loads), min(len(loads), maxRecords))
			assert.Equal(t, received.Loads[KeyOf("huge")].Requests, 1<<16-1)
			for k, l := range received.Loads {
				if k != KeyOf("huge") {
					assert.Equal(t, l, loads[k])
				}
			}
		})
	}
	var l Loads
	for _, text := range []string{`"AAAA"`, `{}`, `"?"`, `7`} {
		assert.Assert(t, json.Unmarshal([]byte(text), &l) != nil, text)
	}
}
