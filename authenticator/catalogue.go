package authenticator

import "github.com/gypsumwharf/gypsumwharf/declarer"

// Keyring adapts a catalogue to KeyLookup.
type Keyring struct{ *declarer.Catalogue }

// HasKey implements KeyLookup.
func (k Keyring) HasKey(h Hash) bool {
	_, ok := k.KeyOwner(h.String())
	return ok
}
