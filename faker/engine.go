package faker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// EngineOptions set the speed of a fake engine.
type EngineOptions struct {
	Name string
	// PrefillPerSecond is in tokens per second over all requests: prompts are
	// computed one after the other, those of the highest priority first.
	PrefillPerSecond float64
	// DecodePerSecond is in tokens per second of each running request.
	DecodePerSecond float64
	// Slots is the number of requests that run at once; others wait.
	Slots int
	// OutputTokens is the length of an answer unless max_tokens is smaller.
	OutputTokens int
}

// Run is one request that reached a target.
type Run struct {
	Request        string            `json:"request"`
	Path           string            `json:"path"`
	Body           string            `json:"body"`
	IdempotencyKey string            `json:"idempotency-key"`
	Priority       string            `json:"priority"`
	Header         http.Header       `json:"header"`
	Arrived        timekeeper.Millis `json:"arrived"`
	Cancelled      bool              `json:"cancelled"`
}

// LoadReport is a target's report of its load.
type LoadReport struct {
	Name    string            `json:"name"`
	At      timekeeper.Millis `json:"at"`
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	Leaving bool              `json:"leaving"`
	Role    string            `json:"role"`
}

// Misbehaviour changes how a target answers one request; the zero value is normal.
type Misbehaviour struct {
	// WrongID answers with another request's id.
	WrongID bool
	// DropAfter closes the connection after that many output tokens, or before an answer at -1.
	DropAfter int
	// Stalled sends nothing after the first token, and holds the connection until the
	// caller closes it.
	Stalled bool
	// NoEndMarker ends a stream without its last event.
	NoEndMarker bool
}

// Engine is a stand-in for a model engine with a chat completions API.
type Engine struct {
	options EngineOptions
	clock   timekeeper.Clock
	slots   chan struct{}
	prefill gate

	mu      sync.Mutex
	runs    []*Run
	running int
	waiting int
	leaving bool
	role    string
	fault   func(Run) Misbehaviour
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions, c timekeeper.Clock) *Engine {
	o.PrefillPerSecond = orDefault(o.PrefillPerSecond, 20000)
	o.DecodePerSecond = orDefault(o.DecodePerSecond, 500)
	o.Slots = orDefault(o.Slots, 16)
	o.OutputTokens = orDefault(o.OutputTokens, 24)
	return &Engine{options: o, clock: c, slots: make(chan struct{}, o.Slots), role: "mixed"}
}

func orDefault[T int | float64](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// Handler serves chat completions, the load report and the recorded runs.
func (e *Engine) Handler() http.Handler {
	s := echo.New()
	s.HideBanner = true
	s.POST("/v1/chat/completions", e.chat)
	s.GET("/load", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Load()) })
	s.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Runs()) })
	s.POST("/leaving/:leaving", func(c echo.Context) error {
		e.SetLeaving(c.Param("leaving") == "true")
		return c.NoContent(http.StatusNoContent)
	})
	return s
}

// SetFault sets a function that chooses the fault of each later request; nil ends all faults.
func (e *Engine) SetFault(f func(Run) Misbehaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// SetLeaving makes the engine report that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Runs returns the requests that reached the engine, in order of arrival.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return copyRuns(e.runs)
}

func copyRuns(runs []*Run) []Run {
	list := make([]Run, 0, len(runs))
	for _, r := range runs {
		list = append(list, *r)
	}
	return list
}

// Load returns the current load.
func (e *Engine) Load() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LoadReport{
		Name: e.options.Name, At: e.clock.Now(), Running: e.running,
		Waiting: e.waiting, Leaving: e.leaving, Role: e.role,
	}
}

// chatRequest is the part of the chat completions format that the engine reads.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (r chatRequest) promptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Content)/4 + 1
	}
	return n
}

func (e *Engine) chat(c echo.Context) error {
	run, body, err := readRun(c, e.clock)
	if err != nil {
		return err
	}
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	fault := e.begin(run)
	defer e.end(c, run)
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-c.Request().Context().Done():
		return nil
	}
	e.startRunning()
	g := generation{engine: e, context: c, run: run, request: request, fault: fault}
	return g.answer()
}

