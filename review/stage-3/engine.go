package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of an engine.
const (
	slots      = 64
	eventPause = 25 * time.Millisecond // Between two events of a stream.
	firstPause = 8 * time.Millisecond  // Until the first token.
	switchTime = 3 * time.Second       // Of a change of stage.
	chatEvents = 12
)

// engine is the stand-in of a model server.
type engine struct {
	server
	deadly  func(r *http.Request, body []byte) bool // Whether a request crashes the server.
	ran     func(e arrival)                         // Is told of each request that it runs.
	running atomic.Int64
	early   bool // A deadly request crashes it before its first event, not after it.

	stageMu  sync.Mutex
	stage    string
	changing int64 // The start of the process that changes its stage; 0 if none does.
}

func newEngine(w *world, zone, stage string, crashed func(at time.Time)) *engine {
	e := &engine{stage: stage}
	e.server = server{world: w, zone: zone, handler: e.serve, entry: e.fields, crashed: crashed}
	return e
}

// fields returns the fields of a model server's entry.
func (e *engine) fields() map[string]any {
	e.stageMu.Lock()
	defer e.stageMu.Unlock()
	return map[string]any{
		"Service": engineService, "Slots": slots, "Stage": e.stage, "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
	}
}

// arrival is a request that a server has begun to run.
type arrival struct {
	id, server string
	at         time.Time
	deadly     bool
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id, born := e.identity()
	e.stageMu.Lock()
	stage, changing := e.stage, e.changing == born
	e.stageMu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/order":
		e.order(w, body)
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusOK)
	default:
		e.request(w, r, body, id, stage, changing)
	}
}

// order carries out an order to change the stage.
func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct{ Operation, Stage, Holder string }
	if json.Unmarshal(body, &o) != nil || o.Operation != "Stage" || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, born := e.identity()
	e.stageMu.Lock()
	defer e.stageMu.Unlock()
	switch {
	case o.Stage == e.stage:
		w.WriteHeader(http.StatusOK)
	case e.changing == born:
		w.WriteHeader(http.StatusConflict)
	default:
		e.changing = born
		time.AfterFunc(switchTime, func() { e.endChange(born, o.Stage) })
		w.WriteHeader(http.StatusAccepted)
	}
}

// endChange ends a change of stage, unless the process that was to make it has ended.
func (e *engine) endChange(born int64, stage string) {
	if _, now := e.identity(); now != born {
		return
	}
	e.stageMu.Lock()
	e.stage, e.changing = stage, 0
	e.stageMu.Unlock()
	e.beat()
}

// request serves a request as a stream of events.
func (e *engine) request(w http.ResponseWriter, r *http.Request, body []byte, id, stage string, changing bool) {
	requestID := r.Header.Get("X-Request-Id")
	deadly := e.deadly != nil && e.deadly(r, body)
	h := w.Header()
	h.Set("X-Request-Id", requestID)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), slots))
	switch {
	case (stage == "prefill") != (r.Header.Get("X-Stage") == "prefill"):
		h.Set("X-Instance-Id", id) // The wrong stage.
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case changing || e.running.Load() >= slots:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if stage == "prefill" {
		time.Sleep(firstPause)
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"Handle":"%s","Tokens":220,"Version":1}`, rand.Text())
		return
	}
	e.ran(arrival{id: requestID, server: id, at: time.Now(), deadly: deadly})
	e.running.Add(1)
	defer e.running.Add(-1)
	h.Set("X-Server-Stamp", "stamp."+id)
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out := http.NewResponseController(w)
	for n := after + 1; n <= chatEvents; n++ {
		pause := eventPause
		if n == after+1 {
			pause = firstPause
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		if deadly && e.early {
			e.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, requestID)
		_ = out.Flush()
		if deadly {
			time.Sleep(deadlyDelay)
			e.crash()
			panic(http.ErrAbortHandler)
		}
	}
}
