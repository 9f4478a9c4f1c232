// Package claimer grants each idempotency key at most one run: the owner of a
// range of keys and its synchronous copy hold the claims in memory, and the store
// holds only which instance owns which range.
package claimer

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of claims.
var (
	// ErrInvalidMessage means that a received message is malformed.
	ErrInvalidMessage = errors.New("invalid claim message")
	// ErrNotSettled means that owner and copy did not both take an outcome.
	ErrNotSettled = errors.New("claim not settled")
)

// Caller sends a message to another instance; messenger.Messenger is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Peer is an instance of the region as membership sees it. ID names one process:
// a restarted instance has lost its claims and is another peer.
type Peer struct {
	ID         string
	Address    string
	DataCentre string
	Rack       string
	// Lost means that the peer is dead, left or out of reach.
	Lost bool
	// Leaving means that the peer hands its ranges over.
	Leaving bool
}

func (p Peer) usable() bool { return p.ID != "" && !p.Lost && !p.Leaving }

// Claimer is one instance's part in the claims of its region. It is safe for concurrent use.
type Claimer struct {
	options Options
	caller  Caller
	objects storer.Objects
	wake    chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	table    Table
	version  storer.Version
	creating bool             // a creation of the table may have taken effect
	taking   map[int]int64    // epochs of takeovers without claims that may have taken effect
	held     map[int]*holding // ranges of which this instance is owner or copy
	peers    map[string]Peer
	ranks    []placement
	changed  timekeeper.Millis // last change of the peers
	leaving  bool
	busy     bool
	dirty    bool // the table may have changed
	refresh  timekeeper.Millis
	sweep    timekeeper.Millis
	next     int64 // claim operations
	bytes    int
}

// New returns the claimer of a process.
func New(o Options, caller Caller, objects storer.Objects) *Claimer {
	o = o.withDefaults()
	c := &Claimer{
		options: o, caller: caller, objects: objects,
		wake:   make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(hash64(o.Self.ID), 1)),
		taking: map[int]int64{},
		held:   map[int]*holding{},
		peers:  map[string]Peer{o.Self.ID: o.Self},
		dirty:  true,
	}
	c.place()
	return c
}

// SetPeers replaces the view of the region's instances.
func (c *Claimer) SetPeers(now timekeeper.Millis, list []Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := map[string]Peer{}
	for _, p := range list {
		peers[p.ID] = p
	}
	self := c.options.Self
	self.Leaving = c.leaving
	peers[self.ID] = self
	same := len(peers) == len(c.peers)
	for id, p := range peers {
		same = same && c.peers[id] == p
	}
	if same {
		return
	}
	c.peers, c.changed, c.dirty = peers, now, true
	c.place()
	c.nudge()
}

// Leave makes the instance hand over its ranges; Held tells when it is done.
func (c *Claimer) Leave(now timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving, c.changed = true, now
	self := c.options.Self
	self.Leaving = true
	c.peers[self.ID] = self
	c.place()
	c.nudge()
}

// Held returns how many ranges the table assigns to this instance.
func (c *Claimer) Held() (owned, copied int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.table.Ranges {
		if r.Owner == c.options.Self.ID {
			owned++
		}
		if r.Copy == c.options.Self.ID {
			copied++
		}
	}
	return owned, copied
}

// Changed notes that the table may have changed, as gossip or a peer tells.
func (c *Claimer) Changed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dirty = true
	c.nudge()
}

func (c *Claimer) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Claimer) event(code recorder.Code, cause string) {
	if r := c.options.Recorder; r != nil {
		r.Record(recorder.Event{Code: code, Cause: cause})
	}
}

// call sends a message with the bound on one exchange.
func (c *Claimer) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout.Duration())
	defer cancel()
	return c.caller.Call(ctx, address, method, params, result)
}
