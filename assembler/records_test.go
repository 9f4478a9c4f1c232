package assembler

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/limiter"
	"github.com/gypsumwharf/gypsumwharf/router"
)

func packed(t testing.TB, plain []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	assert.NilError(t, err)
	_, err = w.Write(plain)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return b.Bytes()
}

// Guards against a small record of a peer that decompresses to unbounded size.
func TestUnpackBoundsItsSize(t *testing.T) {
	bomb := packed(t, bytes.Repeat([]byte(" "), 10*maxRecordBytes))
	assert.Assert(t, len(bomb) < 2048)
	_, err := unpack[limiter.Demand](bomb)
	assert.ErrorContains(t, err, "record exceeds")
}

// Guards against a record of a peer that crashes the receiver or is accepted although it
// is malformed.
func FuzzUnpack(f *testing.F) {
	f.Add(packed(f, []byte(`{"instance":"a","incarnation":1}`)))
	f.Add([]byte{0x4a, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := unpack[router.Delta](data); err == nil && d.Check() != nil {
			t.Fatalf("accepted %+v", d)
		}
		if d, err := unpack[limiter.Demand](data); err == nil {
			if _, err := json.Marshal(d); err != nil {
				t.Fatal(err)
			}
		}
	})
}
