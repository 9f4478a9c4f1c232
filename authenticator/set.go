package authenticator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// absentRetention is how long a withdrawal is kept after its key left the configuration.
const absentRetention = 24 * timekeeper.Hour

// maxRecords limits the records in one message, and so the cost of a merge.
const maxRecords = 1 << 20

// Withdrawal is one withdrawn key. AbsentSince is when an instance first saw a
// configuration without the key, 0 if none has yet.
type Withdrawal struct {
	Hash        Hash
	Stamp       timekeeper.Stamp
	Operator    string
	AbsentSince timekeeper.Millis
}

// before orders two withdrawals of one key; the first one is kept by a merge.
func (w Withdrawal) before(other Withdrawal) bool {
	if w.Stamp != other.Stamp {
		return w.Stamp.Before(other.Stamp)
	}
	return w.Operator < other.Operator
}

// merge combines two withdrawals of one key; the result does not depend on their order.
func (w Withdrawal) merge(other Withdrawal) Withdrawal {
	absentSince := w.AbsentSince
	if absentSince == 0 || (other.AbsentSince != 0 && other.AbsentSince < absentSince) {
		absentSince = other.AbsentSince
	}
	if other.before(w) {
		w = other
	}
	w.AbsentSince = absentSince
	return w
}

// sum returns the withdrawal's contribution to the digest of the set.
func (w Withdrawal) sum() (s [sha256.Size]byte) {
	data := append(w.Hash[:], w.Operator...)
	data = binary.AppendVarint(data, int64(w.Stamp.Wall))
	data = binary.AppendUvarint(data, uint64(w.Stamp.Logical))
	return sha256.Sum256(binary.AppendVarint(data, int64(w.AbsentSince)))
}

// KeyLookup reports which keys the configuration in force has.
type KeyLookup interface {
	HasKey(h Hash) bool
}

// Set holds withdrawn keys. It only grows, except that a key is removed after it
// has been absent from the configuration for a day. It is safe for concurrent use.
type Set struct {
	mu      sync.RWMutex
	records map[Hash]Withdrawal
	digest  [sha256.Size]byte
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{records: map[Hash]Withdrawal{}} }

// Has reports whether a key was withdrawn.
func (s *Set) Has(h Hash) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.records[h]
	return ok
}

// Add withdraws a key and reports whether it was not yet withdrawn.
func (s *Set) Add(w Withdrawal) bool { return s.Merge([]Withdrawal{w}) == 1 }

// Merge adds withdrawals and returns how many keys were not yet withdrawn. It is
// commutative and idempotent.
func (s *Set) Merge(list []Withdrawal) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := 0
	for _, w := range list {
		previous, ok := s.records[w.Hash]
		if ok {
			w = previous.merge(w)
		} else {
			added++
		}
		s.replace(previous, ok, w)
	}
	return added
}

// replace stores a withdrawal and updates the digest, which is the exclusive or of
// the sums of all withdrawals. The caller holds mu.
func (s *Set) replace(previous Withdrawal, existed bool, w Withdrawal) {
	if existed {
		s.toggleDigest(previous)
	}
	s.records[w.Hash] = w
	s.toggleDigest(w)
}

func (s *Set) toggleDigest(w Withdrawal) {
	part := w.sum()
	for i := range s.digest {
		s.digest[i] ^= part[i]
	}
}

// Digest identifies the contents of the set; gossip carries it.
func (s *Set) Digest() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return hex.EncodeToString(s.digest[:16])
}

// Len returns the number of withdrawn keys.
func (s *Set) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.records)
}

// List returns the withdrawals in order of their hashes.
func (s *Set) List() []Withdrawal {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]Withdrawal, 0, len(s.records))
	for _, w := range s.records {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Withdrawal) int { return slices.Compare(a.Hash[:], b.Hash[:]) })
	return list
}

// Prune marks keys that the configuration no longer has, and removes those that
// have been absent for a day. This is safe, because an absent key is refused as
// unknown. It returns how many were removed.
func (s *Set) Prune(keys KeyLookup, now timekeeper.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := 0
	for h, w := range s.records {
		if keys.HasKey(h) {
			continue
		}
		if w.AbsentSince != 0 && now-w.AbsentSince >= absentRetention {
			s.toggleDigest(w)
			delete(s.records, h)
			removed++
			continue
		}
		if w.AbsentSince == 0 {
			absent := w
			absent.AbsentSince = now
			s.replace(w, true, absent)
		}
	}
	return removed
}

// MergeFrom merges withdrawals that another instance sent, except those that this
// instance would prune immediately: they would circulate among instances that prune
// at different times.
func (s *Set) MergeFrom(list []Withdrawal, keys KeyLookup, now timekeeper.Millis) int {
	kept := slices.DeleteFunc(slices.Clone(list), func(w Withdrawal) bool {
		return w.AbsentSince != 0 && now-w.AbsentSince >= absentRetention && !keys.HasKey(w.Hash)
	})
	return s.Merge(kept)
}

// Encode returns withdrawals in their compact form.
func Encode(list []Withdrawal) Withdrawals {
	encoded := Withdrawals{Operators: []string{}}
	index := map[string]int{}
	for _, w := range list {
		i, ok := index[w.Operator]
		if !ok {
			i = len(encoded.Operators)
			index[w.Operator] = i
			encoded.Operators = append(encoded.Operators, w.Operator)
		}
		encoded.Data = append(encoded.Data, w.Hash[:]...)
		encoded.Data = binary.AppendVarint(encoded.Data, int64(w.Stamp.Wall))
		encoded.Data = binary.AppendUvarint(encoded.Data, uint64(w.Stamp.Logical))
		encoded.Data = binary.AppendUvarint(encoded.Data, uint64(i))
		encoded.Data = binary.AppendVarint(encoded.Data, int64(w.AbsentSince))
	}
	return encoded
}

// Check reports whether the withdrawals can be decoded.
func (j Withdrawals) Check() error {
	_, err := j.Decode()
	return err
}

// Decode returns the withdrawals of a compact form.
func (j Withdrawals) Decode() ([]Withdrawal, error) {
	var list []Withdrawal
	for r := (reader{data: j.Data}); len(r.data) > 0; {
		var w Withdrawal
		copy(w.Hash[:], r.take(len(w.Hash)))
		w.Stamp.Wall = timekeeper.Millis(r.varint())
		logical, operator := r.uvarint(), r.uvarint()
		w.AbsentSince = timekeeper.Millis(r.varint())
		if r.failed || operator >= uint64(len(j.Operators)) || logical > 1<<32-1 || len(list) == maxRecords {
			return nil, errors.Wrapf(ErrMalformed, "record %d", len(list))
		}
		w.Stamp.Logical, w.Operator = uint32(logical), j.Operators[operator]
		list = append(list, w)
	}
	return list, nil
}

// reader consumes a byte slice and records whether it was too short.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if n > len(r.data) || n <= 0 {
		r.failed, r.data = true, nil
		return nil
	}
	part := r.data[:n]
	r.data = r.data[n:]
	return part
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.data)
	r.take(n)
	return v
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	r.take(n)
	return v
}
