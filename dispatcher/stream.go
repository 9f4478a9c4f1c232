package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/connector"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// eventBufferStep is by how much an event may exceed what was taken from the budget.
	eventBufferStep = 64 << 10
)

// endMarker is the data of the last event of a complete stream.
var endMarker = []byte("[DONE]")

// relay passes the answer to the sink and fills in the result.
func (a *attempt) relay(ctx context.Context, response *http.Response) {
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if mediaType == "text/event-stream" {
		a.relayStream(ctx, response)
		return
	}
	a.relayBody(ctx, response)
}

// relayBody reads the whole answer before it writes anything to the sink, so that a
// truncated answer never looks complete.
func (a *attempt) relayBody(ctx context.Context, response *http.Response) {
	response.Body = &idleTimerReader{ReadCloser: response.Body, attempt: a}
	data, err := a.dispatcher.answers.ReadBody(response, MaxAnswerBytes)
	if err != nil {
		a.result.Err = a.readError(ctx, err)
		return
	}
	a.result.TimeToFirstToken = a.dispatcher.clock.Now() - a.started
	a.result.Usage = parseUsage(data, a.result.Usage)
	if err := a.sink.Begin(response.StatusCode, response.Header, false); err != nil {
		a.result.Err = errors.Wrap(ErrCallerGone, err.Error())
		return
	}
	if err := a.sink.Write(data); err != nil {
		a.result.Err = errors.Wrap(ErrCallerGone, err.Error())
		return
	}
	a.result.State = StateAnswered
}

func (a *attempt) relayStream(ctx context.Context, response *http.Response) {
	if err := a.sink.Begin(response.StatusCode, response.Header, true); err != nil {
		a.result.Err = errors.Wrap(ErrCallerGone, err.Error())
		return
	}
	events := newEventReader(&idleTimerReader{ReadCloser: response.Body, attempt: a}, a.dispatcher.answers)
	defer events.release()
	for {
		event, err := events.next()
		if err != nil {
			a.result.Err = a.readError(ctx, err)
			return
		}
		if a.result.TimeToFirstToken == 0 {
			a.result.TimeToFirstToken = max(1, a.dispatcher.clock.Now()-a.started)
		}
		a.countUsage(event.data)
		last := bytes.Equal(event.data, endMarker)
		if last {
			a.result.State = StateAnswered
		}
		if err := a.sink.Write(event.raw); err != nil {
			a.result.State = StateRan
			a.result.Err = errors.Wrap(ErrCallerGone, err.Error())
			return
		}
		if last {
			return
		}
	}
}

func (a *attempt) readError(ctx context.Context, err error) error {
	if errors.Is(err, connector.ErrTooLarge) {
		a.cancel(ErrTooLarge)
		return errors.Wrap(ErrTooLarge, err.Error())
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errors.Wrap(ErrTruncated, err.Error())
}

// idleTimerReader resets the idle timer whenever it reads bytes.
type idleTimerReader struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (w *idleTimerReader) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if n > 0 {
		w.attempt.idleTimer.Reset(w.attempt.request.IdleTimeout.Duration())
	}
	return n, err
}

// countUsage adds an event to the usage: one output token for a delta with content. The
// engine's own figures replace the counts where it reports them.
func (a *attempt) countUsage(data []byte) {
	if bytes.Equal(data, endMarker) {
		return
	}
	if bytes.Contains(data, []byte(`"usage"`)) {
		a.result.Usage = parseUsage(data, a.result.Usage)
	}
	if IsToken(data) {
		a.result.Usage.OutputTokens++
	}
}

// IsToken reports whether an event of a stream carries an output token.
func IsToken(data []byte) bool { return bytes.Contains(data, []byte(`"content"`)) }

// engineUsage is the usage block of the chat completions format.
type engineUsage struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// parseUsage returns the usage that an answer or event reports, or previous if it
// reports none.
func parseUsage(data []byte, previous Usage) Usage {
	var parsed engineUsage
	if json.Unmarshal(data, &parsed) != nil || parsed.Usage == nil {
		return previous
	}
	return Usage{
		PromptTokens: parsed.Usage.PromptTokens,
		CachedTokens: parsed.Usage.Details.CachedTokens,
		OutputTokens: parsed.Usage.CompletionTokens,
	}
}

// event is one server-sent event: its raw bytes with the blank line, and its
// data. Both are valid until the next event is read.
type event struct {
	raw  []byte
	data []byte
}

// eventReader splits a stream into server-sent events. It reuses its buffers for every
// event, because a stream has one event for each token.
type eventReader struct {
	lines  *bufio.Reader
	raw    []byte
	data   []byte
	budget *connector.Budget
	taken  int // Bytes of raw from the budget.
}

// newEventReader returns a reader whose large events count against a budget.
func newEventReader(r io.Reader, b *connector.Budget) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 4096), budget: b}
}

// release returns to the budget what the reader has taken. No event may be used any more.
func (e *eventReader) release() { e.budget.Return(int64(e.taken)) }

// take takes the bytes of a large event from the budget.
func (e *eventReader) take() error {
	more := len(e.raw) - e.taken
	if more < eventBufferStep {
		return nil
	}
	if err := e.budget.Take(int64(more)); err != nil {
		return err
	}
	e.taken += more
	return nil
}

// next returns the next event, or io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	e.raw = e.raw[:0]
	for {
		line, err := e.lines.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if err := e.take(); err != nil {
			return event{}, err
		}
		if err == bufio.ErrBufferFull && len(e.raw) <= maxEventBytes {
			continue
		}
		if err != nil {
			return event{}, streamEndError(err, e.raw)
		}
		if len(e.raw) > maxEventBytes {
			return event{}, errors.Wrapf(connector.ErrTooLarge, "event exceeds %d bytes", maxEventBytes)
		}
		if !endsWithBlankLine(e.raw) {
			continue
		}
		if e.collectData() {
			return event{raw: e.raw, data: e.data}, nil
		}
		e.raw = e.raw[:0]
	}
}

// IsEnd reports whether an event that a sink received is the last one of a complete
// stream. An event whose text only contains the end marker is not.
func IsEnd(raw []byte) bool {
	e := eventReader{raw: raw}
	return e.collectData() && bytes.Equal(e.data, endMarker)
}

func streamEndError(err error, partial []byte) error {
	if err == io.EOF && len(partial) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// blankEnd reports whether the bytes end with a blank line.
func endsWithBlankLine(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) ||
		len(bytes.TrimRight(raw, "\r\n")) == 0
}

// collectData joins the data lines of the event by newlines; it reports whether there are any.
func (e *eventReader) collectData() bool {
	e.data = e.data[:0]
	found := false
	for rest := e.raw; len(rest) > 0; {
		line := rest
		if newline := bytes.IndexByte(rest, '\n'); newline >= 0 {
			line, rest = rest[:newline], rest[newline+1:]
		} else {
			rest = nil
		}
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("data:"))
		if !ok {
			continue
		}
		if found {
			e.data = append(e.data, '\n')
		}
		found = true
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return found
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
