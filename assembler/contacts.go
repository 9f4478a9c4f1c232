package assembler

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/distributor"
	"github.com/gypsumwharf/gypsumwharf/gossiper"
	"github.com/gypsumwharf/gypsumwharf/meter"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Messages about configuration, keys and usage.
const (
	methodWithdraw     = "withdraw"
	methodConfigFetch  = "config-fetch"
	methodUsageCopy    = "usage-copy"
	methodUsageCollect = "usage-collect"
)

const (
	// contactKind is the gossip record of a Contact.
	contactKind = "contact"
	// compareInterval is the interval between comparisons with an instance that differs.
	compareInterval = 2 * timekeeper.Second
	// messageTimeout bounds one message.
	messageTimeout = timekeeper.Second
	// maxBulkBytes is above the counts that a new holder of a copy is sent.
	maxBulkBytes = 32 << 20
	// maxDigestBytes bounds the digest of the withdrawals in a contact.
	maxDigestBytes = 256
)

// Check reports whether the contact is well formed.
func (j Contact) Check() error {
	if j.Generation < 0 || len(j.Withdrawals) > maxDigestBytes {
		return errors.Errorf("contact with generation %d and a digest of %d bytes", j.Generation, len(j.Withdrawals))
	}
	return nil
}

// heard is a live instance with what it tells of its configuration, if that is known.
type heard struct {
	Contact
	Instance    string
	Incarnation int64
	Address     string
	known       bool
}

// contacts knows the configuration of the other instances by gossip.
type contacts struct {
	instance *Instance
	news     chan string // instances whose contact changed

	mu        sync.Mutex
	published Contact
	reader    timekeeper.Millis // when the data centre's reader was last live
	started   timekeeper.Millis
}

// maxNews bounds the changed contacts that wait; the regular comparison finds the rest.
const maxNews = 64

func newContacts(i *Instance) *contacts {
	now := i.clock.Now()
	return &contacts{instance: i, news: make(chan string, maxNews), reader: now, started: now}
}

// handler decodes and checks a message before it is handled.
func handler[T interface{ Check() error }](handle func(context.Context, T) (any, error)) func(context.Context, json.RawMessage) (any, error) {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var message T
		if len(params) > maxBulkBytes {
			return nil, errors.Errorf("message of %d bytes is too large", len(params))
		}
		if err := json.Unmarshal(params, &message); err != nil {
			return nil, errors.Wrap(err, "decode message of peer")
		}
		if err := message.Check(); err != nil {
			return nil, err
		}
		return handle(ctx, message)
	}
}

func (c *contacts) own() Contact {
	configuration := c.instance.configuration
	return Contact{
		Generation: configuration.distributor.Generation(), Withdrawals: configuration.keys.Set().Digest(), Reader: configuration.reading.Load(),
	}
}

// run publishes the own contact and compares with those that differ, until the context ends.
func (c *contacts) run(ctx context.Context) {
	c.instance.membership.gossiper.Subscribe(contactKind, func(u gossiper.Update) {
		if u.Gone || u.Owner == c.instance.settings.Instance {
			return
		}
		select {
		case c.news <- u.Owner:
		default:
		}
	})
	var group sync.WaitGroup
	group.Go(func() {
		c.instance.every(ctx, timekeeper.Millis(c.instance.settings.GossipMilliseconds), func(context.Context) { c.publish() })
	})
	group.Go(func() { c.instance.every(ctx, compareInterval, c.compareOne) })
	group.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case name := <-c.news:
				c.compareWith(ctx, name)
			}
		}
	})
	group.Wait()
}

// publish tells the others of a changed contact. The reader's is urgent: all
// others learn of a new generation from it.
func (c *contacts) publish() {
	own := c.own()
	c.mu.Lock()
	same := own == c.published
	c.published = own
	c.mu.Unlock()
	if same {
		return
	}
	class := gossiper.Normal
	if own.Reader {
		class = gossiper.Urgent
	}
	// A struct of strings and numbers encodes, and it is below the bound of a record.
	payload, _ := json.Marshal(own)
	_ = c.instance.membership.gossiper.Publish(c.instance.clock.Now(), contactKind, payload, class)
}

