package assembler_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// gossipPeriod is the interval of gossip in the settings of start.
const gossipPeriod = 100 * time.Millisecond

// settleTimeout bounds the wait for a condition that other goroutines fulfil.
const settleTimeout = 30 * time.Second

// fleet is a small deployment on loopback: one platform, two engines, one booking server.
type fleet struct {
	t         *testing.T
	platform  *faker.Platform
	url       string
	engines   [2]*faker.Engine
	booking   *faker.Booking
	instances []*assembler.Instance
	options   assembler.Options
	// leave is the setting leave-milliseconds of instances.
	leave int
	// shutdown is the setting shutdown-seconds of instances; 0 is its default.
	shutdown int
	// silence is the setting stream-silence-milliseconds of instances.
	silence int
	// servers are the servers of the platform, the engines and the booking service, in this order.
	servers []*httptest.Server
}

// newFleet starts the fakes and puts the test's declarations in force.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	return newFleetWith(t, 0)
}

// newFleetWith does the same with a time that bookings take.
func newFleetWith(t *testing.T, bookingTime time.Duration) *fleet {
	t.Helper()
	clock := timekeeper.System()
	f := &fleet{t: t, platform: faker.NewPlatform(clock), booking: faker.NewBooking("booking-1", clock, bookingTime), silence: 1000}
	f.url = f.serve(f.platform.Handler())
	var urls [3]string
	for n := range f.engines {
		f.engines[n] = faker.NewEngine(faker.EngineOptions{Name: fmt.Sprintf("engine-%d", n+1), DecodePerSecond: 2000}, clock)
		urls[n] = f.serve(f.engines[n].Handler())
	}
	urls[2] = f.serve(f.booking.Handler())
	declaration, err := declarer.Parse("test", []byte(declarations(urls)))
	assert.NilError(t, err)
	_, err = assembler.Publish(t.Context(), f.platform, "test", "first", declaration)
	assert.NilError(t, err)
	return f
}

func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.servers = append(f.servers, server)
	f.t.Cleanup(server.Close)
	return server.URL
}

// declarations returns a configuration with two workspaces: acme may call everything,
// zeta only chat.
func declarations(urls [3]string) string {
	return fmt.Sprintf(`{
  "data-centres": [{"name": "dc-1", "region": "north"}, {"name": "dc-2", "region": "north"}],
  "classes": [{"name": "interactive", "priority": 8, "deadline-milliseconds": 20000}],
  "models": [{"name": "small"}],
  "routes": [
    {"name": "chat", "kind": "model", "model": "small", "class": "interactive"},
    {"name": "tables", "kind": "service", "path": "/tables", "service": "booking", "class": "interactive", "calls": [
      {"method": "GET", "path": "/availability", "idempotent": true},
      {"method": "POST", "path": "/reservations", "idempotent": false}]},
    {"name": "hours", "kind": "service", "path": "/hours", "service": "booking", "class": "interactive",
      "open": true, "open-workspace": "acme", "calls": [{"method": "GET", "path": "/", "idempotent": true}]}
  ],
  "targets": [
    {"name": "engine-1", "kind": "engine", "url": %q, "data-centre": "dc-1", "models": ["small"]},
    {"name": "engine-2", "kind": "engine", "url": %q, "data-centre": "dc-1", "models": ["small"]},
    {"name": "booking-1", "kind": "service", "url": %q, "data-centre": "dc-1", "service": "booking"}
  ],
  "workspaces": [
    {"name": "acme", "keys": [{"name": "main", "hash": %q}],
      "grants": [{"route": "chat"}, {"route": "tables"}, {"route": "hours"}]},
    {"name": "zeta", "keys": [{"name": "main", "hash": %q}], "grants": [{"route": "chat"}]}
  ]
}`, urls[0], urls[1], urls[2], assembler.HashKey("key-acme"), assembler.HashKey("key-zeta"))
}

// start runs an instance until the test ends and waits until it is ready; stop ends it gracefully.
func (f *fleet) start(name, dataCentre string) (instance *assembler.Instance, stop func()) {
	f.t.Helper()
	peers := []string{}
	for _, other := range f.instances {
		peers = append(peers, other.Addresses().Peer)
	}
	list, err := json.Marshal(peers)
	assert.NilError(f.t, err)
	settings, err := configurer.Parse("test", fmt.Appendf(nil, `{
		"instance": %q, "data-centre": %q, "region": "north", "platform-url": %q, "peers": %s,
		"caller-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0",
		"leave-milliseconds": %d, "shutdown-seconds": %d, "gossip-milliseconds": 100, "lease-milliseconds": 2000,
		"usage-window-seconds": 1, "stream-silence-milliseconds": %d, "body-bytes": 65536
	}`, name, dataCentre, f.url, list, f.leave, cmp.Or(f.shutdown, 60), f.silence))
	assert.NilError(f.t, err)
	f.options.Clock = timekeeper.System()
	instance, err = assembler.New(settings, f.options)
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.Run(ctx) }()
	ended := false
	stop = func() {
		if !ended {
			ended = true
			cancel()
			assert.NilError(f.t, <-done)
		}
	}
	f.t.Cleanup(stop)
	f.instances = append(f.instances, instance)
	f.eventually("instance ready", func() bool { return instance.Ready() == nil })
	return instance, stop
}

// eventually waits for a condition and fails the test after settleTimeout.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s", settleTimeout, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// answer is the response that a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) code() string {
	var v struct{ Error struct{ Code string } }
	_ = json.Unmarshal([]byte(a.body), &v)
	return v.Error.Code
}

func (a answer) ran() string {
	var v struct{ Error struct{ Ran string } }
	_ = json.Unmarshal([]byte(a.body), &v)
	return v.Error.Ran
}

// send sends one request of a caller. Headers are pairs of name and value.
func (f *fleet) send(i *assembler.Instance, method, path, body string, headers ...string) answer {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+i.Addresses().Caller+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	for n := 0; n+1 < len(headers); n += 2 {
		request.Header.Set(headers[n], headers[n+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

const acmeKey = "Bearer key-acme"

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"chat","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"a table for two"}]}`, stream)
}
