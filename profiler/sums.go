package profiler

import "math"

// Sums are the measurements of a service as weighted sums, so that those of several
// instances can be added. All of them decay with time.
type Sums [sumCount]float64

// Indices of the sums.
const (
	// Prefills, for a least-squares fit in thousands of tokens, millions of pairs and
	// milliseconds. The weight is the square of a prefill's share of the work that was
	// queued up to and including it.
	weight = iota
	tokens
	pairs
	tokensTokens
	tokensPairs
	pairsPairs
	millis
	tokensMillis
	pairsMillis
	millisMillis
	// Decodes.
	decodes
	slotMillis
	outputTokens      // Thousands of tokens that the decodes may generate.
	outputUtilization // The same, multiplied by the engine's utilization.
	outputUtilizationSquared
	slotMillisUtilization // Milliseconds, multiplied by the engine's utilization.
	streamMillis          // Milliseconds between the first and the last event of streams, at an empty engine.
	streamEvents          // Events after the first.
	// Arriving requests.
	requests
	prefillMillis

	sumCount
)

const (
	tokenScale = 1e3 // Sums are in thousands of tokens
	pairScale  = 1e6 // and in millions of pairs.
)

// Prior assumptions: an engine of medium speed. Their weights are those of a single
// prefill of a few thousand tokens.
const (
	assumedBase          = 20.0 // Milliseconds.
	assumedPerToken      = 6.0  // Milliseconds for a thousand tokens.
	assumedPerPair       = 0.1  // Milliseconds for a million pairs.
	assumedError         = 50.0 // Milliseconds.
	assumedSlotMillis    = 50.0 // Milliseconds.
	assumedPrefillMillis = 20.0 // Milliseconds.
	assumedOutput        = 0.05 // Thousands of tokens.
	baseWeight           = 0.5
	tokenWeight          = 4.0
	pairWeight           = 400.0
	// assumedVariance is the variance of the utilization below which a fit says little.
	assumedVariance = 0.002
	// minEmptyShare is the smallest time on an empty engine, as a share of the mean time,
	// and maxSlowdown the largest slowdown that a fit may give.
	minEmptyShare = 0.2
	maxSlowdown   = 1.5
	halfUtilized  = 0.5
	// outlierFactor limits a measured prefill time, in multiples of the expected one.
	outlierFactor = 4.0
	// minPerToken keeps the fit positive, in milliseconds for a thousand tokens.
	minPerToken = 0.02
)

// SumsOf returns the sums that another instance reported. Those of another program
// version, which have a different length, count as zero.
func SumsOf(values []float64) (s Sums) {
	if len(values) == len(s) {
		copy(s[:], values)
	}
	return s
}

func (s *Sums) scale(factor float64) {
	for i := range s {
		s[i] *= factor
	}
}

// Plus returns the element-wise total of both.
func (s Sums) Plus(o Sums) Sums {
	for i := range s {
		s[i] += o[i]
	}
	return s
}

// addPrefill adds a prefill. The longer it was queued behind others, the less it
// says about its own time, and the less weight it has.
func (s *Sums) addPrefill(r Prefill) {
	tokenCount := float64(r.Tokens) / tokenScale
	pairCount := Pairs(r.Tokens, r.Prompt) / pairScale
	base, perToken, perPair := s.fit()
	expected, ahead := perToken*tokenCount+perPair*pairCount, WorkMillis(float64(r.QueuedWork))
	share := expected / (expected + ahead)
	w := share * share
	duration := max(float64(r.Duration)-ahead, 0)
	if s[weight] > 1 {
		duration = min(duration, outlierFactor*(base+expected))
	}
	for i, v := range [...]float64{1, tokenCount, pairCount, tokenCount * tokenCount, tokenCount * pairCount, pairCount * pairCount, duration, tokenCount * duration, pairCount * duration, duration * duration} {
		s[weight+i] += w * v
	}
}

func (s *Sums) addDecode(duration, output, utilization float64) {
	output /= tokenScale
	s[outputTokens] += output
	s[outputUtilization] += output * utilization
	s[outputUtilizationSquared] += output * utilization * utilization
	s[slotMillisUtilization] += duration * utilization
	s[decodes]++
	s[slotMillis] += duration
}

func (s *Sums) addStream(duration, events float64) {
	s[streamMillis] += duration
	s[streamEvents] += events
}

func (s *Sums) addRequest(work float64) {
	s[requests]++
	s[prefillMillis] += WorkMillis(work)
}

