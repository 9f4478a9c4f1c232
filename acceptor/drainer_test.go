package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/acceptor"
)

var errStopped = errors.New("stopped")

// drained is a server of a drainer. Requests for /wait are handled until release is closed or
// they are aborted.
type drained struct {
	drainer  *acceptor.Drainer
	listener net.Listener
	release  chan struct{}
}

func newDrained(t *testing.T) *drained {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := &drained{drainer: acceptor.NewDrainer(errStopped), listener: l, release: make(chan struct{})}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			select {
			case <-d.release:
			case <-r.Context().Done():
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = fmt.Fprint(w, context.Cause(r.Context()))
				return
			}
		}
		_, _ = io.WriteString(w, strings.Repeat("a", 1<<20))
	})}
	assert.Assert(t, d.drainer.Attach(s))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return d
}

// open opens a connection and sends the beginning of a request.
func (d *drained) open(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", d.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // It is read.
	return c, bufio.NewReader(c)
}

// readAnswer reads an answer and its body slowly.
func readAnswer(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(body)
}

// Guards against a drain that cuts an answer, drops a request that it has read, keeps idle
// connections, or does not end.
func TestDrain(t *testing.T) {
	const request = " HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		wait    time.Duration // Of the drain before it aborts requests.
		release bool
		status  int
	}{
		"requests end":         {20 * time.Second, true, http.StatusOK},
		"requests are aborted": {time.Second, false, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDrained(t)
			idle, idleReader := d.open(t, "GET /"+request)
			_, _ = readAnswer(t, idleReader)
			_, running := d.open(t, "GET /wait"+request)
			late, lateReader := d.open(t, "GET / HTTP/1.1\r\n")
			d.listener.Close()
			ctx, cancel := context.WithTimeout(t.Context(), c.wait)
			defer cancel()
			ended := make(chan int, 1)
			go func() { ended <- d.drainer.Drain(ctx) }()
			_, err := idle.Read(make([]byte, 1))
			assert.ErrorIs(t, err, io.EOF)
			_, err = io.WriteString(late, "Host: h\r\n\r\n")
			assert.NilError(t, err)
			response, body := readAnswer(t, lateReader)
			assert.Check(t, response.StatusCode == http.StatusOK && len(body) == 1<<20 && response.Close, "%d, %d bytes", response.StatusCode, len(body))
			assert.Check(t, !d.drainer.Attach(new(http.Server)), "a server is added during the drain")
			if c.release {
				close(d.release)
			}
			response, body = readAnswer(t, running)
			assert.Equal(t, response.StatusCode, c.status)
			assert.Check(t, c.release && len(body) == 1<<20 || body == errStopped.Error(), "%d bytes", len(body))
			select {
			case aborted := <-ended:
				assert.Equal(t, aborted > 0, !c.release)
			case <-time.After(10 * time.Second):
				t.Fatal("the drain does not end")
			}
		})
	}
}

// Guards against a request that is handled although its connection was closed as idle just
// before, so that nobody gets its answer.
func TestDrainHandlesNoRequestOfAClosedConnection(t *testing.T) {
	const rounds, clients = 40, 24
	for range rounds {
		var handled sync.Map // IDs of requests.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		drainer := acceptor.NewDrainer(errStopped)
		s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handled.Store(r.URL.Path, true) })}
		assert.Assert(t, drainer.Attach(s))
		go func() { _ = s.Serve(l) }()
		var running sync.WaitGroup
		for i := range clients {
			c, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			running.Go(func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					path := fmt.Sprintf("/%d/%d", i, n)
					if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
						return
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						_, ran := handled.Load(path)
						assert.Check(t, !ran, "%s was handled and has no answer: %v", path, err)
						return
					}
					response.Body.Close()
					if response.Close {
						return
					}
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		l.Close()
		assert.Equal(t, drainer.Drain(t.Context()), 0)
		running.Wait()
	}
}
