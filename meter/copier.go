package meter

import (
	"context"
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Peer sends requests to another instance.
type Peer interface {
	Copy(ctx context.Context, r CopyRequest) error
	Collect(ctx context.Context, r CollectRequest) (CollectAnswer, error)
}

// Neighbour is a live instance that can hold a copy of the counts.
type Neighbour struct {
	Source Source
	Peer   Peer
}

// retryInterval is the interval between attempts to copy while all peers are silent.
const retryInterval = 50 * timekeeper.Millisecond

// Copier keeps a copy of a counter's counts on one peer, or in the store while no peer
// takes it. Concurrent calls are batched into one message.
type Copier struct {
	counter    *Counter
	copies     *Copies
	stored     *StoredCopy
	neighbours func() []Neighbour
	sendLock   chan struct{} // guards stored, holder and forwarded; a channel, so that waiting can be cancelled
	holder     Source
	forwarded  map[Source]int64 // revisions of dead sources' copies that the holder has too
}

// NewCopier returns a copier. The neighbours function returns the live peers in
// order of preference: those of the same data centre and on other racks first.
func NewCopier(c *Counter, copies *Copies, stored *StoredCopy, neighbours func() []Neighbour) *Copier {
	return &Copier{counter: c, copies: copies, stored: stored, neighbours: neighbours, sendLock: make(chan struct{}, 1)}
}

// Flush returns when the changes up to a sequence number have a copy. It prefers the
// peer that already holds the copy. While there are peers and neither they nor the store
// take the copy, it tries again until the context ends. An instance without peers does not
// wait: Maintain stores its counts.
func (c *Copier) Flush(ctx context.Context, sequence int64) error {
	for {
		alone, err := c.tryFlush(ctx, sequence)
		if err == nil || alone || !timekeeper.Sleep(ctx, retryInterval) {
			return err
		}
	}
}

func (c *Copier) tryFlush(ctx context.Context, sequence int64) (alone bool, err error) {
	if len(c.neighbours()) == 0 && !c.counter.Copied(sequence) {
		return true, ErrNoCopy // Maintain may be waiting for the store with the lock.
	}
	select {
	case c.sendLock <- struct{}{}:
		defer func() { <-c.sendLock }()
	case <-ctx.Done():
		return false, errors.Wrap(ErrNoCopy, ctx.Err().Error())
	}
	neighbours := c.neighbours()
	alone = len(neighbours) == 0
	if err = c.copyToPeer(ctx, sequence, neighbours); err != nil && !alone {
		err = c.store(ctx, err)
	}
	return alone, err
}

// store writes a copy to the store after the peers failed with an error.
func (c *Copier) store(ctx context.Context, peers error) error {
	if err := c.stored.write(ctx); err != nil {
		return errors.Wrapf(peers, "%v", err)
	}
	// The next peer must receive everything.
	c.holder = Source{}
	return nil
}

func (c *Copier) copyToPeer(ctx context.Context, sequence int64, neighbours []Neighbour) error {
	if c.counter.Copied(sequence) {
		return nil
	}
	last := error(ErrNoCopy)
	for _, n := range c.holderFirst(neighbours) {
		c.setHolder(n.Source)
		changes, upTo := c.counter.Changes()
		err := n.Peer.Copy(ctx, changes)
		if err == nil {
			c.counter.Acknowledge(upTo)
			return nil
		}
		last = errors.Wrapf(ErrNoCopy, "copy to %s: %v", n.Source.Instance, err)
		c.holder = Source{}
	}
	return last
}

// setHolder makes a peer the holder of the copy. A new holder is sent all counts.
func (c *Copier) setHolder(s Source) {
	if s == c.holder {
		return
	}
	c.holder, c.forwarded = s, map[Source]int64{}
	c.counter.MarkAllDirty()
}

// Maintain copies the changed counts of running streams and of an instance without peers.
// It chooses another peer if the holder is no longer live, and forwards held copies whose sender is dead, so
// that two instances hold all counts again.
func (c *Copier) Maintain(ctx context.Context) error {
	c.sendLock <- struct{}{}
	defer func() { <-c.sendLock }()
	neighbours := c.neighbours()
	live := map[Source]bool{c.counter.Source(): true}
	for _, n := range neighbours {
		live[n.Source] = true
	}
	if !live[c.holder] && len(neighbours) > 0 {
		c.setHolder(neighbours[0].Source)
	}
	if err := c.copyToPeer(ctx, c.counter.Sequence(), neighbours); err != nil {
		return c.store(ctx, err)
	}
	i := slices.IndexFunc(neighbours, func(n Neighbour) bool { return n.Source == c.holder })
	if i < 0 {
		return nil
	}
	for _, s := range c.copies.orphans(live) {
		// A source that was taken for dead may have sent more since.
		revision := c.copies.revision(s)
		if c.forwarded[s] == revision {
			continue
		}
		r := CopyRequest{Source: s, Sender: c.counter.Source(), Batches: c.copies.Get(s, timekeeper.Millis(math.MaxInt64)).Batches}
		if err := neighbours[i].Peer.Copy(ctx, r); err != nil {
			return errors.Wrapf(ErrNoCopy, "forward copy of %s: %v", s.Instance, err)
		}
		c.forwarded[s] = revision
	}
	return nil
}

// holderFirst moves the current holder to the front.
func (c *Copier) holderFirst(all []Neighbour) []Neighbour {
	i := slices.IndexFunc(all, func(n Neighbour) bool { return n.Source == c.holder })
	if i <= 0 {
		return all
	}
	ordered := append([]Neighbour{all[i]}, all[:i]...)
	return append(ordered, all[i+1:]...)
}
