package distributor

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
)

// MaxShardBytes is the maximum size of a shard before compression.
const MaxShardBytes = 256 << 10

// Families of shards. Workspaces are many and change often, so they have a family
// of their own; a change of a contract doesn't rewrite the fleet's shards.
const (
	familyFleet      = "fleet"
	familyWorkspaces = "workspaces"
)

// document is the content of a shard: encoded declarations by kind. Its JSON has
// the format of a declaration file.
type document map[string][]json.RawMessage

// item is one encoded declaration and the hash that assigns it to a shard.
type item struct {
	kind string
	name string
	hash uint64
	data json.RawMessage
}

// Split splits declarations into shards. The shard of an item depends only on the
// item's name hash and on the sizes of the items with the same hash prefix: a change
// of one workspace rewrites one shard, and a shard that outgrows MaxShardBytes is
// split in two.
func Split(d declarer.Declaration) ([]ShardReference, []Shard, error) {
	sorted := d.Sorted()
	fleet, err := encodeItems(nil, "data-centres", sorted.DataCentres, func(v declarer.DataCentre) string { return v.Name })
	if err != nil {
		return nil, nil, err
	}
	if fleet, err = encodeItems(fleet, "classes", sorted.Classes, func(v declarer.Class) string { return v.Name }); err != nil {
		return nil, nil, err
	}
	if fleet, err = encodeItems(fleet, "models", sorted.Models, func(v declarer.Model) string { return v.Name }); err != nil {
		return nil, nil, err
	}
	if fleet, err = encodeItems(fleet, "routes", sorted.Routes, func(v declarer.Route) string { return v.Name }); err != nil {
		return nil, nil, err
	}
	if fleet, err = encodeItems(fleet, "targets", sorted.Targets, func(v declarer.Target) string { return v.Name }); err != nil {
		return nil, nil, err
	}
	workspaces, err := encodeItems(nil, "workspaces", sorted.Workspaces, func(v declarer.Workspace) string { return v.Name })
	if err != nil {
		return nil, nil, err
	}
	s := splitter{}
	if err := s.split(familyFleet+"/", fleet, 0); err != nil {
		return nil, nil, err
	}
	if err := s.split(familyWorkspaces+"/", workspaces, 0); err != nil {
		return nil, nil, err
	}
	return s.references, s.shards, nil
}

func encodeItems[T any](items []item, kind string, values []T, name func(T) string) ([]item, error) {
	for _, v := range values {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s %q", kind, name(v))
		}
		digest := sha256.Sum256([]byte(kind + "/" + name(v)))
		items = append(items, item{kind: kind, name: name(v), hash: binary.BigEndian.Uint64(digest[:]), data: data})
	}
	return items, nil
}

type splitter struct {
	references []ShardReference
	shards     []Shard
}

// split writes the items as one shard, or divides them by the next bit of their
// hashes if they are too large.
func (s *splitter) split(prefix string, items []item, depth int) error {
	if len(items) == 0 {
		return nil
	}
	size := 128 // kind names and brackets
	for _, i := range items {
		size += len(i.data) + 1
	}
	if size <= MaxShardBytes {
		return s.write(prefix, items)
	}
	if len(items) == 1 || depth == 64 {
		return errors.Wrapf(ErrInvalid, "%s %q is larger than a shard (%d bytes)", items[0].kind, items[0].name, len(items[0].data))
	}
	var halves [2][]item
	for _, i := range items {
		bit := i.hash >> (63 - depth) & 1
		halves[bit] = append(halves[bit], i)
	}
	if err := s.split(prefix+"0", halves[0], depth+1); err != nil {
		return err
	}
	return s.split(prefix+"1", halves[1], depth+1)
}

func (s *splitter) write(prefix string, items []item) error {
	content := document{}
	for _, i := range items {
		content[i.kind] = append(content[i.kind], i.data)
	}
	data, err := json.Marshal(content)
	if err != nil {
		return errors.Wrap(err, "encode shard")
	}
	compressed, err := compress(data)
	if err != nil {
		return err
	}
	s.references = append(s.references, ShardReference{Prefix: prefix, Digest: digestOf(data), Items: len(items)})
	s.shards = append(s.shards, Shard{Digest: digestOf(data), Compressed: compressed})
	return nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// compressors pools gzip writers, because a new one allocates 0.8 MB.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress shard")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress shard")
	}
	return b.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	content, err := io.ReadAll(io.LimitReader(r, MaxShardBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	if len(content) > MaxShardBytes {
		return nil, errors.Wrapf(ErrInvalid, "shard is larger than %d bytes", MaxShardBytes)
	}
	return content, nil
}
