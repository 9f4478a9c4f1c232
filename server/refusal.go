package server

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Ran tells whether a refused request ran at a target.
type Ran string

// Values of Ran. NotRun is said only when it is certain.
const (
	NotRun  Ran = "not-run"
	DidRun  Ran = "ran"
	Unknown Ran = "unknown"
)

// Code names the reason of a refusal; docs/errors.md lists all.
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
)

var statuses = map[Code]int{
	CodeBadRequest:      http.StatusBadRequest,
	CodeBodyTooLarge:    http.StatusRequestEntityTooLarge,
	CodeRouteUnknown:    http.StatusNotFound,
	CodeCallUndeclared:  http.StatusNotFound,
	CodeKeyMissing:      http.StatusUnauthorized,
	CodeKeyInvalid:      http.StatusUnauthorized,
	CodeRouteNotGranted: http.StatusForbidden,
	CodeOverLimit:       http.StatusTooManyRequests,
	CodeDeadline:        http.StatusServiceUnavailable,
	CodeQueueFull:       http.StatusServiceUnavailable,
	CodeNoTarget:        http.StatusServiceUnavailable,
	CodeTargetFailed:    http.StatusBadGateway,
	CodeAnswerBroken:    http.StatusBadGateway,
	CodeInProgress:      http.StatusConflict,
	CodeKeyReused:       http.StatusUnprocessableEntity,
	CodeOutcomeUnknown:  http.StatusConflict,
	CodeClaimFailed:     http.StatusServiceUnavailable,
	CodeQuarantined:     http.StatusUnprocessableEntity,
	CodeIsolated:        http.StatusServiceUnavailable,
	CodeNotReady:        http.StatusServiceUnavailable,
}

// Refusal is the one form in which callers see that they get no answer.
type Refusal struct {
	Code       Code              `json:"code"`
	Message    string            `json:"message"`
	Ran        Ran               `json:"ran"`
	RetryAfter timekeeper.Millis `json:"retry-after-milliseconds,omitempty"`
	Request    string            `json:"request,omitempty"`
	Field      string            `json:"field,omitempty"`
}

// Refuse returns a refusal of a request that certainly did not run.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Ran: NotRun}
}

// WithRan returns the refusal with another statement on whether the request ran.
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
	status, ok := statuses[r.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	return c.JSON(status, refusalBody{Error: r})
}
