package relayer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/quarantiner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
)

// await reports whether the caller has to await the return of a silent process.
func (b *silences) await(id quarantiner.Crash) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.awaited[id] {
		return false
	}
	b.awaited[id] = true
	return true
}

func (b *silences) endAwait(id quarantiner.Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.awaited, id)
}

// awaitReturn finds out that a process that counts as crashed by silence can be reached
// again: without requests to it, nothing else would show that. It looks while the process
// is listed and its crash is remembered.
func (r *Relayer) awaitReturn(ctx context.Context, id quarantiner.Crash) {
	defer r.silences.endAwait(id)
	for {
		select {
		case <-time.After(silenceInterval.Duration()):
		case <-ctx.Done():
			return
		}
		since, counts, blames := r.Quarantine.Silence(id)
		target, listed, outlived := r.Tracker.Outlived(id.Target, id.Started, since)
		if !counts || !listed {
			return
		}
		// A process that had ended would no longer be listed, so what takes the connection is
		// not another one at its address.
		if blames && outlived && r.Sender.Probe(ctx, target) == ProbeAccepted {
			r.Stats.Crashes.Add("withdrawn", 1)
			r.Record(recorder.Event{Code: recorder.TargetStateChanged, Target: id.Target, Cause: "returned: takes connections again after its silence", Inputs: []zap.Field{
				zap.String("address", target.Address), zap.Int64("started", int64(target.Started)),
			}})
			r.Quarantine.RecordSign(id)
			return
		}
	}
}
