package main_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
)

const (
	// slowWork is the time that targets take for a request of these tests.
	slowWork = 1200 * time.Millisecond
	// signalInterval is the time between signals of a series.
	signalInterval = 40 * time.Millisecond
)

// stoppable is a process of an instance, and how its callers send a request.
type stoppable struct {
	command  *exec.Cmd
	settings string
	send     func(number int) (status int, err error)
}

// Guards against a signal that ends the process at once, with all its requests, while a
// graceful shutdown waits for them: the default action of a signal whose handler was
// unregistered. The settings file may be changed, missing or invalid then.
func TestSignalsDuringShutdownEndNoRequest(t *testing.T) {
	for kind, start := range map[string]func(*testing.T, *os.File) *stoppable{"entry": startEntry, "serve": startServe} {
		for name, series := range map[string][]syscall.Signal{
			"hangups":         {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP},
			"second stop":     {syscall.SIGTERM},
			"interrupt":       {syscall.SIGINT},
			"all overlapping": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM},
		} {
			for file, change := range map[string]func(path string) error{
				"kept": func(string) error { return nil },
				"changed": func(path string) error {
					return replaceInFile(path, `"data-centre"`, `"log-level": "warn", "data-centre"`)
				},
				"invalid": func(path string) error { return os.WriteFile(path, []byte(`{"instance"`), 0o600) },
				"missing": os.Remove,
			} {
				if file != "kept" && name != "hangups" {
					continue
				}
				t.Run(kind+", "+name+", settings "+file, func(t *testing.T) {
					t.Parallel()
					s := start(t, nil)
					var callers sync.WaitGroup
					for n := range 8 {
						callers.Go(func() {
							status, err := s.send(n)
							assert.Check(t, err == nil && status/100 == 2, "request %d: %d %v", n, status, err)
						})
						time.Sleep(signalInterval)
					}
					assert.NilError(t, s.command.Process.Signal(syscall.SIGTERM))
					assert.NilError(t, change(s.settings))
					for _, x := range series {
						time.Sleep(signalInterval)
						assert.NilError(t, s.command.Process.Signal(x))
					}
					callers.Wait()
					assert.NilError(t, s.command.Wait())
				})
			}
		}
	}
}

// Guards against an instance that ends when its settings are reloaded while it serves, and
// against a hangup that leaves a command without settings running.
func TestHangup(t *testing.T) {
	for kind, start := range map[string]func(*testing.T, *os.File) *stoppable{"entry": startEntry, "serve": startServe} {
		t.Run(kind+" reloads", func(t *testing.T) {
			t.Parallel()
			s := start(t, nil)
			for n := range 3 {
				assert.NilError(t, s.command.Process.Signal(syscall.SIGHUP))
				status, err := s.send(n)
				assert.Check(t, err == nil && status/100 == 2, "request %d: %d %v", n, status, err)
			}
		})
	}
	t.Run("demo ends", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		demo := d.run("demo", "--declarations", "../../examples/tafelgast", "--seconds", "60")
		time.Sleep(2 * time.Second)
		for range 3 { // The first interrupts it; the others must not cut its end short.
			assert.NilError(t, demo.Process.Signal(syscall.SIGHUP))
			time.Sleep(signalInterval)
		}
		ended := make(chan error, 1)
		go func() { ended <- demo.Wait() }()
		select {
		case <-ended:
			assert.Check(t, demo.ProcessState.Exited(), "%s", demo.ProcessState)
		case <-time.After(startTimeout):
			t.Fatal("the demo goes on")
		}
	})
}

// Guards against an instance that ends, with all its requests, when the reader of its log
// has ended: by default a process dies of the signal that a write to a closed pipe raises.
func TestInstancesOutliveTheReaderOfTheirLog(t *testing.T) {
	for kind, start := range map[string]func(*testing.T, *os.File) *stoppable{"entry": startEntry, "serve": startServe} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			assert.NilError(t, err)
			assert.NilError(t, reader.Close())
			s := start(t, writer)
			for n := range 3 {
				assert.NilError(t, s.command.Process.Signal(syscall.SIGHUP)) // Writes a line.
				status, err := s.send(n)
				assert.Check(t, err == nil && status/100 == 2, "request %d: %d %v", n, status, err)
			}
		})
	}
}

func replaceInFile(path, old, replacement string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600)
}

// startServe starts an instance of serve before a slow booking server. Its output goes to a
// file, if there is one.
func startServe(t *testing.T, output *os.File) *stoppable {
	d := newDeploymentWith(t, slowWork)
	d.output = output
	d.startInstance("i1")
	i := d.instances[0]
	return &stoppable{command: i.process, settings: filepath.Join(d.dir, "i1.jsonc"), send: func(n int) (int, error) {
		response, err := d.send("/tables/reservations", "{}", fmt.Sprint("key-", n))
		if err != nil {
			return 0, err
		}
		return response.StatusCode, nil
	}}
}

// startEntry does the same with an instance of entry.
func startEntry(t *testing.T, output *os.File) *stoppable {
	d := newDeployment(t) // For the program and free addresses.
	d.output = output
	store, ledger := imitator.NewStore(), &imitator.Ledger{}
	target := &imitator.Target{ID: "t1", Service: "s", Zone: "a", Work: slowWork}
	assert.NilError(t, target.Start(ledger, "127.0.0.1:0"))
	t.Cleanup(target.Stop)
	store.Write("servers", target.ID, target.Registration("ready"))
	store.Write("config", "main", map[string]any{
		"Version":  1,
		"Routes":   []any{map[string]any{"Name": "book", "Host": "h.example", "PathPrefix": "/", "Kind": "unsafe", "TimeoutMs": 9000, "MaxAttempts": 1, "Service": "s", "PublicAccess": true}},
		"Services": []any{map[string]any{"Name": "s"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	storeAddress, stop, err := store.Serve("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(stop)
	caller, ready := d.freeAddress(), d.freeAddress()
	settings := filepath.Join(d.dir, "entry.jsonc")
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `{
  "instance": "i1", "data-centre": "a", "region": "r", "caller-address": %q, "readiness-address": %q, "metrics-address": %q,
  "store-address": %q, "shutdown-seconds": 8, "memory-megabytes": 206
}`, caller, ready, d.freeAddress(), storeAddress), 0o600))
	process := d.run("entry", "--settings", settings)
	d.waitFor("http://" + ready + "/ready")
	return &stoppable{command: process, settings: settings, send: func(n int) (int, error) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+caller+"/book", nil)
		if err != nil {
			return 0, err
		}
		request.Host = "h.example"
		request.Header.Set("X-Request-Id", fmt.Sprint("request-", n))
		response, err := d.client.Do(request)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}}
}
