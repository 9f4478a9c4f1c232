package gatekeeper

import (
	"context"
	"time"

	"github.com/gypsumwharf/gypsumwharf/allocator"
	"github.com/gypsumwharf/gypsumwharf/relayer"
	"github.com/gypsumwharf/gypsumwharf/sharer"
)

const (
	// quotaPollInterval is the time between checks whether to ask again for a grant.
	quotaPollInterval = 10 * time.Millisecond
	// quotaToleranceShare is the share of the declared tolerance that is added to a burst.
	// The rest is for instances that have listed different numbers of instances.
	quotaToleranceShare = 0.9
)

// quotaOf returns what a workspace may use by the current configuration.
func (g *Gatekeeper) quotaOf(workspace string) (allocator.Quota, bool) {
	directory, _ := g.holder.Current()
	if directory == nil {
		return allocator.Quota{}, false
	}
	q, ok := directory.Quota(workspace)
	return g.withTolerance(allocator.Quota{Rate: q.Rate, Burst: q.Burst}), ok
}

// withTolerance adds a share of the tolerance in a measuring window to the burst of a quota.
func (g *Gatekeeper) withTolerance(q allocator.Quota) allocator.Quota {
	s := g.settings
	if s.QuotaWindowSeconds > 0 {
		q.Burst += quotaToleranceShare * (s.QuotaTolerance*(q.Rate*s.QuotaWindowSeconds+q.Burst) + s.QuotaAllowance)
	}
	return q
}

func quotaPeers(peers []sharer.Peer) []allocator.Peer {
	var list []allocator.Peer
	for _, p := range peers {
		list = append(list, allocator.Peer{Name: p.Name, Address: p.Address, DataCentre: p.DataCentre, Strength: p.ProcessorShare})
	}
	return list
}

// quotaGate has the allocator decide on requests and sends its messages.
type quotaGate struct{ *Gatekeeper }

// Grant implements relayer.Quotas.
func (g quotaGate) Grant(ctx context.Context, workspace string, q allocator.Quota, amount float64) relayer.Grant {
	r, list := g.quotas.Ask(workspace, g.withTolerance(q), amount, g.clock.Read().Monotonic)
	g.send(list)
	ticker := time.NewTicker(quotaPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.Done():
			grant := relayer.Grant{Decision: r.Decision()}
			if grant.Granted {
				grant.Return = func() { g.send(g.quotas.Return(r, g.clock.Read().Monotonic)) }
			}
			return grant
		case <-ctx.Done():
			g.quotas.Abandon(r, g.clock.Read().Monotonic)
		case <-ticker.C:
			g.send(g.quotas.Poll(r, g.clock.Read().Monotonic))
		}
	}
}

func (g quotaGate) send(list []allocator.Datagram) {
	if g.sharer != nil {
		g.sharer.SendQuotas(list)
	}
}

// QuotaCounters returns the counters of the decisions on quotas.
func (g *Gatekeeper) QuotaCounters() allocator.Counters { return g.quotas.Counters() }
