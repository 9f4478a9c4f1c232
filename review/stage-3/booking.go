package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bookingService = "wuno96b"
	bookPrefix     = "/pule252/"
	bookingSlots   = 6
	bookingWork    = 15 * time.Millisecond
	bookingBytes   = 800
	bookDeadline   = 1500 * time.Millisecond
	bookClients    = 12
	bookInterval   = 500 * time.Millisecond // Of each client.
	bookTime       = 20 * time.Second
	bookRetries    = 1    // Of a client, after a promise that its request has not run.
	greyShare      = 0.45 // Of the requests of the grey server that fail.
	promiseWait    = 100 * time.Millisecond
)

// booker is the stand-in of a booking server.
type booker struct {
	world    *world
	id       string
	zone     string
	address  string
	grey     bool // It fails part of the requests that it has run; its health check is good.
	running  atomic.Int64
	sequence atomic.Int64
	runs     *runs
}

// runs are the requests that booking servers have run.
type runs struct {
	mu   sync.Mutex
	byID map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// startBookers writes the configuration, starts a booking server in each zone, the first of
// them grey if grey is set, and keeps registering them.
func startBookers(w *world, grey bool) (*runs, error) {
	w.store.Write("config", "main", bookingConfiguration())
	all := &runs{byID: map[string]int{}}
	var list []*booker
	for n, zone := range zones {
		b := &booker{world: w, id: fmt.Sprintf("i-book-%s", zone), zone: zone, grey: grey && n == 0, runs: all}
		address, stop, err := listenAndServe(http.HandlerFunc(b.serve))
		if err != nil {
			return nil, err
		}
		b.address, w.stops, list = address, append(w.stops, stop), append(list, b)
		b.register()
	}
	w.repeat(heartbeatTime, func() {
		for _, b := range list {
			b.register()
		}
	})
	return all, nil
}

func (b *booker) register() {
	b.world.store.Write("servers", b.id, map[string]any{
		"Service": bookingService, "Address": b.address, "Zone": b.zone, "Version": "v1", "Slots": bookingSlots, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": b.sequence.Add(1), "born": b.world.began.UnixMilli(),
	})
}

func (b *booker) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id, h := r.Header.Get("X-Request-Id"), w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", b.running.Load(), bookingSlots))
	switch {
	case r.Header.Get("X-Expect-Instance") != b.id:
		h.Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case b.running.Load() >= bookingSlots:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running.Add(1)
	defer b.running.Add(-1)
	b.runs.add(id)
	b.world.notef("server %s runs request %s", b.id, id)
	time.Sleep(bookingWork)
	h.Set("X-Server-Stamp", "stamp."+b.id)
	if b.grey && rand.Float64() < greyShare {
		w.WriteHeader(http.StatusServiceUnavailable) // Without X-Not-Executed: it has run.
		return
	}
	h.Set("Content-Length", strconv.Itoa(bookingBytes))
	_, _ = io.WriteString(w, strings.Repeat("b", bookingBytes))
}

// bookingConfiguration returns the operator's configuration with one unsafe route.
func bookingConfiguration() map[string]any {
	c := configuration()
	c["Routes"] = []any{map[string]any{
		"Name": "r-book", "Host": host, "PathPrefix": bookPrefix, "Kind": "unsafe", "TimeoutMs": 800, "TargetLatencyMs": 100, "Priority": 2,
		"Service": bookingService, "MaxAttempts": 1, "PublicAccess": false, "SessionAffinity": false, "Resumable": false,
	}}
	c["Services"] = []any{map[string]any{"Name": bookingService, "HealthPath": "/health", "MaxConnections": 208, "Protocol": "h1", "Tls": false}}
	return c
}

// failedAfterRunning has clients book while one server fails part of the requests that it has
// run, with the status 503.
func failedAfterRunning(w *world, trouble bool) (broken bool, err error) {
	ran, err := startBookers(w, trouble)
	if err != nil {
		return false, err
	}
	if err := w.startInstances(1); err != nil {
		return false, err
	}
	var booking sync.WaitGroup
	var promised, untrue, bookings, whole, doubled atomic.Int64
	end := time.Now().Add(bookTime)
	for n := range bookClients {
		booking.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(bookInterval/2 + rand.N(bookInterval))
				bookings.Add(1)
				times := 0
				for attempt := range 1 + bookRetries {
					id := fmt.Sprintf("book-%02d-%03d-%d", n, k, attempt)
					o := w.book(w.instances[(n+attempt)%len(w.instances)], id, fmt.Sprintf("seat %d of client %d", k, n))
					times += ran.of(id)
					if o.status == http.StatusOK {
						whole.Add(1)
					}
					if !isPromise(o.status) {
						break
					}
					promised.Add(1)
					if ran.of(id) > 0 {
						untrue.Add(1)
						w.notef("request %s has run, though its client got %d", id, o.status)
					}
					time.Sleep(promiseWait)
				}
				if times > 1 {
					doubled.Add(1)
				}
			}
		})
	}
	booking.Wait()
	w.notef("%d bookings, %d answered with success; %d requests were promised not to have run, %d of them had; %d bookings were made twice",
		bookings.Load(), whole.Load(), promised.Load(), untrue.Load(), doubled.Load())
	if whole.Load()*2 < bookings.Load() {
		return false, fmt.Errorf("only %d of %d bookings were served: the case says nothing", whole.Load(), bookings.Load())
	}
	return untrue.Load() > 0, nil
}

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// book sends a booking on a new connection.
func (w *world) book(i *instance, id, body string) outcome {
	began := time.Now()
	w.notef("request %s is sent to %s: POST %s %q", id, i.name, bookPrefix, body)
	r, err := http.NewRequest(http.MethodPost, "http://"+i.caller+bookPrefix+"2f", bytes.NewReader([]byte(body)))
	if err != nil {
		return outcome{}
	}
	r.Host = host
	r.GetBody = nil
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(bookDeadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: bookDeadline}
	o := outcome{}
	if response, err := c.Do(r); err == nil {
		o.status, o.retryAfter, o.stamp = response.StatusCode, response.Header.Get("Retry-After"), response.Header.Get("X-Server-Stamp")
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		o.whole = err == nil
	}
	o.took = time.Since(began)
	w.notef("request %s is answered: %s", id, o)
	return o
}
