package storer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against a client that confuses conflicts, outages and lost responses.
func TestClientAgainstPlatform(t *testing.T) {
	platform := faker.NewPlatform(timekeeper.System())
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	client := storer.NewClient(server.URL)
	defer client.Close()
	ctx := t.Context()

	_, err := client.Get(ctx, "a/b")
	assert.ErrorIs(t, err, storer.ErrNotFound)
	v1, err := client.Put(ctx, "a/b", []byte("one"), 0)
	assert.NilError(t, err)
	_, err = client.Put(ctx, "a/b", []byte("two"), 0)
	assert.ErrorIs(t, err, storer.ErrConflict)
	object, err := client.Get(ctx, "a/b")
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), "one")
	assert.Equal(t, object.Version, v1)

	platform.SetFault(func(string, string) faker.Fault { return faker.FaultLostAnswer })
	_, err = client.Put(ctx, "a/b", []byte("three"), v1)
	assert.ErrorIs(t, err, storer.ErrOutcomeUnknown)
	platform.SetDown(true)
	_, err = client.Put(ctx, "a/b", []byte("four"), v1)
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	platform.SetDown(false)
	object, err = client.Get(ctx, "a/b")
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), "three")

	changes, next, err := client.Watch(ctx, "a/", v1)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, next, object.Version)
}

// Guards against net/http retrying a change after the server closed the connection
// without a response.
func TestClientNeverResends(t *testing.T) {
	received := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/objects/warm" {
			return
		}
		received <- struct{}{}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	defer server.Close()
	client := storer.NewClient(server.URL)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := client.Get(ctx, "warm")
	assert.NilError(t, err)
	_, err = client.Put(ctx, "x", []byte("1"), 0)
	assert.ErrorIs(t, err, storer.ErrOutcomeUnknown)
	assert.Equal(t, len(received), 1)
}
