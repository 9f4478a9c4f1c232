package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/assembler"
)

// balancer distributes requests over the instances that are in service.
type balancer struct {
	mu        sync.Mutex
	instances []*assembler.Instance
	turn      int
}

func (b *balancer) next() *assembler.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	return b.instances[b.turn%len(b.instances)]
}

func (b *balancer) replace(old, fresh *assembler.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, i := range b.instances {
		if i == old {
			b.instances[n] = fresh
		}
	}
}

// replacementLoad holds the results that callers got while instances were replaced.
type replacementLoad struct {
	mu            sync.Mutex
	completed     int
	failed        []string
	confirmedKeys []string
}

// run sends requests until stop is closed.
func (l *replacementLoad) run(f *fleet, b *balancer, caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if n%3 == 0 {
			l.reserve(f, b, fmt.Sprintf("key-%d-%d", caller, n))
			continue
		}
		l.chat(f, b)
		// Callers pause between requests, since a busy loop would overload the machine.
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *replacementLoad) chat(f *fleet, b *balancer) {
	for {
		a := f.send(b.next(), http.MethodPost, "/v1/chat/completions", chatBody(true), "Authorization", acmeKey, "Connection", "close")
		if a.err != nil && strings.Contains(a.err.Error(), "connection refused") {
			continue // A load balancer tries the next instance.
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if a.err == nil && a.status == http.StatusOK && strings.HasSuffix(a.body, "data: [DONE]\n\n") {
			l.completed++
			return
		}
		l.failed = append(l.failed, fmt.Sprintf("%d %v %s", a.status, a.err, a.body))
		return
	}
}

// reserve retries a reservation with its idempotency key until it is confirmed.
func (l *replacementLoad) reserve(f *fleet, b *balancer, key string) {
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		a := f.send(b.next(), http.MethodPost, "/tables/reservations", `{"guest":"x"}`, "Authorization", acmeKey, "Idempotency-Key", key, "Connection", "close")
		if a.err == nil && a.status == http.StatusCreated {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.confirmedKeys = append(l.confirmedKeys, key)
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = append(l.failed, "reservation "+key+" was never confirmed")
}

// Guards against a rolling replacement that breaks requests, duplicates or loses
// reservations, or loses usage counts.
func TestRollingReplacementOfAllInstances(t *testing.T) {
	f := newFleet(t)
	// The balancer stops sending to an instance before it closes its address.
	f.leave = 500
	var b balancer
	stops := map[*assembler.Instance]func(){}
	for _, name := range []string{"a", "b", "c"} {
		i, stop := f.start(name, "dc-1")
		b.instances, stops[i] = append(b.instances, i), stop
	}
	first := append([]*assembler.Instance(nil), b.instances...)
	f.eventually("all instances know each other", func() bool { return first[0].Status().Members == 3 && first[2].Status().Members == 3 })
	var l replacementLoad
	stop := make(chan struct{})
	var group sync.WaitGroup
	for caller := range 4 {
		group.Go(func() { l.run(f, &b, caller, stop) })
	}
	for n, old := range first {
		fresh, _ := f.start(fmt.Sprintf("fresh-%d", n), "dc-1")
		f.eventually("the fresh instance knows the others", func() bool { return fresh.Status().Members >= 4 })
		b.replace(old, fresh)
		stops[old]()
	}
	close(stop)
	group.Wait()
	assert.Equal(t, len(l.failed), 0, "%v", l.failed)
	made := map[string]int{}
	for _, r := range f.booking.Reservations() {
		made[r.IdempotencyKey]++
	}
	for _, key := range l.confirmedKeys {
		assert.Equal(t, made[key], 1, key)
	}
	assert.Equal(t, len(made), len(l.confirmedKeys))
	t.Logf("%d streams and %d reservations through the replacement of 3 instances", l.completed, len(l.confirmedKeys))
	defer func() {
		if t.Failed() {
			left, err := f.platform.List(context.Background(), "usage-left/")
			t.Logf("billed %d streams and %d reservations; counts left in the store: %v %v", f.billedCalls("chat"), f.billedCalls("tables"), left, err)
		}
	}()
	f.eventually("every answer is billed once", func() bool {
		return f.billedCalls("chat") >= int64(l.completed) && f.billedCalls("tables") >= int64(len(l.confirmedKeys))
	})
	assert.Equal(t, f.billedCalls("chat"), int64(l.completed))
	assert.Equal(t, f.billedCalls("tables"), int64(len(l.confirmedKeys)))
}

// billedCalls returns the calls of a route in the usage reports, counting each window once.
func (f *fleet) billedCalls(route string) int64 {
	var calls int64
	seen := map[string]bool{}
	for _, report := range f.platform.Reports() {
		if seen[report.Window] {
			continue
		}
		seen[report.Window] = true
		for _, line := range append(report.Lines, report.Late...) {
			if line.Route == route {
				calls += line.Calls
			}
		}
	}
	return calls
}
