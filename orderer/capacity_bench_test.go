package orderer_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/orderer"
)

// BenchmarkOrders measures role changes of n engines that are ordered at the same
// time, in virtual time, and reports the calls on the store for each.
func BenchmarkOrders(b *testing.B) {
	for _, n := range []int{1, 3, 12, 48} {
		b.Run(fmt.Sprintf("orders=%d", n), func(b *testing.B) {
			for b.Loop() {
				w := newWorld(1)
				var orders []orderer.Order
				for i := range n {
					name := fmt.Sprintf("engine-%03d", i)
					w.engines[name] = faker.NewEngineControl(w.source.Clock(), name, orderer.RolePrefill, true, 8*second)
					w.checks[name] = true
					orders = append(orders, role(name, orderer.RoleDecode))
				}
				w.run(60*second, func() bool { return w.nodes[0].orderer != nil && w.nodes[0].orderer.Loaded() })
				before, begun := w.platform.Calls(), w.now
				w.run(10*second, nil)
				idle := w.platform.Calls()
				span := (w.now - begun).Seconds()
				begun = w.now
				for _, o := range orders {
					_, err := w.nodes[0].orderer.Submit(o)
					assert.NilError(b, err)
				}
				done := w.run(3600*second, func() bool { return len(w.failures) >= n })
				assert.Assert(b, done)
				after := w.platform.Calls()
				took := (w.now - begun).Seconds()
				lease := float64(idle["put"]-before["put"]) / span * took
				b.ReportMetric((float64(after["put"]-idle["put"])-lease)/float64(n), "writes/order")
				b.ReportMetric(took, "virtual-s")
			}
		})
	}
}

// BenchmarkIntents reports the size of the intents of a data centre, which each
// change of an order writes whole.
func BenchmarkIntents(b *testing.B) {
	for _, n := range []int{3, 48, 143} {
		b.Run(fmt.Sprintf("orders=%d", n), func(b *testing.B) {
			intents := orderer.Intents{Epoch: 7}
			for i := range n {
				o := role(fmt.Sprintf("engine-%03d", i), orderer.RoleDecode)
				o.Epoch, o.Sequence, o.Recorded = 7, int64(i), 1_700_000_000_000
				intents.Intents = append(intents.Intents, o)
			}
			var data []byte
			for b.Loop() {
				var err error
				data, err = json.Marshal(intents)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data)), "object-bytes")
		})
	}
}
