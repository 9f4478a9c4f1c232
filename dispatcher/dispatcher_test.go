package dispatcher_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// sink collects an answer.
type sink struct {
	status int
	begun  bool
	data   strings.Builder
}

func (s *sink) Begin(status int, _ http.Header, _ bool) error {
	s.begun, s.status = true, status
	return nil
}

func (s *sink) Write(data []byte) error {
	s.data.Write(data)
	return nil
}

func chatRequest(stream string) dispatcher.Request {
	return dispatcher.Request{
		ID: "r1", Method: http.MethodPost, Path: "/v1/chat/completions", Idempotent: true, IdleTimeout: 200 * timekeeper.Millisecond,
		Body: []byte(`{"model":"m","stream":` + stream + `,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`),
	}
}

// Guards against relaying an answer as complete that is truncated, belongs to another
// request or never ends.
func TestAnswersOfAnEngine(t *testing.T) {
	cases := map[string]struct {
		stream string
		fault  faker.Misbehaviour
		state  dispatcher.State
		err    error
		begun  bool
	}{
		"whole stream":        {"true", faker.Misbehaviour{}, dispatcher.StateAnswered, nil, true},
		"whole body":          {"false", faker.Misbehaviour{}, dispatcher.StateAnswered, nil, true},
		"crossed answer":      {"false", faker.Misbehaviour{WrongID: true}, dispatcher.StatePossiblyRunning, dispatcher.ErrMismatched, false},
		"crossed stream":      {"true", faker.Misbehaviour{WrongID: true}, dispatcher.StatePossiblyRunning, dispatcher.ErrMismatched, false},
		"dropped connection":  {"true", faker.Misbehaviour{DropAfter: -1}, dispatcher.StatePossiblyRunning, dispatcher.ErrNoAnswer, false},
		"dropped stream":      {"true", faker.Misbehaviour{DropAfter: 2}, dispatcher.StateRan, dispatcher.ErrTruncated, true},
		"stream without end":  {"true", faker.Misbehaviour{NoEndMarker: true}, dispatcher.StateRan, dispatcher.ErrTruncated, true},
		"stream gone silent":  {"true", faker.Misbehaviour{Stalled: true}, dispatcher.StateRan, dispatcher.ErrIdleTimeout, true},
		"body before a crash": {"false", faker.Misbehaviour{DropAfter: -1}, dispatcher.StatePossiblyRunning, dispatcher.ErrNoAnswer, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			engine := faker.NewEngine(faker.EngineOptions{Name: "e"}, timekeeper.System())
			engine.SetFault(func(faker.Run) faker.Misbehaviour { return tc.fault })
			server := httptest.NewServer(engine.Handler())
			defer server.Close()
			d := dispatcher.New(timekeeper.System())
			defer d.Close()
			var s sink
			result := d.Do(t.Context(), declarer.Target{Name: "e", URL: server.URL}, chatRequest(tc.stream), &s)
			assert.Equal(t, result.State, tc.state)
			assert.Equal(t, s.begun, tc.begun)
			if tc.err != nil {
				assert.ErrorIs(t, result.Err, tc.err)
				assert.Assert(t, !strings.Contains(s.data.String(), "[DONE]"))
				return
			}
			assert.NilError(t, result.Err)
			assert.Equal(t, result.Usage.OutputTokens, int64(5))
			assert.Equal(t, result.Usage.PromptTokens, int64(2))
			assert.Assert(t, strings.Contains(s.data.String(), "r1/4"))
		})
	}
}

// Guards against a retry by net/http after the target read the request and closed the connection.
func TestRequestIsSentOnce(t *testing.T) {
	cases := map[string]dispatcher.Request{
		"reservation":            {Method: http.MethodPost, Body: []byte("{}"), IdempotencyKey: "k"},
		"call without body":      {Method: http.MethodGet, IdempotencyKey: "k"},
		"idempotent get":         {Method: http.MethodGet, Idempotent: true},
		"idempotent with a body": {Method: http.MethodPost, Body: []byte("{}"), Idempotent: true},
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(dispatcher.RequestIDHeader, r.Header.Get(dispatcher.RequestIDHeader))
				if r.URL.Path == "/warm" {
					return
				}
				arrived.Add(1)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					conn.Close()
				}
			}))
			defer server.Close()
			d := dispatcher.New(timekeeper.System())
			defer d.Close()
			target := declarer.Target{Name: "t", URL: server.URL}
			request.IdleTimeout = timekeeper.Second
			request.ID, request.Path = "w", "/warm"
			assert.Equal(t, d.Do(t.Context(), target, request, &sink{}).State, dispatcher.StateAnswered)
			request.ID, request.Path = "r", "/run"
			result := d.Do(t.Context(), target, request, &sink{})
			assert.Equal(t, result.State, dispatcher.StatePossiblyRunning)
			assert.Equal(t, arrived.Load(), int32(1))
		})
	}
}

// Guards against reporting a request as possibly running although no connection was made.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + listener.Addr().String()
	assert.NilError(t, listener.Close())
	d := dispatcher.New(timekeeper.System())
	result := d.Do(t.Context(), declarer.Target{URL: url}, chatRequest("true"), &sink{})
	assert.Equal(t, result.State, dispatcher.StateNotSent)
	assert.ErrorIs(t, result.Err, dispatcher.ErrNotSent)
}

// Guards against a request that keeps running at the engine after its caller disconnected.
func TestCallerDisconnectCancelsAtTheEngine(t *testing.T) {
	engine := faker.NewEngine(faker.EngineOptions{Name: "e", DecodePerSecond: 1, OutputTokens: 100}, timekeeper.System())
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	d := dispatcher.New(timekeeper.System())
	defer d.Close()
	ctx, cancel := context.WithCancel(t.Context())
	request := chatRequest("true")
	request.IdleTimeout = timekeeper.Minute
	cancelling := &cancellingSink{cancel: cancel}
	result := d.Do(ctx, declarer.Target{URL: server.URL}, request, cancelling)
	assert.Assert(t, result.State < dispatcher.StateAnswered)
	assert.NilError(t, waitUntil(t.Context(), func() bool { return engine.Load().Running == 0 }))
	assert.Assert(t, engine.Runs()[0].Cancelled)
}

// cancellingSink cancels the request as soon as the answer begins.
type cancellingSink struct {
	sink
	cancel context.CancelFunc
}

func (c *cancellingSink) Begin(status int, header http.Header, stream bool) error {
	c.cancel()
	return c.sink.Begin(status, header, stream)
}

// waitUntil polls a condition that another goroutine fulfils; only a failure takes the
// full 20 s.
func waitUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}
