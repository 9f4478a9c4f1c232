package orderer

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// Errors of an engine. After any other error it is unknown whether the order arrived.
var (
	// ErrNotSent means that the order certainly did not reach the engine.
	ErrNotSent = errors.New("order was not sent")
	// ErrStale means that the engine refused a stale fencing token.
	ErrStale = errors.New("engine refused a stale fencing token")
	// ErrRejected means that the engine or the platform rejected the order itself.
	ErrRejected = errors.New("order was rejected")
	// ErrGone means that the target no longer exists.
	ErrGone = errors.New("target no longer exists")
	// ErrNoEffect means that the order was sent as often as allowed and had no effect.
	ErrNoEffect = errors.New("order had no effect")
	// ErrNoCapacity means that the platform has no such target available.
	ErrNoCapacity = errors.New("platform cannot provide the target")
)

// Engine is the order interface of one engine.
type Engine interface {
	// Send delivers an order. It calls permit immediately before it writes and
	// returns ErrNotSent with the cause when permit fails.
	Send(ctx context.Context, order EngineOrder, permit func() error) error
	// State returns the state that the engine reports.
	State(ctx context.Context) (EngineState, error)
}

// ID returns the order's id. An order runs at most once under it.
func (o Order) ID() string { return fmt.Sprintf("%d-%d", o.Epoch, o.Sequence) }

// Check returns an error if the order cannot be carried out.
func (o Order) Check() error {
	if o.Epoch < 1 || o.Sequence < 1 {
		return errors.Wrapf(ErrMalformed, "order %s has no valid epoch or sequence", o.ID())
	}
	var missing string
	switch o.Action {
	case ActionStart:
		if o.Purchase == "" || o.Kind == "" {
			missing = "purchase and kind"
		}
	case ActionChangeRole:
		if o.Role == RoleBlank {
			missing = "role"
		}
	case ActionLoad:
		if o.Model == "" && o.Adapter == "" {
			missing = "model or adapter"
		}
	case ActionDrain, ActionResume, ActionFence, ActionStop:
	default:
		return errors.Wrapf(ErrMalformed, "order %s: unknown action %q", o.ID(), o.Action)
	}
	if o.Action != ActionStart && o.Target == "" {
		missing = "target"
	}
	if missing != "" {
		return errors.Wrapf(ErrMalformed, "order %s (%s) lacks %s", o.ID(), o.Action, missing)
	}
	return nil
}

// needsDrain reports whether the target must run no requests when the order
// arrives. An adapter is loaded while requests run.
func (o Order) needsDrain() bool {
	switch o.Action {
	case ActionChangeRole, ActionStop:
		return true
	case ActionLoad:
		return o.Model != ""
	default:
		return false
	}
}

// Check returns an error if no engine can accept the order.
func (e EngineOrder) Check() error {
	if e.ID == "" || e.Token < 1 || e.Action == "" {
		return errors.Wrapf(ErrMalformed, "engine order %q has invalid id, token %d or action %q", e.ID, e.Token, e.Action)
	}
	return nil
}

// Check returns an error if the state is impossible.
func (s EngineState) Check() error {
	if s.Running < 0 || s.Token < 0 {
		return errors.Wrapf(ErrMalformed, "engine state has %d running requests and token %d", s.Running, s.Token)
	}
	return nil
}

// reflects reports whether the state shows the effect of an order.
func (s EngineState) reflects(o Order) bool {
	switch o.Action {
	case ActionChangeRole:
		return s.Role == o.Role
	case ActionLoad:
		return (o.Model == "" || s.Model == o.Model && s.Version == o.Version) &&
			(o.Adapter == "" || slices.Contains(s.Adapters, o.Adapter))
	case ActionDrain:
		return s.Draining
	case ActionResume:
		return !s.Draining
	case ActionFence:
		return true
	default:
		return false
	}
}
