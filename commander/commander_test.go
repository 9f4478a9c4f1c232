package commander

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// bench is a platform with a folder of declarations for the commands.
type bench struct {
	t        *testing.T
	dir      string
	platform string
}

func newBench(t *testing.T) *bench {
	server := httptest.NewServer(faker.NewPlatform(timekeeper.System()).Handler())
	t.Cleanup(server.Close)
	b := &bench{t: t, dir: t.TempDir(), platform: server.URL}
	b.declare(1)
	return b
}

func (b *bench) declare(weight int) {
	text := fmt.Sprintf(`{"data-centres": [{"name": "dc-1", "region": "north"}, {"name": "dc-2", "region": "north"}],
		"classes": [{"name": "chat", "deadline-milliseconds": 1000}],
		"routes": [{"name": "hours", "kind": "service", "path": "/hours", "service": "s", "class": "chat", "calls": [{"method": "GET", "path": "/", "idempotent": true}]}],
		"workspaces": [{"name": "acme", "weight": %d, "keys": [{"name": "main", "hash": %q}], "grants": [{"route": "hours"}]}]}`, weight, assembler.HashKey("k"))
	assert.NilError(b.t, os.WriteFile(filepath.Join(b.dir, "all.json"), []byte(text), 0o600))
}

// run executes a command and checks its exit code and a part of what it prints.
func (b *bench) run(code int, contains string, args ...string) string {
	b.t.Helper()
	var out, diagnostics bytes.Buffer
	got := Run(b.t.Context(), args, &out, &diagnostics)
	text := out.String() + diagnostics.String()
	assert.Equal(b.t, got, code, text)
	assert.Assert(b.t, strings.Contains(text, contains), text)
	return text
}

func (b *bench) startInstance() *assembler.Instance {
	settings, err := configurer.Parse("test", fmt.Appendf(nil, `{
		"instance": "a", "data-centre": "dc-1", "region": "north", "platform-url": %q, "leave-milliseconds": 0, "gossip-milliseconds": 100,
		"caller-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0", "lease-milliseconds": 2000}`, b.platform))
	assert.NilError(b.t, err)
	i, err := assembler.New(settings, assembler.Options{Clock: timekeeper.System()})
	assert.NilError(b.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	b.t.Cleanup(func() {
		cancel()
		assert.NilError(b.t, <-done)
	})
	for deadline := time.Now().Add(30 * time.Second); i.Ready() != nil; time.Sleep(2 * time.Millisecond) {
		assert.Assert(b.t, time.Now().Before(deadline), "instance is not ready")
	}
	return i
}

// Guards against an apply that overwrites another operator's change, a repeated
// one that counts twice, one that ends before it is in force, and a plan that
// shows differences to what was applied.
func TestApply(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "changes to generation 0", "plan", b.dir, "--platform", b.platform)
	b.run(ExitOK, "generation 1 accepted", "apply", b.dir, "--platform", b.platform, "--apply-id", "first")
	b.run(ExitOK, "no changes to generation 1", "plan", b.dir, "--platform", b.platform)
	i := b.startInstance()
	b.declare(2)
	b.run(ExitOK, "~ workspace acme", "plan", b.dir, "--platform", b.platform)
	b.run(ExitConflict, "in force is generation 1 by "+author(), "apply", b.dir, "--platform", b.platform, "--base", "0")
	b.run(ExitOK, "generation 2 accepted, 1 changes", "apply", b.dir, "--platform", b.platform, "--base", "1", "--apply-id", "second")
	assert.Equal(t, i.Status().Generation, int64(2))
	b.declare(3)
	b.run(ExitOK, "generation 2 accepted", "apply", b.dir, "--platform", b.platform, "--apply-id", "second")
	b.run(ExitOK, "~ workspace acme", "plan", b.dir, "--platform", b.platform)
}

// Guards against a withdrawal that skips a data centre without saying so.
func TestKeyWithdrawNamesWhatItMissed(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "hash: ", "key", "new")
	b.run(ExitOK, "generation 1", "apply", b.dir, "--platform", b.platform)
	b.run(ExitIncomplete, "no instance took the withdrawal", "key", "withdraw", assembler.HashKey("k"), "--platform", b.platform)
	i := b.startInstance()
	b.run(ExitUsage, "not a hash", "key", "withdraw", "nonsense", "--instance", i.Addresses().Operator)
	b.run(ExitIncomplete, "data centres not reached: dc-2", "key", "withdraw", assembler.HashKey("k"), "--platform", b.platform)
	b.run(ExitOK, "withdrawn at 1 instances", "key", "withdraw", assembler.HashKey("k"), "--instance", i.Addresses().Operator)
}
