package distributor

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
)

// decodedShard is a validated and decoded shard.
type decodedShard struct {
	compressed  []byte
	declaration declarer.Declaration
}

func (f decodedShard) document() (document, error) {
	data, err := decompress(f.compressed)
	if err != nil {
		return nil, err
	}
	var content document
	return content, errors.Wrap(json.Unmarshal(data, &content), "decode shard")
}

// itemCache maps the kind and encoding of an item to its decoded declaration, so
// that only the changed items of a shard are decoded.
type itemCache map[string]any

func newItemCache(shards []decodedShard) (itemCache, error) {
	cache := itemCache{}
	for _, f := range shards {
		content, err := f.document()
		if err != nil {
			return nil, err
		}
		cacheItems(cache, "data-centres", content, f.declaration.DataCentres)
		cacheItems(cache, "classes", content, f.declaration.Classes)
		cacheItems(cache, "models", content, f.declaration.Models)
		cacheItems(cache, "routes", content, f.declaration.Routes)
		cacheItems(cache, "targets", content, f.declaration.Targets)
		cacheItems(cache, "workspaces", content, f.declaration.Workspaces)
	}
	return cache, nil
}

func cacheItems[T any](cache itemCache, kind string, content document, values []T) {
	for i, data := range content[kind] {
		cache[kind+string(data)] = values[i]
	}
}

// decodeItems returns the values of one kind and decodes those that are not cached.
func decodeItems[T any](cache itemCache, kind string, content document, decode func([]byte) (T, error)) ([]T, error) {
	values := make([]T, 0, len(content[kind]))
	for _, data := range content[kind] {
		v, ok := cache[kind+string(data)].(T)
		if !ok {
			var err error
			if v, err = decode(data); err != nil {
				return nil, errors.Wrapf(ErrInvalid, "%s: %v", kind, err)
			}
		}
		values = append(values, v)
	}
	return values, nil
}

func decodeJSON[T any](data []byte) (T, error) {
	var v T
	return v, json.Unmarshal(data, &v)
}

// decode validates a shard against its reference and decodes it.
func (c itemCache) decode(r ShardReference, s Shard) (decodedShard, error) {
	data, err := decompress(s.Compressed)
	if err != nil {
		return decodedShard{}, err
	}
	if digestOf(data) != r.Digest {
		return decodedShard{}, errors.Wrapf(ErrInvalid, "shard %s has digest %s, expected %s", r.Prefix, digestOf(data), r.Digest)
	}
	var content document
	if err := json.Unmarshal(data, &content); err != nil {
		return decodedShard{}, errors.Wrapf(ErrInvalid, "shard %s: %v", r.Prefix, err)
	}
	items := 0
	for _, list := range content {
		items += len(list)
	}
	if items != r.Items {
		return decodedShard{}, errors.Wrapf(ErrInvalid, "shard %s has %d items, expected %d", r.Prefix, items, r.Items)
	}
	f := decodedShard{compressed: s.Compressed}
	f.declaration, err = c.declaration(content)
	return f, errors.Wrapf(err, "shard %s", r.Prefix)
}

func (c itemCache) declaration(content document) (d declarer.Declaration, err error) {
	if d.DataCentres, err = decodeItems(c, "data-centres", content, decodeJSON[declarer.DataCentre]); err != nil {
		return d, err
	}
	if d.Classes, err = decodeItems(c, "classes", content, decodeJSON[declarer.Class]); err != nil {
		return d, err
	}
	if d.Models, err = decodeItems(c, "models", content, decodeJSON[declarer.Model]); err != nil {
		return d, err
	}
	if d.Routes, err = decodeItems(c, "routes", content, decodeJSON[declarer.Route]); err != nil {
		return d, err
	}
	if d.Targets, err = decodeItems(c, "targets", content, decodeJSON[declarer.Target]); err != nil {
		return d, err
	}
	d.Workspaces, err = decodeItems(c, "workspaces", content, decodeWorkspace)
	return d, err
}

