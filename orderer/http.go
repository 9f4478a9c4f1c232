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

	"github.com/gypsumwharf/gypsumwharf/connector"
)

// Paths of an engine's order interface.
const (
	OrdersPath = "/control/orders"
	StatePath  = "/control/state"
)

const maxStateBytes = 1 << 16

// HTTPEngine calls an engine's order interface over HTTP. Each order uses a new
// connection, because net/http may retry a request on a pooled one.
type HTTPEngine struct {
	base   string
	client *http.Client
}

var _ Engine = HTTPEngine{}

// NewHTTPEngine returns the interface to the engine at a base URL; client is used for state requests.
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
	deadline, _ := ctx.Deadline()
	g := &guard{permit: permit, deadline: deadline}
	response, err := connector.New(connector.Options{Dial: g.dial}).RoundTrip(request)
	if err != nil && !g.close() {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	detail, err := connector.ReadBody(response, maxStateBytes)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
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
		return s, errors.Wrap(err, "request engine state")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return s, errors.Wrap(err, "request engine state")
	}
	data, err := connector.ReadBody(response, maxStateBytes)
	if err != nil {
		return s, errors.Wrap(err, "request engine state")
	}
	if response.StatusCode != http.StatusOK {
		return s, errors.Errorf("request engine state: status %d", response.StatusCode)
	}
	return s, errors.Wrap(json.Unmarshal(data, &s), "decode engine state")
}

// guard calls permit before every write on its connection, because dialling may
// take seconds and the lease may expire in that time.
type guard struct {
	permit   func() error
	deadline time.Time

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

// allow returns an error unless a write is permitted now.
func (g *guard) allow() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errors.Wrap(ErrNotSent, "send was abandoned")
	}
	if err := g.permit(); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	g.wrote = true
	return nil
}

// dial sets the send's deadline on the connection, because the transport does not
// pass it to a dial.
func (g *guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Deadline: g.deadline}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(g.deadline); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "set deadline of order connection")
	}
	return &guardedConn{Conn: conn, guard: g}, nil
}

// guardedConn is a connection whose writes its guard must allow.
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

const (
	// stateTimeout bounds one state request.
	stateTimeout = 2 * time.Second
	// stateIdleTimeout is how long an idle connection for state requests is kept.
	stateIdleTimeout = 30 * time.Second
)

// NewStateClient returns an HTTP client for requests of engine states.
func NewStateClient() *http.Client {
	return connector.NewClient(stateTimeout, connector.Options{Dial: new(net.Dialer).DialContext, IdleTimeout: stateIdleTimeout, MaxIdlePerHost: 1})
}
