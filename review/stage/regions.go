package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
)

// regions is the case of machines that are added in a second region of the deployment.
func regions(w *world) (broken bool, err error) {
	const (
		rate     = 63.0 // Bookings and look-ups a second of the site.
		addAt    = 12 * time.Second
		total    = 45 * time.Second
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
	first := len(w.machines)
	began := time.Now()
	if w.trouble {
		time.AfterFunc(addAt, func() {
			for i := range 4 {
				m, err := w.addMachine(fmt.Sprintf("front-nl-east-a-%d", i+1), "nl-east-a", "nl-east")
				if err != nil {
					w.say("could not add a machine: %v", err)
					continue
				}
				w.say("platform: %s of region nl-east was added", m.name)
			}
		})
	}
	var users sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	random := rand.New(rand.NewPCG(28, 4))
	for n, next := 0, began; next.Before(began.Add(total)); n++ {
		time.Sleep(time.Until(next))
		m := w.machines[n%first]
		users.Go(func() {
			u, err := connect(m)
			if err != nil {
				return
			}
			defer u.close()
			a := u.request("POST", "/book/seat", fmt.Sprintf("u-%05d", n), strings.Repeat("b", 600), deadline)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
		})
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	users.Wait()
	var calls []imitator.Order
	for _, c := range w.duties.Orders.All() {
		if c.Subject == "/usage" {
			calls = append(calls, c)
		}
	}
	return w.judgeHolders(calls, statuses), nil
}

// judgeHolders applies the rule ONE to the calls of one duty and subject.
func (w *world) judgeHolders(calls []imitator.Order, statuses map[int]int) bool {
	const leaseTime = 3 * time.Second
	holderOf := map[int64]string{}
	highest := int64(0)
	shared, lower, turns := 0, 0, 0
	for i, c := range calls {
		w.note("platform: usage report by %s with token %d: %s", c.Holder, c.Token, c.Body)
		if h, ok := holderOf[c.Token]; ok && h != c.Holder {
			shared++
		}
		holderOf[c.Token] = c.Holder
		if c.Token < highest {
			lower++
		}
		highest = max(highest, c.Token)
		for j := i - 1; j > 0; j-- {
			if calls[j].Holder == c.Holder || c.At.Sub(calls[j].At) > leaseTime {
				continue
			}
			for k := j - 1; k >= 0; k-- {
				if calls[k].Holder == c.Holder && c.At.Sub(calls[k].At) <= leaseTime {
					turns++
				}
			}
		}
	}
	w.say("answers by status: %v; usage reports: %d; with a token that another holder sent: %d; with a lower token than seen before: %d; turns within LeaseMs: %d", statuses, len(calls), shared, lower, turns)
	return shared > 0 || lower > 0 || turns > 0
}
