package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client, and how it ended.
type request struct {
	id, method, path, key string
	extra                 string // Further header lines, each with its end.
	deadline              time.Duration
	sentAt, endedAt       time.Time
	status                int
	stamp, body           string
	err                   error
}

// answered reports whether the client got a whole answer.
func (q *request) answered() bool { return q.err == nil && q.status != 0 }

// send sends the request to a node on a new connection and reads the answer.
func (w *world) send(n *node, q *request) {
	w.play(n, q, func(ctx context.Context) error { return q.exchange(ctx, n.callers) })
}

// keptConnection is a connection that a client uses for several requests.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection to a node that is kept.
func connect(n *node) (*keptConnection, error) {
	c, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{c, bufio.NewReader(c)}, nil
}

// sendOn sends the request on a kept connection and reads the answer.
func (w *world) sendOn(n *node, c *keptConnection, q *request) {
	w.play(n, q, func(ctx context.Context) error { return q.exchangeOn(ctx, c, c.reader) })
}

// play exchanges the request for its answer and records both.
func (w *world) play(n *node, q *request, exchange func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	q.sentAt = time.Now()
	w.record.line("%s %s %s key=%q is sent to %s", q.id, q.method, q.path, q.key, n.name)
	q.err = exchange(ctx)
	q.endedAt = time.Now()
	if q.err != nil {
		w.record.line("%s ends without a whole answer: %v", q.id, q.err)
		return
	}
	w.record.line("%s is answered: %d stamp=%q body=%q", q.id, q.status, q.stamp, q.body)
}

// exchange sends the request on a connection of its own.
func (q *request) exchange(ctx context.Context, address string) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	return q.exchangeOn(ctx, c, bufio.NewReader(c))
}

// exchangeOn writes the request to a connection as it is, so that no library changes its
// path, and reads the answer.
func (q *request) exchangeOn(ctx context.Context, c net.Conn, reader *bufio.Reader) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", q.key)
	}
	head.WriteString(q.extra + "Content-Length: 0\r\n\r\n")
	if _, err := io.WriteString(c, head.String()); err != nil {
		return err
	}
	answer, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	q.status, q.stamp, q.body = answer.StatusCode, answer.Header.Get("X-Server-Stamp"), string(body)
	return nil
}

// load sends requests to a node at even intervals until stopped.
type load struct {
	stop func()
	mu   sync.Mutex
	all  []*request
}

func (w *world) startLoad(n *node, name, method, path, key string, every, deadline time.Duration) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{}
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			q := &request{id: fmt.Sprintf("%s-%04d", name, i), method: method, path: path, key: key, deadline: deadline}
			l.mu.Lock()
			l.all = append(l.all, q)
			l.mu.Unlock()
			running.Go(func() { w.send(n, q) })
			select {
			case <-time.After(every):
			case <-ctx.Done():
			}
		}
	})
	l.stop = func() { cancel(); running.Wait() }
	return l
}
