// Package connector is the client side of HTTP towards targets and the platform: it
// decides what counts as an answer, for all of them alike.
package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHeaderBytes bounds the head of an answer, interim answers included.
	maxHeaderBytes = 64 << 10
	// minStatus and maxStatus are the least and the greatest status of a final answer.
	minStatus = 200
	maxStatus = 599
)

var (
	// ErrInvalid means that an answer is none of HTTP/1: its status is not that of a final
	// answer, or its version is another one. The request may have run.
	ErrInvalid = errors.New("invalid answer")
	// ErrTooLarge means that an answer is longer than what is read of it.
	ErrTooLarge = errors.New("answer is too large")
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a transport.
type Options struct {
	Dial DialFunc
	// IdleTimeout is how long idle connections are kept; if it is 0, each request opens a
	// connection.
	IdleTimeout time.Duration
	// MaxIdlePerHost is how many idle connections are kept for each host.
	MaxIdlePerHost int
}

// Transport sends requests over HTTP/1. It uses no proxy, follows no redirect and asks for
// no compression. It is safe for concurrent use.
type Transport struct{ http *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// New returns a transport without connections.
func New(o Options) *Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := o.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	return &Transport{&http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout: o.IdleTimeout, MaxIdleConnsPerHost: o.MaxIdlePerHost, DisableKeepAlives: o.IdleTimeout == 0,
	}}
}

// NewClient returns a client whose requests take at most a time. It follows no redirect.
func NewClient(timeout time.Duration, o Options) *http.Client {
	return &http.Client{
		Timeout: timeout, Transport: New(o),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// Trace is told of the progress of a request.
type Trace struct {
	GotConn      func(net.Conn) // The request has a connection: what Options.Dial returned, or one above it.
	WroteHeaders func()
}

// traceKey is the key of a trace in a context.
type traceKey struct{}

// WithTrace returns a context whose request is traced. The functions of the trace may be nil.
func WithTrace(ctx context.Context, t Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

// RoundTrip implements http.RoundTripper. It returns ErrInvalid for an answer that is none.
// If the connection is reset, the end of the body that is returned is an error, also where
// only the end of the connection ends the answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace, _ := r.Context().Value(traceKey{}).(Trace)
	response, err := t.http.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn
			if own, ok := ownConn(c); ok {
				own.begin()
				if own == c {
					c = own.Conn
				}
			}
			if trace.GotConn != nil {
				trace.GotConn(c)
			}
		},
		WroteHeaders: trace.WroteHeaders,
	})))
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// check returns an error unless the head of an answer is valid.
func check(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %03d", r.StatusCode)
	}
	if r.ProtoMajor != 1 {
		return errors.Wrap(ErrInvalid, r.Proto)
	}
	return nil
}
