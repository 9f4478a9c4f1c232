package connector_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/connector"
)

// serve runs a peer that handles each connection with a function, and returns its address.
func serve(t *testing.T, handle func(c *net.TCPConn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// skipHead reads the head of a request.
func skipHead(reader *bufio.Reader) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}

func newTransport(t *testing.T) *connector.Transport {
	transport := connector.New(connector.Options{Dial: new(net.Dialer).DialContext, IdleTimeout: time.Second, MaxIdlePerHost: 4})
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// upload is a body whose type the transport does not know.
func upload(bytes int) io.ReadCloser { return io.NopCloser(io.LimitReader(zeros{}, int64(bytes))) }

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// exchange sends a request with a body of a length and reads the whole answer.
func exchange(t *testing.T, transport *connector.Transport, address string, length int) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", nil)
	assert.NilError(t, err)
	if length > 0 {
		r.Body, r.ContentLength = upload(length), int64(length)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer context.AfterFunc(ctx, func() { response.Body.Close() })() // A body after 101 has no timeout.
	data, err := connector.ReadBody(response, 1<<20)
	return response.StatusCode, string(data), err
}

// Guards against a part of an answer that is taken for the whole, because the connection was
// reset while the request was still sent and the write got the error, and against losing a
// whole answer that was sent before.
func TestAnswersBeforeTheRequestHasEnded(t *testing.T) {
	const rounds = 40
	part := strings.Repeat("a", 3000)
	for name, c := range map[string]struct {
		head, body string
		end        func(c *net.TCPConn, reader *bufio.Reader)
		status     int // 0 if there is no whole answer.
	}{
		"no length, reset":                   {"200 OK", part, reset, 0},
		"no length, reset after a time":      {"200 OK", part, resetLater, 0},
		"no length, no body, reset":          {"200 OK", "", reset, 0},
		"no length, ends after all was read": {"200 OK", part, readOn, 200},
		"length, reset":                      {"413 Too Large\r\nContent-Length: 3000", part, reset, 413},
		"length, reset after a time":         {"413 Too Large\r\nContent-Length: 3000", part, resetLater, 413},
		"length, closed":                     {"413 Too Large\r\nContent-Length: 3000", part, func(*net.TCPConn, *bufio.Reader) {}, 413},
		"length, reads on":                   {"413 Too Large\r\nContent-Length: 3000", part, readOn, 413},
		"length of more than was sent":       {"200 OK\r\nContent-Length: 9000", part, reset, 0},
		"chunks, reset":                      {"200 OK\r\nTransfer-Encoding: chunked", "bb8\r\n" + part + "\r\n", reset, 0},
		"chunks with their end, reset":       {"413 Too Large\r\nTransfer-Encoding: chunked", "bb8\r\n" + part + "\r\n0\r\n\r\n", reset, 413},
		"a head that ends early, reset":      {"200 OK\r\nX-A", "", reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				skipHead(reader)
				separator := "\r\n\r\n"
				if strings.HasSuffix(c.head, "X-A") {
					separator = ""
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 "+c.head+separator+c.body)
				c.end(conn, reader)
			})
			for range rounds {
				status, body, err := exchange(t, newTransport(t), address, uploadBytes)
				if c.status == 0 {
					assert.Check(t, err != nil, "a part is a whole answer: %d, %d bytes", status, len(body))
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, status, c.status)
				assert.Check(t, body == part, "%d bytes", len(body))
			}
		})
	}
}

// slowConn is a connection whose writes return a while after their last byte was sent.
type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(20 * time.Millisecond)
	return n, err
}

// Guards against a whole answer that is taken for one that was reset, because its end is read
// before the last write of the request has returned.
func TestAnswersThatEndWithTheirRequest(t *testing.T) {
	const upload = 32 << 10
	address := serve(t, func(c *net.TCPConn, reader *bufio.Reader) {
		skipHead(reader)
		_, _ = io.CopyN(io.Discard, reader, upload)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
	})
	transport := connector.New(connector.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return slowConn{c}, err
	}})
	for range 5 {
		status, body, err := exchange(t, transport, address, upload)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Equal(t, body, "whole")
	}
}

// uploadBytes is more than the kernel's buffers hold.
const uploadBytes = 8 << 20

