package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/faker"
)

const (
	startTimeout = 30 * time.Second
	callers      = 12
	callsEach    = 25
	killAfter    = 92 // calls; most callers are then making a reservation
)

// deployment is a platform, targets and instances, each in its own process.
type deployment struct {
	t       *testing.T
	program string
	dir     string
	// bookingTime is the time that a booking takes.
	bookingTime time.Duration
	// output receives what processes that are started later write. If it is nil, their
	// diagnostics are shown when the test fails.
	output   *os.File
	platform string
	engines  []string
	booking  string
	client   *http.Client
	// platformProcess is the process of the platform's stand-in.
	platformProcess *exec.Cmd

	mu        sync.Mutex
	instances []*instanceProcess
}

// instanceProcess is one process that runs `serve`.
type instanceProcess struct {
	name, caller, operator, peer string
	process                      *exec.Cmd
}

// Guards against duplicate reservations, answers that are incomplete or belong to
// another request, answers that are not billed, and refusals that falsely say not-run,
// when an instance is killed under load and replaced, while a peer is suspended.
func TestKilledInstanceBreaksNoPromise(t *testing.T) {
	d := newDeployment(t)
	for n := range 3 {
		d.startInstance(fmt.Sprintf("i%d", n+1))
	}
	var l ledger
	l.confirmed = map[string]string{}
	var calls atomic.Int64
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for n := range callsEach {
				if calls.Add(1) == killAfter {
					d.replaceFirst()
				}
				switch n % 3 {
				case 0:
					d.chat(&l)
				default:
					d.reserve(&l, fmt.Sprintf("key-%d-%d", c, n))
				}
			}
		})
	}
	group.Wait()
	d.check(&l)
}

// ledger records the outcomes that the callers saw.
type ledger struct {
	mu        sync.Mutex
	confirmed map[string]string // idempotency key to reservation
	notRun    []string          // request ids refused as not-run
	unknown   int
	complete  int
	broken    int
	invalid   int
}

// bookingTime is the time that a booking takes. Slow reservations make it likely that some
// are in flight when the instance is killed.
const bookingTime = 40 * time.Millisecond

func newDeployment(t *testing.T) *deployment { return newDeploymentWith(t, bookingTime) }

func newDeploymentWith(t *testing.T, bookingTime time.Duration) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), bookingTime: bookingTime, client: &http.Client{
		Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	d.program = filepath.Join(d.dir, "gypsumwharf")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", d.program, ".")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, string(output))
	d.platform, d.platformProcess = d.standin("platform", "p")
	for _, name := range []string{"e1", "e2"} {
		engine, _ := d.standin("engine", name)
		d.engines = append(d.engines, engine)
	}
	d.booking, _ = d.standin("booking", "b1")
	declarations := filepath.Join(d.dir, "declarations")
	assert.NilError(t, os.Mkdir(declarations, 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(declarations, "all.json"), []byte(d.declarations()), 0o600))
	apply := exec.CommandContext(t.Context(), d.program, "apply", declarations, "--platform", "http://"+d.platform)
	output, err = apply.CombinedOutput()
	assert.NilError(t, err, string(output))
	return d
}

func (d *deployment) declarations() string {
	return fmt.Sprintf(`{
  "data-centres": [{"name": "dc-1", "region": "north"}],
  "classes": [{"name": "interactive", "deadline-milliseconds": 10000}],
  "models": [{"name": "small"}],
  "routes": [
    {"name": "chat", "kind": "model", "model": "small", "class": "interactive"},
    {"name": "tables", "kind": "service", "path": "/tables", "service": "booking", "class": "interactive",
      "calls": [{"method": "POST", "path": "/reservations", "idempotent": false}]}
  ],
  "targets": [
    {"name": "e1", "kind": "engine", "url": "http://%s", "data-centre": "dc-1", "models": ["small"]},
    {"name": "e2", "kind": "engine", "url": "http://%s", "data-centre": "dc-1", "models": ["small"]},
    {"name": "b1", "kind": "service", "url": "http://%s", "data-centre": "dc-1", "service": "booking", "concurrency": 64}
  ],
  "workspaces": [{"name": "acme", "keys": [{"name": "main", "hash": %q}], "grants": [{"route": "chat"}, {"route": "tables"}]}]
}`, d.engines[0], d.engines[1], d.booking, assembler.HashKey("key-acme"))
}

// addresses counts the addresses that freeAddress has returned.
var addresses atomic.Int64

// freeAddress returns a loopback address whose port was free when it was checked.
func (d *deployment) freeAddress() string {
	// Of a host of its own: ports of outgoing connections are of 127.0.0.1.
	n := addresses.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%120, n/250, n%250+1))
	assert.NilError(d.t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// run starts the program; it is killed when the test ends.
func (d *deployment) run(args ...string) *exec.Cmd {
	var output bytes.Buffer
	c := exec.Command(d.program, args...)
	c.Stderr = &output
	if d.output != nil {
		c.Stdout, c.Stderr = d.output, d.output
	}
	assert.NilError(d.t, c.Start())
	d.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		if d.t.Failed() {
			d.t.Logf("%v:\n%s", args, tail(output.String(), 3000))
		}
	})
	return c
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func (d *deployment) standin(kind, name string) (address string, process *exec.Cmd) {
	address = d.freeAddress()
	process = d.run("standin", kind, "--address", address, "--name", name, "--delay", d.bookingTime.String())
	path := map[string]string{"platform": "/instances", "engine": "/load", "booking": "/load"}[kind]
	d.waitFor("http://" + address + path)
	return address, process
}

