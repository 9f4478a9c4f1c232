package recorder

// Events 800 to 899: usage.
const (
	WindowSealed    Code = 800
	WindowReported  Code = 801
	WindowLate      Code = 802
	UsageCopyFailed Code = 803
	WindowLeftOut   Code = 804
)

var usageEvents = map[Code]Entry{
	WindowSealed:    {"window-sealed", info, "A usage window was sealed.", "None."},
	WindowReported:  {"window-reported", info, "A sealed window was reported and confirmed.", "None."},
	WindowLate:      {"window-late", warning, "A sealed window could not be reported yet.", "See the operators page on late usage."},
	WindowLeftOut:   {"window-left-out", warning, "A window is not reported: it may have been before the store came back from a copy, and its sum is lost.", "Take its figure from what was reported before."},
	UsageCopyFailed: {"usage-copy-failed", warning, "A usage count has no copy on a peer.", "Check the peers."},
}
