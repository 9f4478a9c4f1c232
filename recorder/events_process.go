package recorder

import "go.uber.org/zap"

// Events 100 to 199: the process itself.
const (
	ProcessStarted      Code = 100
	ProcessReady        Code = 101
	ShutdownStarted     Code = 102
	ShutdownFinished    Code = 103
	ShutdownForced      Code = 104
	SettingsReloaded    Code = 105
	DependencyLost      Code = 106
	DependencyRecovered Code = 107
	LinesShed           Code = 108
	ReadinessChanged    Code = 109
	ListenerFailed      Code = 110
	StoreReturned       Code = 111
	StoreEraInvalid     Code = 112
	WrittenAgain        Code = 113
)

// RewrittenEvent returns the event of objects of a kind that were written again in an era.
func RewrittenEvent(kind string, count int, era int64) Event {
	return Event{Code: WrittenAgain, Inputs: []zap.Field{zap.String("kind", kind), zap.Int("count", count), zap.Int64("era", era)}}
}

var processEvents = map[Code]Entry{
	ProcessStarted:      {"process-started", info, "The instance started.", "None."},
	ProcessReady:        {"process-ready", info, "The instance has a configuration and accepts requests.", "None."},
	ShutdownStarted:     {"shutdown-started", info, "A graceful shutdown began: readiness fails, running requests finish.", "None."},
	ShutdownFinished:    {"shutdown-finished", info, "The graceful shutdown ended.", "None."},
	ShutdownForced:      {"shutdown-forced", failure, "Requests still ran at the shutdown deadline and were aborted.", "Raise shutdown-seconds or look for requests that never end."},
	SettingsReloaded:    {"settings-reloaded", info, "The settings file was read again; the cause says what took effect.", "Correct the file if it was refused."},
	DependencyLost:      {"dependency-lost", warning, "Calls on the store or the duty interface began to fail.", "See the operators page on an outage of the platform."},
	DependencyRecovered: {"dependency-back", info, "Calls that had failed succeed again.", "None."},
	LinesShed:           {"lines-shed", warning, "Log lines were dropped because of the limit of lines per second or a slow reader; the inputs count them.", "Raise log-lines-per-second or read the log faster."},
	ListenerFailed:      {"listener-failed", failure, "Connections cannot be accepted; the cause says why.", "Check the process's limits on descriptors and memory."},
	StoreReturned:       {"store-returned", warning, "The store came back from a copy and lost its latest changes; what the instance keeps there is written again.", "See OPERATIONS.md, a store that comes back from a copy."},
	StoreEraInvalid:     {"store-era-invalid", warning, "The store names an era that is no number, too large, or lower than before; it is ignored.", "Look for a faulty store or proxy."},
	WrittenAgain:        {"written-again", info, "What the store had lost when it came back from a copy was written again; the inputs name it.", "None."},
	ReadinessChanged:    {"readiness-changed", info, "The result of the readiness check changed; the cause says why.", "None."},
}
