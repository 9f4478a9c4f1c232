package faker

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/orderer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// errCrashed is what a caller sees of an engine that crashed.
var errCrashed = errors.New("engine does not answer")

// ReceivedOrder is an order that reached an engine.
type ReceivedOrder struct {
	orderer.EngineOrder
	At      timekeeper.Millis `json:"at"`
	Refused bool              `json:"refused"`
}

// EngineControl is a stand-in for the order interface of an engine. It records
// every order that reached it and the conflicts among those it took.
type EngineControl struct {
	clock  timekeeper.Clock
	name   string
	checks bool
	takes  timekeeper.Millis

	mu        sync.Mutex
	state     orderer.EngineState
	change    orderer.EngineOrder
	until     timekeeper.Millis
	ids       map[string]orderer.EngineOrder
	received  []ReceivedOrder
	conflicts []string
	down      bool
	fault     func(orderer.EngineOrder) Fault
	running   func() int
	changed   func(orderer.EngineState)
}

var _ orderer.Engine = (*EngineControl)(nil)

// NewEngineControl returns the control of an engine that checks fencing tokens
// or ignores them, and needs a time for a change of role or model.
func NewEngineControl(c timekeeper.Clock, name string, role orderer.Role, checks bool, takes timekeeper.Millis) *EngineControl {
	return &EngineControl{
		clock: c, name: name, checks: checks, takes: takes,
		state: orderer.EngineState{Role: role}, ids: map[string]orderer.EngineOrder{},
	}
}

// Handler serves the order interface beside those of an engine, which reports
// that it is leaving while it is drained or changed.
func (e *EngineControl) Handler(engine *Engine) http.Handler {
	e.Attach(func() int {
		load := engine.Load()
		return load.Running + load.Waiting
	}, func(s orderer.EngineState) { engine.SetLeaving(s.Draining || s.Changing != "") })
	s := echo.New()
	s.HideBanner = true
	e.Register(s)
	s.Any("/*", echo.WrapHandler(engine.Handler()))
	return s
}

// SetFault sets the fault of each later order; nil ends all faults.
func (e *EngineControl) SetFault(f func(orderer.EngineOrder) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Attach connects the control to an engine: running counts its requests, and
// changed is told every new state; either may be nil.
func (e *EngineControl) Attach(running func() int, changed func(orderer.EngineState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running, e.changed = running, changed
}

// SetRunning sets the number of running requests of an engine without a counter.
func (e *EngineControl) SetRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Running = n
}

// Crash ends a change in progress without effect and forgets the ids of orders;
// the engine does not answer while down.
func (e *EngineControl) Crash(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
	e.change, e.ids = orderer.EngineOrder{}, map[string]orderer.EngineOrder{}
	e.state.Changing, e.state.Draining, e.state.Running = "", false, 0
}

// Received returns the orders that reached the engine, in order of arrival.
func (e *EngineControl) Received() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedOrder(nil), e.received...)
}

// Conflicts describes the orders that were taken and must not have been.
func (e *EngineControl) Conflicts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.conflicts...)
}

// Send implements orderer.Engine without a network.
func (e *EngineControl) Send(ctx context.Context, order orderer.EngineOrder, permit func() error) error {
	if err := permit(); err != nil {
		return errors.Wrap(orderer.ErrNotSent, err.Error())
	}
	return e.Deliver(ctx, order)
}

// Deliver lets an order arrive, however it was sent.
func (e *EngineControl) Deliver(ctx context.Context, order orderer.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := NoFault
	if e.fault != nil {
		fault = e.fault(order)
	}
	if err := ctx.Err(); err != nil || e.down || fault == FaultUnavailable {
		return errors.Wrap(errCrashed, e.name)
	}
	if err := order.Check(); err != nil {
		return errors.Wrap(orderer.ErrRejected, err.Error())
	}
	e.settle()
	err := e.take(order)
	if fault == FaultLostAnswer {
		return errors.Wrap(errCrashed, e.name+": answer lost")
	}
	return err
}

