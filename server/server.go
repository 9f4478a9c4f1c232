// Package server implements HTTP for callers and operators. It parses requests,
// passes them to a backend and writes answers and refusals. All decisions are the
// backend's.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/acceptor"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
)

// readHeaderTimeout is the time within which a request's header must arrive.
const readHeaderTimeout = 10 * time.Second

// maxHeaderBytes is the largest header of a request.
const maxHeaderBytes = 64 << 10

// Call is a parsed request of a caller.
type Call struct {
	ID string
	// AccessKeys are all keys in the request, whether in a header or the query.
	AccessKeys     []string
	Method         string
	Path           string // decoded
	EncodedPath    string // as the caller sent it
	Query          string
	Header         http.Header // without access keys and hop-by-hop headers
	Body           []byte
	Route          declarer.Route
	Idempotent     bool
	IdempotencyKey string
	Stream         bool
	PromptTokens   int64
	MaxTokens      int64
	// Prompt is the text that is used for prefix affinity.
	Prompt []byte
}

// Backend serves parsed requests.
type Backend interface {
	// Catalogue returns the configuration in force.
	Catalogue() *declarer.Catalogue
	// Serve runs a call and writes its answer to the sink. A refusal after
	// sink.Begin was called means that the answer is incomplete.
	Serve(ctx context.Context, call Call, sink dispatcher.Sink) *Refusal
	// Ready returns an error unless the instance accepts new requests.
	Ready() error
	// Granted returns the names of the model routes that the keys may call.
	Granted(accessKeys []string) ([]string, *Refusal)
	// NextID returns a new request id.
	NextID() string
}

// Server handles the requests of callers.
type Server struct {
	backend Backend
	bodies  BodyLimits
	echo    *echo.Echo
}

// New returns a server for callers.
func New(b Backend, bodies BodyLimits) *Server {
	s := &Server{backend: b, bodies: bodies, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	s.echo.GET("/readyz", s.ready)
	s.echo.POST("/v1/chat/completions", s.chat, s.accountForBody)
	s.echo.GET("/v1/models", s.models)
	s.echo.Any("/*", s.service, s.accountForBody)
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

// handleError writes errors of echo itself as refusals.
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

// Options configure a server.
type Options struct {
	// Descriptors count the connections of the listener; nil means that they have no limit.
	Descriptors *acceptor.Descriptors
	// DrainTime is the time for which requests are still accepted after the context ends.
	DrainTime time.Duration
	// ShutdownTimeout is the longest wait for running requests after that. Requests that still
	// run then are aborted: their contexts end with the cause ErrAborted.
	ShutdownTimeout time.Duration
	// OnDrain is called when that wait begins, with its end; nil means no call. Requests on
	// open connections are still handled.
	OnDrain func(end time.Time)
	// Abort, when closed, ends the server and its running requests at once; nil means never.
	Abort <-chan struct{}
}

// ErrAborted is the cause with which the contexts of requests end that are aborted by a
// shutdown.
var ErrAborted = errors.New("instance is shutting down")

// Listen serves a handler on a listener until the context ends, then shuts down as the
// options say. It reports whether running requests had to be aborted.
func Listen(ctx context.Context, listener net.Listener, handler http.Handler, o Options) (forced bool, err error) {
	h := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	o.Descriptors.Attach(h)
	acceptor.AccountForHeads(h)
	drainer := acceptor.NewDrainer(ErrAborted)
	drainer.Attach(h)
	done := make(chan error, 1)
	go func() { done <- h.Serve(listener) }()
	select {
	case err := <-done:
		return false, errors.Wrap(err, "serve")
	case <-o.Abort:
		h.Close()
		<-done
		return true, nil
	case <-ctx.Done():
	}
	// Answers now close their connections, and the callers' new ones reach other instances.
	drainer.CloseConnections()
	select {
	case <-o.Abort:
	case <-time.After(o.DrainTime):
	}
	if o.OnDrain != nil {
		o.OnDrain(time.Now().Add(o.ShutdownTimeout))
	}
	listener.Close()
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.ShutdownTimeout)
	defer cancel()
	go func() {
		select {
		case <-o.Abort:
			h.Close()
			cancel()
		case <-shutdownContext.Done():
		}
	}()
	forced = drainer.Drain(shutdownContext) > 0
	<-done
	return forced, nil
}
