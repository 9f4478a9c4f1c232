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
	// leavingKind is the kind of the gossip record of an instance that is handing over
	// its claim ranges.
	leavingKind = "leaving"
	// handoverTimeout bounds the wait for successors at shutdown. Ranges that are not
	// handed over by then are taken over by the holders of their copies.
	handoverTimeout = 5 * timekeeper.Second
	// leavePropagationTime is the wait at shutdown in which gossip spreads the last
	// messages of the instance.
	leavePropagationTime = 300 * timekeeper.Millisecond
	// listReadInterval is the mean interval between reads of the platform's list: 340
	// instances read it 11 times a second.
	listReadInterval = 30 * timekeeper.Second
	// listSilence is the time without a message from a peer of the data centre after
	// which the list is read at once: to find peers, and to check whether an instance
	// that may be isolated still reaches the platform.
	listSilence = 1500 * timekeeper.Millisecond
)

// membership is the instance's view of the other instances, and its share of the claim
// ranges.
type membership struct {
	instance     *Instance
	gossiper     *gossiper.Gossiper
	claimer      *claimer.Claimer
	nextListRead timekeeper.Millis
}

// newMembership creates the gossiper and the claimer and registers their handlers. It
// must be called before the messenger serves.
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
	m.gossiper.SubscribeMembers(func(gossiper.Member) { m.updateClaimPeers() })
	m.gossiper.Subscribe(leavingKind, func(gossiper.Update) { m.updateClaimPeers() })
	return m
}

func claimPeer(m gossiper.Member) claimer.Peer {
	return claimer.Peer{
		ID: m.Name + "/" + strconv.FormatInt(m.ProcessIncarnation, 36), Address: m.PeerAddress, DataCentre: m.DataCentre, Rack: m.Rack, Lost: !m.Live(),
	}
}

// updateClaimPeers passes the region's instances to the claimer. An instance in an
// unreachable data centre counts as lost: its ranges are taken over by instances that
// reach the store.
func (m *membership) updateClaimPeers() {
	now := m.instance.clock.Now()
	unreachable := map[string]bool{}
	for _, dc := range m.gossiper.Connectivity(now).Unreachable {
		unreachable[dc] = true
	}
	var peers []claimer.Peer
	for _, member := range m.gossiper.Members() {
		if member.Region != m.instance.settings.Region {
			continue
		}
		p := claimPeer(member)
		p.Lost = p.Lost || unreachable[member.DataCentre]
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
		m.updateClaimPeers()
		m.readInstanceList(ctx)
	})
	<-done
	<-claims
}

// readInstanceList reads the platform's list to find peers: once a second while the peers
// of the data centre are silent or the data centre is cut off, otherwise less often.
func (m *membership) readInstanceList(ctx context.Context) {
	now := m.instance.clock.Now()
	peer, _ := m.gossiper.LastContact()
	silent := now-peer >= listSilence || m.gossiper.Connectivity(now).CutOff
	if now < m.nextListRead && !silent {
		return
	}
	m.nextListRead = now + listReadInterval/2 + timekeeper.Millis(rand.Int64N(int64(listReadInterval)))
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
	m.gossiper.SetContactAddresses(addresses)
}

// leave hands over the claim ranges and announces that the instance leaves. A killed
// instance does neither.
func (m *membership) leave(ctx context.Context) {
	now := m.instance.clock.Now()
	if err := m.gossiper.Publish(now, leavingKind, []byte{1}, gossiper.Urgent); err != nil {
		return
	}
	m.claimer.Leave(now)
	end := now + handoverTimeout
	for m.instance.clock.Now() < end {
		if owned, copied := m.claimer.RangeCounts(); owned+copied == 0 || !m.wait(ctx, 20*timekeeper.Millisecond) {
			break
		}
	}
	m.gossiper.Leave(m.instance.clock.Now())
	m.wait(ctx, leavePropagationTime)
}

// wait sleeps and returns false if the instance was aborted.
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

// addStatus adds members and claim ranges to a status.
func (m *membership) addStatus(s *Status) {
	for _, member := range m.gossiper.Members() {
		if member.Live() {
			s.Members++
		}
	}
	s.OwnedClaimRanges, s.CopiedClaimRanges = m.claimer.RangeCounts()
	s.CutOff = m.gossiper.Connectivity(m.instance.clock.Now()).CutOff
}

// observedPlatform reports every answer of the platform, refusals included, to the
// gossiper as a sign that the platform is reachable.
type observedPlatform struct {
	storer.Platform
	clock    timekeeper.Clock
	gossiper atomic.Pointer[gossiper.Gossiper]
}

func (o *observedPlatform) recordResponse(err error) {
	if errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrOutcomeUnknown) {
		return
	}
	if g := o.gossiper.Load(); g != nil {
		g.RecordPlatformContact(o.clock.Now())
	}
}

// Get implements storer.Objects.
func (o *observedPlatform) Get(ctx context.Context, name string) (storer.Object, error) {
	object, err := o.Platform.Get(ctx, name)
	o.recordResponse(err)
	return object, err
}

// Put implements storer.Objects.
func (o *observedPlatform) Put(ctx context.Context, name string, value []byte, expected storer.Version) (storer.Version, error) {
	version, err := o.Platform.Put(ctx, name, value, expected)
	o.recordResponse(err)
	return version, err
}

// Register implements storer.Instances.
func (o *observedPlatform) Register(ctx context.Context, instance storer.ListedInstance) error {
	err := o.Platform.Register(ctx, instance)
	o.recordResponse(err)
	return err
}

// Instances implements storer.Instances.
func (o *observedPlatform) Instances(ctx context.Context) ([]storer.ListedInstance, error) {
	list, err := o.Platform.Instances(ctx)
	o.recordResponse(err)
	return list, err
}
