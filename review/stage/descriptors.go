package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// kind is a kind of request of the sheet.
type kind struct {
	name, method, path string
	perSecond          float64
	// patience is how long its client waits for an answer to begin.
	patience time.Duration
}

// surge is an entry burst of a day: some kind's traffic, x times for some time.
type surge struct {
	kind        string
	x           float64
	at, lasting time.Duration
}

const (
	seatBook       = "seat-book"
	allergenScreen = "allergen-screen"
)

// descriptors is the case of many users who come at once: each opens a connection, sends a
// request and keeps its connection for as long as the pages let it.
func descriptors(w *world) (broken bool, err error) {
	const (
		warmUp      = 14 * time.Second
		burstTime   = 14 * time.Second
		aftermath   = 26 * time.Second
		keep        = idleTimeout * 4 / 5
		timeout     = 2 * time.Second // TimeoutMs of bookings.
		deadline    = 3 * time.Second // Deadline of their clients.
		chokedAfter = 5 * time.Second
	)
	kinds := []kind{
		{allergenScreen, "POST", "/screen/menu", 156, 2 * time.Second},
		{"guest-chat", "POST", "/chat/table", 23.5, 15 * time.Second},
		{seatBook, "POST", "/book/seat", 44.9, deadline},
		{"seat-check", "GET", "/check/seat", 18, time.Second}, // Clients give up what isn't read after a second.
	}
	// As in the standard day quiet-1, there from 18.0 and 19.0 on.
	surges := []surge{
		{allergenScreen, 1.8, warmUp, burstTime},
		{allergenScreen, 2.0, warmUp + time.Second, 5 * time.Second},
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 12000 {
		return false, fmt.Errorf("clients and servers need 12,000 descriptors: %v, %w", limit, err)
	}
	shares := []float64{0.55, 0.45}
	w.configure(7, []route{
		{Name: "screen", Host: callerHost, PathPrefix: "/screen/", Kind: "streaming", Service: streamService, TimeoutMs: 2000, TargetLatencyMs: 150, MaxAttempts: 1},
		{Name: "chat", Host: callerHost, PathPrefix: "/chat/", Kind: "streaming", Service: streamService, TimeoutMs: 15000, TargetLatencyMs: 120, Priority: 1, MaxAttempts: 2, Resumable: true},
		{Name: "book", Host: callerHost, PathPrefix: "/book/", Kind: "unsafe", Service: plainService, TimeoutMs: int(timeout.Milliseconds()), TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2},
		{Name: "check", Host: callerHost, PathPrefix: "/check/", Kind: "safe", Service: plainService, TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2},
	})
	for i := range 4 {
		if _, err := w.addTarget(fmt.Sprintf("i-book%d", i), plainService, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range 9 {
		if _, err := w.addTarget(fmt.Sprintf("i-menu%d", i), streamService, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range shares {
		if _, err := w.addMachine(fmt.Sprintf("front-nl-west-a-%d", i+1), "nl-west-a"); err != nil {
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
	random := rand.New(rand.NewPCG(28, 1))
	arrival := func(n int, k kind, m *machine) {
		id := fmt.Sprintf("%s-%06d", k.name, n)
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
		body := ""
		if k.method != "GET" {
			body = strings.Repeat("b", 600)
		}
		a := u.request(k.method, k.path, id, body, k.patience)
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
		at := next.Sub(began)
		rates, total := make([]float64, len(kinds)), 0.0
		for i, k := range kinds {
			rates[i] = k.perSecond
			for _, s := range surges {
				if w.trouble && s.kind == k.name && at >= s.at && at < s.at+s.lasting {
					rates[i] *= s.x
				}
			}
			total += rates[i]
		}
		draw, chosen := random.Float64()*total, kinds[len(kinds)-1]
		for i, r := range rates {
			if draw -= r; draw < 0 {
				chosen = kinds[i]
				break
			}
		}
		m := w.choose(shares, random.Float64())
		go arrival(n, chosen, m)
		next = next.Add(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
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
		for _, line := range w.logLines(m, "dependency") {
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
	// The rule, for bookings sent when every excuse of the burst has passed.
	from := began.Add(warmUp + burstTime + chokedAfter + contactTime)
	sent, served, late, unanswered := 0, 0, 0, 0
	for _, a := range answers {
		if a.sent.Before(from) || !strings.HasPrefix(a.id, seatBook) {
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
	w.say("bookings sent from 8 s after the burst on: %d, served: %d; unanswered at TimeoutMs: %d, of these without an answer half a second later: %d", sent, served, late, unanswered)
	return 2*unanswered > late, nil
}
