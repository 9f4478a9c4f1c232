package follower

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// MaxFragmentBytes bounds the data in one datagram, which has a header as well.
	MaxFragmentBytes = 1200
	// MaxFragments bounds the datagrams of a part that can't be divided: deletions of
	// which it is not known in what order they came.
	MaxFragments = 8
	// packingBudget is how many bytes are compressed in the first attempt to fill a part.
	packingBudget = 10 * MaxFragmentBytes
	// maxUnpackedBytes bounds a part after decompression.
	maxUnpackedBytes = 4 * packingBudget
)

var errPacked = errors.New("malformed change set")

// Packed is a part of a change set, compressed. The data is the same for all receivers
// that know the version From, so a relay compresses it once.
type Packed struct {
	From, At storer.Version
	Age      timekeeper.Millis // As in News.
	Regained timekeeper.Millis // As in News.
	// Data is empty if nothing was written or deleted. It seldom takes more than one
	// datagram. Its versions are revisions of the era of At.
	Data []byte
}

// packedPart is the part of a Packed that does not change with time.
type packedPart struct {
	at   storer.Version
	data []byte
	ok   bool // The log holds all changes.
}

// packedChanges is what the data of a Packed contains.
type packedChanges struct {
	Removed []string `json:"removed"`
	Items   []Item   `json:"items"`
}

var (
	compressors   = sync.Pool{New: func() any { w, _ := flate.NewWriter(nil, flate.DefaultCompression); return w }} // The level is valid.
	decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// PackedSince returns the changes after a version like Since, compressed.
func (f *Follower) PackedSince(v storer.Version) (Packed, bool) {
	return f.log.packedSince(v, f.clock.Read())
}

func (l *changeLog) packedSince(v storer.Version, now timekeeper.Reading) (Packed, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part, ok := l.packed[v]
	if !ok {
		part = l.pack(v)
		l.packed[v] = part
	}
	return Packed{From: v, At: part.at, Age: l.age(part.at, now), Regained: l.regained(now), Data: part.data}, part.ok
}

// pack compresses the first part of the changes after a version: as many as fit into one
// datagram, or the smallest part if that is larger. The caller holds mu.
func (l *changeLog) pack(v storer.Version) packedPart {
	var data []byte
	fitsInto := func(limit int) func(News) bool {
		return func(n News) bool {
			data = nil
			if len(n.Items)+len(n.Removed) == 0 {
				return true
			}
			text, err := json.Marshal(packedChanges{n.Removed, n.Encoded().Items})
			if err != nil || len(text) > maxUnpackedBytes {
				return false
			}
			data = compress(text)
			return len(data) <= limit
		}
	}
	part, ok := l.largestPart(v, packingBudget, fitsInto(l.maxPacked))
	if !ok {
		part, ok = l.largestPart(v, 0, fitsInto(MaxFragments*MaxFragmentBytes))
	}
	return packedPart{part.At, data, ok}
}

func compress(text []byte) []byte {
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	_, _ = w.Write(text) // A buffer accepts all writes.
	_ = w.Close()
	return b.Bytes()
}

// News returns the change set in full.
func (p Packed) News() (News, error) {
	n := News{From: p.From, At: p.At, Age: p.Age, Regained: p.Regained}
	if len(p.Data) == 0 {
		return n, nil
	}
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(p.Data), nil); err != nil {
		return n, errors.Wrap(errPacked, err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return n, errors.Wrap(errPacked, err.Error())
	}
	var c packedChanges
	if err := json.Unmarshal(text, &c); err != nil {
		return n, errors.Wrap(errPacked, err.Error())
	}
	n.Removed, n.Items = c.Removed, c.Items
	for i, item := range n.Items {
		if n.Items[i].Version, err = storer.NewVersion(p.At.Era(), int64(item.Version)); err != nil {
			return n, errors.Wrap(errPacked, err.Error())
		}
	}
	return n, nil
}
