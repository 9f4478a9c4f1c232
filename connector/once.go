package connector

import (
	"io"
	"net/http"
)

// Once returns a request that is sent at most once, whatever its method and headers. Package
// net/http sends a request without a body again by itself if it takes it for idempotent, and
// its connection ends without an answer. A request with a body must not have a GetBody.
func Once(r *http.Request) *http.Request {
	if r.Body != nil && r.Body != http.NoBody || !countsAsIdempotent(r) {
		return r
	}
	once := *r
	once.Body, once.ContentLength = emptyBody{}, 0
	return &once
}

// countsAsIdempotent reports whether net/http takes a request without a body for idempotent.
// It looks for the headers, not for their values.
func countsAsIdempotent(r *http.Request) bool {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if _, ok := r.Header[name]; ok {
			return true
		}
	}
	return false
}

// emptyBody is an empty body of a type that net/http doesn't know.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
