package storer_test

import (
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

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
	"github.com/gypsumwharf/gypsumwharf/storer"
)

// longBody is more than the kernel's buffers hold.
const longBody = 16 << 20

// calls are all kinds of calls to the platform, some with bodies that the platform can
// answer before they are sent.
var calls = map[string]func(ctx context.Context, c *storer.Client) error{
	"get": func(ctx context.Context, c *storer.Client) error { _, err := c.Get(ctx, "a"); return err },
	"put": func(ctx context.Context, c *storer.Client) error {
		_, err := c.Put(ctx, "a", make([]byte, storer.MaxValueBytes), 1)
		return err
	},
	"delete": func(ctx context.Context, c *storer.Client) error { return c.Delete(ctx, "a", 1) },
	"list":   func(ctx context.Context, c *storer.Client) error { _, err := c.List(ctx, "a"); return err },
	"watch":  func(ctx context.Context, c *storer.Client) error { _, _, err := c.Watch(ctx, "a", 1); return err },
	"order":  func(ctx context.Context, c *storer.Client) error { return c.Order(ctx, storer.TargetOrder{}) },
	"usage": func(ctx context.Context, c *storer.Client) error {
		return c.Report(ctx, storer.UsageReport{Window: strings.Repeat("w", longBody)})
	},
	"register":  func(ctx context.Context, c *storer.Client) error { return c.Register(ctx, storer.ListedInstance{}) },
	"instances": func(ctx context.Context, c *storer.Client) error { _, err := c.Instances(ctx); return err },
}

// Guards against a write or report that is taken for accepted, because the platform reset
// the connection while it was still sent, and against losing an answer that came before.
func TestAnswersBeforeTheEndOfTheCall(t *testing.T) {
	for form, c := range map[string]struct {
		headers string
		success bool
	}{"reset without a length": {"", false}, "with a length": {"Content-Length: 2\r\n", true}} {
		for name, send := range calls {
			t.Run(name+", "+form, func(t *testing.T) {
				t.Parallel()
				address, stop, err := imitator.ServePeer("127.0.0.1:0", imitator.EarlyReset("200 OK", "Connection: close\r\n"+c.headers, "[]"))
				assert.NilError(t, err)
				defer stop()
				for range 20 {
					client := storer.NewClient("http://" + address)
					err := send(t.Context(), client)
					client.Close()
					assert.Equal(t, err == nil, c.success, "%v", err)
				}
			})
		}
	}
}

// Guards against an answer that stops anywhere in its head or body and is taken for a success.
func TestAnswersThatStop(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nObject-Version: 7\r\nContent-Length: 2\r\n\r\n[]"
	for name, send := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for stop := range len(answer) + 1 {
				address, end, err := imitator.ServePeer("127.0.0.1:0", func(c *net.TCPConn, r *http.Request) error {
					_, _ = io.Copy(io.Discard, r.Body) // The answer comes in any case.
					_, _ = io.WriteString(c, answer[:stop])
					return io.EOF
				})
				assert.NilError(t, err)
				client := storer.NewClient("http://" + address)
				err = send(t.Context(), client)
				client.Close()
				end()
				assert.Equal(t, err == nil, stop == len(answer), "stopped after %q: %v", answer[:stop], err)
			}
		})
	}
}

// Guards against a status that is that of no answer, or a redirect, and is taken for a
// success; a write may have taken effect then.
func TestAnswersWithAnInvalidStatus(t *testing.T) {
	for line, success := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 000 ": false, "HTTP/1.1 099 A": false, "HTTP/1.1 600 A": false, "HTTP/2.0 200 OK": false,
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other": false,
		"HTTP/1.1 302 Found\r\nLocation: /elsewhere":                                false,
	} {
		for name, send := range calls {
			t.Run(line+", "+name, func(t *testing.T) {
				t.Parallel()
				address, stop, err := imitator.ServePeer("127.0.0.1:0", func(c *net.TCPConn, r *http.Request) error {
					_, _ = io.Copy(io.Discard, r.Body) // The answer comes in any case.
					answer := line
					if r.URL.Path == "/elsewhere" {
						answer = "HTTP/1.1 200 OK"
					}
					_, err := fmt.Fprintf(c, "%s\r\nContent-Length: 2\r\n\r\n[]", answer)
					return err
				})
				assert.NilError(t, err)
				defer stop()
				client := storer.NewClient("http://" + address)
				defer client.Close()
				err = send(t.Context(), client)
				assert.Equal(t, err == nil, success, "%v", err)
			})
		}
	}
}

// Guards against a platform whose answers never end: a call must end without a success, and
// the calls that an instance makes at once must not exhaust its memory.
func TestEndlessAnswersAreAborted(t *testing.T) {
	const (
		atOnce = 10
		bound  = 128 << 20 // Half of what an instance may use for control.
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(bound / 2))
	for form, answer := range imitator.EndlessAnswers() {
		t.Run(form, func(t *testing.T) {
			address, stop, err := imitator.ServePeer("127.0.0.1:0", answer)
			assert.NilError(t, err)
			defer stop()
			client := storer.NewClient("http://" + address)
			defer client.Close()
			for _, name := range []string{"get", "put", "list"} {
				growth := imitator.HeapGrowth(func() {
					var running sync.WaitGroup
					for range atOnce {
						running.Go(func() {
							ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
							defer cancel()
							assert.Check(t, calls[name](ctx, client) != nil, "an endless answer to %s is a success", name)
						})
					}
					running.Wait()
				})
				assert.Check(t, growth < bound, "%s: the heap grew by %d MB", name, growth>>20)
			}
		})
	}
}
