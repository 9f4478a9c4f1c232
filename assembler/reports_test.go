package assembler_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against instances that poll the targets of all data centres, and against a
// leaving target of another data centre that goes unnoticed because of that.
func TestTargetsArePolledInTheirDataCentre(t *testing.T) {
	f := newFleet(t)
	far, _ := f.start("b", "dc-2")
	assert.DeepEqual(t, far.Polled(), []string{"booking-1", "engine-1", "engine-2"})
	near, stop := f.start("a", "dc-1")
	f.eventually("the far instance leaves the polling to the near one", func() bool { return len(far.Polled()) == 0 })
	assert.Equal(t, len(near.Polled()), 3)
	f.engines[0].SetLeaving(true)
	f.eventually("the notice reaches the far instance by gossip", func() bool { return far.Leaving("engine-1") })
	stop()
	f.eventually("the far instance polls again when the data centre has no instance", func() bool { return len(far.Polled()) == 3 })
}
