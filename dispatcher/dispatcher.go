// Package dispatcher sends one request to one target and relays its answer. It reports
// how far the attempt certainly got: not sent, possibly running, ran or answered.
package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/acceptor"
	"github.com/gypsumwharf/gypsumwharf/connector"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of an attempt.
var (
	// ErrNotSent means that no byte of the request can have reached the target.
	ErrNotSent = errors.New("request not sent")
	// ErrLocalFailure means that this instance could not open a connection; the target is
	// not the cause.
	ErrLocalFailure = errors.New("no connection can be opened")
	// ErrNoAnswer means that the request may be running or have run, but no answer was
	// received.
	ErrNoAnswer = errors.New("no answer from target")
	// ErrIdleTimeout means that the target sent nothing for longer than the idle timeout,
	// Request.IdleTimeout.
	ErrIdleTimeout = errors.New("target silent for too long")
	// ErrMismatched means that the answer carried another request's id.
	ErrMismatched = errors.New("answer belongs to another request")
	// ErrTruncated means that the answer ended before its end marker or length.
	ErrTruncated = errors.New("answer truncated")
	// ErrTooLarge means that the answer is larger than MaxAnswerBytes.
	ErrTooLarge = errors.New("answer too large")
	// ErrCallerGone means that the answer could not be written to the caller.
	ErrCallerGone = errors.New("caller went away")
)

const (
	// connectTimeout bounds opening a connection.
	connectTimeout = time.Second
	// idleTimeout is how long an idle connection is kept, and maxIdlePerHost how many are
	// kept to a target.
	idleTimeout    = 20 * time.Second
	maxIdlePerHost = 256
)

// MaxAnswerBytes is the largest answer that is not a stream.
const MaxAnswerBytes = 16 << 20

// defaultAnswerMemory bounds the answers that are received at once, in bytes, unless
// WithAnswerMemory sets another bound.
const defaultAnswerMemory = 16 * MaxAnswerBytes

// Headers between instances and targets.
const (
	// RequestIDHeader carries the request id; targets echo it.
	RequestIDHeader = "X-Request-Id"
	// CallerKeyHeader carries the idempotency key. Another name than
	// Idempotency-Key, because net/http retries requests with that header by itself.
	CallerKeyHeader = "X-Caller-Idempotency"
	// PriorityHeader carries the class's priority, 0 to 9.
	PriorityHeader = "X-Priority"
	// ResumeHeader carries the number of output tokens that were already relayed.
	ResumeHeader = "X-Resume-Offset"
)

// State is the progress that an attempt certainly made.
type State int

// States of an attempt, in order of progress.
const (
	// StateNotSent means that no byte can have reached the target.
	StateNotSent State = iota
	// StatePossiblyRunning means that bytes may have reached the target.
	StatePossiblyRunning
	// StateRan means that the target's answer began.
	StateRan
	// StateAnswered means that the whole answer was relayed.
	StateAnswered
)

// String returns the state's name in timelines.
func (s State) String() string {
	switch s {
	case StateNotSent:
		return "not-sent"
	case StatePossiblyRunning:
		return "possibly-running"
	case StateRan:
		return "ran"
	default:
		return "answered"
	}
}

// Request is the request to a target. Header must not contain an access key.
type Request struct {
	ID             string
	Method         string
	Path           string // as it is sent
	Query          string
	Header         http.Header
	Body           []byte
	Idempotent     bool
	IdempotencyKey string
	Priority       int
	// ResumeOffset is the number of output tokens relayed by an earlier attempt.
	ResumeOffset int64
	// IdleTimeout is the idle timeout: the longest time without a byte from the target.
	IdleTimeout timekeeper.Millis
}

// Usage holds the token counts of an answer, as reported by the target or counted.
type Usage struct {
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// Sink receives the answer. Begin is called once, before the first Write.
type Sink interface {
	// Begin receives status and header; stream is true if events follow.
	Begin(status int, header http.Header, stream bool) error
	// Write receives one complete event of a stream, or the complete body.
	Write(data []byte) error
}

// Result is the result of an attempt.
type Result struct {
	State  State
	Status int
	Usage  Usage
	Err    error
	// TimeToFirstToken is the time until the first event of a stream or the whole answer.
	TimeToFirstToken timekeeper.Millis
}

// Dispatcher manages the connections to targets. It is safe for concurrent use.
type Dispatcher struct {
	clock   timekeeper.Clock
	answers *connector.Budget
	// pooled serves idempotent requests; unpooled opens a connection for each request.
	pooled   *connector.Transport
	unpooled *connector.Transport
}

// New returns a dispatcher without connections.
func New(c timekeeper.Clock) *Dispatcher {
	return newDispatcher(c, (&net.Dialer{Timeout: connectTimeout}).DialContext)
}

// WithDescriptors returns a dispatcher whose connections count against the descriptors.
func (d *Dispatcher) WithDescriptors(limit *acceptor.Descriptors) *Dispatcher {
	return newDispatcher(d.clock, limit.Dial((&net.Dialer{Timeout: connectTimeout}).DialContext))
}

// WithAnswerMemory returns a dispatcher that holds at most a number of bytes of answers while
// it receives them.
func (d *Dispatcher) WithAnswerMemory(bytes int64) *Dispatcher {
	bounded := *d
	bounded.answers = connector.NewBudget(bytes)
	return &bounded
}

func newDispatcher(c timekeeper.Clock, dial acceptor.DialFunc) *Dispatcher {
	return &Dispatcher{
		clock: c, answers: connector.NewBudget(defaultAnswerMemory), pooled: connector.New(connector.Options{Dial: dial, IdleTimeout: idleTimeout, MaxIdlePerHost: maxIdlePerHost}),
		// net/http retries by itself only on reused connections.
		unpooled: connector.New(connector.Options{Dial: dial}),
	}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.unpooled.CloseIdleConnections()
}

// Do makes one attempt at a target and relays the answer to the sink.
func (d *Dispatcher) Do(ctx context.Context, target declarer.Target, r Request, sink Sink) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{dispatcher: d, request: r, sink: sink, cancel: cancel, started: d.clock.Now()}
	return a.run(ctx, target)
}

