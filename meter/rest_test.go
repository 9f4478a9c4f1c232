package meter

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// sealStarvedCopy lets the first node count three calls, of which only one is copied, and
// has the copy sealed in place of its own counts.
func sealStarvedCopy(t *testing.T, w *world) {
	t.Helper()
	line := Line{Workspace: "w0", Key: "k", Model: "m", Route: "r"}
	starved := w.nodes[0]
	w.count(starved, line, Amounts{Calls: 1})
	assert.NilError(t, starved.copier.Flush(t.Context(), starved.counter.Sequence()))
	w.count(starved, line, Amounts{Calls: 2})
	starved.counter.Changes() // The message with these counts is not delivered.
	w.now = windowStart(w.now, Window) + Window + CollectDelay
	members := w.members()
	members[0].Live = false
	_, err := w.reporter.Step(t.Context(), w.now, members)
	assert.NilError(t, err)
}

// Guards against counts that are lost when an instance starved of CPU time is
// declared dead: its copy is sealed in place of its own counts, and the counts that
// the copy lacks must be billed later, once.
func TestCountsBeyondASealedCopy(t *testing.T) {
	for name, then := range map[string]func(t *testing.T, w *world){
		"the instance answers again": func(*testing.T, *world) {},
		"the instance stops": func(t *testing.T, w *world) {
			n := w.nodes[0]
			assert.NilError(t, StoreUnsealedCounts(t.Context(), w.platform, "dc", n.counter, n.copies))
			w.restart(n)
		},
		"the instance answers again and stops": func(t *testing.T, w *world) {
			w.now += Window
			w.step()
			n := w.nodes[0]
			assert.NilError(t, n.copier.Flush(t.Context(), n.counter.Sequence()))
			assert.NilError(t, StoreUnsealedCounts(t.Context(), w.platform, "dc", n.counter, n.copies))
			w.restart(n)
		},
		"the instance is asked between its stop and its end": func(t *testing.T, w *world) {
			n := w.nodes[0]
			assert.NilError(t, n.copier.Flush(t.Context(), n.counter.Sequence()))
			assert.NilError(t, StoreUnsealedCounts(t.Context(), w.platform, "dc", n.counter, n.copies))
			w.now += Window
			w.step()
			w.now += Window
			w.step()
			w.restart(n)
		},
		"the instance stops before another reporter asks it": func(t *testing.T, w *world) {
			n := w.nodes[0]
			assert.NilError(t, StoreUnsealedCounts(t.Context(), w.platform, "dc", n.counter, n.copies))
			AnswerCollect(n.counter, n.copies, w.now, CollectRequest{Window: w.now, Marks: w.reporter.lastSealed.Marks})
			w.restart(n)
			w.takeOver()
		},
		"a peer stops with an older copy": func(t *testing.T, w *world) {
			n := w.nodes[0]
			assert.NilError(t, StoreUnsealedCounts(t.Context(), w.platform, "dc", n.counter, n.copies))
			w.restart(n)
			for _, p := range w.nodes[1:] {
				assert.NilError(t, StoreUnsealedCounts(t.Context(), w.platform, "dc", p.counter, p.copies))
				w.restart(p)
			}
			w.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(func(int) int { return 1 }, false, false)
			w.now = windowStart(w.now, Window) + Window
			w.step()
			sealStarvedCopy(t, w)
			then(t, w)
			for range 2 * stoppedReadWindows {
				w.now += Window
				w.step()
			}
			assert.NilError(t, w.audit())
			rest, err := w.platform.List(t.Context(), "usage-left/")
			assert.NilError(t, err)
			assert.Equal(t, len(rest), 0)
		})
	}
}

// Guards against the same when the counts are stored long before the reporter reads them.
func TestCountsBeyondASealedCopyAreReadInTime(t *testing.T) {
	for offset := range 2 * stoppedReadWindows {
		w := newWorld(func(int) int { return 1 }, false, false)
		w.now = windowStart(w.now, Window) + Window
		for range offset + 1 { // The reporter reads stored counts in some of these windows.
			w.step()
			w.now += Window
		}
		sealStarvedCopy(t, w)
		starved := w.nodes[0]
		assert.NilError(t, StoreUnsealedCounts(t.Context(), w.platform, "dc", starved.counter, starved.copies))
		w.restart(starved)
		for range 3 * stoppedReadWindows {
			w.now += Window + timekeeper.Second // Steps come late by and by.
			w.step()
		}
		assert.NilError(t, w.audit(), "after %d windows", offset+1)
	}
}
