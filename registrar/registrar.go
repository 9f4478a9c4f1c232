// Package registrar keeps an instance's entry in the store and discovers the other
// instances from theirs. The list may be stale and name instances that no longer run.
package registrar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/sharer"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Kind is the kind of the entries in the store.
const Kind = "instances"

const (
	// callTimeout bounds a call on the store, which answers within milliseconds.
	callTimeout = 1500 * timekeeper.Millisecond
	// settleDelay is the time from the instance's registration to its first listing, in
	// which instances that start together register.
	settleDelay = 400 * timekeeper.Millisecond
	// discoveryInterval is the time between listings until other instances are found.
	discoveryInterval = 500 * timekeeper.Millisecond
	// minInterval is the time between listings in a small fleet. The time grows with the
	// fleet, as does the size of a listing, up to maxInterval.
	minInterval = 3 * timekeeper.Second
	maxInterval = 15 * timekeeper.Second
	// smallFleet is the number of instances up to which minInterval applies.
	smallFleet = 20
	// renewInterval is the age at which an instance renews its entry.
	renewInterval = timekeeper.Minute
	// eraSpread is the time over which instances spread their registrations then.
	eraSpread = 2 * timekeeper.Second
	// eraGrace is how long instances that a listing lacks then are kept: until those have
	// renewed their entries that don't notice.
	eraGrace = renewInterval * 3 / 2
	// entryTTL is the age at which an entry is removed. It is far above renewInterval and
	// any clock skew between two instances.
	entryTTL = 20 * timekeeper.Minute
)

var errInvalidEntry = errors.New("invalid instance entry")

// Check returns an error unless the entry has a valid peer address and a data centre.
func (e Entry) Check() error {
	if _, err := netip.ParseAddrPort(e.PeerAddress); err != nil {
		return errors.Wrap(errInvalidEntry, err.Error())
	}
	if e.DataCentre == "" {
		return errors.Wrap(errInvalidEntry, "data centre is missing")
	}
	return nil
}

// Store is the part of the store that a registrar uses.
type Store interface {
	storer.Objects
	storer.Feed
	storer.Eras
}

// Registrar registers one instance. It is used by one goroutine.
type Registrar struct {
	store     Store
	clock     timekeeper.Clock
	name      string
	entry     Entry
	version   storer.Version
	renewedAt timekeeper.Reading
	attempted bool // A registration was sent.
	known     bool // An earlier process had registered the instance.
	onError   func(error)
	onRewrite func()

	era        storer.Era         // In which the entry was written or is about to be.
	returnedAt timekeeper.Reading // When the store last came back from a copy; zero if it did not.
	peers      []sharer.Peer      // As last listed.
}

// New returns a registrar for the instance with a name; onError is called with each failure.
func New(s Store, c timekeeper.Clock, name string, e Entry, onError func(error)) *Registrar {
	return &Registrar{store: s, clock: c, name: Kind + "/" + name, entry: e, onError: onError, onRewrite: func() {}}
}

// OnRewrite sets a function that is called when the entry was written again because the store
// has come back from a copy. It must be called before Run.
func (r *Registrar) OnRewrite(f func()) { r.onRewrite = f }

// Run registers the instance and calls update with the other instances after each
// successful listing, until the context ends. While the store is unavailable, update is
// not called, so the last list stays in use.
func (r *Registrar) Run(ctx context.Context, update func([]sharer.Peer)) {
	wait := discoveryInterval
	listings := 0
	for ctx.Err() == nil {
		r.noticeEra(ctx)
		if r.renewedAt == (timekeeper.Reading{}) || r.clock.Read().Since(r.renewedAt) >= renewInterval {
			lost := r.renewedAt == (timekeeper.Reading{}) && r.returnedAt != (timekeeper.Reading{})
			switch err := r.register(ctx); {
			case err != nil && ctx.Err() == nil:
				r.onError(errors.Wrap(err, "register"))
			case err == nil && lost:
				r.onRewrite()
			}
		}
		if listings == 0 {
			timekeeper.Sleep(ctx, settleDelay)
		}
		peers, err := r.list(ctx, listings == 0)
		switch {
		case err == nil:
			listings++
			peers = r.keep(peers)
			update(peers)
			if len(peers) > 0 {
				wait = min(max(minInterval, minInterval*timekeeper.Millis(len(peers))/smallFleet), maxInterval)
			}
		case ctx.Err() == nil:
			r.onError(errors.Wrap(err, "list other instances"))
		}
		r.await(ctx, wait)
	}
}

