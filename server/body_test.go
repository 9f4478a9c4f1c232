package server

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/reserver"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against bodies that hold memory that is not reserved, and against bodies that
// change while their buffer grows.
func TestBodiesAreReadWithinTheirLimits(t *testing.T) {
	for name, c := range map[string]struct {
		body   io.Reader
		memory int64
		want   int // Bytes, if err is nil.
		err    error
	}{
		"empty":                 {strings.NewReader(""), 1 << 20, 0, nil},
		"small":                 {strings.NewReader(strings.Repeat("b", 100)), 1 << 20, 100, nil},
		"grows":                 {iotest.HalfReader(strings.NewReader(strings.Repeat("b", 200_000))), 1 << 20, 200_000, nil},
		"byte by byte":          {iotest.OneByteReader(strings.NewReader(strings.Repeat("b", 50_000))), 1 << 20, 50_000, nil},
		"over the limit":        {strings.NewReader(strings.Repeat("b", 300_001)), 2 << 20, 0, errBodyTooLarge},
		"over the memory":       {strings.NewReader(strings.Repeat("b", 200_000)), 200_000, 0, reserver.ErrFull},
		"stalls":                {io.MultiReader(strings.NewReader("b"), iotest.ErrReader(os.ErrDeadlineExceeded)), 1 << 20, 0, os.ErrDeadlineExceeded},
		"connection breaks off": {io.MultiReader(strings.NewReader("b"), iotest.ErrReader(io.ErrUnexpectedEOF)), 1 << 20, 0, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			account := reserver.New(timekeeper.System(), c.memory)
			holding := account.Receive(func() {})
			r := bodyReader{body: c.body, holding: holding, setDeadline: func(time.Time) error { return nil }, aborted: func() bool { return false }}
			data, err := r.readAll(BodyLimits{Bytes: 300_000, Rate: 1024, Memory: account})
			assert.ErrorIs(t, err, c.err)
			if err == nil {
				assert.Assert(t, bytes.Equal(data, bytes.Repeat([]byte("b"), c.want)))
				assert.Equal(t, account.Held(), int64(cap(data)))
			}
			holding.Release()
			assert.Equal(t, account.Held(), int64(0))
		})
	}
}

// backend serves no request.
type backend struct{ Backend }

func (backend) NextID() string { return "r1" }

func (backend) Catalogue() *declarer.Catalogue { return &declarer.Catalogue{} }

// Guards against refusals of bodies that promise too much, and against memory that stays
// reserved after a request.
func TestBodiesAreRefusedAsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		memory int64
		status int
		code   Code
	}{
		"over the memory": {strings.Repeat("b", 200_000), 200_000, http.StatusServiceUnavailable, CodeQueueFull},
		"over the limit":  {strings.Repeat("b", 300_001), 2 << 20, http.StatusRequestEntityTooLarge, CodeBodyTooLarge},
		"received":        {"{}", 1 << 20, http.StatusBadRequest, CodeBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			account := reserver.New(timekeeper.System(), c.memory)
			s := httptest.NewServer(New(backend{}, BodyLimits{Bytes: 300_000, Rate: 1024, Memory: account}).Handler())
			defer s.Close()
			response, err := http.Post(s.URL+"/v1/chat/completions", "application/json", io.MultiReader(strings.NewReader(c.body)))
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, c.status)
			var body refusalBody
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&body))
			assert.Equal(t, body.Error.Code, c.code)
			assert.Equal(t, body.Error.Ran, NotRun)
			s.Close()
			assert.Equal(t, account.Held(), int64(0))
		})
	}
}
