package leaser

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// copiedStore is a store with one lease. It can be copied, and come back from a copy.
type copiedStore struct {
	era      storer.Era
	revision int64
	value    []byte
	at       int64 // Revision of the lease; 0 if there is none.
}

func (s *copiedStore) comeBack(from copiedStore) {
	from.era = s.era + 1
	*s = from
}

// candidate is a node that learns the era of the store from answers.
type candidate struct {
	node
	known    storer.Era
	answered storer.Era // Era of the answer that is on its way.
}

// candidates is a simulation of candidates around a store that comes back from copies.
type candidates struct {
	store copiedStore
	nodes []*candidate
	now   timekeeper.Millis
}

func newCandidates(count int) *candidates {
	w := &candidates{store: copiedStore{era: 3, revision: 1}}
	for i := range count {
		n := &candidate{node: node{source: timekeeper.NewManual(timekeeper.Millis(i) * 1000)}}
		n.machine = NewMachine(Options{Seed: uint64(i + 1), Era: func() storer.Era { return n.known }}, "a", LeaseDutyPlanner, fmt.Sprintf("i%d", i), 1)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *candidates) advance(d timekeeper.Millis) {
	w.now += d
	for _, n := range w.nodes {
		n.source.Advance(d)
	}
}

func (w *candidates) begin(n *candidate) {
	if n.call == nil && w.now >= n.pausedUntil {
		if s := n.machine.Next(n.now()); s != nil {
			if _, ok := s.(Wait); !ok {
				n.call, n.applied = s, false
			}
		}
	}
}

// apply executes the call of a node as the platform's store does.
func (w *candidates) apply(n *candidate) {
	if n.call == nil || n.applied {
		return
	}
	n.applied, n.lease, n.version, n.err = true, Lease{}, 0, nil
	s := &w.store
	switch step := n.call.(type) {
	case Read:
		if s.at != 0 {
			n.lease, n.err = Decode(s.value)
			n.version, _ = storer.NewVersion(s.era, s.at)
		}
	case Write:
		if step.Expected != 0 && step.Expected.Era() != n.known || step.Expected.Revision() != s.at {
			n.err = storer.ErrConflict
			break
		}
		s.revision++
		s.at = s.revision
		s.value, _ = json.Marshal(step.Lease)
		n.version, _ = storer.NewVersion(s.era, s.at)
		if step.Expected != 0 && step.Expected.Era() != s.era {
			n.version, n.err = 0, storer.ErrOutcomeUnknown
		}
	}
	n.answered = s.era
}

func (w *candidates) finish(n *candidate) {
	if n.call == nil || !n.applied || w.now < n.pausedUntil {
		return
	}
	call := n.call
	n.call = nil
	overtaken := n.answered < n.known
	n.known = max(n.known, n.answered)
	switch s := call.(type) {
	case Write:
		if overtaken {
			n.version, n.err = 0, storer.ErrOutcomeUnknown
		}
		n.machine.WriteDone(n.now(), s, n.version, n.err)
	case Read:
		if overtaken {
			n.lease, n.version, n.err = Lease{}, 0, storer.ErrUnavailable
		}
		n.machine.ReadDone(n.now(), n.lease, n.version, n.err)
	}
}

func (w *candidates) round() {
	for _, n := range w.nodes {
		w.begin(n)
		w.apply(n)
		w.finish(n)
	}
}

// holders returns the nodes that hold the lease.
func (w *candidates) holders() []int {
	var list []int
	for i, n := range w.nodes {
		if _, ok := n.machine.Held(n.now()); ok {
			list = append(list, i)
		}
	}
	return list
}

// run advances in steps of 100 ms until done returns true, and returns the elapsed time.
func (w *candidates) run(t *testing.T, limit timekeeper.Millis, done func() bool) timekeeper.Millis {
	t.Helper()
	begin := w.now
	for ; w.now-begin < limit; w.advance(100) {
		w.round()
		if done() {
			return w.now - begin
		}
	}
	t.Fatalf("not reached within %s", limit)
	return 0
}

// Guards against two holders, epochs that decrease, and a takeover while an order of the
// last holder can be in flight, where the store comes back from copies without the lease.
func TestOneHolderWhenTheStoreComesBack(t *testing.T) {
	takeovers, returns := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newCandidates(3)
		copied := w.store
		epoch, lastHeld, lastNode := int64(0), timekeeper.Millis(-1<<40), -1
		pick := func() *candidate { return w.nodes[rapid.IntRange(0, 2).Draw(t, "node")] }
		actions := map[string]func(*rapid.T){
			"round": func(*rapid.T) { w.round() },
			"quiet": func(*rapid.T) {
				for range 30 {
					w.round()
					w.advance(second)
				}
			},
			"begin":   func(*rapid.T) { w.begin(pick()) },
			"apply":   func(*rapid.T) { w.apply(pick()) },
			"finish":  func(*rapid.T) { w.finish(pick()) },
			"advance": func(t *rapid.T) { w.advance(timekeeper.Millis(rapid.IntRange(1, 6000).Draw(t, "span"))) },
			"pause": func(t *rapid.T) {
				pick().pausedUntil = w.now + timekeeper.Millis(rapid.IntRange(1, 60000).Draw(t, "span"))
			},
			"copy":   func(*rapid.T) { copied = w.store },
			"return": func(*rapid.T) { w.store.comeBack(copied); returns++ },
			"notice": func(*rapid.T) { n := pick(); n.known = w.store.era },
			"other":  func(t *rapid.T) { w.store.revision += int64(rapid.IntRange(1, 3).Draw(t, "writes")) },
			"start": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "node")
				fresh := newCandidates(3).nodes[i]
				fresh.source = w.nodes[i].source
				if _, held := w.nodes[i].machine.Held(w.nodes[i].now()); !held { // A process that ends sends nothing more.
					fresh.machine.incarnation = int64(w.now) + 2
					w.nodes[i] = fresh
				}
			},
			"": func(t *rapid.T) {
				holders := w.holders()
				if len(holders) > 1 {
					t.Fatalf("%d holders at once", len(holders))
				}
				for _, i := range holders {
					e, _ := w.nodes[i].machine.Held(w.nodes[i].now())
					if e < epoch || e == epoch && lastNode != i {
						t.Fatalf("node %d holds epoch %d after epoch %d of node %d", i, e, epoch, lastNode)
					}
					if lastNode >= 0 && lastNode != i {
						takeovers++
						if w.now-lastHeld < 3*second {
							t.Fatalf("takeover %s after the last holder could send orders", w.now-lastHeld)
						}
					}
					epoch, lastHeld, lastNode = e, w.now, i
				}
			},
		}
		for range 8 {
			t.Repeat(actions)
		}
	})
	t.Logf("%d takeovers by another instance, %d returns", takeovers, returns)
	assert.Assert(t, takeovers > 0)
}

