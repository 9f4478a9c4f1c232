// Package gossiper keeps the membership of the instances and spreads small
// versioned records between them under a byte budget.
package gossiper

import (
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of publishing and receiving.
var (
	// ErrTooLarge means that a payload exceeds the bound of a record.
	ErrTooLarge = errors.New("gossip record too large")
	// ErrTooMany means that an owner publishes too many kinds.
	ErrTooMany = errors.New("too many gossip records of one owner")
	// ErrBudget means that the second's byte budget leaves no room for an answer.
	ErrBudget = errors.New("gossip budget used up")
	// ErrInvalidMessage means that a received message is malformed.
	ErrInvalidMessage = errors.New("invalid gossip message")
)

// Class orders records for sending.
type Class int

// Classes of records.
const (
	// Urgent records are pushed at once to every instance and repaired.
	Urgent Class = iota
	// Normal records reach every instance by exchange and are repaired.
	Normal
	// Load records stay in the data centre; a lost one is replaced by its next version.
	Load
	// Wide records are like load, but reach the other data centres too.
	Wide
)

// Bounds of the state.
const (
	MaxPayloadBytes    = 1536
	maxRecordsPerOwner = 64
	maxOwners          = 4096
	maxStateBytes      = 16 << 20
)

// Gossiper holds one instance's view of all instances. It is safe for concurrent use.
type Gossiper struct {
	options Options
	wake    chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	self     *owner
	owners   map[string]*owner
	list     []*owner // by name, so that equal inputs give equal messages
	byHash   map[uint32]*owner
	digests  map[string]uint64 // by data centre, over repaired records
	bytes    int
	sequence uint64
	hot      map[*entry]struct{}
	pushes   []*push
	outbox   []Send
	budget   budget
	view     view
	links    map[string]*link // by other data centre
	hints    map[string]struct{}

	lastTick, nextRound, nextDigest, nextContact, nextDead, nextExpire timekeeper.Millis
	lastPeer, lastPlatform, started                                    timekeeper.Millis
	relaySince, nextReach, resumed                                     timekeeper.Millis
	reach                                                              string
	cutOff, isolated                                                   bool
	behind                                                             bool

	subscribers []subscriber
	pending     []func()
	delivering  bool
}

type subscriber struct {
	kind    string
	record  func(Update)
	members func(Member)
}

// Update is a change of a record that a subscriber receives. Gone means that the
// owner died, left or withdrew the record.
type Update struct {
	Owner   string
	Kind    string
	Inc     int64
	Version int64
	Data    []byte
	Gone    bool
}

// New returns the gossiper of an instance that starts at now. The incarnation of
// self must be higher than that of any earlier process of the name.
func New(now timekeeper.Millis, self Member, o Options) *Gossiper {
	o = o.withDefaults()
	self.State = Alive
	self.Process = self.Incarnation
	g := &Gossiper{
		options: o,
		wake:    make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(hash64(self.Name), uint64(self.Incarnation))),
		owners:  map[string]*owner{},
		byHash:  map[uint32]*owner{},
		digests: map[string]uint64{},
		hot:     map[*entry]struct{}{},
		budget:  budget{limit: o.BytesPerSecond},
		links:   map[string]*link{},
		hints:   map[string]struct{}{},
		started: now, lastTick: now, lastPeer: now, lastPlatform: now,
	}
	for _, address := range o.Contacts {
		g.hints[address] = struct{}{}
	}
	// A fleet that starts at once must not meet its contacts at once.
	g.nextContact = now + g.jitter(contactEvery/2)
	g.behind = true
	g.self = g.addOwner(self.Name)
	g.self.member = self
	g.insert(now, Record{Owner: self.Name, Inc: self.Incarnation, Ver: 0, Kind: memberKind, Class: int(Normal), Data: self.encode()}, "")
	return g
}

// Publish sets this instance's record of a kind; a nil payload withdraws it.
func (g *Gossiper) Publish(now timekeeper.Millis, kind string, payload []byte, c Class) error {
	if len(payload) > MaxPayloadBytes || len(kind) > maxNameBytes {
		return ErrTooLarge
	}
	g.mu.Lock()
	known := g.self.records[kind]
	if known == nil && len(g.self.records) >= maxRecordsPerOwner {
		g.mu.Unlock()
		return ErrTooMany
	}
	version := int64(1)
	if known != nil {
		version = known.Ver + 1
	}
	e := g.insert(now, Record{Owner: g.self.name, Inc: g.self.member.Incarnation, Ver: version, Kind: kind, Class: int(c), Data: payload}, "")
	if e != nil && c == Urgent {
		g.pushEverywhere(e)
	}
	g.mu.Unlock()
	g.deliver()
	if c == Urgent {
		g.wakeUp()
	}
	return nil
}

func (g *Gossiper) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Subscribe calls f for every change of a record of a kind, of every owner, in
// order; values known before are delivered first.
func (g *Gossiper) Subscribe(kind string, f func(Update)) {
	g.mu.Lock()
	g.subscribers = append(g.subscribers, subscriber{kind: kind, record: f})
	for _, o := range g.list {
		if e := o.records[kind]; e != nil && e.Data != nil {
			u := e.update(false)
			g.pending = append(g.pending, func() { f(u) })
		}
	}
	g.mu.Unlock()
	g.deliver()
}

// SubscribeMembers calls f for every change of a member, in order; members known
// before are delivered first.
func (g *Gossiper) SubscribeMembers(f func(Member)) {
	g.mu.Lock()
	g.subscribers = append(g.subscribers, subscriber{members: f})
	for _, o := range g.list {
		if o.joined() {
			m := o.member
			g.pending = append(g.pending, func() { f(m) })
		}
	}
	g.mu.Unlock()
	g.deliver()
}

// Record returns the known record of a kind of an owner.
func (g *Gossiper) Record(name, kind string) (Update, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.owners[name]
	if o == nil || o.records[kind] == nil || o.records[kind].Data == nil {
		return Update{}, false
	}
	return o.records[kind].update(false), true
}

// deliver runs pending callbacks in order, outside the lock; one goroutine at a time.
func (g *Gossiper) deliver() {
	g.mu.Lock()
	if g.delivering {
		g.mu.Unlock()
		return
	}
	g.delivering = true
	for len(g.pending) > 0 {
		list := g.pending
		g.pending = nil
		g.mu.Unlock()
		for _, f := range list {
			f()
		}
		g.mu.Lock()
	}
	g.delivering = false
	g.mu.Unlock()
}

// notify queues a record's change for its subscribers. The caller holds mu.
func (g *Gossiper) notify(e *entry, gone bool) {
	u := e.update(gone || e.Data == nil)
	for _, s := range g.subscribers {
		if s.record != nil && s.kind == e.Kind {
			f := s.record
			g.pending = append(g.pending, func() { f(u) })
		}
	}
}

// notifyMember queues a member's change and records its event. The caller holds mu.
func (g *Gossiper) notifyMember(m Member) {
	for _, s := range g.subscribers {
		if s.members != nil {
			f := s.members
			g.pending = append(g.pending, func() { f(m) })
		}
	}
	code := map[State]recorder.Code{
		Alive: recorder.InstanceJoined, Suspect: recorder.InstanceSuspected, Dead: recorder.InstanceDead, Left: recorder.InstanceLeft,
	}[m.State]
	if m.Name != g.self.name {
		g.event(code, m.Name+" in "+m.DataCentre)
	}
}

func (g *Gossiper) event(code recorder.Code, cause string) {
	if r := g.options.Recorder; r != nil {
		g.pending = append(g.pending, func() { r.Record(recorder.Event{Code: code, Cause: cause}) })
	}
}
