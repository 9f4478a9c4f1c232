package acceptor

import (
	"container/list"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// otherDescriptors is how many descriptors connections that the process opens leave
	// free, if they need more than the share of connections.
	otherDescriptors = 256
	// maxDialWait is how long the opening of a connection waits for room, and
	// dialRetryInterval how often it looks for connections that can be closed.
	maxDialWait       = 250 * timekeeper.Millisecond
	dialRetryInterval = 25 * timekeeper.Millisecond
)

// errNoDescriptor means that the process may open no further connection.
var errNoDescriptor = errors.Wrap(syscall.EMFILE, "limit on the connections of the process")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function whose connections are counted, and have bounded buffers in the
// kernel. Such a connection serves a
// request that was already accepted, so it may take more than the share of connections,
// and waits only a moment for room. Without room it fails with an error for which
// IsExhausted holds.
func (d *Descriptors) Dial(open DialFunc) DialFunc {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := open(ctx, network, address)
		if tcp, ok := c.(*net.TCPConn); ok && err == nil {
			boundBuffers(tcp)
		}
		return c, err
	}
	if d == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !d.admitDial(ctx) {
			return nil, errNoDescriptor
		}
		release := sync.OnceFunc(func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.release()
		})
		c, err := dial(ctx, network, address)
		if err != nil {
			release()
			return nil, err
		}
		return &dialedConn{c, release}, nil
	}
}

// admitDial counts a connection that the process opens. It returns false if there is no
// room for it.
func (d *Descriptors) admitDial(ctx context.Context) bool {
	admitted, e := d.queueDial()
	if e == nil {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, maxDialWait.Duration())
	defer cancel()
	retry := time.NewTicker(dialRetryInterval.Duration())
	defer retry.Stop()
	for {
		d.freeRoom()
		select {
		case <-admitted:
			return true
		case <-retry.C:
		case <-bounded.Done():
			d.mu.Lock()
			defer d.mu.Unlock()
			select {
			case <-admitted:
				return true
			default:
				d.dialing.Remove(e)
				return false
			}
		}
	}
}

// queueDial counts a connection that the process opens if there is room for it. Otherwise
// it returns a channel that is closed once it was counted, and its place in the queue.
func (d *Descriptors) queueDial() (<-chan struct{}, *list.Element) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.makeRoom()
	if d.open < d.dialLimit && d.dialing.Len() == 0 {
		d.open++
		return nil, nil
	}
	admitted := make(chan struct{})
	return admitted, d.dialing.PushBack(admitted)
}

// freeRoom closes connections that nobody uses.
func (d *Descriptors) freeRoom() {
	d.mu.Lock()
	d.makeRoom()
	reclaim := d.reclaim
	d.mu.Unlock()
	reclaim()
}

// DialsWait reports whether connections wait to be opened. Then those that would be kept
// for reuse should be closed, so that others than their users get a turn.
func (d *Descriptors) DialsWait() bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dialing.Len() > 0
}

// dialedConn is a connection that the process opened.
type dialedConn struct {
	net.Conn
	release func()
}

// NetConn returns the underlying connection.
func (c *dialedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *dialedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
