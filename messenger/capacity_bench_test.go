package messenger

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCall measures a message with an empty response over loopback, including
// sender and receiver.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{200, 3000, 16000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			m := New(Options{})
			defer m.Close()
			m.Handle("message", func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			go func() { _ = m.Serve(ctx, l) }()
			sender := New(Options{})
			defer sender.Close()
			message := map[string]string{"data": strings.Repeat("x", size)}
			b.ReportAllocs()
			for b.Loop() {
				if err := sender.Call(b.Context(), l.Addr().String(), "message", message, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
