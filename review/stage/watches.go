package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// watchCutter cuts off waiting watches of the servers' list.
type watchCutter struct {
	store http.Handler

	mu      sync.Mutex
	waiting map[*http.Request]context.CancelCauseFunc
	cuts    int
}

type cutError struct{}

func (cutError) Error() string { return "cut off" }

func (c *watchCutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/objects/servers") || !r.URL.Query().Has("Watch") {
		c.store.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	c.mu.Lock()
	c.waiting[r] = cancel
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, r)
		c.mu.Unlock()
		cancel(nil)
	}()
	c.store.ServeHTTP(w, r.WithContext(ctx))
	if context.Cause(ctx) == (cutError{}) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("{"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// cut cuts off the watches that wait now.
func (c *watchCutter) cut() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.waiting)
	for _, cancel := range c.waiting {
		cancel(cutError{})
	}
	c.cuts += n
	return n
}

var cutter = &watchCutter{waiting: map[*http.Request]context.CancelCauseFunc{}}

// watches is the case of a store that cuts off waiting watches while a server leaves.
func watches(w *world) (broken bool, err error) {
	const (
		rate     = 63.0 // Bookings and look-ups a second of the site.
		every    = 1500 * time.Millisecond
		leaveAt  = 9750 * time.Millisecond // Between two cuts.
		stays    = 8 * time.Second         // How long the server serves after its entry was removed.
		total    = 23 * time.Second
		deadline = 3 * time.Second
	)
	w.configure(7, []route{{Name: "book", Host: callerHost, PathPrefix: "/book/", Kind: "unsafe", Service: plainService, TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2}})
	for i := range 4 {
		if _, err := w.addTarget(fmt.Sprintf("i-book%d", i), "nl-west-a", 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if _, err := w.addMachine(fmt.Sprintf("front-nl-west-a-%d", i+1), "nl-west-a", "nl-west"); err != nil {
			return false, err
		}
	}
	if !w.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	began := time.Now()
	var leftAt time.Time
	var background sync.WaitGroup
	background.Go(func() {
		time.Sleep(leaveAt)
		w.store.Remove("servers", "i-book0")
		leftAt = time.Now()
		w.say("store: the entry of i-book0 is removed")
		time.Sleep(stays)
		w.targets[0].Stop()
		w.say("i-book0 has ended")
	})
	if w.trouble {
		background.Go(func() {
			for time.Since(began) < total {
				w.note("store: %d watches cut off", cutter.cut())
				time.Sleep(every)
			}
		})
	}
	var users sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	random := rand.New(rand.NewPCG(28, 3))
	for n, next := 0, began; next.Before(began.Add(total)); n++ {
		time.Sleep(time.Until(next))
		m := w.machines[n%2]
		users.Go(func() {
			u, err := connect(m)
			if err != nil {
				return
			}
			defer u.close()
			a := u.request("POST", "/book/seat", fmt.Sprintf("u-%05d", n), strings.Repeat("b", 600), deadline)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	users.Wait()
	background.Wait()
	late, last := 0, time.Duration(0)
	for _, r := range w.ledger.Runs() {
		w.note("run %s at %s at %.3f", r.ID, r.Target, r.At.Sub(w.start).Seconds())
		if after := r.At.Sub(leftAt); r.Target == "i-book0" && after > drainTime {
			late++
			last = max(last, after)
		}
	}
	statuses := map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
		w.note("request %s at %s, sent at %.3f: status %d after %d ms", a.id, a.machine, a.sent.Sub(w.start).Seconds(), a.status, a.after.Milliseconds())
	}
	w.say("answers by status: %v; requests that reached i-book0 later than %v after its entry was removed: %d, the last one after %v", statuses, drainTime, late, last)
	return late > 0, nil
}
