package meter

import (
	"context"
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Peer is one other instance.
type Peer interface {
	Copy(ctx context.Context, r CopyRequest) error
	Collect(ctx context.Context, r CollectRequest) (CollectAnswer, error)
}

// Neighbour is a live instance that can hold a copy.
type Neighbour struct {
	Source Source
	Peer   Peer
}

// Copier keeps the copy of a counter on one peer. Calls that wait at the same
// time share one message.
type Copier struct {
	counter    *Counter
	copies     *Copies
	neighbours func() []Neighbour
	sending    chan struct{} // held while holder and passed are used
	holder     Source
	passed     map[Source]bool // copies of dead sources that the holder has too
}

// NewCopier returns a copier. The function returns the live peers in order of
// preference: those of the same data centre and on other racks first.
func NewCopier(c *Counter, copies *Copies, neighbours func() []Neighbour) *Copier {
	return &Copier{counter: c, copies: copies, neighbours: neighbours, sending: make(chan struct{}, 1)}
}

// Flush returns when the changes up to a number have a copy. It prefers the peer
// that holds the copy already.
func (c *Copier) Flush(ctx context.Context, sequence int64) error {
	select {
	case c.sending <- struct{}{}:
		defer func() { <-c.sending }()
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
	for _, n := range c.ordered(neighbours) {
		c.use(n.Source)
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

// use makes a peer the holder. A new holder lacks everything.
func (c *Copier) use(s Source) {
	if s == c.holder {
		return
	}
	c.holder, c.passed = s, map[Source]bool{}
	c.counter.Restart()
}

// Maintain copies what changed, for running streams. It finds another peer when
// the holder is gone, and passes on copies whose sender is dead, so that all
// counts are again in two places.
func (c *Copier) Maintain(ctx context.Context) error {
	c.sending <- struct{}{}
	defer func() { <-c.sending }()
	neighbours := c.neighbours()
	live := map[Source]bool{c.counter.Source(): true}
	for _, n := range neighbours {
		live[n.Source] = true
	}
	if !live[c.holder] && len(neighbours) > 0 {
		c.use(neighbours[0].Source)
	}
	if err := c.flush(ctx, c.counter.Sequence(), neighbours); err != nil {
		return err
	}
	i := slices.IndexFunc(neighbours, func(n Neighbour) bool { return n.Source == c.holder })
	if i < 0 {
		return nil
	}
	for _, s := range c.copies.orphans(live) {
		if c.passed[s] {
			continue
		}
		r := CopyRequest{Source: s, Sender: c.counter.Source(), Batches: c.copies.Get(s, timekeeper.Millis(math.MaxInt64)).Batches}
		if err := neighbours[i].Peer.Copy(ctx, r); err != nil {
			return errors.Wrapf(ErrNoCopy, "copy of %s: %v", s.Instance, err)
		}
		c.passed[s] = true
	}
	return nil
}

// ordered puts the present holder first.
func (c *Copier) ordered(all []Neighbour) []Neighbour {
	i := slices.IndexFunc(all, func(n Neighbour) bool { return n.Source == c.holder })
	if i <= 0 {
		return all
	}
	ordered := append([]Neighbour{all[i]}, all[:i]...)
	return append(ordered, all[i+1:]...)
}
