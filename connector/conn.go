package connector

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// lateAnswerTimeout is how long an answer that was sent before the connection was reset may
// take to be read.
const lateAnswerTimeout = time.Second

// errReset means that the connection was reset before its request was sent. The kernel
// reports a reset once; if a write gets it, reads see what looks like an ordinary end.
var errReset = errors.New("connection was reset while the request was sent")

// conn is a connection that tells an answer that was cut by a reset from one that ended.
//
// A peer may answer before it has read the whole request, and then reset the connection.
// What it sent before is still read: a failed write of a request of which a part was sent
// is therefore reported by reads, after the data that they find.
type conn struct {
	net.Conn
	written atomic.Int64  // Bytes of the request.
	writing chan struct{} // Holds a value during a write.
	failed  atomic.Bool   // A write failed.
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, writing: make(chan struct{}, 1)} }

// ownConn returns the connection of this type below a connection.
func ownConn(c net.Conn) (*conn, bool) {
	for {
		if own, ok := c.(*conn); ok {
			return own, true
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		c = wrapper.NetConn()
	}
}

// begin starts a request on the connection.
func (c *conn) begin() { c.written.Store(0) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.failed.Load() {
		if c.written.Load() > 0 {
			return len(p), nil
		}
		return 0, errReset
	}
	c.writing <- struct{}{}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if err != nil {
		c.failed.Store(true)
	}
	<-c.writing
	if c.written.Load() > 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		_ = c.SetReadDeadline(time.Now().Add(lateAnswerTimeout)) // Fails only if it is closed.
		return len(p), nil
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.writeFailed() {
		err = errReset
	}
	return n, err
}

// writeFailed reports whether a write failed, also one that has not returned yet: it may be
// about to, with the reset or with success. One that can't end counts as failed.
func (c *conn) writeFailed() bool {
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-time.After(lateAnswerTimeout):
		return true
	}
	return c.failed.Load()
}
