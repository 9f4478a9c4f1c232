package orderer

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// Errors of an engine. Any other error leaves open whether the order arrived.
var (
	// ErrNotSent means that the order certainly did not reach the engine.
	ErrNotSent = errors.New("order was not sent")
	// ErrStale means that the engine refused an old fencing token.
	ErrStale = errors.New("engine refused an old fencing token")
	// ErrRejected means that the engine refused the order itself.
	ErrRejected = errors.New("engine rejected the order")
	// ErrGone means that the target does not exist any more.
	ErrGone = errors.New("target is gone")
	// ErrNoEffect means that the order was taken but never showed an effect.
	ErrNoEffect = errors.New("order had no effect")
	// ErrNotDelivered means that the platform has no such target to give.
	ErrNotDelivered = errors.New("platform cannot deliver the target")
)

// Engine takes the orders for one engine.
type Engine interface {
	// Send delivers an order. It calls permit immediately before it writes and
	// returns ErrNotSent with the cause when permit fails.
	Send(ctx context.Context, order EngineOrder, permit func() error) error
	// State returns what the engine says about itself.
	State(ctx context.Context) (EngineState, error)
}

// ID returns the order's identity, under which it runs at most once.
func (o Order) ID() string { return fmt.Sprintf("%d-%d", o.Epoch, o.Sequence) }

// Check reports an order that cannot be carried out.
func (o Order) Check() error {
	if o.Epoch < 1 || o.Sequence < 1 {
		return errors.Wrapf(ErrMalformed, "order %s without epoch or sequence", o.ID())
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
		return errors.Wrapf(ErrMalformed, "order %s (%s) needs %s", o.ID(), o.Action, missing)
	}
	return nil
}

// drains reports whether the target must run nothing when the order arrives. An
// adapter is added beside the running work.
func (o Order) drains() bool {
	switch o.Action {
	case ActionChangeRole, ActionStop:
		return true
	case ActionLoad:
		return o.Model != ""
	default:
		return false
	}
}

// Check reports an engine order that an engine cannot take.
func (e EngineOrder) Check() error {
	if e.ID == "" || e.Token < 1 || e.Action == "" {
		return errors.Wrapf(ErrMalformed, "engine order %q with token %d and action %q", e.ID, e.Token, e.Action)
	}
	return nil
}

// Check reports a state that no engine can be in.
func (s EngineState) Check() error {
	if s.Running < 0 || s.Token < 0 {
		return errors.Wrapf(ErrMalformed, "engine state with %d running and token %d", s.Running, s.Token)
	}
	return nil
}

// shows reports whether the state has the effect of an order.
func (s EngineState) shows(o Order) bool {
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
