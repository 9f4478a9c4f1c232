package declarer

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is an item that differs between two sets of declarations.
type Change struct {
	Action string `json:"action"` // add, change or remove
	Kind   string `json:"kind"`
	Name   string `json:"name"`
}

// String formats the change as a line of a plan.
func (c Change) String() string {
	mark := map[string]string{"add": "+", "change": "~", "remove": "-"}[c.Action]
	return fmt.Sprintf("%s %s %s", mark, c.Kind, c.Name)
}

// Diff returns the changes from one set of declarations to another, sorted by kind
// and name.
func Diff(from, to Declaration) []Change {
	before, after := encodeItems(from), encodeItems(to)
	var changes []Change
	for id, encoding := range after {
		old, ok := before[id]
		switch {
		case !ok:
			changes = append(changes, Change{Action: "add", Kind: id.kind, Name: id.name})
		case old != encoding:
			changes = append(changes, Change{Action: "change", Kind: id.kind, Name: id.name})
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			changes = append(changes, Change{Action: "remove", Kind: id.kind, Name: id.name})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].Kind != changes[j].Kind {
			return changes[i].Kind < changes[j].Kind
		}
		return changes[i].Name < changes[j].Name
	})
	return changes
}

type itemID struct{ kind, name string }

func encodeItems(d Declaration) map[itemID]string {
	all := map[itemID]string{}
	for _, item := range d.DataCentres {
		all[itemID{"data-centre", item.Name}] = encode(item)
	}
	for _, item := range d.Classes {
		all[itemID{"class", item.Name}] = encode(item)
	}
	for _, item := range d.Models {
		all[itemID{"model", item.Name}] = encode(item)
	}
	for _, item := range d.Routes {
		all[itemID{"route", item.Name}] = encode(item)
	}
	for _, item := range d.Targets {
		all[itemID{"target", item.Name}] = encode(item)
	}
	for _, item := range d.Workspaces {
		all[itemID{"workspace", item.Name}] = encode(item)
	}
	return all
}

// encode returns the JSON of a declared item. All fields of the declaration types
// can be encoded as JSON.
func encode(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprintf("%+v", v)
	}
	return string(data)
}
