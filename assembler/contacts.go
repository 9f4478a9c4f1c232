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

// Methods of messages about configuration, keys and usage.
const (
	methodWithdraw     = "withdraw"
	methodConfigFetch  = "config-fetch"
	methodUsageCopy    = "usage-copy"
	methodUsageCollect = "usage-collect"
)

const (
	// contactKind is the kind of the gossip record that holds a Contact.
	contactKind = "contact"
	// syncInterval is the interval between synchronisations with a random instance that differs.
	syncInterval = 2 * timekeeper.Second
	// messageTimeout is the timeout of one message and its answer.
	messageTimeout = timekeeper.Second
	// maxMessageBytes is above the size of the usage counts that a new holder of a copy receives.
	maxMessageBytes = 32 << 20
	// messageFrameBytes is what a message may have beside its parameters.
	messageFrameBytes = 4 << 10
	// maxDigestBytes bounds the digest of the withdrawals in a Contact.
	maxDigestBytes = 256
)

// Check returns an error if the contact is not well formed.
func (j Contact) Check() error {
	if j.Generation < 0 || len(j.Withdrawals) > maxDigestBytes {
		return errors.Errorf("invalid contact: generation %d, digest of %d bytes", j.Generation, len(j.Withdrawals))
	}
	return nil
}

// livePeer is another live instance with the last Contact that it published, if any.
type livePeer struct {
	Contact
	Instance    string
	Incarnation int64
	Address     string
	hasContact  bool
}

// contacts tracks by gossip which configuration and withdrawals the other instances have.
type contacts struct {
	instance *Instance
	changed  chan string // names of instances whose contact changed

	mu         sync.Mutex
	published  Contact
	readerSeen timekeeper.Millis // when the data centre's reader was last seen
	started    timekeeper.Millis
}

// maxChangedContacts bounds the queue of changed contacts. Periodic synchronisation
// covers those that do not fit.
const maxChangedContacts = 64

func newContacts(i *Instance) *contacts {
	now := i.clock.Now()
	return &contacts{instance: i, changed: make(chan string, maxChangedContacts), readerSeen: now, started: now}
}

// handler wraps a function that handles decoded messages. It rejects messages that are
// too large or not well formed.
func handler[T interface{ Check() error }](handle func(context.Context, T) (any, error)) func(context.Context, json.RawMessage) (any, error) {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var message T
		if len(params) > maxMessageBytes {
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

func (c *contacts) local() Contact {
	configuration := c.instance.configuration
	return Contact{
		Generation: configuration.distributor.Generation(), Withdrawals: configuration.keys.Set().Digest(), Reader: configuration.isReader.Load(),
	}
}

// run publishes the local contact and synchronises with instances that differ, until
// the context ends.
func (c *contacts) run(ctx context.Context) {
	c.instance.membership.gossiper.Subscribe(contactKind, func(u gossiper.Update) {
		if u.Removed || u.Owner == c.instance.settings.Instance {
			return
		}
		select {
		case c.changed <- u.Owner:
		default:
		}
	})
	var group sync.WaitGroup
	group.Go(func() {
		c.instance.every(ctx, timekeeper.Millis(c.instance.settings.GossipMilliseconds), func(context.Context) { c.publish() })
	})
	group.Go(func() { c.instance.every(ctx, syncInterval, c.syncWithRandomPeer) })
	group.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case name := <-c.changed:
				c.syncWithPeer(ctx, name)
			}
		}
	})
	group.Wait()
}

// publish publishes the local contact if it changed. The reader's is urgent, because the
// other instances learn of a new generation from it.
func (c *contacts) publish() {
	local := c.local()
	c.mu.Lock()
	same := local == c.published
	c.published = local
	c.mu.Unlock()
	if same {
		return
	}
	class := gossiper.Normal
	if local.Reader {
		class = gossiper.Urgent
	}
	// Encoding cannot fail for a struct of strings, numbers and booleans, and a Contact is
	// smaller than the bound of a record.
	payload, _ := json.Marshal(local)
	_ = c.instance.membership.gossiper.Publish(c.instance.clock.Now(), contactKind, payload, class)
}

func (c *contacts) syncWithPeer(ctx context.Context, name string) {
	for _, p := range c.livePeers("") {
		if p.Instance == name && p.hasContact {
			c.instance.configuration.syncWith(ctx, p)
		}
	}
}

