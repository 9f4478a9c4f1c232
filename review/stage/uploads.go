package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// residentMegabytes returns the memory of a process, as the machine counts it.
func residentMegabytes(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(n) / 1024
		}
	}
	return 0
}

// upload sends a request whose body has the largest size allowed, at a steady rate, and
// waits for its answer.
func (u *user) upload(id string, length int, lasting, deadline time.Duration) answer {
	a := answer{id: id, machine: u.machine, sent: time.Now()}
	_ = u.connection.SetDeadline(a.sent.Add(deadline))
	_, err := io.WriteString(u.connection, head("POST", "/book/seat", id, length, deadline))
	const steps = 32
	piece := strings.Repeat("d", length/steps)
	for i := 0; i < steps && err == nil; i++ {
		_, err = io.WriteString(u.connection, piece)
		time.Sleep(time.Until(a.sent.Add(lasting * time.Duration(i+1) / steps)))
	}
	if err == nil {
		u.readAnswer(&a, "POST")
	}
	a.after = time.Since(a.sent)
	a.broken = a.status == 0 && a.after < deadline
	return a
}

// uploads is the case of many users who send large bodies at once. The platform kills a
// process that exceeds its memory, and starts it again. The rule is broken if that happens
// three times on two machines.
func uploads(w *world) (broken bool, err error) {
	const (
		usual    = 43.0    // Uploads in progress at a machine.
		length   = 4194304 // MaxBodyBytes.
		lasting  = 4 * time.Second
		machines = 2
		burst    = 1.9
	)
	w.configure(7, []route{{Name: "book", Host: callerHost, PathPrefix: "/book/", Kind: "unsafe", Service: plainService, TimeoutMs: 8000, TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2}})
	for i := range 4 {
		if _, err := w.addTarget(fmt.Sprintf("i-book%d", i), "nl-west-a", 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range machines {
		if _, err := w.addMachine(fmt.Sprintf("front-nl-west-a-%d", i+1), "nl-west-a", "nl-west"); err != nil {
			return false, err
		}
	}
	if !w.awaitReady(15 * time.Second) {
		return false, errNotReady
	}
	stop := make(chan struct{})
	var platform sync.WaitGroup
	kills := map[string]int{}
	peaks := map[string]float64{}
	var mu sync.Mutex
	for _, m := range w.machines {
		platform.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if !m.running() {
					mu.Lock()
					w.say("platform: the process of %s has ended and is started again", m.name)
					mu.Unlock()
					time.Sleep(500 * time.Millisecond)
					_ = w.startProcess(m)
				}
				used := residentMegabytes(m.pid())
				mu.Lock()
				peaks[m.name] = max(peaks[m.name], used)
				mu.Unlock()
				if used > memoryMegabytes {
					m.signal(syscall.SIGKILL)
					<-m.ended
					mu.Lock()
					kills[m.name]++
					w.say("platform: %s used %.0f MB of %d and was killed", m.name, used, memoryMegabytes)
					mu.Unlock()
					time.Sleep(500 * time.Millisecond)
					_ = w.startProcess(m)
				}
			}
		})
	}
	began := time.Now()
	var users sync.WaitGroup
	var answers []answer
	random := rand.New(rand.NewPCG(28, 2))
	n := 0
	for next := began; next.Before(began.Add(40 * time.Second)); n++ {
		time.Sleep(time.Until(next))
		m := w.machines[n%machines]
		id := fmt.Sprintf("u-%05d", n)
		users.Go(func() {
			u, err := connect(m)
			if err != nil {
				return
			}
			defer u.close()
			a := u.upload(id, length, lasting, 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		rate := usual * machines / lasting.Seconds()
		at := next.Sub(began)
		if w.trouble && at > 6*time.Second && (at-6*time.Second)%(13*time.Second) < 6*time.Second {
			rate *= burst // Three bursts of 6 s, one each 13 s.
		}
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	users.Wait()
	close(stop)
	platform.Wait()
	statuses := map[int]int{}
	lost := 0
	for _, a := range answers {
		statuses[a.status]++
		if a.broken {
			lost++
		}
	}
	for _, a := range answers {
		w.note("upload %s at %s, sent at %.3f: status %d after %d ms", a.id, a.machine, a.sent.Sub(w.start).Seconds(), a.status, a.after.Milliseconds())
	}
	runs := w.ledger.Runs()
	for _, r := range runs {
		w.note("run %s at %s at %.3f", r.ID, r.Target, r.At.Sub(w.start).Seconds())
	}
	w.say("answers by status: %v; connections that ended without one: %d; peaks of memory: %v; kills: %v", statuses, lost, peaks, kills)
	often := 0
	for _, n := range kills {
		if n >= 3 {
			often++
		}
	}
	return often >= 2, nil
}
