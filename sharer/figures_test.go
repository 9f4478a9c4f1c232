package sharer

import (
	"encoding/json"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against figures that are counted twice, not at all, or after they expired, in
// a small fleet and in one with relays.
func TestWhatTheFleetSawAddsUp(t *testing.T) {
	for name, perCentre := range map[string]int{"small": 6, "with relays": 30} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, perCentre)
			for _, n := range f.instances {
				n.LocalFigures = func() Figures { return Figures{KeyOf("s"): {1, 100}} }
			}
			f.run(6 * timekeeper.Second)
			others := float64(len(f.instances) - 1)
			for _, n := range f.instances {
				sums := n.RemoteFigures("s")
				assert.Equal(t, len(sums), 2, n.Self.Name)
				assert.Equal(t, sums[0], others, n.Self.Name)
				assert.Equal(t, sums[1], 100*others, n.Self.Name)
			}
			stopped := f.instances[perCentre/2]
			stopped.stopped = true
			f.run(2*figuresTTL + 2*timekeeper.Second)
			assert.Equal(t, f.instances[len(f.instances)-1].RemoteFigures("s")[0], others-1)
		})
	}
}

// Guards against figures that do not fit into a datagram, are decoded as others, or are
// not numbers.
func TestFiguresAreCheckedWhenDecoded(t *testing.T) {
	figures := Figures{}
	for i := range 2 * maxServices {
		list := make([]float64, maxFigures)
		for j := range list {
			list[j] = float64(i * j)
		}
		figures[Key(i)] = list
	}
	data, err := json.Marshal(Message{Sender: "front-nl-west-a-12.18a2b3c4d5e6f708", Number: 1 << 62, Loads: Loads{}, Figures: &figures})
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxDatagramBytes, "%d bytes", len(data))
	var m Message
	assert.NilError(t, json.Unmarshal(data, &m))
	assert.Equal(t, len(*m.Figures), maxServices)
	assert.DeepEqual(t, (*m.Figures)[3], figures[3])
	var f Figures
	for name, text := range map[string]string{
		"no text": `7`, "not base64": `"?"`, "cut": `"AAAAAQ=="`, "cut in a number": `"AAAAAQEAAA=="`, "too many": `"AAAAAf8="`,
	} {
		assert.Assert(t, json.Unmarshal([]byte(text), &f) != nil, name)
	}
	notANumber, err := json.Marshal(Figures{1: {math.NaN()}})
	assert.NilError(t, err)
	assert.Assert(t, json.Unmarshal(notANumber, &f) != nil)
}

// Guards against packed numbers that are too inaccurate or not in order.
func TestRoundedFiguresAreNear(t *testing.T) {
	last := -1
	for n := range 1 << 16 {
		got := unpackFloat(packFloat(uint16(n)))
		assert.Assert(t, got <= n && float64(got) >= 0.93*float64(n)-0.5, "%d became %d", n, got)
		assert.Assert(t, got >= last, "%d became %d, less than the one before", n, got)
		last = got
	}
}
