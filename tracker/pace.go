package tracker

import "math"

const (
	// MaxPace bounds the relative prefill time that may be learned of a target, and the
	// momentary slowness that is believed: the largest multiple of the usual time, and the
	// reciprocal of the smallest.
	MaxPace = 4.0
	// priorPaceWeight is the weight of the assumption that a target is as fast as its
	// service, in prefills that did not wait.
	priorPaceWeight = 3.0
	// maxPaceWeight bounds the weight of what was learned, so that it follows a lasting
	// change.
	maxPaceWeight = 30.0
	// maxPaceDeviation bounds how far one measurement counts as deviating from the
	// estimate, as a logarithm. It exceeds the noise of most measurements, and is far below
	// the deviation of work that something else has slowed.
	maxPaceDeviation = 0.2
	// paceBins is the number of points by which the logarithms of measurements are kept.
	paceBins = 29
	// paceHalvings is how often the range of the estimate is halved before it is
	// interpolated.
	paceHalvings = 8
	// sharedEvents is the number of events of a stream that count half as much as a prefill.
	sharedEvents = 2
)

var logMaxPace = math.Log(MaxPace)

// Pace is the estimate of a target's lasting speed: the time of its work, as a multiple
// of what the profile of its service expects, apart from the work queued there and from its
// momentary slowness. The zero value is that of an unknown target. It is immutable.
type Pace struct {
	weights [paceBins]float32 // Of the measurements, by their logarithm from -logMaxPace to logMaxPace.
	weight  float64           // Sum of the weights.
	logTime float64           // Logarithm of the estimate.
}

// With returns the estimate with one more measurement. A measurement that is not a number,
// or has no weight, is ignored.
func (p Pace) With(relative, weight float64) Pace {
	if !(relative >= 0 && weight > 0) {
		return p
	}
	weight = min(weight, 1)
	if excess := p.weight + weight - maxPaceWeight; excess > 0 {
		left := 1 - excess/p.weight
		for i := range p.weights {
			p.weights[i] *= float32(left)
		}
		p.weight *= left
	}
	p.weight += weight
	at := (math.Log(min(max(relative, 1/MaxPace), MaxPace)) - paceAt(0)) / (paceAt(1) - paceAt(0))
	i := min(max(int(at), 0), paceBins-2)
	upper := min(max(at-float64(i), 0), 1)
	p.weights[i] += float32(weight * (1 - upper))
	p.weights[i+1] += float32(weight * upper)
	p.logTime = p.estimate()
	return p
}

// paceAt returns the logarithm for which a weight stands.
func paceAt(i int) float64 { return logMaxPace * (2*float64(i)/(paceBins-1) - 1) }

// estimate returns the logarithm from which the measurements and the prior assumption
// deviate as much upwards as downwards, each limited, so that a few odd ones shift it
// little, however odd and whenever they come.
func (p Pace) estimate() float64 {
	low, high := paceAt(0), paceAt(paceBins-1)
	below, above := p.deviation(low), p.deviation(high)
	for range paceHalvings {
		middle := (low + high) / 2
		if d := p.deviation(middle); d > 0 {
			low, below = middle, d
		} else {
			high, above = middle, d
		}
	}
	return low + (high-low)*below/(below-above)
}

// deviation returns the sum of the limited deviations from a logarithm. It falls with it.
func (p Pace) deviation(from float64) float64 {
	sum := priorPaceWeight * paceDeviation(0, from)
	for i, w := range p.weights {
		if w > 0 {
			sum += float64(w) * paceDeviation(paceAt(i), from)
		}
	}
	return sum
}

func paceDeviation(measured, estimate float64) float64 {
	return min(max(measured-estimate, -maxPaceDeviation), maxPaceDeviation)
}

// Relative returns the estimate: 1 is as fast as the service, more is slower. It is near
// 1 as long as few measurements support another value.
func (p Pace) Relative() float64 { return math.Exp(p.logTime) }

// PrefillSample is the measurement of one prefill at a target. Times are in milliseconds.
type PrefillSample struct {
	Took float64
	Base float64 // Expected time that depends neither on the work nor on the target.
	Own  float64 // Expected time of the prefill itself at a target as fast as its service.
	Wait float64 // The same of the prefills that come before.
}

// pace returns the relative prefill time that the measurement shows at a momentary
// slowness, and its weight: the more of the time was spent on other things, the less it
// says about the target.
func (m PrefillSample) pace(slowness float64) (relative, weight float64) {
	share := m.Own / (m.Base + m.Wait + m.Own)
	return max(m.Took-m.Base, 0) / ((m.Own + m.Wait) * slowness), share * share
}
