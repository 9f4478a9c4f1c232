package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// abortTimeout is how long aborted requests may take to be answered.
const abortTimeout = 250 * time.Millisecond

// Drainer ends the servers of a process without cutting requests that can be answered. It
// is safe for concurrent use.
type Drainer struct {
	requests context.Context // Of which the contexts of all requests are made.
	abort    context.CancelCauseFunc
	cause    error
	closing  atomic.Bool // Answers close their connections.

	mu          sync.Mutex
	draining    bool
	servers     []*http.Server
	connections map[net.Conn]connState
	active      int           // Connections of whose requests one is handled or answered.
	quiet       chan struct{} // Closed when none is active; nil unless that is awaited.
}

// connState is the state of a connection that has had a request.
type connState int

const (
	idle connState = iota
	active
	closed // By the drainer: a request that is read nevertheless must not be handled.
)

// NewDrainer returns a drainer without servers. The contexts of requests that it aborts end
// with a cause.
func NewDrainer(cause error) *Drainer {
	requests, abort := context.WithCancelCause(context.Background())
	return &Drainer{requests: requests, abort: abort, cause: cause, connections: map[net.Conn]connState{}}
}

// connOfRequest is the key of a request's connection in its context.
type connOfRequest struct{}

// Attach adds a server, after its other hooks and before it serves. It returns false if the
// servers are draining already; then the server must not serve.
func (d *Drainer) Attach(s *http.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	handler, onState, connContext := s.Handler, s.ConnState, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connOfRequest{}).(net.Conn); ok && !d.begin(c) {
			panic(http.ErrAbortHandler) // Its connection was closed after it had been read.
		}
		closing := &closingWriter{ResponseWriter: w, drainer: d}
		handler.ServeHTTP(closing, r)
		closing.announce()
	})
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if onState != nil {
			onState(c, state)
		}
		d.setState(c, state)
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connOfRequest{}, c)
	}
	s.BaseContext = func(net.Listener) context.Context { return d.requests }
	d.servers = append(d.servers, s)
	return true
}

// begin reports whether a request of a connection may be handled.
func (d *Drainer) begin(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.connections[c] != closed
}

// setState records the state of a connection.
func (d *Drainer) setState(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.connections[c]
	if known && before == active && state != http.StateActive {
		d.active--
	}
	switch state {
	case http.StateActive:
		if before != active && before != closed {
			d.active++
			d.connections[c] = active
		}
	case http.StateIdle:
		d.connections[c] = idle
	case http.StateClosed, http.StateHijacked:
		delete(d.connections, c)
	}
	if d.active == 0 && d.quiet != nil {
		close(d.quiet)
		d.quiet = nil
	}
}

// CloseConnections makes each answer from now on close its connection.
func (d *Drainer) CloseConnections() { d.closing.Store(true) }

// Drain closes idle connections, and each other one after its answer. Requests on open
// connections are still handled; the listeners must be closed before. It waits until none is
// handled or the context ends. Then it aborts those that remain, closes all connections once
// they are answered, and returns how many it aborted. It must be called once.
func (d *Drainer) Drain(ctx context.Context) (aborted int) {
	d.CloseConnections()
	servers := d.closeIdle()
	if d.awaitQuiet(ctx) {
		// A request that is read from now on is not handled; one may have been just before.
		stopHandling(servers)
	}
	if !d.awaitQuiet(ctx) {
		d.mu.Lock()
		aborted = d.active
		d.mu.Unlock()
		d.abort(d.cause)
		stopHandling(servers)
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
		defer cancel()
		d.awaitQuiet(bounded)
	}
	for _, s := range servers {
		_ = s.Close() // Nothing is left to be answered.
	}
	return aborted
}

// closeIdle begins the drain, closes idle connections and returns the servers. Package
// net/http may close a connection of which it has just read a request, and handle that.
func (d *Drainer) closeIdle() []*http.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	for c, state := range d.connections {
		if state == idle {
			d.connections[c] = closed
			_ = c.Close() // Nothing is in flight on it.
		}
	}
	return d.servers
}

// stopHandling makes servers handle no further request, and waits for nothing.
func stopHandling(servers []*http.Server) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range servers {
		_ = s.Shutdown(ended) // Fails if a request is handled.
	}
}

// awaitQuiet waits until no connection is active, and returns false if the context ends
// before.
func (d *Drainer) awaitQuiet(ctx context.Context) bool {
	d.mu.Lock()
	if d.active == 0 {
		d.mu.Unlock()
		return true
	}
	quiet := make(chan struct{})
	d.quiet = quiet
	d.mu.Unlock()
	select {
	case <-quiet:
		return true
	case <-ctx.Done():
		return false
	}
}

// closingWriter announces in the head of an answer that its connection closes after it.
type closingWriter struct {
	http.ResponseWriter
	drainer   *Drainer
	announced bool // Or the head was written without that.
}

// announce must be called before the head is written.
func (w *closingWriter) announce() {
	if !w.announced && w.drainer.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.announced = true
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the writer below.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
