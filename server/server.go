// Package server speaks HTTP to callers and operators. It parses requests, hands
// them to a backend and writes answers and refusals; it decides nothing.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
)

// readHeaderTimeout bounds the time for a request's header.
const readHeaderTimeout = 10 * time.Second

// Call is one parsed request of a caller.
type Call struct {
	ID string
	// AccessKeys are all keys that came with the request, in any place.
	AccessKeys     []string
	Method         string
	Path           string
	Query          string
	Header         http.Header // without access keys and hop-by-hop headers
	Body           []byte
	Route          declarer.Route
	Idempotent     bool
	IdempotencyKey string
	Stream         bool
	PromptTokens   int64
	MaxTokens      int64
	// Prompt is the text that prefix affinity looks at.
	Prompt []byte
}

// Backend serves parsed requests.
type Backend interface {
	// Catalogue returns the configuration in force.
	Catalogue() *declarer.Catalogue
	// Serve runs a call and writes its answer to the sink. A refusal after the
	// sink began means that the answer is broken.
	Serve(ctx context.Context, call Call, sink dispatcher.Sink) *Refusal
	// Ready reports whether the instance takes new requests.
	Ready() error
	// Granted returns the names of the model routes that the keys may call.
	Granted(accessKeys []string) ([]string, *Refusal)
	// NextID returns a new request id.
	NextID() string
}

// Server answers callers.
type Server struct {
	backend   Backend
	bodyBytes int64
	echo      *echo.Echo
}

// New returns a server for callers with a bound on request bodies.
func New(b Backend, bodyBytes int64) *Server {
	s := &Server{backend: b, bodyBytes: bodyBytes, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	s.echo.GET("/readyz", s.ready)
	s.echo.POST("/v1/chat/completions", s.chat)
	s.echo.GET("/v1/models", s.models)
	s.echo.Any("/*", s.service)
	return s
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

func (s *Server) ready(c echo.Context) error {
	if err := s.backend.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// handleError writes errors that echo itself finds, in the documented form.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := Refuse(CodeBadRequest, "%v", err)
	var known *Refusal
	if errors.As(err, &known) {
		refusal = known
	}
	_ = refusal.write(c)
}

// Stop says how a listening server ends.
type Stop struct {
	// Leave is the time in which requests are still accepted after the context ended.
	Leave time.Duration
	// Grace bounds the wait for running requests after that.
	Grace time.Duration
	// Abort ends everything at once when it is done; nil means never.
	Abort <-chan struct{}
}

// Listen serves a handler on a listener until the context ends, then stops as
// told; it reports whether running requests had to be ended.
func Listen(ctx context.Context, listener net.Listener, handler http.Handler, stop Stop) (forced bool, err error) {
	h := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan error, 1)
	go func() { done <- h.Serve(listener) }()
	select {
	case err := <-done:
		return false, errors.Wrap(err, "serve")
	case <-stop.Abort:
		h.Close()
		<-done
		return true, nil
	case <-ctx.Done():
	}
	// Callers on kept connections are told to open new ones, which go elsewhere.
	h.SetKeepAlivesEnabled(false)
	select {
	case <-stop.Abort:
	case <-time.After(stop.Leave):
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stop.Grace)
	defer cancel()
	go func() {
		select {
		case <-stop.Abort:
			cancel()
		case <-limit.Done():
		}
	}()
	if err := h.Shutdown(limit); err != nil {
		forced = true
		h.Close()
	}
	<-done
	return forced, nil
}
