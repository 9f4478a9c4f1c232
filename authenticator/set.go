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

// keepGone is how long a withdrawal is kept after its key left the configuration.
const keepGone = 24 * timekeeper.Hour

// maxRecords bounds the set that one message carries, and so the work of a merge.
const maxRecords = 1 << 20

// Withdrawal is one withdrawn key. Gone is when an instance first saw a
// configuration without the key, 0 if none did yet.
type Withdrawal struct {
	Hash     Hash
	Stamp    timekeeper.Stamp
	Operator string
	Gone     timekeeper.Millis
}

// before orders two withdrawals of one key; the first one is kept by a merge.
func (w Withdrawal) before(other Withdrawal) bool {
	if w.Stamp != other.Stamp {
		return w.Stamp.Before(other.Stamp)
	}
	return w.Operator < other.Operator
}

// merge returns the withdrawal that both sides agree on in any order.
func (w Withdrawal) merge(other Withdrawal) Withdrawal {
	gone := w.Gone
	if gone == 0 || (other.Gone != 0 && other.Gone < gone) {
		gone = other.Gone
	}
	if other.before(w) {
		w = other
	}
	w.Gone = gone
	return w
}

// sum is the withdrawal's part of the set's digest.
func (w Withdrawal) sum() (s [sha256.Size]byte) {
	data := append(w.Hash[:], w.Operator...)
	data = binary.AppendVarint(data, int64(w.Stamp.Wall))
	data = binary.AppendUvarint(data, uint64(w.Stamp.Logical))
	return sha256.Sum256(binary.AppendVarint(data, int64(w.Gone)))
}

// Catalogue is what the set needs of the configuration in force.
type Catalogue interface {
	HasKey(h Hash) bool
}

// Set holds withdrawn keys. It only grows, except that a key which no
// configuration has for a day is forgotten. It is safe for concurrent use.
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

// Add withdraws a key and reports whether that was new.
func (s *Set) Add(w Withdrawal) bool { return s.Merge([]Withdrawal{w}) == 1 }

// Merge adds withdrawals and returns how many keys were not known as withdrawn.
// The order and the number of merges make no difference.
func (s *Set) Merge(list []Withdrawal) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := 0
	for _, w := range list {
		old, ok := s.records[w.Hash]
		if ok {
			w = old.merge(w)
		} else {
			fresh++
		}
		s.replace(old, ok, w)
	}
	return fresh
}

// replace stores a withdrawal and keeps the digest, which is the exclusive or of
// all parts. The caller holds mu.
func (s *Set) replace(old Withdrawal, had bool, w Withdrawal) {
	if had {
		s.toggle(old)
	}
	s.records[w.Hash] = w
	s.toggle(w)
}

func (s *Set) toggle(w Withdrawal) {
	part := w.sum()
	for i := range s.digest {
		s.digest[i] ^= part[i]
	}
}

// Digest identifies the contents of the set, for gossip.
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

// Prune notes which keys the configuration has no longer, and forgets those that
// are gone for a day. A key that is gone is refused as unknown, so forgetting it
// lets nothing pass. It returns how many were forgotten.
func (s *Set) Prune(c Catalogue, now timekeeper.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	forgotten := 0
	for h, w := range s.records {
		if c.HasKey(h) {
			continue
		}
		if w.Gone != 0 && now-w.Gone >= keepGone {
			s.toggle(w)
			delete(s.records, h)
			forgotten++
			continue
		}
		if w.Gone == 0 {
			gone := w
			gone.Gone = now
			s.replace(w, true, gone)
		}
	}
	return forgotten
}

// MergeFrom merges what another instance sent, without keys that this instance
// would forget at once: they would go round among instances that prune at different times.
func (s *Set) MergeFrom(list []Withdrawal, c Catalogue, now timekeeper.Millis) int {
	kept := slices.DeleteFunc(slices.Clone(list), func(w Withdrawal) bool {
		return w.Gone != 0 && now-w.Gone >= keepGone && !c.HasKey(w.Hash)
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
		encoded.Data = binary.AppendVarint(encoded.Data, int64(w.Gone))
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
		w.Gone = timekeeper.Millis(r.varint())
		if r.failed || operator >= uint64(len(j.Operators)) || logical > 1<<32-1 || len(list) == maxRecords {
			return nil, errors.Wrapf(ErrMalformed, "record %d", len(list))
		}
		w.Stamp.Logical, w.Operator = uint32(logical), j.Operators[operator]
		list = append(list, w)
	}
	return list, nil
}

// reader consumes a byte string and remembers whether it was too short.
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
