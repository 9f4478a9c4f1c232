package dispatcher

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/connector"
)

// Guards against events that are split, joined or relayed when incomplete.
func TestEventReader(t *testing.T) {
	cases := map[string]struct {
		input string
		data  []string
		end   error
	}{
		"two events":          {"data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		"carriage returns":    {"id: 1\r\ndata: a\r\n\r\n", []string{"a"}, io.EOF},
		"several data lines":  {"data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		"comment only":        {": ping\n\ndata: a\n\n", []string{"a"}, io.EOF},
		"cut within an event": {"data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		"long line":           {"data: " + strings.Repeat("x", 9000) + "\n\n", []string{strings.Repeat("x", 9000)}, io.EOF},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newEventReader(strings.NewReader(tc.input), connector.NewBudget(16<<20))
			for _, want := range tc.data {
				e, err := r.next()
				assert.NilError(t, err)
				assert.Equal(t, string(e.data), want)
			}
			_, err := r.next()
			assert.Equal(t, err, tc.end)
		})
	}
}

// Guards against treating an event whose text contains the end marker as the end of the stream.
func TestIsEnd(t *testing.T) {
	for raw, want := range map[string]bool{
		"data: [DONE]\n\n":             true,
		"data:[DONE]\r\n\r\n":          true,
		"id: 9\ndata: [DONE]\n\n":      true,
		"data: {\"c\":\"[DONE]\"}\n\n": false,
		"data: [DONE]\ndata: more\n\n": false,
		": [DONE]\n\n":                 false,
	} {
		assert.Equal(t, IsEnd([]byte(raw)), want, raw)
	}
}

// Guards against an engine's stream that makes the reader panic or return bytes that the
// engine did not send.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 1\r\ndata: {\"usage\":{\"prompt_tokens\":1}}\r\n\r\n"))
	f.Add([]byte(":\n\n\n\ndata"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := newEventReader(bytes.NewReader(input), connector.NewBudget(16<<20))
		var passed int
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			if !bytes.Contains(input, e.raw) {
				t.Fatalf("event %q is not part of the stream", e.raw)
			}
			passed += len(e.raw)
			parseUsage(e.data, Usage{})
		}
		if passed > len(input) {
			t.Fatalf("%d bytes passed on of %d", passed, len(input))
		}
	})
}

// BenchmarkEventReader measures the cost of reading one event of a stream, which carries one token.
func BenchmarkEventReader(b *testing.B) {
	one := []byte("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n")
	stream := bytes.Repeat(one, 1000)
	b.ReportAllocs()
	for b.Loop() {
		r := newEventReader(bytes.NewReader(stream), connector.NewBudget(16<<20))
		for range 1000 {
			if _, err := r.next(); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/token")
}
