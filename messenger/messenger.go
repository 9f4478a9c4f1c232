// Package messenger carries JSON-RPC messages between instances over TCP. It pings
// idle connections and closes unresponsive ones.
package messenger

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gypsumwharf/gypsumwharf/acceptor"
	"github.com/gypsumwharf/gypsumwharf/connector"
)

// Errors of a call to another instance.
var (
	// ErrUnreachable means that no connection could be made: the message was not delivered.
	ErrUnreachable = errors.New("instance unreachable")
	// ErrNoAnswer means that the message may have been delivered, but no response was received.
	ErrNoAnswer = errors.New("no answer from instance")
	// ErrRefused means that the other instance answered with an error.
	ErrRefused = errors.New("instance refused the message")
)

const pingMethod = "ping"

// messagesAtOnce is how many of the longest messages are read at once.
const messagesAtOnce = 2

// codeRefused is the JSON-RPC error code for an error that a handler returns.
const codeRefused = 1

// Handler answers one message. An error reaches the caller as ErrRefused.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Messenger sends messages to other instances and answers theirs. It is safe for
// concurrent use, but Handle must not be called after Serve.
type Messenger struct {
	options  Options
	codec    boundedCodec
	handlers map[string]Handler

	mu          sync.Mutex
	connections map[string]*connection
	dialLocks   map[string]*sync.Mutex

	bytesReceived atomic.Int64
	bytesSent     atomic.Int64
}

// New returns a messenger without connections.
func New(o Options) *Messenger {
	o = o.withDefaults()
	return &Messenger{
		options:     o,
		codec:       boundedCodec{maxBytes: o.MaxMessageBytes, budget: connector.NewBudget(messagesAtOnce * o.MaxMessageBytes)},
		handlers:    map[string]Handler{},
		connections: map[string]*connection{},
		dialLocks:   map[string]*sync.Mutex{},
	}
}

// Handle sets the handler of a method.
func (m *Messenger) Handle(method string, h Handler) { m.handlers[method] = h }

// Bytes returns how many bytes were received and sent since the start.
func (m *Messenger) Bytes() (received, sent int64) { return m.bytesReceived.Load(), m.bytesSent.Load() }

// Serve accepts connections until the context ends, then closes the listener and
// all connections and waits for them.
func (m *Messenger) Serve(ctx context.Context, listener net.Listener) error {
	listener = acceptor.Listen(listener, m.options.OnAcceptFailure)
	if m.options.Security != nil {
		listener = tls.NewListener(listener, m.options.Security.Server())
	}
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() {
		<-ctx.Done()
		listener.Close()
		m.closeAll()
	})
	for {
		accepted, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		group.Go(func() {
			c := m.startConnection(ctx, accepted)
			<-c.rpc.DisconnectNotify()
		})
	}
}

// Call sends a message to the instance at an address and decodes the response into result.
func (m *Messenger) Call(ctx context.Context, address, method string, params, result any) error {
	c, err := m.connect(ctx, address)
	if err != nil {
		return err
	}
	err = c.rpc.Call(ctx, method, params, result)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return errors.Wrap(ErrRefused, remote.Message)
	default:
		return errors.Wrapf(ErrNoAnswer, "%s to %s: %v", method, address, err)
	}
}

// connect returns the open connection to an address or dials one; concurrent
// callers share one dial.
func (m *Messenger) connect(ctx context.Context, address string) (*connection, error) {
	m.mu.Lock()
	if c, ok := m.connections[address]; ok {
		m.mu.Unlock()
		return c, nil
	}
	dialLock, ok := m.dialLocks[address]
	if !ok {
		dialLock = &sync.Mutex{}
		m.dialLocks[address] = dialLock
	}
	m.mu.Unlock()

	dialLock.Lock()
	defer dialLock.Unlock()
	m.mu.Lock()
	c, ok := m.connections[address]
	m.mu.Unlock()
	if ok {
		return c, nil
	}
	return m.dial(ctx, address)
}

func (m *Messenger) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := m.dialTransport(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	// The connection outlives the call that dialled it; monitor closes it.
	c := m.startConnection(context.WithoutCancel(ctx), conn)
	m.mu.Lock()
	m.connections[address] = c
	m.mu.Unlock()
	go func() {
		<-c.rpc.DisconnectNotify()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.connections[address] == c {
			delete(m.connections, address)
		}
	}()
	return c, nil
}

// dialTransport makes a TCP or TLS connection. It completes the TLS handshake, so
// that a failed one results in ErrUnreachable and not in ErrNoAnswer.
func (m *Messenger) dialTransport(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: m.options.DialTimeout.Duration()}
	if m.options.Security == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	config, err := m.options.Security.Client()
	if err != nil {
		return nil, err
	}
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, "tcp", address)
}

func (m *Messenger) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, c := range m.connections {
		c.rpc.Close()
		delete(m.connections, address)
	}
}

// Close closes all connections that this messenger dialled.
func (m *Messenger) Close() { m.closeAll() }

// connection is a TCP connection with the time of the last received byte.
type connection struct {
	rpc          *jsonrpc2.Conn
	lastReceived atomic.Int64 // nanoseconds since the Unix epoch
}

func (m *Messenger) startConnection(ctx context.Context, conn net.Conn) *connection {
	c := &connection{}
	c.lastReceived.Store(time.Now().UnixNano())
	counted := &countedConn{Conn: conn, messenger: m, connection: c}
	stream := jsonrpc2.NewBufferedStream(counted, m.codec)
	handler := jsonrpc2.HandlerWithError(m.dispatch).SuppressErrClosed()
	c.rpc = jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(handler))
	go m.monitor(ctx, c)
	return c
}

// dispatch passes a message to its handler and maps the handler's error to codeRefused.
func (m *Messenger) dispatch(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if request.Method == pingMethod {
		return struct{}{}, nil
	}
	handler, ok := m.handlers[request.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + request.Method}
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := handler(ctx, params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeRefused, Message: err.Error()}
	}
	return result, nil
}

// monitor pings an idle connection and closes it if nothing is received.
func (m *Messenger) monitor(ctx context.Context, c *connection) {
	ticker := time.NewTicker(m.options.PingAfter.Duration() / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.rpc.Close()
			return
		case <-c.rpc.DisconnectNotify():
			return
		case <-ticker.C:
		}
		idle := time.Since(time.Unix(0, c.lastReceived.Load()))
		if idle > m.options.CloseAfter.Duration() {
			c.rpc.Close()
			return
		}
		if idle > m.options.PingAfter.Duration() {
			go c.ping(ctx, m.options.CloseAfter.Duration())
		}
	}
}

func (c *connection) ping(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Only the received bytes matter: without them, monitor closes the connection.
	_ = c.rpc.Call(ctx, pingMethod, struct{}{}, nil)
}

// countedConn counts bytes and records when the last one was received.
type countedConn struct {
	net.Conn
	messenger  *Messenger
	connection *connection
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.connection.lastReceived.Store(time.Now().UnixNano())
		c.messenger.bytesReceived.Add(int64(n))
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.messenger.bytesSent.Add(int64(n))
	return n, err
}
