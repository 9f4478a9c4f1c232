package authenticator

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Connectivity says whether an instance is connected, isolated or in a cut-off data centre.
type Connectivity int

// States of an instance's connectivity.
const (
	// Connected means that the instance is neither cut off nor isolated.
	Connected Connectivity = iota
	// CutOff means that the data centre reaches neither another data centre nor the platform.
	CutOff
	// Isolated means that the instance reaches neither a peer nor the platform.
	Isolated
)

// Times without contact after which an instance counts as isolated or its data
// centre as cut off.
const (
	isolationTimeout = 3 * timekeeper.Second
	// cutOffTimeout equals the time after which membership declares an instance dead.
	cutOffTimeout = 4 * timekeeper.Second
)

// Reachability is when an instance last had contact with its peers and the platform. The
// start of the process counts as contact.
type Reachability struct {
	// Neighbours is the number of other instances of the data centre, dead ones included.
	Neighbours int
	// RemoteDataCentres is the number of other data centres that the configuration declares.
	RemoteDataCentres int
	// NeighbourLastSeen, RemoteLastSeen and PlatformLastSeen are the times of the last contact with each.
	NeighbourLastSeen timekeeper.Millis
	RemoteLastSeen    timekeeper.Millis
	PlatformLastSeen  timekeeper.Millis
}

// Connectivity returns the connectivity at a time. The only instance of a data centre can't
// distinguish isolation from a cut-off data centre; it counts as cut off and so
// keeps serving.
func (c Reachability) Connectivity(now timekeeper.Millis) Connectivity {
	lastSeen := max(c.NeighbourLastSeen, c.RemoteLastSeen, c.PlatformLastSeen)
	if c.Neighbours > 0 && now-lastSeen >= isolationTimeout {
		return Isolated
	}
	if c.RemoteDataCentres > 0 && now-max(c.RemoteLastSeen, c.PlatformLastSeen) >= cutOffTimeout {
		return CutOff
	}
	return Connected
}
