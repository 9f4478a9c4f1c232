// Package claimer grants each idempotency key at most one run: the owner of a
// range of keys and its synchronous copy keep the claims in memory, and the store
// keeps only the table of ranges with their owners and copies.
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
	// ErrNotSettled means that the outcome of a claim was not stored by both owner and copy.
	ErrNotSettled = errors.New("claim not settled")
)

// Caller sends a message to another instance; messenger.Messenger is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Peer is an instance of the region as reported by membership. ID identifies one
// process: a restarted instance has lost its claims and is another peer.
type Peer struct {
	ID         string
	Address    string
	DataCentre string
	Rack       string
	// Lost means that the peer is dead, has left or is unreachable.
	Lost bool
	// Leaving means that the peer is handing over its ranges.
	Leaving bool
}

func (p Peer) usable() bool { return p.ID != "" && !p.Lost && !p.Leaving }

// Claimer issues claims for this instance's requests and serves the ranges of which
// it is owner or copy. It is safe for concurrent use.
type Claimer struct {
	options Options
	caller  Caller
	objects storer.Objects
	wake    chan struct{}

	mu               sync.Mutex
	random           *rand.Rand
	table            Table
	version          storer.Version
	creationPending  bool                // this instance may have created the table
	pendingTakeovers map[int]int64       // by range: epoch of a takeover without claims that may have been written
	held             map[int]*rangeState // ranges of which this instance is owner or copy
	peers            map[string]Peer
	placements       []placement
	peersChangedAt   timekeeper.Millis
	leaving          bool
	ticking          bool
	tableStale       bool // the stored table may have changed
	nextRefresh      timekeeper.Millis
	nextSweep        timekeeper.Millis
	operations       int64 // number of claim operations, part of their ids
	answerBytes      int
}

// New returns the claimer of a process.
func New(o Options, caller Caller, objects storer.Objects) *Claimer {
	o = o.withDefaults()
	c := &Claimer{
		options: o, caller: caller, objects: objects,
		wake:             make(chan struct{}, 1),
		random:           rand.New(rand.NewPCG(hash64(o.Self.ID), 1)),
		pendingTakeovers: map[int]int64{},
		held:             map[int]*rangeState{},
		peers:            map[string]Peer{o.Self.ID: o.Self},
		tableStale:       true,
	}
	c.computePlacements()
	return c
}

// SetPeers replaces the list of the region's instances.
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
	c.peers, c.peersChangedAt, c.tableStale = peers, now, true
	c.computePlacements()
	c.wakeUp()
}

// Leave makes the instance hand over its ranges. The handover is complete when RangeCounts
// returns zeros.
func (c *Claimer) Leave(now timekeeper.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving, c.peersChangedAt = true, now
	self := c.options.Self
	self.Leaving = true
	c.peers[self.ID] = self
	c.computePlacements()
	c.wakeUp()
}

// RangeCounts returns how many ranges the table assigns to this instance.
func (c *Claimer) RangeCounts() (owned, copied int) {
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

// InvalidateTable marks the table as possibly changed, so that it is read again.
func (c *Claimer) InvalidateTable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tableStale = true
	c.wakeUp()
}

func (c *Claimer) wakeUp() {
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

// call sends a message and waits for the answer up to CallTimeout.
func (c *Claimer) call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout.Duration())
	defer cancel()
	return c.caller.Call(ctx, address, method, params, result)
}
