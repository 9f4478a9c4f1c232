package sharer

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"maps"
	"math"
	"math/bits"
	"slices"

	"github.com/pkg/errors"
)

// Load is the work in flight at a target.
type Load struct {
	PrefillWork     int // Prefill work, in microseconds of a reference engine.
	LowPriorityWork int // The same for low-priority requests.
	Requests        int // Requests that hold a slot.
	PromptTokens    int // Tokens of the prompts of these requests.
}

// Key identifies a target or service in messages. It is a hash of the ID, because all
// loads of a data centre have to fit into one unfragmented datagram.
type Key uint32

// KeyOf returns the key of a target or service.
func KeyOf(id string) Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Never fails.
	return Key(h.Sum32())
}

// Loads are loads by target. They are encoded as a string of records: key, prefill work
// in units of workUnit, requests, and, rounded, low-priority work in units of workUnit
// and tokens in units of tokenUnit.
type Loads map[Key]Load

const (
	recordBytes = 10
	tokenUnit   = 64 // Tokens.
	workUnit    = 64 // Microseconds.
	// maxRecords bounds the records of a message; the smallest loads are omitted.
	maxRecords = 90
)

var errLoads = errors.New("malformed loads")

// MarshalJSON implements json.Marshaler.
func (l Loads) MarshalJSON() ([]byte, error) {
	if l == nil {
		return []byte("null"), nil
	}
	keys := l.largestKeys(maxRecords)
	data := make([]byte, 0, recordBytes*len(keys))
	for _, k := range keys {
		data = binary.BigEndian.AppendUint32(data, uint32(k))
		data = binary.BigEndian.AppendUint16(data, clamp(ceilDiv(l[k].PrefillWork, workUnit)))
		data = binary.BigEndian.AppendUint16(data, clamp(l[k].Requests))
		data = append(data, packFloat(clamp(ceilDiv(l[k].LowPriorityWork, workUnit))), packFloat(clamp(ceilDiv(l[k].PromptTokens, tokenUnit))))
	}
	return json.Marshal(data)
}

// largestKeys returns the keys of the n largest loads, or all of them in order.
func (l Loads) largestKeys(n int) []Key {
	if len(l) <= n {
		return sortedKeys(l)
	}
	type keyed struct {
		Key
		work, requests int
	}
	all := make([]keyed, 0, len(l))
	for k, load := range l {
		all = append(all, keyed{k, load.PrefillWork + load.LowPriorityWork, load.Requests})
	}
	slices.SortFunc(all, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(b.requests, a.requests), cmp.Compare(a.Key, b.Key))
	})
	keys := make([]Key, n)
	for i := range keys {
		keys[i] = all[i].Key
	}
	return keys
}

// largest returns the n largest loads.
func (l Loads) largest(n int) Loads {
	largest := make(Loads, min(n, len(l)))
	for _, k := range l.largestKeys(n) {
		largest[k] = l[k]
	}
	return largest
}

// without returns these loads less the part of them that is another's.
func (l Loads) without(part Loads) Loads {
	rest := maps.Clone(l)
	for k, p := range part {
		if _, ok := l[k]; ok {
			rest.add(Loads{k: p}, -1)
		}
	}
	return rest
}

func ceilDiv(n, unit int) int { return (n + unit - 1) / unit }

// mantissaBits is the precision of packed numbers; their error is 3% at most.
const mantissaBits = 4

// packFloat rounds a number to an 8-bit floating-point form.
func packFloat(n uint16) byte {
	if n < 1<<mantissaBits {
		return byte(n)
	}
	exponent := bits.Len16(n) - mantissaBits - 1
	return byte((exponent+1)<<mantissaBits) | byte(n>>exponent)&(1<<mantissaBits-1)
}

// unpackFloat returns the number of an 8-bit floating-point form.
func unpackFloat(b byte) int {
	mantissa, exponent := int(b)&(1<<mantissaBits-1), int(b)>>mantissaBits
	if exponent == 0 {
		return mantissa
	}
	return (mantissa | 1<<mantissaBits) << (exponent - 1)
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
		return errors.Wrapf(errLoads, "length of %d bytes", len(data))
	}
	*l = make(Loads, len(data)/recordBytes)
	for ; len(data) > 0; data = data[recordBytes:] {
		(*l)[Key(binary.BigEndian.Uint32(data))] = Load{
			PrefillWork:     workUnit * int(binary.BigEndian.Uint16(data[4:])),
			Requests:        int(binary.BigEndian.Uint16(data[6:])),
			LowPriorityWork: workUnit * unpackFloat(data[8]),
			PromptTokens:    tokenUnit * unpackFloat(data[9]),
		}
	}
	return nil
}

func sortedKeys[V any](m map[Key]V) []Key { return slices.Sorted(maps.Keys(m)) }

// add adds other loads, or subtracts them with sign -1.
func (l Loads) add(other Loads, sign int) {
	for k, o := range other {
		sum := Load{
			PrefillWork: l[k].PrefillWork + sign*o.PrefillWork, LowPriorityWork: l[k].LowPriorityWork + sign*o.LowPriorityWork,
			Requests: l[k].Requests + sign*o.Requests, PromptTokens: l[k].PromptTokens + sign*o.PromptTokens,
		}
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
