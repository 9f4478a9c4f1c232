package sharer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func newSharer(c timekeeper.Clock, name string, own func() Loads) *Sharer {
	return New(Dependencies{
		Clock: c, Process: name, Self: Peer{Name: name, DataCentre: "a"}, LocalLoads: own,
		Eligible: func() bool { return true }, Record: func(recorder.Event) {},
	})
}

var noAddress netip.AddrPort

func loadMessage(sender string, number int64, loads Loads) Message {
	return Message{Sender: sender, Number: number, Eligible: true, Loads: loads}
}

func newManualSharer(t *testing.T) (*timekeeper.Manual, *Sharer) {
	t.Helper()
	clock := timekeeper.NewManual(1_000_000)
	return clock, newSharer(clock.Clock(), "self", func() Loads { return nil })
}

func total(t *testing.T, s *Sharer, target string) float64 {
	t.Helper()
	at, known := s.RemoteLoads()
	if !known {
		return -1
	}
	work := at(target).PrefillWork
	return work
}

// Guards against work that is counted twice or never removed when messages are delayed,
// duplicated or reordered, and when instances stop.
func TestTotalsFollowTheNewestMessages(t *testing.T) {
	clock, s := newManualSharer(t)
	assert.Equal(t, total(t, s, "e"), -1.0)
	s.handle(loadMessage("one", 5, Loads{KeyOf("e"): {PrefillWork: 100, Requests: 1}, KeyOf("f"): {PrefillWork: 7, Requests: 1}}), noAddress)
	s.handle(loadMessage("two", 1, Loads{KeyOf("e"): {PrefillWork: 50, Requests: 1}}), noAddress)
	assert.Equal(t, total(t, s, "e"), 150.0)
	s.handle(loadMessage("one", 4, Loads{KeyOf("e"): {PrefillWork: 900, Requests: 9}}), noAddress)
	s.handle(loadMessage("one", 5, Loads{KeyOf("e"): {PrefillWork: 900, Requests: 9}}), noAddress)
	assert.Equal(t, total(t, s, "e"), 150.0)
	s.handle(loadMessage("one", 6, Loads{KeyOf("f"): {PrefillWork: 7, Requests: 1}}), noAddress)
	assert.Equal(t, total(t, s, "e"), 50.0)
	s.handle(loadMessage("self", 9, Loads{KeyOf("e"): {PrefillWork: 1000, Requests: 1}}), noAddress)
	assert.Equal(t, total(t, s, "e"), 50.0)
	clock.Advance(loadTTL / 2)
	s.handle(loadMessage("two", 2, Loads{KeyOf("e"): {PrefillWork: 20, Requests: 1}}), noAddress)
	clock.Advance(loadTTL/2 + 1)
	assert.Equal(t, total(t, s, "e"), 20.0)
	assert.Equal(t, total(t, s, "f"), 0.0)
	clock.Advance(loadTTL)
	assert.Equal(t, total(t, s, "e"), -1.0)
}

// Guards against a fleet that looks idle because some instances have not sent a message yet.
func TestTotalsAreScaledToAllPeers(t *testing.T) {
	_, s := newManualSharer(t)
	s.SetPeers(make([]Peer, 20))
	for i := range 5 {
		s.handle(loadMessage(string(rune('a'+i)), 1, Loads{KeyOf("e"): {PrefillWork: 10, Requests: 1}}), noAddress)
	}
	assert.Equal(t, total(t, s, "e"), 200.0)
	messages := s.loadMessages(Loads{})
	assert.Equal(t, len(messages), 1)
	assert.Equal(t, len(messages[0].addresses), 20)
	assert.Assert(t, s.interval() > minInterval, "more peers need a longer interval")
}

// Guards against messages that are lost on real sockets: an instance receives another
// one's work and its end, and a malformed datagram changes nothing.
func TestInstancesHearEachOther(t *testing.T) {
	loads := make(chan Loads, 1)
	loads <- Loads{KeyOf("e"): {PrefillWork: 64, Requests: 2}}
	current := Loads{}
	own := func() Loads {
		select {
		case current = <-loads:
		default:
		}
		return current
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		assert.NilError(t, err)
		return c
	}
	a, b := socket(), socket()
	one := newSharer(timekeeper.System(), "one", own)
	two := newSharer(timekeeper.System(), "two", func() Loads { return nil })
	one.SetPeers([]Peer{{Name: "two", DataCentre: "a", Address: b.LocalAddr().(*net.UDPAddr).AddrPort()}})
	go one.Run(ctx, a)
	go two.Run(ctx, b)
	_, err := a.WriteToUDPAddrPort([]byte("{broken"), b.LocalAddr().(*net.UDPAddr).AddrPort())
	assert.NilError(t, err)
	until := func(want float64) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := total(t, two, "e"); got != want {
				return poll.Continue("%v microseconds of prefill work, want %v", got, want)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	until(64)
	loads <- Loads{}
	until(0)
}

// Guards against a duty that nobody performs because it is assigned to instances that
// cannot reach the store.
func TestOnlyEligiblePeersMayHoldDuties(t *testing.T) {
	clock, s := newManualSharer(t)
	s.handle(loadMessage("one", 1, nil), noAddress)
	s.handle(Message{Sender: "two", Number: 1}, noAddress)
	assert.DeepEqual(t, s.EligibleProcesses(), []string{"one", "self"})
	clock.Advance(loadTTL + 1)
	assert.DeepEqual(t, s.EligibleProcesses(), []string{"self"})
}

// Guards against an instance that hears nothing from the others for good after its socket
// failed once.
func TestReceivingOutlivesAnErrorOfTheSocket(t *testing.T) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	s := newSharer(timekeeper.System(), "self", func() Loads { return nil })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(ctx, socket) }()
	defer func() { cancel(); <-ended }()
	assert.NilError(t, socket.SetReadDeadline(time.Now().Add(-time.Second)))
	time.Sleep(30 * time.Millisecond)
	assert.NilError(t, socket.SetReadDeadline(time.Time{}))
	other := newSharer(timekeeper.System(), "other", func() Loads { return Loads{KeyOf("e"): {PrefillWork: 5, Requests: 1}} })
	other.SetPeers([]Peer{{Name: "self", Address: socket.LocalAddr().(*net.UDPAddr).AddrPort()}})
	sending, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	otherEnded := make(chan struct{})
	go func() { defer close(otherEnded); other.Run(ctx, sending) }()
	defer func() { cancel(); <-otherEnded }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if total(t, s, "e") > 0 {
			return poll.Success()
		}
		return poll.Continue("nothing received")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}
