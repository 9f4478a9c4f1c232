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

// Copier keeps a copy of a counter's counts on one peer. Concurrent calls are
// batched into one message.
type Copier struct {
	counter    *Counter
	copies     *Copies
	neighbours func() []Neighbour
	sendLock   chan struct{} // guards holder and forwarded; a channel, so that waiting can be cancelled
	holder     Source
	forwarded  map[Source]bool // dead sources whose copies the holder has too
}

// NewCopier returns a copier. The neighbours function returns the live peers in
// order of preference: those of the same data centre and on other racks first.
func NewCopier(c *Counter, copies *Copies, neighbours func() []Neighbour) *Copier {
	return &Copier{counter: c, copies: copies, neighbours: neighbours, sendLock: make(chan struct{}, 1)}
}

// Flush returns when the changes up to a sequence number have a copy. It prefers the
// peer that already holds the copy.
func (c *Copier) Flush(ctx context.Context, sequence int64) error {
	select {
	case c.sendLock <- struct{}{}:
		defer func() { <-c.sendLock }()
	case <-ctx.Done():
		return errors.Wrap(ErrNoCopy, ctx.Err().Error())
	}
	return c.flush(ctx, sequence, c.neighbours())
}

func (c *Copier) flush(ctx context.Context, sequence int64, neighbours []Neighbour) error {
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
	c.holder, c.forwarded = s, map[Source]bool{}
	c.counter.MarkAllDirty()
}

// Maintain copies the changed counts of running streams. It chooses another peer if
// the holder is no longer live, and forwards held copies whose sender is dead, so
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
	if err := c.flush(ctx, c.counter.Sequence(), neighbours); err != nil {
		return err
	}
	i := slices.IndexFunc(neighbours, func(n Neighbour) bool { return n.Source == c.holder })
	if i < 0 {
		return nil
	}
	for _, s := range c.copies.orphans(live) {
		if c.forwarded[s] {
			continue
		}
		r := CopyRequest{Source: s, Sender: c.counter.Source(), Batches: c.copies.Get(s, timekeeper.Millis(math.MaxInt64)).Batches}
		if err := neighbours[i].Peer.Copy(ctx, r); err != nil {
			return errors.Wrapf(ErrNoCopy, "forward copy of %s: %v", s.Instance, err)
		}
		c.forwarded[s] = true
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
