package assembler_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/recorder"
)

// Guards against an answer that is incomplete or belongs to another caller's request.
func TestAnswersReachTheirCallers(t *testing.T) {
	f := newFleet(t)
	i, _ := f.start("a", "dc-1")
	streamed := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(true), "Authorization", acmeKey)
	assert.NilError(t, streamed.err)
	assert.Equal(t, streamed.status, http.StatusOK)
	id := streamed.header.Get("X-Request-Id")
	assert.Assert(t, strings.Contains(streamed.body, id+"/7 "), streamed.body)
	assert.Assert(t, strings.HasSuffix(streamed.body, "data: [DONE]\n\n"))

	whole := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(false), "X-Api-Key", "key-acme")
	assert.Equal(t, whole.status, http.StatusOK)
	assert.Assert(t, strings.Contains(whole.body, whole.header.Get("X-Request-Id")+"/7 "))

	check := f.send(i, http.MethodGet, "/tables/availability?night=friday&api_key=key-acme", "")
	assert.Equal(t, check.status, http.StatusOK)
	open := f.send(i, http.MethodGet, "/hours", "")
	assert.Equal(t, open.status, http.StatusOK)
}

// Guards against an access key that is forwarded to a target, in any place where callers
// may send it.
func TestNoTargetSeesTheKey(t *testing.T) {
	f := newFleet(t)
	i, _ := f.start("a", "dc-1")
	cases := map[string][]string{
		"bearer":       {"/tables/availability", "Authorization", acmeKey},
		"lower scheme": {"/tables/availability", "Authorization", "bearer key-acme"},
		"x-api-key":    {"/tables/availability", "X-Api-Key", "key-acme"},
		"api-key":      {"/tables/availability", "Api-Key", "key-acme"},
		"api_key":      {"/tables/availability?api_key=key-acme&night=1"},
		"key":          {"/tables/availability?night=1&key=key-acme"},
		"all at once":  {"/tables/availability?key=key-acme&api_key=key-acme", "X-Api-Key", "key-acme", "Api-Key", "key-acme", "Cookie", "k=key-acme"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, f.send(i, http.MethodGet, c[0], "", c[1:]...).status, http.StatusOK)
		})
	}
	runs := f.booking.Runs()
	assert.Equal(t, len(runs), len(cases))
	for _, run := range runs {
		for name, values := range run.Header {
			assert.Assert(t, !strings.Contains(strings.Join(values, " "), "key-acme"), "header %s", name)
		}
		assert.Assert(t, !strings.Contains(run.Path, "key-acme"), run.Path)
	}
}

// Guards against a list of models for a key that no longer works, or with models that
// the workspace is not granted.
func TestModelsNeedAValidKey(t *testing.T) {
	f := newFleet(t)
	i, _ := f.start("a", "dc-1")
	listed := f.send(i, http.MethodGet, "/v1/models", "", "Authorization", "Bearer key-zeta")
	assert.Equal(t, listed.status, http.StatusOK)
	assert.Assert(t, strings.Contains(listed.body, `"id":"chat"`), listed.body)
	assert.Equal(t, f.send(i, http.MethodGet, "/v1/models", "").code(), "key-missing")
	two := f.send(i, http.MethodGet, "/v1/models", "", "Authorization", acmeKey, "X-Api-Key", "key-zeta")
	assert.Equal(t, two.code(), "key-invalid", two.body)
	response, err := http.Post("http://"+i.Addresses().Operator+"/keys/withdraw", "application/json", strings.NewReader(`{"hash":"`+assembler.HashKey("key-zeta")+`","operator":"test"}`))
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, f.send(i, http.MethodGet, "/v1/models", "", "Authorization", "Bearer key-zeta").code(), "key-invalid")
}

