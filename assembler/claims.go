package assembler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/gypsumwharf/gypsumwharf/claimer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// storedAnswer is the answer of a claimed request, kept for repeats of its key.
type storedAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// replay writes the stored answer to a caller that repeats a key.
func (s *storedAnswer) replay(sink dispatcher.Sink) *server.Refusal {
	if err := sink.Begin(s.Status, s.Header, false); err != nil {
		return server.Refuse(server.CodeAnswerBroken, "%v", err).WithRan(server.DidRun)
	}
	if err := sink.Write(s.Body); err != nil {
		return server.Refuse(server.CodeAnswerBroken, "%v", err).WithRan(server.DidRun)
	}
	return nil
}

// recordingSink holds an answer back until its claim is settled.
type recordingSink struct {
	next   dispatcher.Sink
	stored *storedAnswer
}

// Begin implements dispatcher.Sink.
func (r *recordingSink) Begin(status int, header http.Header, _ bool) error {
	r.stored = &storedAnswer{Status: status, Header: header.Clone()}
	return nil
}

// Write implements dispatcher.Sink.
func (r *recordingSink) Write(data []byte) error {
	r.stored.Body = append(r.stored.Body, data...)
	return nil
}

func (r *recordingSink) answer() *storedAnswer { return r.stored }

func (r *recordingSink) flush() *server.Refusal { return r.stored.replay(r.next) }

// claims asks the owners of idempotency keys.
type claims struct{ instance *Instance }

func newClaims(i *Instance) *claims { return &claims{instance: i} }

// claim obtains the one run of a key, or returns the stored answer or the reason
// why the request may not run.
func (c *claims) claim(ctx context.Context, r request) (claimer.Grant, *storedAnswer, *server.Refusal) {
	digest := sha256.Sum256(append([]byte(r.Method+" "+r.Path+"?"+r.Query+"\n"), r.Body...))
	o := c.instance.membership.claimer.Claim(ctx, r.workspace.Name, r.IdempotencyKey, hex.EncodeToString(digest[:]), r.deadline)
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

// refuseClaim tells the caller why a key was not granted.
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
			err = cl.Answered(ctx, g, data)
		}
	default:
		err = cl.Unknown(ctx, g)
	}
	if err != nil {
		// The claim becomes unknown at its deadline: a repeat does not run again.
		c.instance.recorder.Record(recorder.Event{Code: recorder.ClaimUnsettled, Request: r.ID, Workspace: r.workspace.Name, Cause: err.Error()})
	}
}
