package triager

import (
	"math"
	"slices"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// shareInterval is the time between two computations of a fair share.
	shareInterval = 100 * timekeeper.Millisecond
	// maxWorkspaces bounds the workspaces of a level that are told apart. Further ones
	// count as callers without a workspace, who are never beyond a share.
	maxWorkspaces = 512
	// forgottenRequests is the work below which a workspace is forgotten, in mean requests.
	forgottenRequests = 0.05
	// sharePriorRequests is the number of mean requests that may be refused to workspaces
	// within their share before those beyond it have to yield.
	sharePriorRequests = 2
)

// use is the work that a workspace asked for, and the part of it that started.
type use struct{ asked, started float64 }

// shares divides the work that starts at one level of urgency among its workspaces. The
// zero value is ready to use.
type shares struct {
	uses       map[string]use
	fair       float64
	startRatio float64 // Started work, of all that was asked for.
	updated    timekeeper.Millis
}

// ask records a request and reports whether its workspace is beyond its fair share, and
// others lack work that is within theirs. A workspace of which much less starts than of the
// others is not, however much it asks for. Mean is the mean work of a request.
func (s *shares) ask(workspace string, work, mean float64, now timekeeper.Millis) bool {
	if s.uses == nil {
		s.uses, s.fair, s.updated = map[string]use{}, math.Inf(1), now
	}
	workspace = s.known(workspace)
	due := now-s.updated >= shareInterval
	if due {
		s.fade(mean, now)
	}
	u := s.uses[workspace]
	u.asked += work
	s.uses[workspace] = u
	if due {
		s.fair, s.startRatio = s.fairShare(mean), s.ratio()
	}
	return workspace != "" && u.started > s.fair && u.started >= MinStartShare*s.startRatio*u.asked
}

// start records work that started for a workspace.
func (s *shares) start(workspace string, work float64) {
	workspace = s.known(workspace)
	if u, ok := s.uses[workspace]; ok {
		u.started += work
		s.uses[workspace] = u
		s.fair += work / float64(len(s.uses))
	}
}

// known returns the name under which a workspace is recorded.
func (s *shares) known(workspace string) string {
	if _, ok := s.uses[workspace]; !ok && len(s.uses) >= maxWorkspaces {
		return ""
	}
	return workspace
}

// fade weakens what was learned by the time since the last update, and forgets workspaces
// of which little is left.
func (s *shares) fade(mean float64, now timekeeper.Millis) {
	factor := math.Exp(-float64(now-s.updated) / float64(memory))
	s.updated = now
	for name, u := range s.uses {
		u = use{factor * u.asked, factor * u.started}
		if u.asked < forgottenRequests*mean {
			delete(s.uses, name)
			continue
		}
		s.uses[name] = u
	}
}

// ratio returns the share of the work asked for that started.
func (s *shares) ratio() float64 {
	var all use
	for _, u := range s.uses {
		all.asked += u.asked
		all.started += u.started
	}
	return all.started / all.asked
}

// fairShare returns the max-min fair share of the started work: workspaces that ask for
// less get all, the others the same. It is infinite if nothing is short.
func (s *shares) fairShare(mean float64) float64 {
	asked, left := make([]float64, 0, len(s.uses)), sharePriorRequests*mean
	for _, u := range s.uses {
		asked = append(asked, u.asked)
		left += u.started
	}
	slices.Sort(asked)
	for i, a := range asked {
		if equal := left / float64(len(asked)-i); a > equal {
			return equal
		}
		left -= a
	}
	return math.Inf(1)
}
