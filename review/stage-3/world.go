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
	"sync"
	"syscall"
	"time"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
)

// Bounds of the deployment, as on the sheet of kidcare-kochi.
const (
	contactTime   = 3 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	lapseTime     = 3 * heartbeatTime
	host          = "ficu95.example"
	apiKey        = "2b9wu3fexd9dnn2ctnfz"
	tenant        = "huka270"
	readyTimeout  = 20 * time.Second
	stopTimeout   = 10 * time.Second
	restartDelay  = 300 * time.Millisecond
	firstPort     = 10000
	portCount     = 20000
)

// zones are the data centres of the deployment.
var zones = []string{"kochi-a", "kochi-b", "tvm-c"}

// world holds the stand-ins and the processes of a case.
type world struct {
	program string
	folder  string
	store   *imitator.Store
	duties  *imitator.Duties
	stops   []func()
	began   time.Time

	storeAddress string
	dutyAddress  string

	mu        sync.Mutex
	record    *os.File
	instances []*instance
}

// instance is one process of the program.
type instance struct {
	name   string
	caller string // Address for clients.
	ready  string
	path   string // Of its settings.
	log    *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time // When the process was started last.
}

func newWorld(program, record string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, folder: folder, store: imitator.NewStore(), duties: imitator.NewDuties(), began: time.Now(), record: f}
	w.store.SetPageSize(500)
	address, stop, err := w.store.Serve("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress, w.stops = address, append(w.stops, stop)
	address, stop, err = w.duties.Serve("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.dutyAddress, w.stops = address, append(w.stops, stop)
	return w, nil
}

// notef writes a line with the time since the beginning to the record.
func (w *world) notef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// repeat calls a function at intervals until the case ends.
func (w *world) repeat(interval time.Duration, f func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-time.After(interval):
				f()
			case <-done:
				return
			}
		}
	}()
	w.stops = append(w.stops, func() { close(done) })
}

// freeAddress returns a loopback address with a port that is free for TCP and UDP. It is below
// the range from which the kernel takes ports, so that no connection takes it meanwhile.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		c, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = c.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

// settings returns the settings of an instance, as the template of the deploy file gives them.
func (w *world) settings(name, zone string) (map[string]any, error) {
	s := map[string]any{
		"instance": name, "data-centre": zone, "region": "kerala-south", "store-address": w.storeAddress, "duty-address": w.dutyAddress,
		"lease-milliseconds": 3000, "key-withdrawal-milliseconds": 5000, "leaving-milliseconds": 2000, "shutdown-seconds": 8,
		"retry-share": 0.2, "retry-allowance": 113, "usage-window-seconds": 5, "usage-late-seconds": 10, "heartbeat-milliseconds": 1200,
		"order-headroom": 12, "order-by-urgency": true, "processor-share": 0.272, "descriptors": 2940, "memory-megabytes": 206,
	}
	for _, key := range []string{"caller-address", "readiness-address", "metrics-address", "peer-address"} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s[key] = address
	}
	return s, nil
}

// addInstance starts an instance in a zone.
func (w *world) addInstance(zone string) error {
	name := fmt.Sprintf("front-%s-%d", zone, len(w.instances)+1)
	s, err := w.settings(name, zone)
	if err != nil {
		return err
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	i := &instance{name: name, caller: s["caller-address"].(string), ready: s["readiness-address"].(string), path: filepath.Join(w.folder, name+".jsonc")}
	if err := os.WriteFile(i.path, data, 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(w.folder, name+".log")); err != nil {
		return err
	}
	w.instances = append(w.instances, i)
	return w.start(i)
}

// start starts the process of an instance.
func (w *world) start(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd = exec.Command(w.program, "entry", "--settings", i.path)
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	w.notef("%s starts", i.name)
	i.started = time.Now()
	return i.cmd.Start()
}

// inTouch reports whether the process has run for the contact time before a time.
func (i *instance) inTouch(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return at.Sub(i.started) > contactTime
}

// killAll kills all instances at once and starts them again after a short delay.
func (w *world) killAll() error {
	w.notef("all instances are killed")
	for _, i := range w.instances {
		if err := i.cmd.Process.Kill(); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		_ = i.cmd.Wait() // It was killed.
	}
	time.Sleep(restartDelay)
	for _, i := range w.instances {
		if err := w.start(i); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range w.instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(w.instances) {
			w.notef("%d instances are ready", ready)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d instances are ready after %s", ready, len(w.instances), readyTimeout)
		}
	}
}

func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (w *world) close() error {
	var ended sync.WaitGroup
	for _, i := range w.instances {
		if i.cmd == nil || i.cmd.Process == nil {
			continue
		}
		ended.Go(func() {
			_ = i.cmd.Process.Signal(syscall.SIGCONT)
			_ = i.cmd.Process.Signal(syscall.SIGTERM)
			kill := time.AfterFunc(stopTimeout, func() { _ = i.cmd.Process.Kill() })
			defer kill.Stop()
			_ = i.cmd.Wait()
			_ = i.log.Close()
		})
	}
	ended.Wait()
	for _, stop := range w.stops {
		stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs:", w.folder)
	}
	return w.record.Close()
}
