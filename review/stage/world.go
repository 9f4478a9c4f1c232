package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
)

// Values of the pages' example settings and of the sheet of tafelgast-nl.
const (
	maxDescriptors  = 2870
	memoryMegabytes = 206
	contactTime     = 3 * time.Second
	drainTime       = 2 * time.Second
	idleTimeout     = 15 * time.Second
	callerHost      = "ficu95.example"
	tenant          = "huka270"
	apiKey          = "2b9wu3fexd9dnn2ctnfz"
	plainService    = "booking-app"
	streamService   = "menu-llm"
)

// world is a deployment: entry processes, and stand-ins for the systems around them.
type world struct {
	folder   string // Temporary.
	program  string
	trouble  bool
	start    time.Time
	store    *imitator.Store
	duties   *imitator.Duties
	ledger   *imitator.Ledger
	targets  []*imitator.Target
	machines []*machine

	storeAddress, dutyAddress string
	stops                     []func()

	mu     sync.Mutex
	record *os.File
}

// machine is one machine of the class front with its entry process.
type machine struct {
	name, callers, readiness, settings string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	rotated bool // In the rotation of the platform's entrance.
}

// newWorld starts the store and the interface for duties. The handler wraps the store.
func newWorld(program, record string, trouble bool, wrap func(http.Handler) http.Handler) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		folder: folder, program: program, trouble: trouble, start: time.Now(), record: out,
		store: imitator.NewStore(), duties: imitator.NewDuties(), ledger: &imitator.Ledger{},
	}
	var handler http.Handler = w.store
	if wrap != nil {
		handler = wrap(handler)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	w.storeAddress = listener.Addr().String()
	w.stops = append(w.stops, func() { _ = server.Close() })
	address, stop, err := w.duties.Serve("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.dutyAddress = address
	w.stops = append(w.stops, stop)
	return w, nil
}

// close ends all processes and stand-ins that the world started.
func (w *world) close() {
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	for _, stop := range w.stops {
		stop()
	}
	for _, t := range w.targets {
		t.Stop()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.start).Seconds())
	fmt.Fprintf(w.record, format+"\n", values...)
}

// say writes a line to the record and to the standard output.
func (w *world) say(format string, values ...any) {
	w.note(format, values...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, values...)...)
}

// route is a route of the configuration.
type route struct {
	Name, Host, PathPrefix, Kind, Service string
	TimeoutMs, TargetLatencyMs            int
	Priority, MaxAttempts                 int
	PublicAccess, Resumable               bool
}

// configure writes a configuration with the routes and two services.
func (w *world) configure(version int, routes []route) {
	w.store.Write("config", "main", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{
			{"Name": plainService, "HealthPath": "/health", "MaxConnections": 200, "Protocol": "h1", "Tls": false},
			{"Name": streamService, "HealthPath": "/health", "MaxConnections": 720, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idleTimeout.Milliseconds()},
		"Tenants": []map[string]any{{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
}

// addTarget starts a target and registers it. Targets of the streaming service answer with
// a stream of events.
func (w *world) addTarget(id, service string, work time.Duration) (*imitator.Target, error) {
	t := &imitator.Target{ID: id, Service: service, Zone: "nl-west-a", Work: work}
	if service == streamService {
		t.Events = 2
	}
	if err := t.Start(w.ledger, "127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.targets = append(w.targets, t)
	w.store.Write("servers", id, t.Registration("ready"))
	return t, nil
}

// freeAddresses returns loopback addresses with ports that were free a moment ago. They are
// below the range from which the kernel takes the ports of outgoing connections, so that a
// process finds its ports free when it starts again.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(14000)))
		if err != nil {
			if tries > 1000 {
				return nil, err
			}
			continue
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// addMachine writes the settings of a machine, as the deploy file's template does, and
// starts its process.
func (w *world) addMachine(name, zone string) (*machine, error) {
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, callers: a[0], readiness: a[1], settings: filepath.Join(w.folder, name+".jsonc"), rotated: true}
	data, err := json.MarshalIndent(map[string]any{
		"instance": name, "data-centre": zone, "region": "nl-west", "caller-address": a[0], "readiness-address": a[1],
		"metrics-address": a[2], "peer-address": a[3], "store-address": w.storeAddress, "duty-address": w.dutyAddress,
		"lease-milliseconds": 3000, "key-withdrawal-milliseconds": 5000, "leaving-milliseconds": drainTime.Milliseconds(),
		"shutdown-seconds": 8, "retry-share": 0.2, "retry-allowance": 108, "usage-window-seconds": 5,
		"usage-late-seconds": 10, "processor-share": 0.272, "memory-megabytes": memoryMegabytes,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		return nil, err
	}
	w.machines = append(w.machines, m)
	return m, w.startProcess(m)
}

// startProcess starts the process of a machine with the deploy file's command, under the
// descriptor limit of its machine.
func (w *world) startProcess(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(w.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" entry --settings "$1"`, maxDescriptors), w.program, m.settings)
	command.Stdout, command.Stderr = log, log
	m.ended = make(chan struct{})
	if err := command.Start(); err != nil {
		close(m.ended)
		return err
	}
	m.command = command
	ended := m.ended
	go func() { _ = command.Wait(); close(ended) }()
	return nil
}

// signal sends a signal to the machine's process, if it has not ended.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// running reports whether the machine's process runs.
func (m *machine) running() bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// ready asks the machine whether it is ready, as the platform does.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range w.machines {
			all = all && m.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// keepRotation asks each machine once a second, and takes it out of the rotation after
// two misses, until stop is closed.
func (w *world) keepRotation(stop chan struct{}) {
	for _, m := range w.machines {
		go func() {
			misses := 0
			for {
				ready := m.ready()
				if ready {
					misses = 0
				} else {
					misses++
				}
				m.mu.Lock()
				was := m.rotated
				m.rotated = misses < 2
				now := m.rotated
				m.mu.Unlock()
				if was != now {
					w.say("platform: %s in rotation: %t", m.name, now)
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
}

// choose returns the machine of a new connection: a hash of the client picks one of those
// in rotation, or of all if fewer than half are.
func (w *world) choose(shares []float64, hash float64) *machine {
	var list []*machine
	var weights []float64
	for i, m := range w.machines {
		m.mu.Lock()
		rotated := m.rotated
		m.mu.Unlock()
		if rotated {
			list, weights = append(list, m), append(weights, shares[i])
		}
	}
	if 2*len(list) < len(w.machines) {
		list, weights = w.machines, shares
	}
	total := 0.0
	for _, s := range weights {
		total += s
	}
	for i, s := range weights {
		if hash -= s / total; hash < 0 {
			return list[i]
		}
	}
	return list[len(list)-1]
}

// logLines returns the lines of a machine's log that contain a text.
func (w *world) logLines(m *machine, text string) []string {
	data, err := os.ReadFile(filepath.Join(w.folder, m.name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