func (d *deployment) waitFor(url string) {
	d.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for {
		response, err := d.client.Get(url)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("%s did not answer within %s: %v", url, startTimeout, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (d *deployment) startInstance(name string) {
	s := &instanceProcess{name: name, caller: d.freeAddress(), operator: d.freeAddress(), peer: d.freeAddress()}
	d.mu.Lock()
	peers := []string{}
	for _, other := range d.instances {
		peers = append(peers, other.peer)
	}
	d.mu.Unlock()
	list, err := json.Marshal(peers)
	assert.NilError(d.t, err)
	settings := filepath.Join(d.dir, name+".jsonc")
	text := fmt.Sprintf(`{
  "instance": %q, "data-centre": "dc-1", "region": "north", "platform-url": "http://%s", "peers": %s,
  "caller-address": %q, "operator-address": %q, "peer-address": %q,
  "gossip-milliseconds": 200, "lease-milliseconds": 3000, "usage-window-seconds": 2
}`, name, d.platform, list, s.caller, s.operator, s.peer)
	assert.NilError(d.t, os.WriteFile(settings, []byte(text), 0o600))
	s.process = d.run("serve", "--settings", settings)
	d.waitFor("http://" + s.caller + "/readyz")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = append(d.instances, s)
}

// replaceFirst kills the first instance without warning and starts another one.
func (d *deployment) replaceFirst() {
	d.mu.Lock()
	killed := d.instances[0]
	d.instances = d.instances[1:]
	d.mu.Unlock()
	peer := d.instances[0].process.Process
	assert.Check(d.t, peer.Signal(syscall.SIGSTOP))
	time.Sleep(suspension)
	assert.Check(d.t, killed.process.Process.Signal(syscall.SIGKILL))
	assert.Check(d.t, peer.Signal(syscall.SIGCONT))
	d.startInstance("i4")
}

// address chooses a live instance round-robin, as a load balancer does.
func (d *deployment) address(turn int64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instances[turn%int64(len(d.instances))].caller
}

var turns atomic.Int64

func (d *deployment) send(path, body, key string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address(turns.Add(1))+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer key-acme")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(response.Body)
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
	return response, err
}

func (d *deployment) chat(l *ledger) {
	response, err := d.send("/v1/chat/completions", `{"model":"chat","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.broken++
		return
	}
	data, _ := io.ReadAll(response.Body)
	id := response.Header.Get("X-Request-Id")
	switch {
	case response.StatusCode != http.StatusOK:
		l.recordRefusal(response, data)
	case !bytes.Contains(data, []byte("[DONE]")) || !bytes.Contains(data, []byte(id+"/7 ")):
		l.invalid++
	default:
		l.complete++
	}
}

// recordRefusal records a refusal that says not-run and returns its code. The caller
// holds mu.
func (l *ledger) recordRefusal(response *http.Response, data []byte) (code string) {
	var body struct{ Error struct{ Code, Ran string } }
	_ = json.Unmarshal(data, &body)
	if body.Error.Ran == "not-run" {
		l.notRun = append(l.notRun, response.Header.Get("X-Request-Id"))
	}
	return body.Error.Code
}

// reserve retries a reservation with its idempotency key until it is confirmed or
// its outcome stays unknown.
func (d *deployment) reserve(l *ledger, key string) {
	for range 40 {
		response, err := d.send("/tables/reservations", `{"guest":"`+key+`"}`, key)
		if err == nil && d.recordReservation(l, key, response) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unknown++
}

func (d *deployment) recordReservation(l *ledger, key string, response *http.Response) bool {
	data, _ := io.ReadAll(response.Body)
	l.mu.Lock()
	defer l.mu.Unlock()
	if response.StatusCode != http.StatusCreated {
		if l.recordRefusal(response, data) != "outcome-unknown" {
			return false
		}
		l.unknown++
		return true
	}
	var body struct{ Reservation string }
	if json.Unmarshal(data, &body) != nil || body.Reservation == "" {
		l.invalid++
	}
	l.confirmed[key] = body.Reservation
	return true
}

// check compares what callers saw with what targets recorded.
func (d *deployment) check(l *ledger) {
	t := d.t
	byKey := map[string][]faker.Reservation{}
	for _, r := range get[[]faker.Reservation](d, d.booking, "/records") {
		byKey[r.IdempotencyKey] = append(byKey[r.IdempotencyKey], r)
	}
	ran := map[string]bool{}
	for _, engine := range d.engines {
		for _, run := range get[[]faker.Run](d, engine, "/runs") {
			ran[run.Request] = true
		}
	}
	for key, reservations := range byKey {
		assert.Check(t, len(reservations) == 1, "%s was reserved %d times", key, len(reservations))
		for _, r := range reservations {
			ran[r.Request] = true
		}
	}
	for key, id := range l.confirmed {
		assert.Check(t, len(byKey[key]) == 1 && byKey[key][0].ID == id, "%s: caller has %q, target has %v", key, id, byKey[key])
	}
	for _, id := range l.notRun {
		assert.Check(t, !ran[id], "request %s was refused as not-run but ran", id)
	}
	answered := l.complete + len(l.confirmed)
	d.eventually(fmt.Sprintf("%d answers are billed", answered), func() bool { return d.billedCalls() >= answered })
	assert.Check(t, l.invalid == 0, "%d answers were incomplete or belonged to another request", l.invalid)
	assert.Check(t, len(l.confirmed) > callers*callsEach/3, "only %d reservations were confirmed", len(l.confirmed))
	t.Logf("confirmed %d, unknown %d, complete streams %d, broken %d, refused as not-run %d",
		len(l.confirmed), l.unknown, l.complete, l.broken, len(l.notRun))
}

func get[T any](d *deployment, address, path string) T {
	var v T
	response, err := d.client.Get("http://" + address + path)
	assert.NilError(d.t, err)
	defer response.Body.Close()
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&v))
	return v
}
