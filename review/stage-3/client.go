package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// chat is a client's request on the route for chats.
type chat struct {
	id, path, body, prefix string
}

// outcome is what a client got.
type outcome struct {
	status     int
	whole      bool
	retryAfter string
	stamp      string // Of the server.
	took       time.Duration
}

func (o outcome) String() string {
	s := fmt.Sprintf("status %d, whole %t, after %d ms", o.status, o.whole, o.took.Milliseconds())
	if o.retryAfter != "" {
		s += ", retry after " + o.retryAfter
	}
	if o.stamp != "" {
		s += ", stamp " + o.stamp
	}
	return s
}

// send sends a chat to an instance and reads the whole answer.
func (w *world) send(c *http.Client, i *instance, q chat) outcome {
	began := time.Now()
	w.notef("request %s is sent to %s: POST %s %q", q.id, i.name, q.path, q.body)
	r, err := http.NewRequest(http.MethodPost, "http://"+i.caller+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return outcome{}
	}
	r.Host = host
	r.GetBody = nil
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", "220,80")
	r.Header.Set("X-Prompt-Prefix", q.prefix)
	r.Header.Set("X-Deadline-Ms", "15000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	o := outcome{}
	if response, err := c.Do(r); err == nil {
		o.status, o.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		o.whole = err == nil
	}
	o.took = time.Since(began)
	w.notef("request %s is answered: %s", q.id, o)
	return o
}
