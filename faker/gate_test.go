package faker

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Guards against an engine stand-in that ignores priorities, or stands still after a caller left the queue.
func TestGateHonoursPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g gate
		assert.Assert(t, g.enter(t.Context(), 0))
		var order []int
		for _, priority := range []int{3, 8, 5} {
			go func() {
				if g.enter(t.Context(), priority) {
					order = append(order, priority)
					g.leave()
				}
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan bool, 1)
		go func() { left <- g.enter(ctx, 9) }()
		synctest.Wait()
		cancel()
		assert.Assert(t, !<-left)
		g.leave()
		synctest.Wait()
		assert.DeepEqual(t, order, []int{8, 5, 3})
		assert.Assert(t, g.enter(t.Context(), 0))
	})
}
