package leaser

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// BenchmarkStoreCalls reports the store calls of all leases per second of virtual time,
// and the processor time that one candidate uses in such a second.
func BenchmarkStoreCalls(b *testing.B) {
	for _, size := range []struct{ instances, centres int }{{14, 4}, {100, 6}, {340, 6}, {340, 24}} {
		b.Run(fmt.Sprintf("instances=%d-centres=%d", size.instances, size.centres), func(b *testing.B) {
			var spent time.Duration
			seconds := 0.0
			for b.Loop() {
				started := time.Now()
				platform := faker.NewPlatform(timekeeper.NewManual(0).Clock())
				source := timekeeper.NewManual(0)
				machines := newMachines(size.instances, size.centres)
				run := func(span timekeeper.Millis) {
					for range span / 100 {
						stepAll(platform, source.Clock().Read(), machines)
						source.Advance(100)
					}
				}
				run(60 * second)
				before := platform.Calls()
				run(600 * second)
				after := platform.Calls()
				b.ReportMetric(float64(after["put"]-before["put"])/600, "writes/s")
				b.ReportMetric(float64(after["get"]-before["get"])/600, "reads/s")
				spent += time.Since(started)
				seconds += 660 * float64(len(machines))
			}
			b.ReportMetric(float64(spent.Microseconds())/seconds, "µs/candidate-second")
			b.ReportMetric(0, "ns/op")
		})
	}
}
