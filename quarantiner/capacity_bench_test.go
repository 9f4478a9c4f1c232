package quarantiner

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// BenchmarkSuspects measures Admit while n fingerprints are suspects, and reports
// the size of the message that lists their strikes.
func BenchmarkSuspects(b *testing.B) {
	for _, n := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			q, id := New(Options{Instance: "a"}), identity("w", "prompt ")
			message := Strikes{Instance: "a"}
			for i := range n {
				s := Strike{Workspace: fmt.Sprintf("workspace-%05d", i), Fingerprint: fmt.Sprintf("%032x", i), Exact: fmt.Sprintf("%032x", i), Target: "engine-001", At: timekeeper.Hour, Bucket: 9}
				q.Observe(Strikes{Strikes: []Strike{s}}, timekeeper.Hour)
				if len(message.Strikes) < maxStrikes {
					message.Strikes = append(message.Strikes, s)
				}
			}
			data, err := json.Marshal(message)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				q.Admit(id, timekeeper.Hour)
			}
			b.ReportMetric(float64(len(data)), "message-bytes")
		})
	}
}
