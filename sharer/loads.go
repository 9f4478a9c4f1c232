package sharer

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
)

// Load is work in flight at a target.
type Load struct {
	Tokens   int // Prompt tokens.
	Requests int // Requests that hold a place.
}

// Key stands for a target in messages: a hash of its ID, because all loads of a
// data centre go into one datagram that no network divides.
type Key uint32

// KeyOf returns the key of a target.
func KeyOf(target string) Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(target)) // Never fails.
	return Key(h.Sum32())
}

// Loads are loads by target. Their encoding is a string of records: key, tokens in
// units of tokenUnit, requests.
type Loads map[Key]Load

const (
	recordBytes = 8
	tokenUnit   = 32
	// mostRecords bounds the encoding; the smallest loads are left out.
	mostRecords = 100
)

var errLoads = errors.New("loads are not well formed")

// MarshalJSON implements json.Marshaler.
func (l Loads) MarshalJSON() ([]byte, error) {
	if l == nil {
		return []byte("null"), nil
	}
	keys := slices.Collect(maps.Keys(l))
	if len(keys) > mostRecords {
		slices.SortFunc(keys, func(a, b Key) int {
			return cmp.Or(cmp.Compare(l[b].Tokens, l[a].Tokens), cmp.Compare(l[b].Requests, l[a].Requests), cmp.Compare(a, b))
		})
		keys = keys[:mostRecords]
	}
	data := make([]byte, 0, recordBytes*len(keys))
	for _, k := range keys {
		data = binary.BigEndian.AppendUint32(data, uint32(k))
		data = binary.BigEndian.AppendUint16(data, clamp((l[k].Tokens+tokenUnit-1)/tokenUnit))
		data = binary.BigEndian.AppendUint16(data, clamp(l[k].Requests))
	}
	return json.Marshal(data)
}

func clamp(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// UnmarshalJSON implements json.Unmarshaler.
func (l *Loads) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return errors.Wrap(errLoads, err.Error())
	}
	if string(text) == "null" {
		*l = nil
		return nil
	}
	if len(data)%recordBytes != 0 {
		return errors.Wrapf(errLoads, "%d bytes", len(data))
	}
	*l = make(Loads, len(data)/recordBytes)
	for ; len(data) > 0; data = data[recordBytes:] {
		(*l)[Key(binary.BigEndian.Uint32(data))] = Load{
			Tokens:   tokenUnit * int(binary.BigEndian.Uint16(data[4:])),
			Requests: int(binary.BigEndian.Uint16(data[6:])),
		}
	}
	return nil
}

// add adds other loads, or takes them off with sign -1.
func (l Loads) add(other Loads, sign int) {
	for k, o := range other {
		sum := Load{l[k].Tokens + sign*o.Tokens, l[k].Requests + sign*o.Requests}
		if sum == (Load{}) {
			delete(l, k)
			continue
		}
		l[k] = sum
	}
}

func (l Loads) clone() Loads {
	c := make(Loads, len(l))
	c.add(l, 1)
	return c
}
