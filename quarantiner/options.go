package quarantiner

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Options set the constants of a quarantiner; zero fields take the defaults.
type Options struct {
	Instance string // Name of this instance, the sender of its strikes.

	StrikeLife     timekeeper.Millis // Age at which strikes and crashes no longer count.
	SameCrash      timekeeper.Millis // Strikes on one target within this span belong to one crash.
	SoloLife       timekeeper.Millis // Time after which a run that never ended frees its turn.
	WaitStep       timekeeper.Millis // Time after which a waiting suspect asks again.
	MaxLost        int               // Lost targets at which a fingerprint is refused.
	WatchCrashes   int               // Crashes at which a workspace's new prompts run alone.
	WatchPasses    int               // Successes alone that end the first watch; each further crash doubles them.
	WorkspaceProof int               // Crashes alone at which similar new prompts of a workspace are refused.

	MaxFingerprints int // Most suspects, and most passed fingerprints, in memory.
	MaxWorkspaces   int // Most workspaces with crashes in memory.
}

func (o Options) withDefaults() Options {
	set(&o.StrikeLife, 10*timekeeper.Minute)
	set(&o.SameCrash, 3*timekeeper.Second)
	set(&o.SoloLife, 2*timekeeper.Minute)
	set(&o.WaitStep, 50*timekeeper.Millisecond)
	set(&o.MaxLost, 2)
	set(&o.WatchCrashes, 3)
	set(&o.WatchPasses, 8)
	set(&o.WorkspaceProof, 2)
	set(&o.MaxFingerprints, 4096)
	set(&o.MaxWorkspaces, 1024)
	return o
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
