// Package gossiper maintains the membership of the instances and replicates small
// versioned records between them, within a bound on the bytes sent per second.
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
	// ErrTooLarge means that a payload or the name of its kind exceeds its size limit.
	ErrTooLarge = errors.New("gossip record too large")
	// ErrTooManyRecords means that an instance publishes too many kinds of records.
	ErrTooManyRecords = errors.New("too many kinds of gossip records of one instance")
	// ErrBudgetExhausted means that an answer does not fit the byte budget of this second.
	ErrBudgetExhausted = errors.New("gossip budget used up")
	// ErrInvalidMessage means that a received message is malformed.
	ErrInvalidMessage = errors.New("invalid gossip message")
)

// Class determines how far, how fast and how reliably a record is sent.
type Class int

// Classes of records.
const (
	// Urgent records are pushed at once to every instance. Digests detect lost ones, which are
	// sent again.
	Urgent Class = iota
	// Normal records reach every instance in the gossip rounds. Digests detect lost ones,
	// which are sent again.
	Normal
	// Load records stay in the data centre and are best effort: the next version
	// replaces a lost one.
	Load
	// Wide records are best effort too, but also reach the other data centres.
	Wide
)

// Bounds of the records and of the state held in memory.
const (
	MaxPayloadBytes    = 1536
	maxRecordsPerOwner = 64
	maxOwners          = 4096
	maxStateBytes      = 16 << 20
)

// Gossiper holds one instance's view of all instances and their records. It is
// safe for concurrent use.
type Gossiper struct {
	options Options
	wake    chan struct{}

	mu               sync.Mutex
	random           *rand.Rand
	self             *owner
	owners           map[string]*owner
	sortedOwners     []*owner // by name, so that equal inputs give equal messages
	byHash           map[uint32]*owner
	digests          map[string]uint64 // by data centre, over the records that digests cover
	bytes            int
	sequence         uint64
	disseminating    map[*entry]struct{}
	pushes           []*push
	outbox           []Send
	budget           budget
	view             view
	links            map[string]*link // by remote data centre
	contactAddresses map[string]struct{}

	lastTick, nextRound, nextDigest, nextContact, nextReconnect, nextExpire timekeeper.Millis
	lastPeerSeen, lastPlatformSeen, started                                 timekeeper.Millis
	relaySince, nextReachPublish, resumedAt                                 timekeeper.Millis
	publishedReach                                                          string
	cutOff, isolated                                                        bool
	outOfSync                                                               bool

	subscribers []subscriber
	callbacks   []func()
	delivering  bool
}

type subscriber struct {
	kind     string
	onRecord func(Update)
	onMember func(Member)
}

// Update is a change of a record that a subscriber receives. Removed means that the
// owner is dead, left, restarted or withdrew the record.
type Update struct {
	Owner       string
	Kind        string
	Incarnation int64
	Version     int64
	Data        []byte
	Removed     bool
}

// New returns the gossiper of an instance that starts at now. The incarnation of
// self must be higher than that of any earlier process with the same name.
func New(now timekeeper.Millis, self Member, options Options) *Gossiper {
	options = options.withDefaults()
	self.State = Alive
	self.ProcessIncarnation = self.Incarnation
	g := &Gossiper{
		options:          options,
		wake:             make(chan struct{}, 1),
		random:           rand.New(rand.NewPCG(hash64(self.Name), uint64(self.Incarnation))),
		owners:           map[string]*owner{},
		byHash:           map[uint32]*owner{},
		digests:          map[string]uint64{},
		disseminating:    map[*entry]struct{}{},
		budget:           budget{limit: options.BytesPerSecond},
		links:            map[string]*link{},
		contactAddresses: map[string]struct{}{},
		started:          now, lastTick: now, lastPeerSeen: now, lastPlatformSeen: now,
	}
	for _, address := range options.Contacts {
		g.contactAddresses[address] = struct{}{}
	}
	// Instances that start at the same time must not all reach the contacts at once.
	g.nextContact = now + g.jitter(contactInterval/2)
	g.outOfSync = true
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
		return ErrTooManyRecords
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

// Subscribe calls f, in order, for every change of any owner's record of a kind;
// current values are delivered first.
func (g *Gossiper) Subscribe(kind string, f func(Update)) {
	g.mu.Lock()
	g.subscribers = append(g.subscribers, subscriber{kind: kind, onRecord: f})
	for _, o := range g.sortedOwners {
		if e := o.records[kind]; e != nil && e.Data != nil {
			u := e.update(false)
			g.callbacks = append(g.callbacks, func() { f(u) })
		}
	}
	g.mu.Unlock()
	g.deliver()
}

// SubscribeMembers calls f, in order, for every change of a member; current
// members are delivered first.
func (g *Gossiper) SubscribeMembers(f func(Member)) {
	g.mu.Lock()
	g.subscribers = append(g.subscribers, subscriber{onMember: f})
	for _, o := range g.sortedOwners {
		if o.joined() {
			m := o.member
			g.callbacks = append(g.callbacks, func() { f(m) })
		}
	}
	g.mu.Unlock()
	g.deliver()
}

// Record returns the current record of a kind of an owner.
func (g *Gossiper) Record(name, kind string) (Update, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.owners[name]
	if o == nil || o.records[kind] == nil || o.records[kind].Data == nil {
		return Update{}, false
	}
	return o.records[kind].update(false), true
}

// deliver runs the queued callbacks in order and outside the lock, in one
// goroutine at a time.
func (g *Gossiper) deliver() {
	g.mu.Lock()
	if g.delivering {
		g.mu.Unlock()
		return
	}
	g.delivering = true
	for len(g.callbacks) > 0 {
		callbacks := g.callbacks
		g.callbacks = nil
		g.mu.Unlock()
		for _, f := range callbacks {
			f()
		}
		g.mu.Lock()
	}
	g.delivering = false
	g.mu.Unlock()
}

// notify queues the callbacks for a change of a record. The caller holds mu.
func (g *Gossiper) notify(e *entry, gone bool) {
	u := e.update(gone || e.Data == nil)
	for _, s := range g.subscribers {
		if s.onRecord != nil && s.kind == e.Kind {
			f := s.onRecord
			g.callbacks = append(g.callbacks, func() { f(u) })
		}
	}
}

// notifyMember queues the callbacks for a change of a member and records its
// event. The caller holds mu.
func (g *Gossiper) notifyMember(m Member) {
	for _, s := range g.subscribers {
		if s.onMember != nil {
			f := s.onMember
			g.callbacks = append(g.callbacks, func() { f(m) })
		}
	}
	code := map[State]recorder.Code{
		Alive: recorder.InstanceJoined, Suspect: recorder.InstanceSuspected, Dead: recorder.InstanceDead, Left: recorder.InstanceLeft,
	}[m.State]
	if m.Name != g.self.name {
		g.recordEvent(code, m.Name+" in "+m.DataCentre)
	}
}

func (g *Gossiper) recordEvent(code recorder.Code, cause string) {
	if r := g.options.Recorder; r != nil {
		g.callbacks = append(g.callbacks, func() { r.Record(recorder.Event{Code: code, Cause: cause}) })
	}
}
