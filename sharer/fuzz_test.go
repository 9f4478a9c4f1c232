package sharer

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// FuzzDatagram guards against a datagram that ends the process or corrupts its state:
// after any message, the instance still builds its own messages and sums.
func FuzzDatagram(f *testing.F) {
	figures := Figures{KeyOf("s"): {1, 2, 3}}
	for _, m := range []Message{
		loadMessage("one", 5, Loads{KeyOf("e"): {PrefillWork: 100, LowPriorityWork: 7, Requests: 1, PromptTokens: 9}}),
		{Sender: "relay", Number: 3, Loads: Loads{}, Digest: &Digest{Echo: -1, Changes: DigestChanges{"targets": {}}}},
		{Sender: "relay", Number: 3, DataCentre: "b", Loads: Loads{}},
		{Sender: "one", Number: 9, Figures: &figures},
		{Sender: "one", Number: 9, Figures: &figures, DataCentre: "b"},
		{Sender: "follower", Number: 1 << 62, Known: Versions{"targets": 1}, WantsLoads: true},
	} {
		data, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"sender":"","number":-1,"digest":{"echo":0,"news":{"targets":null}},"loads":null}`))
	f.Add([]byte(`{"figures":null,"loads":"AAAA"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if len(data) > maxDatagramBytes || json.Unmarshal(data, &m) != nil {
			return
		}
		clock := timekeeper.NewManual(1_000_000)
		k := &fakeSource{version: 1}
		s := New(Dependencies{
			Clock: clock.Clock(), Process: "self", Self: Peer{Name: "self", DataCentre: "a"}, LocalLoads: func() Loads { return Loads{1: {PrefillWork: 1}} },
			Eligible: func() bool { return true }, Sources: map[string]Source{"targets": k}, Record: func(recorder.Event) {},
			LocalFigures: func() Figures { return Figures{1: {1}} },
		})
		others := make([]Peer, maxSmallFleet+1)
		for i := range others {
			others[i] = Peer{Name: string(rune('A' + i)), DataCentre: "a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
		}
		for _, peers := range [][]Peer{others[:3], others} {
			s.SetPeers(peers)
			s.handle(m, others[0].Address)
			clock.Advance(figuresInterval)
			s.loadMessages(s.LocalLoads())
			s.digestMessages()
			s.figureMessages()
			s.EligibleProcesses()
			s.RemoteFigures("s")
			if at, known := s.RemoteLoads(); known {
				at("e")
			}
		}
	})
}
