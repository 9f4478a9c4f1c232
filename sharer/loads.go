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

// Load is work in flight at a target.
type Load struct {
	Effort   int // Microseconds of an engine to read prompts.
	Late     int // The same for readings that give way to all others.
	Requests int // Requests that hold a place.
	Memory   int // Tokens of their prompts.
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
// units of effortUnit, requests, and, rounded, late effort in the same units and memory
// in units of memoryUnit.
type Loads map[Key]Load

const (
	recordBytes = 10
	memoryUnit  = 64 // Tokens.
	effortUnit  = 64 // Microseconds.
	// mostRecords bounds the encoding; the smallest loads are left out.
	mostRecords = 90
)

var errLoads = errors.New("loads are not well formed")

// MarshalJSON implements json.Marshaler.
func (l Loads) MarshalJSON() ([]byte, error) {
	if l == nil {
		return []byte("null"), nil
	}
	keys := sortedKeys(l)
	if len(keys) > mostRecords {
		slices.SortFunc(keys, func(a, b Key) int {
			return cmp.Or(cmp.Compare(l[b].Effort+l[b].Late, l[a].Effort+l[a].Late), cmp.Compare(l[b].Requests, l[a].Requests), cmp.Compare(a, b))
		})
		keys = keys[:mostRecords]
	}
	data := make([]byte, 0, recordBytes*len(keys))
	for _, k := range keys {
		data = binary.BigEndian.AppendUint32(data, uint32(k))
		data = binary.BigEndian.AppendUint16(data, clamp(units(l[k].Effort, effortUnit)))
		data = binary.BigEndian.AppendUint16(data, clamp(l[k].Requests))
		data = append(data, round(clamp(units(l[k].Late, effortUnit))), round(clamp(units(l[k].Memory, memoryUnit))))
	}
	return json.Marshal(data)
}

func units(n, unit int) int { return (n + unit - 1) / unit }

// mantissaBits is the precision of rounded figures: they are off by 3% at most.
const mantissaBits = 4

// round returns a short floating-point form of a figure.
func round(n uint16) byte {
	if n < 1<<mantissaBits {
		return byte(n)
	}
	exponent := bits.Len16(n) - mantissaBits - 1
	return byte((exponent+1)<<mantissaBits) | byte(n>>exponent)&(1<<mantissaBits-1)
}

// rounded returns the figure of a short form.
func rounded(b byte) int {
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
		return errors.Wrapf(errLoads, "%d bytes", len(data))
	}
	*l = make(Loads, len(data)/recordBytes)
	for ; len(data) > 0; data = data[recordBytes:] {
		(*l)[Key(binary.BigEndian.Uint32(data))] = Load{
			Effort:   effortUnit * int(binary.BigEndian.Uint16(data[4:])),
			Requests: int(binary.BigEndian.Uint16(data[6:])),
			Late:     effortUnit * rounded(data[8]),
			Memory:   memoryUnit * rounded(data[9]),
		}
	}
	return nil
}

func sortedKeys[V any](m map[Key]V) []Key { return slices.Sorted(maps.Keys(m)) }

// add adds other loads, or takes them off with sign -1.
func (l Loads) add(other Loads, sign int) {
	for k, o := range other {
		sum := Load{
			Effort: l[k].Effort + sign*o.Effort, Late: l[k].Late + sign*o.Late,
			Requests: l[k].Requests + sign*o.Requests, Memory: l[k].Memory + sign*o.Memory,
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
