package messenger

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

type text struct {
	Value string `json:"value"`
}

func serve(t *testing.T) (address string) {
	t.Helper()
	m := New(Options{})
	m.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) {
		var v text
		err := json.Unmarshal(params, &v)
		return v, err
	})
	m.Handle("fail", func(context.Context, json.RawMessage) (any, error) { return nil, errors.New("handler failed") })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return listener.Addr().String()
}

// Guards against responses that do not reach their call and refusals that are
// reported as lost messages.
func TestCall(t *testing.T) {
	address := serve(t)
	client := New(Options{})
	defer client.Close()
	var result text
	assert.NilError(t, client.Call(t.Context(), address, "echo", text{"hello"}, &result))
	assert.Equal(t, result.Value, "hello")
	assert.ErrorIs(t, client.Call(t.Context(), address, "fail", text{}, nil), ErrRefused)
	assert.ErrorIs(t, client.Call(t.Context(), address, "missing", text{}, nil), ErrRefused)
	received, sent := client.Bytes()
	assert.Assert(t, received > 0 && sent > 0)
}

// Guards against ErrNoAnswer, which leaves delivery open, for a message that was
// not delivered.
func TestCallWithoutListenerIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client := New(Options{})
	assert.ErrorIs(t, client.Call(t.Context(), address, "echo", text{}, nil), ErrUnreachable)
}

// Guards against a call that blocks forever because the peer reads everything and
// never responds.
func TestSilentConnectionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}()
	client := New(Options{PingAfter: 20 * timekeeper.Millisecond, CloseAfter: 60 * timekeeper.Millisecond})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	err = client.Call(ctx, listener.Addr().String(), "echo", text{}, nil)
	assert.ErrorIs(t, err, ErrNoAnswer)
	assert.NilError(t, ctx.Err())
}

// exhaustedListener fails its first accept for want of a file descriptor.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against an instance that other instances cannot connect to any more after one
// failed accept.
func TestServingOutlivesAFailedAccept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- New(Options{}).Serve(ctx, &exhaustedListener{Listener: inner}) }()
	client := New(Options{})
	defer client.Close()
	assert.NilError(t, client.Call(t.Context(), inner.Addr().String(), pingMethod, struct{}{}, nil))
	cancel()
	assert.NilError(t, <-done)
}

// Guards against another instance whose messages never end, or are longer than any that
// instances send: they must not be kept, and others must still be answered.
func TestMessagesAreBounded(t *testing.T) {
	const maxBytes = 1 << 20
	m := New(Options{MaxMessageBytes: maxBytes})
	m.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return text{"ok"}, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Serve(ctx, listener) }()
	defer func() {
		cancel()
		assert.NilError(t, <-done)
	}()
	address := listener.Addr().String()
	longest := strings.Repeat("a", maxBytes-200)
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for name, length := range map[string]uint64{"no end": 1 << 62, "a little too long": maxBytes + 1, "as long as allowed, no JSON": maxBytes} {
		for range 20 {
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, err = c.Write(binary.AppendUvarint(nil, length))
			assert.NilError(t, err)
			_, err = io.WriteString(c, `{"jsonrpc":"2.0","method":"echo","id":1,"params":{"value":"`)
			for sent := 0; err == nil && sent < 64*maxBytes; sent += 64 << 10 {
				_, err = c.Write(bytes.Repeat([]byte("a"), 64<<10))
			}
			assert.Check(t, err != nil, "%s: all was read", name)
			c.Close()
		}
	}
	runtime.ReadMemStats(&now)
	assert.Check(t, int64(now.HeapInuse)-int64(before.HeapInuse) < 32*maxBytes, "%d MB are held", (now.HeapInuse-before.HeapInuse)>>20)
	client := New(Options{})
	defer client.Close()
	var result text
	assert.NilError(t, client.Call(t.Context(), address, "echo", text{longest}, &result))
	assert.Equal(t, result.Value, "ok")
}