// plainWorkspace mirrors declarer.Workspace without its decoding methods. Those
// compile a regular expression for each field, about 1 ms a workspace, which adds
// up to 26 s for 26,000 workspaces when an instance starts. The publisher has
// already validated the content, and the digest protects it.
type plainWorkspace struct {
	CutOff                string       `json:"cut-off"`
	Grants                []plainGrant `json:"grants"`
	Keys                  []plainKey   `json:"keys"`
	Limits                *plainLimits `json:"limits"`
	Name                  string       `json:"name"`
	PricePerCall          float64      `json:"price-per-call"`
	PricePerMillionTokens float64      `json:"price-per-million-tokens"`
	Reclaimable           bool         `json:"reclaimable"`
	SpendCeilingPerHour   float64      `json:"spend-ceiling-per-hour"`
	Weight                float64      `json:"weight"`
}

type (
	plainGrant  declarer.Grant
	plainKey    declarer.Key
	plainLimits declarer.Limits
)

func decodeWorkspace(data []byte) (declarer.Workspace, error) {
	var p plainWorkspace
	if err := json.Unmarshal(data, &p); err != nil {
		return declarer.Workspace{}, err
	}
	if p.Name == "" || p.Weight <= 0 {
		return declarer.Workspace{}, errors.Errorf("workspace %q has weight %v", p.Name, p.Weight)
	}
	w := declarer.Workspace{
		CutOff: declarer.WorkspaceCutOff(p.CutOff), Limits: (*declarer.Limits)(p.Limits), Name: p.Name,
		PricePerCall: p.PricePerCall, PricePerMillionTokens: p.PricePerMillionTokens, Reclaimable: p.Reclaimable,
		SpendCeilingPerHour: p.SpendCeilingPerHour, Weight: p.Weight,
	}
	// An absent list stays nil; otherwise a plan would show a difference.
	if p.Grants != nil {
		w.Grants = make([]declarer.Grant, 0, len(p.Grants))
	}
	if p.Keys != nil {
		w.Keys = make([]declarer.Key, 0, len(p.Keys))
	}
	for _, g := range p.Grants {
		w.Grants = append(w.Grants, declarer.Grant(g))
	}
	for _, k := range p.Keys {
		if !isDigest(k.Hash) {
			return declarer.Workspace{}, errors.Errorf("key %q of workspace %q has hash %q", k.Name, p.Name, k.Hash)
		}
		w.Keys = append(w.Keys, declarer.Key(k))
	}
	return w, nil
}

// patch replaces the items of dropped shards with those of added ones and keeps
// the lists sorted by name.
func patch(d declarer.Declaration, dropped, added []decodedShard) declarer.Declaration {
	return declarer.Declaration{
		DataCentres: patchItems(d.DataCentres, dropped, added, func(d declarer.Declaration) []declarer.DataCentre { return d.DataCentres }, func(v declarer.DataCentre) string { return v.Name }),
		Classes:     patchItems(d.Classes, dropped, added, func(d declarer.Declaration) []declarer.Class { return d.Classes }, func(v declarer.Class) string { return v.Name }),
		Models:      patchItems(d.Models, dropped, added, func(d declarer.Declaration) []declarer.Model { return d.Models }, func(v declarer.Model) string { return v.Name }),
		Routes:      patchItems(d.Routes, dropped, added, func(d declarer.Declaration) []declarer.Route { return d.Routes }, func(v declarer.Route) string { return v.Name }),
		Targets:     patchItems(d.Targets, dropped, added, func(d declarer.Declaration) []declarer.Target { return d.Targets }, func(v declarer.Target) string { return v.Name }),
		Workspaces:  patchItems(d.Workspaces, dropped, added, func(d declarer.Declaration) []declarer.Workspace { return d.Workspaces }, func(v declarer.Workspace) string { return v.Name }),
	}
}

func patchItems[T any](old []T, dropped, added []decodedShard, list func(declarer.Declaration) []T, name func(T) string) []T {
	removed := map[string]bool{}
	for _, f := range dropped {
		for _, v := range list(f.declaration) {
			removed[name(v)] = true
		}
	}
	var inserted []T
	for _, f := range added {
		inserted = append(inserted, list(f.declaration)...)
	}
	sort.Slice(inserted, func(i, j int) bool { return name(inserted[i]) < name(inserted[j]) })
	merged := make([]T, 0, len(old)+len(inserted))
	for _, v := range old {
		if removed[name(v)] {
			continue
		}
		for len(inserted) > 0 && name(inserted[0]) < name(v) {
			merged, inserted = append(merged, inserted[0]), inserted[1:]
		}
		merged = append(merged, v)
	}
	return append(merged, inserted...)
}
