package assembler

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/distributor"
	"github.com/gypsumwharf/gypsumwharf/meter"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Messages about configuration, keys and usage.
const (
	methodStatus       = "status"
	methodWithdraw     = "withdraw"
	methodConfigFetch  = "config-fetch"
	methodUsageCopy    = "usage-copy"
	methodUsageCollect = "usage-collect"
)

const (
	// contactDeath is the silence after which an instance counts as dead.
	contactDeath = 4 * timekeeper.Second
	// contactForgotten is the silence after which an instance counts no longer as a neighbour.
	contactForgotten = 10 * timekeeper.Minute
	// messageTimeout bounds one message.
	messageTimeout = timekeeper.Second
	// listInterval is the time between reads of the platform's list while other
	// instances are heard; 340 instances make 11 reads a second.
	listInterval = 30 * timekeeper.Second
	// listSilence is the silence of all neighbours, or of all other data centres,
	// after which the list is read as a sign of the platform.
	listSilence = 1500 * timekeeper.Millisecond
	// maxBulkBytes is above the counts that a new holder of a copy is sent.
	maxBulkBytes = 32 << 20
)

// Check reports whether the contact is well formed.
func (j Contact) Check() error {
	if j.Instance == "" || j.DataCentre == "" || j.Address == "" {
		return errors.Errorf("contact %q of data centre %q at %q", j.Instance, j.DataCentre, j.Address)
	}
	return nil
}

// heard is a contact with the time of its last sign.
type heard struct {
	Contact
	at timekeeper.Millis
}

// contacts knows the other instances by exchanging contacts with all of them.
type contacts struct {
	instance *Instance

	mu            sync.Mutex
	known         map[string]heard // by instance name
	addresses     map[string]bool
	platformHeard timekeeper.Millis
	listAsked     timekeeper.Millis
	started       timekeeper.Millis
}

func newContacts(i *Instance) *contacts {
	c := &contacts{instance: i, known: map[string]heard{}, addresses: map[string]bool{}, started: i.clock.Now(), platformHeard: i.clock.Now()}
	for _, address := range i.settings.Peers {
		c.addresses[address] = true
	}
	i.messenger.Handle(methodStatus, handler(func(_ context.Context, other Contact) (any, error) {
		c.hear(other)
		return c.own(), nil
	}))
	return c
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
	i := c.instance
	return Contact{
		Instance: i.settings.Instance, Incarnation: i.incarnation, DataCentre: i.settings.DataCentre, Address: i.Addresses().Peer,
		Generation: i.configuration.distributor.Generation(), Withdrawals: i.configuration.keys.Set().Digest(),
		Reader: i.configuration.reading.Load(),
	}
}

func (c *contacts) hear(other Contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other.Instance == c.instance.settings.Instance || other.Incarnation < c.known[other.Instance].Incarnation {
		return
	}
	c.known[other.Instance] = heard{other, c.instance.clock.Now()}
	c.addresses[other.Address] = true
}

// run exchanges contacts until the context ends.
func (c *contacts) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() {
		c.instance.every(ctx, timekeeper.Second, func(ctx context.Context) {
			if c.listDue() {
				c.refresh(ctx)
			}
		})
	})
	group.Go(func() {
		c.instance.every(ctx, timekeeper.Millis(c.instance.settings.GossipMilliseconds), c.exchange)
	})
	group.Wait()
}

// listDue reports whether the platform's list should be read now. New instances
// make themselves known, so the list is a hint for the start and a sign of the
// platform for an instance that may be isolated or cut off.
func (c *contacts) listDue() bool {
	s := c.signs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.instance.clock.Now()
	silent := now-s.NeighbourHeard >= listSilence || (s.Remotes > 0 && now-s.RemoteHeard >= listSilence)
	if !silent && now-c.listAsked < listInterval {
		return false
	}
	c.listAsked = now
	return true
}

// refresh reads the platform's list; during an outage the known addresses stay in use.
func (c *contacts) refresh(ctx context.Context) {
	listed, err := c.instance.platform.Instances(ctx)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.instance.clock.Now()
	c.platformHeard = now
	c.addresses = map[string]bool{}
	for _, l := range listed {
		if l.Name != c.instance.settings.Instance {
			c.addresses[l.PeerAddress] = true
		}
	}
	for name, h := range c.known {
		if now-h.at > contactForgotten {
			delete(c.known, name)
			continue
		}
		c.addresses[h.Address] = true
	}
	for _, address := range c.instance.settings.Peers {
		c.addresses[address] = true
	}
}

func (c *contacts) exchange(ctx context.Context) {
	c.mu.Lock()
	var group sync.WaitGroup
	for address := range c.addresses {
		group.Go(func() {
			other, err := call[Contact](ctx, c.instance, address, methodStatus, c.own())
			if err == nil && other.Check() == nil {
				c.hear(other)
				c.instance.configuration.compare(ctx, other)
			}
		})
	}
	c.mu.Unlock()
	group.Wait()
}

// live returns the other instances that are not dead, in order of name.
func (c *contacts) live(dataCentre string) []heard {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []heard
	for _, h := range c.known {
		if c.instance.clock.Now()-h.at < contactDeath && (dataCentre == "" || h.DataCentre == dataCentre) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b heard) int { return strings.Compare(a.Instance, b.Instance) })
	return list
}

// readerHeard returns when the data centre's reader was last heard.
func (c *contacts) readerHeard() timekeeper.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.started
	for _, h := range c.known {
		if h.Reader && h.DataCentre == c.instance.settings.DataCentre {
			last = max(last, h.at)
		}
	}
	return last
}

// signs returns when each kind of contact was last heard.
func (c *contacts) signs() authenticator.Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := authenticator.Contact{
		Remotes:        len(c.instance.Catalogue().Declaration().DataCentres) - 1,
		NeighbourHeard: c.started, RemoteHeard: c.started, PlatformHeard: c.platformHeard,
	}
	for _, h := range c.known {
		if h.DataCentre == c.instance.settings.DataCentre {
			s.Neighbours++
			s.NeighbourHeard = max(s.NeighbourHeard, h.at)
			continue
		}
		s.RemoteHeard = max(s.RemoteHeard, h.at)
	}
	return s
}

// standing tells whom the instance can hear.
func (c *contacts) standing() authenticator.Standing {
	return c.signs().Standing(c.instance.clock.Now())
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