// take judges an order and carries it out. The caller holds mu.
func (e *EngineControl) take(order orderer.EngineOrder) error {
	now := e.clock.Now()
	stale := order.Token < e.state.Token
	e.received = append(e.received, ReceivedOrder{EngineOrder: order, At: now, Refused: stale && e.checks})
	if stale && e.checks {
		return errors.Wrapf(orderer.ErrStale, "token %d, seen %d", order.Token, e.state.Token)
	}
	if stale {
		e.conflict("order %s of epoch %d after epoch %d", order.ID, order.Token, e.state.Token)
	}
	e.state.Token = max(e.state.Token, order.Token)
	if known, ok := e.ids[order.ID]; ok {
		known.Token = order.Token
		if known != order {
			e.conflict("id %s was used for another order", order.ID)
		}
		return nil
	}
	e.ids[order.ID] = order
	if e.state.Changing != "" && order.Action != orderer.ActionFence {
		e.conflict("order %s while %s is carried out", order.ID, e.state.Changing)
	}
	e.begin(order, now)
	return nil
}

func (e *EngineControl) begin(order orderer.EngineOrder, now timekeeper.Millis) {
	switch order.Action {
	case orderer.ActionDrain:
		e.state.Draining = true
	case orderer.ActionResume:
		e.state.Draining = false
	case orderer.ActionChangeRole, orderer.ActionLoad:
		if running := e.count(); running > 0 && (order.Adapter == "" || order.Model != "") {
			e.conflict("order %s interrupts %d requests", order.ID, running)
		}
		e.change, e.until, e.state.Changing = order, now+e.takes, order.ID
	}
	e.tell()
}

// settle ends a change whose time has passed. The caller holds mu.
func (e *EngineControl) settle() {
	if e.state.Changing == "" || e.clock.Now() < e.until {
		return
	}
	switch e.change.Action {
	case orderer.ActionChangeRole:
		e.state.Role, e.state.Draining = e.change.Role, false
	case orderer.ActionLoad:
		if e.change.Model != "" {
			e.state.Model, e.state.Version, e.state.Draining = e.change.Model, e.change.Version, false
		}
		if e.change.Adapter != "" {
			e.state.Adapters = append(e.state.Adapters, e.change.Adapter)
		}
	}
	e.state.Changing, e.change = "", orderer.EngineOrder{}
	e.tell()
}

func (e *EngineControl) tell() {
	if e.changed != nil {
		e.changed(e.state)
	}
}

func (e *EngineControl) count() int {
	if e.running != nil {
		return e.running()
	}
	return e.state.Running
}

func (e *EngineControl) conflict(format string, args ...any) {
	e.conflicts = append(e.conflicts, e.name+": "+fmt.Sprintf(format, args...))
}

// State implements orderer.Engine.
func (e *EngineControl) State(ctx context.Context) (orderer.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := ctx.Err(); err != nil || e.down {
		return orderer.EngineState{}, errors.Wrap(errCrashed, e.name)
	}
	e.settle()
	s := e.state
	s.Running = e.count()
	s.Adapters = append([]string(nil), s.Adapters...)
	if !e.checks {
		s.Token = 0
	}
	return s, nil
}

// Register adds the order interface to an engine's HTTP server.
func (e *EngineControl) Register(s *echo.Echo) {
	s.POST(orderer.OrdersPath, func(c echo.Context) error {
		var order orderer.EngineOrder
		if err := c.Bind(&order); err != nil {
			return err
		}
		err := e.Deliver(c.Request().Context(), order)
		switch {
		case errors.Is(err, orderer.ErrStale):
			return c.String(http.StatusPreconditionFailed, err.Error())
		case errors.Is(err, orderer.ErrRejected):
			return c.String(http.StatusConflict, err.Error())
		case err != nil:
			return c.String(http.StatusBadGateway, err.Error())
		}
		return c.NoContent(http.StatusNoContent)
	})
	s.GET(orderer.StatePath, func(c echo.Context) error {
		state, err := e.State(c.Request().Context())
		if err != nil {
			return c.String(http.StatusBadGateway, err.Error())
		}
		return c.JSON(http.StatusOK, state)
	})
	s.GET("/control/received", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Received()) })
	s.GET("/control/conflicts", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Conflicts()) })
}
