// Package authenticator determines the workspace that a request runs for. It checks
// keys by hash against the catalogue and the set of withdrawn keys.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
)

// Errors returned by a check. Each means that the request did not run.
var (
	// ErrNoKey means that the route needs a key and the request has none.
	ErrNoKey = errors.New("request has no key")
	// ErrAmbiguous means that one request has different keys.
	ErrAmbiguous = errors.New("different keys came with the request")
	// ErrUnknown means that no contract in force has the key.
	ErrUnknown = errors.New("key is unknown")
	// ErrWithdrawn means that the key was withdrawn.
	ErrWithdrawn = errors.New("key was withdrawn")
	// ErrNotGranted means that the contract does not grant the route.
	ErrNotGranted = errors.New("route is not granted")
	// ErrIsolated means that the instance reaches neither a peer nor the platform.
	ErrIsolated = errors.New("instance is isolated")
	// ErrCutOff means that the data centre is cut off and the contract says to refuse
	// requests in that case.
	ErrCutOff = errors.New("data centre is cut off")
	// ErrMalformed means that a message, stored set or hash is not well formed.
	ErrMalformed = errors.New("withdrawals are malformed")
)

// Hash is the SHA-256 of a key.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// ParseHash decodes a hash from hexadecimal, the form used in contracts.
func ParseHash(s string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, errors.Wrapf(ErrMalformed, "hash %q", s)
	}
	copy(h[:], b)
	return h, nil
}

// String formats the hash in lower-case hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Caller is the workspace, class and key of an authenticated request. Key is empty
// and Hash is zero on an open route.
type Caller struct {
	Workspace declarer.Workspace
	Class     declarer.Class
	Key       string
	Hash      Hash
}

// Authenticator checks the keys of requests to one instance. It is safe for concurrent use.
type Authenticator struct {
	set *Set
}

// New returns an authenticator that uses a set of withdrawn keys.
func New(s *Set) *Authenticator { return &Authenticator{set: s} }

// Set returns the set of withdrawn keys.
func (a *Authenticator) Set() *Set { return a.set }

// Check authenticates a request with the given keys and authorises it for a route.
func (a *Authenticator) Check(c *declarer.Catalogue, route declarer.Route, keys []string, s Connectivity) (Caller, error) {
	if route.Open {
		return authorise(c, Caller{}, route.OpenWorkspace, route)
	}
	caller, owner, err := a.identify(c, keys)
	if err != nil {
		return Caller{}, err
	}
	if s == Isolated {
		return Caller{}, ErrIsolated
	}
	caller, err = authorise(c, caller, owner, route)
	if err != nil {
		return Caller{}, err
	}
	if s == CutOff && caller.Workspace.CutOff == declarer.WorkspaceCutOffRefuse {
		return Caller{}, ErrCutOff
	}
	return caller, nil
}

// Recheck returns an error if a waiting request or a resuming stream may no longer
// run, because its key was withdrawn or left the catalogue.
func (a *Authenticator) Recheck(c *declarer.Catalogue, h Hash) error {
	if h == (Hash{}) {
		return nil
	}
	if a.set.Has(h) {
		return ErrWithdrawn
	}
	if _, ok := c.KeyOwner(h.String()); !ok {
		return ErrUnknown
	}
	return nil
}

func (a *Authenticator) identify(c *declarer.Catalogue, keys []string) (Caller, string, error) {
	if len(keys) == 0 {
		return Caller{}, "", ErrNoKey
	}
	h := HashKey(keys[0])
	for _, key := range keys[1:] {
		if other := HashKey(key); subtle.ConstantTimeCompare(h[:], other[:]) != 1 {
			return Caller{}, "", ErrAmbiguous
		}
	}
	if a.set.Has(h) {
		return Caller{}, "", ErrWithdrawn
	}
	owner, ok := c.KeyOwner(h.String())
	if !ok || !matchesDeclaredHash(c, owner, h) {
		return Caller{}, "", ErrUnknown
	}
	return Caller{Key: owner.Key, Hash: h}, owner.Workspace, nil
}

// matchesDeclaredHash compares the presented hash with the declared one in constant
// time. The preceding index lookup is by hash, so its timing reveals nothing about a key.
func matchesDeclaredHash(c *declarer.Catalogue, owner declarer.KeyOwner, h Hash) bool {
	w, _ := c.Workspace(owner.Workspace)
	for _, key := range w.Keys {
		if key.Name == owner.Key {
			return subtle.ConstantTimeCompare([]byte(key.Hash), []byte(h.String())) == 1
		}
	}
	return false
}

func authorise(c *declarer.Catalogue, caller Caller, workspace string, route declarer.Route) (Caller, error) {
	w, ok := c.Workspace(workspace)
	if !ok {
		return Caller{}, errors.Wrapf(ErrUnknown, "workspace %q", workspace)
	}
	class, ok := c.Grant(workspace, route.Name)
	if !ok {
		return Caller{}, errors.Wrapf(ErrNotGranted, "workspace %q, route %q", workspace, route.Name)
	}
	caller.Workspace, caller.Class = w, class
	return caller, nil
}
