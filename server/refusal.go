package server

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Ran tells whether a refused request ran at a target.
type Ran string

// Values of Ran. NotRun is used only when it is certain that no target ran the request.
const (
	NotRun  Ran = "not-run"
	DidRun  Ran = "ran"
	Unknown Ran = "unknown"
)

// Code is the reason for a refusal; docs/errors.md lists all codes.
type Code string

// Codes of refusals.
const (
	CodeBadRequest      Code = "bad-request"
	CodeBodyTooLarge    Code = "body-too-large"
	CodeRouteUnknown    Code = "route-unknown"
	CodeCallUndeclared  Code = "call-undeclared"
	CodeKeyMissing      Code = "key-missing"
	CodeKeyInvalid      Code = "key-invalid"
	CodeRouteNotGranted Code = "route-not-granted"
	CodeOverLimit       Code = "over-limit"
	CodeDeadline        Code = "deadline"
	CodeQueueFull       Code = "queue-full"
	CodeNoTarget        Code = "no-target"
	CodeTargetFailed    Code = "target-failed"
	CodeAnswerBroken    Code = "answer-broken"
	CodeInProgress      Code = "in-progress"
	CodeKeyReused       Code = "key-reused"
	CodeOutcomeUnknown  Code = "outcome-unknown"
	CodeClaimFailed     Code = "claim-failed"
	CodeQuarantined     Code = "quarantined"
	CodeIsolated        Code = "isolated"
	CodeNotReady        Code = "not-ready"
	CodeLeaving         Code = "leaving"
)

// codeEntry holds the HTTP status of a code and its texts in docs/errors.md.
type codeEntry struct {
	status  int
	meaning string
	action  string
}

var codes = map[Code]codeEntry{
	CodeBadRequest:      {http.StatusBadRequest, "The request is not well formed; `field` names the part.", "Correct the request."},
	CodeBodyTooLarge:    {http.StatusRequestEntityTooLarge, "The body exceeds the instance's body-bytes.", "Send a smaller body."},
	CodeRouteUnknown:    {http.StatusNotFound, "No route serves the model or path.", "Correct the model or path."},
	CodeCallUndeclared:  {http.StatusNotFound, "The route declares no such method and path.", "Correct the call."},
	CodeKeyMissing:      {http.StatusUnauthorized, "The route needs a key and none came.", "Send the key."},
	CodeKeyInvalid:      {http.StatusUnauthorized, "The key is unknown or withdrawn.", "Ask the operator for a key."},
	CodeRouteNotGranted: {http.StatusForbidden, "The contract does not grant the route.", "Ask the operator."},
	CodeOverLimit:       {http.StatusTooManyRequests, "A limit of the contract is used up.", "Try again after the time given."},
	CodeDeadline:        {http.StatusServiceUnavailable, "The deadline of the class cannot be met or has passed.", "Try again after the time given."},
	CodeQueueFull:       {http.StatusServiceUnavailable, "The instance holds as many requests as it may.", "Try again after the time given."},
	CodeNoTarget:        {http.StatusServiceUnavailable, "No target serves the route now.", "Try again after the time given."},
	CodeTargetFailed:    {http.StatusBadGateway, "The targets tried gave no answer.", "See `ran`; repeat a call that may not run twice only with its idempotency key."},
	CodeAnswerBroken:    {http.StatusBadGateway, "The answer ended before it was whole; in a stream it comes as an `error` event and the transfer is cut.", "Discard the part received."},
	CodeInProgress:      {http.StatusConflict, "The first request with the idempotency key still runs.", "Try again with the same key after the time given."},
	CodeKeyReused:       {http.StatusUnprocessableEntity, "The idempotency key was used with another request.", "Use a new idempotency key."},
	CodeOutcomeUnknown:  {http.StatusConflict, "A request with the idempotency key may have run, and its answer is not known.", "Look the result up at the service; do not repeat it under a new key before."},
	CodeClaimFailed:     {http.StatusServiceUnavailable, "The idempotency key could not be claimed.", "Try again with the same key after the time given."},
	CodeQuarantined:     {http.StatusUnprocessableEntity, "Requests like this one crashed targets.", "Do not send it again unchanged."},
	CodeIsolated:        {http.StatusServiceUnavailable, "The instance hears no other and cannot know whether the key still works.", "Try again; the balancer leads elsewhere."},
	CodeNotReady:        {http.StatusServiceUnavailable, "The instance has no configuration yet.", "Try again after the time given."},
	CodeLeaving:         {http.StatusServiceUnavailable, "The instance is shutting down and may end before the answer.", "Try again; the balancer leads elsewhere."},
}

// Refusal is the error response to every request that gets no complete answer.
type Refusal struct {
	Code       Code              `json:"code"`
	Message    string            `json:"message"`
	Ran        Ran               `json:"ran"`
	RetryAfter timekeeper.Millis `json:"retry-after-milliseconds,omitempty"`
	Request    string            `json:"request,omitempty"`
	Field      string            `json:"field,omitempty"`
}

// Refuse returns a refusal of a request that did not run at any target.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Ran: NotRun}
}

// RefuseLeaving returns a refusal of a request because the instance is shutting down.
func RefuseLeaving() *Refusal { return Refuse(CodeLeaving, "%v", ErrAborted) }

// WithRan returns the refusal with another value of Ran.
func (r Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return &r
}

// WithRetryAfter returns the refusal with the time after which to try again.
func (r Refusal) WithRetryAfter(after timekeeper.Millis) *Refusal {
	r.RetryAfter = after
	return &r
}

// WithField returns the refusal with the name of the faulty field.
func (r Refusal) WithField(field string) *Refusal {
	r.Field = field
	return &r
}

// WithRequest returns the refusal with the request's id.
func (r Refusal) WithRequest(id string) *Refusal {
	r.Request = id
	return &r
}

// Error describes the refusal for logs.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (%s): %s", r.Code, r.Ran, r.Message) }

type refusalBody struct {
	Error *Refusal `json:"error"`
}

// write sends the refusal to the caller.
func (r *Refusal) write(c echo.Context) error {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + timekeeper.Second - 1) / timekeeper.Second
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	status := http.StatusInternalServerError
	if entry, ok := codes[r.Code]; ok {
		status = entry.status
	}
	return c.JSON(status, refusalBody{Error: r})
}

// Document renders docs/errors.md from the codes.
func Document() string {
	names := make([]string, 0, len(codes))
	for code := range codes {
		names = append(names, string(code))
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteString(documentHead)
	for _, name := range names {
		entry := codes[Code(name)]
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s |\n", name, entry.status, entry.meaning, entry.action)
	}
	return b.String()
}

const documentHead = `# Errors

A caller that gets no whole answer gets this form, as the body or, within a stream, as the data of an event named ` + "`error`" + `:

` + "```" + `
{"error": {"code": "over-limit", "message": "...", "ran": "not-run", "retry-after-milliseconds": 250, "request": "..."}}
` + "```" + `

- ` + "`ran`" + ` is ` + "`not-run`" + ` only when it is certain that no target ran the request, ` + "`ran`" + ` when a target began to answer it, and ` + "`unknown`" + ` otherwise.
- ` + "`retry-after-milliseconds`" + ` is in milliseconds; the header ` + "`Retry-After`" + ` repeats it in whole seconds, rounded up.
- ` + "`field`" + `, where present, names the faulty field, header or parameter.
- ` + "`request`" + ` is the request id, also in the header ` + "`X-Request-Id`" + `; an operator finds the request by it on the time line.

The page is generated from package server; a test keeps both equal.

| code | status | meaning | what to do |
| --- | --- | --- | --- |
`
