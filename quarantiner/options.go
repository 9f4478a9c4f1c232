package quarantiner

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Options configure a quarantiner. Zero fields take their defaults.
type Options struct {
	Instance string // Name of this instance, the sender of its strikes.

	StrikeTTL        timekeeper.Millis // Age at which strikes and crashes no longer count.
	CrashWindow      timekeeper.Millis // Strikes on one target within this time belong to one crash.
	SoloTimeout      timekeeper.Millis // Time after which a turn that was not ended is free again.
	RetryInterval    timekeeper.Millis // Time after which a waiting suspect calls Admit again.
	MaxLostTargets   int               // Lost targets at which a fingerprint is refused.
	WatchCrashes     int               // Crashes at which a workspace is watched: its new prompts run alone.
	WatchPasses      int               // Successes alone that end the first watch; doubled by each further crash.
	MaxProvenCrashes int               // Crashes alone at which similar new prompts of a workspace are refused.

	MaxFingerprints int // Limit on suspects and on passed fingerprints kept.
	MaxWorkspaces   int // Limit on workspaces with crashes kept.
}

func (o Options) withDefaults() Options {
	setDefault(&o.StrikeTTL, 10*timekeeper.Minute)
	setDefault(&o.CrashWindow, 3*timekeeper.Second)
	setDefault(&o.SoloTimeout, 2*timekeeper.Minute)
	setDefault(&o.RetryInterval, 50*timekeeper.Millisecond)
	setDefault(&o.MaxLostTargets, 2)
	setDefault(&o.WatchCrashes, 3)
	setDefault(&o.WatchPasses, 8)
	setDefault(&o.MaxProvenCrashes, 2)
	setDefault(&o.MaxFingerprints, 4096)
	setDefault(&o.MaxWorkspaces, 1024)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
