package assembler

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// rig is a deployment on loopback with engines that may crash.
type rig struct {
	engines   map[string]*faker.Engine
	mu        sync.Mutex
	crashed   []string
	instances []*Instance
}

const crashPrompt = "this prompt ends the engine "

func newRig(t *testing.T, engines, instances int) *rig {
	g := &rig{engines: map[string]*faker.Engine{}}
	platform := faker.NewPlatform(timekeeper.System())
	var targets, workspaces []string
	for i := range engines {
		targets = append(targets, g.startEngine(t, fmt.Sprintf("engine-%d", i)))
	}
	for _, name := range []string{"guest", "host"} {
		workspaces = append(workspaces, fmt.Sprintf(`{"name": %q, "keys": [{"name": "k", "hash": %q}], "grants": [{"route": "chat"}]}`, name, HashKey(name)))
	}
	d, err := declarer.Parse("test", fmt.Appendf(nil, `{
		"data-centres": [{"name": "a", "region": "r"}], "classes": [{"name": "c", "deadline-milliseconds": 20000}], "models": [{"name": "m"}],
		"routes": [{"name": "chat", "kind": "model", "model": "m", "class": "c"}], "targets": [%s], "workspaces": [%s]}`,
		strings.Join(targets, ","), strings.Join(workspaces, ",")))
	assert.NilError(t, err)
	_, err = Publish(t.Context(), platform, "test", "test", d)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	for i := range instances {
		s, err := configurer.Parse("test", fmt.Appendf(nil, `{"instance": "i%d", "data-centre": "a", "region": "r", "platform-url": "http://127.0.0.1:1",
			"caller-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0", "leave-milliseconds": 1}`, i))
		assert.NilError(t, err)
		instance, err := New(s, Options{Clock: timekeeper.System(), Platform: platform})
		assert.NilError(t, err)
		g.instances = append(g.instances, instance)
	}
	for _, instance := range g.instances {
		// The list must be complete before the first instance reads it.
		listed := storer.ListedInstance{Name: instance.settings.Instance, DataCentre: "a", PeerAddress: instance.Addresses().Peer}
		assert.NilError(t, platform.Register(t.Context(), listed))
	}
	for _, instance := range g.instances {
		group.Go(func() { _ = instance.Run(ctx) })
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, instance := range g.instances {
		for !instance.knowsTargetsAndPeers(engines, instances-1) {
			assert.Assert(t, time.Now().Before(deadline), "instances are not ready")
			time.Sleep(5 * time.Millisecond)
		}
	}
	return g
}

// knowsTargetsAndPeers reports whether the instance knows as many targets and peers.
func (i *Instance) knowsTargetsAndPeers(targets, peers int) bool {
	return i.Ready() == nil && i.routing.router.RouteTargets("chat") == targets && len(i.membership.remoteAddresses()) == peers
}

func (g *rig) startEngine(t *testing.T, name string) string {
	e := faker.NewEngine(faker.EngineOptions{Name: name, DecodePerSecond: 200, OutputTokens: 20}, timekeeper.System())
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	e.SetFault(func(r faker.Run) faker.Misbehaviour {
		if !strings.Contains(r.Body, crashPrompt) {
			return faker.Misbehaviour{}
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.crashed = append(g.crashed, name)
		_ = s.Config.Close()
		return faker.Misbehaviour{DropAfter: -1}
	})
	g.engines[name] = e
	return fmt.Sprintf(`{"name": %q, "kind": "engine", "url": %q, "data-centre": "a", "models": ["m"], "prefill-tokens-per-second": 20000}`, name, s.URL)
}

// ask sends a prompt through an instance and returns status and body.
func (g *rig) ask(t *testing.T, instance int, workspace, prompt string) (int, string) {
	url := "http://" + g.instances[instance%len(g.instances)].Addresses().Caller + "/v1/chat/completions"
	body := fmt.Sprintf(`{"model": "m", "messages": [{"role": "user", "content": %q}]}`, prompt)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+workspace)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data)
}

// Guards against missing quarantine in the request path: a caller repeatedly sends
// variations of a request that crashes engines through different instances, while other
// requests run on the same engines.
func TestCrashingRequestEndToEnd(t *testing.T) {
	g := newRig(t, 6, 3)
	var group sync.WaitGroup
	for w := range 6 {
		group.Go(func() {
			for n := range 15 {
				status, body := g.ask(t, w+n, "guest", fmt.Sprint("an ordinary question ", w, " ", n, strings.Repeat(" and more", 30)))
				// A request on a crashed engine may fail and is retried; none may be quarantined.
				assert.Check(t, !strings.Contains(body, "quarantined"), body)
				if status != http.StatusOK {
					status, body = g.ask(t, w+n, "guest", fmt.Sprint("an ordinary question ", w, " ", n, strings.Repeat(" and more", 30)))
				}
				assert.Check(t, status == http.StatusOK, body)
			}
		})
	}
	last := ""
	for n := range 8 {
		_, last = g.ask(t, n, "host", strings.Repeat(crashPrompt, 40)+fmt.Sprint(" try ", n))
	}
	group.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Logf("crashed engines: %v; last answer: %s", g.crashed, last)
	assert.Assert(t, len(g.crashed) <= 2, "%v", g.crashed)
	assert.Assert(t, strings.Contains(last, `"quarantined"`), last)
}

// Guards against new work at a leaving target more than 2 s after its notice (P10).
func TestLeavingTargetEndToEnd(t *testing.T) {
	g := newRig(t, 3, 3)
	leaving := g.engines["engine-1"]
	leaving.SetLeaving(true)
	noticeTime := timekeeper.System().Now()
	for n := 0; timekeeper.System().Now() < noticeTime+3*timekeeper.Second; n++ {
		status, body := g.ask(t, n, "guest", fmt.Sprint("question ", n))
		assert.Equal(t, status, http.StatusOK, body)
	}
	for _, r := range leaving.Runs() {
		assert.Assert(t, r.Arrived <= noticeTime+2*timekeeper.Second, "work %d ms after the notice", r.Arrived-noticeTime)
	}
}
