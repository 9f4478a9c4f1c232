package relayer

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/triager"
)

// triageRequest describes the request for the triager. Its work is in the unit that the
// service runs short of: prefill work of engines, requests of plain targets.
func (p *pendingRequest) triageRequest() triager.Request {
	q := triager.Request{Service: p.service.Name, Workspace: p.workspace, Urgency: p.urgency, Work: 1}
	if p.service.Engines {
		q.Work = float64(p.costs().PrefillWork(p.request.Prompt.UnsharedTokens(), p.request.Prompt.Input))
	}
	return q
}

// startWork records once that work on the request starts at a target.
func (p *pendingRequest) startWork() {
	if p.started {
		return
	}
	p.started = true
	p.triager.Start(p.triageRequest(), p.standing, p.Clock.Read().Monotonic)
}

// countByUrgency counts a final answer under the urgency of the request, if urgencies
// differ, and again if its workspace was beyond its share.
func (p *pendingRequest) countByUrgency(result string) {
	if !p.urgency.Differs() {
		return
	}
	p.Stats.Urgencies.Add(fmt.Sprintf("%s-%d-%s", p.service.Name, p.urgency.Level, result), 1)
	if p.standing.BeyondShare {
		p.Stats.Urgencies.Add(fmt.Sprintf("%s-%d-beyond-share-%s", p.service.Name, p.urgency.Level, result), 1)
	}
}

// standingField returns the log field with the inputs of the decision by urgency; it is
// empty if urgencies do not differ.
func (p *pendingRequest) standingField() zap.Field {
	if !p.urgency.Differs() {
		return zap.Skip()
	}
	return zap.Dict("urgency", zap.Int("level", p.urgency.Level), zap.Int("levels", p.urgency.Levels),
		zap.Float64("yielding", p.standing.Yielding), zap.Float64("reserve", p.standing.Reserve),
		zap.Float64("slot-reserve", p.standing.SlotReserve), zap.Bool("overdue", p.standing.Overdue),
		zap.Bool("beyond-share", p.standing.BeyondShare))
}
