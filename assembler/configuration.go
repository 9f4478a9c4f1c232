package assembler

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/distributor"
	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// configurationCheckInterval is the interval between checks whether the store must
	// be read and between removals of expired withdrawals.
	configurationCheckInterval = 200 * timekeeper.Millisecond
	// saveInterval is the interval between attempts to store new withdrawals.
	saveInterval = timekeeper.Second
	// sweepInterval is the interval between removals of unused shards.
	sweepInterval = timekeeper.Hour
)

// AppliedConfiguration is the configuration in force, as operators see it.
type AppliedConfiguration struct {
	Generation  int64                `json:"generation"`
	Author      string               `json:"author"`
	ApplyID     string               `json:"apply-id"`
	Declaration declarer.Declaration `json:"declaration"`
}

// ReadConfiguration reads the configuration in force. Generation 0 means that there is none.
func ReadConfiguration(ctx context.Context, o storer.Objects) (AppliedConfiguration, error) {
	d := distributor.New()
	if _, err := d.ReadStore(ctx, o); err != nil {
		return AppliedConfiguration{}, errors.Wrap(err, "read the configuration in force")
	}
	change := d.Manifest().Change
	return AppliedConfiguration{change.Generation, change.Author, change.ApplyID, d.Catalogue().Declaration()}, nil
}

// Publish puts a configuration in force on top of the stored one and returns its generation.
func Publish(ctx context.Context, o storer.Objects, author, applyID string, d declarer.Declaration) (int64, error) {
	base, _, err := distributor.ReadManifest(ctx, o)
	if err != nil {
		return 0, errors.Wrap(err, "read the configuration in force")
	}
	change, err := distributor.Publish(ctx, o, timekeeper.System(), distributor.Publication{
		Declaration: d, Author: author, ApplyID: applyID, Summary: "whole declaration", Base: base.Change.Generation,
	})
	return change.Generation, err
}

// configuration holds the newest configuration that the instance could read, and the
// access keys and their withdrawals.
type configuration struct {
	instance          *Instance
	contacts          *contacts
	distributor       *distributor.Distributor
	keys              *authenticator.Authenticator
	keeper            *authenticator.StoreWriter
	isReader          atomic.Bool // the instance performs the configuration-reader duty
	withdrawalsLoaded atomic.Bool // withdrawals were received from the store or a peer
	recordReady       sync.Once
}

func newConfiguration(i *Instance) *configuration {
	set := authenticator.NewSet()
	c := &configuration{
		instance: i, distributor: distributor.New(),
		keys: authenticator.New(set), keeper: authenticator.NewStoreWriter(set),
	}
	c.contacts = newContacts(i)
	i.messenger.Handle(methodConfigFetch, handler(func(_ context.Context, r distributor.FetchRequest) (any, error) {
		return c.distributor.HandleFetch(r), nil
	}))
	i.messenger.Handle(methodWithdraw, handler(c.onWithdraw))
	i.duties.add(leaser.LeaseDutyConfigurationReader, c.runReader)
	return c
}

func (c *configuration) catalogue() *declarer.Catalogue { return c.distributor.Catalogue() }

func (c *configuration) keyring() authenticator.CatalogueKeys {
	return authenticator.CatalogueKeys{Catalogue: c.catalogue()}
}

// run fetches the configuration from the store and from peers until the context ends.
func (c *configuration) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.contacts.run(ctx) })
	group.Go(func() { c.pollStore(ctx) })
	group.Wait()
}

// pollStore reads the store until the instance has a configuration. Later it reads the
// store only when the data centre's reader was not seen for some time.
func (c *configuration) pollStore(ctx context.Context) {
	last, jitter := timekeeper.Millis(0), rand.Float64()
	c.instance.every(ctx, configurationCheckInterval, func(ctx context.Context) {
		now := c.instance.clock.Now()
		c.keys.Set().Prune(c.keyring(), now)
		if !c.withdrawalsLoaded.Load() && c.keys.Set().Load(ctx, c.instance.platform, c.keyring(), now) == nil {
			c.withdrawalsLoaded.Store(true)
		}
		started := c.distributor.Generation() > 0
		if started && (c.isReader.Load() || now < distributor.NextPoll(now, last, c.contacts.readerLastSeen(), jitter)) {
			return
		}
		last, jitter = now, rand.Float64()
		c.recordAdoption(c.distributor.ReadStore(ctx, c.instance.platform))
	})
}

// runReader watches the store while the instance is the reader of its data centre.
func (c *configuration) runReader(ctx context.Context, _ leaser.Tenure) {
	c.isReader.Store(true)
	defer c.isReader.Store(false)
	var group sync.WaitGroup
	group.Go(func() {
		c.instance.every(ctx, saveInterval, func(ctx context.Context) {
			// A failed write is retried after the next interval.
			_ = c.keeper.Save(ctx, c.instance.platform, c.keyring(), c.instance.clock.Now())
		})
	})
	group.Go(func() {
		c.instance.every(ctx, sweepInterval, func(ctx context.Context) {
			_, _ = c.distributor.Sweep(ctx, c.instance.platform, c.instance.clock.Now())
		})
	})
	c.recordAdoption(c.distributor.ReadStore(ctx, c.instance.platform))
	var after storer.Version
	for ctx.Err() == nil {
		adopted, next, err := c.distributor.WatchStore(ctx, c.instance.platform, after)
		c.recordAdoption(adopted, err)
		after = next
		if err != nil {
			timekeeper.Sleep(ctx, timekeeper.Millis(rand.Int64N(int64(timekeeper.Second))))
		}
	}
	group.Wait()
}

// syncWith exchanges withdrawals with another instance and fetches its configuration if
// that is newer.
func (c *configuration) syncWith(ctx context.Context, other livePeer) {
	peer := remotePeer{c.instance, other.Address}
	if other.Withdrawals != c.keys.Set().Digest() {
		fresh, err := c.keys.Set().Push(ctx, peer, c.keys.Set().List(), c.keyring(), c.instance.clock.Now())
		c.applyWithdrawals(fresh)
		if err != nil {
			return
		}
	}
	c.withdrawalsLoaded.Store(true)
	if other.Generation > c.distributor.Generation() {
		c.recordAdoption(c.distributor.FetchFrom(ctx, peer))
	}
}

// recordAdoption records that a generation was adopted or refused.
func (c *configuration) recordAdoption(adopted bool, err error) {
	if errors.Is(err, distributor.ErrNotNewer) || errors.Is(err, distributor.ErrInvalid) {
		c.instance.recorder.Record(recorder.Event{Code: recorder.GenerationRefused, Cause: err.Error()})
	}
	if !adopted {
		return
	}
	c.instance.recorder.Record(recorder.Event{
		Code: recorder.GenerationAdopted, Cause: "generation " + strconv.FormatInt(c.distributor.Generation(), 10),
	})
	c.recordReady.Do(func() { c.instance.recorder.Record(recorder.Event{Code: recorder.ProcessReady}) })
}

// checkReady returns why the instance cannot accept requests with access keys, or nil.
func (c *configuration) checkReady() error {
	if !c.withdrawalsLoaded.Load() {
		return errors.New("withdrawn keys are not known yet")
	}
	if c.contacts.standing() == authenticator.Isolated {
		return authenticator.ErrIsolated
	}
	return nil
}
