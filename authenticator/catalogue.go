package authenticator

import "github.com/gypsumwharf/gypsumwharf/declarer"

// Keyring tells the set which keys a catalogue has.
type Keyring struct{ *declarer.Catalogue }

// HasKey implements Catalogue.
func (k Keyring) HasKey(h Hash) bool {
	_, ok := k.KeyOwner(h.String())
	return ok
}
