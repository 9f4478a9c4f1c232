package assembler_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/limiter"
)

// applyChange edits the declarations in force and publishes the result.
func (f *fleet) applyChange(edit func(*declarer.Declaration)) {
	f.t.Helper()
	current, err := assembler.ReadConfiguration(f.t.Context(), f.platform)
	assert.NilError(f.t, err)
	edit(&current.Declaration)
	_, err = assembler.Publish(f.t.Context(), f.platform, "test", "change", current.Declaration)
	assert.NilError(f.t, err)
}

// Guards against a limit that each instance grants in full, and against refused
// requests that run anyway.
func TestLimitHoldsOverTwoInstances(t *testing.T) {
	const limit = 2.0
	f := newFleet(t)
	f.applyChange(func(d *declarer.Declaration) {
		d.Workspaces[1].Limits = &declarer.Limits{RequestsPerSecond: limit}
		d.Classes[0].FirstTokenMilliseconds = d.Classes[0].DeadlineMilliseconds
	})
	a, _ := f.start("a", "dc-1")
	b, _ := f.start("b", "dc-1")
	f.eventually("instances know each other", func() bool { return a.Status().Members == 2 && b.Status().Members == 2 })
	// Shares of an earlier gossip period may still be in force.
	time.Sleep(3 * gossipPeriod)
	started, served := time.Now(), 0
	for n := range 100 {
		at := []*assembler.Instance{a, b}[n%2]
		switch got := f.send(at, http.MethodPost, "/v1/chat/completions", chatBody(n%3 == 0), "Authorization", "Bearer key-zeta"); got.status {
		case http.StatusOK:
			served++
		default:
			assert.Equal(t, got.code(), "over-limit", got.body)
			assert.Equal(t, got.ran(), "not-run")
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Assert(t, strings.Contains(got.body, "requests-per-second"))
		}
	}
	bound := limiter.OvershootFactor*limit*(time.Since(started).Seconds()+1) + 2
	assert.Assert(t, float64(served) <= bound, "%d served, at most %.1f are allowed", served, bound)
	assert.Assert(t, served >= 1)
	assert.Equal(t, len(f.engines[0].Runs())+len(f.engines[1].Runs()), served)
}

// Guards against requests with a distant deadline that are refused although a short
// wait would keep them within the limit.
func TestRequestsWaitForTheirLimit(t *testing.T) {
	f := newFleet(t)
	f.applyChange(func(d *declarer.Declaration) { d.Workspaces[1].Limits = &declarer.Limits{RequestsPerSecond: 8} })
	i, _ := f.start("a", "dc-1")
	started := time.Now()
	for range 20 {
		got := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(true), "Authorization", "Bearer key-zeta")
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	assert.Assert(t, time.Since(started) > time.Second, "20 requests need more than a second at 8 a second and a burst of one second")
}

// Guards against a request that runs although it cannot meet its deadline.
func TestHopelessRequestIsRefusedEarly(t *testing.T) {
	f := newFleet(t)
	f.applyChange(func(d *declarer.Declaration) { d.Classes[0].DeadlineMilliseconds = 10 })
	i, _ := f.start("a", "dc-1")
	got := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(true), "Authorization", acmeKey)
	assert.Equal(t, got.code(), "deadline", got.body)
	assert.Equal(t, got.ran(), "not-run")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(f.engines[0].Runs())+len(f.engines[1].Runs()), 0)
}
