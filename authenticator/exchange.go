package authenticator

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// StorePrefix is where the set is stored: 16 objects by the first four bits of
// the hash. At 45 bytes a record they hold 370,000 withdrawals within 1 MB each.
const StorePrefix = "withdrawals/"

// storeAttempts bounds the writes of one object against other writers.
const storeAttempts = 4

// Peer exchanges withdrawals with one other instance.
type Peer interface {
	Withdraw(ctx context.Context, r WithdrawRequest) (WithdrawAnswer, error)
}

// Check reports whether the request is well formed.
func (r WithdrawRequest) Check() error {
	if r.Withdrawals == nil {
		return nil
	}
	return r.Withdrawals.Check()
}

// Check reports whether the answer is well formed.
func (a WithdrawAnswer) Check() error {
	if a.Withdrawals == nil {
		return nil
	}
	return a.Withdrawals.Check()
}

// Receive merges a pushed set and answers with the own set if the digests still
// differ. It returns the withdrawals that were new.
func (s *Set) Receive(r WithdrawRequest, c Catalogue, now timekeeper.Millis) (WithdrawAnswer, []Withdrawal, error) {
	var fresh []Withdrawal
	if r.Withdrawals != nil {
		list, err := r.Withdrawals.Decode()
		if err != nil {
			return WithdrawAnswer{}, nil, err
		}
		for _, w := range list {
			if s.MergeFrom([]Withdrawal{w}, c, now) == 1 {
				fresh = append(fresh, w)
			}
		}
	}
	answer := WithdrawAnswer{Digest: s.Digest()}
	if answer.Digest != r.Digest {
		own := Encode(s.List())
		answer.Withdrawals = &own
	}
	return answer, fresh, nil
}

// Push sends withdrawals to a peer and merges what the peer has besides.
func (s *Set) Push(ctx context.Context, p Peer, list []Withdrawal, c Catalogue, now timekeeper.Millis) ([]Withdrawal, error) {
	r := WithdrawRequest{Digest: s.Digest()}
	if len(list) > 0 {
		encoded := Encode(list)
		r.Withdrawals = &encoded
	}
	answer, err := p.Withdraw(ctx, r)
	if err != nil {
		return nil, errors.Wrap(err, "push withdrawals")
	}
	if answer.Withdrawals == nil {
		return nil, nil
	}
	_, fresh, err := s.Receive(WithdrawRequest{Digest: s.Digest(), Withdrawals: answer.Withdrawals}, c, now)
	return fresh, err
}

func objectName(part int) string { return StorePrefix + string("0123456789abcdef"[part]) }

// part returns the withdrawals whose hash starts with four given bits.
func (s *Set) part(n int) []Withdrawal {
	var list []Withdrawal
	for _, w := range s.List() {
		if int(w.Hash[0]>>4) == n {
			list = append(list, w)
		}
	}
	return list
}

// Load merges the stored set. It is called by a starting instance.
func (s *Set) Load(ctx context.Context, o storer.Objects, c Catalogue, now timekeeper.Millis) error {
	objects, err := o.List(ctx, StorePrefix)
	if err != nil {
		return errors.Wrap(err, "list withdrawals")
	}
	for _, object := range objects {
		stored, _, err := storer.Get(ctx, o, object.Name, decodeList)
		if err != nil {
			return errors.Wrap(err, "read withdrawals")
		}
		s.MergeFrom(stored, c, now)
	}
	return nil
}

func decodeList(data []byte) ([]Withdrawal, error) {
	var encoded Withdrawals
	if err := json.Unmarshal(data, &encoded); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return encoded.Decode()
}

// Keeper stores the set for the configuration reader of a data centre. It
// remembers what is stored, so that a set without changes costs no call.
type Keeper struct {
	set    *Set
	stored [16]*Set
}

// NewKeeper returns a keeper that knows nothing of the store yet.
func NewKeeper(s *Set) *Keeper { return &Keeper{set: s} }

// Save brings the store up to date, and the set with what other data centres
// stored. Pruned keys leave the store with the next change of their object.
func (k *Keeper) Save(ctx context.Context, o storer.Objects, c Catalogue, now timekeeper.Millis) error {
	for n := range k.stored {
		if err := k.save(ctx, o, n, c, now); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) save(ctx context.Context, o storer.Objects, n int, c Catalogue, now timekeeper.Millis) error {
	var err error
	for range storeAttempts {
		if k.stored[n] != nil && k.stored[n].covers(k.set.part(n)) {
			return nil
		}
		var list []Withdrawal
		var version storer.Version
		list, version, err = storer.Get(ctx, o, objectName(n), decodeList)
		if err != nil {
			return errors.Wrap(err, "read withdrawals")
		}
		k.set.MergeFrom(list, c, now)
		stored := NewSet()
		stored.Merge(list)
		k.stored[n] = stored
		part := k.set.part(n)
		if stored.covers(part) {
			return nil
		}
		var data []byte
		if data, err = json.Marshal(Encode(part)); err != nil {
			return errors.Wrap(err, "encode withdrawals")
		}
		if _, err = o.Put(ctx, objectName(n), data, version); err == nil {
			stored.Merge(part)
			return nil
		}
		k.stored[n] = nil
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain) {
			break
		}
	}
	return errors.Wrap(err, "store withdrawals")
}

// covers reports whether the set has all of the withdrawals, and notes of all
// that are gone that they are. A stored record without that note would come back
// for a day after every instance forgot it.
func (s *Set) covers(list []Withdrawal) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, w := range list {
		stored, ok := s.records[w.Hash]
		if !ok || (w.Gone != 0 && stored.Gone == 0) {
			return false
		}
	}
	return true
}