func (c *contacts) compareWith(ctx context.Context, name string) {
	for _, h := range c.live("") {
		if h.Instance == name && h.known {
			c.instance.configuration.compare(ctx, h)
		}
	}
}

// compareOne compares with one instance, which repairs what a failed comparison left.
func (c *contacts) compareOne(ctx context.Context) {
	own := c.own()
	var differing []heard
	for _, h := range c.live("") {
		if h.known && (h.Generation > own.Generation || h.Withdrawals != own.Withdrawals || !c.instance.configuration.loaded.Load()) {
			differing = append(differing, h)
		}
	}
	if len(differing) > 0 {
		c.instance.configuration.compare(ctx, differing[rand.IntN(len(differing))])
	}
}

// live returns the other instances that are not dead, in order of name; an empty
// data centre means all.
func (c *contacts) live(dataCentre string) []heard {
	g := c.instance.membership.gossiper
	var list []heard
	for _, m := range g.Members() {
		if m.Name == c.instance.settings.Instance || !m.Live() || dataCentre != "" && m.DataCentre != dataCentre {
			continue
		}
		h := heard{Instance: m.Name, Incarnation: m.Process, Address: m.PeerAddress}
		if u, ok := g.Record(m.Name, contactKind); ok {
			var other Contact
			if json.Unmarshal(u.Data, &other) == nil && other.Check() == nil {
				h.Contact, h.known = other, true
			}
		}
		list = append(list, h)
	}
	return list
}

// readerHeard returns when the data centre's reader was last live.
func (c *contacts) readerHeard() timekeeper.Millis {
	for _, h := range c.live(c.instance.settings.DataCentre) {
		if h.Reader {
			c.mu.Lock()
			c.reader = c.instance.clock.Now()
			c.mu.Unlock()
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader
}

// standing tells whom the instance can hear.
func (c *contacts) standing() authenticator.Standing {
	now, g := c.instance.clock.Now(), c.instance.membership.gossiper
	reach := g.Reach(now)
	s := authenticator.Contact{Remotes: len(c.instance.Catalogue().Declaration().DataCentres) - 1, RemoteHeard: c.started}
	s.NeighbourHeard, s.PlatformHeard = g.LastHeard()
	for _, m := range g.Members() {
		switch {
		case m.Name == c.instance.settings.Instance:
		case m.DataCentre == c.instance.settings.DataCentre:
			s.Neighbours++
		case !reach.CutOff && !reach.Isolated:
			// The relays of the data centre hear for all of it.
			s.RemoteHeard = now
		}
	}
	return s.Standing(now)
}

// call sends a message with a deadline and decodes the answer.
func call[T any](ctx context.Context, i *Instance, address, method string, message any) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, messageTimeout.Duration())
	defer cancel()
	return answer, i.messenger.Call(ctx, address, method, message, &answer)
}

// remote is another instance at an address; it implements the peers of the decision packages.
type remote struct {
	instance *Instance
	address  string
}

// Fetch implements distributor.Peer.
func (r remote) Fetch(ctx context.Context, request distributor.FetchRequest) (distributor.FetchAnswer, error) {
	return call[distributor.FetchAnswer](ctx, r.instance, r.address, methodConfigFetch, request)
}

// Withdraw implements authenticator.Peer.
func (r remote) Withdraw(ctx context.Context, request authenticator.WithdrawRequest) (authenticator.WithdrawAnswer, error) {
	return call[authenticator.WithdrawAnswer](ctx, r.instance, r.address, methodWithdraw, request)
}

// Copy implements meter.Peer.
func (r remote) Copy(ctx context.Context, request meter.CopyRequest) error {
	_, err := call[struct{}](ctx, r.instance, r.address, methodUsageCopy, request)
	return err
}

// Collect implements meter.Peer.
func (r remote) Collect(ctx context.Context, request meter.CollectRequest) (meter.CollectAnswer, error) {
	return call[meter.CollectAnswer](ctx, r.instance, r.address, methodUsageCollect, request)
}