// syncWithRandomPeer synchronises with a random instance that differs. It makes up for
// failed and missed synchronisations.
func (c *contacts) syncWithRandomPeer(ctx context.Context) {
	local := c.local()
	var differing []livePeer
	for _, p := range c.livePeers("") {
		if p.hasContact && (p.Generation > local.Generation || p.Withdrawals != local.Withdrawals || !c.instance.configuration.withdrawalsLoaded.Load()) {
			differing = append(differing, p)
		}
	}
	if len(differing) > 0 {
		c.instance.configuration.syncWith(ctx, differing[rand.IntN(len(differing))])
	}
}

// livePeers returns the other live instances of a data centre in order of name; an
// empty name means all data centres.
func (c *contacts) livePeers(dataCentre string) []livePeer {
	g := c.instance.membership.gossiper
	var list []livePeer
	for _, m := range g.Members() {
		if m.Name == c.instance.settings.Instance || !m.Live() || dataCentre != "" && m.DataCentre != dataCentre {
			continue
		}
		p := livePeer{Instance: m.Name, Incarnation: m.ProcessIncarnation, Address: m.PeerAddress}
		if u, ok := g.Record(m.Name, contactKind); ok {
			var other Contact
			if json.Unmarshal(u.Data, &other) == nil && other.Check() == nil {
				p.Contact, p.hasContact = other, true
			}
		}
		list = append(list, p)
	}
	return list
}

// readerLastSeen returns when the data centre's reader was last seen live.
func (c *contacts) readerLastSeen() timekeeper.Millis {
	for _, p := range c.livePeers(c.instance.settings.DataCentre) {
		if p.Reader {
			c.mu.Lock()
			c.readerSeen = c.instance.clock.Now()
			c.mu.Unlock()
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readerSeen
}

// standing returns which parts of the deployment the instance is in contact with.
func (c *contacts) standing() authenticator.Connectivity {
	now, g := c.instance.clock.Now(), c.instance.membership.gossiper
	reach := g.Connectivity(now)
	s := authenticator.Reachability{RemoteDataCentres: len(c.instance.Catalogue().Declaration().DataCentres) - 1, RemoteLastSeen: c.started}
	s.NeighbourLastSeen, s.PlatformLastSeen = g.LastContact()
	for _, m := range g.Members() {
		switch {
		case m.Name == c.instance.settings.Instance:
		case m.DataCentre == c.instance.settings.DataCentre:
			s.Neighbours++
		case !reach.CutOff && !reach.Isolated:
			// The relays receive gossip of other data centres for the whole data centre.
			s.RemoteLastSeen = now
		}
	}
	return s.Connectivity(now)
}

// call sends a message with a timeout and decodes the answer.
func call[T any](ctx context.Context, i *Instance, address, method string, message any) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, messageTimeout.Duration())
	defer cancel()
	return answer, i.messenger.Call(ctx, address, method, message, &answer)
}

// remotePeer is another instance at an address. It implements the Peer interfaces of
// distributor, authenticator and meter.
type remotePeer struct {
	instance *Instance
	address  string
}

// Fetch implements distributor.Peer.
func (r remotePeer) Fetch(ctx context.Context, request distributor.FetchRequest) (distributor.FetchAnswer, error) {
	return call[distributor.FetchAnswer](ctx, r.instance, r.address, methodConfigFetch, request)
}

// Withdraw implements authenticator.Peer.
func (r remotePeer) Withdraw(ctx context.Context, request authenticator.WithdrawRequest) (authenticator.WithdrawAnswer, error) {
	return call[authenticator.WithdrawAnswer](ctx, r.instance, r.address, methodWithdraw, request)
}

// Copy implements meter.Peer.
func (r remotePeer) Copy(ctx context.Context, request meter.CopyRequest) error {
	_, err := call[struct{}](ctx, r.instance, r.address, methodUsageCopy, request)
	return err
}

// Collect implements meter.Peer.
func (r remotePeer) Collect(ctx context.Context, request meter.CollectRequest) (meter.CollectAnswer, error) {
	return call[meter.CollectAnswer](ctx, r.instance, r.address, methodUsageCollect, request)
}