// Guards against invalid input that runs anyway or gets an error that does not name the
// faulty part.
func TestBadInputIsRefused(t *testing.T) {
	f := newFleet(t)
	i, _ := f.start("a", "dc-1")
	chat := "/v1/chat/completions"
	cases := map[string]struct {
		method, path, body, key string
		status                  int
		code, contains          string
	}{
		"no key":                {"POST", chat, chatBody(true), "", 401, "key-missing", `"ran":"not-run"`},
		"unknown key":           {"POST", chat, chatBody(true), "Bearer nothing", 401, "key-invalid", `"ran":"not-run"`},
		"route not granted":     {"GET", "/tables/availability", "", "Bearer key-zeta", 403, "route-not-granted", "tables"},
		"not JSON":              {"POST", chat, "{", acmeKey, 400, "bad-request", "chat completions"},
		"wrong type":            {"POST", chat, `{"model":"chat","messages":1}`, acmeKey, 400, "bad-request", `"field":"messages"`},
		"no messages":           {"POST", chat, `{"model":"chat"}`, acmeKey, 400, "bad-request", `"field":"messages"`},
		"no model":              {"POST", chat, `{"messages":[{"content":"x"}]}`, acmeKey, 400, "bad-request", `"field":"model"`},
		"bad bound":             {"POST", chat, `{"model":"chat","max_tokens":0,"messages":[{"content":"x"}]}`, acmeKey, 400, "bad-request", `"field":"max_tokens"`},
		"unknown model":         {"POST", chat, `{"model":"huge","messages":[{"content":"x"}]}`, acmeKey, 404, "route-unknown", "huge"},
		"unknown path":          {"GET", "/nowhere", "", acmeKey, 404, "route-unknown", "/nowhere"},
		"undeclared call":       {"DELETE", "/tables/reservations", "", acmeKey, 404, "call-undeclared", "DELETE"},
		"body too large":        {"POST", "/tables/reservations", strings.Repeat("x", 65537), acmeKey, 413, "body-too-large", `"field":"body"`},
		"path of another route": {"GET", "/tablesavailability", "", acmeKey, 404, "route-unknown", "/tablesavailability"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var headers []string
			if tc.key != "" {
				headers = []string{"Authorization", tc.key}
			}
			a := f.send(i, tc.method, tc.path, tc.body, headers...)
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, tc.status, a.body)
			assert.Equal(t, a.code(), tc.code)
			assert.Assert(t, strings.Contains(a.body, tc.contains), a.body)
			assert.Equal(t, a.ran(), "not-run")
		})
	}
	assert.Equal(t, len(f.booking.Runs())+len(f.engines[0].Runs())+len(f.engines[1].Runs()), 0)
}

// Guards against a reservation that is sent again after the target may have run it.
func TestReservationRunsAtMostOnce(t *testing.T) {
	f := newFleet(t)
	i, _ := f.start("a", "dc-1")
	f.booking.SetFault(func(faker.Run) faker.Misbehaviour { return faker.Misbehaviour{DropAfter: 1} })
	lost := f.send(i, http.MethodPost, "/tables/reservations", `{"guest":1}`, "Authorization", acmeKey, "Idempotency-Key", "k1")
	assert.Equal(t, lost.ran(), "unknown", lost.body)
	f.booking.SetFault(nil)
	again := f.send(i, http.MethodPost, "/tables/reservations", `{"guest":1}`, "Authorization", acmeKey, "Idempotency-Key", "k1")
	assert.Equal(t, again.code(), "outcome-unknown", again.body)
	assert.Equal(t, len(f.booking.Reservations()), 1)

	first := f.send(i, http.MethodPost, "/tables/reservations", `{"guest":2}`, "Authorization", acmeKey, "Idempotency-Key", "k2")
	assert.Equal(t, first.status, http.StatusCreated)
	repeated := f.send(i, http.MethodPost, "/tables/reservations", `{"guest":2}`, "Authorization", acmeKey, "Idempotency-Key", "k2")
	assert.Equal(t, repeated.status, http.StatusCreated)
	assert.Equal(t, repeated.body, first.body)
	reused := f.send(i, http.MethodPost, "/tables/reservations", `{"guest":3}`, "Authorization", acmeKey, "Idempotency-Key", "k2")
	assert.Equal(t, reused.code(), "key-reused")
	assert.Equal(t, len(f.booking.Reservations()), 2)
}