// Guards against a holder that goes on after it has noticed a new era, one that waits longer
// than needed, and fencing tokens that are given out again.
func TestHolderStopsInANewEra(t *testing.T) {
	for name, lost := range map[string]func(w *candidates) copiedStore{
		"no lease in the copy":         func(*candidates) copiedStore { return copiedStore{revision: 1} },
		"an older renewal in the copy": func(w *candidates) copiedStore { return w.store },
	} {
		t.Run(name, func(t *testing.T) {
			w := newCandidates(1)
			w.run(t, 60*second, func() bool { return len(w.holders()) == 1 })
			copied := lost(w)
			w.run(t, 30*second, func() bool { return w.store.revision > copied.revision+3 })
			n := w.nodes[0]
			before, _ := n.machine.Held(n.now())
			w.store.comeBack(copied)
			n.known = w.store.era
			assert.ErrorIs(t, n.machine.Check(n.now(), before, 0), ErrNotHeld)
			took := w.run(t, 30*second, func() bool { return len(w.holders()) == 1 })
			assert.Assert(t, 3*second <= took && took <= 15*second, took)
			after, _ := n.machine.Held(n.now())
			assert.Assert(t, after > before)
			assert.ErrorIs(t, n.machine.Check(n.now(), before, 0), ErrNotHeld)
		})
	}
}
