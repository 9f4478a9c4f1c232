package assembler

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// loadPeriod is the interval between load reports asked of each target.
const loadPeriod = 500 * timekeeper.Millisecond

// loadReport is what a target reports.
type loadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// routing chooses targets and keeps a view of them.
type routing struct {
	instance *Instance
	client   *http.Client

	mu      sync.Mutex
	running map[string]int
	reports map[string]loadReport
}

func newRouting(i *Instance) *routing {
	return &routing{
		instance: i,
		client:   &http.Client{Timeout: time.Second},
		running:  map[string]int{},
		reports:  map[string]loadReport{},
	}
}

// choose returns a target for the request that was not tried yet.
func (r *routing) choose(_ context.Context, q request, tried []string) (declarer.Target, *server.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []declarer.Target
	for _, t := range r.instance.Catalogue().TargetsOf(q.Route) {
		if !slices.Contains(tried, t.Name) && !r.reports[t.Name].Leaving {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return declarer.Target{}, server.Refuse(server.CodeNoTarget, "no target serves route %q now", q.Route.Name).
			WithRetryAfter(timekeeper.Second)
	}
	a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if r.load(b) < r.load(a) {
		return b, nil
	}
	return a, nil
}

// load is the work of a target relative to its concurrency. The caller holds mu.
func (r *routing) load(t declarer.Target) float64 {
	return float64(r.running[t.Name]+r.reports[t.Name].Waiting) / float64(t.Concurrency)
}

// started counts an attempt; the returned function is called with its result.
func (r *routing) started(_ request, t declarer.Target) func(dispatcher.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[t.Name]++
	return func(dispatcher.Result) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running[t.Name]--
	}
}

// mayRetry reports whether another attempt is allowed, after the wait that comes before it.
func (r *routing) mayRetry(ctx context.Context, _ request, _ declarer.Target, _ int) bool {
	return ctx.Err() == nil
}

// run asks the targets of the own data centre for their load.
func (r *routing) run(ctx context.Context) {
	r.instance.every(ctx, loadPeriod, func(ctx context.Context) {
		var group sync.WaitGroup
		for _, t := range r.instance.Catalogue().Declaration().Targets {
			group.Go(func() { r.poll(ctx, t) })
		}
		group.Wait()
	})
}

func (r *routing) poll(ctx context.Context, t declarer.Target) {
	report, err := r.fetch(ctx, t)
	if err != nil {
		return
	}
	r.mu.Lock()
	left := report.Leaving && !r.reports[t.Name].Leaving
	r.reports[t.Name] = report
	r.mu.Unlock()
	if left {
		r.instance.recorder.Record(recorder.Event{Code: recorder.TargetLeaving, Target: t.Name, Cause: "load report"})
	}
}

func (r *routing) fetch(ctx context.Context, t declarer.Target) (loadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, t.URL+"/load", nil)
	if err != nil {
		return loadReport{}, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return loadReport{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return loadReport{}, errors.Errorf("load report of %s: status %d", t.Name, response.StatusCode)
	}
	var report loadReport
	return report, json.NewDecoder(response.Body).Decode(&report)
}
