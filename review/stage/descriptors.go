package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// descriptors is the case of many users who come at once: each opens a connection, books
// and keeps its connection for as long as the pages let it.
func descriptors(w *world) (broken bool, err error) {
	const (
		rate        = 243.0 // Requests a second of the site.
		burst       = 1.9   // As many times the traffic, the largest that the site file names for 10 s.
		warmUp      = 16 * time.Second
		burstTime   = 10 * time.Second
		aftermath   = 26 * time.Second
		keep        = idleTimeout * 4 / 5
		timeout     = 2 * time.Second // TimeoutMs of the route.
		deadline    = 3 * time.Second
		chokedAfter = 5 * time.Second
	)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 12000 {
		return false, fmt.Errorf("clients and servers need 12,000 descriptors: %v, %w", limit, err)
	}
	shares := []float64{0.58, 0.42}
	w.configure(7, []route{{Name: "book", Host: callerHost, PathPrefix: "/book/", Kind: "unsafe", Service: plainService, TimeoutMs: int(timeout.Milliseconds()), TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2}})
	for i := range 4 {
		if _, err := w.addTarget(fmt.Sprintf("i-book%d", i), "nl-west-a", 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range shares {
		if _, err := w.addMachine(fmt.Sprintf("front-nl-west-a-%d", i+1), "nl-west-a", "nl-west"); err != nil {
			return false, err
		}
	}
	if !w.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	stop := make(chan struct{})
	w.keepRotation(stop)
	began := time.Now()
	var mu sync.Mutex
	var answers []answer
	open := map[string]int{}
	var users sync.WaitGroup
	random := rand.New(rand.NewPCG(28, 1))
	arrival := func(n int, m *machine) {
		id := fmt.Sprintf("%s-%06d", "u", n)
		u, err := connect(m)
		if err != nil {
			mu.Lock()
			answers = append(answers, answer{id: id, machine: m.name, sent: time.Now(), broken: true})
			mu.Unlock()
			return
		}
		defer u.close()
		mu.Lock()
		open[m.name]++
		mu.Unlock()
		a := u.request("POST", "/book/seat", id, strings.Repeat("b", 600), deadline)
		mu.Lock()
		answers = append(answers, a)
		mu.Unlock()
		if a.status == 200 {
			time.Sleep(keep) // May send another request until then.
		}
		mu.Lock()
		open[m.name]--
		mu.Unlock()
	}
	end := began.Add(warmUp + burstTime + aftermath)
	nextReport := began
	for n, next := 0, began; next.Before(end); n++ {
		time.Sleep(time.Until(next))
		m := w.choose(shares, random.Float64())
		users.Go(func() { arrival(n, m) })
		r := rate
		if at := next.Sub(began); w.trouble && at >= warmUp && at < warmUp+burstTime {
			r *= burst
		}
		next = next.Add(time.Duration(random.ExpFloat64() / r * float64(time.Second)))
		if next.After(nextReport) {
			nextReport = nextReport.Add(time.Second)
			mu.Lock()
			w.note("%d users came; connections kept: %v", n, open)
			mu.Unlock()
		}
	}
	time.Sleep(deadline + time.Second)
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	for _, m := range w.machines {
		w.say("%s: process runs: %t, ready: %t", m.name, m.running(), m.ready())
	}
	for _, o := range w.duties.Orders.All() {
		w.note("platform: call %s by %s with token %d at %.3f", o.Subject, o.Holder, o.Token, o.At.Sub(w.start).Seconds())
	}
	for _, m := range w.machines {
		for _, line := range w.logLines(m, "too many open files") {
			w.note("log of %s: %s", m.name, line)
		}
	}
	runs := map[string]int{}
	for _, r := range w.ledger.Runs() {
		runs[r.ID]++
	}
	for _, a := range answers {
		w.note("request %s at %s, sent at %.3f: status %d after %d ms, ran %d times", a.id, a.machine, a.sent.Sub(w.start).Seconds(), a.status, a.after.Milliseconds(), runs[a.id])
	}
	// The rule, for requests sent when every excuse of the burst has passed.
	from := began.Add(warmUp + burstTime + chokedAfter + contactTime)
	sent, served, late, unanswered := 0, 0, 0, 0
	for _, a := range answers {
		if a.sent.Before(from) {
			continue
		}
		sent++
		if a.status == 200 {
			served++
		}
		if (a.status == 0 || a.after > timeout) && !a.broken {
			late++
			if a.status == 0 || a.after > timeout+500*time.Millisecond {
				unanswered++
			}
		}
	}
	w.say("sent from 8 s after the burst on: %d, served: %d; unanswered at TimeoutMs: %d, of these without an answer half a second later: %d", sent, served, late, unanswered)
	return late >= 8 && 2*unanswered > late, nil
}
