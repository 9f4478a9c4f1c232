package placer

import (
	"github.com/gypsumwharf/gypsumwharf/profiler"
	"github.com/gypsumwharf/gypsumwharf/resolver"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// Costs are the estimates and the published figures for the engines of a service.
type Costs struct {
	profiler.Profile
	resolver.Engine
	// LowPriority tells that the request has low priority: those that can meet their
	// target latency come first.
	LowPriority bool
	// Yielding is the share of the work of its class that lets the request pass, because
	// it is less urgent.
	Yielding float64
	// MaxPause is the longest pause between events with which the request's stream is in
	// time, in milliseconds; 0 if there is no such limit.
	MaxPause float64
	// PeakSlowness is the slowness that the engines reach at times; 0 and 1 are as usual.
	PeakSlowness float64
}

// longRunningMillis is the time from which a decode counts as long-running, in
// milliseconds: engines are reclaimed at a few seconds' notice.
const longRunningMillis = 1000.0

// LongRunning reports whether the decode is expected to be long-running.
func (c Costs) LongRunning(p Prompt) bool { return float64(p.Output)*c.PerOutput >= longRunningMillis }

// DisaggregatesPrefill reports whether a prompt is long enough for disaggregated
// prefill.
func (c Costs) DisaggregatesPrefill(p Prompt) bool {
	return profiler.WorkMillis(float64(c.PrefillWork(p.Input, p.Input)))/decodePrefillSpeed > exchangeMillis
}

// meanPrefillMillis returns the mean prefill time of a prompt.
func (c Costs) meanPrefillMillis() float64 { return profiler.WorkMillis(c.Profile.MeanPrefillWork) }

// transferMillis returns the time to transfer the KV cache of a number of tokens, or
// 0 if the rate is not published.
func (c Costs) transferMillis(tokens int, crossDataCentre bool) float64 {
	if c.KVTransferRate <= 0 {
		return 0
	}
	if crossDataCentre {
		return crossDataCentreFactor * float64(tokens) / c.KVTransferRate
	}
	return float64(tokens) / c.KVTransferRate
}

// Utilization returns the utilization of an engine with one more request of the given
// prompt tokens: that of its slots or of its KV cache memory, whichever is higher.
func (c Costs) Utilization(t tracker.Candidate, tokens int) float64 {
	utilization := (float64(t.LocalRequests) + t.RemoteRequests + 1) / float64(max(t.Slots, 1))
	if c.Engine.KVCacheTokens > 0 {
		utilization = max(utilization, (t.TokensInFlight+float64(tokens))/float64(c.Engine.KVCacheTokens))
	}
	return utilization
}

// prefillWait returns the expected wait of another prefill at an engine: the time of
// the prefills in flight that come before it.
func (c Costs) prefillWait(t tracker.Candidate) float64 {
	wait := c.referenceWait(t) * relativePrefillTime(t)
	wait += delay(t, wait)
	if t.Role != tracker.Prefill {
		wait += c.slotWait(t, 0)
	}
	return wait
}

// referenceWait returns the time of the prefills in flight that come before another one,
// at a target as fast as its service.
func (c Costs) referenceWait(t tracker.Candidate) float64 {
	work := float64(t.LocalPrefillWork) + t.RemotePrefillWork
	if t.RemotePrefillWork == 0 && t.RemoteLowPriorityWork == 0 && t.Role == tracker.Prefill {
		work = max(work, t.RemoteRequests*c.Profile.MeanPrefillWork)
	}
	if c.LowPriority {
		work += (1 - c.Yielding) * (float64(t.LocalLowPriorityWork) + t.RemoteLowPriorityWork)
	} else {
		work *= 1 - c.Yielding
	}
	return profiler.WorkMillis(work)
}

// slotWait returns the time until an engine has room for one more request.
func (c Costs) slotWait(t tracker.Candidate, tokens int) float64 {
	wait := max(c.Utilization(t, tokens)-1, 0) * c.SlotTime * t.RelativePrefillTime
	return wait + delay(t, wait)
}
