package quarantiner

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func identity(workspace, text string) Identity {
	return Identify(workspace, "m", []byte(strings.Repeat(text, 40)))
}

// fleet simulates several instances in front of targets. Strikes reach all of them
// before callers are answered.
type fleet struct {
	instances []*Quarantiner
	next      int
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		f.instances = append(f.instances, New(Options{Instance: fmt.Sprint("i", i)}))
	}
	return f
}

func (f *fleet) spread(t assert.TestingT, m Strikes, now timekeeper.Millis) {
	assert.NilError(t, m.Check())
	for _, q := range f.instances {
		q.Observe(m, now)
	}
}

// run sends one request through an instance. Bystanders share its target unless it
// runs alone. It returns the verdict and the bystanders that were on the target.
func (f *fleet) run(t assert.TestingT, instance int, id Identity, crashes bool, bystanders []Identity, now timekeeper.Millis) (Verdict, []Identity) {
	q := f.instances[instance%len(f.instances)]
	d := q.Admit(id, now)
	if d.Verdict == Refuse || d.Verdict == Wait {
		return d.Verdict, nil
	}
	f.next++
	target, name := fmt.Sprint("t", f.next), fmt.Sprint("r", f.next)
	q.Started(name, id, target, d.Verdict == Solo, now)
	var exposed []Identity
	for i, b := range bystanders {
		peer := f.instances[(instance+i)%len(f.instances)]
		if d.Verdict == Solo || peer.Admit(b, now).Verdict != Run {
			continue
		}
		peer.Started(fmt.Sprint(name, "-", i), b, target, false, now)
		exposed = append(exposed, b)
	}
	if !crashes {
		f.spread(t, q.Ended(name, true, now), now)
	}
	for _, p := range f.instances {
		if crashes {
			f.spread(t, p.Crashed(target, now), now)
		}
		for i := range bystanders {
			f.spread(t, p.Ended(fmt.Sprint(name, "-", i), true, now), now)
		}
	}
	return d.Verdict, exposed
}

// Guards against a request that crashes more than two targets when its caller
// retries it through any instances, also with slight variations, and against the
// refusal of an unrelated request that was on a crashed target.
func TestAtMostTwoTargetsAndNoUnrelatedRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "instances"))
		now, lost := 20*timekeeper.Minute, 0
		var bystanders, suspects []Identity
		for i := range 6 {
			bystanders = append(bystanders, identity(fmt.Sprint("v", i%3), fmt.Sprint("harmless dossier ", i, " ")))
		}
		prompt := strings.Repeat("a prompt that ends the engine ", 60)
		for range 12 {
			now += timekeeper.Millis(rapid.IntRange(1, 20000).Draw(t, "pause"))
			id := Identify("w", "m", []byte(prompt+rapid.StringMatching("[a-z]{0,20}").Draw(t, "variation")))
			before := f.next
			verdict, exposed := f.run(t, rapid.IntRange(0, 9).Draw(t, "instance"), id, true, bystanders, now)
			lost += f.next - before
			suspects = append(suspects, exposed...)
			assert.Assert(t, lost <= 2, "verdict %s, lost %d", verdict, lost)
			for i, b := range suspects {
				verdict, _ := f.run(t, i, b, false, nil, now)
				assert.Assert(t, verdict == Run || verdict == Solo, "unrelated request: %s", verdict)
			}
		}
		assert.Equal(t, lost, 2)
	})
}

// Guards against a caller that evades the fingerprint with prompts that differ from
// the first byte, each of which crashes a target.
func TestWorkspaceBudgetBoundsVariations(t *testing.T) {
	f := newFleet(14)
	now := 20 * timekeeper.Minute
	other := identity("v", "harmless ")
	for i := range 300 {
		now += 500
		id := identity("w", fmt.Sprint(i, " a new prompt that ends the engine "))
		for j := range 3 {
			f.run(t, i+j, id, true, []Identity{other}, now+timekeeper.Millis(j))
		}
		verdict, _ := f.run(t, i, other, false, nil, now+10)
		assert.Assert(t, verdict == Run || verdict == Solo)
		now += 10
	}
	crashes := 0
	for _, q := range f.instances {
		crashes += len(q.Strikes(now).Strikes)
	}
	t.Logf("%d runs of 900, %d strikes", f.next, crashes)
	lost := f.next - 300 // Each round also ran the harmless request once.
	// Two targets for each prompt that ran before the workspace was watched, plus
	// the crashes alone after which similar prompts are refused.
	o := f.instances[0].options
	assert.Assert(t, lost <= o.MaxLostTargets*o.WatchCrashes+o.MaxProvenCrashes, "%d targets lost", lost)
}

// Guards against strikes that never expire, strikes that count again after a pass,
// and unbounded memory.
func TestStrikesExpireAndStayBounded(t *testing.T) {
	q, peer := New(Options{Instance: "a"}), New(Options{Instance: "b"})
	id, now := identity("w", "prompt "), 20*timekeeper.Minute
	q.Started("r", id, "t", false, now)
	m := q.Crashed("t", now)
	peer.Observe(m, now)
	assert.Equal(t, peer.Admit(id, now).Verdict, Solo)
	assert.Equal(t, peer.Admit(id, now).Verdict, Wait)
	peer.Started("s", id, "t2", true, now+1)
	assert.Assert(t, !peer.Ended("s", true, now+2).Empty())
	peer.Observe(q.Strikes(now+3), now+3)
	assert.Equal(t, peer.Admit(id, now+3).Verdict, Run, "an old strike counts again after a pass")
	assert.Equal(t, q.Admit(id, now+q.options.StrikeTTL).Verdict, Run, "an expired strike still counts")
	for i := range 3 * q.options.MaxFingerprints {
		q.Observe(Strikes{Strikes: []Strike{{Workspace: fmt.Sprint(i), Fingerprint: fmt.Sprint(i), Exact: "e", Target: "t", At: now}}}, now)
	}
	assert.Equal(t, len(q.suspects.entries), q.options.MaxFingerprints)
	assert.Equal(t, len(q.workspaces.entries), q.options.MaxWorkspaces)
}

func BenchmarkAdmit(b *testing.B) {
	q, id := New(Options{Instance: "a"}), identity("w", "prompt ")
	for b.Loop() {
		q.Admit(id, timekeeper.Hour)
	}
}
