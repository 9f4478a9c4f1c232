package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	backAfter   = 3 * time.Second       // From a crash until the server is back.
	deadlyDelay = 20 * time.Millisecond // From the first event of a deadly request to the crash.
)

// server is the life of the stand-in of a server. Each start is a new incarnation.
type server struct {
	world   *world
	zone    string
	handler http.HandlerFunc
	entry   func() map[string]any // Fields of its entry in the store, beside those of all servers.
	crashed func(at time.Time)    // Is told of each crash.

	mu       sync.Mutex
	id       string
	address  string
	starts   int
	born     int64
	up       bool
	sequence int
	http     *http.Server
}

// start makes the server listen under a new ID and registers it.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.starts++
	s.address, s.up, s.born = l.Addr().String(), true, time.Now().UnixMilli()
	_, port, _ := net.SplitHostPort(s.address)
	s.id = fmt.Sprintf("i-%s-%d", port, s.starts)
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.http = h
	go func() { _ = h.Serve(l) }() // Ends when the server crashes.
	s.register()
	return nil
}

// identity returns the ID and the start of the process.
func (s *server) identity() (id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.born
}

// register writes the server's entry to the store. The caller holds mu.
func (s *server) register() {
	s.sequence++
	entry := map[string]any{"Address": s.address, "Zone": s.zone, "Version": "v1", "State": "ready", "ColdRemainingMs": 0, "Sequence": s.sequence, "born": s.born}
	for name, value := range s.entry() {
		entry[name] = value
	}
	s.world.store.Write("servers", s.id, entry)
}

// beat registers the server again while it is up.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		s.register()
	}
}

// crash ends the server: its connections end, and it takes no new ones until it is back. Its
// entry is removed after three heartbeats of silence.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	id, address, h := s.id, s.address, s.http
	s.up = false
	s.mu.Unlock()
	_ = h.Close()
	s.crashed(time.Now())
	s.world.notef("server %s at %s crashes", id, address)
	time.AfterFunc(lapseTime, func() { s.world.store.Remove("servers", id) })
	time.AfterFunc(backAfter, func() {
		if err := s.start(); err != nil {
			s.world.notef("server at %s does not start: %v", address, err)
		}
	})
}