// noticeEra makes the instance register again if the store has a new era.
func (r *Registrar) noticeEra(ctx context.Context) {
	era := r.store.Era()
	if era == r.era {
		return
	}
	if r.attempted && r.era != 0 {
		r.returnedAt, r.renewedAt = r.clock.Read(), timekeeper.Reading{}
		timekeeper.Sleep(ctx, timekeeper.Millis(rand.Int64N(int64(eraSpread))))
	}
	r.era = era
}

// await waits for a time, or until the store has a new era.
func (r *Registrar) await(ctx context.Context, wait timekeeper.Millis) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	r.store.AwaitEra(ctx, r.era)
}

// keep returns the listed instances with those that a listing lacks because the store has
// come back from a copy.
func (r *Registrar) keep(listed []sharer.Peer) []sharer.Peer {
	if r.returnedAt != (timekeeper.Reading{}) && r.clock.Read().Since(r.returnedAt) < eraGrace {
		present := map[string]bool{}
		for _, p := range listed {
			present[p.Name] = true
		}
		for _, p := range r.peers {
			if !present[p.Name] {
				listed = append(listed, p)
			}
		}
	}
	r.peers = listed
	return listed
}

// Known reports whether an earlier process had registered the instance. It is called by
// the function that Run is given.
func (r *Registrar) Known() bool { return r.known }

// register writes the instance's entry. It replaces that of an earlier process of the instance.
func (r *Registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	now := r.clock.Read()
	r.entry.Seen = now.Wall
	data, err := json.Marshal(r.entry)
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	version, err := r.store.Put(ctx, r.name, data, r.version)
	if !r.attempted { // A later conflict may be with an entry of this process.
		r.attempted, r.known = true, errors.Is(err, storer.ErrConflict)
	}
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) || errors.Is(err, storer.ErrOutcomeUnknown) {
		_, r.version, err = storer.Get(ctx, r.store, r.name, func([]byte) (struct{}, error) { return struct{}{}, nil })
		if err == nil {
			version, err = r.store.Put(ctx, r.name, data, r.version)
		}
	}
	if err != nil {
		return err
	}
	r.version, r.renewedAt = version, now
	return nil
}

// list returns the other instances; a fresh list includes those that have just registered.
func (r *Registrar) list(ctx context.Context, fresh bool) ([]sharer.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var objects []storer.Object
	var err error
	if fresh {
		objects, _, err = r.store.Snapshot(ctx, Kind)
	} else {
		objects, err = r.store.StaleSnapshot(ctx, Kind)
	}
	if err != nil {
		return nil, err
	}
	peers := []sharer.Peer{}
	for _, o := range objects {
		var e Entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			r.onError(errors.Wrapf(errInvalidEntry, "%s: %s", o.Name, err))
			continue
		}
		if err := e.Check(); err != nil {
			r.onError(errors.Wrap(err, o.Name))
			continue
		}
		address, _ := netip.ParseAddrPort(e.PeerAddress) // Checked above.
		if o.Name == r.name || e.PeerAddress == r.entry.PeerAddress {
			continue
		}
		peers = append(peers, sharer.Peer{
			Name: strings.TrimPrefix(o.Name, Kind+"/"), Address: address, DataCentre: e.DataCentre, ProcessorShare: e.Strength,
		})
	}
	return peers, nil
}

// RemoveExpired removes entries that were not renewed within entryTTL, and those that cannot be
// decoded. Only one instance at a time needs to call it.
func RemoveExpired(ctx context.Context, s Store, now timekeeper.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	objects, err := s.StaleSnapshot(ctx, Kind)
	if err != nil {
		return err
	}
	for _, o := range objects {
		var e Entry
		if json.Unmarshal(o.Value, &e) == nil && now-entryTTL < e.Seen && e.Seen < now+entryTTL {
			continue
		}
		// The expected version keeps an entry that was renewed in the meantime.
		if err := s.Delete(ctx, o.Name, o.Version); err != nil && !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
	}
	return nil
}
