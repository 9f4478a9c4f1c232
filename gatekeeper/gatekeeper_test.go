package gatekeeper_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/gatekeeper"
	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/platform"
	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
	"github.com/gypsumwharf/gypsumwharf/recorder"
)

var errBrokenListener = errors.New("listener is broken")

// brokenEntrance stops serving when it is told to.
type brokenEntrance struct{ broken chan struct{} }

func (e brokenEntrance) Serve(net.Listener) error       { <-e.broken; return errBrokenListener }
func (e brokenEntrance) CloseConnections()              {}
func (e brokenEntrance) Shutdown(context.Context) error { return nil }

// Guards against a process that neither serves nor ends after its entrance has failed,
// and keeps its duties.
func TestAProcessEndsWithItsEntrance(t *testing.T) {
	store, duties := imitator.NewStore(), imitator.NewDuties()
	storeAddress, stopStore, err := store.Serve("127.0.0.1:0")
	assert.NilError(t, err)
	defer stopStore()
	dutyAddress, stopDuties, err := duties.Serve("127.0.0.1:0")
	assert.NilError(t, err)
	defer stopDuties()
	settings := configurer.Entry{
		Instance: "i1", DataCentre: "a", Region: "r", CallerAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", MetricsAddress: "127.0.0.1:0",
		StoreAddress: storeAddress, DutyAddress: dutyAddress, LeaseMilliseconds: 1000, KeyWithdrawalMilliseconds: 4000,
		LeavingMilliseconds: 2000, ShutdownSeconds: 3, UsageWindowSeconds: 1, UsageLateSeconds: 5, MemoryMegabytes: 206,
	}
	g := gatekeeper.New(settings, gatekeeper.Platform{
		Store: platform.NewStore(storeAddress), Duties: platform.NewDuties(dutyAddress, "i1"), ConfigurationKind: "config", TargetsKind: "servers",
	}, func(recorder.Event) {})
	entrance := brokenEntrance{make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- g.Run(t.Context(), entrance) }()
	deadline := time.After(10 * time.Second)
	for len(store.Objects("leases")) == 0 {
		select {
		case <-deadline:
			t.Fatal("the instance took no lease")
		case <-time.After(10 * time.Millisecond):
		}
	}
	close(entrance.broken)
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, errBrokenListener)
	case <-time.After(5 * time.Second):
		t.Fatal("the process runs on without its entrance")
	}
	for name, value := range store.Objects("leases") {
		lease, err := leaser.Decode(value)
		assert.NilError(t, err)
		assert.Check(t, lease.Released, "%s is still held", name)
	}
}
