package follower

import (
	"slices"

	"github.com/gypsumwharf/gypsumwharf/storer"
)

// Encoded returns the change set as it is sent: its versions are revisions, as programs read
// them that know no eras, and the era is beside them.
func (n News) Encoded() News {
	era := n.At.Era()
	if era == 0 {
		return n
	}
	n.Era, n.From, n.At = era, storer.Version(n.From.Revision()), storer.Version(n.At.Revision())
	n.Items = slices.Clone(n.Items)
	for i := range n.Items {
		n.Items[i].Version = storer.Version(n.Items[i].Version.Revision())
	}
	return n
}

// Decoded returns a change set that was received. If it names no era, it belongs to the
// given one. It returns false if a version is out of range.
func (n News) Decoded(implied storer.Era) (News, bool) {
	era := n.Era
	if era == 0 {
		era = implied
	}
	n.Era, n.Items = 0, slices.Clone(n.Items)
	versions := []*storer.Version{&n.From, &n.At}
	for i := range n.Items {
		versions = append(versions, &n.Items[i].Version)
	}
	for _, v := range versions {
		var err error
		if *v, err = storer.NewVersion(era, int64(*v)); err != nil {
			return n, false
		}
	}
	return n, true
}
