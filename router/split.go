package router

import "github.com/gypsumwharf/gypsumwharf/declarer"

const (
	// splitMargin is the share of the whole's cost below which a split is worth it.
	splitMargin = 0.95
	// interference is the share of a prefill by which running answers on the same target are delayed.
	interference = 0.5
	// calibrationWeight is the weight of a new measurement in the running factor.
	calibrationWeight = 0.1
)

// Calibration compares estimated KV cache transfers with measured ones.
type Calibration struct {
	Transfers int     // Measured transfers.
	Factor    float64 // Running mean of measured over nominal time, applied to estimates.
	Estimated float64 // Sum of estimated times, in milliseconds.
	Measured  float64 // Sum of measured times, in milliseconds.
}

// Calibration returns how well the transfer estimates match what happened.
func (r *Router) Calibration() Calibration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.split
}

// maxCalibrationStep bounds the effect of one measurement, such as a stalled transfer.
const maxCalibrationStep = 10

// observe takes over one measured transfer.
func (c Calibration) observe(estimated, measured float64) Calibration {
	c.Transfers++
	c.Estimated += estimated
	c.Measured += measured
	ratio := min(max(measured/estimated, 1.0/maxCalibrationStep), maxCalibrationStep)
	c.Factor *= 1 + calibrationWeight*(ratio-1)
	return c
}

// transfer estimates the time to move the KV cache of a prompt, in milliseconds.
func (r *Router) transfer(p *pool, tokens float64) float64 {
	return (r.options.TransferDelay + tokens*p.kvBytes*1000/r.options.TransferRate) * r.split.Factor
}

// chooseSplit returns a choice that computes the prompt on one target and the
// answer on another, if that costs less than the whole on one target. The cost of
// a prefill includes the delay of answers that run on the same target.
func (r *Router) chooseSplit(p *pool, q Request, s snapshot, whole estimate, found bool) (Choice, bool) {
	if !p.splits || r.options.WholeOnly || q.PromptTokens == 0 {
		return Choice{}, false
	}
	prefill, ok := r.pickRole(p, q, s, declarer.TargetRolePrefill)
	if !ok {
		return Choice{}, false
	}
	answer := q
	answer.PromptTokens, answer.Prefixes = 0, nil
	decode, ok := r.pickRole(p, answer, s, declarer.TargetRoleDecode)
	if !ok {
		return Choice{}, false
	}
	transfer := r.transfer(p, float64(q.PromptTokens))
	compute := (float64(q.PromptTokens) - prefill.cached) * 1000 / prefill.PrefillTokensPerSecond
	total := prefill.wait + compute + transfer + decode.total
	if found {
		own := (float64(q.PromptTokens) - whole.cached) * 1000 / whole.PrefillTokensPerSecond
		if total >= splitMargin*(whole.total+interference*own*whole.load.requests) {
			return Choice{}, false
		}
	}
	return Choice{
		Target: decode.Name, URL: decode.URL, Prefill: prefill.Name, Cached: int(prefill.cached),
		Wait: prefill.wait, Total: total, Transfer: transfer,
	}, true
}

// pickRole chooses among the targets of one role, in the own data centre if it has any.
func (r *Router) pickRole(p *pool, q Request, s snapshot, role declarer.TargetRole) (estimate, bool) {
	for _, own := range []bool{true, false} {
		group := r.group(p, q, s, func(t *target) bool {
			return t.Role == role && (t.DataCentre == r.options.DataCentre) == own
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
