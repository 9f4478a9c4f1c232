// Command stage plays one case of the review: it starts entry processes and stand-ins,
// disturbs them if TROUBLE is not 0, and judges a rule by what clients and servers saw.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
)

var errNotReady = errors.New("machines did not get ready")

// scenario is one case; it reports whether the rule was broken.
type scenario struct {
	play func(*world) (bool, error)
	wrap func(http.Handler) http.Handler // Wraps the store, if set.
}

func main() { os.Exit(run()) }

func run() int {
	scenarios := map[string]scenario{
		"descriptors": {play: descriptors},
		"deadly":      {play: deadlyRequests},
		"watches":     {play: watches, wrap: func(h http.Handler) http.Handler { cutter.store = h; return cutter }},
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE PROGRAM RECORD")
		return 2
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(program, os.Args[3], os.Getenv("TROUBLE") != "0", s.wrap)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	closeOnce := sync.OnceFunc(w.close)
	defer closeOnce()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		closeOnce()
		os.Exit(2)
	}()
	broken, err := s.play(w)
	switch {
	case err != nil:
		w.say("could not run: %v", err)
		return 2
	case broken:
		w.say("the rule was broken")
		return 1
	}
	w.say("the rule held")
	return 0
}
