package assembler

import (
	"context"
	"slices"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// duties performs the data centre's duties at this instance while it holds their leases.
type duties struct {
	instance *Instance
	leasers  map[leaser.LeaseDuty]*leaser.Leaser
	work     map[leaser.LeaseDuty]leaser.Duty
}

func newDuties(i *Instance) *duties {
	return &duties{instance: i, leasers: map[leaser.LeaseDuty]*leaser.Leaser{}, work: map[leaser.LeaseDuty]leaser.Duty{}}
}

// add makes the instance compete for a duty. It must be called before run.
func (d *duties) add(duty leaser.LeaseDuty, work leaser.Duty) {
	i := d.instance
	options := d.options()
	options.Seed = uint64(i.incarnation)
	machine := leaser.NewMachine(options, i.settings.DataCentre, duty, i.settings.Instance, i.incarnation)
	// An instance competes only once it is known to be among the candidates.
	machine.SetCandidate(false)
	d.leasers[duty] = leaser.New(machine, i.platform, i.clock, i.recorder.Record)
	d.work[duty] = work
}

func (d *duties) options() leaser.Options {
	return leaser.Options{}.WithLength(timekeeper.Millis(d.instance.settings.LeaseMilliseconds))
}

// run competes for all duties until the context ends, then releases them.
func (d *duties) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for duty, l := range d.leasers {
		group.Go(func() { l.Run(ctx, d.work[duty]) })
	}
	d.instance.every(ctx, timekeeper.Second, func(context.Context) { d.chooseCandidates() })
}

// chooseCandidates determines from the live members whether the instance is a candidate
// for each duty. Instances may disagree, which is safe, because the store admits only
// one holder of a lease.
func (d *duties) chooseCandidates() {
	i := d.instance
	members := d.members()
	for duty, l := range d.leasers {
		candidates := leaser.Candidates(members, i.settings.DataCentre, duty)
		l.Machine().SetCandidate(!i.stopping.Load() && slices.Contains(candidates, i.settings.Instance))
	}
}

// members returns the live instances of the data centre, this one included.
func (d *duties) members() []string {
	s := d.instance.settings
	names := []string{s.Instance}
	for _, p := range d.instance.configuration.contacts.livePeers(s.DataCentre) {
		names = append(names, p.Instance)
	}
	return names
}

// heldEpochs returns the epochs of the duties that the instance performs.
func (d *duties) heldEpochs() map[string]int64 {
	epochs := map[string]int64{}
	for duty, l := range d.leasers {
		if epoch, ok := l.Machine().Held(d.instance.clock.Read()); ok {
			epochs[string(duty)] = epoch
		}
	}
	return epochs
}
