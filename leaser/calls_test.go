package leaser

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against leases that load the store beyond its design limits at 14 and 340
// instances, both in normal operation and in the busiest second after an outage.
func TestStoreCallsOfLeases(t *testing.T) {
	for name, c := range map[string]struct {
		instances, centres     int
		writes, reads, busiest float64
	}{
		// Renewed every 5 s, 18 leases cost 3.6 writes/s. After an outage, full jitter
		// spreads one read and one write of each candidate over one lease length. The
		// busiest second may reach three times that mean; without jitter, all calls would
		// fall into it.
		"14 instances":  {14, 4, 12.0/5 + 0.2, 4 * 12.0 / 18, 3 * 2 * 36.0 / 15},
		"340 instances": {340, 6, 18.0/5 + 0.2, 4, 3 * 2 * 54.0 / 15},
	} {
		t.Run(name, func(t *testing.T) {
			platform := faker.NewPlatform(timekeeper.NewManual(0).Clock())
			source := timekeeper.NewManual(0)
			machines := newMachines(c.instances, c.centres)
			run := func(from, to timekeeper.Millis) (writes, reads, busiest float64) {
				before, last := platform.Calls(), platform.Calls()
				for now := from; now < to; now += 100 {
					stepAll(platform, source.Clock().Read(), machines)
					source.Advance(100)
					if now%1000 == 900 {
						calls := platform.Calls()
						busiest = max(busiest, float64(calls["put"]+calls["get"]-last["put"]-last["get"]))
						last = calls
					}
				}
				span := (to - from).Seconds()
				return float64(last["put"]-before["put"]) / span, float64(last["get"]-before["get"]) / span, busiest
			}
			run(0, 60*second)
			writes, reads, busiest := run(60*second, 660*second)
			platform.SetDown(true)
			outW, outR, _ := run(660*second, 720*second)
			platform.SetDown(false)
			afterW, afterR, afterBusiest := run(720*second, 750*second)
			t.Logf("steady: %.2f writes/s, %.2f reads/s, busiest second %.0f; in outage %.2f, %.2f; 30 s after: %.2f, %.2f, busiest %.0f",
				writes, reads, busiest, outW, outR, afterW, afterR, afterBusiest)
			assert.Check(t, writes <= c.writes && reads <= c.reads, "steady %.2f writes/s, %.2f reads/s", writes, reads)
			assert.Check(t, afterBusiest <= c.busiest, "%.0f calls in the busiest second after the outage", afterBusiest)
			held := 0
			for _, m := range machines {
				if _, ok := m.Held(source.Clock().Read()); ok {
					held++
				}
			}
			assert.Check(t, held == 3*c.centres, "%d duties held", held)
		})
	}
}

func newMachines(instances, centres int) []*Machine {
	members := map[string][]string{}
	for i := range instances {
		dc := fmt.Sprintf("dc%d", i%centres)
		members[dc] = append(members[dc], fmt.Sprintf("i%d", i))
	}
	var machines []*Machine
	for i := range centres {
		dc := fmt.Sprintf("dc%d", i)
		for _, duty := range []LeaseDuty{LeaseDutyPlanner, LeaseDutyUsageReporter, LeaseDutyConfigurationReader} {
			for _, name := range Candidates(members[dc], dc, duty) {
				machines = append(machines, NewMachine(Options{Seed: uint64(len(machines))}, dc, duty, name, 1))
			}
		}
	}
	return machines
}

func stepAll(platform *faker.Platform, now timekeeper.Reading, machines []*Machine) {
	for _, m := range machines {
		name := ObjectName(m.dataCentre, m.duty)
		switch s := m.Next(now).(type) {
		case Read:
			l, v, err := storer.Get(context.Background(), platform, name, Decode)
			m.ReadDone(now, l, v, err)
		case Write:
			value, err := json.Marshal(s.Lease)
			if err != nil {
				panic(errors.Wrap(err, "encode lease"))
			}
			v, err := platform.Put(context.Background(), name, value, s.Expected)
			m.WriteDone(now, s, v, err)
		}
	}
}
