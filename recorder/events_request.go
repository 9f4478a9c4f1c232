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
)

var requestEvents = map[Code]Entry{
	RequestAccepted:  {"request-accepted", debug, "A request passed authentication and was given an id.", "None."},
	RequestRefused:   {"request-refused", info, "A request was refused; the cause says why.", "See the cause."},
	RequestAnswered:  {"request-answered", debug, "The whole answer was relayed.", "None."},
	RequestBroken:    {"request-broken", warning, "The answer ended before it was whole; the caller was told.", "Look at the target named."},
	RequestCancelled: {"request-cancelled", debug, "The caller went away and the target was told to cancel.", "None."},
	AttemptStarted:   {"attempt-started", debug, "A request was sent to a target.", "None."},
	AttemptFailed:    {"attempt-failed", info, "An attempt failed; the cause carries its state.", "Look at the target named."},
	AnswerMismatched: {"answer-mismatched", failure, "An answer carried another request id; it was dropped and its connection closed.", "Check the target: it crosses answers."},
}
