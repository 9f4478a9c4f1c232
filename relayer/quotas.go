package relayer

import (
	"context"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/allocator"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/retrier"
)

// Quotas grants requests within the quotas of their workspaces.
type Quotas interface {
	// Grant decides whether a request may use an amount. It returns once that is known
	// or the context has ended.
	Grant(ctx context.Context, workspace string, q allocator.Quota, amount float64) Grant
}

// Grant is the decision on a request and, if it was granted, the right to run it.
type Grant struct {
	allocator.Decision
	Return func() // Gives the amount back; nil if nothing was granted.
}

// withinQuota charges the request to the quota of its workspace, or refuses it.
func (p *pendingRequest) withinQuota(ctx context.Context, d *resolver.Directory) (Refusal, bool) {
	q, ok := d.Quota(p.workspace)
	if !ok || p.Quotas == nil {
		return Refusal{}, true
	}
	amount := q.Amount(p.request.Prompt.Input, p.request.Prompt.Output)
	p.grant = p.Quotas.Grant(ctx, p.workspace, allocator.Quota{Rate: q.Rate, Burst: q.Burst}, amount)
	switch {
	case p.grant.Granted:
		return Refusal{}, true
	case p.grant.Answered:
		return Refusal{ReasonOverQuota, true, p.grant.After}, false
	default:
		return Refusal{ReasonQuotaUnknown, true, withJitter(p.grant.After + 1)}, false
	}
}

// returnUnused gives the grant of a request back if no target has run any part of it.
func (p *pendingRequest) returnUnused() {
	uncertain := p.counted || p.begun || p.prefills > 0 || p.calls > p.sends || p.state != retrier.NotSent
	if p.grant.Return != nil && !uncertain {
		p.grant.Return()
	}
}

// quotaInputs returns what decided on the request's quota, if it was not granted.
func (p *pendingRequest) quotaInputs() []zap.Field {
	if g := p.grant; g.Amount > 0 && !g.Granted {
		return []zap.Field{
			zap.Float64("amount", g.Amount), zap.Float64("level", g.Level), zap.String("bank", g.Bank), zap.Int64("bank-age-milliseconds", int64(g.BankAge)),
			zap.Int64("quota-wait-milliseconds", int64(g.Wait)), zap.Int("asks", g.Tries),
		}
	}
	return nil
}
