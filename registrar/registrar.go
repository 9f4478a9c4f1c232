// Package registrar keeps an instance's entry in the store and finds the other
// instances there. The list lags and may name instances that are gone.
package registrar

import (
	"context"
	"encoding/json"
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
	// settle is the time from the own registration to the first look, in which
	// instances that start together register.
	settle = 400 * timekeeper.Millisecond
	// firstInterval is the time between looks until others are found.
	firstInterval = 500 * timekeeper.Millisecond
	// interval is the time between looks in a small fleet. It grows with the fleet,
	// because the list does, up to lastInterval.
	interval     = 3 * timekeeper.Second
	lastInterval = 15 * timekeeper.Second
	// intervalFleet is the number of instances for which interval holds.
	intervalFleet = 20
	// renewal is the time after which an instance renews its entry.
	renewal = timekeeper.Minute
	// forgotten is the age at which an entry is removed. It is far above renewal and
	// any difference of two instances' clocks.
	forgotten = 20 * timekeeper.Minute
)

var errEntry = errors.New("entry names no instance")

// Check reports whether the entry names an instance that can be told something.
func (e Entry) Check() error {
	if _, err := netip.ParseAddrPort(e.PeerAddress); err != nil {
		return errors.Wrap(errEntry, err.Error())
	}
	if e.DataCentre == "" {
		return errors.Wrap(errEntry, "data centre is missing")
	}
	return nil
}

// Store is the part of the store that a registrar uses.
type Store interface {
	storer.Objects
	storer.Feed
}

// Registrar registers one instance. It is used by one goroutine.
type Registrar struct {
	store   Store
	clock   timekeeper.Clock
	name    string
	entry   Entry
	version storer.Version
	renewed timekeeper.Reading
	failed  func(error)
}

// New returns a registrar of the instance with a name.
func New(s Store, c timekeeper.Clock, name string, e Entry, failed func(error)) *Registrar {
	return &Registrar{store: s, clock: c, name: Kind + "/" + name, entry: e, failed: failed}
}

// Run passes the other instances to take whenever it looked, until the context
// ends. While the store is away, those found before remain.
func (r *Registrar) Run(ctx context.Context, take func([]sharer.Peer)) {
	wait := firstInterval
	looks := 0
	for ctx.Err() == nil {
		if r.renewed == (timekeeper.Reading{}) || r.clock.Read().Since(r.renewed) >= renewal {
			if err := r.register(ctx); err != nil && ctx.Err() == nil {
				r.failed(errors.Wrap(err, "register"))
			}
		}
		if looks == 0 {
			timekeeper.Sleep(ctx, settle)
		}
		peers, err := r.look(ctx, looks == 0)
		switch {
		case err == nil:
			looks++
			take(peers)
			if len(peers) > 0 {
				wait = min(max(interval, interval*timekeeper.Millis(len(peers))/intervalFleet), lastInterval)
			}
		case ctx.Err() == nil:
			r.failed(errors.Wrap(err, "look for other instances"))
		}
		timekeeper.Sleep(ctx, wait)
	}
}

// register writes the own entry. An entry of an earlier process of this instance is replaced.
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
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) || errors.Is(err, storer.ErrUncertain) {
		_, r.version, err = storer.Get(ctx, r.store, r.name, func([]byte) (struct{}, error) { return struct{}{}, nil })
		if err == nil {
			version, err = r.store.Put(ctx, r.name, data, r.version)
		}
	}
	if err != nil {
		return err
	}
	r.version, r.renewed = version, now
	return nil
}

// look returns the other instances; a fresh look sees those that registered just now.
func (r *Registrar) look(ctx context.Context, fresh bool) ([]sharer.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var objects []storer.Object
	var err error
	if fresh {
		objects, _, err = r.store.Snapshot(ctx, Kind)
	} else {
		objects, err = r.store.Glance(ctx, Kind)
	}
	if err != nil {
		return nil, err
	}
	peers := []sharer.Peer{}
	for _, o := range objects {
		var e Entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			r.failed(errors.Wrapf(errEntry, "%s: %s", o.Name, err))
			continue
		}
		if err := e.Check(); err != nil {
			r.failed(errors.Wrap(err, o.Name))
			continue
		}
		address, _ := netip.ParseAddrPort(e.PeerAddress) // Checked above.
		if o.Name == r.name || e.PeerAddress == r.entry.PeerAddress {
			continue
		}
		peers = append(peers, sharer.Peer{
			Name: strings.TrimPrefix(o.Name, Kind+"/"), Address: address, DataCentre: e.DataCentre, Strength: e.Strength,
		})
	}
	return peers, nil
}

// Clean removes the entries of instances that have not renewed theirs for long.
// One instance at a time needs to do so.
func Clean(ctx context.Context, s Store, now timekeeper.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	objects, err := s.Glance(ctx, Kind)
	if err != nil {
		return err
	}
	for _, o := range objects {
		var e Entry
		if json.Unmarshal(o.Value, &e) == nil && now-e.Seen < forgotten {
			continue
		}
		// The condition keeps an entry that was renewed meanwhile.
		if err := s.Delete(ctx, o.Name, o.Version); err != nil && !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrNotFound) {
			return err
		}
	}
	return nil
}