func readRun(c echo.Context, clock timekeeper.Clock) (*Run, []byte, error) {
	var body strings.Builder
	if _, err := copyLimited(&body, c.Request().Body); err != nil {
		return nil, nil, err
	}
	header := c.Request().Header
	run := &Run{
		Request: header.Get("X-Request-Id"), Path: c.Request().URL.RequestURI(), Body: body.String(),
		IdempotencyKey: header.Get("X-Caller-Idempotency"), Priority: header.Get("X-Priority"),
		Header: header.Clone(), Arrived: clock.Now(),
	}
	return run, []byte(run.Body), nil
}

func (e *Engine) begin(run *Run) Misbehaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	e.waiting++
	if e.fault == nil {
		return Misbehaviour{}
	}
	return e.fault(*run)
}

// startRunning counts a waiting request as running.
func (e *Engine) startRunning() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
}

func (e *Engine) end(c echo.Context, run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running > 0 {
		e.running--
	} else {
		e.waiting--
	}
	run.Cancelled = c.Request().Context().Err() != nil
}

// generation is one answer in progress.
type generation struct {
	engine  *Engine
	context echo.Context
	run     *Run
	request chatRequest
	fault   Misbehaviour
}

func (g *generation) answer() error {
	id := g.run.Request
	if g.fault.WrongID {
		id = "crossed-" + id
	}
	g.context.Response().Header().Set("X-Request-Id", id)
	if g.fault.DropAfter < 0 {
		return drop(g.context)
	}
	if !g.prefill() {
		return nil
	}
	tokens := g.engine.options.OutputTokens
	if g.request.MaxTokens > 0 {
		tokens = min(tokens, g.request.MaxTokens)
	}
	if g.request.Stream {
		return g.stream(tokens)
	}
	if !g.wait(float64(tokens) / g.engine.options.DecodePerSecond) {
		return nil
	}
	return g.context.JSON(http.StatusOK, map[string]any{
		"id": g.run.Request, "object": "chat.completion", "model": g.request.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{
			"role": "assistant", "content": answerText(g.run.Request, 0, tokens)}}},
		"usage": g.usage(tokens),
	})
}

// prefill waits for the prefill of the prompt and reports whether the caller is still connected.
func (g *generation) prefill() bool {
	priority, _ := strconv.Atoi(g.run.Priority)
	if !g.engine.prefill.lock(g.context.Request().Context(), priority) {
		return false
	}
	defer g.engine.prefill.unlock()
	return g.wait(float64(g.request.promptTokens()) / g.engine.options.PrefillPerSecond)
}

func (g *generation) usage(tokens int) map[string]any {
	prompt := g.request.promptTokens()
	return map[string]any{
		"prompt_tokens": prompt, "completion_tokens": tokens, "total_tokens": prompt + tokens,
		"prompt_tokens_details": map[string]int{"cached_tokens": 0},
	}
}

// answerText returns the text of a range of tokens. It contains the request id, so
// that tests detect an answer to another request.
func answerText(request string, from, to int) string {
	var b strings.Builder
	for n := from; n < to; n++ {
		fmt.Fprintf(&b, "%s/%d ", request, n)
	}
	return b.String()
}

func (g *generation) stream(tokens int) error {
	w := g.context.Response()
	w.Header().Set(echo.HeaderContentType, "text/event-stream")
	w.WriteHeader(http.StatusOK)
	offset, _ := strconv.Atoi(g.context.Request().Header.Get("X-Resume-Offset"))
	for n := offset; n < tokens; n++ {
		if g.fault.DropAfter > 0 && n >= g.fault.DropAfter {
			return drop(g.context)
		}
		if !g.wait(1 / g.engine.options.DecodePerSecond) {
			return nil
		}
		g.event(n, map[string]any{
			"id": g.run.Request, "object": "chat.completion.chunk", "model": g.request.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": answerText(g.run.Request, n, n+1)}}},
		})
		if g.fault.Stalled {
			<-g.context.Request().Context().Done()
			return nil
		}
	}
	if g.fault.NoEndMarker {
		return nil
	}
	g.event(tokens, map[string]any{
		"id": g.run.Request, "object": "chat.completion.chunk", "model": g.request.Model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}},
		"usage":   g.usage(tokens),
	})
	fmt.Fprint(w, "data: [DONE]\n\n")
	w.Flush()
	return nil
}

func (g *generation) event(n int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintf(g.context.Response(), "id: %d\ndata: %s\n\n", n, data)
	g.context.Response().Flush()
}

// wait sleeps and reports whether the caller is still connected.
func (g *generation) wait(seconds float64) bool {
	select {
	case <-g.context.Request().Context().Done():
		return false
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return true
	}
}

// drop closes the connection without an answer.
func drop(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}
