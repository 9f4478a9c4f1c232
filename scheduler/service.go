package scheduler

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/estimator"
)

// Bounds of a service record.
const (
	// MaxItems limits a record to about 2 KiB. Only the workspaces that receive the
	// most service matter for fairness across instances.
	MaxItems = 16
	// maxNameBytes is the longest name that declarations allow; a pool's name has a
	// prefix for its kind.
	maxNameBytes = 63
	maxPoolBytes = maxNameBytes + 16
	// maxCounters limits the counters kept for one peer.
	maxCounters = 1024
	// maxWeight, maxRequests and maxRestWeight limit the effect of a faulty peer.
	maxWeight     = 1000
	maxRequests   = 1 << 20
	maxRestWeight = 1 << 25
	// maxRefund limits, in seconds of the pool, how far a counter that decreases
	// because an estimate was too high reduces a workspace's virtual time.
	maxRefund = 1.0
)

// ErrInvalidService means that a service record from a peer is out of bounds.
var ErrInvalidService = errors.New("invalid service record")

// Check returns an error if a record from a peer is out of bounds.
func (j Service) Check() error {
	if j.Instance == "" || len(j.Instance) > maxNameBytes || len(j.Pool) > maxPoolBytes {
		return errors.Wrapf(ErrInvalidService, "instance name of %d bytes or pool name of %d bytes is out of range", len(j.Instance), len(j.Pool))
	}
	if len(j.Items) > MaxItems {
		return errors.Wrapf(ErrInvalidService, "%d items, at most %d are allowed", len(j.Items), MaxItems)
	}
	if j.RestRequests < 0 || j.RestRequests > maxRequests || !(j.RestWeight >= 0 && j.RestWeight <= maxRestWeight) {
		return errors.Wrapf(ErrInvalidService, "rest of %d requests with weight %v is out of range", j.RestRequests, j.RestWeight)
	}
	for i, item := range j.Items {
		if item.Workspace == "" || len(item.Workspace) > maxNameBytes {
			return errors.Wrapf(ErrInvalidService, "item %d has a workspace name of %d bytes, out of range", i, len(item.Workspace))
		}
		if item.PrefillTokens < 0 || item.OutputTokens < 0 || item.Requests < 0 || item.Requests > maxRequests {
			return errors.Wrapf(ErrInvalidService, "item %d has counters out of range", i)
		}
		if !(item.Weight > 0 && item.Weight <= maxWeight) {
			return errors.Wrapf(ErrInvalidService, "item %d has weight %v, out of range", i, item.Weight)
		}
	}
	return nil
}

// peer holds the last record of another instance and the last known service
// counter of each workspace there.
type peer struct {
	incarnation int
	version     int
	counters    map[string]estimator.Cost
	record      Service
}

// PublishService returns the service record for peers. Call it once in every gossip
// period. It lists the workspaces that received the most service since they were
// last published, then those with the most requests.
func (s *Scheduler) PublishService() Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := Service{Instance: s.origin.Instance, Incarnation: int(s.origin.Incarnation), Pool: s.origin.Pool, Version: s.published.Version}
	active := make([]ranked, 0, 4*MaxItems)
	for _, f := range s.flows {
		if f.served == f.published && f.requests() == 0 {
			continue
		}
		record.RestWeight += f.weight
		record.RestRequests += f.requests()
		// Truncating whenever the slice is full keeps the cost linear in the number
		// of workspaces.
		if active = append(active, ranked{f, s.pool.seconds(f.served) - s.pool.seconds(f.published)}); len(active) == cap(active) {
			active = topFlows(active)
		}
	}
	for _, r := range topFlows(active) {
		f := r.flow
		f.published = f.served
		record.RestWeight = max(record.RestWeight-f.weight, 0)
		record.RestRequests -= f.requests()
		record.Items = append(record.Items, WorkspaceService{
			Workspace: f.workspace, Weight: min(f.weight, maxWeight), Requests: f.requests(),
			PrefillTokens: int(max(f.served.Prefill, 0)), OutputTokens: int(max(f.served.Output, 0)),
		})
	}
	if !slices.Equal(record.Items, s.published.Items) || record.RestRequests != s.published.RestRequests {
		record.Version++
		s.published = record
	}
	s.updateShare()
	record = s.published
	record.Items = slices.Clone(record.Items)
	return record
}

// ranked is a flow with its service since it was last published, in seconds of the pool.
type ranked struct {
	flow   *flow
	recent float64
}

// topFlows returns the flows to list in a record.
func topFlows(active []ranked) []ranked {
	slices.SortFunc(active, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.recent, a.recent), cmp.Compare(b.flow.requests(), a.flow.requests()), cmp.Compare(a.flow.workspace, b.flow.workspace))
	})
	return active[:min(len(active), MaxItems)]
}

// MergeService adds the service that workspaces received at a peer to their virtual
// time. Older versions, other pools and unknown instances have no effect. The
// first counter received for a workspace is only a baseline.
func (s *Scheduler) MergeService(r Service) error {
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
	p.version, p.record = r.Version, r
	p.record.Items = slices.Clone(r.Items)
	if len(p.counters) > maxCounters-MaxItems {
		p.counters = map[string]estimator.Cost{}
	}
	for _, item := range r.Items {
		counter := estimator.Cost{Prefill: float64(item.PrefillTokens), Output: float64(item.OutputTokens)}
		before, known := p.counters[item.Workspace]
		p.counters[item.Workspace] = counter
		if f, ok := s.flows[item.Workspace]; ok && known {
			s.addRemote(f, s.pool.seconds(counter)-s.pool.seconds(before))
		}
	}
	return nil
}

// addRemote adds service at another instance to the flow's remote debt, which is
// moved into the tag along with local service. Added all at once, it would block
// the workspace for a whole gossip period, and its requests would miss their
// deadlines.
func (s *Scheduler) addRemote(f *flow, seconds float64) {
	if f.requests() == 0 {
		f.remoteDebt = 0
		return
	}
	f.remoteDebt = min(max(f.remoteDebt+seconds/f.weight, -maxRefund/f.weight), maxRemoteDebt/f.weight)
	f.remoteRate = max(f.remoteDebt, 0) / max(f.tag-f.mergedTag, 1e-6)
	f.mergedTag = f.tag
}

// SetInstances replaces the set of instances that use the pool.
func (s *Scheduler) SetInstances(instances []string) {
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
	s.updateShare()
}