// fit returns the milliseconds for a prefill, for a thousand tokens and for a million
// pairs: least squares, regularized towards the assumptions while there are few
// measurements. None of them is negative.
func (s Sums) fit() (base, perToken, perPair float64) {
	a := [3][3]float64{
		{s[weight] + baseWeight, s[tokens], s[pairs]},
		{s[tokens], s[tokensTokens] + tokenWeight, s[tokensPairs]},
		{s[pairs], s[tokensPairs], s[pairsPairs] + pairWeight},
	}
	b := [3]float64{
		s[millis] + baseWeight*assumedBase, s[tokensMillis] + tokenWeight*assumedPerToken, s[pairsMillis] + pairWeight*assumedPerPair,
	}
	x := solve(a, b, [3]bool{true, true, true})
	// Tokens and pairs are correlated, so a fit may make one coefficient negative.
	used := [3]bool{x[0] >= 0, true, x[2] >= 0}
	if !used[0] || !used[2] {
		x = solve(a, b, used)
	}
	return max(x[0], 0), max(x[1], minPerToken), max(x[2], 0)
}

// solve solves a linear system by Gaussian elimination; unknowns that are not used are 0.
func solve(a [3][3]float64, b [3]float64, used [3]bool) (x [3]float64) {
	for i := range a {
		if !used[i] {
			for j := range a {
				a[i][j], a[j][i] = 0, 0
			}
			a[i][i], b[i] = 1, 0
		}
	}
	// The matrix is positive definite, so no pivot is zero.
	for i := range a {
		for j := i + 1; j < len(a); j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < len(a); k++ {
				a[j][k] -= f * a[i][k]
			}
			b[j] -= f * b[i]
		}
	}
	for i := len(a) - 1; i >= 0; i-- {
		x[i] = b[i]
		for j := i + 1; j < len(a); j++ {
			x[i] -= a[i][j] * x[j]
		}
		x[i] /= a[i][i]
	}
	return x
}

// slowdown fits the time of a decode for each token that it may generate as a linear
// function of the engine's utilization, and returns its relative growth from an empty
// engine to a utilization of one half.
func (s Sums) slowdown() float64 {
	if s[outputTokens] <= 0 || s[slotMillis] <= 0 {
		return 0
	}
	mean, perOutput := s[outputUtilization]/s[outputTokens], s[slotMillis]/s[outputTokens]
	variance := s[outputUtilizationSquared]/s[outputTokens] - mean*mean
	// The assumed variance keeps the slope near zero while the utilization hardly varies.
	slope := (s[slotMillisUtilization]/s[outputTokens] - mean*perOutput) / (max(variance, 0) + assumedVariance)
	empty := max(perOutput-slope*mean, minEmptyShare*perOutput)
	return min(max(halfUtilized*slope/empty, 0), maxSlowdown)
}

func (s Sums) profile() Profile {
	base, perToken, perPair := s.fit()
	p := Profile{
		Base: base, PerToken: perToken / tokenScale, PerPair: perPair / pairScale, PrefillError: assumedError,
		MeanPrefillWork: microsPerMilli * (s[prefillMillis] + assumedPrefillMillis) / (s[requests] + 1),
		SlotTime:        (s[slotMillis] + assumedSlotMillis) / (s[decodes] + 1),
		PerOutput:       (s[slotMillis] + assumedSlotMillis) / (s[outputTokens] + assumedOutput) / tokenScale,
		Slowdown:        s.slowdown(),
		Known:           s[requests] >= minRequests,
	}
	if squaredError := s.squaredError(base, perToken, perPair); squaredError > 0 {
		p.PrefillError = math.Sqrt((squaredError + assumedError*assumedError) / (s[weight] + 1))
	}
	if s[streamEvents] > 0 {
		p.EventInterval = s[streamMillis] / s[streamEvents]
	}
	window := float64(decayTime)
	p.PrefillDemand = s[prefillMillis] / window
	return p
}

// squaredError returns the weighted sum of a fit's squared errors.
func (s Sums) squaredError(base, perToken, perPair float64) float64 {
	x := [3]float64{base, perToken, perPair}
	m := [3][3]float64{
		{s[weight], s[tokens], s[pairs]},
		{s[tokens], s[tokensTokens], s[tokensPairs]},
		{s[pairs], s[tokensPairs], s[pairsPairs]},
	}
	sum := s[millisMillis]
	for i, y := range [3]float64{s[millis], s[tokensMillis], s[pairsMillis]} {
		sum -= 2 * x[i] * y
		for j := range m {
			sum += x[i] * x[j] * m[i][j]
		}
	}
	return sum
}
