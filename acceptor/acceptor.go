// Package acceptor accepts connections for servers. A listener goes on after failed
// accepts, and keeps the process's connections below its limit on file descriptors by
// closing idle ones.
package acceptor

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed accepts.
	minRetryDelay = 5 * timekeeper.Millisecond
	maxRetryDelay = 500 * timekeeper.Millisecond
)

// Listener is a net.Listener whose Accept fails only once the listener is closed. It
// retries all other errors, such as a lack of file descriptors, with a backoff.
type Listener struct {
	net.Listener
	onFailure func(error)
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen returns a listener that retries, and whose connections have bounded buffers in the
// kernel. onFailure is called for the first of consecutive failures.
func Listen(l net.Listener, onFailure func(error)) *Listener {
	boundListener(l)
	return &Listener{Listener: l, onFailure: onFailure, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if delay == minRetryDelay {
			l.onFailure(err)
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(delay.Duration()):
		}
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
