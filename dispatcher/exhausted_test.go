package dispatcher

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// discard is a Sink.
type discard struct{}

func (discard) Begin(int, http.Header, bool) error { return nil }
func (discard) Write([]byte) error                 { return nil }

// Guards against blaming a target for connections that the instance has no descriptor
// left to open.
func TestAnInstanceWithoutDescriptorsBlamesNoTarget(t *testing.T) {
	d := newDispatcher(timekeeper.System(), func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	})
	result := d.Do(t.Context(), declarer.Target{URL: "http://127.0.0.1:9"}, Request{ID: "q", Method: http.MethodPost, Path: "/", IdleTimeout: timekeeper.Second}, discard{})
	assert.Equal(t, result.State, StateNotSent)
	assert.ErrorIs(t, result.Err, ErrLocalFailure)
}
