package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	enginesPerZone  = 4
	engineService   = "huvo11a"
	chatPrefix      = "/pufi791/"
	settleTime      = 3 * time.Second // From readiness to the first request.
	prefillPerZone  = 1
	configurationNo = 7
)

// engines are the model servers of the deployment.
type engines struct {
	list []*engine

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time // All of them by the deadly request.
}

// startEngines writes the configuration, starts the model servers and keeps registering them.
// A deadly request crashes them before its first event if early is set, else just after it.
func startEngines(w *world, early bool, deadly func(r *http.Request, body []byte) bool) (*engines, error) {
	w.store.Write("config", "main", configuration())
	f := &engines{}
	for _, zone := range zones {
		for n := range enginesPerZone {
			stage := "decode"
			if n < prefillPerZone {
				stage = "prefill"
			}
			e := newEngine(w, zone, stage, f.recordCrash)
			e.early, e.deadly, e.ran = early, deadly, f.record(w)
			if err := e.start(); err != nil {
				return nil, err
			}
			f.list = append(f.list, e)
		}
	}
	w.repeat(heartbeatTime, func() {
		for _, e := range f.list {
			e.beat()
		}
	})
	return f, nil
}

// record returns a function that records the requests that a server runs.
func (f *engines) record(w *world) func(arrival) {
	return func(a arrival) {
		w.notef("request %s runs at server %s, deadly %t", a.id, a.server, a.deadly)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.arrivals = append(f.arrivals, a)
	}
}

// recordCrash records that a server has crashed.
func (f *engines) recordCrash(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, at)
}

// configuration returns the operator's configuration.
func configuration() map[string]any {
	return map[string]any{
		"Version": configurationNo,
		"Routes": []any{map[string]any{
			"Name": "r-chat", "Host": host, "PathPrefix": chatPrefix, "Kind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 120, "Priority": 1,
			"Service": engineService, "MaxAttempts": 1, "PublicAccess": false, "SessionAffinity": true, "Resumable": false, "TargetGapMs": 150,
		}},
		"Services": []any{map[string]any{
			"Name": engineService, "HealthPath": "/health", "MaxConnections": 780, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": slots, "KvTokens": 600000, "KvTokenBytes": 163840, "LinkMbps": 8800000.0, "HandleTtlS": 5.0, "StageSwitchS": 3.0},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}}},
	}
}

// startInstances starts a number of instances in each zone and waits until they are ready.
func (w *world) startInstances(perZone int) error {
	for _, zone := range zones {
		for range perZone {
			if err := w.addInstance(zone); err != nil {
				return err
			}
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// prefix returns the parts of a chat's prompt: one that all share, that of its session and its own.
func prefix(session, own string) string {
	return fmt.Sprintf("5c1e07a2:79,%s:40,%s:101", session, own)
}