// Guards against a crash of an engine that fails a request which another engine can run.
func TestIdempotentRequestMovesToAnotherTarget(t *testing.T) {
	f := newFleet(t)
	i, _ := f.start("a", "dc-1")
	var crashed atomic.Bool
	crash := func(faker.Run) faker.Misbehaviour {
		if crashed.CompareAndSwap(false, true) {
			return faker.Misbehaviour{DropAfter: -1}
		}
		return faker.Misbehaviour{}
	}
	f.engines[0].SetFault(crash)
	f.engines[1].SetFault(crash)
	a := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(true), "Authorization", acmeKey)
	assert.Equal(t, a.status, http.StatusOK, a.body)
	assert.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"))
}

// Guards against an answer "not-run" for a request whose last attempt was not sent but
// whose first one ran.
func TestNotRunLooksAtAllAttempts(t *testing.T) {
	f := newFleet(t)
	i, _ := f.start("a", "dc-1")
	var first atomic.Bool
	for n := range f.engines {
		f.engines[n].SetFault(func(faker.Run) faker.Misbehaviour {
			if first.CompareAndSwap(false, true) {
				// servers[0] is the platform's; the other engine accepts no connections any more.
				f.servers[1+(1-n)].Listener.Close()
			}
			return faker.Misbehaviour{DropAfter: -1}
		})
	}
	a := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(true), "Authorization", acmeKey)
	assert.Equal(t, a.code(), "target-failed", a.body)
	assert.Equal(t, a.ran(), "unknown", a.body)
	assert.Equal(t, len(f.engines[0].Runs())+len(f.engines[1].Runs()), 1)
	attempts := 0
	for _, e := range i.Timeline().Events {
		if e.Code == recorder.AttemptStarted {
			attempts++
		}
	}
	assert.Equal(t, attempts, 2, "the second attempt must have been tried")
}

// Guards against a truncated answer that looks complete to an ordinary client.
func TestBrokenStreamIsVisible(t *testing.T) {
	cases := map[string]faker.Misbehaviour{
		"dropped":       {DropAfter: 3},
		"no end marker": {NoEndMarker: true},
		"silent":        {Stalled: true},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			i, _ := f.start("a", "dc-1")
			always := func(faker.Run) faker.Misbehaviour { return fault }
			f.engines[0].SetFault(always)
			f.engines[1].SetFault(always)
			a := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(true), "Authorization", acmeKey)
			assert.Assert(t, a.err != nil, "the transfer must not end as if the answer were complete")
			assert.Assert(t, !strings.Contains(a.body, "[DONE]"))
			assert.Assert(t, strings.Contains(a.body, "answer-broken"), a.body)
		})
	}
}

// Guards against a planned stop that breaks a running request.
func TestPlannedStopLetsRequestsFinish(t *testing.T) {
	f := newFleet(t)
	i, stop := f.start("a", "dc-1")
	result := make(chan answer, 1)
	go func() {
		body := strings.Replace(chatBody(true), `"max_tokens":8`, `"max_tokens":24`, 1)
		result <- f.send(i, http.MethodPost, "/v1/chat/completions", body, "Authorization", acmeKey)
	}()
	f.eventually("request at an engine", func() bool { return len(f.engines[0].Runs())+len(f.engines[1].Runs()) > 0 })
	stop()
	a := <-result
	assert.NilError(t, a.err)
	assert.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), a.body)
}

// Guards against requests that are passed on late in a planned stop and cut at its end, and
// against requests that are aborted then without an answer, or with one that is not true.
func TestLateRequestsDuringShutdown(t *testing.T) {
	const bookingTime = 4 * time.Second
	for name, c := range map[string]struct {
		before, late string // Of the body: what is sent before the stop and late in it.
		code, ran    string
		runs         int
	}{
		"runs beyond the end":          {"{}", "", "target-failed", "unknown", 1},
		"body that ends late":          {"{", "}", "leaving", "not-run", 0},
		"body that ends after the end": {"{", "", "leaving", "not-run", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWith(t, bookingTime)
			f.leave, f.shutdown, f.silence = 200, 2, 30_000
			i, stop := f.start("a", "dc-1")
			conn, err := net.Dial("tcp", i.Addresses().Caller)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /tables/reservations HTTP/1.1\r\nHost: h\r\nAuthorization: %s\r\nContent-Length: 2\r\n\r\n%s", acmeKey, c.before)
			assert.NilError(t, err)
			time.Sleep(200 * time.Millisecond) // It is received.
			time.AfterFunc(time.Second, func() { _, _ = io.WriteString(conn, c.late) })
			stopped := make(chan struct{})
			go func() { stop(); close(stopped) }()
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(settleTimeout)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			var refusal struct {
				Error struct{ Code, Ran string }
			}
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&refusal))
			assert.Equal(t, refusal.Error.Code, c.code)
			assert.Equal(t, refusal.Error.Ran, c.ran)
			assert.Check(t, response.Close, "the connection stays open")
			<-stopped
			assert.Equal(t, len(f.booking.Runs()), c.runs)
		})
	}
}

