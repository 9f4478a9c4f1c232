package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// message is a client's request.
type message struct {
	id, path, body string
	header         map[string]string // Beside those of all requests.
}

// outcome is what a client got.
type outcome struct {
	status     int
	whole      bool
	retryAfter string
	took       time.Duration
}

func (o outcome) String() string {
	s := fmt.Sprintf("status %d, whole %t, after %d ms", o.status, o.whole, o.took.Milliseconds())
	if o.retryAfter != "" {
		s += ", retry after " + o.retryAfter
	}
	return s
}

// chat returns a request on the route for chats.
func chat(id, body, prefix string) message {
	return message{id: id, path: chatPrefix + "2f", body: body, header: map[string]string{
		"X-Model": "m", "X-Token-Counts": "220,80", "X-Prompt-Prefix": prefix, "X-Deadline-Ms": "15000",
	}}
}

// send sends a request to an instance and reads the whole answer.
func (w *world) send(c *http.Client, i *instance, m message) outcome {
	began := time.Now()
	w.notef("request %s is sent to %s: POST %s %q", m.id, i.name, m.path, m.body)
	r, err := http.NewRequest(http.MethodPost, "http://"+i.caller+m.path, bytes.NewReader([]byte(m.body)))
	if err != nil {
		return outcome{}
	}
	r.Host = host
	r.GetBody = nil // It is sent once.
	r.Header.Set("X-Request-Id", m.id)
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range m.header {
		r.Header.Set(name, value)
	}
	o := outcome{}
	if response, err := c.Do(r); err == nil {
		o.status, o.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		o.whole = err == nil
	}
	o.took = time.Since(began)
	w.notef("request %s is answered: %s", m.id, o)
	return o
}
