package recorder

// Events 300 to 399: targets.
const (
	TargetLeaving       Code = 300
	TargetEjected       Code = 301
	TargetReturned      Code = 302
	RequestQuarantined  Code = 303
	TargetCrashed       Code = 304
	TargetStateChanged  Code = 305
	PartQuarantined     Code = 306
	PartCleared         Code = 307
	DataCentreLost      Code = 308
	DataCentreBack      Code = 309
	RoleChangesUnstored Code = 310
	RoleChangesResumed  Code = 311
)

var targetEvents = map[Code]Entry{
	TargetLeaving:       {"target-leaving", info, "A target is leaving and gets no new work.", "None."},
	TargetEjected:       {"target-ejected", warning, "A target was excluded from routing after failures.", "Look at the target."},
	TargetReturned:      {"target-returned", info, "An ejected target works again.", "None."},
	TargetCrashed:       {"target-crashed", warning, "A target lost requests and refuses connections, or answers nothing while others of its data centre do; the requests that it had not begun to answer are suspected. The cause says which.", "Look at the target and at requests that are quarantined."},
	TargetStateChanged:  {"target-belief", info, "The state of a target changed: seen, changed, leaving, gone, lapsed, suspected, trusted, returned, paused, resumed or pause-invalid; the cause says why.", "None."},
	PartQuarantined:     {"part-quarantined", warning, "Prompt parts that were in flight in several crashes of targets are quarantined; prompts that hold them are refused.", "See the operators page on quarantine."},
	PartCleared:         {"part-cleared", info, "Prompt parts are no longer quarantined: a target answered, or other parts are to blame.", "None."},
	DataCentreLost:      {"data-centre-lost", warning, "None of several targets of a data centre took a connection; its targets get no new work while there are others.", "Look at the network between the data centres."},
	DataCentreBack:      {"data-centre-back", info, "A target of the data centre takes connections again, or none is listed any more.", "None."},
	RoleChangesUnstored: {"role-changes-unstored", warning, "The changes of role in progress could not be read or stored; instances that start now may send requests to engines that reject them for some seconds.", "Check the store."},
	RoleChangesResumed:  {"role-changes-resumed", info, "Engines that were ordered to change their role before this process started get no requests until they have.", "None."},
	RequestQuarantined:  {"request-quarantined", warning, "A request that crashed targets is refused.", "See the operators page on quarantine."},
}
