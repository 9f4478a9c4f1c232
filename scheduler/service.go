package scheduler

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/estimator"
)

// Bounds of a service record.
const (
	// MaxItems bounds a record to about 2 KiB. Only the workspaces with most
	// service matter for fairness over instances.
	MaxItems = 16
	// maxName is the longest name that declarations allow; a pool has a kind before it.
	maxName = 63
	maxPool = maxName + 16
	// maxCounters bounds the counters kept of one peer.
	maxCounters = 1024
	// maxWeight and maxRequests bound what a faulty peer can claim.
	maxWeight   = 1000
	maxRequests = 1 << 20
	maxRest     = 1 << 25
	// maxRefund bounds, in seconds of the pool, how far a counter that fell because
	// an estimate was too high turns back virtual time.
	maxRefund = 1.0
)

// ErrInvalidService means that a service record from a peer breaks its bounds.
var ErrInvalidService = errors.New("invalid service record")

// Check reports whether a record from a peer is within its bounds.
func (j Service) Check() error {
	if j.Instance == "" || len(j.Instance) > maxName || len(j.Pool) > maxPool {
		return errors.Wrapf(ErrInvalidService, "names of %d and %d bytes", len(j.Instance), len(j.Pool))
	}
	if len(j.Items) > MaxItems {
		return errors.Wrapf(ErrInvalidService, "%d items, at most %d are allowed", len(j.Items), MaxItems)
	}
	if j.RestRequests < 0 || j.RestRequests > maxRequests || !(j.RestWeight >= 0 && j.RestWeight <= maxRest) {
		return errors.Wrapf(ErrInvalidService, "rest of %d requests with weight %v", j.RestRequests, j.RestWeight)
	}
	for i, item := range j.Items {
		if item.Workspace == "" || len(item.Workspace) > maxName {
			return errors.Wrapf(ErrInvalidService, "item %d has a workspace name of %d bytes", i, len(item.Workspace))
		}
		if item.PrefillTokens < 0 || item.OutputTokens < 0 || item.Requests < 0 || item.Requests > maxRequests {
			return errors.Wrapf(ErrInvalidService, "item %d has counters out of range", i)
		}
		if !(item.Weight > 0 && item.Weight <= maxWeight) {
			return errors.Wrapf(ErrInvalidService, "item %d has weight %v", i, item.Weight)
		}
	}
	return nil
}

// peer holds the last record of another instance and the counters of earlier ones.
type peer struct {
	incarnation int
	version     int
	counters    map[string]estimator.Cost
	last        Service
}

// Served returns the record to spread, once every gossip period: the workspaces
// that received most since the record before, and those with most requests.
func (s *Scheduler) Served() Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := Service{Instance: s.origin.Instance, Incarnation: int(s.origin.Incarnation), Pool: s.origin.Pool, Version: s.last.Version}
	active := make([]ranked, 0, 4*MaxItems)
	for _, f := range s.flows {
		if f.served == f.shown && f.requests() == 0 {
			continue
		}
		record.RestWeight += f.weight
		record.RestRequests += f.requests()
		// Cutting now and then keeps the cost linear in the workspaces.
		if active = append(active, ranked{f, s.pool.seconds(f.served) - s.pool.seconds(f.shown)}); len(active) == cap(active) {
			active = foremost(active)
		}
	}
	for _, r := range foremost(active) {
		f := r.flow
		f.shown = f.served
		record.RestWeight = max(record.RestWeight-f.weight, 0)
		record.RestRequests -= f.requests()
		record.Items = append(record.Items, WorkspaceService{
			Workspace: f.workspace, Weight: min(f.weight, maxWeight), Requests: f.requests(),
			PrefillTokens: int(max(f.served.Prefill, 0)), OutputTokens: int(max(f.served.Output, 0)),
		})
	}
	if !slices.Equal(record.Items, s.last.Items) || record.RestRequests != s.last.RestRequests {
		record.Version++
		s.last = record
	}
	s.reshare()
	record = s.last
	record.Items = slices.Clone(record.Items)
	return record
}

// ranked is a flow with the service that it received since it was last published.
type ranked struct {
	flow   *flow
	recent float64
}

// foremost returns the flows that a record names.
func foremost(active []ranked) []ranked {
	slices.SortFunc(active, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.recent, a.recent), cmp.Compare(b.flow.requests(), a.flow.requests()), cmp.Compare(a.flow.workspace, b.flow.workspace))
	})
	return active[:min(len(active), MaxItems)]
}

// Merge adds the service that workspaces received elsewhere to their virtual
// time; older versions, other pools and unknown instances have no effect. The
// first counter heard of a workspace is only a start to count from.
func (s *Scheduler) Merge(r Service) error {
	if err := r.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Pool != s.origin.Pool || r.Instance == s.origin.Instance {
		return nil
	}
	p, ok := s.peers[r.Instance]
	if !ok {
		return nil
	}
	if r.Incarnation > p.incarnation {
		p.incarnation, p.version, p.counters = r.Incarnation, -1, map[string]estimator.Cost{}
	}
	if r.Incarnation < p.incarnation || r.Version <= p.version {
		return nil
	}
	p.version, p.last = r.Version, r
	p.last.Items = slices.Clone(r.Items)
	if len(p.counters) > maxCounters-MaxItems {
		p.counters = map[string]estimator.Cost{}
	}
	for _, item := range r.Items {
		counter := estimator.Cost{Prefill: float64(item.PrefillTokens), Output: float64(item.OutputTokens)}
		before, known := p.counters[item.Workspace]
		p.counters[item.Workspace] = counter
		if f, ok := s.flows[item.Workspace]; ok && known {
			s.elsewhere(f, s.pool.seconds(counter)-s.pool.seconds(before))
		}
	}
	return nil
}

// elsewhere notes service at another instance. It is added to the virtual time
// along with the workspace's service here: all at once it would hold the
// workspace back for a whole gossip period and cost its requests their deadline.
func (s *Scheduler) elsewhere(f *flow, seconds float64) {
	if f.requests() == 0 {
		f.debt = 0
		return
	}
	f.debt = min(max(f.debt+seconds/f.weight, -maxRefund/f.weight), maxLead/f.weight)
	f.rate = max(f.debt, 0) / max(f.tag-f.merged, 1e-6)
	f.merged = f.tag
}

// Known replaces the other instances that use the pool.
func (s *Scheduler) Known(instances []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.peers {
		if !slices.Contains(instances, name) {
			delete(s.peers, name)
		}
	}
	for _, name := range instances {
		if _, ok := s.peers[name]; !ok && name != s.origin.Instance {
			s.peers[name] = &peer{incarnation: -1}
		}
	}
	s.reshare()
}
