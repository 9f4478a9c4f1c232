package connector_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/connector"
)

// Guards against a request that net/http sends again by itself because its kept connection
// ended without an answer: it may have run.
func TestRequestsAreSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch, http.MethodGet, http.MethodHead, http.MethodOptions, "BOOK"} {
		for name, header := range map[string]http.Header{
			"no key":          {},
			"key":             {"Idempotency-Key": {"k"}},
			"empty key":       {"Idempotency-Key": {""}},
			"key of no value": {"Idempotency-Key": {}},
			"other key":       {"X-Idempotency-Key": {"k"}},
			"empty other key": {"X-Idempotency-Key": {""}},
		} {
			for _, body := range []string{"", "body"} {
				t.Run(fmt.Sprintf("%s, %s, body %q", method, name, body), func(t *testing.T) {
					var arrived atomic.Int32
					address := serve(t, func(c *net.TCPConn, reader *bufio.Reader) {
						for {
							r, err := http.ReadRequest(reader)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, r.Body)
							if r.URL.Path == "/run" {
								arrived.Add(1)
								return // The connection ends without an answer.
							}
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						}
					})
					transport := newTransport(t)
					send := func(path string) error {
						r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, nil)
						assert.NilError(t, err)
						r.Header = header.Clone()
						if body != "" {
							r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
						}
						response, err := transport.RoundTrip(connector.Once(r))
						if err == nil {
							_ = response.Body.Close()
						}
						return err
					}
					assert.NilError(t, send("/warm"))
					assert.Check(t, send("/run") != nil)
					assert.Equal(t, arrived.Load(), int32(1))
				})
			}
		}
	}
}