// readOn reads the rest of the request.
func readOn(_ *net.TCPConn, reader *bufio.Reader) { _, _ = io.CopyN(io.Discard, reader, uploadBytes) }

func reset(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }

func resetLater(c *net.TCPConn, r *bufio.Reader) {
	time.Sleep(20 * time.Millisecond)
	reset(c, r)
}

// Guards against an answer that is none and is taken for one.
func TestInvalidAnswers(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 200": true, "HTTP/1.0 200 OK": true, "HTTP/1.1 404 Not Found": true, "HTTP/1.1 599 Own": true,
		"HTTP/1.1 000 ": false, "HTTP/1.1 000": false, "HTTP/1.1 001 A": false, "HTTP/1.1 020 A": false, "HTTP/1.1 099 A": false, "HTTP/1.1 +20 A": false,
		"HTTP/1.1 600 A": false, "HTTP/1.1 999 A": false, "HTTP/1.1 1000 A": false, "HTTP/1.1 20 OK": false, "HTTP/1.1 -01 A": false, "HTTP/1.1 2x0 A": false,
		"HTTP/1.1 101 Switching Protocols":                                          false,
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other": false,
		"HTTP/2.0 200 OK": false, "HTTP/0.9 200 OK": false, "HTTP/1.1": false, "200 OK": false, "ICY 200 OK": false,
	} {
		t.Run(line, func(t *testing.T) {
			address := serve(t, func(c *net.TCPConn, reader *bufio.Reader) {
				for {
					skipHead(reader)
					if _, err := fmt.Fprintf(c, "%s\r\nContent-Length: 4\r\n\r\nbody", line); err != nil {
						return
					}
					if _, err := reader.Peek(1); err != nil {
						return
					}
				}
			})
			transport := newTransport(t)
			for range 3 { // Also on a kept connection.
				_, body, err := exchange(t, transport, address, 0)
				assert.Equal(t, err == nil, valid, "%v", err)
				assert.Equal(t, body == "body", valid)
			}
		})
	}
}

// Guards against answers without end that are kept in memory, one alone or several at once,
// and against refusing those within the limits.
func TestBodiesAreBounded(t *testing.T) {
	const limit = 256 << 10
	read := func(b *connector.Budget, body io.Reader) (int, error) {
		data, err := b.ReadBody(&http.Response{Body: io.NopCloser(body)}, limit)
		return len(data), err
	}
	b := connector.NewBudget(3 * limit / 2)
	n, err := read(b, bytes.NewReader(make([]byte, limit)))
	assert.NilError(t, err)
	assert.Equal(t, n, limit)
	_, err = read(b, zeros{})
	assert.ErrorIs(t, err, connector.ErrTooLarge)
	_, err = read(b, bytes.NewReader(make([]byte, limit+1)))
	assert.ErrorIs(t, err, connector.ErrTooLarge)
	blocked, unblock := io.Pipe()
	first := make(chan error, 1)
	go func() { _, err := read(b, blocked); first <- err }()
	_, err = unblock.Write(make([]byte, limit-1))
	assert.NilError(t, err)
	_, err = read(b, bytes.NewReader(make([]byte, limit)))
	assert.ErrorIs(t, err, connector.ErrTooLarge, "the first one still holds its bytes")
	unblock.Close()
	assert.NilError(t, <-first)
	_, err = read(b, bytes.NewReader(make([]byte, limit)))
	assert.NilError(t, err)
	_, err = read(b, io.MultiReader(bytes.NewReader(make([]byte, 10)), failingReader{}))
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.WithStack(io.ErrUnexpectedEOF) }

// Guards against a head or body that stops anywhere and is taken for a whole answer.
func TestAnswersThatStop(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 6\r\n\r\nanswer",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-B\r\n\r\n6\r\nanswer\r\n0\r\nX-B: c\r\n\r\n",
	} {
		for stop := range len(answer) + 1 {
			address := serve(t, func(c *net.TCPConn, reader *bufio.Reader) {
				skipHead(reader)
				_, _ = io.WriteString(c, answer[:stop])
			})
			status, body, err := exchange(t, newTransport(t), address, 0)
			whole := stop == len(answer)
			assert.Equal(t, err == nil, whole, "%s, stopped after %q: %d %q %v", name, answer[:stop], status, body, err)
		}
	}
}
