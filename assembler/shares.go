package assembler

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/limiter"
	"github.com/gypsumwharf/gypsumwharf/scheduler"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Kinds of records that admission spreads by gossip.
const (
	demandKind    = "demand"
	serviceKind   = "service"
	kindSeparator = "/"
)

// records returns this instance's records by kind, to be published once every
// gossip period: its demand, and its service in each pool.
func (a *admission) records(now timekeeper.Millis) (map[string][]byte, error) {
	values := map[string]any{demandKind: a.limiter.Demand(now)}
	for _, p := range a.all() {
		served := p.scheduler.Served()
		values[serviceKind+kindSeparator+served.Pool] = served
	}
	records := make(map[string][]byte, len(values))
	for kind, value := range values {
		payload, err := json.Marshal(value)
		if err != nil {
			return nil, errors.Wrapf(err, "encode record %s", kind)
		}
		records[kind] = payload
	}
	return records, nil
}

// merge takes a record of a peer. Kinds of other parts have no effect.
func (a *admission) merge(now timekeeper.Millis, kind string, payload []byte) error {
	name, pool, _ := strings.Cut(kind, kindSeparator)
	switch name {
	case demandKind:
		var d limiter.Demand
		if err := json.Unmarshal(payload, &d); err != nil {
			return errors.Wrap(err, "decode demand record")
		}
		return a.limiter.Merge(now, d)
	case serviceKind:
		var s scheduler.Service
		if err := json.Unmarshal(payload, &s); err != nil {
			return errors.Wrap(err, "decode service record")
		}
		a.mu.Lock()
		p, ok := a.pools[pool]
		a.mu.Unlock()
		if !ok {
			return nil
		}
		return p.scheduler.Merge(s)
	}
	return nil
}

// heard notes that another instance is alive.
func (a *admission) heard(now timekeeper.Millis, instance string) { a.limiter.Heard(now, instance) }
