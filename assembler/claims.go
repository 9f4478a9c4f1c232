package assembler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gypsumwharf/gypsumwharf/claimer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// storedAnswer is the answer of a claimed request, stored for retries with its key.
type storedAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// replay writes the stored answer to a caller that retries with the same key.
func (s *storedAnswer) replay(sink dispatcher.Sink) *server.Refusal {
	if err := sink.Begin(s.Status, s.Header, false); err != nil {
		return server.Refuse(server.CodeAnswerBroken, "%v", err).WithRan(server.DidRun)
	}
	if err := sink.Write(s.Body); err != nil {
		return server.Refuse(server.CodeAnswerBroken, "%v", err).WithRan(server.DidRun)
	}
	return nil
}

// bufferingSink buffers an answer until its claim is settled.
type bufferingSink struct {
	next   dispatcher.Sink
	stored *storedAnswer
}

// Begin implements dispatcher.Sink.
func (b *bufferingSink) Begin(status int, header http.Header, _ bool) error {
	b.stored = &storedAnswer{Status: status, Header: header.Clone()}
	return nil
}

// Write implements dispatcher.Sink.
func (b *bufferingSink) Write(data []byte) error {
	b.stored.Body = append(b.stored.Body, data...)
	return nil
}

func (b *bufferingSink) answer() *storedAnswer { return b.stored }

func (b *bufferingSink) flush() *server.Refusal { return b.stored.replay(b.next) }

// claims sends requests to the owners of idempotency keys.
type claims struct{ instance *Instance }

func newClaims(i *Instance) *claims { return &claims{instance: i} }

// claim obtains the right to run the request of a key, or returns the stored answer
// or the reason why the request must not run.
func (c *claims) claim(ctx context.Context, r request) (claimer.Grant, *storedAnswer, *server.Refusal) {
	digest := sha256.New()
	_, _ = io.WriteString(digest, r.Method+" "+r.EncodedPath+"?"+r.Query+"\n") // Never fails.
	_, _ = digest.Write(r.Body)
	o := c.instance.membership.claimer.Claim(ctx, r.workspace.Name, r.IdempotencyKey, hex.EncodeToString(digest.Sum(nil)), r.deadline)
	switch o.State {
	case claimer.StateGranted:
		return o.Grant, nil, nil
	case claimer.StateAnswered:
		var stored storedAnswer
		if err := json.Unmarshal(o.Answer, &stored); err != nil || stored.Status < http.StatusOK {
			return o.Grant, nil, server.Refuse(server.CodeOutcomeUnknown, "the stored answer cannot be read").WithRan(server.DidRun)
		}
		return o.Grant, &stored, nil
	default:
		return o.Grant, nil, refuseClaim(o)
	}
}

// refuseClaim returns the caller's error for a claim that was not granted.
func refuseClaim(o claimer.Outcome) *server.Refusal {
	switch {
	case o.State == claimer.StateKeyReused:
		return server.Refuse(server.CodeKeyReused, "the idempotency key was used with another request").WithField("Idempotency-Key")
	case o.State == claimer.StateInProgress:
		return server.Refuse(server.CodeInProgress, "the first request with this idempotency key is in progress").
			WithRan(server.Unknown).WithRetryAfter(timekeeper.Second)
	case o.State == claimer.StateRefused:
		return server.Refuse(server.CodeClaimFailed, "%s", o.Reason).WithRetryAfter(timekeeper.Second)
	case o.Reason != "":
		return server.Refuse(server.CodeClaimFailed, "%s", o.Reason).WithRan(server.Unknown).WithRetryAfter(timekeeper.Second)
	default:
		return server.Refuse(server.CodeOutcomeUnknown, "the outcome of the first request with this idempotency key is unknown").WithRan(server.Unknown)
	}
}

// settle records the outcome of a claimed request; a request that was not sent releases its key.
func (c *claims) settle(ctx context.Context, r request, g claimer.Grant, result dispatcher.Result, answer *storedAnswer) {
	cl := c.instance.membership.claimer
	var err error
	switch result.State {
	case dispatcher.StateNotSent:
		err = cl.Release(ctx, g)
	case dispatcher.StateAnswered:
		var data []byte
		if data, err = json.Marshal(answer); err == nil {
			err = cl.SettleAnswered(ctx, g, data)
		}
	default:
		err = cl.SettleUnknown(ctx, g)
	}
	if err != nil {
		// The claim's outcome becomes unknown at its deadline, so a retry does not run.
		c.instance.recorder.Record(recorder.Event{Code: recorder.ClaimUnsettled, Request: r.ID, Workspace: r.workspace.Name, Cause: err.Error()})
	}
}
