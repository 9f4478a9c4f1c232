package authenticator

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// StorePrefix is the name prefix of the stored set, which is partitioned into 16
// objects by the first four bits of the hash. At 45 bytes a record and at most 1 MB
// an object, it can hold 370,000 withdrawals.
const StorePrefix = "withdrawals/"

// maxStoreAttempts limits the attempts to write one object after conflicts with
// other writers.
const maxStoreAttempts = 4

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

// Receive merges a pushed set and answers with the local set if the digests still
// differ. It also returns the withdrawals that were new.
func (s *Set) Receive(r WithdrawRequest, keys KeyLookup, now timekeeper.Millis) (WithdrawAnswer, []Withdrawal, error) {
	var added []Withdrawal
	if r.Withdrawals != nil {
		list, err := r.Withdrawals.Decode()
		if err != nil {
			return WithdrawAnswer{}, nil, err
		}
		for _, w := range list {
			if s.MergeFrom([]Withdrawal{w}, keys, now) == 1 {
				added = append(added, w)
			}
		}
	}
	answer := WithdrawAnswer{Digest: s.Digest()}
	if answer.Digest != r.Digest {
		local := Encode(s.List())
		answer.Withdrawals = &local
	}
	return answer, added, nil
}

// Push sends withdrawals to a peer and merges the set in its answer. It returns the
// withdrawals that were new.
func (s *Set) Push(ctx context.Context, p Peer, list []Withdrawal, keys KeyLookup, now timekeeper.Millis) ([]Withdrawal, error) {
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
	_, added, err := s.Receive(WithdrawRequest{Digest: s.Digest(), Withdrawals: answer.Withdrawals}, keys, now)
	return added, err
}

func objectName(partition int) string { return StorePrefix + string("0123456789abcdef"[partition]) }

// partition returns the withdrawals whose hash starts with the four bits of n.
func (s *Set) partition(n int) []Withdrawal {
	var list []Withdrawal
	for _, w := range s.List() {
		if int(w.Hash[0]>>4) == n {
			list = append(list, w)
		}
	}
	return list
}

// Load merges the stored set. It is called by a starting instance.
func (s *Set) Load(ctx context.Context, o storer.Objects, keys KeyLookup, now timekeeper.Millis) error {
	objects, err := o.List(ctx, StorePrefix)
	if err != nil {
		return errors.Wrap(err, "list withdrawals")
	}
	for _, object := range objects {
		stored, _, err := storer.Get(ctx, o, object.Name, decodeList)
		if err != nil {
			return errors.Wrap(err, "read withdrawals")
		}
		s.MergeFrom(stored, keys, now)
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

// StoreWriter saves the set to the store; the configuration reader of a data centre runs
// it. It caches what is stored, so that a set without changes costs no call.
type StoreWriter struct {
	set    *Set
	stored [16]*Set
}

// NewStoreWriter returns a writer with an empty cache.
func NewStoreWriter(s *Set) *StoreWriter { return &StoreWriter{set: s} }

// Save writes withdrawals that the store lacks, and merges those that other data
// centres stored into the set. Pruned keys stay in the store until the next change
// of their object.
func (k *StoreWriter) Save(ctx context.Context, o storer.Objects, keys KeyLookup, now timekeeper.Millis) error {
	for n := range k.stored {
		if err := k.save(ctx, o, n, keys, now); err != nil {
			return err
		}
	}
	return nil
}

func (k *StoreWriter) save(ctx context.Context, o storer.Objects, n int, keys KeyLookup, now timekeeper.Millis) error {
	var err error
	for range maxStoreAttempts {
		if k.stored[n] != nil && k.stored[n].covers(k.set.partition(n)) {
			return nil
		}
		var list []Withdrawal
		var version storer.Version
		list, version, err = storer.Get(ctx, o, objectName(n), decodeList)
		if err != nil {
			return errors.Wrap(err, "read withdrawals")
		}
		k.set.MergeFrom(list, keys, now)
		stored := NewSet()
		stored.Merge(list)
		k.stored[n] = stored
		records := k.set.partition(n)
		if stored.covers(records) {
			return nil
		}
		var data []byte
		if data, err = json.Marshal(Encode(records)); err != nil {
			return errors.Wrap(err, "encode withdrawals")
		}
		if _, err = o.Put(ctx, objectName(n), data, version); err == nil {
			stored.Merge(records)
			return nil
		}
		k.stored[n] = nil
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrOutcomeUnknown) {
			break
		}
	}
	return errors.Wrap(err, "store withdrawals")
}

// covers reports whether the set has all of the withdrawals, with AbsentSince
// wherever they have it. A stored record without AbsentSince would be loaded again
// and kept for another day after every instance had removed it.
func (s *Set) covers(list []Withdrawal) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, w := range list {
		stored, ok := s.records[w.Hash]
		if !ok || (w.AbsentSince != 0 && stored.AbsentSince == 0) {
			return false
		}
	}
	return true
}
