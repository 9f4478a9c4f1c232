package commander

import (
	"bytes"
	"context"
	"encoding/json"
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
	"github.com/gypsumwharf/gypsumwharf/distributor"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// testbed is a platform with a folder of declarations for the commands.
type testbed struct {
	t        *testing.T
	dir      string
	platform string
	store    *faker.Platform
}

func newTestbed(t *testing.T) *testbed {
	store := faker.NewPlatform(timekeeper.System())
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	b := &testbed{t: t, dir: t.TempDir(), platform: server.URL, store: store}
	b.declare(1)
	return b
}

func (b *testbed) declare(weight int) {
	text := fmt.Sprintf(`{"data-centres": [{"name": "dc-1", "region": "north"}, {"name": "dc-2", "region": "north"}],
		"classes": [{"name": "chat", "deadline-milliseconds": 1000}],
		"routes": [{"name": "hours", "kind": "service", "path": "/hours", "service": "s", "class": "chat", "calls": [{"method": "GET", "path": "/", "idempotent": true}]}],
		"workspaces": [{"name": "acme", "weight": %d, "keys": [{"name": "main", "hash": %q}], "grants": [{"route": "hours"}]}]}`, weight, assembler.HashKey("k"))
	assert.NilError(b.t, os.WriteFile(filepath.Join(b.dir, "all.json"), []byte(text), 0o600))
}

// run executes a command and checks its exit code and a part of what it prints.
func (b *testbed) run(code int, contains string, args ...string) string {
	b.t.Helper()
	var out, diagnostics bytes.Buffer
	got := Run(b.t.Context(), args, Options{Out: &out, Diagnostics: &diagnostics})
	text := out.String() + diagnostics.String()
	assert.Equal(b.t, got, code, text)
	assert.Assert(b.t, strings.Contains(text, contains), text)
	return text
}

func (b *testbed) startInstance() *assembler.Instance { return b.startInstanceWith("") }

// startInstanceWith starts an instance that requires the operator token, unless it is empty.
func (b *testbed) startInstanceWith(token string) *assembler.Instance {
	hash := ""
	if token != "" {
		hash = assembler.HashKey(token)
	}
	settings, err := configurer.Parse("test", fmt.Appendf(nil, `{
		"instance": "a", "data-centre": "dc-1", "region": "north", "platform-url": %q, "operator-token-hash": %q, "leave-milliseconds": 0, "gossip-milliseconds": 100,
		"caller-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0", "lease-milliseconds": 2000}`, b.platform, hash))
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

// Guards against an apply that overwrites another operator's change, a retried
// apply that takes effect twice, an apply that returns before it is in force, and
// a plan that shows changes right after the apply.
func TestApply(t *testing.T) {
	b := newTestbed(t)
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
	b := newTestbed(t)
	b.run(ExitOK, "hash: ", "key", "new")
	b.run(ExitOK, "generation 1", "apply", b.dir, "--platform", b.platform)
	b.run(ExitIncomplete, "no instance took the withdrawal", "key", "withdraw", assembler.HashKey("k"), "--platform", b.platform)
	i := b.startInstance()
	b.run(ExitUsage, "not a hash", "key", "withdraw", "nonsense", "--instance", i.Addresses().Operator)
	b.run(ExitIncomplete, "data centres not reached: dc-2", "key", "withdraw", assembler.HashKey("k"), "--platform", b.platform)
	b.run(ExitOK, "withdrawn at 1 instances", "key", "withdraw", assembler.HashKey("k"), "--instance", i.Addresses().Operator)
}

// Guards against faulty arguments that are ignored or reported with another exit code.
func TestFaultyArguments(t *testing.T) {
	b := newTestbed(t)
	cases := map[string]struct {
		args     []string
		contains string
	}{
		"check without folder":     {[]string{"check"}, "give one folder of declarations, not 0"},
		"check of two folders":     {[]string{"check", b.dir, b.dir}, "give one folder of declarations, not 2"},
		"check with unknown flag":  {[]string{"check", b.dir, "--platfrom", "x"}, "unknown flag: --platfrom"},
		"plan without folder":      {[]string{"plan"}, "give one folder of declarations, not 0"},
		"plan in unknown form":     {[]string{"plan", b.dir, "--platform", b.platform, "--output", "yaml"}, "--output is text or json"},
		"apply without folder":     {[]string{"apply"}, "give one folder of declarations, not 0"},
		"apply with bad base":      {[]string{"apply", b.dir, "--base", "one"}, `invalid argument "one"`},
		"apply with bad wait":      {[]string{"apply", b.dir, "--wait", "soon"}, `invalid argument "soon"`},
		"status with unknown flag": {[]string{"status", "--instanse", "x"}, "unknown flag: --instanse"},
		"status in unknown form":   {[]string{"status", "--platform", b.platform, "--output", "yaml"}, "--output is text or json"},
		"withdraw without hash":    {[]string{"key", "withdraw"}, "give one hash of a key, not 0"},
		"withdraw of two hashes":   {[]string{"key", "withdraw", assembler.HashKey("k"), assembler.HashKey("l")}, "give one hash of a key, not 2"},
		"withdraw of a key":        {[]string{"key", "withdraw", "gw-KEY"}, `"gw-KEY" is not a hash of a key`},
		"key with unknown flag":    {[]string{"key", "new", "--force"}, "unknown flag: --force"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			at := *b
			at.t = t
			at.run(ExitUsage, tc.contains, tc.args...)
		})
	}
	generation, _, err := distributor.ReadManifest(t.Context(), b.store)
	assert.NilError(t, err)
	assert.Equal(t, generation.Change.Generation, int64(0), "a faulty command changed the configuration")
}

// Guards against superfluous or unknown arguments that end with another exit code
// than the one documented for faulty arguments.
func TestUnknownWordIsAFaultyArgument(t *testing.T) {
	b := newTestbed(t)
	cases := map[string][]string{
		"command":  {"sevre"},
		"status":   {"status", "extra", "--platform", b.platform},
		"timeline": {"timeline", "extra", "--platform", b.platform},
		"key":      {"key", "withdrawn"},
		"key new":  {"key", "new", "extra"},
		"version":  {"version", "extra"},
	}
	for name, args := range cases {
		t.Run(name, func(t *testing.T) {
			at := *b
			at.t = t
			at.run(ExitUsage, "", args...)
		})
	}
}

// Guards against a folder argument that names no declarations and is not
// reported as a faulty argument.
func TestFolderWithoutDeclarationsIsAFaultyArgument(t *testing.T) {
	b := newTestbed(t)
	for name, command := range map[string][]string{
		"check": {"check"}, "plan": {"plan", "--platform", b.platform}, "apply": {"apply", "--platform", b.platform},
	} {
		t.Run(name, func(t *testing.T) {
			at := *b
			at.t = t
			at.run(ExitUsage, "no *.json or *.jsonc files", append(command, t.TempDir())...)
		})
	}
}

// Guards against a command that takes effect and then reports faulty arguments.
func TestUnknownOutputFormHasNoEffect(t *testing.T) {
	b := newTestbed(t)
	b.run(ExitUsage, "--output is text or json", "apply", b.dir, "--platform", b.platform, "--output", "yaml")
	manifest, _, err := distributor.ReadManifest(t.Context(), b.store)
	assert.NilError(t, err)
	assert.Equal(t, manifest.Change.Generation, int64(0), "the configuration was published")
}

// Guards against faulty declarations that are applied, or whose faults are not
// all reported with file, line and field.
func TestFaultyDeclarations(t *testing.T) {
	cases := map[string]struct {
		text   string
		faults []string
	}{
		"syntax":        {"{\n\"workspaces\": [}", []string{"all.json:2: "}},
		"unknown field": {`{"workspaces": [{"name": "a", "wieght": 2}]}`, []string{"all.json:1: ", "wieght: unknown field"}},
		"two faults": {"{\"classes\": [{\"name\": \"chat\"}],\n\"workspaces\": [{\"name\": \"acme\", \"grants\": [{\"route\": \"nowhere\"}], \"wieght\": 2}]}",
			[]string{"all.json:1: classes.0.deadline-milliseconds", "all.json:2: workspaces.0.wieght"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			assert.NilError(t, os.WriteFile(filepath.Join(b.dir, "all.json"), []byte(tc.text), 0o600))
			for _, args := range [][]string{{"check", b.dir}, {"plan", b.dir, "--platform", b.platform}, {"apply", b.dir, "--platform", b.platform}} {
				for _, fault := range tc.faults {
					b.run(ExitUsage, fault, args...)
				}
			}
			b.run(ExitOK, "generation 0", "plan", newTestbed(t).dir, "--platform", b.platform)
		})
	}
}

// Guards against conflicting changes of two operators that are both accepted, and
// against a conflict that does not name the change in force.
func TestTwoOperatorsConflict(t *testing.T) {
	b := newTestbed(t)
	b.run(ExitOK, "generation 1", "apply", b.dir, "--platform", b.platform)
	type outcome struct {
		code        int
		diagnostics string
	}
	done := make(chan outcome)
	for weight := range 2 {
		operator := &testbed{t: t, dir: t.TempDir()}
		operator.declare(weight + 2)
		go func() {
			var out, diagnostics bytes.Buffer
			code := Run(t.Context(), []string{"apply", operator.dir, "--platform", b.platform, "--base", "1"}, Options{Out: &out, Diagnostics: &diagnostics})
			done <- outcome{code, diagnostics.String()}
		}()
	}
	first, second := <-done, <-done
	if first.code != ExitOK {
		first, second = second, first
	}
	assert.Equal(t, first.code, ExitOK, first.diagnostics)
	assert.Equal(t, second.code, ExitConflict, second.diagnostics)
	for _, part := range []string{"in force is generation 2 by " + author(), "workspace acme"} {
		assert.Assert(t, strings.Contains(second.diagnostics, part), second.diagnostics)
	}
}

// Guards against commands that report success without the platform, and against a
// withdrawal that needs the platform.
func TestPlatformUnavailable(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	b := newTestbed(t)
	b.run(ExitOK, "generation 1", "apply", b.dir, "--platform", b.platform)
	i := b.startInstance()
	b.declare(2)
	b.store.SetDown(true)
	for name, address := range map[string]string{"refuses connections": closed.URL, "answers that it is down": b.platform} {
		t.Run(name, func(t *testing.T) {
			at := *b
			at.t = t
			at.run(ExitFailed, "platform unavailable", "plan", b.dir, "--platform", address)
			at.run(ExitFailed, "platform unavailable", "apply", b.dir, "--platform", address)
			at.run(ExitFailed, "give --instance", "status", "--platform", address)
			at.run(ExitFailed, "give --instance", "timeline", "--platform", address)
			at.run(ExitFailed, "give --instance", "key", "withdraw", assembler.HashKey("k"), "--platform", address)
			at.run(ExitOK, "no faults", "check", b.dir)
			at.run(ExitOK, "hash: ", "key", "new")
		})
	}
	b.run(ExitOK, "dc-1", "status", "--platform", b.platform, "--instance", i.Addresses().Operator)
	b.run(ExitOK, "withdrawn at 1 instances", "key", "withdraw", assembler.HashKey("k"), "--platform", b.platform, "--instance", i.Addresses().Operator)
	b.store.SetDown(false)
	b.run(ExitOK, "generation 2 accepted, 1 changes", "apply", b.dir, "--platform", b.platform)
}

// Guards against an apply that reports success while no instance could be queried.
func TestApplySaysThatInstancesDoNotAnswer(t *testing.T) {
	b := newTestbed(t)
	b.run(ExitOK, "generation 1", "apply", b.dir, "--platform", b.platform)
	i := b.startInstanceWith("operators")
	b.declare(2)
	b.run(ExitIncomplete, "not yet in force at", "apply", b.dir, "--instance", i.Addresses().Operator, "--platform", b.platform, "--wait", "1ms")
}

// Guards against an operator token that is not required, or not sent.
func TestOperatorToken(t *testing.T) {
	b := newTestbed(t)
	b.run(ExitOK, "generation 1", "apply", b.dir, "--platform", b.platform)
	i := b.startInstanceWith("operators")
	address := i.Addresses().Operator
	b.run(ExitOK, "no answer", "status", "--instance", address)
	b.run(ExitIncomplete, "status 401", "key", "withdraw", assembler.HashKey("k"), "--instance", address, "--token", "wrong")
	b.run(ExitOK, "dc-1", "status", "--instance", address, "--token", "operators")
	b.run(ExitOK, "withdrawn at 1 instances", "key", "withdraw", assembler.HashKey("k"), "--instance", address, "--token", "operators")
}

// Guards against output that programs cannot read: text mixed into JSON,
// diagnostics on the standard output, or null where a list is expected.
func TestOutputIsJSON(t *testing.T) {
	b := newTestbed(t)
	b.run(ExitOK, "generation 1", "apply", b.dir, "--platform", b.platform)
	i := b.startInstance()
	b.declare(2)
	cases := []struct {
		name   string
		code   int
		args   []string
		fields []string
	}{
		{"check", ExitOK, []string{"check", b.dir}, []string{"data-centres", "routes", "targets", "workspaces"}},
		{"plan", ExitOK, []string{"plan", b.dir, "--platform", b.platform}, []string{"generation", "changes"}},
		{"apply", ExitOK, []string{"apply", b.dir, "--platform", b.platform}, []string{"generation", "apply-id", "changes", "behind"}},
		{"status", ExitOK, []string{"status", "--instance", i.Addresses().Operator}, nil},
		{"timeline", ExitOK, []string{"timeline", "--instance", i.Addresses().Operator}, []string{"events"}},
		{"key new", ExitOK, []string{"key", "new"}, []string{"key", "hash"}},
		{"key withdraw", ExitIncomplete, []string{"key", "withdraw", assembler.HashKey("k"), "--platform", b.platform}, []string{"reached", "not-reachable"}},
		{"version", ExitOK, []string{"version"}, []string{"version", "revision", "go"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var out, diagnostics bytes.Buffer
			code := Run(t.Context(), append(tc.args, "--output", "json"), Options{Out: &out, Diagnostics: &diagnostics})
			assert.Equal(t, code, tc.code, diagnostics.String())
			if tc.fields == nil {
				var list []map[string]any
				assert.NilError(t, json.Unmarshal(out.Bytes(), &list), out.String())
				assert.Equal(t, len(list), 1)
				return
			}
			var object map[string]any
			assert.NilError(t, json.Unmarshal(out.Bytes(), &object), out.String())
			for _, field := range tc.fields {
				assert.Check(t, object[field] != nil, "%s is missing or null in %s", field, out.String())
			}
		})
	}
}
