package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Paths of an engine's order interface.
const (
	OrdersPath = "/control/orders"
	StatePath  = "/control/state"
)

const maxStateBytes = 1 << 16

// HTTPEngine speaks to an engine's order interface over HTTP. Every order goes
// over a connection of its own, because net/http may resend on a pooled one.
type HTTPEngine struct {
	base   string
	client *http.Client
}

var _ Engine = HTTPEngine{}

// NewHTTPEngine returns the interface to the engine at a base URL; client is used for states.
func NewHTTPEngine(base string, client *http.Client) HTTPEngine {
	return HTTPEngine{base: strings.TrimSuffix(base, "/"), client: client}
}

// Send implements Engine.
func (e HTTPEngine) Send(ctx context.Context, order EngineOrder, permit func() error) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+OrdersPath, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	end, _ := ctx.Deadline()
	g := &guard{permit: permit, end: end}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: g.dial}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil && !g.close() {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer response.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	switch {
	case response.StatusCode < 300:
		return nil
	case response.StatusCode == http.StatusPreconditionFailed:
		return errors.Wrap(ErrStale, string(detail))
	case response.StatusCode < 500:
		return errors.Wrapf(ErrRejected, "status %d: %s", response.StatusCode, detail)
	default:
		return errors.Errorf("send order: status %d: %s", response.StatusCode, detail)
	}
}

// State implements Engine.
func (e HTTPEngine) State(ctx context.Context) (EngineState, error) {
	var s EngineState
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+StatePath, nil)
	if err != nil {
		return s, errors.Wrap(err, "read engine state")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return s, errors.Wrap(err, "read engine state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, errors.Errorf("read engine state: status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&s)
	return s, errors.Wrap(err, "decode engine state")
}

// guard asks for permission at every write on its connection, after the
// connection was made: dialling may take seconds.
type guard struct {
	permit func() error
	end    time.Time

	mu     sync.Mutex
	wrote  bool
	closed bool
}

// close refuses later writes and reports whether anything was written.
func (g *guard) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.wrote
}

// allow reports whether a write may go out now.
func (g *guard) allow() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errors.Wrap(ErrNotSent, "the send was given up")
	}
	if err := g.permit(); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	g.wrote = true
	return nil
}

// dial sets the send's deadline itself, because the transport's dials do not carry it.
func (g *guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Deadline: g.end}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(g.end); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "bound order connection")
	}
	return &guardedConn{Conn: conn, guard: g}, nil
}

// guardedConn is a connection whose writes need permission.
type guardedConn struct {
	net.Conn
	guard *guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	if err := c.guard.allow(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// stateTimeout bounds a connection that is used for states.
const stateTimeout = 2 * time.Second

// NewStateClient returns a client for the states of engines.
func NewStateClient() *http.Client {
	return &http.Client{Timeout: stateTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}
}
