package faker

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Guards against an engine stand-in that ignores priorities or blocks after a waiting request is cancelled.
func TestGateHonoursPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g gate
		assert.Assert(t, g.lock(t.Context(), 0))
		var order []int
		for _, priority := range []int{3, 8, 5} {
			go func() {
				if g.lock(t.Context(), priority) {
					order = append(order, priority)
					g.unlock()
				}
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan bool, 1)
		go func() { left <- g.lock(ctx, 9) }()
		synctest.Wait()
		cancel()
		assert.Assert(t, !<-left)
		g.unlock()
		synctest.Wait()
		assert.DeepEqual(t, order, []int{8, 5, 3})
		assert.Assert(t, g.lock(t.Context(), 0))
	})
}
