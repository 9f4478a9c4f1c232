package assembler

import (
	"context"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// hold competes for a duty of the data centre and runs it while the lease is held.
func (i *Instance) hold(ctx context.Context, duty leaser.LeaseDuty, run leaser.Duty) {
	options := leaser.Options{Seed: uint64(i.incarnation)}.WithLength(timekeeper.Millis(i.settings.LeaseMilliseconds))
	machine := leaser.NewMachine(options, i.settings.DataCentre, duty, i.settings.Instance, i.incarnation)
	var group sync.WaitGroup
	group.Go(func() {
		i.every(ctx, timekeeper.Second, func(context.Context) {
			machine.SetCandidate(i.configuration.contacts.candidate(duty))
		})
	})
	leaser.New(machine, i.platform, i.clock, i.recorder.Record).Run(ctx, run)
	group.Wait()
}
