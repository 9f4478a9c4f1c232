package distributor

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// sample returns n workspaces of about 1 KiB, each with two keys and eight grants.
func sample(n int) declarer.Declaration { return sampleWith(n, 8) }

func sampleWith(n, routes int) declarer.Declaration {
	d := declarer.Declaration{
		DataCentres: []declarer.DataCentre{{Name: "a", Region: "r"}},
		Classes:     []declarer.Class{{Name: "chat", DeadlineMilliseconds: 1000}},
	}
	for r := range routes {
		name := fmt.Sprintf("route-%d", r)
		d.Models = append(d.Models, declarer.Model{Name: name, Version: "1"})
		d.Routes = append(d.Routes, declarer.Route{Name: name, Kind: declarer.RouteKindModel, Model: name, Class: "chat"})
	}
	for i := range n {
		w := declarer.Workspace{Name: fmt.Sprintf("workspace-%05d", i), Weight: 1, CutOff: declarer.WorkspaceCutOffServe, Limits: &declarer.Limits{RequestsPerSecond: 5}}
		for k := range 2 {
			w.Keys = append(w.Keys, declarer.Key{Name: fmt.Sprintf("key-%d", k), Hash: digestOf([]byte(w.Name + fmt.Sprint(k)))})
		}
		for r := range routes {
			w.Grants = append(w.Grants, declarer.Grant{Route: fmt.Sprintf("route-%d", r), Class: "chat"})
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return d
}

// reweigh returns the declaration with one workspace changed.
func reweigh(d declarer.Declaration, i int, weight float64) declarer.Declaration {
	d.Workspaces = append([]declarer.Workspace(nil), d.Workspaces...)
	d.Workspaces[i].Weight = weight
	return d
}

// Guards against a field of a contract that the fast decoding of shards drops.
func TestWorkspaceMirrorsDeclaration(t *testing.T) {
	declared, mirror := reflect.TypeFor[declarer.Workspace](), reflect.TypeFor[workspace]()
	assert.Equal(t, declared.NumField(), mirror.NumField())
	for i := range declared.NumField() {
		assert.Equal(t, declared.Field(i).Name+" "+string(declared.Field(i).Tag), mirror.Field(i).Name+" "+string(mirror.Field(i).Tag))
	}
	full := declarer.Workspace{
		CutOff: declarer.WorkspaceCutOffRefuse, Grants: []declarer.Grant{{Class: "c", Route: "r"}}, Keys: []declarer.Key{{Hash: digestOf(nil), Name: "k"}},
		Limits: &declarer.Limits{ConcurrentRequests: 1, RequestsPerSecond: 2, TokensPerSecond: 3}, Name: "w",
		PricePerCall: 4, PricePerMillionTokens: 5, Reclaimable: true, SpendCeilingPerHour: 6, Weight: 7,
	}
	for _, w := range []declarer.Workspace{full, {Name: "w", Weight: 1}} {
		data, err := json.Marshal(w)
		assert.NilError(t, err)
		decoded, err := decodeWorkspace(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, w)
	}
}

type local struct {
	d      *Distributor
	broken bool
	served int
}

func (l *local) Fetch(_ context.Context, r FetchRequest) (FetchAnswer, error) {
	if l.broken {
		return FetchAnswer{}, errors.New("unreachable")
	}
	data, err := json.Marshal(l.d.Answer(r))
	if err != nil {
		return FetchAnswer{}, err
	}
	l.served += len(data)
	var answer FetchAnswer
	return answer, json.Unmarshal(data, &answer)
}

func publish(t *testing.T, o storer.Objects, d declarer.Declaration, base int64) Change {
	t.Helper()
	c, err := Publish(t.Context(), o, timekeeper.NewManual(1).Clock(), Publication{Declaration: d, Author: "ann", ApplyID: fmt.Sprint("apply-", base), Base: base})
	assert.NilError(t, err)
	return c
}

// Guards against a change of one contract that rewrites many shards, shards over
// the limit, and contents that differ after split and adoption.
func TestOneChangeRewritesOneShard(t *testing.T) {
	platform := faker.NewPlatform(timekeeper.System())
	before := sample(2000)
	publish(t, platform, before, 0)
	first, _, err := ReadManifest(t.Context(), platform)
	assert.NilError(t, err)
	d := New()
	adopted, err := d.ReadStore(t.Context(), platform)
	assert.NilError(t, err)
	assert.Assert(t, adopted)
	assert.Equal(t, len(declarer.Diff(before, d.Catalogue().Declaration())), 0)
	after := reweigh(before, 77, 9)
	calls := platform.Calls()
	publish(t, platform, after, 1)
	assert.Equal(t, platform.Calls()["put"]-calls["put"], 2)
	assert.Equal(t, platform.Calls()["get"]-calls["get"], 1)
	second, _, err := ReadManifest(t.Context(), platform)
	assert.NilError(t, err)
	changed := 0
	for i, r := range second.Shards {
		if r != first.Shards[i] {
			changed++
		}
	}
	assert.Equal(t, changed, 1)
	signal, cancel := d.Subscribe()
	defer cancel()
	_, err = d.ReadStore(t.Context(), platform)
	assert.NilError(t, err)
	<-signal
	changes := declarer.Diff(before, d.Catalogue().Declaration())
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Name, "workspace-00077")
	small := after
	small.Workspaces = append([]declarer.Workspace{}, after.Workspaces[:40]...)
	publish(t, platform, small, 2)
	_, err = d.ReadStore(t.Context(), platform)
	assert.NilError(t, err)
	assert.Equal(t, len(declarer.Diff(small, d.Catalogue().Declaration())), 0)
}

// interposed runs a hook before each write, where another process may be faster.
type interposed struct {
	storer.Objects
	before func(name string)
}

func (i interposed) Put(ctx context.Context, name string, value []byte, v storer.Version) (storer.Version, error) {
	i.before(name)
	return i.Objects.Put(ctx, name, value, v)
}

// Guards against an operator who overwrites another's change, or is not told whose it was.
func TestTwoOperatorsRace(t *testing.T) {
	platform := faker.NewPlatform(timekeeper.System())
	publish(t, platform, sample(3), 0)
	clock := timekeeper.NewManual(5).Clock()
	raced := false
	slow := interposed{platform, func(name string) {
		if name == ManifestName && !raced {
			raced = true
			_, err := Publish(t.Context(), platform, clock, Publication{Declaration: reweigh(sample(3), 1, 7), Author: "bob", ApplyID: "b", Summary: "raise weight", Base: 1})
			assert.NilError(t, err)
		}
	}}
	_, err := Publish(t.Context(), slow, clock, Publication{Declaration: reweigh(sample(3), 2, 4), Author: "ann", ApplyID: "a", Base: 1})
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.InForce, Change{Generation: 2, Author: "bob", ApplyID: "b", Summary: "raise weight", Time: 5})
	assert.Assert(t, strings.Contains(err.Error(), "generation 2 by bob (raise weight"))
}

