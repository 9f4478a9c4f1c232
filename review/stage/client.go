package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
)

// answer is what a client saw of one request.
type answer struct {
	id      string
	machine string
	sent    time.Time
	status  int // 0: no answer.
	after   time.Duration
	broken  bool // The connection ended without a complete answer.
	foreign bool // The answer is not the one to this request.
}

// user is one client with a kept connection.
type user struct {
	connection net.Conn
	reader     *bufio.Reader
	machine    string
}

// connect opens a connection; a client allows one second.
func connect(m *machine) (*user, error) {
	c, err := net.DialTimeout("tcp", m.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &user{connection: c, reader: bufio.NewReader(c), machine: m.name}, nil
}

// head returns the head of a request.
func head(method, path, id string, length int, deadline time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, callerHost, id, deadline.Milliseconds(), apiKey)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.String()
}

// request sends a request and waits for its answer until the client's deadline.
func (u *user) request(method, path, id, body string, deadline time.Duration) answer {
	a := answer{id: id, machine: u.machine, sent: time.Now()}
	_ = u.connection.SetDeadline(a.sent.Add(deadline))
	_, err := io.WriteString(u.connection, head(method, path, id, len(body), deadline)+body)
	if err == nil {
		u.readAnswer(&a, method)
	}
	a.after = time.Since(a.sent)
	if a.status == 0 && a.after < deadline {
		a.broken = true
	}
	_ = u.connection.SetDeadline(time.Time{})
	return a
}

// readAnswer reads one answer.
func (u *user) readAnswer(a *answer, method string) {
	response, err := http.ReadResponse(u.reader, &http.Request{Method: method})
	if err != nil {
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return
	}
	a.status = response.StatusCode
	a.foreign = response.StatusCode == http.StatusOK && string(body) != imitator.Body(a.id)
}

func (u *user) close() { _ = u.connection.Close() }
