package assembler

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/connector"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/router"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// loadPeriod is the interval between requests for a target's load report.
	loadPeriod = 500 * timekeeper.Millisecond
	// loadTimeout bounds such a request, and loadIdleTimeout is how long its connection is
	// kept.
	loadTimeout     = time.Second
	loadIdleTimeout = 30 * time.Second
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 64 << 10
)

// loadReport is a target's report of its load.
type loadReport struct {
	At      timekeeper.Millis `json:"at"`
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	Leaving bool              `json:"leaving"`
}

// reports polls the targets for their load and passes it to the router.
type reports struct {
	routing *routing
	client  *http.Client

	mu         sync.Mutex
	generation int64
	leaving    map[string]bool // targets whose last report announced that they leave
}

func newReports(r *routing) *reports {
	client := connector.NewClient(loadTimeout, connector.Options{Dial: new(net.Dialer).DialContext, IdleTimeout: loadIdleTimeout, MaxIdlePerHost: 1})
	return &reports{routing: r, client: client, leaving: map[string]bool{}}
}

// adoptConfiguration passes a newer configuration to the router.
func (r *reports) adoptConfiguration() {
	catalogue := r.routing.instance.Catalogue()
	r.mu.Lock()
	defer r.mu.Unlock()
	if catalogue.Generation() > r.generation {
		r.generation = catalogue.Generation()
		r.routing.router.ApplyConfiguration(catalogue, r.routing.instance.clock.Now())
	}
}

func (r *reports) run(ctx context.Context) {
	r.routing.instance.every(ctx, loadPeriod, func(ctx context.Context) {
		r.adoptConfiguration()
		var group sync.WaitGroup
		for _, t := range r.polledTargets() {
			group.Go(func() { r.poll(ctx, t) })
		}
		group.Wait()
	})
}

// polledTargets returns the targets to poll: those of the instance's data centre, and
// those of data centres without a live instance. For all others, gossip carries the
// notice that a target leaves.
func (r *reports) polledTargets() []declarer.Target {
	i := r.routing.instance
	live := map[string]bool{}
	for _, m := range i.membership.gossiper.Members() {
		live[m.DataCentre] = live[m.DataCentre] || m.Live()
	}
	var targets []declarer.Target
	for _, t := range i.Catalogue().Declaration().Targets {
		if t.DataCentre == i.settings.DataCentre || !live[t.DataCentre] {
			targets = append(targets, t)
		}
	}
	return targets
}

func (r *reports) poll(ctx context.Context, t declarer.Target) {
	report, err := r.fetch(ctx, t)
	if err != nil {
		return
	}
	now := r.routing.instance.clock.Now()
	if report.At == 0 || report.At > now {
		report.At = now // The target's clock is missing or ahead.
	}
	r.routing.router.ObserveReport(router.Report{
		Target: t.Name, At: report.At, Running: report.Running, Waiting: report.Waiting, Leaving: report.Leaving,
	}, now)
	r.mu.Lock()
	startedLeaving, stoppedLeaving := report.Leaving && !r.leaving[t.Name], !report.Leaving && r.leaving[t.Name]
	r.leaving[t.Name] = report.Leaving
	r.mu.Unlock()
	switch {
	case startedLeaving:
		r.routing.markLeaving(ctx, t.Name, "load report")
	case stoppedLeaving:
		r.routing.router.EndDrain(t.Name, now)
	}
}

func (r *reports) fetch(ctx context.Context, t declarer.Target) (loadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, t.URL+"/load", nil)
	if err != nil {
		return loadReport{}, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return loadReport{}, err
	}
	data, err := connector.ReadBody(response, maxLoadBytes)
	if err != nil {
		return loadReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return loadReport{}, errors.Errorf("load report of %s: status %d", t.Name, response.StatusCode)
	}
	var report loadReport
	return report, json.Unmarshal(data, &report)
}
