package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
)

const (
	heartbeat = 1200 * time.Millisecond
	darkTime  = 4 * time.Second // From a crash to the start of the next process.
	deadly    = "deadly"        // A body that begins so crashes the server that begins to run it.
	bookWork  = 60 * time.Millisecond
)

// reach is one arrival of a deadly request at a server.
type reach struct {
	id, server string
	at         time.Time
}

// fragile is a booking server that a deadly request crashes: it goes silent, sends
// nothing any more, and starts again after some seconds under a new ID.
type fragile struct {
	w        *world
	name     string
	starts   int
	mu       sync.Mutex
	id       string
	dark     chan struct{} // Closed when the process has crashed.
	reached  []reach
	ran      map[string]int
	server   *http.Server
	entrance *doors
}

// doors is the listener of a server. Once dark is closed, it accepts nothing any more, and
// new connections to it hang, as those to a machine without power.
type doors struct {
	*net.TCPListener
	dark   chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (d *doors) Accept() (net.Conn, error) {
	c, err := d.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case <-d.dark:
		<-d.closed
		_ = c.Close()
		return nil, net.ErrClosed
	default:
		return c, nil
	}
}

// Close implements net.Listener.
func (d *doors) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.TCPListener.Close()
}

// block fills the queue of new connections, so that the kernel answers no further ones.
func (d *doors) block() {
	raw, err := d.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for range 4 {
		c, err := net.DialTimeout("tcp", d.Addr().String(), 30*time.Millisecond)
		if err != nil {
			return
		}
		go func() { <-d.closed; _ = c.Close() }()
	}
}

// start starts a process of the server and registers it.
func (f *fragile) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.starts++
	f.id, f.dark = fmt.Sprintf("%s-%d", f.name, f.starts), make(chan struct{})
	id, dark, born := f.id, f.dark, time.Now().UnixMilli()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, id, dark) }), ReadHeaderTimeout: 10 * time.Second}
	f.server = server
	f.mu.Unlock()
	entrance := &doors{TCPListener: l.(*net.TCPListener), dark: dark, closed: make(chan struct{})}
	f.mu.Lock()
	f.entrance = entrance
	f.mu.Unlock()
	go func() { _ = server.Serve(entrance) }()
	go func() {
		for n := 1; ; n++ {
			f.w.store.Write("servers", id, map[string]any{
				"Service": plainService, "Address": l.Addr().String(), "Zone": "nl-west-a", "Version": "v1", "Slots": 6,
				"State": "ready", "ColdRemainingMs": 0, "Sequence": n, "born": born,
			})
			select {
			case <-dark:
				time.Sleep(3 * heartbeat)
				f.w.store.Remove("servers", id)
				return
			case <-time.After(20 * heartbeat): // The entry changes when more than Sequence does.
			}
		}
	}()
	return nil
}

// serve runs one request; after a crash nothing is answered.
func (f *fragile) serve(w http.ResponseWriter, r *http.Request, id string, dark chan struct{}) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	silent := func() {
		<-r.Context().Done() // Ends when the next process starts or the caller leaves.
		panic(http.ErrAbortHandler)
	}
	select {
	case <-dark:
		silent()
	default:
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if r.Header.Get("X-Expect-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.mu.Lock()
	f.ran[request]++
	f.mu.Unlock()
	if strings.HasPrefix(string(body), deadly) {
		f.crash(request, id, dark)
		silent()
	}
	select {
	case <-dark:
		silent()
	case <-time.After(bookWork):
	}
	text := imitator.Body(request)
	w.Header().Set("X-Server-Stamp", "stamp-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// crash makes the process silent and starts the next one later.
func (f *fragile) crash(request, id string, dark chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-dark:
		return
	default:
	}
	f.reached = append(f.reached, reach{request, id, time.Now()})
	f.w.say("%s begins to run %s and crashes", id, request)
	close(dark)
	server, entrance := f.server, f.entrance
	go entrance.block()
	time.AfterFunc(darkTime, func() {
		_ = server.Close()
		if err := f.start(); err != nil {
			f.w.say("%s could not start again: %v", f.name, err)
		}
	})
}

// deadlyRequests is the case of a booking that crashes each server that begins to run it
// and comes again.
func deadlyRequests(w *world) (broken bool, err error) {
	const (
		rate     = 45.0 // Bookings a second of the site.
		again    = 2 * time.Second
		firstAt  = 6 * time.Second
		total    = 40 * time.Second
		deadline = 3 * time.Second
	)
	w.configure(7, []route{{Name: "book", Host: callerHost, PathPrefix: "/book/", Kind: "unsafe", Service: plainService, TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2}})
	var servers []*fragile
	for i := range 4 {
		f := &fragile{w: w, name: fmt.Sprintf("i-book%d", i), ran: map[string]int{}}
		servers = append(servers, f)
		if err := f.start(); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if _, err := w.addMachine(fmt.Sprintf("front-nl-west-a-%d", i+1), "nl-west-a"); err != nil {
			return false, err
		}
	}
	if !w.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	began := time.Now()
	var mu sync.Mutex
	answers := map[string]answer{}
	var users sync.WaitGroup
	book := func(m *machine, id, body string) {
		u, err := connect(m)
		if err != nil {
			return
		}
		defer u.close()
		a := u.request("POST", "/book/seat", id, body, deadline)
		mu.Lock()
		defer mu.Unlock()
		answers[id] = a
	}
	if w.trouble {
		users.Go(func() {
			for n := 0; time.Since(began) < total; n++ {
				time.Sleep(time.Until(began.Add(firstAt + time.Duration(n)*again)))
				users.Go(func() { book(w.machines[n%2], fmt.Sprintf("deadly-%03d", n), deadly+strings.Repeat("d", 594)) })
			}
		})
	}
	random := rand.New(rand.NewPCG(28, 5))
	for n, next := 0, began; next.Before(began.Add(total)); n++ {
		time.Sleep(time.Until(next))
		users.Go(func() { book(w.machines[n%2], fmt.Sprintf("u-%05d", n), strings.Repeat("b", 600)) })
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	users.Wait()
	var reached []reach
	ran := map[string]int{}
	for _, f := range servers {
		f.mu.Lock()
		reached = append(reached, f.reached...)
		for id, n := range f.ran {
			ran[id] += n
		}
		f.mu.Unlock()
	}
	statuses := map[int]int{}
	for id, a := range answers {
		w.note("request %s at %s, sent at %.3f: status %d after %d ms, ran %d times", id, a.machine, a.sent.Sub(w.start).Seconds(), a.status, a.after.Milliseconds(), ran[id])
		if !strings.HasPrefix(id, deadly) {
			statuses[a.status]++
		}
	}
	third := thirdCrash(reached)
	late := 0
	for _, r := range reached {
		if !third.IsZero() && answers[r.id].sent.After(third.Add(contactTime)) {
			late++
		}
	}
	w.say("sound bookings by status: %v; servers crashed by the deadly request: %d, of these by attempts sent later than %v after the third crash: %d", statuses, len(reached), contactTime, late)
	return late > 3, nil
}

// thirdCrash returns the time of the third crash, or the zero time.
func thirdCrash(reached []reach) time.Time {
	var times []time.Time
	for _, r := range reached {
		times = append(times, r.at)
	}
	for i := range times {
		earlier := 0
		for _, t := range times {
			if t.Before(times[i]) {
				earlier++
			}
		}
		if earlier == 2 {
			return times[i]
		}
	}
	return time.Time{}
}
