package authenticator

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Headers and query parameters besides Authorization that can carry a key.
var (
	keyHeaders    = []string{"X-Api-Key", "Api-Key"}
	keyParameters = []string{"api_key", "key"}
)

// Keys returns all keys of a request, from all headers and parameters that can carry one.
func Keys(header http.Header, rawQuery string) []string {
	var keys []string
	for _, value := range header.Values("Authorization") {
		scheme, key, ok := strings.Cut(strings.TrimSpace(value), " ")
		if ok && strings.EqualFold(scheme, "Bearer") {
			keys = append(keys, strings.TrimSpace(key))
		}
	}
	for _, name := range keyHeaders {
		for _, value := range header.Values(name) {
			keys = append(keys, strings.TrimSpace(value))
		}
	}
	eachParameter(rawQuery, func(_, name, value string) {
		if isKeyParameter(name) {
			keys = append(keys, value)
		}
	})
	return slices.DeleteFunc(keys, func(key string) bool { return key == "" })
}

// Strip returns the header and the query to send to a target: without the headers
// and parameters that can carry a key, and without any other that contains one of
// the keys.
func Strip(header http.Header, rawQuery string) (http.Header, string) {
	keys := Keys(header, rawQuery)
	stripped := header.Clone()
	for _, name := range append([]string{"Authorization", "Proxy-Authorization"}, keyHeaders...) {
		stripped.Del(name)
	}
	for name, values := range stripped {
		if slices.ContainsFunc(values, func(value string) bool { return containsAny(value, keys) }) {
			delete(stripped, name)
		}
	}
	var kept []string
	eachParameter(rawQuery, func(part, name, value string) {
		if !isKeyParameter(name) && !containsAny(name, keys) && !containsAny(value, keys) {
			kept = append(kept, part)
		}
	})
	return stripped, strings.Join(kept, "&")
}

// eachParameter calls f for each parameter of a query, with its encoded form and its
// decoded name and value. Some servers split at a semicolon, so both separators count.
func eachParameter(rawQuery string, f func(part, name, value string)) {
	for _, part := range strings.FieldsFunc(rawQuery, func(r rune) bool { return r == '&' || r == ';' }) {
		name, value, _ := strings.Cut(part, "=")
		f(part, unescape(name), unescape(value))
	}
}

func unescape(s string) string {
	if plain, err := url.QueryUnescape(s); err == nil {
		return plain
	}
	return s
}

func isKeyParameter(name string) bool {
	return slices.ContainsFunc(keyParameters, func(known string) bool { return strings.EqualFold(known, name) })
}

// minScannedKeyBytes is the length of the shortest key that is searched for in other
// headers and parameters; shorter ones occur by chance.
const minScannedKeyBytes = 8

func containsAny(value string, keys []string) bool {
	return slices.ContainsFunc(keys, func(key string) bool {
		return len(key) >= minScannedKeyBytes && (strings.Contains(value, key) || strings.Contains(value, url.QueryEscape(key)))
	})
}