// attempt is the state of one Do.
type attempt struct {
	dispatcher *Dispatcher
	request    Request
	sink       Sink
	cancel     context.CancelCauseFunc
	started    timekeeper.Millis
	connected  atomic.Bool
	idleTimer  *time.Timer
	result     Result
}

func (a *attempt) run(ctx context.Context, target declarer.Target) Result {
	request, err := a.buildRequest(ctx, target)
	if err != nil {
		return Result{State: StateNotSent, Err: errors.Wrap(ErrNotSent, err.Error())}
	}
	a.idleTimer = time.AfterFunc(a.request.IdleTimeout.Duration(), func() { a.cancel(ErrIdleTimeout) })
	defer a.idleTimer.Stop()
	response, err := a.transport().RoundTrip(request)
	if err != nil {
		return a.classifyError(ctx, err)
	}
	// A cancelled context makes Close close the connection of an answer that was not
	// read to its end.
	defer response.Body.Close()
	a.result.State = StateRan
	a.result.Status = response.StatusCode
	if id := response.Header.Get(RequestIDHeader); id != a.request.ID {
		a.cancel(ErrMismatched)
		// The connection of an answer without a body is already back in the pool.
		a.dispatcher.pooled.CloseIdleConnections()
		return Result{State: StatePossiblyRunning, Err: errors.Wrapf(ErrMismatched, "got %q", id)}
	}
	a.relay(ctx, response)
	return a.result
}

func (a *attempt) transport() http.RoundTripper {
	if a.request.Idempotent {
		return a.dispatcher.pooled
	}
	return a.dispatcher.unpooled
}

// classifyError returns the result of an attempt that failed before an answer began.
func (a *attempt) classifyError(ctx context.Context, err error) Result {
	if cause := context.Cause(ctx); errors.Is(cause, ErrIdleTimeout) {
		err = ErrIdleTimeout
	}
	if !a.connected.Load() && acceptor.IsExhausted(err) {
		return Result{State: StateNotSent, Err: errors.Wrap(ErrLocalFailure, err.Error())}
	}
	if !a.connected.Load() {
		return Result{State: StateNotSent, Err: errors.Wrap(ErrNotSent, err.Error())}
	}
	if errors.Is(err, ErrIdleTimeout) {
		return Result{State: StatePossiblyRunning, Err: err}
	}
	return Result{State: StatePossiblyRunning, Err: errors.Wrap(ErrNoAnswer, err.Error())}
}

func (a *attempt) buildRequest(ctx context.Context, target declarer.Target) (*http.Request, error) {
	base, err := url.Parse(target.URL)
	if err != nil {
		return nil, err
	}
	uri := base.EscapedPath() + a.request.Path
	if a.request.Query != "" {
		uri += "?" + a.request.Query
	}
	u, err := connector.RequestURL(base.Scheme, base.Host, uri)
	if err != nil {
		return nil, err
	}
	// Once the request has a connection, bytes may have been sent.
	ctx = connector.WithTrace(ctx, connector.Trace{GotConn: func(net.Conn) { a.connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, a.request.Method, target.URL, &requestBody{data: a.request.Body})
	if err != nil {
		return nil, err
	}
	request.URL = u
	request.ContentLength = int64(len(a.request.Body))
	request.Header = a.request.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set(RequestIDHeader, a.request.ID)
	request.Header.Set(PriorityHeader, string(rune('0'+a.request.Priority%10)))
	if a.request.IdempotencyKey != "" {
		request.Header.Set(CallerKeyHeader, a.request.IdempotencyKey)
	}
	if a.request.ResumeOffset > 0 {
		request.Header.Set(ResumeHeader, formatInt(a.request.ResumeOffset))
	}
	return request, nil
}

// requestBody prevents retries by net/http: for a type that it does not know it sets no
// GetBody, and a non-nil body keeps requests without content from being replayed.
type requestBody struct {
	data []byte
	read int
}

func (b *requestBody) Read(p []byte) (int, error) {
	if b.read >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:])
	b.read += n
	return n, nil
}

func (b *requestBody) Close() error { return nil }
