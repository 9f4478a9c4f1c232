package relayer

import (
	"context"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Message is a request in its transport's representation; the relayer only passes it on.
type Message any

// Request is a caller's request.
type Request struct {
	ID          string
	Host        string
	Path        string
	Key         string
	Timeout     timekeeper.Millis // How long the caller waits from Arrived; 0 if unknown.
	Arrived     timekeeper.Reading
	Prompt      placer.Prompt
	Digest      string // Hash of what the request asks for; the same whenever it is sent again.
	LastEventID string // ID of the last event that the caller already received.
	Message     Message
}

// Reason says why a request was refused or failed.
type Reason string

// Reasons.
const (
	ReasonUnready      Reason = "unready"       // No configuration is known.
	ReasonStale        Reason = "stale"         // The configuration was not confirmed recently enough to trust a key.
	ReasonRoute        Reason = "route"         // No route matches.
	ReasonKey          Reason = "key"           // The key is unknown.
	ReasonNoTarget     Reason = "no-target"     // No target can take the request.
	ReasonUnreachable  Reason = "unreachable"   // All targets are in data centres that this instance can't reach.
	ReasonPaused       Reason = "paused"        // The targets asked for a pause.
	ReasonOverloaded   Reason = "overloaded"    // The queue is too long to answer in time.
	ReasonRejected     Reason = "rejected"      // Every target that was tried refused to run the request.
	ReasonFailed       Reason = "failed"        // A target may have run the request but gave no complete answer.
	ReasonQuarantined  Reason = "quarantined"   // The prompt holds parts that crash targets.
	ReasonDeadline     Reason = "deadline"      // The deadline of the request passed.
	ReasonLeaving      Reason = "leaving"       // The instance is shutting down.
	ReasonNoConnection Reason = "no-connection" // The instance cannot open a connection to any target.
	ReasonBodyMemory   Reason = "memory-full"   // Request bodies fill the memory reserved for them.
	ReasonEvicted      Reason = "evicted"       // The body arrived too slowly while memory or descriptors were used up.
	ReasonTooSlow      Reason = "too-slow"      // The body arrives too slowly.
	ReasonMalformed    Reason = "malformed"     // The request can't be parsed or has no ID.
	ReasonOverQuota    Reason = "over-quota"    // The workspace has used up its quota.
	ReasonQuotaUnknown Reason = "quota-unknown" // No instance answered what the workspace may use.
	ReasonTooLarge     Reason = "too-large"     // The body is over the limit.
)

// Refusal is a final answer that the relayer gives instead of a target.
type Refusal struct {
	Reason     Reason
	NotRun     bool // The request did not run and will not.
	RetryAfter timekeeper.Millis
}

// Caller is the connection to the caller. After Begin, data is sent with Write
// until End or Abort.
type Caller interface {
	Refuse(r Refusal)
	Begin(a Answer) error
	Write(data []byte) error
	End()
	// Abort ends an answer so that the caller can tell that it is incomplete.
	Abort()
}

// KVCache refers to the KV cache of a prompt after prefill.
type KVCache struct {
	Target     string // The engine that prefilled the prompt.
	Address    string
	Handle     string
	DataCentre string
}

// Attempt is one attempt to have a target serve a request.
type Attempt struct {
	Request     Request
	Target      tracker.Target
	Workspace   string
	Timeout     timekeeper.Millis
	KVCache     *KVCache // Set if the prompt was prefilled on another engine.
	LastEventID string   // Resume the stream after the event with this ID.
	AtMostOnce  bool     // The request must not run more than once.
	Repeated    bool     // The target's address was sent this request before.
	LowPriority bool     // The target serves requests of normal priority first.
	MarkSent    func()   // Called when the target may have received the request; may be nil.
	// Urgency orders the prefills at a target. It is empty for decodes: one that another
	// displaces pauses its stream, and its prompt is prefilled again.
	Urgency resolver.Urgency

	sentAt      timekeeper.Reading
	unproven    bool    // Its target may have been silent before it was sent.
	utilization float64 // Utilization of the decode target with this request.
}

// Failure describes why an attempt gave no answer.
type Failure struct {
	Outcome tracker.Outcome
	State   retrier.State
	Cause   error
	Report  tracker.Report // What the target said with a refusal.
}

// Event is one complete event of a stream.
type Event struct {
	ID  string
	Raw []byte
}

// Answer is a target's answer whose head was received. It must be closed.
type Answer interface {
	Succeeded() bool // The status is a success.
	Failed() bool    // The target failed; another one might succeed.
	Streamed() bool
	// Report returns what the target said with the head; empty if the answer may be
	// another target's.
	Report() tracker.Report
	// ReadAll returns the whole body.
	ReadAll() ([]byte, *Failure)
	// NextEvent returns the next event of a stream, or nil after the last one.
	NextEvent() (*Event, *Failure)
	Close()
}

// ProbeResult is how a target answered a new connection.
type ProbeResult int

// Results of probes.
const (
	ProbeFailed     ProbeResult = iota // It says nothing about the target.
	ProbeAccepted                      // The target's machine is up and can be reached.
	ProbeRefused                       // The target's process has ended.
	ProbeUnanswered                    // Nothing came back in time.
)

// Sender sends attempts to targets.
type Sender interface {
	Send(ctx context.Context, a Attempt) (Answer, *Failure)
	// Prefill has the target prefill the prompt and returns a handle to its KV cache.
	Prefill(ctx context.Context, a Attempt) (KVCache, tracker.Report, *Failure)
	// Probe opens a connection to the target on which nothing is sent.
	Probe(ctx context.Context, target tracker.Target) ProbeResult
	// Free releases a KV cache that won't be used.
	Free(a Attempt, m KVCache)
}

// Counter counts started requests for billing.
type Counter interface {
	Count(workspace string, at timekeeper.Millis)
}
