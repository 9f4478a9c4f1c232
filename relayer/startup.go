package relayer

import (
	"context"
	"sync/atomic"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// startupWait and startupWaitShare bound how long a request waits for the first
	// configuration and list of targets, the latter as a share of its caller's time.
	startupWait      = 600 * timekeeper.Millisecond
	startupWaitShare = 0.4
	// startupPollInterval is the time between looks whether both are there.
	startupPollInterval = 10 * timekeeper.Millisecond
)

// startup tells the first moments of a process, in which it can't serve yet.
type startup struct {
	until timekeeper.Millis // On the monotonic clock.
	done  atomic.Bool
}

// waitLeft returns how much longer a request that arrived at a time may wait for the
// start to be complete.
func (s *startup) waitLeft(arrived, timeout, now timekeeper.Millis) timekeeper.Millis {
	bound := startupWait
	if timeout > 0 {
		bound = min(bound, timekeeper.Millis(startupWaitShare*float64(timeout)))
	}
	return min(arrived+bound, s.until) - now
}

// awaitStartup waits until the instance has a configuration and a list of targets, if it
// has just started. A caller who is refused then has to come back at a time when many do,
// and finds other instances that have just started too.
func (p *pendingRequest) awaitStartup(ctx context.Context) {
	waited := false
	for !p.startup.done.Load() {
		if directory, _ := p.Holder.Current(); directory != nil && p.Tracker.HasList() {
			p.startup.done.Store(true)
			break
		}
		left := p.startup.waitLeft(p.request.Arrived.Monotonic, p.request.Timeout, p.Clock.Read().Monotonic)
		if left <= 0 || !timekeeper.Sleep(ctx, min(left, startupPollInterval)) {
			return
		}
		waited = true
	}
	if waited {
		p.Stats.AwaitedStartup.Add(1)
	}
}
