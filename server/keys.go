package server

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// keyHeaders and keyParameters are the places besides Authorization in which callers put their key.
var (
	keyHeaders    = []string{"X-Api-Key", "Api-Key"}
	keyParameters = []string{"api_key", "key"}
)

// accessKey returns the key that came with a request, or an empty string.
func accessKey(r *http.Request) string {
	if scheme, value, ok := strings.Cut(r.Header.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(value)
	}
	for _, name := range keyHeaders {
		if value := r.Header.Get(name); value != "" {
			return value
		}
	}
	query := r.URL.Query()
	for _, name := range keyParameters {
		if value := query.Get(name); value != "" {
			return value
		}
	}
	return ""
}

// strippedHeader returns the header without keys and without what concerns one connection.
func strippedHeader(header http.Header) http.Header {
	stripped := header.Clone()
	stripped.Del("Authorization")
	stripped.Del("Cookie")
	for _, name := range keyHeaders {
		stripped.Del(name)
	}
	for _, name := range hopHeaders {
		stripped.Del(name)
	}
	return stripped
}

// strippedQuery returns the query without keys.
func strippedQuery(r *http.Request) string {
	query := r.URL.Query()
	for _, name := range keyParameters {
		query.Del(name)
	}
	return query.Encode()
}

// hashKey returns the SHA-256 of a key in hexadecimal.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
