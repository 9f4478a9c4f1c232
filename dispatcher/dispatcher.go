// Package dispatcher sends one request to one target and relays its answer. It
// tells what is certain about the attempt: not sent, possibly running, ran or answered.
package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Errors of an attempt.
var (
	// ErrNotSent means that no byte of the request can have reached the target.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer means that the request may run or have run, but no answer came.
	ErrNoAnswer = errors.New("no answer from target")
	// ErrSilent means that the target sent nothing for longer than allowed.
	ErrSilent = errors.New("target silent for too long")
	// ErrMismatched means that the answer carried another request's id.
	ErrMismatched = errors.New("answer belongs to another request")
	// ErrTruncated means that the answer ended before its end marker or length.
	ErrTruncated = errors.New("answer truncated")
	// ErrTooLarge means that the answer is larger than MaxAnswerBytes.
	ErrTooLarge = errors.New("answer too large")
	// ErrCaller means that the answer could not be written to the caller.
	ErrCaller = errors.New("caller went away")
)

// MaxAnswerBytes is the largest answer that is not a stream.
const MaxAnswerBytes = 16 << 20

// Headers between instances and targets.
const (
	// RequestIDHeader carries the request id; targets echo it.
	RequestIDHeader = "X-Request-Id"
	// CallerKeyHeader carries the idempotency key. Another name than
	// Idempotency-Key, because net/http resends requests with that header by itself.
	CallerKeyHeader = "X-Caller-Idempotency"
	// PriorityHeader carries the class's priority, 0 to 9.
	PriorityHeader = "X-Priority"
	// ResumeHeader carries the number of output tokens that were relayed already.
	ResumeHeader = "X-Resume-Offset"
)

// State tells what is certain about an attempt.
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

// String returns the state's name on time lines.
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

// Request is what a target receives. Header must hold no access key.
type Request struct {
	ID             string
	Method         string
	Path           string
	Query          string
	Header         http.Header
	Body           []byte
	Idempotent     bool
	IdempotencyKey string
	Priority       int
	// Resume is the number of output tokens relayed by an earlier attempt.
	Resume int64
	// Silence bounds the time without a byte from the target.
	Silence timekeeper.Millis
}

// Usage is what the target reports as served.
type Usage struct {
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// Sink receives the answer. Begin is called once, before the first Write.
type Sink interface {
	// Begin receives status and header; stream tells whether events follow.
	Begin(status int, header http.Header, stream bool) error
	// Write receives a whole event of a stream, or the whole body.
	Write(data []byte) error
}

// Result is what is known after an attempt.
type Result struct {
	State  State
	Status int
	Usage  Usage
	Err    error
	// FirstToken is the time until the first event of a stream or the whole answer.
	FirstToken timekeeper.Millis
}

// Dispatcher holds the connections to targets. It is safe for concurrent use.
type Dispatcher struct {
	clock timekeeper.Clock
	// pooled serves idempotent requests, fresh gives each request its own connection.
	pooled *http.Transport
	fresh  *http.Transport
}

// New returns a dispatcher without connections.
func New(c timekeeper.Clock) *Dispatcher {
	dialer := &net.Dialer{Timeout: time.Second}
	base := http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
	pooled := base.Clone()
	fresh := base.Clone()
	// net/http resends by itself only on connections that were used before.
	fresh.DisableKeepAlives = true
	return &Dispatcher{clock: c, pooled: pooled, fresh: fresh}
}

// Close drops idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// Do runs one attempt at a target and relays the answer to the sink.
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
	silence    *time.Timer
	result     Result
}

func (a *attempt) run(ctx context.Context, target declarer.Target) Result {
	request, err := a.build(ctx, target)
	if err != nil {
		return Result{State: StateNotSent, Err: errors.Wrap(ErrNotSent, err.Error())}
	}
	a.silence = time.AfterFunc(a.request.Silence.Duration(), func() { a.cancel(ErrSilent) })
	defer a.silence.Stop()
	response, err := a.transport().RoundTrip(request)
	if err != nil {
		return a.failed(ctx, err)
	}
	// Cancelling before Close drops the connection of an answer that was not read to its end.
	defer response.Body.Close()
	a.result.State = StateRan
	a.result.Status = response.StatusCode
	if id := response.Header.Get(RequestIDHeader); id != a.request.ID {
		a.cancel(ErrMismatched)
		// An answer without a body has already given its connection back to the pool.
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
	return a.dispatcher.fresh
}

// failed classifies an error before an answer began.
func (a *attempt) failed(ctx context.Context, err error) Result {
	if cause := context.Cause(ctx); errors.Is(cause, ErrSilent) {
		err = ErrSilent
	}
	if !a.connected.Load() {
		return Result{State: StateNotSent, Err: errors.Wrap(ErrNotSent, err.Error())}
	}
	if errors.Is(err, ErrSilent) {
		return Result{State: StatePossiblyRunning, Err: err}
	}
	return Result{State: StatePossiblyRunning, Err: errors.Wrap(ErrNoAnswer, err.Error())}
}

func (a *attempt) build(ctx context.Context, target declarer.Target) (*http.Request, error) {
	url := target.URL + a.request.Path
	if a.request.Query != "" {
		url += "?" + a.request.Query
	}
	// From the moment a connection is given to the request, bytes may be on their way.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, a.request.Method, url, &body{data: a.request.Body})
	if err != nil {
		return nil, err
	}
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
	if a.request.Resume > 0 {
		request.Header.Set(ResumeHeader, formatInt(a.request.Resume))
	}
	return request, nil
}

// body is a request body of a type that net/http does not know, so that it sets
// no GetBody; being non-nil, it also keeps requests without content from being replayed.
type body struct {
	data []byte
	read int
}

func (b *body) Read(p []byte) (int, error) {
	if b.read >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:])
	b.read += n
	return n, nil
}

func (b *body) Close() error { return nil }
