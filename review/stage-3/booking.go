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
	bookingQueue   = 24
	bookingWork    = 15 * time.Millisecond
	bookingBytes   = 800
	bookDeadline   = 1500 * time.Millisecond
	bookClients    = 12
	bookInterval   = 400 * time.Millisecond // Of each client.
	bookRetries    = 1                      // Of a client, after a promise that its request has not run.
	promiseWait    = 100 * time.Millisecond
	// minServedShare is the share of the sound requests that must be served for a case to say
	// anything: a deadly request takes two of three servers.
	minServedShare = 0.25
)

// booker is the stand-in of a booking server.
type booker struct {
	server
	deadly  func(r *http.Request, body []byte) bool // Whether a request crashes the server.
	ran     func(arrival)
	waiting atomic.Int64
	slots   chan struct{}
}

// startBookers writes the configuration, starts a booking server in each zone and keeps
// registering them.
func startBookers(w *world, deadly func(r *http.Request, body []byte) bool) (*engines, error) {
	w.store.Write("config", "main", bookingConfiguration())
	f := &engines{}
	var list []*booker
	for _, zone := range zones {
		b := &booker{deadly: deadly, ran: f.record(w), slots: make(chan struct{}, bookingSlots)}
		b.server = server{world: w, zone: zone, handler: b.serve, entry: func() map[string]any {
			return map[string]any{"Service": bookingService, "Slots": bookingSlots}
		}}
		if err := b.start(); err != nil {
			return nil, err
		}
		list = append(list, b)
	}
	w.repeat(heartbeatTime, func() {
		for _, b := range list {
			b.beat()
		}
	})
	return f, nil
}

func (b *booker) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id, _ := b.identity()
	requestID, h := r.Header.Get("X-Request-Id"), w.Header()
	h.Set("X-Request-Id", requestID)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", len(b.slots), max(b.waiting.Load()-int64(len(b.slots)), 0), bookingSlots))
	deadly := b.deadly(r, body)
	if r.Header.Get("X-Expect-Instance") != id {
		h.Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.waiting.Add(1) > bookingSlots+bookingQueue {
		b.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	b.ran(arrival{id: requestID, server: id, at: time.Now(), deadly: deadly})
	time.Sleep(bookingWork)
	h.Set("X-Server-Stamp", "stamp."+id)
	if deadly {
		w.WriteHeader(http.StatusInternalServerError)
		time.AfterFunc(deadlyDelay, b.crash)
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

// crashAfterFailure sends a booking that each server that runs it answers with 500, and then
// crashes. It comes again with the same path, caller and body at other instances.
func crashAfterFailure(w *world, trouble bool) (broken bool, err error) {
	const deadly = "the deadly booking"
	f, err := startBookers(w, func(r *http.Request, body []byte) bool { return trouble && bytes.Equal(body, []byte(deadly)) })
	if err != nil {
		return false, err
	}
	if err := w.startInstances(1); err != nil {
		return false, err
	}
	stop := w.bookBeside()
	for n := range deadlyRepeats {
		go w.book(w.instances[n%len(w.instances)], fmt.Sprintf("deadly-%02d", n), deadly)
		time.Sleep(deadlyInterval)
	}
	asked, whole := stop()
	w.notef("bookings beside: %d made, %d served", asked, whole)
	if float64(whole) < minServedShare*float64(asked) {
		return false, fmt.Errorf("only %d of %d bookings were served: the case says nothing", whole, asked)
	}
	return w.judgeCrashes(f.all()), nil
}

// bookBeside makes sound bookings until stop is called, which returns how many were made and
// how many were answered with success.
func (w *world) bookBeside() (stop func() (asked, whole int64)) {
	var booking sync.WaitGroup
	var asked, whole atomic.Int64
	done := make(chan struct{})
	for n := range bookClients {
		booking.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(bookInterval/2 + rand.N(bookInterval)):
				}
				asked.Add(1)
				for attempt := range 1 + bookRetries {
					id := fmt.Sprintf("book-%02d-%03d-%d", n, k, attempt)
					o := w.book(w.instances[(n+attempt)%len(w.instances)], id, fmt.Sprintf("seat %d of client %d", k, n))
					if o.status == http.StatusOK {
						whole.Add(1)
					}
					if !isPromise(o.status) {
						break
					}
					time.Sleep(promiseWait)
				}
			}
		})
	}
	return func() (int64, int64) {
		close(done)
		booking.Wait()
		return asked.Load(), whole.Load()
	}
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
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: bookDeadline}
	return w.send(c, i, message{
		id: id, path: bookPrefix + "2f", body: body,
		header: map[string]string{"X-Deadline-Ms": strconv.FormatInt(bookDeadline.Milliseconds(), 10)},
	})
}
