package authenticator

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Standing tells whom an instance can hear.
type Standing int

// Standings of an instance.
const (
	// Connected means that a peer or the platform is heard.
	Connected Standing = iota
	// CutOff means that the data centre hears neither another data centre nor the platform.
	CutOff
	// Isolated means that the instance hears neither a peer nor the platform.
	Isolated
)

// Silences after which an instance counts as isolated or its data centre as cut off.
const (
	isolationSilence = 3 * timekeeper.Second
	// cutOffSilence equals the time after which membership declares an instance dead.
	cutOffSilence = 4 * timekeeper.Second
)

// Contact is what an instance knows of its surroundings. Times are when a sign
// was last heard; the start of the process counts as a sign.
type Contact struct {
	// Neighbours is the number of other instances of the data centre, dead ones included.
	Neighbours int
	// Remotes is the number of other data centres that the configuration declares.
	Remotes int
	// NeighbourHeard, RemoteHeard and PlatformHeard are the last signs of each.
	NeighbourHeard timekeeper.Millis
	RemoteHeard    timekeeper.Millis
	PlatformHeard  timekeeper.Millis
}

// Standing returns the standing at a time. A data centre of one instance cannot
// be told from an isolated instance; it goes on serving as a data centre does.
func (c Contact) Standing(now timekeeper.Millis) Standing {
	heard := max(c.NeighbourHeard, c.RemoteHeard, c.PlatformHeard)
	if c.Neighbours > 0 && now-heard >= isolationSilence {
		return Isolated
	}
	if c.Remotes > 0 && now-max(c.RemoteHeard, c.PlatformHeard) >= cutOffSilence {
		return CutOff
	}
	return Connected
}
