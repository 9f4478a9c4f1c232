package dispatcher_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// discard is a sink that discards the answer.
type discard struct{}

func (discard) Begin(int, http.Header, bool) error { return nil }
func (discard) Write([]byte) error                 { return nil }

// BenchmarkAttempt measures one streamed attempt over loopback, with the target in the
// same process. Tokens are sent in one burst, or each is flushed separately as by an
// engine with 38 ms between tokens.
func BenchmarkAttempt(b *testing.B) {
	const token = "data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n"
	for _, c := range []struct {
		tokens int
		flush  bool
	}{{16, false}, {290, false}, {2000, false}, {16, true}, {290, true}, {2000, true}} {
		tokens := c.tokens
		b.Run(fmt.Sprintf("tokens=%d-flushed=%v", tokens, c.flush), func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set(dispatcher.RequestIDHeader, r.Header.Get(dispatcher.RequestIDHeader))
				for range tokens {
					_, _ = io.WriteString(w, token)
					if c.flush {
						w.(http.Flusher).Flush()
					}
				}
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
			}))
			defer server.Close()
			d := dispatcher.New(timekeeper.System())
			defer d.Close()
			target, request := declarer.Target{Name: "e", URL: server.URL}, chatRequest("true")
			b.ReportAllocs()
			for b.Loop() {
				if result := d.Do(b.Context(), target, request, discard{}); result.State != dispatcher.StateAnswered {
					b.Fatalf("%+v", result)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
		})
	}
}
