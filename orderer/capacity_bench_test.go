package orderer_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/orderer"
)

// BenchmarkOrders orders role changes of n engines at the same time and reports
// the store writes per order and the virtual time until all have finished.
func BenchmarkOrders(b *testing.B) {
	for _, n := range []int{1, 3, 12, 48} {
		b.Run(fmt.Sprintf("orders=%d", n), func(b *testing.B) {
			for b.Loop() {
				w := newWorld(1)
				var orders []orderer.Order
				for i := range n {
					name := fmt.Sprintf("engine-%03d", i)
					w.engines[name] = faker.NewEngineControl(w.source.Clock(), name, orderer.RolePrefill, true, 8*second)
					w.checksToken[name] = true
					orders = append(orders, changeRole(name, orderer.RoleDecode))
				}
				w.run(60*second, func() bool { return w.nodes[0].orderer != nil && w.nodes[0].orderer.Loaded() })
				before, started := w.platform.Calls(), w.now
				w.run(10*second, nil)
				idle := w.platform.Calls()
				idleSeconds := (w.now - started).Seconds()
				started = w.now
				for _, o := range orders {
					_, err := w.nodes[0].orderer.Submit(o)
					assert.NilError(b, err)
				}
				done := w.run(3600*second, func() bool { return len(w.failures) >= n })
				assert.Assert(b, done)
				after := w.platform.Calls()
				seconds := (w.now - started).Seconds()
				leaseWrites := float64(idle["put"]-before["put"]) / idleSeconds * seconds
				b.ReportMetric((float64(after["put"]-idle["put"])-leaseWrites)/float64(n), "writes/order")
				b.ReportMetric(seconds, "virtual-s")
			}
		})
	}
}

// BenchmarkIntents measures the encoding and the size of the intents of a data
// centre, which each change of an order writes as a whole.
func BenchmarkIntents(b *testing.B) {
	for _, n := range []int{3, 48, 143} {
		b.Run(fmt.Sprintf("orders=%d", n), func(b *testing.B) {
			intents := orderer.Intents{Epoch: 7}
			for i := range n {
				o := changeRole(fmt.Sprintf("engine-%03d", i), orderer.RoleDecode)
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
