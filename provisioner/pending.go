package provisioner

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// pendingName is the object in the store that holds the changes of role in progress.
const (
	pendingKind = "role-changes"
	pendingName = pendingKind + "/pending"
)

// pendingTimeout bounds the calls on the store to read or to store them. Orders don't wait
// longer.
const pendingTimeout = 500 * timekeeper.Millisecond

// errInvalidPending means that the stored changes of role can't be used.
var errInvalidPending = errors.New("invalid pending change of role")

// PendingChange is an ordered change of role that the engine had not completed when it
// was stored.
type PendingChange struct {
	Role string `json:"role"`
	// Started is the start time of the engine's process.
	Started timekeeper.Millis `json:"started"`
	// Until is the time of day at which the change no longer counts as in progress.
	Until timekeeper.Millis `json:"until"`
}

// PendingChanges are the changes of role in progress, by target.
type PendingChanges map[string]PendingChange

// Check returns an error unless all roles are known.
func (c PendingChanges) Check() error {
	for id, change := range c {
		if _, err := roleOf(change.Role); err != nil {
			return errors.Wrap(err, id)
		}
	}
	return nil
}

// roleOf returns the role with a name.
func roleOf(name string) (tracker.Role, error) {
	for _, r := range []tracker.Role{tracker.Prefill, tracker.Decode} {
		if r.String() == name {
			return r, nil
		}
	}
	return 0, errors.Wrapf(errInvalidPending, "role %q", name)
}

// With returns the changes with one more, which was ordered at a time of day.
func (c PendingChanges) With(o SetRole, at timekeeper.Millis) PendingChanges {
	return c.merge(PendingChanges{o.Target.ID: {Role: o.Role.String(), Started: o.Target.Started, Until: at + changeTimeout}})
}

// merge returns the changes of both; those of other replace those of the same engines.
func (c PendingChanges) merge(other PendingChanges) PendingChanges {
	next := PendingChanges{}
	maps.Copy(next, c)
	maps.Copy(next, other)
	return next
}

// At returns the changes that are still in progress at a time of day, which may be that of
// another machine.
func (c PendingChanges) At(now timekeeper.Millis) PendingChanges {
	next := PendingChanges{}
	for id, change := range c {
		if left := change.Until - now; left > 0 && left <= 2*changeTimeout {
			next[id] = change
		}
	}
	return next
}

// Left returns how much longer the change of an engine may take, or 0 if the engine has
// the role already or is another process.
func (c PendingChanges) Left(t tracker.Target, now timekeeper.Millis) timekeeper.Millis {
	change, ok := c.At(now)[t.ID]
	if !ok || change.Started != t.Started || change.Role == t.Role.String() {
		return 0
	}
	return min(change.Until-now, changeTimeout)
}

// LoadPending returns the stored changes of role, and the version of the object. The
// version is that of the object also if it can't be decoded.
func LoadPending(ctx context.Context, s storer.Objects) (PendingChanges, storer.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout.Duration())
	defer cancel()
	object, err := s.Get(ctx, pendingName)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var c PendingChanges
	if err := json.Unmarshal(object.Value, &c); err != nil {
		return nil, object.Version, errors.Wrap(errInvalidPending, err.Error())
	}
	if err := c.Check(); err != nil {
		return nil, object.Version, err
	}
	return c, object.Version, nil
}

// putPending replaces the stored changes of role and returns the new version.
func putPending(ctx context.Context, s storer.Objects, c PendingChanges, v storer.Version) (storer.Version, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return 0, errors.Wrap(err, "encode pending changes of role")
	}
	return s.Put(ctx, pendingName, data, v)
}

// ResumePending excludes the engines whose change of role is in progress from routing,
// as the instances did that knew of the orders. It returns how many there are.
func ResumePending(t *tracker.Tracker, c PendingChanges, now timekeeper.Millis) int {
	resumed := 0
	for _, target := range t.Targets() {
		if left := c.Left(target, now); left > 0 {
			t.RoleChanging(target.ID, left)
			resumed++
		}
	}
	return resumed
}