// Guards against a path or query that reaches its target changed, such as a slash or a
// question mark that the caller had encoded.
func TestPathsReachTheirTargetsUnchanged(t *testing.T) {
	f := newFleet(t)
	paths := make(chan string, 1)
	f.servers[3].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/availability") {
			paths <- r.RequestURI
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "{}")
	})
	i, _ := f.start("a", "dc-1")
	for sent, want := range map[string]string{
		"/tables/availability":               "/availability",
		"/tables/availability?day=1&x=%20":   "/availability?day=1&x=%20",
		"/tables/availability/a%2Fb":         "/availability/a%2Fb",
		"/tables/availability/a%3Fb%23c":     "/availability/a%3Fb%23c",
		"/tables/availability//a/./b/../c":   "/availability//a/./b/../c",
		"/tables/availability/%c3%a4;d=e[1]": "/availability/%c3%a4;d=e[1]",
		"/t%61bles/availability/a%2Fb":       "/availability/a/b", // The prefix has no certain end.
	} {
		answer := getUnchanged(t, i.Addresses().Caller, sent)
		assert.Check(t, strings.HasPrefix(answer, "HTTP/1.1 200"), "%s: %s", sent, answer)
		select {
		case got := <-paths:
			assert.Equal(t, got, want)
		default:
			t.Errorf("%s did not arrive", sent)
		}
	}
}

// Guards against targets that count as failed because nobody can send them a caller's path.
func TestPathsThatCannotBeSentAreRefused(t *testing.T) {
	f := newFleet(t)
	i, _ := f.start("a", "dc-1")
	for range 5 {
		answer := getUnchanged(t, i.Addresses().Caller, "/hours//a{b")
		assert.Check(t, strings.HasPrefix(answer, "HTTP/1.1 400"), answer)
	}
	answer := getUnchanged(t, i.Addresses().Caller, "/hours")
	assert.Check(t, strings.HasPrefix(answer, "HTTP/1.1 200"), answer)
	for _, e := range i.Timeline().Events {
		assert.Check(t, e.Code != recorder.AttemptFailed && e.Code != recorder.TargetEjected, "%v", e)
	}
}

// getUnchanged sends a request whose path no library may change, and returns the answer.
func getUnchanged(t *testing.T, address, path string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: %s\r\nConnection: close\r\n\r\n", path, acmeKey)
	assert.NilError(t, err)
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	return string(answer)
}

// Guards against goroutines that continue after their instance stopped.
func TestStoppedInstanceLeavesNoGoroutines(t *testing.T) {
	f := newFleet(t)
	before := runtime.NumGoroutine()
	a, stopA := f.start("a", "dc-1")
	b, stopB := f.start("b", "dc-1")
	f.eventually("instances know each other", func() bool { return a.Status().Members == 2 && b.Status().Members == 2 })
	for _, i := range []*assembler.Instance{a, b} {
		got := f.send(i, http.MethodPost, "/v1/chat/completions", chatBody(true), "Authorization", acmeKey)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	stopA()
	stopB()
	http.DefaultClient.CloseIdleConnections()
	f.eventually("all goroutines of the instances ended", func() bool {
		// The fakes' goroutines for dropped connections end slightly later.
		for _, server := range f.servers {
			server.CloseClientConnections()
		}
		return runtime.NumGoroutine() <= before
	})
}
