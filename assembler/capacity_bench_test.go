package assembler_test

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/limiter"
	"github.com/gypsumwharf/gypsumwharf/scheduler"
	"github.com/gypsumwharf/gypsumwharf/storer"
)

// BenchmarkContact reports the size of a contact, the gossip record that every
// instance publishes with each generation and withdrawal.
func BenchmarkContact(b *testing.B) {
	c := assembler.Contact{Generation: 123456, Withdrawals: "0123456789abcdef0123456789abcdef"}
	var data []byte
	for b.Loop() {
		var err error
		data, err = json.Marshal(c)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
}

// BenchmarkContactDecode measures the decoding of the contacts of n instances, which
// an instance repeats for each changed contact.
func BenchmarkContactDecode(b *testing.B) {
	for _, n := range []int{14, 100, 340} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			data, err := json.Marshal(assembler.Contact{Generation: 123456, Withdrawals: "0123456789abcdef0123456789abcdef"})
			assert.NilError(b, err)
			for b.Loop() {
				for range n {
					var c assembler.Contact
					assert.NilError(b, json.Unmarshal(data, &c))
				}
			}
		})
	}
}

// BenchmarkInstanceList measures one read of the platform's list through its HTTP
// client. The fake platform runs in the same process.
func BenchmarkInstanceList(b *testing.B) {
	for _, n := range []int{14, 100, 340} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var list []storer.ListedInstance
			for i := range n {
				list = append(list, storer.ListedInstance{
					Name: fmt.Sprintf("instance-%03d", i), DataCentre: "kerala-south-a",
					PeerAddress: fmt.Sprintf("10.11.12.%d:7301", i%256), OperatorAddress: fmt.Sprintf("10.11.12.%d:7302", i%256),
				})
			}
			data, err := json.Marshal(list)
			assert.NilError(b, err)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
			defer server.Close()
			client := storer.NewClient(server.URL)
			b.ReportAllocs()
			for b.Loop() {
				read, err := client.Instances(b.Context())
				assert.NilError(b, err)
				assert.Equal(b, len(read), n)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkLoadReport measures one load report over loopback. The fake target runs in
// the same process.
func BenchmarkLoadReport(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"at":1700000000000,"running":12,"waiting":3,"leaving":false}`)
	}))
	defer server.Close()
	client := &http.Client{}
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Get(server.URL + "/load")
		assert.NilError(b, err)
		var report struct{ At, Running, Waiting int }
		assert.NilError(b, json.NewDecoder(response.Body).Decode(&report))
		_, _ = io.Copy(io.Discard, response.Body)
		assert.NilError(b, response.Body.Close())
	}
}

// BenchmarkRecordBytes reports the compressed size of demand and service records
// of n workspaces, compressed as an instance compresses them.
func BenchmarkRecordBytes(b *testing.B) {
	for _, n := range []int{4, 16, 32} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			demand := limiter.Demand{Instance: "instance-001", Incarnation: 1_700_000_000_000, Version: 4321}
			served := scheduler.Service{Instance: "instance-001", Incarnation: 1_700_000_000_000, Version: 4321, Pool: "0123456789abcdef0123456789abcdef"}
			for range n {
				name := fmt.Sprintf("workspace-%05d", random.IntN(26000))
				demand.Items = append(demand.Items, limiter.WorkspaceDemand{Workspace: name, Pressure: math.Pow(1.25, float64(-random.IntN(30)))})
				served.Items = append(served.Items, scheduler.WorkspaceService{
					Workspace: name, Weight: 1, Requests: random.IntN(5), PrefillTokens: random.IntN(1_000_000), OutputTokens: random.IntN(200_000),
				})
			}
			size := func(v any) float64 {
				data, err := json.Marshal(v)
				assert.NilError(b, err)
				var packed bytes.Buffer
				w, err := flate.NewWriter(&packed, flate.BestSpeed)
				assert.NilError(b, err)
				_, err = w.Write(data)
				assert.NilError(b, err)
				assert.NilError(b, w.Close())
				return float64(packed.Len())
			}
			var demands, services float64
			for b.Loop() {
				demands, services = size(demand), size(served)
			}
			b.ReportMetric(demands, "demand-bytes")
			b.ReportMetric(services, "service-bytes")
		})
	}
}
