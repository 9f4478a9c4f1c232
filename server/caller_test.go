package server

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a body of a caller that crashes the parser or passes without a model or messages.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":1}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"type":"text"}]}],"stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, refusal := parseChat(data)
		if refusal != nil {
			if refusal.Ran != NotRun {
				t.Fatalf("a refused body says %q", refusal.Ran)
			}
			return
		}
		if !json.Valid(data) || body.Model == "" || len(body.Messages) == 0 || body.maxTokens() < 0 {
			t.Fatalf("accepted %q", data)
		}
	})
}

// Guards against an access key that stays in the query of a request to a target.
func FuzzStrippedQuery(f *testing.F) {
	f.Add("api_key=secret&night=friday")
	f.Add("key=secret;key=secret&%6bey=secret")
	f.Fuzz(func(t *testing.T, query string) {
		if strings.ContainsAny(query, " \r\n\t#") || strings.ContainsFunc(query, func(r rune) bool { return r < 0x20 || r > 0x7e }) {
			return
		}
		r := httptest.NewRequest("GET", "/", nil)
		r.URL.RawQuery = query
		stripped := r.Clone(t.Context())
		stripped.URL.RawQuery = strippedQuery(r)
		for _, name := range keyParameters {
			if stripped.URL.Query().Has(name) {
				t.Fatalf("%q keeps %q: %q", query, name, stripped.URL.RawQuery)
			}
		}
	})
}
