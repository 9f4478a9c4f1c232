package relayer

import (
	"context"

	"github.com/gypsumwharf/gypsumwharf/placer"
	"github.com/gypsumwharf/gypsumwharf/retrier"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Message is a request in the form of its transport; the relayer only passes it on.
type Message any

// Request is what a caller sent.
type Request struct {
	ID       string
	Host     string
	Path     string
	Key      string
	Patience timekeeper.Millis // How long the caller waits from Arrived; 0 is unknown.
	Arrived  timekeeper.Reading
	Prompt   placer.Prompt
	After    string // The last event that the caller already has.
	Message  Message
}

// Reason says why a request was refused or failed.
type Reason string

// Reasons.
const (
	ReasonUnready    Reason = "unready"     // No configuration is known.
	ReasonStale      Reason = "stale"       // The configuration was not confirmed in time to trust a key.
	ReasonRoute      Reason = "route"       // No route matches.
	ReasonKey        Reason = "key"         // The key is unknown.
	ReasonNoTarget   Reason = "no-target"   // No target can take the request.
	ReasonOverloaded Reason = "overloaded"  // The queue is too long for an answer in time.
	ReasonRejected   Reason = "rejected"    // Every target that was asked refused to run the request.
	ReasonFailed     Reason = "failed"      // A target may have run the request and gave no whole answer.
	ReasonDeadline   Reason = "deadline"    // The time for the request ran out.
	ReasonLeaving    Reason = "leaving"     // The instance shuts down.
	ReasonMemory     Reason = "memory-full" // The instance holds too many request bodies.
	ReasonMalformed  Reason = "malformed"   // The request cannot be read or has no ID.
	ReasonTooLarge   Reason = "too-large"   // The body is over the limit.
)

// Refusal is a final answer that no target gave.
type Refusal struct {
	Reason     Reason
	NotRun     bool // The request has not run and never will.
	RetryAfter timekeeper.Millis
}

// Caller is the side of the caller. After Begin, events are passed with Write
// until End or Break.
type Caller interface {
	Refuse(r Refusal)
	Begin(a Answer) error
	Write(data []byte) error
	End()
	// Break ends an answer so that it does not look complete.
	Break()
}

// Memory is the memory of a prompt that an engine has read.
type Memory struct {
	Target     string // The engine that read the prompt.
	Address    string
	Handle     string
	DataCentre string
}

// Attempt is one sending of a request to a target.
type Attempt struct {
	Request   Request
	Target    tracker.Target
	Workspace string
	Patience  timekeeper.Millis
	Memory    *Memory // Set if the prompt was read elsewhere.
	After     string  // Go on after this event.
	Once      bool    // The request must not run twice.
	Late      bool    // The target serves others first.

	sent  timekeeper.Reading
	taken float64 // The part of the target that was taken, for a run.
}

// Failure is why an attempt gave no answer.
type Failure struct {
	Outcome tracker.Outcome
	State   retrier.State
	Cause   error
}

// Event is one whole event of a stream.
type Event struct {
	ID  string
	Raw []byte
}

// Answer is an answer of a target whose head has come. It must be closed.
type Answer interface {
	Succeeded() bool // The status is a success.
	Failed() bool    // The target failed, so that another one might succeed.
	Streamed() bool
	Load() *tracker.Load
	// Whole returns the whole body.
	Whole() ([]byte, *Failure)
	// Next returns the next event of a stream, or nil at its proper end.
	Next() (*Event, *Failure)
	Close()
}

// Sender carries attempts to targets.
type Sender interface {
	Send(ctx context.Context, a Attempt) (Answer, *Failure)
	// Read has the prompt read and returns its memory.
	Read(ctx context.Context, a Attempt) (Memory, *tracker.Load, *Failure)
	// Free drops the memory of a prompt that will not be used.
	Free(a Attempt, m Memory)
}

// Counter counts requests that began to run, for the bill.
type Counter interface {
	Count(workspace string, at timekeeper.Millis)
}
