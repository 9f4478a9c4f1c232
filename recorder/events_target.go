package recorder

// Events 300 to 399: targets.
const (
	TargetLeaving      Code = 300
	TargetEjected      Code = 301
	TargetReturned     Code = 302
	RequestQuarantined Code = 303
	TargetCrashed      Code = 304
	TargetStateChanged Code = 305
)

var targetEvents = map[Code]Entry{
	TargetLeaving:      {"target-leaving", info, "A target is leaving and gets no new work.", "None."},
	TargetEjected:      {"target-ejected", warning, "A target was excluded from routing after failures.", "Look at the target."},
	TargetReturned:     {"target-returned", info, "An ejected target works again.", "None."},
	TargetCrashed:      {"target-crashed", warning, "A target closed its connections and refuses new ones; each request on it runs alone at a target when it is retried.", "Look at the target and at requests that are quarantined."},
	TargetStateChanged: {"target-belief", info, "The state of a target changed: seen, changed, leaving, gone, lapsed, suspected or trusted; the cause says why.", "None."},
	RequestQuarantined: {"request-quarantined", warning, "A request that crashed targets is refused.", "See the operators page on quarantine."},
}
