package relayer

import (
	"context"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// examinationInterval is the time between two looks at a data centre that can't be
	// reached.
	examinationInterval = 250 * timekeeper.Millisecond
	// examinedTargets is how many of its targets a look connects to. One that takes the
	// connection shows that the data centre can be reached.
	examinedTargets = 3
	// outageTargets is how many targets at least must not have been reached for an outage:
	// one may have failed by itself.
	outageTargets = 2
	// maxLooks bounds an examination. The next request that can't reach the data centre
	// begins another one.
	maxLooks = 100
)

// examineDataCentre finds out whether the data centre of an unreachable target can be
// reached, and looks again until it can. It does not wait.
func (p *pendingRequest) examineDataCentre(target tracker.Target, o tracker.Outcome) {
	if o != tracker.Unreachable || !p.Tracker.BeginExamination(target.DataCentre) {
		return
	}
	go p.awaitReach(p.closed, target.DataCentre)
}

// awaitReach connects to targets of a data centre until one takes the connection, or too
// few are listed to tell an outage from a target that failed.
func (r *Relayer) awaitReach(ctx context.Context, dataCentre string) {
	began, lost := r.Clock.Read(), false
	defer r.Tracker.EndExamination(dataCentre)
	for look := 0; look < maxLooks && ctx.Err() == nil; look++ {
		targets := r.Tracker.ProbeTargets(dataCentre, examinedTargets)
		accepted, unreached := r.probeAll(ctx, targets)
		if len(targets) < outageTargets || accepted {
			break
		}
		if unreached < outageTargets {
			timekeeper.Sleep(ctx, examinationInterval)
			continue
		}
		r.Tracker.ConfirmOutage(dataCentre)
		if !lost {
			lost = true
			r.Stats.DataCentresLost.Add(1)
			r.Record(recorder.Event{Code: recorder.DataCentreLost, Inputs: []zap.Field{
				zap.String("data-centre-of-targets", dataCentre), zap.Int("targets-tried", len(targets)),
			}})
		}
		timekeeper.Sleep(ctx, examinationInterval)
	}
	if lost && ctx.Err() == nil {
		r.Record(recorder.Event{Code: recorder.DataCentreBack, Inputs: []zap.Field{
			zap.String("data-centre-of-targets", dataCentre), zap.Int64("after-milliseconds", int64(r.Clock.Read().Since(began))),
		}})
	}
}

// probeAll connects to targets and reports whether one accepts, or else how many could not
// be reached; the instance itself may be unable to open connections.
func (r *Relayer) probeAll(ctx context.Context, targets []tracker.Target) (accepted bool, unreached int) {
	results := make(chan ProbeResult, len(targets))
	for _, t := range targets {
		go func() { results <- r.Sender.Probe(ctx, t) }()
	}
	for range targets {
		switch <-results {
		case ProbeAccepted:
			return true, 0
		case ProbeFailed:
		default:
			unreached++
		}
	}
	return false, unreached
}
