package authenticator

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// Guards against a key that stays in the query or a header of a request to a target.
func FuzzStrip(f *testing.F) {
	f.Add("api_key=secret-key-1&night=friday", "secret-key-1")
	f.Add("key=secret-key-1;key=secret-key-1&%6bey=secret-key-1", "Bearer secret-key-1")
	f.Add("note=secret%2Dkey%2D1&KEY=secret-key-1", "x secret-key-1 y")
	f.Fuzz(func(t *testing.T, query, other string) {
		header := http.Header{"Authorization": {"Bearer secret-key-1"}, "X-Api-Key": {"secret-key-1"}, "X-Note": {other}}
		stripped, kept := Strip(header, query)
		for name, values := range stripped {
			if strings.Contains(strings.Join(values, " "), "secret-key-1") {
				t.Fatalf("header %s keeps the key: %q", name, values)
			}
		}
		eachParameter(kept, func(part, name, value string) {
			if isKeyParameter(name) || strings.Contains(value, "secret-key-1") {
				t.Fatalf("%q keeps %q", query, part)
			}
		})
		if parsed, err := url.ParseQuery(kept); err == nil {
			for _, name := range keyParameters {
				if parsed.Has(name) {
					t.Fatalf("%q keeps parameter %q: %q", query, name, kept)
				}
			}
		}
	})
}
