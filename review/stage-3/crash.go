package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deadlyRepeats  = 24
	deadlyInterval = 1500 * time.Millisecond
	chatClients    = 12
	chatInterval   = 400 * time.Millisecond // Of each client.
	// maxCrashes and maxRetries are the figures of the rule BUDGET on requests that crash
	// the servers that run them.
	maxCrashes = 3
	maxRetries = 3
)

// crashAfterFirstEvent sends a request that crashes each server that begins to run it, just
// after its first token. It comes again with the same path, caller and body at other instances.
func crashAfterFirstEvent(w *world, trouble bool) (broken bool, err error) {
	const deadly = "the deadly chat"
	f, err := startEngines(w, false, func(r *http.Request, body []byte) bool {
		return trouble && bytes.Equal(body, []byte(deadly))
	})
	if err != nil {
		return false, err
	}
	if err := w.startInstances(1); err != nil {
		return false, err
	}
	stop := w.chatBeside()
	for n := range deadlyRepeats {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		go w.send(c, w.instances[n%len(w.instances)], chat(fmt.Sprintf("deadly-%02d", n), deadly, prefix("91bd3f06", "e4402b7d")))
		time.Sleep(deadlyInterval)
	}
	asked, whole := stop()
	w.notef("chats beside: %d sent, %d whole", asked, whole)
	if whole*2 < asked {
		return false, fmt.Errorf("only %d of %d chats were served: the case says nothing", whole, asked)
	}
	return w.judge(f, func(string) bool { return true }), nil // Nothing disturbs an instance.
}

// judge applies the rule BUDGET on requests that crash servers. Of the retries, those count
// that instances in touch have sent.
func (w *world) judge(f *engines, inTouch func(id string) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	retries := 0
	for _, a := range f.arrivals {
		if a.deadly && len(f.crashes) >= maxCrashes && a.at.Sub(f.crashes[maxCrashes-1]) > contactTime && inTouch(a.id) {
			retries++
		}
	}
	w.notef("the request crashed %d servers; %d retries reached servers later than %s after the third crash", len(f.crashes), retries, contactTime)
	return retries > maxRetries
}

// chatBeside sends sound chats until stop is called, which returns how many were sent and how
// many were answered in whole.
func (w *world) chatBeside() (stop func() (asked, whole int64)) {
	var sending sync.WaitGroup
	var asked, whole atomic.Int64
	done := make(chan struct{})
	for n := range chatClients {
		sending.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			i := w.instances[n%len(w.instances)]
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(chatInterval/2 + rand.N(chatInterval)):
				}
				asked.Add(1)
				own := prefix(fmt.Sprintf("a0%06x", n), fmt.Sprintf("b%03x%04x", n, k))
				if o := w.send(c, i, chat(fmt.Sprintf("chat-%02d-%03d", n, k), fmt.Sprintf("chat %d of client %d", k, n), own)); o.status == http.StatusOK && o.whole {
					whole.Add(1)
				}
			}
		})
	}
	return func() (int64, int64) {
		close(done)
		sending.Wait()
		return asked.Load(), whole.Load()
	}
}
