package recorder

// Events 400 to 499: membership.
const (
	InstanceJoined     Code = 400
	InstanceSuspected  Code = 401
	InstanceDead       Code = 402
	InstanceLeft       Code = 403
	DataCentreCutOff   Code = 404
	DataCentreRejoined Code = 405
	InstanceIsolated   Code = 406
	RecordRefused      Code = 407
	RelayChanged       Code = 408
)

var membershipEvents = map[Code]Entry{
	InstanceJoined:     {"instance-joined", info, "Another instance became known or live.", "None."},
	InstanceSuspected:  {"instance-suspected", info, "Nothing was received from another instance in time.", "None."},
	InstanceDead:       {"instance-dead", warning, "Another instance counts as dead.", "None, unless it was not planned."},
	InstanceLeft:       {"instance-left", info, "Another instance left gracefully.", "None."},
	DataCentreCutOff:   {"data-centre-cut-off", failure, "No instance of another data centre can be reached.", "See the operators page on a data centre that is cut off."},
	DataCentreRejoined: {"data-centre-rejoined", info, "Instances of the data centre can be reached again.", "None."},
	InstanceIsolated:   {"instance-isolated", failure, "The instance has contact with neither a peer nor the platform, and refuses keyed requests.", "Check the network of the instance."},
	RecordRefused:      {"record-refused", warning, "A record for or of a peer is too large or malformed; it is dropped.", "Check that all instances run the same version."},
	RelayChanged:       {"relay-changed", info, "In a large fleet the instance began or ceased to relay loads and the store's changes for others.", "None."},
}
