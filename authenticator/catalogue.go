package authenticator

import "github.com/gypsumwharf/gypsumwharf/declarer"

// CatalogueKeys adapts a catalogue to KeyLookup.
type CatalogueKeys struct{ *declarer.Catalogue }

// HasKey implements KeyLookup.
func (k CatalogueKeys) HasKey(h Hash) bool {
	_, ok := k.KeyOwner(h.String())
	return ok
}
