package acceptor

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumwharf/gypsumwharf/reserver"
)

const (
	// headByteCost and headLineCost are what a byte and a line of a request's head cost in
	// memory: it is stored as received, as a map, and as a copy of the map for the target.
	headByteCost = 3
	headLineCost = 256
	// freeHeadCost is the cost that is not accounted for.
	freeHeadCost = 16 << 10
	// headReservation is the step in which the rest is reserved.
	headReservation = 16 << 10
	// maxPieceBytes is the most that is written to a client under one deadline.
	maxPieceBytes = 64 << 10
	// pieceTimeout is the time for that; it is extended if less than minPieceTimeout is left.
	pieceTimeout    = 90 * time.Second
	minPieceTimeout = 75 * time.Second
	// maxPipelined is by how many the requests that a client sends before it has the answer
	// to the one before may exceed the others; then its connection is closed.
	maxPipelined = 32
)

// ClientConn is a client's connection. It accounts for the memory of heads, and closes
// when its client reads answers too slowly.
type ClientConn struct {
	net.Conn
	memory  *reserver.Account
	refused *atomic.Int64 // Heads for which there was no memory.

	mu       sync.Mutex
	inHead   bool
	closed   bool
	headCost int64
	reserved int64
	holding  *reserver.Holding // Nil if nothing is reserved for the head.

	arrived   bool // Bytes arrived since the end of the last request.
	bodyless  bool // The request that is handled has no body.
	ahead     bool // Bytes arrived while a request without a body was handled, before its answer.
	answered  bool // Bytes of the answer to the request were written.
	pipelined int  // Requests that were sent before the last answer, less the others.

	writeDeadline time.Time
	delivery      atomic.Pointer[reserver.Holding] // Of the answer that is written, if it is large.
}

// NewClientConn returns a client's connection that counts the heads it refuses.
func NewClientConn(c net.Conn, a *reserver.Account, refused *atomic.Int64) *ClientConn {
	return &ClientConn{Conn: c, memory: a, refused: refused, inHead: true}
}

// NetConn returns the underlying connection.
func (c *ClientConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *ClientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if full := c.countHead(p[:n]); full != nil {
			c.refused.Add(1)
			_ = c.Close() // No request was read, so its client may retry elsewhere.
			return 0, full
		}
	}
	return n, err
}

// countHead reserves memory for a part of a head.
func (c *ClientConn) countHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if !c.inHead {
		// A client that has its answer may send the next request before the handler returns.
		c.ahead, c.arrived = c.ahead || c.bodyless && !c.answered, c.arrived || c.answered
		return nil
	}
	c.arrived = true
	c.headCost += headByteCost*int64(len(p)) + headLineCost*int64(bytes.Count(p, []byte("\n")))
	for c.headCost-freeHeadCost > c.reserved {
		if c.holding == nil {
			c.holding = c.memory.Receive(func() { _ = c.Close() })
		}
		if err := c.holding.Reserve(headReservation); err != nil {
			return err
		}
		c.reserved += headReservation
	}
	return nil
}

// beginRequest ends the head. It returns false if the connection was closed meanwhile, and
// whether this is the last request that is taken from it.
func (c *ClientConn) beginRequest(bodyless bool) (open, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead || !c.arrived {
		c.pipelined++
	} else { // Or its first byte was read before the one before it was handled.
		c.pipelined = max(c.pipelined-1, 0)
	}
	c.inHead, c.arrived, c.ahead, c.answered, c.bodyless = false, false, false, false, bodyless
	return c.holding == nil || c.holding.Received(), c.pipelined >= maxPipelined
}

// endRequest returns the memory of the request's head.
func (c *ClientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.inHead = true
}

// releaseHead returns the memory of the head. The caller holds mu.
func (c *ClientConn) releaseHead() {
	if c.holding != nil {
		c.holding.Release()
	}
	c.holding, c.headCost, c.reserved = nil, 0, 0
}

// Write implements net.Conn.
func (c *ClientConn) Write(p []byte) (written int, err error) {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	for {
		if now := time.Now(); c.writeDeadline.Sub(now) < minPieceTimeout {
			c.writeDeadline = now.Add(pieceTimeout)
			if err := c.SetWriteDeadline(c.writeDeadline); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[:min(len(p), maxPieceBytes)])
		written += n
		p = p[n:]
		if h := c.delivery.Load(); h != nil {
			h.Read()
		}
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// Deliver makes the answer that is written next hold n bytes that were taken from an
// account. If its client does not read and others need them, the connection is reset. The
// returned function ends the delivery and returns the bytes.
func (c *ClientConn) Deliver(a *reserver.Account, n int64) (end func()) {
	h := a.Deliver(n, c.reset)
	c.delivery.Store(h)
	return func() {
		c.delivery.CompareAndSwap(h, nil)
		h.Release()
	}
}

// reset closes the connection and drops what its client has not read.
func (c *ClientConn) reset() {
	if tcp, ok := TCPConn(c.Conn); ok {
		_ = tcp.SetLinger(0) // Fails only if it is closed.
	}
	_ = c.Close()
}

// ResetOnClose sets whether the end of the connection is a reset, also if the process ends.
// Until an answer is complete that only the end of the connection ends, its client must not
// find an ordinary one.
func (c *ClientConn) ResetOnClose(reset bool) {
	linger := -1 // The kernel's default.
	if reset {
		linger = 0
	}
	if tcp, ok := TCPConn(c.Conn); ok {
		_ = tcp.SetLinger(linger) // Fails only if it is closed.
	}
}

// CloseWrite lets the server end a connection whose client still sends without resetting
// it, which could lose the answer.
func (c *ClientConn) CloseWrite() error {
	if below, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		if half, ok := below.NetConn().(interface{ CloseWrite() error }); ok {
			return half.CloseWrite()
		}
	}
	return nil
}

// Close implements net.Conn.
func (c *ClientConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.releaseHead()
	return err
}

// clientListener accepts connections of type ClientConn.
type clientListener struct {
	net.Listener
	memory  *reserver.Account
	refused atomic.Int64
}

// ListenForClients returns a listener whose connections account for the memory of heads.
// Its server must be passed to AccountForHeads.
func ListenForClients(l net.Listener, a *reserver.Account) net.Listener {
	return &clientListener{Listener: l, memory: a}
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewClientConn(c, l.memory, &l.refused), nil
}

// headKey is the key of a request's connection in its context.
type headKey struct{}

// ClientOf returns the connection of the request to which a context belongs, if it came to
// a server that was passed to AccountForHeads.
func ClientOf(ctx context.Context) (*ClientConn, bool) {
	c, ok := ctx.Value(headKey{}).(*ClientConn)
	return c, ok
}

// AccountForHeads makes a server's requests hold the memory of their heads while they are
// handled, and bounds how many are pipelined, if they come on a connection of type
// ClientConn, or on one above it.
func AccountForHeads(s *http.Server) {
	handler, connContext := s.Handler, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := ClientOf(r.Context()); ok {
			open, last := c.beginRequest(r.ContentLength == 0)
			if !open {
				panic(http.ErrAbortHandler) // It was closed after its head had been read.
			}
			defer c.endRequest()
			if last {
				w.Header().Set("Connection", "close")
			}
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if client, ok := below[*ClientConn](c); ok {
			ctx = context.WithValue(ctx, headKey{}, client)
		}
		return ctx
	}
}
