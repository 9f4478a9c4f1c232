package assembler

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/claimer"
	"github.com/gypsumwharf/gypsumwharf/gossiper"
	"github.com/gypsumwharf/gypsumwharf/messenger"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// leavingKind is the gossip record of an instance that hands its ranges over.
	leavingKind = "leaving"
	// handoverTimeout bounds the wait for successors at shutdown; what is not handed
	// over then is taken over by the copies.
	handoverTimeout = 5 * timekeeper.Second
	// farewell is the time in which the last messages of a leaving instance spread.
	farewell = 300 * timekeeper.Millisecond
	// hintsEvery is the mean interval between reads of the platform's list: at 340
	// instances 11 reads a second.
	hintsEvery = 30 * timekeeper.Second
	// listSilence is the silence of all neighbours after which the list is read at
	// once: as a hint, and as a sign of the platform for an instance that may be isolated.
	listSilence = 1500 * timekeeper.Millisecond
)

// membership is the instance's view of the others and its part in their claims.
type membership struct {
	instance *Instance
	gossiper *gossiper.Gossiper
	claimer  *claimer.Claimer
	hints    timekeeper.Millis
}

// newMembership builds gossip and claims and sets their handlers; the messenger
// must not serve yet.
func newMembership(i *Instance) *membership {
	s, peer := i.settings, i.Addresses().Peer
	m := &membership{instance: i}
	self := gossiper.Member{
		Name: s.Instance, Incarnation: i.incarnation, DataCentre: s.DataCentre, Region: s.Region, Rack: s.Rack, PeerAddress: peer,
	}
	m.gossiper = gossiper.New(i.clock.Now(), self, gossiper.Options{
		Contacts: s.Peers, Interval: timekeeper.Millis(s.GossipMilliseconds), BytesPerSecond: s.GossipBytesPerSecond, Recorder: i.recorder,
	})
	m.claimer = claimer.New(claimer.Options{
		Self: claimPeer(m.gossiper.Self()), Clock: i.clock, Object: "claims/" + s.Region, Ranges: s.ClaimRanges,
		Retention: timekeeper.Millis(s.ClaimRetentionSeconds) * timekeeper.Second, Recorder: i.recorder,
	}, i.messenger, i.platform)
	i.messenger.Handle(gossiper.Method, m.gossiper.Handler(i.clock))
	for method, handler := range m.claimer.Handlers() {
		i.messenger.Handle(method, messenger.Handler(handler))
	}
	m.gossiper.SubscribeMembers(func(gossiper.Member) { m.showPeers() })
	m.gossiper.Subscribe(leavingKind, func(gossiper.Update) { m.showPeers() })
	return m
}

func claimPeer(m gossiper.Member) claimer.Peer {
	return claimer.Peer{
		ID: m.Name + "/" + strconv.FormatInt(m.Process, 36), Address: m.PeerAddress, DataCentre: m.DataCentre, Rack: m.Rack, Lost: !m.Live(),
	}
}

// showPeers gives the claims the region's instances. One in a data centre that is
// not heard counts as lost: its ranges are taken over where the store is reached.
func (m *membership) showPeers() {
	now := m.instance.clock.Now()
	silent := map[string]bool{}
	for _, dc := range m.gossiper.Reach(now).Unreachable {
		silent[dc] = true
	}
	var peers []claimer.Peer
	for _, member := range m.gossiper.Members() {
		if member.Region != m.instance.settings.Region {
			continue
		}
		p := claimPeer(member)
		p.Lost = p.Lost || silent[member.DataCentre]
		_, p.Leaving = m.gossiper.Record(member.Name, leavingKind)
		peers = append(peers, p)
	}
	m.claimer.SetPeers(now, peers)
}

// run exchanges gossip and maintains the claims until the context ends.
func (m *membership) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.gossiper.Run(ctx, m.instance.clock, m.instance.messenger)
	}()
	claims := make(chan struct{})
	go func() {
		defer close(claims)
		m.claimer.Run(ctx)
	}()
	m.instance.every(ctx, timekeeper.Second, func(ctx context.Context) {
		m.showPeers()
		m.hint(ctx)
	})
	<-done
	<-claims
}

// hint reads the platform's list for first contacts, each second while nobody else is heard.
func (m *membership) hint(ctx context.Context) {
	now := m.instance.clock.Now()
	peer, _ := m.gossiper.LastHeard()
	silent := now-peer >= listSilence || m.gossiper.Reach(now).CutOff
	if now < m.hints && !silent {
		return
	}
	m.hints = now + hintsEvery/2 + timekeeper.Millis(rand.Int64N(int64(hintsEvery)))
	list, err := m.instance.platform.Instances(ctx)
	if err != nil {
		return
	}
	var addresses []string
	for _, l := range list {
		if !l.Leaving {
			addresses = append(addresses, l.PeerAddress)
		}
	}
	m.gossiper.Hint(addresses)
}

// leave hands the claims over and says goodbye; a killed instance does neither.
func (m *membership) leave(ctx context.Context) {
	now := m.instance.clock.Now()
	if err := m.gossiper.Publish(now, leavingKind, []byte{1}, gossiper.Urgent); err != nil {
		return
	}
	m.claimer.Leave(now)
	end := now + handoverTimeout
	for m.instance.clock.Now() < end {
		if owned, copied := m.claimer.Held(); owned+copied == 0 || !m.wait(ctx, 20*timekeeper.Millisecond) {
			break
		}
	}
	m.gossiper.Leave(m.instance.clock.Now())
	m.wait(ctx, farewell)
}

// wait returns false when the instance is to end at once.
func (m *membership) wait(ctx context.Context, d timekeeper.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-ctx.Done():
		return true
	case <-m.instance.abort:
		return false
	}
}

// show adds what operators are told about members and claims.
func (m *membership) show(s *Status) {
	for _, member := range m.gossiper.Members() {
		if member.Live() {
			s.Members++
		}
	}
	s.Owned, s.Copied = m.claimer.Held()
	s.CutOff = m.gossiper.Reach(m.instance.clock.Now()).CutOff
}

// heardPlatform notes every answer of the platform, refusals included.
type heardPlatform struct {
	storer.Platform
	clock timekeeper.Clock
	heard atomic.Pointer[gossiper.Gossiper]
}

func (h *heardPlatform) note(err error) {
	if errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUncertain) {
		return
	}
	if g := h.heard.Load(); g != nil {
		g.PlatformHeard(h.clock.Now())
	}
}

// Get implements storer.Objects.
func (h *heardPlatform) Get(ctx context.Context, name string) (storer.Object, error) {
	object, err := h.Platform.Get(ctx, name)
	h.note(err)
	return object, err
}

// Put implements storer.Objects.
func (h *heardPlatform) Put(ctx context.Context, name string, value []byte, expected storer.Version) (storer.Version, error) {
	version, err := h.Platform.Put(ctx, name, value, expected)
	h.note(err)
	return version, err
}

// Register implements storer.Instances.
func (h *heardPlatform) Register(ctx context.Context, instance storer.ListedInstance) error {
	err := h.Platform.Register(ctx, instance)
	h.note(err)
	return err
}

// Instances implements storer.Instances.
func (h *heardPlatform) Instances(ctx context.Context) ([]storer.ListedInstance, error) {
	list, err := h.Platform.Instances(ctx)
	h.note(err)
	return list, err
}
