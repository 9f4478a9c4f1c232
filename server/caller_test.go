package server

import (
	"encoding/json"
	"testing"
)

// Guards against request bodies that crash the parser, or are accepted without a model or messages.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":1}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"type":"text"}]}],"stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, refusal := parseChat(data)
		if refusal != nil {
			if refusal.Ran != NotRun {
				t.Fatalf("a refused body has ran = %q", refusal.Ran)
			}
			return
		}
		if !json.Valid(data) || body.Model == "" || len(body.Messages) == 0 || body.maxTokens() < 0 {
			t.Fatalf("accepted %q", data)
		}
	})
}
