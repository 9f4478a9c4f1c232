package assembler

import (
	"context"
	"slices"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// duties runs the data centre's duties at this instance while it holds their leases.
type duties struct {
	instance *Instance
	leasers  map[leaser.LeaseDuty]*leaser.Leaser
	work     map[leaser.LeaseDuty]leaser.Duty

	mu    sync.Mutex
	known []string // members of the data centre when they were last read
}

func newDuties(i *Instance) *duties {
	return &duties{instance: i, leasers: map[leaser.LeaseDuty]*leaser.Leaser{}, work: map[leaser.LeaseDuty]leaser.Duty{}}
}

// add makes the instance compete for a duty; it is called before run.
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
	// One read of the list per lease time: 340 instances cost 23 reads a second.
	d.instance.every(ctx, d.options().Length, d.chooseCandidates)
}

// chooseCandidates reads the members of the data centre and finds out whether the
// instance is a candidate for each duty. When the read fails, it stays what it was.
func (d *duties) chooseCandidates(ctx context.Context) {
	i := d.instance
	list, err := i.platform.Instances(ctx)
	if err != nil {
		return
	}
	// The list lags, which is safe: the store admits one holder of a lease.
	members := []string{i.settings.Instance}
	for _, entry := range list {
		if entry.DataCentre == i.settings.DataCentre && !entry.Leaving && entry.Name != i.settings.Instance {
			members = append(members, entry.Name)
		}
	}
	d.mu.Lock()
	d.known = members
	d.mu.Unlock()
	for duty, l := range d.leasers {
		candidates := leaser.Candidates(members, i.settings.DataCentre, duty)
		l.Machine().SetCandidate(!i.stopping.Load() && slices.Contains(candidates, i.settings.Instance))
	}
}

// members returns how many instances the data centre has, this one included.
func (d *duties) members() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, len(d.known))
}

// held returns the epochs of the duties that the instance performs.
func (d *duties) held() map[string]int64 {
	epochs := map[string]int64{}
	for duty, l := range d.leasers {
		if epoch, ok := l.Machine().Held(d.instance.clock.Read()); ok {
			epochs[string(duty)] = epoch
		}
	}
	return epochs
}
