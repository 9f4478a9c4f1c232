// Package storer defines the interface to the platform: versioned objects with
// conditional updates and watches, orders for targets, usage reports and the list
// of instances. Client implements it over HTTP; another platform needs only
// another client.
package storer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of the platform, independent of the transport.
var (
	// ErrNotFound means that no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object does not have the expected version; nothing was changed.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the platform did not accept the call; nothing was changed.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the response was lost: the change may have taken effect.
	ErrOutcomeUnknown = errors.New("platform response lost, outcome uncertain")
	// ErrTooLarge means that a value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("object value too large")
	// ErrStaleToken means that the platform refused a call with a stale fencing token.
	ErrStaleToken = errors.New("fencing token is older than one already seen")
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a named value in the store with the version of its last change.
type Object struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// Objects is the interface to the versioned objects. It is safe for concurrent use.
type Objects interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put replaces the value if the object's version is expected (0 creates) and
	// returns the new version.
	Put(ctx context.Context, name string, value []byte, expected Version) (Version, error)
	// Delete removes the object if its version is expected.
	Delete(ctx context.Context, name string, expected Version) error
	// List returns the objects whose names start with prefix, sorted by name, without values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits for changes after a version to objects whose names start with
	// prefix. It returns them and the version to continue from, or no changes when
	// the platform ends the wait.
	Watch(ctx context.Context, prefix string, after Version) ([]Object, Version, error)
}

// OrderAction is the action that an order requests from the platform.
type OrderAction string

// Actions of target orders.
const (
	ActionStart OrderAction = "start"
	ActionStop  OrderAction = "stop"
)

// TargetOrder requests the start or stop of a target in a data centre. The
// platform carries out each order id once.
type TargetOrder struct {
	ID         string      `json:"id"`
	DataCentre string      `json:"data-centre"`
	Token      int64       `json:"token"`
	Action     OrderAction `json:"action"`
	Target     string      `json:"target,omitempty"`
	Kind       string      `json:"kind,omitempty"`
	Purchase   string      `json:"purchase,omitempty"`
	Zone       string      `json:"zone,omitempty"`
	Role       string      `json:"role,omitempty"`
	Model      string      `json:"model,omitempty"`
}

// OrderedTarget is a target that the platform runs or is about to run.
type OrderedTarget struct {
	OrderID    string            `json:"order-id"`
	Name       string            `json:"name"`
	URL        string            `json:"url"`
	DataCentre string            `json:"data-centre"`
	Zone       string            `json:"zone"`
	Purchase   string            `json:"purchase"`
	State      string            `json:"state"` // ordered, running, leaving or unavailable
	LeavesAt   timekeeper.Millis `json:"leaves-at,omitempty"`
}

// Targets is the interface for ordering targets.
type Targets interface {
	Order(ctx context.Context, order TargetOrder) error
	ListOrdered(ctx context.Context, dataCentre string) ([]OrderedTarget, error)
}

// UsageLine is the usage of one workspace, key, model and route in a window.
type UsageLine struct {
	Workspace    string `json:"workspace"`
	Key          string `json:"key"`
	Model        string `json:"model"`
	Route        string `json:"route"`
	PromptTokens int64  `json:"prompt-tokens"`
	CachedTokens int64  `json:"cached-tokens"`
	OutputTokens int64  `json:"output-tokens"`
	Calls        int64  `json:"calls"`
}

// UsageReport is one sealed window of one data centre.
type UsageReport struct {
	Window     string            `json:"window"`
	DataCentre string            `json:"data-centre"`
	Start      timekeeper.Millis `json:"start"`
	End        timekeeper.Millis `json:"end"`
	Token      int64             `json:"token"`
	Lines      []UsageLine       `json:"lines"`
	Late       []UsageLine       `json:"late"`
}

// Usage is the interface for usage reports. Reporting a window again with the
// same figures is idempotent.
type Usage interface {
	Report(ctx context.Context, report UsageReport) error
}

// ListedInstance is an entry of the platform's list of instances.
type ListedInstance struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data-centre"`
	PeerAddress string `json:"peer-address"`
	// OperatorAddress is where operators reach the instance.
	OperatorAddress string `json:"operator-address"`
	Leaving         bool   `json:"leaving"`
}

// Instances is the platform's list of instances. The list may be stale, so it is
// only a hint.
type Instances interface {
	Register(ctx context.Context, instance ListedInstance) error
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// Platform is everything that the platform offers to an instance.
type Platform interface {
	Objects
	Targets
	Usage
	Instances
}

// Get decodes the value of an object with decode and returns its version; an
// object that does not exist has version 0 and the zero value.
func Get[T any](ctx context.Context, o Objects, name string, decode func([]byte) (T, error)) (T, Version, error) {
	var zero T
	object, err := o.Get(ctx, name)
	if errors.Is(err, ErrNotFound) {
		return zero, 0, nil
	}
	if err != nil {
		return zero, 0, err
	}
	value, err := decode(object.Value)
	if err != nil {
		return zero, 0, errors.Wrapf(err, "decode object %s", name)
	}
	return value, object.Version, nil
}
