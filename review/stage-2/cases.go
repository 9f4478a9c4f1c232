package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumwharf/gypsumwharf/platform/imitator"
)

var oneTenant = []map[string]any{{"Name": "huka270", "ApiKeys": []string{"key-a"}}}

// hangup stops a node as planned and, with trouble, tells it during its grace time that
// its settings file has changed.
func hangup(w *world, trouble bool) (bool, error) {
	for i := range 2 {
		if err := w.addServer(&imitator.Target{ID: fmt.Sprintf("i-%d", i), Service: "booking", Zone: "nl-west-a", Work: 1200 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	w.configure(1, oneTenant, []string{"booking"}, route("/book/", "unsafe", "booking", 3*time.Second, 1))
	n, err := w.addNode("front-nl-west-a-1", "nl-west-a")
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(inTouchAfter)
	l := w.startLoad(n, "book", "POST", "/book/1", "key-a", 100*time.Millisecond, 3*time.Second)
	time.Sleep(2 * time.Second)
	w.record.line("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	stopped := time.Now()
	time.Sleep(time.Second)
	if trouble {
		w.record.line("SIGHUP to %s", n.name)
		n.signal(syscall.SIGHUP)
	}
	l.stop()
	select {
	case <-n.ended:
	case <-time.After(time.Until(stopped.Add(shutdownSeconds * time.Second))):
	}
	lost := 0
	for _, q := range l.all {
		runs := w.ledger.RunsOf(q.id)
		// Sent no later than 3 s after the SIGTERM, passed on to a server, cut.
		if !q.answered() && len(runs) > 0 && q.sentAt.Sub(stopped) < 3*time.Second {
			lost++
			w.record.line("%s: passed on to %s at %.3f s, its connection ended without an answer %.3f s after the SIGTERM",
				q.id, runs[0].Target, runs[0].At.Sub(w.record.began).Seconds(), q.endedAt.Sub(stopped).Seconds())
		}
	}
	w.record.line("%d requests sent, %d that were passed on to a server lost their answer", len(l.all), lost)
	return lost > 0, nil
}

// tenants takes, with trouble, the last tenant and so its key away. Then clients send the
// key that was taken away, a key that no configuration ever held, and none.
func tenants(w *world, trouble bool) (bool, error) {
	r := route("/book/", "unsafe", "booking", 3*time.Second, 1)
	n, err := w.startOne(&imitator.Target{ID: "i-0", Service: "booking", Zone: "nl-west-a", Work: 20 * time.Millisecond}, r)
	if err != nil {
		return false, err
	}
	time.Sleep(inTouchAfter)
	if trouble {
		w.configure(2, []map[string]any{}, []string{"booking"}, r)
	}
	acknowledged := time.Now()
	time.Sleep(withdrawalMilliseconds*time.Millisecond + time.Second)
	count := 0
	for i, key := range []string{"key-a", "never", ""} {
		q := &request{id: fmt.Sprintf("book-%d", i), method: "POST", path: "/book/1", key: key, deadline: 3 * time.Second}
		w.send(n, q)
		if key == "key-a" && !trouble {
			continue // It may run.
		}
		for _, run := range w.ledger.RunsOf(q.id) {
			count++
			w.record.line("%s with key %q, sent %.3f s after the acknowledgement, ran at %s for tenant %q", q.id, q.key, q.sentAt.Sub(acknowledged).Seconds(), run.Target, run.Tenant)
		}
	}
	return count > 0, nil
}

// slashes sends a path that begins with two slashes. With trouble, a configuration has
// added a route for all paths.
func slashes(w *world, trouble bool) (bool, error) {
	r := route("/book/", "unsafe", "booking", 3*time.Second, 1)
	n, err := w.startOne(&imitator.Target{ID: "i-0", Service: "booking", Zone: "nl-west-a", Work: 20 * time.Millisecond}, r)
	if err != nil {
		return false, err
	}
	time.Sleep(inTouchAfter)
	if trouble {
		w.configure(2, oneTenant, []string{"booking"}, r, route("/", "unsafe", "booking", 3*time.Second, 1))
	}
	time.Sleep(configurationApplied + time.Second)
	changed := 0
	for i, path := range []string{"/book/1?c=1", "//book/1?c=1"} {
		q := &request{id: fmt.Sprintf("book-%d", i), method: "POST", path: path, key: "key-a", deadline: 3 * time.Second}
		w.send(n, q)
		for _, run := range w.ledger.RunsOf(q.id) {
			w.record.line("%s was sent with path %q and ran with path %q", q.id, path, run.Path)
			if run.Path != path {
				changed++
			}
		}
	}
	return changed > 0, nil
}

// startOne starts a node and one server, and waits until the node is ready.
func (w *world) startOne(s *imitator.Target, r map[string]any) (*node, error) {
	if err := w.addServer(s); err != nil {
		return nil, err
	}
	w.configure(1, oneTenant, []string{s.Service}, r)
	n, err := w.addNode("front-nl-west-a-1", "nl-west-a")
	if err != nil {
		return nil, err
	}
	return n, w.awaitReady()
}

// twice sends requests that may run once at most. With trouble, one of the two servers
// loses answers: it runs a request and closes the connection.
func twice(w *world, trouble bool) (bool, error) {
	var servers []*imitator.Target
	for i := range 2 {
		s := &imitator.Target{ID: fmt.Sprintf("i-%d", i), Service: "booking", Zone: "nl-west-a", Work: 20 * time.Millisecond}
		if err := w.addServer(s); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	w.configure(1, oneTenant, []string{"booking"}, route("/book/", "unsafe", "booking", 3*time.Second, 1))
	n, err := w.addNode("front-nl-west-a-1", "nl-west-a")
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(inTouchAfter)
	var all []*request
	began := time.Now()
	for i := range 200 {
		// Answers get lost for 6 s at a time, with pauses.
		if trouble && i%3 == 2 && time.Since(began)%(9*time.Second) < 6*time.Second {
			servers[0].SetBehaviour(imitator.Dropping)
		}
		q := &request{
			id: fmt.Sprintf("book-%03d", i), method: "POST", path: "/book/1", key: "key-a", extra: "Idempotency-Key:\r\n", deadline: 3 * time.Second,
		}
		w.send(n, q)
		all = append(all, q)
		servers[0].SetBehaviour(imitator.Normal)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	count := 0
	for _, q := range all {
		if runs := w.ledger.RunsOf(q.id); len(runs) > 1 {
			count++
			for _, run := range runs {
				w.record.line("%s ran at %s at %.3f s", q.id, run.Target, run.At.Sub(w.record.began).Seconds())
			}
		}
	}
	w.record.line("%d requests sent, %d ran more than once", len(all), count)
	return count > 0, nil
}

// limits stops a node as planned after, with trouble, a configuration has changed the time
// for which clients may stay idle. A stream that began before the change is still sent when
// the node stops, and a client uses a connection that it opened after the change.
func limits(w *world, trouble bool) (bool, error) {
	for _, s := range []*imitator.Target{
		{ID: "i-0", Service: "booking", Zone: "nl-west-a", Work: 1200 * time.Millisecond},
		{ID: "i-1", Service: "chat", Zone: "nl-west-a", Work: 400 * time.Millisecond, Events: 40},
	} {
		if err := w.addServer(s); err != nil {
			return false, err
		}
	}
	routes := []map[string]any{
		route("/book/", "unsafe", "booking", 3*time.Second, 1), route("/chat/", "streaming", "chat", 30*time.Second, 1),
	}
	services := []string{"booking", "chat"}
	w.configure(1, oneTenant, services, routes...)
	n, err := w.addNode("front-nl-west-a-1", "nl-west-a")
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(inTouchAfter)
	before, err := connect(n)
	if err != nil {
		return false, err
	}
	defer before.Close()
	w.sendOn(n, before, &request{id: "book-before", method: "POST", path: "/book/1", key: "key-a", deadline: 3 * time.Second})
	if trouble {
		w.configureIdle(2, 12*time.Second, oneTenant, services, routes...)
	}
	time.Sleep(configurationApplied + inTouchAfter)
	after, err := connect(n)
	if err != nil {
		return false, err
	}
	defer after.Close()
	w.sendOn(n, after, &request{id: "book-after", method: "POST", path: "/book/1", key: "key-a", deadline: 3 * time.Second})
	var streaming sync.WaitGroup
	streaming.Go(func() {
		w.sendOn(n, before, &request{id: "chat", method: "POST", path: "/chat/1", key: "key-a", deadline: 15 * time.Second})
	})
	time.Sleep(500 * time.Millisecond)
	w.record.line("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	stopped := time.Now()
	time.Sleep(time.Until(stopped.Add(6900 * time.Millisecond)))
	q := &request{id: "book-late", method: "POST", path: "/book/1", key: "key-a", deadline: 3 * time.Second}
	w.sendOn(n, after, q)
	streaming.Wait()
	select {
	case <-n.ended:
	case <-time.After(time.Until(stopped.Add(shutdownSeconds * time.Second))):
	}
	runs := w.ledger.RunsOf(q.id)
	if len(runs) > 0 && !q.answered() {
		w.record.line("%s, sent %.3f s after the SIGTERM, was passed on to %s at %.3f s; its connection ended without an answer %.3f s after the SIGTERM",
			q.id, q.sentAt.Sub(stopped).Seconds(), runs[0].Target, runs[0].At.Sub(w.record.began).Seconds(), q.endedAt.Sub(stopped).Seconds())
		return true, nil
	}
	return false, nil
}
