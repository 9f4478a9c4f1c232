package assembler

import (
	"context"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// crashProbes and crashProbeInterval distinguish a crashed target, which refuses new
	// connections, from one that dropped a single connection. A process that ends closes
	// its connections and its listener in any order, a few milliseconds apart.
	crashProbes        = 3
	crashProbeInterval = 40 * timekeeper.Millisecond
	crashProbeTimeout  = 500 * time.Millisecond
)

// endedEarly reports whether the attempt failed while the request may have been running.
// This includes callers that disconnected, as the target's crash may be the reason.
func endedEarly(result dispatcher.Result) bool {
	return result.Err != nil && result.State != dispatcher.StateNotSent &&
		!errors.Is(result.Err, dispatcher.ErrMismatched) && !errors.Is(result.Err, dispatcher.ErrTooLarge) &&
		!errors.Is(result.Err, dispatcher.ErrIdleTimeout)
}

// crashed reports whether a target at which an attempt failed refuses new connections,
// which means that its process ended. A lost host, rack or network does not answer at
// all, and no request caused it; the same holds for a target that announced its end.
func (r *routing) crashed(ctx context.Context, t declarer.Target) bool {
	address, err := url.Parse(t.URL)
	if err != nil || r.router.Draining(t.Name) {
		return false
	}
	probes := crashProbes
	if ctx.Err() != nil {
		probes = 1
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbes*crashProbeTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: crashProbeTimeout}
	for range probes {
		conn, err := dialer.DialContext(ctx, "tcp", hostPort(address))
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		conn.Close()
		if !timekeeper.Sleep(ctx, crashProbeInterval) {
			return false
		}
	}
	return false
}

func hostPort(address *url.URL) string {
	if address.Port() != "" {
		return address.Host
	}
	return net.JoinHostPort(address.Hostname(), address.Scheme)
}

// recordCrash marks all requests on a crashed target as suspected and notifies the
// peers before any of the callers gets an answer.
func (r *routing) recordCrash(ctx context.Context, t declarer.Target) {
	strikes := r.quarantiner.Crashed(t.Name, r.instance.clock.Now())
	if strikes.Empty() {
		return // Another request of this instance has reported the crash.
	}
	r.instance.recorder.Record(recorder.Event{Code: recorder.TargetCrashed, Target: t.Name})
	r.peers.sendStrikes(ctx, strikes)
}
