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

// errCrashed is returned for calls to an engine that crashed.
var errCrashed = errors.New("engine does not answer")

// ReceivedOrder is an order that reached an engine.
type ReceivedOrder struct {
	orderer.EngineOrder
	At      timekeeper.Millis `json:"at"`
	Refused bool              `json:"refused"`
}

// EngineControl is a stand-in for the order interface of an engine. It records
// every order that reached it and the conflicts among those it accepted.
type EngineControl struct {
	clock        timekeeper.Clock
	name         string
	checksTokens bool
	changeTime   timekeeper.Millis

	mu            sync.Mutex
	state         orderer.EngineState
	currentChange orderer.EngineOrder
	changeEnd     timekeeper.Millis
	seenOrders    map[string]orderer.EngineOrder
	received      []ReceivedOrder
	conflicts     []string
	down          bool
	fault         func(orderer.EngineOrder) Fault
	countRunning  func() int
	onChange      func(orderer.EngineState)
}

var _ orderer.Engine = (*EngineControl)(nil)

// NewEngineControl returns the control of an engine. checksTokens says whether it
// rejects stale fencing tokens; changeTime is how long a change of role or model takes.
func NewEngineControl(c timekeeper.Clock, name string, role orderer.Role, checksTokens bool, changeTime timekeeper.Millis) *EngineControl {
	return &EngineControl{
		clock: c, name: name, checksTokens: checksTokens, changeTime: changeTime,
		state: orderer.EngineState{Role: role}, seenOrders: map[string]orderer.EngineOrder{},
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

// SetFault sets a function that chooses the fault of each later order; nil ends all faults.
func (e *EngineControl) SetFault(f func(orderer.EngineOrder) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Attach connects the control to an engine: countRunning returns its number of
// requests, and onChange is called with every new state; either may be nil.
func (e *EngineControl) Attach(countRunning func() int, onChange func(orderer.EngineState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countRunning, e.onChange = countRunning, onChange
}

// SetRunning sets the number of running requests of an engine without a counter.
func (e *EngineControl) SetRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Running = n
}

// Crash aborts a change in progress and discards the ids of received orders; the
// engine does not answer while down.
func (e *EngineControl) Crash(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
	e.currentChange, e.seenOrders = orderer.EngineOrder{}, map[string]orderer.EngineOrder{}
	e.state.Changing, e.state.Draining, e.state.Running = "", false, 0
}

// Received returns the orders that reached the engine, in order of arrival.
func (e *EngineControl) Received() []ReceivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedOrder(nil), e.received...)
}

// Conflicts describes the orders that were accepted but should not have been.
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

// Deliver handles an order that reached the engine by any transport.
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
	e.finishChange()
	err := e.accept(order)
	if fault == FaultLostAnswer {
		return errors.Wrap(errCrashed, e.name+": answer lost")
	}
	return err
}

// accept checks an order, records it and executes it unless its token is stale or its
// id is known. The caller holds mu.
func (e *EngineControl) accept(order orderer.EngineOrder) error {
	now := e.clock.Now()
	stale := order.Token < e.state.Token
	e.received = append(e.received, ReceivedOrder{EngineOrder: order, At: now, Refused: stale && e.checksTokens})
	if stale && e.checksTokens {
		return errors.Wrapf(orderer.ErrStale, "token %d, seen %d", order.Token, e.state.Token)
	}
	if stale {
		e.recordConflict("order %s of epoch %d after epoch %d", order.ID, order.Token, e.state.Token)
	}
	e.state.Token = max(e.state.Token, order.Token)
	if known, ok := e.seenOrders[order.ID]; ok {
		known.Token = order.Token
		if known != order {
			e.recordConflict("id %s was used for another order", order.ID)
		}
		return nil
	}
	e.seenOrders[order.ID] = order
	if e.state.Changing != "" && order.Action != orderer.ActionFence {
		e.recordConflict("order %s while %s is carried out", order.ID, e.state.Changing)
	}
	e.execute(order, now)
	return nil
}

func (e *EngineControl) execute(order orderer.EngineOrder, now timekeeper.Millis) {
	switch order.Action {
	case orderer.ActionDrain:
		e.state.Draining = true
	case orderer.ActionResume:
		e.state.Draining = false
	case orderer.ActionChangeRole, orderer.ActionLoad:
		if running := e.runningRequests(); running > 0 && (order.Adapter == "" || order.Model != "") {
			e.recordConflict("order %s interrupts %d requests", order.ID, running)
		}
		e.currentChange, e.changeEnd, e.state.Changing = order, now+e.changeTime, order.ID
	}
	e.notify()
}

// finishChange applies a change whose time has passed. The caller holds mu.
func (e *EngineControl) finishChange() {
	if e.state.Changing == "" || e.clock.Now() < e.changeEnd {
		return
	}
	switch e.currentChange.Action {
	case orderer.ActionChangeRole:
		e.state.Role, e.state.Draining = e.currentChange.Role, false
	case orderer.ActionLoad:
		if e.currentChange.Model != "" {
			e.state.Model, e.state.Version, e.state.Draining = e.currentChange.Model, e.currentChange.Version, false
		}
		if e.currentChange.Adapter != "" {
			e.state.Adapters = append(e.state.Adapters, e.currentChange.Adapter)
		}
	}
	e.state.Changing, e.currentChange = "", orderer.EngineOrder{}
	e.notify()
}

func (e *EngineControl) notify() {
	if e.onChange != nil {
		e.onChange(e.state)
	}
}

func (e *EngineControl) runningRequests() int {
	if e.countRunning != nil {
		return e.countRunning()
	}
	return e.state.Running
}

func (e *EngineControl) recordConflict(format string, args ...any) {
	e.conflicts = append(e.conflicts, e.name+": "+fmt.Sprintf(format, args...))
}

// State implements orderer.Engine.
func (e *EngineControl) State(ctx context.Context) (orderer.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := ctx.Err(); err != nil || e.down {
		return orderer.EngineState{}, errors.Wrap(errCrashed, e.name)
	}
	e.finishChange()
	s := e.state
	s.Running = e.runningRequests()
	s.Adapters = append([]string(nil), s.Adapters...)
	if !e.checksTokens {
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
