package dispatcher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// longBody is the length of a body that a target can answer before it is sent.
const longBody = 4 << 20

// attemptAt makes an attempt with a long body at a target that answers as told.
func attemptAt(t *testing.T, answer imitator.PeerAnswer, idempotent bool) (dispatcher.Result, *sink) {
	t.Helper()
	address, stop, err := imitator.ServePeer("127.0.0.1:0", answer)
	assert.NilError(t, err)
	defer stop()
	d := dispatcher.New(timekeeper.System())
	defer d.Close()
	var s sink
	request := dispatcher.Request{
		ID: "r1", Method: http.MethodPost, Path: "/run", Body: bytes.Repeat([]byte("b"), longBody),
		Idempotent: idempotent, IdleTimeout: 5 * timekeeper.Second,
	}
	return d.Do(t.Context(), declarer.Target{Name: "t", URL: "http://" + address}, request, &s), &s
}

// Guards against relaying an answer whose status is that of none, or of another protocol.
func TestAnswersWithAnInvalidStatus(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 500 A": true, "HTTP/1.1 000 ": false, "HTTP/1.1 099 A": false, "HTTP/1.1 600 A": false, "HTTP/2.0 200 OK": false,
		"HTTP/1.1 101 Switching Protocols": false, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other": false,
	} {
		t.Run(line, func(t *testing.T) {
			result, s := attemptAt(t, func(c *net.TCPConn, r *http.Request) error {
				_, _ = io.Copy(io.Discard, r.Body) // The answer comes in any case.
				_, err := fmt.Fprintf(c, "%s\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody", line, r.Header.Get("X-Request-Id"))
				return err
			}, false)
			assert.Equal(t, result.State == dispatcher.StateAnswered, valid, "%v", result.Err)
			assert.Equal(t, s.begun, valid)
			assert.Check(t, valid || result.State == dispatcher.StatePossiblyRunning, "%s", result.State)
		})
	}
}

// Guards against an answer that stops anywhere in its head or body and is taken for a whole
// one, or begun at the caller.
func TestAnswersThatStop(t *testing.T) {
	for name, c := range map[string]struct{ headers, body string }{
		"body":   {"Content-Length: 6\r\n", "answer"},
		"chunks": {"Transfer-Encoding: chunked\r\n", "6\r\nanswer\r\n0\r\n\r\n"},
		"stream": {"Content-Type: text/event-stream\r\n", "data: a\n\ndata: [DONE]\n\n"},
	} {
		request := &http.Request{Header: http.Header{"X-Request-Id": {"r1"}}}
		head := imitator.Head(request, "200 OK", c.headers)
		for stop := range len(head+c.body) + 1 {
			result, s := attemptAt(t, func(conn *net.TCPConn, r *http.Request) error {
				_, _ = io.Copy(io.Discard, r.Body) // The answer comes in any case.
				_, _ = io.WriteString(conn, (head + c.body)[:stop])
				return io.EOF
			}, false)
			assert.Equal(t, result.State == dispatcher.StateAnswered, stop == len(head+c.body), "%s, stopped after %d bytes: %v", name, stop, result.Err)
			assert.Check(t, stop >= len(head) || !s.begun, "%s, stopped after %d bytes: an answer was begun", name, stop)
		}
	}
}

// Guards against a part of an answer that is taken for the whole, because its target reset
// the connection while the request was still sent, and against losing a whole answer that
// came before.
func TestAnswersBeforeTheEndOfTheRequest(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		status, headers, body string
		whole                 bool
	}{
		"reset without a length":          {"200 OK", "", "part", false},
		"stream, reset before its end":    {"200 OK", stream, "data: {\"content\":\"a\"}\n\n", false},
		"refusal with a length":           {"413 Payload Too Large", "Content-Length: 5\r\n", "large", true},
		"success with a length":           {"200 OK", "Content-Length: 5\r\n", "whole", true},
		"success of less than its length": {"200 OK", "Content-Length: 9\r\n", "part", false},
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idempotent %t", name, idempotent), func(t *testing.T) {
				t.Parallel()
				for range 20 {
					result, s := attemptAt(t, imitator.EarlyReset(c.status, "Connection: close\r\n"+c.headers, c.body), idempotent)
					assert.Equal(t, result.State == dispatcher.StateAnswered, c.whole, "%v", result.Err)
					assert.Check(t, !c.whole || s.data.String() == c.body && strings.HasPrefix(c.status, fmt.Sprint(s.status)), "%d %q", s.status, s.data.String())
				}
			})
		}
	}
}

// Guards against targets whose answers never end: each attempt must end without a success,
// and all of them together must not exhaust the memory of the instance.
func TestEndlessAnswersAreAborted(t *testing.T) {
	const (
		attempts = 40
		timeout  = 1500 * time.Millisecond
		memory   = 32 << 20
		bound    = 3 * memory // With what the collector has not freed.
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memory))
	for name, answer := range imitator.EndlessAnswers() {
		t.Run(name, func(t *testing.T) {
			address, stop, err := imitator.ServePeer("127.0.0.1:0", answer)
			assert.NilError(t, err)
			defer stop()
			d := dispatcher.New(timekeeper.System()).WithAnswerMemory(memory)
			defer d.Close()
			growth := imitator.HeapGrowth(func() {
				var running sync.WaitGroup
				for range attempts {
					running.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), timeout)
						defer cancel()
						began := time.Now()
						request := dispatcher.Request{ID: "r1", Method: http.MethodPost, Path: "/run", IdleTimeout: timekeeper.Second}
						result := d.Do(ctx, declarer.Target{Name: "t", URL: "http://" + address}, request, &discardSink{})
						assert.Check(t, result.State != dispatcher.StateAnswered && result.Err != nil, "an endless answer is whole")
						assert.Check(t, time.Since(began) < timeout+time.Second, "the attempt took %s", time.Since(began))
					})
				}
				running.Wait()
			})
			assert.Check(t, growth < bound, "the heap grew by %d MB", growth>>20)
		})
	}
}

// discardSink discards an answer.
type discardSink struct{}

func (discardSink) Begin(int, http.Header, bool) error { return nil }
func (discardSink) Write([]byte) error                 { return nil }
