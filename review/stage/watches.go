package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
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

// leaver is a server that is emptied and taken away without having reported it.
type leaver struct {
	target    *imitator.Target
	removedAt time.Time
}

// watches is the case of a store that cuts off the waiting watches twice while a quarter of
// the servers leave.
func watches(w *world) (broken bool, err error) {
	const (
		leaveAt  = 9 * time.Second
		stays    = drainTime + 900*time.Millisecond // How long a server serves after its entry was removed.
		total    = 18 * time.Second
		deadline = 3 * time.Second
	)
	kinds := []kind{
		{allergenScreen, "POST", "/screen/menu", 156, 2 * time.Second},
		{seatBook, "POST", "/book/seat", 44.9, deadline},
		{"seat-check", "GET", "/check/seat", 18, deadline},
	}
	cuts := []time.Duration{leaveAt - 200*time.Millisecond, leaveAt + 1400*time.Millisecond}
	w.configure(7, []route{
		{Name: "screen", Host: callerHost, PathPrefix: "/screen/", Kind: "streaming", Service: streamService, TimeoutMs: 2000, TargetLatencyMs: 150, MaxAttempts: 1},
		{Name: "book", Host: callerHost, PathPrefix: "/book/", Kind: "unsafe", Service: plainService, TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2},
		{Name: "check", Host: callerHost, PathPrefix: "/check/", Kind: "safe", Service: plainService, TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2},
	})
	var leavers []*leaver
	for i := range 4 {
		t, err := w.addTarget(fmt.Sprintf("i-book%d", i), plainService, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		if i == 0 {
			leavers = append(leavers, &leaver{target: t})
		}
	}
	for i := range 9 {
		t, err := w.addTarget(fmt.Sprintf("i-menu%d", i), streamService, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		if i < 2 {
			leavers = append(leavers, &leaver{target: t})
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
	var background sync.WaitGroup
	for i, l := range leavers {
		background.Go(func() {
			time.Sleep(time.Until(began.Add(leaveAt + time.Duration(i)*100*time.Millisecond)))
			w.store.Remove("servers", l.target.ID)
			l.removedAt = time.Now()
			w.say("store: the entry of %s is removed", l.target.ID)
			time.Sleep(stays)
			l.target.Stop()
			w.say("%s has ended", l.target.ID)
		})
	}
	if w.trouble {
		background.Go(func() {
			for _, at := range cuts {
				time.Sleep(time.Until(began.Add(at)))
				w.say("store: %d watches cut off", cutter.cut())
			}
		})
	}
	var users sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	random := rand.New(rand.NewPCG(28, 3))
	all := 0.0
	for _, k := range kinds {
		all += k.perSecond
	}
	for n, next := 0, began; next.Before(began.Add(total)); n++ {
		time.Sleep(time.Until(next))
		draw, k := random.Float64()*all, kinds[len(kinds)-1]
		for _, other := range kinds {
			if draw -= other.perSecond; draw < 0 {
				k = other
				break
			}
		}
		users.Go(func() {
			u, err := connect(w.machines[n%2])
			if err != nil {
				return
			}
			defer u.close()
			body := ""
			if k.method != "GET" {
				body = strings.Repeat("b", 600)
			}
			id := fmt.Sprintf("%s-%06d", k.name, n)
			a := u.request(k.method, k.path, id, body, k.patience)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
		next = next.Add(time.Duration(random.ExpFloat64() / all * float64(time.Second)))
	}
	users.Wait()
	background.Wait()
	statuses := map[int]int{}
	for id, a := range answers {
		statuses[a.status]++
		w.note("request %s at %s, sent at %.3f: status %d after %d ms", id, a.machine, a.sent.Sub(w.start).Seconds(), a.status, a.after.Milliseconds())
	}
	late, lost, last := 0, 0, time.Duration(0)
	for _, r := range w.ledger.Runs() {
		w.note("run %s at %s at %.3f", r.ID, r.Target, r.At.Sub(w.start).Seconds())
		for _, l := range leavers {
			if after := r.At.Sub(l.removedAt); r.Target == l.target.ID && after > drainTime {
				late++
				last = max(last, after)
				if answers[r.ID].status != 200 {
					lost++
				}
			}
		}
	}
	w.say("answers by status: %v; requests that reached a server later than %v after its entry was removed: %d, the last one after %v; of these without a success: %d", statuses, drainTime, late, last.Round(time.Millisecond), lost)
	return late > 0, nil
}
