package server

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/reserver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// bodyBufferStep is the initial size of a body's buffer, in bytes.
	bodyBufferStep = 16 << 10
	// bodyRetryAfter is the time after which to repeat a request refused for lack of memory.
	bodyRetryAfter = 500 * timekeeper.Millisecond
	// holdingKey is the key of a request's holding in its context.
	holdingKey = "holding"
)

// BodyLimits bound the bodies of requests.
type BodyLimits struct {
	Bytes  int64 // Of one body.
	Rate   int64 // Least rate of a body, in bytes per second.
	Memory *reserver.Account
}

// accountForBody makes a request hold the memory of its body until it is served.
func (s *Server) accountForBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Request().ContentLength == 0 {
			return next(c)
		}
		control := http.NewResponseController(c.Response().Writer)
		holding := s.bodies.Memory.Receive(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }) // Fails only if the connection is closed.
		defer holding.Release()
		c.Set(holdingKey, holding)
		return next(c)
	}
}

// readBody reads the body of a request.
func (s *Server) readBody(c echo.Context) ([]byte, *Refusal) {
	holding, ok := c.Get(holdingKey).(*reserver.Holding)
	if !ok {
		return nil, nil
	}
	control := http.NewResponseController(c.Response().Writer)
	ctx := c.Request().Context()
	defer context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })() // Fails only if the connection is closed.
	r := bodyReader{body: c.Request().Body, length: c.Request().ContentLength, holding: holding, setDeadline: control.SetReadDeadline, aborted: func() bool { return ctx.Err() != nil }}
	data, err := r.readAll(s.bodies)
	if !holding.Received() {
		err = reserver.ErrEvicted
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
		return data, nil
	}
	c.Response().Header().Set(echo.HeaderConnection, "close")
	switch {
	case errors.Is(context.Cause(ctx), ErrAborted):
		return nil, RefuseLeaving()
	case errors.Is(err, reserver.ErrFull), errors.Is(err, reserver.ErrEvicted):
		return nil, refuseForMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, Refuse(CodeBadRequest, "body arrives more slowly than %d bytes per second", s.bodies.Rate).WithField("body")
	case errors.Is(err, errBodyTooLarge):
		return nil, Refuse(CodeBodyTooLarge, "body exceeds %d bytes", s.bodies.Bytes).WithField("body")
	default:
		return nil, Refuse(CodeBadRequest, "body could not be read: %v", err)
	}
}

// reservePrompt reserves the memory of a prompt, which is a copy of most of the body.
func reservePrompt(c echo.Context, body []byte) *Refusal {
	holding, ok := c.Get(holdingKey).(*reserver.Holding)
	if !ok || holding.Reserve(int64(len(body))) == nil {
		return nil
	}
	return refuseForMemory()
}

// refuseForMemory refuses a request for which there is no memory.
func refuseForMemory() *Refusal {
	return Refuse(CodeQueueFull, "bodies of requests use up the memory").WithRetryAfter(bodyRetryAfter)
}

var errBodyTooLarge = errors.New("body is too large")

// bodyReader reads one body.
type bodyReader struct {
	body        io.Reader
	length      int64 // Announced; not positive if it was not.
	holding     *reserver.Holding
	setDeadline func(time.Time) error
	aborted     func() bool // The deadline must not be moved any more.
}

// readAll reads the whole body. Its buffer grows by copying, for which the memory is
// reserved before.
func (r bodyReader) readAll(limits BodyLimits) ([]byte, error) {
	if r.length > limits.Bytes {
		return nil, errBodyTooLarge
	}
	pace, deadline := reserver.NewPace(limits.Rate, time.Now())
	_ = r.setDeadline(deadline) // If it cannot be set, the caller's own timeout applies.
	var data []byte
	for {
		if len(data) == cap(data) {
			growth := max(bodyBufferStep, len(data))
			if left := int(r.length) - len(data); left > 0 {
				growth = min(growth, left)
			}
			if err := r.holding.Reserve(int64(len(data) + growth)); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), len(data)+growth)
			copy(grown, data)
			r.holding.Return(int64(cap(data)))
			data = grown
		}
		n, err := r.body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		var changed bool
		pace, deadline, changed = pace.WithReceived(n, time.Now())
		switch {
		case int64(len(data)) > limits.Bytes:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, errors.Wrap(err, "read body")
		case r.holding.Evicted(), r.aborted():
			return nil, reserver.ErrEvicted
		case changed:
			_ = r.setDeadline(deadline) // As above.
		}
	}
}
