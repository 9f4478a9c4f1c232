package acceptor_test

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/acceptor"
)

// scriptedListener fails accepts with a list of errors, then returns connections.
type scriptedListener struct {
	net.Listener
	errors []error
	calls  int
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.calls++
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, err
	}
	a, _ := net.Pipe()
	return a, nil
}

func (l *scriptedListener) Close() error { return nil }

func repeat(err error, n int) []error {
	list := make([]error, n)
	for i := range list {
		list[i] = err
	}
	return list
}

// Guards against a listener that stops accepting after an error that passes, and
// against one that spins while the error lasts.
func TestAcceptIsRetried(t *testing.T) {
	for name, c := range map[string]struct {
		errors  []error
		longest time.Duration
	}{
		"no descriptor left":       {repeat(syscall.EMFILE, 1), 10 * time.Millisecond},
		"no descriptor for long":   {repeat(syscall.EMFILE, 30), 15 * time.Second},
		"no memory for buffers":    {repeat(syscall.ENOBUFS, 3), 100 * time.Millisecond},
		"connection already gone":  {repeat(syscall.ECONNABORTED, 2), 100 * time.Millisecond},
		"error that is not listed": {[]error{errors.New("unknown")}, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failures := 0
				scripted := &scriptedListener{errors: c.errors}
				l := acceptor.Listen(scripted, func(error) { failures++ })
				begun := time.Now()
				_, err := l.Accept()
				assert.NilError(t, err)
				assert.Check(t, time.Since(begun) <= c.longest, "accepted after %s", time.Since(begun))
				assert.Check(t, time.Since(begun) >= time.Duration(len(c.errors))*5*time.Millisecond, "retried without a delay")
				assert.Equal(t, failures, 1)
			})
		})
	}
}

// Guards against a server that waits for its listener after the listener was closed.
func TestCloseEndsAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := acceptor.Listen(&scriptedListener{errors: repeat(syscall.EMFILE, 1<<20)}, func(error) {})
		go func() { time.Sleep(time.Second); l.Close() }()
		_, err := l.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := acceptor.Listen(inner, func(err error) { t.Errorf("closing is reported as a failure: %v", err) })
	go func() { time.Sleep(20 * time.Millisecond); l.Close() }()
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
