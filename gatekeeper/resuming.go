package gatekeeper

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/provisioner"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

const (
	// resumeAttempts bounds how often a new process tries to read the changes of role in
	// progress: the store is slow when all instances start at once.
	resumeAttempts = 4
	resumeInterval = 500 * timekeeper.Millisecond
)

// resumeRoleChanges reads, once the targets are listed, which engines are changing their
// role since before the process started.
func (g *Gatekeeper) resumeRoleChanges(ctx context.Context) {
	select {
	case <-g.firstList:
	case <-ctx.Done():
		return
	}
	if !slices.ContainsFunc(g.tracker.Targets(), func(t tracker.Target) bool { return t.Role != tracker.PrefillAndDecode }) {
		return
	}
	for range resumeAttempts {
		pending, _, err := provisioner.LoadPending(ctx, g.platform.Store)
		if err == nil {
			if n := provisioner.ResumePending(g.tracker, pending, g.clock.Read().Wall); n > 0 {
				g.record(recorder.Event{Code: recorder.RoleChangesResumed, Inputs: []zap.Field{zap.Int("engines", n)}})
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		g.record(recorder.Event{Code: recorder.RoleChangesUnstored, Cause: err.Error()})
		timekeeper.Sleep(ctx, resumeInterval)
	}
}
