package acceptor

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// reserveShare is the share of the descriptors that connections leave free: for
	// files, readiness checks, the store and other instances.
	reserveShare = 0.15
	// minQuietTime is how long a connection must have been quiet before it is closed for
	// another one: its next request may be on its way.
	minQuietTime = 100 * timekeeper.Millisecond
)

// Descriptors bounds the connections of a process. A server's connection is quiet while
// none of its requests is handled; at the limit, the one that was quiet for longest is
// closed for a new one. The nil value has no limit. It is safe for concurrent use.
type Descriptors struct {
	clock     timekeeper.Clock
	limit     int // Of accepted connections, beside those that were opened.
	dialLimit int // Of opened connections, beside those that were accepted.

	mu      sync.Mutex
	open    int
	waiting int           // Listeners that wait for room.
	quiet   *list.List    // Of *conn, quiet for longest first.
	changed chan struct{} // Closed when a connection ends or becomes quiet.
	yield   bool          // The next room goes to a listener that waits, as the last went to a dial.
	dialing *list.List    // Of chan struct{}: dials that wait for room, in order. Closed once counted.
	reclaim func()
}

// NewDescriptors returns a bound for a process that may open a number of descriptors.
func NewDescriptors(c timekeeper.Clock, available int) *Descriptors {
	limit := max(int((1-reserveShare)*float64(available)), 1)
	return &Descriptors{
		clock: c, limit: limit, dialLimit: max(limit, available-otherDescriptors), quiet: list.New(), changed: make(chan struct{}),
		dialing: list.New(), reclaim: func() {},
	}
}

// ProcessLimit returns how many descriptors the process may open.
func ProcessLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "limit on file descriptors")
	}
	const unlimited = 1 << 20 // Beyond what the kernel allows a process by default.
	return int(min(limit.Cur, unlimited)), nil
}

// IsExhausted reports whether a connection failed because this machine has no descriptor,
// port or memory left for it. The peer is not the cause.
func IsExhausted(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// OnFull sets the function that is called when the limit is reached and no connection of
// a server can be closed. It should close connections that the process keeps for reuse.
func (d *Descriptors) OnFull(reclaim func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reclaim = reclaim
}

// Open returns the number of open connections.
func (d *Descriptors) Open() int {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// release counts the end of a connection. If both dials and listeners wait, they get the
// room in turn. The caller holds mu.
func (d *Descriptors) release() {
	d.open--
	if front := d.dialing.Front(); front != nil && d.open < d.dialLimit && !(d.yield && d.waiting > 0) {
		d.yield = true
		d.open++
		close(d.dialing.Remove(front).(chan struct{}))
		return
	}
	d.yield = false
	d.notify()
}

// notify wakes up the listeners that wait for room. The caller holds mu.
func (d *Descriptors) notify() {
	if d.waiting > 0 {
		close(d.changed)
		d.changed, d.waiting = make(chan struct{}), 0
	}
}

// makeRoom closes quiet connections until there is room for another one, and reports
// whether there is. The caller holds mu.
func (d *Descriptors) makeRoom() bool {
	for d.open >= d.limit {
		front := d.quiet.Front()
		if front == nil {
			return false
		}
		c := front.Value.(*conn)
		if d.clock.Read().Since(c.quietSince) < minQuietTime {
			return false
		}
		c.end()
		_ = c.Conn.Close() // Nothing is in flight on it.
	}
	return true
}

// awaitRoom waits until there is room for another connection, and returns false if the
// context ends before.
func (d *Descriptors) awaitRoom(ctx context.Context) bool {
	for ctx.Err() == nil {
		d.mu.Lock()
		if d.makeRoom() {
			d.mu.Unlock()
			return true
		}
		d.waiting++
		changed, reclaim := d.changed, d.reclaim
		d.mu.Unlock()
		reclaim()
		bounded, cancel := context.WithTimeout(ctx, minQuietTime.Duration())
		select {
		case <-bounded.Done():
		case <-changed:
		}
		cancel()
	}
	return false
}

// Listen returns a listener whose connections are counted. At the limit it accepts none
// until there is room; they wait in the kernel's queue. The kernel's buffers of its
// connections are bounded. Its server must be passed to Attach.
func (d *Descriptors) Listen(l net.Listener) net.Listener {
	boundListener(l)
	if d == nil {
		return l
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &countedListener{Listener: l, descriptors: d, ctx: ctx, cancel: cancel}
}

// Attach makes a server report which of its connections are quiet. It must be called
// before the server serves.
func (d *Descriptors) Attach(s *http.Server) {
	if d == nil {
		return
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.begin() {
			panic(http.ErrAbortHandler) // It was closed after its request had been read.
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if counted, ok := below[*conn](c); ok {
			ctx = context.WithValue(ctx, connKey{}, counted)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if counted, ok := below[*conn](c); ok && state == http.StateIdle {
			counted.becomeQuiet()
		}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// TCPConn returns the TCP connection below a connection, if there is one.
func TCPConn(c net.Conn) (*net.TCPConn, bool) { return below[*net.TCPConn](c) }

// below returns the connection of a type below others, such as one of TLS.
func below[C net.Conn](c net.Conn) (found C, ok bool) {
	for {
		if found, ok = c.(C); ok {
			return found, true
		}
		wrapper, wraps := c.(interface{ NetConn() net.Conn })
		if !wraps {
			return found, false
		}
		c = wrapper.NetConn()
	}
}

// countedListener is a listener whose connections count against a limit.
type countedListener struct {
	net.Listener
	descriptors *Descriptors
	ctx         context.Context
	cancel      context.CancelFunc
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	if !l.descriptors.awaitRoom(l.ctx) {
		return nil, net.ErrClosed
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, descriptors: l.descriptors}
	c.open()
	return c, nil
}

// Close implements net.Listener.
func (l *countedListener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// conn is an accepted connection. The mutex of the descriptors guards its state.
type conn struct {
	net.Conn
	descriptors *Descriptors
	quietSince  timekeeper.Reading
	element     *list.Element // In the list of quiet connections; nil while a request is handled.
	ended       bool
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// open counts the connection.
func (c *conn) open() {
	d := c.descriptors
	d.mu.Lock()
	d.open++
	d.mu.Unlock()
	c.becomeQuiet()
}

// becomeQuiet records that no request of the connection is handled.
func (c *conn) becomeQuiet() {
	d := c.descriptors
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.ended || c.element != nil {
		return
	}
	c.quietSince = d.clock.Read()
	c.element = d.quiet.PushBack(c)
	d.notify()
}

// begin records that a request of the connection is handled. It returns false if the
// connection was closed before.
func (c *conn) begin() bool {
	d := c.descriptors
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.ended {
		return false
	}
	if c.element != nil {
		d.quiet.Remove(c.element)
		c.element = nil
	}
	return true
}

// end removes the connection from the count, once. The caller holds the mutex of the
// descriptors.
func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	if c.element != nil {
		c.descriptors.quiet.Remove(c.element)
		c.element = nil
	}
	c.descriptors.release()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.descriptors.mu.Lock()
	defer c.descriptors.mu.Unlock()
	c.end()
	return err
}
