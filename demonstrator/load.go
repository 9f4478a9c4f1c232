package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/meter"
)

// callKind is a kind of call in the load.
type callKind int

const (
	kindChat callKind = iota
	kindDossier
	kindAvailability
	kindReservation
)

const (
	// requestsPerSecond is the load of a workspace of weight 1.
	requestsPerSecond = 3
	dossierBytes      = 12000
	maxAttempts       = 6
	// billingTimeout bounds the wait for reports that are due but do not come.
	billingTimeout = 3 * time.Minute
	retryDelay     = 150 * time.Millisecond
	// sendDelay is the time between the moment at which a request is to be sent and its
	// last byte above which the machine, not the deployment, made it late.
	sendDelay = 250 * time.Millisecond
)

// tally counts what the callers of one workspace saw.
type tally struct {
	mu                sync.Mutex
	sent              int
	sentLate          int // by the caller itself
	served            int
	refused           int
	broken            int
	inTime            int
	wrong             int
	tokens            int64
	slowestFirstToken time.Duration
	confirmed         map[string]string // idempotency key to reservation
	refusedNotRun     map[string]bool   // request ids refused as not-run
	lastRefusal       string
}

// load sends the calls of all workspaces to the fleet.
type load struct {
	fleet   *fleet
	client  *http.Client
	tallies map[string]*tally
	routes  routes
	sent    atomic.Int64
	// unreported names the data centres whose reports did not come in time.
	unreported []string
}

// routes are the routes that the load calls.
type routes struct {
	chat, dossier declarer.Route
	service       declarer.Route
}

func newLoad(f *fleet) *load {
	l := &load{fleet: f, tallies: map[string]*tally{}, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: true},
	}}
	for _, r := range f.declaration.Routes {
		switch {
		case r.Kind == declarer.RouteKindService && !r.Open:
			l.routes.service = r
		case r.Kind == declarer.RouteKindModel && r.Name == "chat":
			l.routes.chat = r
		case r.Kind == declarer.RouteKindModel:
			l.routes.dossier = r
		}
	}
	for _, w := range f.declaration.Workspaces {
		l.tallies[w.Name] = &tally{confirmed: map[string]string{}, refusedNotRun: map[string]bool{}}
	}
	return l
}

// run sends the load. The mix shifts from chat to dossiers halfway through.
func (l *load) run(ctx context.Context, length time.Duration) {
	var group sync.WaitGroup
	for n, w := range l.fleet.declaration.Workspaces {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		group.Go(func() { l.sendWorkspaceLoad(ctx, &group, w, random, length) })
	}
	group.Wait()
}

func (l *load) sendWorkspaceLoad(ctx context.Context, group *sync.WaitGroup, w declarer.Workspace, random *rand.Rand, length time.Duration) {
	started := time.Now()
	mean := time.Duration(float64(time.Second) / (requestsPerSecond * w.Weight))
	for time.Since(started) < length {
		pause := time.Duration(random.ExpFloat64() * float64(mean))
		due := time.Now().Add(pause)
		if !sleep(ctx, pause) {
			return
		}
		kind := pickKind(random, time.Since(started) > length/2)
		group.Go(func() { l.call(l.watchSending(ctx, w, due), w, kind) })
	}
}

// watchSending counts the request of a call if it is written late. Further attempts of the
// call are not counted.
func (l *load) watchSending(ctx context.Context, w declarer.Workspace, due time.Time) context.Context {
	var once sync.Once
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		once.Do(func() {
			if time.Since(due) <= sendDelay {
				return
			}
			t := l.tallies[w.Name]
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sentLate++
		})
	}})
}

// pickKind draws a kind of call: mostly chat before the shift, mostly dossiers after it.
func pickKind(random *rand.Rand, shifted bool) callKind {
	draw := random.Float64()
	chat, dossier := 0.60, 0.70
	if shifted {
		chat, dossier = 0.20, 0.70
	}
	switch {
	case draw < chat:
		return kindChat
	case draw < dossier:
		return kindDossier
	case draw < 0.85:
		return kindAvailability
	default:
		return kindReservation
	}
}

