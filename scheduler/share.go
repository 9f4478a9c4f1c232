package scheduler

import (
	"cmp"
	"slices"
)

// floorDivisor: the floors of all instances add up to a quarter of the pool, so
// that requests which appear at an instance start before its peers know of them.
const floorDivisor = 4

// load is the number of requests of one workspace at all instances and here.
type load struct {
	workspace string
	weight    float64
	total     float64
	own       float64
}

// reshare computes the part of the pool that this instance may use: the slots
// of the pool are divided over the workspaces by weight, no workspace gets more
// than it has requests, and each part is divided over instances by where the
// workspace's requests are. Slots that no request needs are divided equally.
func (s *Scheduler) reshare() {
	instances := float64(len(s.peers) + 1)
	total := float64(s.pool.Slots)
	if instances == 1 || total == 0 {
		s.pool.share = 1 / instances
		return
	}
	left, own := total, 0.0
	loads := s.loads()
	weights := 0.0
	for _, l := range loads {
		weights += l.weight
	}
	for _, l := range loads {
		part := min(l.total, left*l.weight/weights)
		weights -= l.weight
		left -= part
		own += part * l.own / l.total
	}
	s.pool.share = min(max((own+max(left, 0)/instances)/total, 1/(floorDivisor*instances)), 1)
}

// loads returns the workspaces that have requests, those with fewest for their
// weight first. The rest of each record counts as one workspace of its instance;
// the own record is used as published, so that all instances sum up the same.
func (s *Scheduler) loads() []load {
	byName := map[string]load{}
	add := func(r Service, own float64) {
		for _, item := range r.Items {
			byName[item.Workspace] = byName[item.Workspace].with(item.Workspace, item.Weight, float64(item.Requests), own)
		}
		// No workspace has a name with a slash.
		rest := "rest/" + r.Instance
		byName[rest] = byName[rest].with(rest, r.RestWeight, float64(r.RestRequests), own)
	}
	add(s.last, 1)
	for _, p := range s.peers {
		add(p.last, 0)
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

// with returns the load with requests of one more instance; own is 1 for this one.
func (l load) with(workspace string, weight, requests, own float64) load {
	return load{workspace: workspace, weight: max(l.weight, weight), total: l.total + requests, own: l.own + own*requests}
}
