package recorder

// Events 200 to 299: requests of callers.
const (
	RequestAccepted  Code = 200
	RequestRefused   Code = 201
	RequestAnswered  Code = 202
	RequestBroken    Code = 203
	RequestCancelled Code = 204
	AttemptStarted   Code = 205
	AttemptFailed    Code = 206
	AnswerMismatched Code = 207
	RequestPlaced    Code = 208
	RequestResumed   Code = 209
	RequestFailed    Code = 210
	RequestServed    Code = 211
	PromptPrefilled  Code = 212
	RequestAbandoned Code = 213
)

var requestEvents = map[Code]Entry{
	RequestAccepted:  {"request-accepted", debug, "A request passed authentication and was given an id.", "None."},
	RequestRefused:   {"request-refused", info, "A request was refused; the cause says why.", "See the cause."},
	RequestAnswered:  {"request-answered", debug, "The complete answer was relayed.", "None."},
	RequestBroken:    {"request-broken", warning, "The answer ended before it was complete; the caller was notified.", "Look at the target named."},
	RequestCancelled: {"request-cancelled", debug, "The caller disconnected and the attempt at the target was cancelled.", "None."},
	AttemptStarted:   {"attempt-started", debug, "A request was sent to a target.", "None."},
	AttemptFailed:    {"attempt-failed", info, "An attempt failed; the cause gives its state.", "Look at the target named."},
	AnswerMismatched: {"answer-mismatched", failure, "An answer carried another request id; it was dropped and its connection closed.", "Check the target: it mixes up answers."},
	RequestPlaced:    {"request-placed", debug, "A target was chosen for an attempt; the inputs give the load that was assumed.", "None."},
	RequestResumed:   {"request-resumed", info, "A broken stream was resumed at another target after the last event.", "Look at the target named."},
	RequestFailed:    {"request-failed", warning, "A request may have run and ended without a complete answer; the caller was notified.", "Look at the target named and at the attempts of the same request."},
	RequestServed:    {"request-served", info, "The complete answer of a target was relayed; the inputs give the times.", "None."},
	PromptPrefilled:  {"prompt-read", debug, "An engine prefilled a prompt that is decoded on another engine.", "None."},
	RequestAbandoned: {"request-abandoned", info, "The caller disconnected; the attempt at the target was cancelled.", "None."},
}
