package scheduler

import (
	"cmp"
	"slices"
)

// minShareDivisor: the minimum shares of all instances add up to a quarter of the
// pool, so that the first requests at an instance can start before its peers have
// received its record.
const minShareDivisor = 4

// load is the number of requests of one workspace, in total and at this instance.
type load struct {
	workspace string
	weight    float64
	total     float64
	local     float64
}

// updateShare computes the fraction of the pool that this instance may use. The
// pool's slots are divided among workspaces by weight, but no workspace gets more
// slots than it has requests. Each workspace's slots are divided among instances
// in proportion to its requests there. Unused slots are divided equally.
func (s *Scheduler) updateShare() {
	instances := float64(len(s.peers) + 1)
	total := float64(s.pool.Slots)
	if instances == 1 || total == 0 {
		s.pool.share = 1 / instances
		return
	}
	free, local := total, 0.0
	loads := s.loads()
	weights := 0.0
	for _, l := range loads {
		weights += l.weight
	}
	for _, l := range loads {
		slots := min(l.total, free*l.weight/weights)
		weights -= l.weight
		free -= slots
		local += slots * l.local / l.total
	}
	s.pool.share = min(max((local+max(free, 0)/instances)/total, 1/(minShareDivisor*instances)), 1)
}

// loads returns the workspaces that have requests, ordered by requests per weight.
// The rest of each record counts as one workspace of its instance. The local
// record is used as published, so that all instances compute with the same sums.
func (s *Scheduler) loads() []load {
	byName := map[string]load{}
	add := func(r Service, local float64) {
		for _, item := range r.Items {
			byName[item.Workspace] = byName[item.Workspace].plus(item.Workspace, item.Weight, float64(item.Requests), local)
		}
		// Workspace names contain no slash.
		rest := "rest/" + r.Instance
		byName[rest] = byName[rest].plus(rest, r.RestWeight, float64(r.RestRequests), local)
	}
	add(s.published, 1)
	for _, p := range s.peers {
		add(p.record, 0)
	}
	loads := make([]load, 0, len(byName))
	for _, l := range byName {
		if l.total > 0 && l.weight > 0 {
			loads = append(loads, l)
		}
	}
	slices.SortFunc(loads, func(a, b load) int {
		return cmp.Or(cmp.Compare(a.total/a.weight, b.total/b.weight), cmp.Compare(a.workspace, b.workspace))
	})
	return loads
}

// plus returns the load with the requests of another record; local is 1 for the
// record of this instance and 0 for others.
func (l load) plus(workspace string, weight, requests, local float64) load {
	return load{workspace: workspace, weight: max(l.weight, weight), total: l.total + requests, local: l.local + local*requests}
}
