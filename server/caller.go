package server

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/connector"
)

// bytesPerToken estimates prompt tokens before an engine has counted them.
const bytesPerToken = 4

// maxIdempotencyKeyBytes is the longest Idempotency-Key header that is accepted.
const maxIdempotencyKeyBytes = 255

// strippedHeaders concern a single connection, or are set separately for each target.
var strippedHeaders = []string{
	"Connection", "Cookie", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Idempotency-Key", "X-Idempotency-Key",
	"X-Request-Id", "X-Caller-Idempotency", "X-Priority", "X-Resume-Offset", "Content-Length", "Accept-Encoding",
}

// endToEndHeaders returns a copy of the header without strippedHeaders.
func endToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range strippedHeaders {
		kept.Del(name)
	}
	return kept
}

// chatBody holds the fields of a chat completions request that the system uses.
type chatBody struct {
	Model               string       `json:"model"`
	Stream              bool         `json:"stream"`
	MaxTokens           *int64       `json:"max_tokens"`
	MaxCompletionTokens *int64       `json:"max_completion_tokens"`
	Messages            chatMessages `json:"messages"`
}

// chat serves model routes, in the chat completions format.
func (s *Server) chat(c echo.Context) error {
	call, refusal := s.parseCall(c)
	if refusal != nil {
		return refusal.write(c)
	}
	if refusal := reservePrompt(c, call.Body); refusal != nil {
		return refusal.WithRequest(call.ID).write(c)
	}
	body, refusal := parseChat(call.Body)
	if refusal != nil {
		return refusal.WithRequest(call.ID).write(c)
	}
	route, ok := s.backend.Catalogue().ModelRoute(body.Model)
	if !ok {
		return Refuse(CodeRouteUnknown, "no model route serves %q", body.Model).WithField("model").WithRequest(call.ID).write(c)
	}
	call.Route = route
	call.Idempotent = true
	call.Stream = body.Stream
	call.Prompt = body.Messages.prompt
	call.PromptTokens = int64(len(call.Prompt)/bytesPerToken + 1)
	call.MaxTokens = body.maxTokens()
	return s.serve(c, call)
}

func parseChat(data []byte) (chatBody, *Refusal) {
	var body chatBody
	if err := json.Unmarshal(data, &body); err != nil {
		refusal := Refuse(CodeBadRequest, "body is not a chat completions request: %v", err)
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return body, refusal.WithField(typeError.Field)
		}
		return body, refusal
	}
	switch {
	case body.Model == "":
		return body, Refuse(CodeBadRequest, "model is missing").WithField("model")
	case body.Messages.count == 0:
		return body, Refuse(CodeBadRequest, "messages is empty").WithField("messages")
	case body.MaxTokens != nil && *body.MaxTokens <= 0:
		return body, Refuse(CodeBadRequest, "max_tokens must be positive").WithField("max_tokens")
	case body.MaxCompletionTokens != nil && *body.MaxCompletionTokens <= 0:
		return body, Refuse(CodeBadRequest, "max_completion_tokens must be positive").WithField("max_completion_tokens")
	}
	return body, nil
}

// maxTokens returns the caller's limit on output tokens, or 0 if there is none.
func (b chatBody) maxTokens() int64 {
	for _, bound := range []*int64{b.MaxCompletionTokens, b.MaxTokens} {
		if bound != nil {
			return *bound
		}
	}
	return 0
}

// service serves plain service routes by path.
func (s *Server) service(c echo.Context) error {
	call, refusal := s.parseCall(c)
	if refusal != nil {
		return refusal.write(c)
	}
	route, declared, ok := s.backend.Catalogue().ServiceRoute(call.Method, call.Path)
	if route.Name == "" {
		return Refuse(CodeRouteUnknown, "no route serves path %q", call.Path).WithField("path").WithRequest(call.ID).write(c)
	}
	if !ok {
		return Refuse(CodeCallUndeclared, "route %q declares no call %s %s", route.Name, call.Method, call.Path).
			WithField("path").WithRequest(call.ID).write(c)
	}
	if _, err := connector.RequestURL("http", "", route.EncodedSubpath(call.Path, call.EncodedPath)); err != nil {
		return Refuse(CodeBadRequest, "%v", err).WithField("path").WithRequest(call.ID).write(c)
	}
	call.Route = route
	call.Idempotent = declared.Idempotent
	return s.serve(c, call)
}

// parseCall parses the parts of a request that are the same for all routes.
func (s *Server) parseCall(c echo.Context) (Call, *Refusal) {
	r := c.Request()
	header, query := authenticator.Strip(r.Header, r.URL.RawQuery)
	call := Call{
		ID: s.backend.NextID(), AccessKeys: authenticator.Keys(r.Header, r.URL.RawQuery), Method: r.Method, Path: r.URL.Path, EncodedPath: encodedPath(r),
		Query: query, Header: endToEndHeaders(header), IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	c.Response().Header().Set("X-Request-Id", call.ID)
	if len(call.IdempotencyKey) > maxIdempotencyKeyBytes {
		return call, Refuse(CodeBadRequest, "Idempotency-Key exceeds %d bytes", maxIdempotencyKeyBytes).
			WithField("Idempotency-Key").WithRequest(call.ID)
	}
	body, refusal := s.readBody(c)
	if refusal != nil {
		return call, refusal.WithRequest(call.ID)
	}
	call.Body = body
	return call, nil
}

// encodedPath returns the path of a request as its caller sent it.
func encodedPath(r *http.Request) string {
	if path, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return r.URL.EscapedPath() // The request line has an absolute URL.
}

func (s *Server) serve(c echo.Context, call Call) error {
	sink := &responseSink{context: c}
	refusal := s.backend.Serve(c.Request().Context(), call, sink)
	if refusal == nil {
		return nil
	}
	refusal = refusal.WithRequest(call.ID)
	if !sink.begun {
		return refusal.write(c)
	}
	return sink.abort(refusal)
}

// models lists the model routes that the caller's key may call.
func (s *Server) models(c echo.Context) error {
	names, refusal := s.backend.Granted(authenticator.Keys(c.Request().Header, c.Request().URL.RawQuery))
	if refusal != nil {
		return refusal.write(c)
	}
	list := make([]map[string]string, 0, len(names))
	for _, name := range names {
		list = append(list, map[string]string{"id": name, "object": "model"})
	}
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": list})
}

// responseSink writes an answer to the caller; it implements dispatcher.Sink.
type responseSink struct {
	context echo.Context
	begun   bool
	stream  bool
}

// Begin implements dispatcher.Sink. A second call, for a resumed stream, does nothing.
func (r *responseSink) Begin(status int, header http.Header, stream bool) error {
	if r.begun {
		return nil
	}
	r.begun, r.stream = true, stream
	out := r.context.Response().Header()
	for name, values := range endToEndHeaders(header) {
		if !strings.EqualFold(name, "Content-Length") {
			out[name] = values
		}
	}
	r.context.Response().WriteHeader(status)
	return nil
}

// Write implements dispatcher.Sink.
func (r *responseSink) Write(data []byte) error {
	if _, err := r.context.Response().Write(data); err != nil {
		return err
	}
	if r.stream {
		r.context.Response().Flush()
	}
	return nil
}

// abort ends an answer that has begun so that the caller cannot take it for
// complete: a stream gets an error event, and the connection is closed before the
// end of the transfer.
func (r *responseSink) abort(refusal *Refusal) error {
	if r.stream {
		if data, err := json.Marshal(refusalBody{Error: refusal}); err == nil {
			_ = r.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
		}
	}
	panic(http.ErrAbortHandler)
}
