package gatekeeper

import (
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/acceptor"
	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// kindFollower follows the objects of one kind in the store and applies their changes.
type kindFollower struct {
	*follower.Follower
	kind  string
	apply func(follower.Update)
}

// followers returns the followers of the configuration and of the targets.
func (g *Gatekeeper) followers() []kindFollower {
	p := g.platform
	batchDelay := timekeeper.Millis(batchDelayShare * float64(g.settings.LeavingMilliseconds))
	return []kindFollower{
		{follower.New(p.Store, g.clock, p.ConfigurationKind, follower.Options{Wait: configurationWait, Patience: configurationPatience}, g.recordLost(p.ConfigurationKind)), p.ConfigurationKind, g.applyConfiguration},
		{follower.New(p.Store, g.clock, p.TargetsKind, follower.Options{Wait: targetsWait, Pause: batchDelay}, g.recordLost(p.TargetsKind)), p.TargetsKind, g.applyTargets},
	}
}

func (g *Gatekeeper) recordLost(kind string) func(error) {
	return func(err error) {
		g.record(recorder.Event{Code: recorder.DependencyLost, Cause: "following " + kind + ": " + err.Error()})
	}
}

func (g *Gatekeeper) recordRecovered(kind string, s follower.Update) {
	if s.AfterFailure {
		g.record(recorder.Event{Code: recorder.DependencyRecovered, Cause: "following " + kind, Inputs: []zap.Field{
			zap.Int64("version", s.Version.Revision()), zap.Bool("entries-may-have-expired", s.RecoveredAt != (timekeeper.Reading{})),
		}})
	}
}

// applyConfiguration adopts a newer configuration. If it can't be decoded, the
// current one stays in force but is no longer confirmed.
func (g *Gatekeeper) applyConfiguration(s follower.Update) {
	g.recordRecovered(g.platform.ConfigurationKind, s)
	objects := s.Objects
	for _, c := range s.Changes {
		if !c.Deleted {
			objects = append(objects, c.Object)
		}
	}
	for _, o := range objects {
		if o.Name != g.platform.ConfigurationName {
			continue
		}
		directory, err := g.platform.DecodeDirectory(o.Value)
		if err != nil {
			g.record(recorder.Event{Code: recorder.GenerationRefused, Cause: err.Error(), Inputs: []zap.Field{zap.Int64("version", o.Version.Revision())}})
			return
		}
		if g.holder.Adopt(directory) {
			g.quotas.SetActive(directory.HasQuotas(), g.clock.Read().Monotonic)
			g.record(recorder.Event{Code: recorder.GenerationAdopted, Inputs: []zap.Field{
				zap.Int64("generation", directory.Generation()), zap.Int64("version", o.Version.Revision()),
				zap.Int64("age-milliseconds", int64(g.clock.Read().Since(s.AsOf))),
			}})
		}
	}
	g.holder.Confirm(s.AsOf)
}

func (g *Gatekeeper) applyTargets(s follower.Update) {
	g.recordRecovered(g.platform.TargetsKind, s)
	defer g.tracker.Confirm(s.AsOf)
	if s.Complete {
		var targets []tracker.Target
		for _, o := range s.Objects {
			if t, ok := g.decodeTarget(o); ok {
				targets = append(targets, t)
			}
		}
		g.tracker.Replace(targets, s.RecoveredAt != (timekeeper.Reading{}))
		g.listed.Do(func() { close(g.firstList) })
		return
	}
	if s.RecoveredAt != (timekeeper.Reading{}) {
		g.tracker.StoreRecovered(s.RecoveredAt)
	}
	for _, c := range s.Changes {
		if c.Deleted {
			g.tracker.Remove(g.targetID(c.Object))
		} else if t, ok := g.decodeTarget(c.Object); ok {
			g.tracker.Put(t)
		} else {
			// The previous entry is no longer valid.
			g.tracker.Remove(g.targetID(c.Object))
		}
	}
}

func (g *Gatekeeper) targetID(o storer.Object) string {
	return o.Name[len(g.platform.TargetsKind)+1:]
}

func (g *Gatekeeper) decodeTarget(o storer.Object) (tracker.Target, bool) {
	t, err := g.platform.DecodeTarget(o)
	if err != nil {
		g.record(recorder.Event{Code: recorder.TargetStateChanged, Target: g.targetID(o), Cause: "entry cannot be decoded: " + err.Error()})
		return t, false
	}
	return t, true
}

// serveReadinessAndMetrics serves the load balancer's readiness check and the metrics.
func (g *Gatekeeper) serveReadinessAndMetrics() (stop func(), err error) {
	readiness, err := net.Listen("tcp", g.settings.ReadinessAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness checks")
	}
	metrics, err := net.Listen("tcp", g.settings.MetricsAddress)
	if err != nil {
		readiness.Close()
		return nil, errors.Wrap(err, "listen for metrics")
	}
	readinessMux := http.NewServeMux()
	readinessMux.HandleFunc("GET /ready", g.readinessHandler())
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", expvar.Handler())
	var servers []*http.Server
	descriptors := acceptor.NewDescriptors(g.clock, controlDescriptors)
	for l, h := range map[net.Listener]http.Handler{readiness: readinessMux, metrics: metricsMux} {
		s := &http.Server{
			Handler: h, ReadTimeout: controlTimeout, WriteTimeout: controlTimeout, IdleTimeout: controlIdleTimeout, MaxHeaderBytes: controlHeaderBytes,
		}
		descriptors.Attach(s)
		servers = append(servers, s)
		accepting := acceptor.Listen(l, func(err error) {
			g.record(recorder.Event{Code: recorder.ListenerFailed, Cause: l.Addr().String() + ": " + err.Error()})
		})
		go func() { _ = s.Serve(descriptors.Listen(accepting)) }() // Returns ErrServerClosed on Close.
	}
	return func() {
		for _, s := range servers {
			_ = s.Close() // The process is exiting.
		}
	}, nil
}

// readinessHandler answers readiness checks and records each change of the answer.
func (g *Gatekeeper) readinessHandler() http.HandlerFunc {
	var mu sync.Mutex
	last := ""
	return func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := g.relayer.Ready()
		state := fmt.Sprintf("ready %t %s", ready, reason)
		mu.Lock()
		if state != last {
			_, age := g.holder.Current()
			g.record(recorder.Event{Code: recorder.ReadinessChanged, Cause: state, Inputs: []zap.Field{
				zap.Int64("configuration-age-milliseconds", int64(min(age, timekeeper.Hour))),
			}})
			last = state
		}
		mu.Unlock()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}
