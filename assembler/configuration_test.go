package assembler_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/recorder"
)

// withdrawKey withdraws a key through an instance's operator interface.
func (f *fleet) withdrawKey(i *assembler.Instance, key string) assembler.WithdrawalResult {
	f.t.Helper()
	body, err := json.Marshal(assembler.WithdrawalOrder{Hash: assembler.HashKey(key), Operator: "ann"})
	assert.NilError(f.t, err)
	response, err := http.Post("http://"+i.Addresses().Operator+"/keys/withdraw", "application/json", bytes.NewReader(body))
	assert.NilError(f.t, err)
	defer response.Body.Close()
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
	var result assembler.WithdrawalResult
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(&result))
	return result
}

// waitForPeers waits until every instance sees all others as live.
func (f *fleet) waitForPeers() {
	f.eventually("instances know each other", func() bool {
		for _, i := range f.instances {
			if len(i.Status().Peers) != len(f.instances)-1 {
				return false
			}
		}
		return true
	})
}

// Guards P4 and P12 while the store is unavailable: a withdrawn key that an instance
// still accepts, an instance that cannot start, a withdrawal that is never stored, and
// a stored configuration that differs from the applied one.
func TestWithdrawalAndStartDuringOutage(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", "dc-1")
	b, _ := f.start("b", "dc-1")
	c, _ := f.start("c", "dc-2")
	f.waitForPeers()
	current, err := assembler.ReadConfiguration(t.Context(), f.platform)
	assert.NilError(t, err)
	changed := current.Declaration
	changed.Workspaces = append([]declarer.Workspace(nil), changed.Workspaces...)
	changed.Workspaces[0].Weight = 5
	_, err = assembler.Publish(t.Context(), f.platform, "test", "second", changed)
	assert.NilError(t, err)
	stored, err := assembler.ReadConfiguration(t.Context(), f.platform)
	assert.NilError(t, err)
	assert.Equal(t, len(declarer.Diff(changed, stored.Declaration)), 0)
	f.eventually("generation 2 everywhere", func() bool {
		return a.Status().Generation == 2 && b.Status().Generation == 2 && c.Status().Generation == 2
	})

	f.platform.SetDown(true)
	assert.DeepEqual(t, f.withdrawKey(a, "key-zeta").Reached, []string{"a", "b", "c"})
	d, _ := f.start("d", "dc-2")
	assert.Equal(t, d.Status().Generation, int64(2))
	for _, i := range []*assembler.Instance{a, b, c, d} {
		refused := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(false), "Authorization", "Bearer key-zeta")
		assert.Equal(t, refused.code(), "key-invalid", refused.body)
		assert.Equal(t, refused.ran(), "not-run")
		served := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(false), "Authorization", acmeKey)
		assert.Equal(t, served.status, http.StatusOK, served.body)
	}
	f.platform.SetDown(false)
	f.eventually("withdrawal stored", func() bool {
		list, err := f.platform.List(t.Context(), "withdrawals/")
		return err == nil && len(list) == 1
	})
}

// Guards P6 end to end: counts that are lost when an instance stops or while the store
// is unavailable, counted twice, or reported again with different values.
func TestEachAnswerIsBilledOnce(t *testing.T) {
	f := newFleet(t)
	f.start("a", "dc-1")
	_, stopB := f.start("b", "dc-1")
	f.start("c", "dc-1")
	f.waitForPeers()
	const answers = 30
	for n := range answers {
		if n == answers/2 {
			stopB()
			f.instances = append(f.instances[:1], f.instances[2])
		}
		f.platform.SetDown(n > answers/2 && n < answers-3)
		reply := f.send(f.instances[n%len(f.instances)], http.MethodPost, "/v1/chat/completions", chatBody(n%2 == 0), "Authorization", acmeKey)
		assert.Equal(t, reply.status, http.StatusOK, reply.body)
	}
	f.platform.SetDown(false)
	billed := func() (calls, tokens int64) {
		seen := map[string]bool{}
		for _, r := range f.platform.Reports() {
			if !seen[r.Window] {
				seen[r.Window] = true
				for _, line := range append(r.Lines, r.Late...) {
					calls, tokens = calls+line.Calls, tokens+line.OutputTokens
				}
			}
		}
		return calls, tokens
	}
	f.eventually("all answers billed", func() bool {
		calls, _ := billed()
		return calls >= answers
	})
	windows := len(f.platform.Reports())
	f.eventually("two more windows", func() bool { return len(f.platform.Reports()) >= windows+2 })
	calls, tokens := billed()
	assert.Equal(t, calls, int64(answers))
	assert.Equal(t, tokens, int64(answers*8))
	first := map[string]string{}
	for _, r := range f.platform.Reports() {
		r.Token = 0
		data, err := json.Marshal(r)
		assert.NilError(t, err)
		if first[r.Window] == "" {
			first[r.Window] = string(data)
		}
		assert.Equal(t, first[r.Window], string(data))
	}
	events := 0
	for _, i := range f.instances {
		for _, e := range i.Timeline().Events {
			if e.Code == recorder.WindowSealed {
				events++
			}
		}
	}
	assert.Assert(t, events > 0)
}