func (l *load) call(ctx context.Context, w declarer.Workspace, kind callKind) {
	t := l.tallies[w.Name]
	t.mu.Lock()
	t.sent++
	t.mu.Unlock()
	number := l.sent.Add(1)
	switch kind {
	case kindChat:
		l.sendChat(ctx, w, t, l.routes.chat, fmt.Sprintf("table for tonight? guest %d", number), true)
	case kindDossier:
		l.sendChat(ctx, w, t, l.routes.dossier, strings.Repeat("menu line ", dossierBytes/10)+fmt.Sprint(number), false)
	case kindAvailability:
		l.callService(ctx, w, t, http.MethodGet, l.routes.service.Path+"/availability?night=friday", "", "")
	case kindReservation:
		l.reserve(ctx, w, t, fmt.Sprintf("reservation-%s-%d", w.Name, number))
	}
}

// address returns the address of a live instance, chosen at random in place of the
// platform's load balancer.
func (l *load) address() string {
	for {
		m := l.fleet.members[rand.IntN(len(l.fleet.members))]
		if m.alive() {
			return m.instance.Addresses().Caller
		}
	}
}

func (l *load) send(ctx context.Context, w declarer.Workspace, method, path, key, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+l.address()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer example-"+w.Name)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return l.client.Do(request)
}

// sendChat sends a chat completions request and checks that the answer is complete and
// belongs to it.
func (l *load) sendChat(ctx context.Context, w declarer.Workspace, t *tally, route declarer.Route, prompt string, stream bool) {
	body, err := json.Marshal(map[string]any{
		"model": route.Name, "stream": stream, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return
	}
	started := time.Now()
	response, err := l.send(ctx, w, http.MethodPost, "/v1/chat/completions", "", string(body))
	if err != nil {
		t.record(outcome{broken: true})
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.recordRefusal(response)
		return
	}
	var o outcome
	if stream {
		o = readStream(response, started)
	} else {
		o = readWhole(response)
	}
	o.inTime = time.Since(started) < l.deadline(route)
	t.record(o)
}

func (l *load) deadline(route declarer.Route) time.Duration {
	for _, c := range l.fleet.declaration.Classes {
		if c.Name == route.Class {
			return time.Duration(c.DeadlineMilliseconds) * time.Millisecond
		}
	}
	return 0
}

func (l *load) callService(ctx context.Context, w declarer.Workspace, t *tally, method, path, key, body string) {
	response, err := l.send(ctx, w, method, path, key, body)
	if err != nil {
		t.record(outcome{broken: true})
		return
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		t.recordRefusal(response)
		return
	}
	data, err := io.ReadAll(response.Body)
	t.record(outcome{
		broken: err != nil, inTime: true,
		wrong: !bytes.Contains(data, []byte(response.Header.Get("X-Request-Id"))),
	})
}

// reserve sends a reservation and retries it with the same idempotency key until it is
// confirmed or its outcome stays unknown.
func (l *load) reserve(ctx context.Context, w declarer.Workspace, t *tally, key string) {
	body := fmt.Sprintf(`{"guest":%q}`, key)
	for range maxAttempts {
		response, err := l.send(ctx, w, http.MethodPost, l.routes.service.Path+"/reservations", key, body)
		if err == nil && l.recordReservation(t, key, response) {
			return
		}
		if !sleep(ctx, retryDelay) {
			return
		}
	}
	t.record(outcome{broken: true})
}

// recordReservation records the answer to a reservation and reports whether the caller
// is done, so that no retry is needed.
func (l *load) recordReservation(t *tally, key string, response *http.Response) bool {
	defer response.Body.Close()
	if response.StatusCode != http.StatusCreated {
		code, _ := t.recordRefusal(response)
		return code == "outcome-unknown"
	}
	var answer struct{ Reservation string }
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return false
	}
	t.record(outcome{inTime: true})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed[key] = answer.Reservation
	return true
}

// waitBilled waits until the usage reports have the tokens of every complete answer, or
// until every report is there in which they are due.
func (l *load) waitBilled(ctx context.Context) {
	last := l.fleet.clock.Now() + meter.LateWindows*usageWindow
	for deadline := time.Now().Add(billingTimeout); !l.billed(); {
		l.unreported = l.fleet.unreported(last)
		if len(l.unreported) == 0 || time.Now().After(deadline) || !sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
}

// billed reports whether the usage reports have the tokens of every complete answer.
func (l *load) billed() bool {
	for name, t := range l.tallies {
		t.mu.Lock()
		served := t.tokens
		t.mu.Unlock()
		if l.fleet.billed(name) < served {
			return false
		}
	}
	l.unreported = nil
	return true
}

// reservations returns all reservations that booking servers made.
func (f *fleet) reservations() []faker.Reservation {
	var all []faker.Reservation
	for _, b := range f.bookings {
		all = append(all, b.Reservations()...)
	}
	return all
}
