package connector_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/connector"
)

// Guards against a path or query that reaches its target changed.
func TestPathsAreSentAsTheyAre(t *testing.T) {
	for uri, sendable := range map[string]bool{
		"/": true, "/a/b": true, "/a/b?c=1": true, "/a/b?": true, "/a//b": true, "/a/./b/../c": true, "/a%2Fb": true, "/a%2fb": true,
		"/a%20b?c=%20": true, "/a;b=c": true, "/a?b?c": true, "/a%3Fb": true, "/a%23b": true, `/a"b`: true, "/a[b]": true, "/a+b&c": true, "/ä": true, "/a%": true,
		"//": true, "//a/b": true, "//a/b?c=1": true, "//a/b?": true, "///a": true, "//host:80/a": true, "//a@b/c": true, "//a%2Fb": true, "//a%2fb": true,
		"//a%3Fb?c": true, "//a[b]": true, "//a?b//c": true, "//a;b": true, `//a"b`: false, "//ä": false, "//a%": false, "//a%zz": false,
	} {
		t.Run(uri, func(t *testing.T) {
			lines := make(chan string, 1)
			address := serve(t, func(c *net.TCPConn, reader *bufio.Reader) {
				line, _ := reader.ReadString('\n') // It is compared below.
				lines <- line
				skipHead(reader)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			})
			u, err := connector.RequestURL("http", address, uri)
			if !sendable {
				assert.ErrorIs(t, err, connector.ErrUnsendable)
				return
			}
			assert.NilError(t, err)
			r := (&http.Request{Method: http.MethodGet, URL: u, Header: http.Header{}}).WithContext(t.Context())
			response, err := newTransport(t).RoundTrip(r)
			assert.NilError(t, err)
			response.Body.Close()
			assert.Equal(t, strings.TrimSpace(<-lines), "GET "+uri+" HTTP/1.1")
		})
	}
}