// Guards against an apply reported as failed, or made twice, when answers are
// lost after the change took effect and another change follows at once.
func TestLostAnswerIsRecognised(t *testing.T) {
	platform := faker.NewPlatform(timekeeper.System())
	lost := 0
	platform.SetFault(func(operation, _ string) faker.Fault {
		if operation == "put" && lost < 2 {
			lost++
			return faker.FaultLostAnswer
		}
		return faker.NoFault
	})
	c := publish(t, platform, sample(3), 0)
	assert.Equal(t, c.Generation, int64(1))
	publish(t, platform, sample(4), 1)
	again := publish(t, platform, sample(3), 0)
	assert.Equal(t, again, c)
}

// Guards against an instance that cannot start during an outage, or that starts
// with an older generation than a peer has.
func TestStartDuringOutage(t *testing.T) {
	platform := faker.NewPlatform(timekeeper.System())
	old, recent := &local{d: New()}, &local{d: New()}
	for _, l := range []*local{old, recent} {
		publish(t, platform, sample(3), old.d.Generation())
		_, err := l.d.ReadStore(t.Context(), platform)
		assert.NilError(t, err)
	}
	platform.SetDown(true)
	d := New()
	assert.ErrorIs(t, d.Start(t.Context(), platform, nil), storer.ErrUnavailable)
	assert.NilError(t, d.Start(t.Context(), platform, []Peer{old, &local{broken: true}, recent}))
	assert.Equal(t, d.Generation(), int64(2))
}

// world is a set of instances and operators that act in any order while the store fails.
type world struct {
	draw      func(n int) int
	manual    *timekeeper.Manual
	platform  *faker.Platform
	instances []*local
	highest   []int64
	published map[string]declarer.Declaration
	manifests [][]byte
	applies   int
	faults    int
}

func newWorld(draw func(n int) int, anyGeneration bool) *world {
	w := &world{draw: draw, manual: timekeeper.NewManual(1), published: map[string]declarer.Declaration{}, highest: make([]int64, 4)}
	w.platform = faker.NewPlatform(w.manual.Clock())
	for range w.highest {
		l := &local{d: New()}
		l.d.anyGeneration = anyGeneration
		w.instances = append(w.instances, l)
	}
	return w
}

