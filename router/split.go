package router

import "github.com/gypsumwharf/gypsumwharf/declarer"

const (
	// maxSplitCostRatio is the maximum cost of a split, relative to prefill and decode
	// on one target.
	maxSplitCostRatio = 0.95
	// prefillInterference is the share of a prefill's time by which it delays each
	// request that decodes on the same target.
	prefillInterference = 0.5
	// calibrationWeight is the weight of a measurement in the moving average of the factor.
	calibrationWeight = 0.1
)

// Calibration compares the estimated times of KV cache transfers with the measured ones.
type Calibration struct {
	Transfers int     // Number of measured transfers.
	Factor    float64 // Moving average of measured over nominal time, by which estimates are multiplied.
	Estimated float64 // Sum of estimated times, in milliseconds.
	Measured  float64 // Sum of measured times, in milliseconds.
}

// Calibration returns the calibration of the transfer estimates.
func (r *Router) Calibration() Calibration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.transferCalibration
}

// maxCalibrationRatio bounds the effect of one measurement, such as a stalled transfer.
const maxCalibrationRatio = 10

// observe returns the calibration with one more measured transfer.
func (c Calibration) observe(estimated, measured float64) Calibration {
	c.Transfers++
	c.Estimated += estimated
	c.Measured += measured
	ratio := min(max(measured/estimated, 1.0/maxCalibrationRatio), maxCalibrationRatio)
	c.Factor *= 1 + calibrationWeight*(ratio-1)
	return c
}

// transferTime estimates the time to transfer the KV cache of a prompt, in milliseconds.
func (r *Router) transferTime(p *pool, tokens float64) float64 {
	return (r.options.TransferDelay + tokens*p.kvBytes*1000/r.options.TransferRate) * r.transferCalibration.Factor
}

// chooseSplit returns a choice with prefill and decode on separate targets, if that
// costs less than both on one target. The cost of a prefill on a mixed target
// includes the delay of the requests that decode there.
func (r *Router) chooseSplit(p *pool, q Request, s snapshot, combined estimate, found bool) (Choice, bool) {
	if !p.hasPrefillTargets || r.options.DisableSplit || q.PromptTokens == 0 {
		return Choice{}, false
	}
	prefill, ok := r.pickRole(p, q, s, declarer.TargetRolePrefill)
	if !ok {
		return Choice{}, false
	}
	decodeRequest := q
	decodeRequest.PromptTokens, decodeRequest.Prefixes = 0, nil
	decode, ok := r.pickRole(p, decodeRequest, s, declarer.TargetRoleDecode)
	if !ok {
		return Choice{}, false
	}
	transfer := r.transferTime(p, float64(q.PromptTokens))
	splitPrefill := (float64(q.PromptTokens) - prefill.cached) * 1000 / prefill.PrefillTokensPerSecond
	total := prefill.wait + splitPrefill + transfer + decode.total
	if found {
		combinedPrefill := (float64(q.PromptTokens) - combined.cached) * 1000 / combined.PrefillTokensPerSecond
		if total >= maxSplitCostRatio*(combined.total+prefillInterference*combinedPrefill*combined.load.requests) {
			return Choice{}, false
		}
	}
	return Choice{
		Target: decode.Name, URL: decode.URL, Prefill: prefill.Name, CachedTokens: int(prefill.cached),
		Wait: prefill.wait, ExpectedTime: total, Transfer: transfer,
	}, true
}

// pickRole chooses among the targets of one role, in the local data centre if it has any.
func (r *Router) pickRole(p *pool, q Request, s snapshot, role declarer.TargetRole) (estimate, bool) {
	for _, local := range []bool{true, false} {
		group := r.candidates(p, q, s, func(t *target) bool {
			return t.Role == role && (t.DataCentre == r.options.DataCentre) == local
		})
		if len(group) > 0 {
			e := r.pick(group, q, s)
			c := *e.candidate
			e.candidate = &c
			return e, true
		}
	}
	return estimate{}, false
}
