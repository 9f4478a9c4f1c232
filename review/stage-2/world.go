package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
)

// Bounds of the deployment, as the platform's page on settings shows them.
const (
	leaseMilliseconds      = 3000
	withdrawalMilliseconds = 5000
	leavingMilliseconds    = 2000
	shutdownSeconds        = 8
	configurationApplied   = 2 * time.Second
	inTouchAfter           = 3 * time.Second
	readyTimeout           = 20 * time.Second
	host                   = "host.example"
)

// world is a small deployment: stand-ins of the platform and of the servers, and processes
// of the program. All addresses are on the loopback.
type world struct {
	program string
	folder  string
	record  *record
	store   *imitator.Store
	duties  *imitator.Duties
	ledger  *imitator.Ledger
	storeAt string
	dutyAt  string
	servers []*imitator.Target
	nodes   []*node
	stops   []func()
}

// node is one machine that takes callers' requests.
type node struct {
	name, callers, ready string
	settings             string
	command              *exec.Cmd
	ended                chan struct{}
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// newWorld starts the stand-ins.
func newWorld(program string, r *record) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{program: program, folder: folder, record: r, store: imitator.NewStore(), duties: imitator.NewDuties(), ledger: &imitator.Ledger{}}
	w.stops = append(w.stops, func() { _ = os.RemoveAll(folder) })
	var stop func()
	if w.storeAt, stop, err = w.store.Serve("127.0.0.1:0"); err != nil {
		return w, err
	}
	w.stops = append(w.stops, stop)
	if w.dutyAt, stop, err = w.duties.Serve("127.0.0.1:0"); err != nil {
		return w, err
	}
	w.stops = append(w.stops, stop)
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, s := range w.servers {
		s.Stop()
	}
	for _, stop := range w.stops {
		stop()
	}
}

// addServer starts a server and registers it.
func (w *world) addServer(s *imitator.Target) error {
	if err := s.Start(w.ledger, "127.0.0.1:0"); err != nil {
		return err
	}
	w.servers = append(w.servers, s)
	w.store.Write("servers", s.ID, s.Registration("ready"))
	return nil
}

// route is a route of the configuration.
func route(prefix, kind, service string, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"Name": "r-" + prefix, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout.Milliseconds(), "TargetLatencyMs": 300,
		"Priority": 0, "Service": service, "MaxAttempts": attempts, "PublicAccess": false, "SessionAffinity": false, "Resumable": false,
	}
}

// configure writes a configuration; its acknowledgement is the return.
func (w *world) configure(version int, tenants []map[string]any, services []string, routes ...map[string]any) {
	w.configureIdle(version, 15*time.Second, tenants, services, routes...)
}

// configureIdle does the same with a limit on how long clients may stay idle.
func (w *world) configureIdle(version int, idle time.Duration, tenants []map[string]any, services []string, routes ...map[string]any) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"Name": s, "HealthPath": "/health", "MaxConnections": 200})
	}
	c := map[string]any{
		"Version": version, "Routes": routes, "Services": list, "Tenants": tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idle.Milliseconds()},
	}
	w.store.Write("config", "main", c)
	text, _ := json.Marshal(c) // The values are plain.
	w.record.line("configuration %d is acknowledged: %s", version, text)
}

// freePort returns an address on the loopback with a free port.
func freePort(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addNode starts a process of the role 'entry' with the fields of deploy/entry.jsonc.
func (w *world) addNode(name, zone string) (*node, error) {
	n := &node{name: name, settings: filepath.Join(w.folder, name+".jsonc")}
	addresses := map[string]string{}
	for _, a := range []string{"caller-address", "readiness-address", "metrics-address", "peer-address"} {
		network := "tcp"
		if a == "peer-address" {
			network = "udp"
		}
		address, err := freePort(network)
		if err != nil {
			return nil, err
		}
		addresses[a] = address
	}
	settings := map[string]any{
		"instance": name, "data-centre": zone, "region": "nl-west", "store-address": w.storeAt, "duty-address": w.dutyAt,
		"lease-milliseconds": leaseMilliseconds, "key-withdrawal-milliseconds": withdrawalMilliseconds, "leaving-milliseconds": leavingMilliseconds,
		"shutdown-seconds": shutdownSeconds, "retry-share": 0.2, "retry-allowance": 108, "usage-window-seconds": 5, "usage-late-seconds": 10,
		"heartbeat-milliseconds": 1200, "order-headroom": 12, "order-by-urgency": true, "processor-share": 0.272, "descriptors": 2870, "memory-megabytes": 206,
	}
	for k, v := range addresses {
		settings[k] = v
	}
	n.callers, n.ready = addresses["caller-address"], addresses["readiness-address"]
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, w.start(n)
}

// start starts the process of a node, which ends at the latest when its parent does.
func (w *world) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(w.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.command = exec.Command(w.program, "entry", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), n.command
	n.ended = ended
	go func() {
		err := command.Wait()
		w.record.line("process of %s has ended: %v", n.name, err)
		close(ended)
	}()
	w.record.line("process of %s is started", n.name)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

func (n *node) kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.ended
}

// isReady asks the readiness check once.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.record.line("%s is ready", n.name)
	}
	return nil
}
