package recorder

// Events 100 to 199: the process itself.
const (
	ProcessStarted   Code = 100
	ProcessReady     Code = 101
	ShutdownStarted  Code = 102
	ShutdownFinished Code = 103
	ShutdownForced   Code = 104
)

var processEvents = map[Code]Entry{
	ProcessStarted:   {"process-started", info, "The instance started.", "None."},
	ProcessReady:     {"process-ready", info, "The instance has a configuration and accepts requests.", "None."},
	ShutdownStarted:  {"shutdown-started", info, "A graceful shutdown began: readiness fails, running requests finish.", "None."},
	ShutdownFinished: {"shutdown-finished", info, "The graceful shutdown ended.", "None."},
	ShutdownForced:   {"shutdown-forced", failure, "Requests still ran at the shutdown deadline and were ended.", "Raise shutdown-seconds or look for requests that never end."},
}
