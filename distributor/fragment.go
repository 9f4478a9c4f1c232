package distributor

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
)

// fragment is a checked and decoded shard.
type fragment struct {
	compressed  []byte
	declaration declarer.Declaration
}

func (f fragment) document() (document, error) {
	data, err := decompress(f.compressed)
	if err != nil {
		return nil, err
	}
	var content document
	return content, errors.Wrap(json.Unmarshal(data, &content), "decode shard")
}

// memo holds decoded declarations by kind and encoding, so that a shard with one
// change decodes one item.
type memo map[string]any

func newMemo(fragments []fragment) (memo, error) {
	known := memo{}
	for _, f := range fragments {
		content, err := f.document()
		if err != nil {
			return nil, err
		}
		remember(known, "data-centres", content, f.declaration.DataCentres)
		remember(known, "classes", content, f.declaration.Classes)
		remember(known, "models", content, f.declaration.Models)
		remember(known, "routes", content, f.declaration.Routes)
		remember(known, "targets", content, f.declaration.Targets)
		remember(known, "workspaces", content, f.declaration.Workspaces)
	}
	return known, nil
}

func remember[T any](known memo, kind string, content document, values []T) {
	for i, data := range content[kind] {
		known[kind+string(data)] = values[i]
	}
}

// recall returns the values of one kind and decodes those that are not known.
func recall[T any](known memo, kind string, content document, decode func([]byte) (T, error)) ([]T, error) {
	values := make([]T, 0, len(content[kind]))
	for _, data := range content[kind] {
		v, ok := known[kind+string(data)].(T)
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

// decode checks a shard against its reference and decodes it.
func (known memo) decode(r ShardReference, s Shard) (fragment, error) {
	data, err := decompress(s.Compressed)
	if err != nil {
		return fragment{}, err
	}
	if digestOf(data) != r.Digest {
		return fragment{}, errors.Wrapf(ErrInvalid, "shard %s has digest %s, expected %s", r.Prefix, digestOf(data), r.Digest)
	}
	var content document
	if err := json.Unmarshal(data, &content); err != nil {
		return fragment{}, errors.Wrapf(ErrInvalid, "shard %s: %v", r.Prefix, err)
	}
	items := 0
	for _, list := range content {
		items += len(list)
	}
	if items != r.Items {
		return fragment{}, errors.Wrapf(ErrInvalid, "shard %s has %d items, expected %d", r.Prefix, items, r.Items)
	}
	f := fragment{compressed: s.Compressed}
	f.declaration, err = known.declaration(content)
	return f, errors.Wrapf(err, "shard %s", r.Prefix)
}

func (known memo) declaration(content document) (d declarer.Declaration, err error) {
	if d.DataCentres, err = recall(known, "data-centres", content, decodeJSON[declarer.DataCentre]); err != nil {
		return d, err
	}
	if d.Classes, err = recall(known, "classes", content, decodeJSON[declarer.Class]); err != nil {
		return d, err
	}
	if d.Models, err = recall(known, "models", content, decodeJSON[declarer.Model]); err != nil {
		return d, err
	}
	if d.Routes, err = recall(known, "routes", content, decodeJSON[declarer.Route]); err != nil {
		return d, err
	}
	if d.Targets, err = recall(known, "targets", content, decodeJSON[declarer.Target]); err != nil {
		return d, err
	}
	d.Workspaces, err = recall(known, "workspaces", content, decodeWorkspace)
	return d, err
}

// workspace mirrors declarer.Workspace without its decoding methods. Those
// compile a pattern for each field, about 1 ms a workspace: 26 s for 26,000 at
// the start of an instance. The publisher checked what the digest covers.
type workspace struct {
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
	var p workspace
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
	// A list that is absent stays nil, or a plan would show a difference.
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

// patch replaces the items of dropped fragments by those of added ones and keeps
// the order of names.
func patch(d declarer.Declaration, dropped, added []fragment) declarer.Declaration {
	return declarer.Declaration{
		DataCentres: patchItems(d.DataCentres, dropped, added, func(d declarer.Declaration) []declarer.DataCentre { return d.DataCentres }, func(v declarer.DataCentre) string { return v.Name }),
		Classes:     patchItems(d.Classes, dropped, added, func(d declarer.Declaration) []declarer.Class { return d.Classes }, func(v declarer.Class) string { return v.Name }),
		Models:      patchItems(d.Models, dropped, added, func(d declarer.Declaration) []declarer.Model { return d.Models }, func(v declarer.Model) string { return v.Name }),
		Routes:      patchItems(d.Routes, dropped, added, func(d declarer.Declaration) []declarer.Route { return d.Routes }, func(v declarer.Route) string { return v.Name }),
		Targets:     patchItems(d.Targets, dropped, added, func(d declarer.Declaration) []declarer.Target { return d.Targets }, func(v declarer.Target) string { return v.Name }),
		Workspaces:  patchItems(d.Workspaces, dropped, added, func(d declarer.Declaration) []declarer.Workspace { return d.Workspaces }, func(v declarer.Workspace) string { return v.Name }),
	}
}

func patchItems[T any](old []T, dropped, added []fragment, list func(declarer.Declaration) []T, name func(T) string) []T {
	gone := map[string]bool{}
	for _, f := range dropped {
		for _, v := range list(f.declaration) {
			gone[name(v)] = true
		}
	}
	var fresh []T
	for _, f := range added {
		fresh = append(fresh, list(f.declaration)...)
	}
	sort.Slice(fresh, func(i, j int) bool { return name(fresh[i]) < name(fresh[j]) })
	merged := make([]T, 0, len(old)+len(fresh))
	for _, v := range old {
		if gone[name(v)] {
			continue
		}
		for len(fresh) > 0 && name(fresh[0]) < name(v) {
			merged, fresh = append(merged, fresh[0]), fresh[1:]
		}
		merged = append(merged, v)
	}
	return append(merged, fresh...)
}
