package authenticator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func keyName(i int) string { return fmt.Sprintf("secret-key-%04d", i) }

// catalogueOf returns a catalogue with one workspace for each key; even ones refuse when cut off.
func catalogueOf(generation int64, keys ...int) *declarer.Catalogue {
	d := declarer.Declaration{
		Classes: []declarer.Class{{Name: "chat", DeadlineMilliseconds: 1000}},
		Routes:  []declarer.Route{{Name: "model", Class: "chat"}, {Name: "other", Class: "chat"}, {Name: "open", Class: "chat", Open: true, OpenWorkspace: "w0"}},
	}
	for _, i := range keys {
		w := declarer.Workspace{Name: fmt.Sprint("w", i), Keys: []declarer.Key{{Name: "k", Hash: HashKey(keyName(i)).String()}}, Grants: []declarer.Grant{{Route: "model"}, {Route: "open"}}}
		if i%2 == 0 {
			w.CutOff = declarer.WorkspaceCutOffRefuse
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return declarer.NewCatalogue(generation, d)
}

func route(c *declarer.Catalogue, name string) declarer.Route {
	for _, r := range c.Declaration().Routes {
		if r.Name == name {
			return r
		}
	}
	return declarer.Route{}
}

// Guards P4: a request runs only with a key of its workspace, and is not refused
// with one.
func TestCheck(t *testing.T) {
	c := catalogueOf(1, 0, 1, 2)
	set := NewSet()
	set.Add(Withdrawal{Hash: HashKey(keyName(2)), Operator: "ann"})
	a := New(set)
	for name, v := range map[string]struct {
		route    string
		keys     []string
		standing Connectivity
		want     string
		err      error
	}{
		"key of a workspace":          {"model", []string{keyName(1)}, Connected, "w1", nil},
		"same key in two places":      {"model", []string{keyName(1), keyName(1)}, Connected, "w1", nil},
		"two different keys":          {"model", []string{keyName(1), keyName(0)}, Connected, "", ErrAmbiguous},
		"no key":                      {"model", nil, Connected, "", ErrNoKey},
		"unknown key":                 {"model", []string{"other"}, Connected, "", ErrUnknown},
		"hash in place of the key":    {"model", []string{HashKey(keyName(1)).String()}, Connected, "", ErrUnknown},
		"withdrawn key":               {"model", []string{keyName(2)}, Connected, "", ErrWithdrawn},
		"route not granted":           {"other", []string{keyName(1)}, Connected, "", ErrNotGranted},
		"open route without a key":    {"open", nil, Connected, "w0", nil},
		"open route, another's key":   {"open", []string{keyName(1)}, Connected, "w0", nil},
		"open route, isolated":        {"open", nil, Isolated, "w0", nil},
		"isolated":                    {"model", []string{keyName(1)}, Isolated, "", ErrIsolated},
		"cut off, contract serves":    {"model", []string{keyName(1)}, CutOff, "w1", nil},
		"cut off, contract refuses":   {"model", []string{keyName(0)}, CutOff, "", ErrCutOff},
		"withdrawn and isolated":      {"model", []string{keyName(2)}, Isolated, "", ErrWithdrawn},
		"open route while cut off":    {"open", nil, CutOff, "w0", nil},
		"unknown key while cut off":   {"model", []string{"other"}, CutOff, "", ErrUnknown},
		"not granted while connected": {"other", []string{keyName(0)}, Connected, "", ErrNotGranted},
	} {
		t.Run(name, func(t *testing.T) {
			caller, err := a.Check(c, route(c, v.route), v.keys, v.standing)
			assert.ErrorIs(t, err, v.err)
			assert.Equal(t, caller.Workspace.Name, v.want)
		})
	}
	assert.NilError(t, a.Recheck(c, Hash{}))
	assert.ErrorIs(t, a.Recheck(c, HashKey(keyName(2))), ErrWithdrawn)
	assert.ErrorIs(t, a.Recheck(c, HashKey("other")), ErrUnknown)
}

// Guards against an isolated instance that serves, and against a cut-off data centre
// that stops serving.
func TestStanding(t *testing.T) {
	for name, v := range map[string]struct {
		contact Reachability
		want    Connectivity
	}{
		"all in contact":             {Reachability{13, 3, 9900, 9900, 9900}, Connected},
		"platform down":              {Reachability{13, 3, 9900, 9900, 0}, Connected},
		"remotes and platform down":  {Reachability{13, 3, 9900, 0, 0}, CutOff},
		"no contact":                 {Reachability{13, 3, 7000, 0, 0}, Isolated},
		"only the platform":          {Reachability{13, 3, 0, 0, 9900}, Connected},
		"just below the bound":       {Reachability{13, 3, 7001, 6001, 0}, Connected},
		"one instance, cut off":      {Reachability{0, 3, 0, 0, 0}, CutOff},
		"one data centre, no store":  {Reachability{13, 0, 9900, 0, 0}, Connected},
		"one instance of the system": {Reachability{0, 0, 0, 0, 0}, Connected},
	} {
		assert.Equal(t, v.contact.Connectivity(10000), v.want, name)
	}
}

// Guards against a key that reaches a target, whichever header or parameter carried
// it, and against a query that loses other parameters.
func TestStripHidesKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[A-Za-z0-9+/=&;% -]{8,40}`).Filter(func(s string) bool { return strings.TrimSpace(s) == s }).Draw(t, "key")
		header, query := http.Header{"Accept": {"text/plain"}}, "a=1&b=%20"
		switch rapid.IntRange(0, 6).Draw(t, "place") {
		case 0:
			header.Set("authorization", "bearer  "+key)
		case 1:
			header.Set("x-api-key", key)
		case 2:
			header.Add("API-KEY", key)
		case 3:
			query += "&api_key=" + url.QueryEscape(key)
		case 4:
			query = "KEY=" + url.QueryEscape(key) + "&" + query
		case 5:
			query += ";%6bey=" + url.QueryEscape(key)
		case 6:
			header.Set("X-Api-Key", key)
			header.Set("Referer", "https://example.test/?api_key="+url.QueryEscape(key))
		}
		assert.DeepEqual(t, Keys(header, query)[0], key)
		stripped, rest := Strip(header, query)
		assert.Equal(t, rest, "a=1&b=%20")
		assert.DeepEqual(t, stripped, http.Header{"Accept": {"text/plain"}})
	})
}

// member is one simulated instance.
type member struct {
	set       *Set
	keeper    *StoreWriter
	catalogue *declarer.Catalogue
	withdrawn map[int]bool
	now       timekeeper.Millis
}

func newMember(c *declarer.Catalogue) *member {
	s := NewSet()
	return &member{set: s, keeper: NewStoreWriter(s), catalogue: c, withdrawn: map[int]bool{}}
}

// Withdraw passes the request through JSON, as a connection does.
func (m *member) Withdraw(_ context.Context, r WithdrawRequest) (WithdrawAnswer, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return WithdrawAnswer{}, err
	}
	var received WithdrawRequest
	if err := json.Unmarshal(data, &received); err != nil {
		return WithdrawAnswer{}, err
	}
	answer, _, err := m.set.Receive(received, CatalogueKeys{m.catalogue}, m.now)
	return answer, err
}

// check verifies that no key that was ever withdrawn at the instance is accepted.
func (m *member) check() error {
	for i := range 6 {
		m.withdrawn[i] = m.withdrawn[i] || m.set.Has(HashKey(keyName(i)))
		_, err := New(m.set).Check(m.catalogue, route(m.catalogue, "model"), []string{keyName(i)}, Connected)
		if m.withdrawn[i] && err == nil {
			return errors.Errorf("withdrawn key %d was accepted", i)
		}
	}
	return nil
}

// exercise lets four instances withdraw, exchange, store, load and prune in random
// order, while keys leave the configuration for good and the store fails.
func exercise(draw func(n int) int) error {
	ctx := context.Background()
	platform := faker.NewPlatform(timekeeper.System())
	catalogues := []*declarer.Catalogue{catalogueOf(1, 0, 1, 2, 3, 4, 5)}
	members := []*member{}
	for range 4 {
		members = append(members, newMember(catalogues[0]))
	}
	now := timekeeper.Millis(1000)
	for range 80 {
		a, b := members[draw(4)], members[draw(4)]
		a.now, b.now = now, now
		switch draw(8) {
		case 0:
			a.set.Add(Withdrawal{Hash: HashKey(keyName(draw(6))), Stamp: timekeeper.Stamp{Wall: now + timekeeper.Millis(draw(3))}, Operator: fmt.Sprint("op-", draw(2))})
		case 1, 2:
			_, _ = a.set.Push(ctx, b, a.set.List()[:draw(a.set.Len()+1)], CatalogueKeys{a.catalogue}, now)
		case 3:
			_ = a.keeper.Save(ctx, platform, CatalogueKeys{a.catalogue}, now)
		case 4:
			_ = a.set.Load(ctx, platform, CatalogueKeys{a.catalogue}, now)
		case 5:
			now += timekeeper.Millis(draw(20)) * timekeeper.Hour
			a.set.Prune(CatalogueKeys{a.catalogue}, now)
		case 6:
			if last := catalogues[len(catalogues)-1]; draw(3) == 0 && len(last.Declaration().Workspaces) > 1 {
				var remaining []int
				for _, w := range last.Declaration().Workspaces[1:] {
					remaining = append(remaining, int(w.Name[1]-'0'))
				}
				catalogues = append(catalogues, catalogueOf(last.Generation()+1, remaining...))
			}
			if next := catalogues[draw(len(catalogues))]; next.Generation() > a.catalogue.Generation() {
				a.catalogue = next
			}
		case 7:
			limit := draw(3)
			platform.SetFault(func(string, string) faker.Fault { return faker.Fault(min(draw(6), limit)) })
		}
		for _, m := range members {
			if err := m.check(); err != nil {
				return err
			}
		}
	}
	return converge(ctx, platform, members, catalogues[len(catalogues)-1], now)
}

// converge ends the faults of the store, exchanges all sets, and verifies that all
// instances and the store agree on the keys that are still declared.
func converge(ctx context.Context, platform *faker.Platform, members []*member, c *declarer.Catalogue, now timekeeper.Millis) error {
	platform.SetFault(nil)
	members[0].set.Prune(CatalogueKeys{c}, now)
	members[0].keeper = NewStoreWriter(members[0].set)
	if err := members[0].keeper.Save(ctx, platform, CatalogueKeys{c}, now); err != nil {
		return err
	}
	for range 2 {
		for _, a := range members {
			a.catalogue, a.now = c, now
			a.set.Prune(CatalogueKeys{c}, now)
			for _, b := range members {
				b.catalogue, b.now = c, now
				if _, err := a.set.Push(ctx, b, a.set.List(), CatalogueKeys{c}, now); err != nil {
					return err
				}
			}
		}
	}
	if err := members[0].keeper.Save(ctx, platform, CatalogueKeys{c}, now); err != nil {
		return err
	}
	restarted := newMember(c)
	if err := restarted.set.Load(ctx, platform, CatalogueKeys{c}, now); err != nil {
		return err
	}
	for i, m := range members {
		if m.set.Digest() != members[0].set.Digest() {
			return errors.Errorf("instance %d has set %v, instance 0 has %v", i, m.set.List(), members[0].set.List())
		}
		for _, w := range m.set.List() {
			if (CatalogueKeys{c}).HasKey(w.Hash) && !restarted.set.Has(w.Hash) {
				return errors.Errorf("a withdrawal of a declared key is not in the store")
			}
		}
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// Guards P4 in any order of withdrawals, exchanges, outages, loads and pruning.
func TestWithdrawnKeyNeverPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := exercise(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a merge whose result depends on order or repetition.
func TestMergeIsOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Withdrawal
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			list = append(list, Withdrawal{
				Hash: HashKey(keyName(rapid.IntRange(0, 5).Draw(t, "key"))), Stamp: timekeeper.Stamp{Wall: timekeeper.Millis(rapid.IntRange(0, 3).Draw(t, "wall"))},
				Operator: rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator"), AbsentSince: timekeeper.Millis(rapid.IntRange(0, 3).Draw(t, "gone")),
			})
		}
		one, two := NewSet(), NewSet()
		one.Merge(list)
		for _, w := range rapid.Permutation(list).Draw(t, "order") {
			two.Add(w)
			two.Add(w)
		}
		assert.Equal(t, one.Digest(), two.Digest())
		decoded, err := Encode(one.List()).Decode()
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, one.List())
		truncated := Encode(list)
		truncated.Data = truncated.Data[:len(truncated.Data)-1]
		assert.ErrorIs(t, truncated.Check(), ErrMalformed)
	})
}

// Guards against a withdrawal that is not in force everywhere within 11 s. The
// instance that the operator reached pushes it to all others; in the second row of
// the log, 30% of these pushes are lost. The baseline is that each instance polls
// the store every 10 s.
func TestSpreadOfAWithdrawal(t *testing.T) {
	const delivery, gossip, tick = 20 * timekeeper.Millisecond, 500 * timekeeper.Millisecond, 10 * timekeeper.Millisecond
	for _, size := range []struct{ instances, centres int }{{14, 4}, {340, 6}} {
		for _, lost := range []int{0, 30} { // lost pushes, in per cent
			r := rand.New(rand.NewPCG(1, uint64(size.instances+lost)))
			members := make([]*member, size.instances)
			due := make([]timekeeper.Millis, size.instances)
			baseline := timekeeper.Millis(0)
			for i := range members {
				members[i] = newMember(catalogueOf(1, 0))
				due[i] = delivery + timekeeper.Millis(r.IntN(int(gossip)))
				baseline = max(baseline, timekeeper.Millis(r.IntN(10000)))
			}
			w := []Withdrawal{{Hash: HashKey(keyName(0)), Operator: "ann"}}
			members[0].set.Merge(w)
			for i := range members[1:] { // the first push, directly or through a relay
				if r.IntN(100) >= lost {
					members[i+1].set.Merge(w)
				}
			}
			now, remaining := delivery, size.instances
			for ; remaining > 0; now += tick {
				remaining = 0
				for i, m := range members {
					if now >= due[i] {
						due[i] += gossip
						peer := members[r.IntN(len(members))]
						_, err := m.set.Push(t.Context(), peer, nil, CatalogueKeys{m.catalogue}, now)
						assert.NilError(t, err)
						_, err = peer.set.Push(t.Context(), m, nil, CatalogueKeys{m.catalogue}, now)
						assert.NilError(t, err)
					}
				}
				for _, m := range members {
					if m.set.Len() == 0 {
						remaining++
					}
				}
			}
			t.Logf("%d instances, %d%% of pushes lost: in force after %s, baseline %s and %d store reads", size.instances, lost, now-tick, baseline, size.instances)
			assert.Assert(t, now <= 11*timekeeper.Second)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	keys := make([]int, 26000)
	for i := range keys {
		keys[i] = i
	}
	c := catalogueOf(1, keys...)
	a := New(NewSet())
	for i := range 1000 {
		a.Set().Add(Withdrawal{Hash: HashKey(fmt.Sprint(i)), Operator: "ann"})
	}
	r, key := route(c, "model"), []string{keyName(777)}
	b.ReportMetric(float64(len(Encode(a.Set().List()).Data))/1000, "bytes/withdrawal")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Check(c, r, key, Connected); err != nil {
			b.Fatal(err)
		}
	}
}
