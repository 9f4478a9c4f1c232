package resolver

import "slices"

// maxUrgencyLevels bounds the levels of a service; less urgent priorities share the last.
const maxUrgencyLevels = 3

// Urgency is the place of a request among the priorities that are in force for its
// service: level 0 of Levels is the most urgent.
type Urgency struct {
	Level, Levels int
}

// Differs reports whether requests of the service differ in urgency.
func (u Urgency) Differs() bool { return u.Levels > 1 }

// priority returns the priority of a workspace's requests on a route: the workspace's
// own, or else the route's. 0 is the most urgent.
func (w Workspace) priority(r Route) int {
	if w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// rankPriorities returns the priorities that requests to each service can have, the
// most urgent first. It returns none unless a workspace has a priority of its own:
// those of routes alone do not ask for precedence.
func rankPriorities(routes []Route, workspaces []Workspace) map[string][]int {
	if !slices.ContainsFunc(workspaces, func(w Workspace) bool { return w.Priority != nil }) {
		return nil
	}
	ranks := map[string][]int{}
	for _, r := range routes {
		var priorities []int
		for _, w := range workspaces {
			priorities = append(priorities, w.priority(r))
		}
		if r.Public {
			priorities = append(priorities, r.Priority)
		}
		for _, s := range r.Splits {
			ranks[s.Service] = append(ranks[s.Service], priorities...)
		}
	}
	for name, list := range ranks {
		slices.Sort(list)
		ranks[name] = slices.Compact(list)
	}
	return ranks
}

// Urgency returns the urgency of a workspace's requests on a route among those of the
// service; the workspace's name is empty for a caller without a key.
func (d *Directory) Urgency(r Route, workspace, service string) Urgency {
	ranks := d.ranks[service]
	if len(ranks) < 2 {
		return Urgency{Levels: 1}
	}
	level, _ := slices.BinarySearch(ranks, d.workspaces[workspace].priority(r))
	levels := min(len(ranks), maxUrgencyLevels)
	return Urgency{Level: min(level, levels-1), Levels: levels}
}