// publish applies a random change; nested changes and sweeps run between its writes.
func (w *world) publish(depth int) error {
	ctx := context.Background()
	base, _, err := ReadManifest(ctx, w.platform)
	if err != nil {
		return nil
	}
	p := Publication{Declaration: reweigh(sampleWith(6, 1), w.draw(6), float64(1+w.draw(3))), Author: "ann", ApplyID: fmt.Sprint(w.applies), Base: base.Change.Generation}
	p.Floor = w.floor()
	w.applies++
	w.published[p.ApplyID] = p.Declaration
	slow := interposed{w.platform, func(string) {
		switch w.draw(6) {
		case 0:
			if depth > 0 {
				err = errors.Wrap(w.publish(depth-1), "nested")
			}
		case 1:
			w.manual.Advance(timekeeper.Millis(w.draw(2)) * 40 * timekeeper.Minute)
			_, _ = w.instances[0].d.Sweep(ctx, w.platform, w.manual.Clock().Now())
		}
	}}
	change, publishErr := Publish(ctx, slow, w.manual.Clock(), p)
	if err != nil {
		return err
	}
	w.platform.SetFault(nil)
	m, _, _ := ReadManifest(ctx, w.platform)
	made, ok := m.made(p.ApplyID)
	var conflict *ConflictError
	switch {
	case publishErr == nil && (!ok || made != change):
		return errors.Errorf("apply %s succeeded, but the manifest does not name it", p.ApplyID)
	case errors.As(publishErr, &conflict) && ok:
		return errors.Errorf("apply %s took effect and was reported as a conflict", p.ApplyID)
	}
	return nil
}

func (w *world) floor() int64 {
	var floor int64
	for _, l := range w.instances {
		floor = max(floor, l.d.Generation())
	}
	return floor
}

func (w *world) step() error {
	ctx := context.Background()
	a, b := w.instances[w.draw(len(w.instances))], w.instances[w.draw(len(w.instances))]
	switch w.draw(8) {
	case 0, 1:
		if err := w.publish(1); err != nil {
			return err
		}
	case 2:
		_, _ = a.d.ReadStore(ctx, w.platform)
	case 3:
		_, _ = a.d.FetchFrom(ctx, b)
	case 4: // a shard is lost on the way
		answer := b.d.Answer(FetchRequest{Manifest: true})
		if answer.Manifest != nil {
			_, _ = a.d.Adopt(*answer.Manifest, nil)
		}
	case 5:
		w.manual.Advance(timekeeper.Millis(w.draw(30)) * timekeeper.Hour)
		_, _ = a.d.Sweep(ctx, w.platform, w.manual.Clock().Now())
	case 6: // the manifest is restored from a backup
		if object, err := w.platform.Get(ctx, ManifestName); err == nil {
			w.manifests = append(w.manifests, object.Value)
			if old := w.manifests[w.draw(len(w.manifests))]; w.draw(4) == 0 && w.complete(old) {
				_, _ = w.platform.Put(ctx, ManifestName, old, object.Version)
			}
		}
	case 7:
		w.faults = w.draw(3)
		w.platform.SetFault(func(string, string) faker.Fault { return faker.Fault(min(w.draw(9), w.faults)) })
	}
	return w.check()
}

// complete reports whether the store still has all shards of a manifest.
func (w *world) complete(data []byte) bool {
	m, err := decode[Manifest](data)
	for _, r := range m.Shards {
		if err == nil {
			_, err = w.platform.Get(context.Background(), ShardPrefix+r.Digest)
		}
	}
	return err == nil
}

// check verifies what must hold after every step.
func (w *world) check() error {
	for i, l := range w.instances {
		g := l.d.Generation()
		if g < w.highest[i] {
			return errors.Errorf("instance %d reverted from generation %d to %d", i, w.highest[i], g)
		}
		if g == w.highest[i] {
			continue
		}
		w.highest[i] = g
		want := w.published[l.d.Manifest().Change.ApplyID]
		if l.d.Catalogue().Generation() != g || len(declarer.Diff(want, l.d.Catalogue().Declaration())) > 0 {
			return errors.Errorf("instance %d has a part of generation %d in force", i, g)
		}
	}
	w.platform.SetFault(nil)
	m, _, err := ReadManifest(context.Background(), w.platform)
	for _, r := range m.Shards {
		if _, getErr := w.platform.Get(context.Background(), ShardPrefix+r.Digest); getErr != nil {
			return errors.Wrapf(getErr, "shard %s of %s", r.Prefix, m.Change)
		}
	}
	return err
}

// Guards P12 in any order of applies, reads, fetches, sweeps, outages, lost
// answers and restored manifests.
func TestGenerationsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, false)
		for range 60 {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a check that cannot see a revert: without the strictly-newer rule it must fail.
func TestWithoutStrictlyNewerRuleGenerationsRevert(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(r.IntN, true)
		for range 60 {
			if err := w.step(); err != nil {
				assert.Assert(t, strings.Contains(err.Error(), "reverted"), err.Error())
				t.Logf("seed %d: %v", seed, err)
				return
			}
		}
	}
	t.Fatal("no revert was seen")
}
