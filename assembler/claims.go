package assembler

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// storedAnswer is the answer of a claimed request, kept for repeats of its key.
type storedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// replay writes the stored answer to a caller that repeats a key.
func (s *storedAnswer) replay(sink dispatcher.Sink) *server.Refusal {
	if err := sink.Begin(s.status, s.header, false); err != nil {
		return server.Refuse(server.CodeAnswerBroken, "%v", err).WithRan(server.DidRun)
	}
	if err := sink.Write(s.body); err != nil {
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
	r.stored = &storedAnswer{status: status, header: header.Clone()}
	return nil
}

// Write implements dispatcher.Sink.
func (r *recordingSink) Write(data []byte) error {
	r.stored.body = append(r.stored.body, data...)
	return nil
}

func (r *recordingSink) answer() *storedAnswer { return r.stored }

func (r *recordingSink) flush() *server.Refusal { return r.stored.replay(r.next) }

// claimID is a workspace's idempotency key.
type claimID struct{ workspace, key string }

// claimEntry is what is known of a claimed key.
type claimEntry struct {
	digest  [sha256.Size]byte
	settled bool
	answer  *storedAnswer
}

// claims remembers idempotency keys at this instance.
type claims struct {
	instance *Instance
	mu       sync.Mutex
	entries  map[claimID]*claimEntry
}

func newClaims(i *Instance) *claims {
	return &claims{instance: i, entries: map[claimID]*claimEntry{}}
}

// claim records a key, or returns the stored answer or the reason why the request may not run.
func (c *claims) claim(_ context.Context, r request) (*storedAnswer, *server.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := claimID{r.workspace.Name, r.IdempotencyKey}
	digest := sha256.Sum256(append([]byte(r.Method+" "+r.Path+"?"+r.Query+"\n"), r.Body...))
	entry, ok := c.entries[id]
	switch {
	case !ok:
		c.entries[id] = &claimEntry{digest: digest}
		return nil, nil
	case entry.digest != digest:
		return nil, server.Refuse(server.CodeKeyReused, "the idempotency key was used with another request").WithField("Idempotency-Key")
	case !entry.settled:
		return nil, server.Refuse(server.CodeInProgress, "the first request with this idempotency key is in progress").
			WithRan(server.Unknown).WithRetryAfter(timekeeper.Second)
	case entry.answer != nil:
		return entry.answer, nil
	default:
		return nil, server.Refuse(server.CodeOutcomeUnknown, "the outcome of the first request with this idempotency key is unknown").WithRan(server.Unknown)
	}
}

// settle records the outcome of a claimed request; a request that was not sent releases its key.
func (c *claims) settle(_ context.Context, r request, result dispatcher.Result, answer *storedAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := claimID{r.workspace.Name, r.IdempotencyKey}
	if result.State == dispatcher.StateNotSent {
		delete(c.entries, id)
		return
	}
	entry := c.entries[id]
	entry.settled = true
	if result.State == dispatcher.StateAnswered {
		entry.answer = answer
	}
}
