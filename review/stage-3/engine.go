package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of an engine.
const (
	slots       = 64
	eventPause  = 25 * time.Millisecond // Between two events of a stream.
	firstPause  = 8 * time.Millisecond  // Until the first token.
	switchTime  = 3 * time.Second       // Of a change of stage.
	chatEvents  = 12
	deadlyDelay = 20 * time.Millisecond // From the first event of a deadly request to the crash.
	backAfter   = 3 * time.Second       // From a crash until the server is back.
)

// engine is the stand-in of a model server. Each start is a new incarnation.
type engine struct {
	world   *world
	service string
	zone    string
	address string
	deadly  func(r *http.Request, body []byte) bool // Whether a request crashes the server.
	ran     func(e arrival)                         // Is told of each request that reaches it.
	running atomic.Int64

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	stage    string
	changing bool
	up       bool
	server   *http.Server
	sequence int
}

// arrival is a request that reached a server.
type arrival struct {
	id, server string
	at         time.Time
	deadly     bool
}

// start makes the engine listen under a new ID and registers it.
func (e *engine) start() error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.address, e.up, e.born, e.changing = l.Addr().String(), true, time.Now().UnixMilli(), false
	_, port, _ := net.SplitHostPort(e.address)
	e.id = fmt.Sprintf("i-%s-%d", port, e.starts)
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }() // Ends when the engine crashes.
	e.register()
	return nil
}

// register writes the engine's entry to the store. The caller holds mu.
func (e *engine) register() {
	e.sequence++
	e.world.store.Write("servers", e.id, map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdRemainingMs": 0,
		"Stage": e.stage, "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}, "Sequence": e.sequence, "born": e.born,
	})
}

// beat registers the engine again while it is up.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up {
		e.register()
	}
}

// crash ends the engine: its connections end, and it takes no new ones until it is back. Its
// entry is removed after three heartbeats of silence.
func (e *engine) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	id, server := e.id, e.server
	e.up = false
	e.mu.Unlock()
	_ = server.Close()
	e.world.notef("server %s at %s crashes", id, e.address)
	time.AfterFunc(lapseTime, func() { e.world.store.Remove("servers", id) })
	time.AfterFunc(backAfter, func() {
		if err := e.start(); err != nil {
			e.world.notef("server at %s does not start: %v", e.address, err)
		}
	})
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	id, stage, changing := e.id, e.stage, e.changing
	e.mu.Unlock()
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
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Stage == e.stage:
		w.WriteHeader(http.StatusOK)
	case e.changing:
		w.WriteHeader(http.StatusConflict)
	default:
		e.changing = true
		born := e.born
		time.AfterFunc(switchTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up && e.born == born {
				e.stage, e.changing = o.Stage, false
				e.register()
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// request serves a request as a stream of events.
func (e *engine) request(w http.ResponseWriter, r *http.Request, body []byte, id, stage string, changing bool) {
	requestID := r.Header.Get("X-Request-Id")
	deadly := e.deadly != nil && e.deadly(r, body)
	e.ran(arrival{id: requestID, server: id, at: time.Now(), deadly: deadly})
	h := w.Header()
	h.Set("X-Request-Id", requestID)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), slots))
	switch {
	case stage == "prefill" || r.Header.Get("X-Stage") != "":
		h.Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case changing || e.running.Load() >= slots:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
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
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, requestID)
		_ = out.Flush()
		if deadly {
			time.Sleep(deadlyDelay)
			e.crash()
			panic(http.ErrAbortHandler)
		}
	}
}
