package assembler_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against instances that poll the targets of all data centres, and against a
// leaving target of another data centre that goes unnoticed because it is not polled.
func TestTargetsArePolledInTheirDataCentre(t *testing.T) {
	f := newFleet(t)
	remote, _ := f.start("b", "dc-2")
	assert.DeepEqual(t, remote.Polled(), []string{"booking-1", "engine-1", "engine-2"})
	local, stop := f.start("a", "dc-1")
	f.eventually("the remote instance stops polling when the data centre has an instance", func() bool { return len(remote.Polled()) == 0 })
	assert.Equal(t, len(local.Polled()), 3)
	f.engines[0].SetLeaving(true)
	f.eventually("the notice reaches the remote instance by gossip", func() bool { return remote.Leaving("engine-1") })
	stop()
	f.eventually("the remote instance polls again when the data centre has no instance", func() bool { return len(remote.Polled()) == 3 })
}
