package profiler

import "math"

// Sums are what was seen of a service, in a form in which the sums of several
// instances add up. All of them fade with time.
type Sums [width]float64

// The places of the sums.
const (
	// Of readings, for a fit by least squares over thousands of tokens, millions of
	// pairs and milliseconds; each reading has the weight of its share of the queue.
	weight = iota
	tokens
	related
	tokensTokens
	tokensRelated
	relatedRelated
	millis
	tokensMillis
	relatedMillis
	millisMillis
	// Of runs.
	runs
	heldMillis
	outputs     // Thousands of tokens that the runs might generate.
	outputTaken // The same, weighted by the part of the engine that was taken,
	outputTakenTaken
	heldTaken // and milliseconds with that weight.
	// Of arriving requests.
	requests
	effort // Milliseconds.

	width
)

const (
	tokenScale = 1e3 // Sums are in thousands of tokens
	pairScale  = 1e6 // and in millions of pairs.
)

// Assumptions until readings tell more: an engine of middling speed. Their weights
// are those of a single reading of a few thousand tokens.
const (
	assumedBase     = 20.0 // Milliseconds.
	assumedPerToken = 6.0  // Milliseconds for a thousand tokens.
	assumedPerPair  = 0.1  // Milliseconds for a million pairs.
	assumedError    = 50.0 // Milliseconds.
	assumedHold     = 50.0 // Milliseconds.
	assumedPrompt   = 20.0 // Milliseconds.
	assumedOutput   = 0.05 // Thousands of tokens.
	baseWeight      = 0.5
	tokenWeight     = 4.0
	pairWeight      = 400.0
	// assumedSpread is the variance of the part taken below which a fit says little.
	assumedSpread = 0.002
	// leastEmpty bounds what an empty engine is taken to gain, and mostSlowdown the growth.
	leastEmpty   = 0.2
	mostSlowdown = 1.5
	halfTaken    = 0.5
	// outlier is how many times longer than expected a reading may take and count in full.
	outlier = 4.0
	// leastPerToken keeps the fit above zero, in milliseconds for a thousand tokens.
	leastPerToken = 0.02
)

// SumsOf returns sums that another instance told; those of another version of the
// program count as none.
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

// Plus returns the sums of both.
func (s Sums) Plus(o Sums) Sums {
	for i := range s {
		s[i] += o[i]
	}
	return s
}

// read adds a reading. One that waited behind others tells little of its own time.
func (s *Sums) read(r Reading) {
	t := float64(r.Tokens) / tokenScale
	q := Pairs(r.Tokens, r.Prompt) / pairScale
	base, perToken, perPair := s.fit()
	own, ahead := perToken*t+perPair*q, Time(float64(r.Ahead))
	share := own / (own + ahead)
	w := share * share
	y := max(float64(r.Took)-ahead, 0)
	if s[weight] > 1 {
		y = min(y, outlier*(base+own))
	}
	for i, v := range [...]float64{1, t, q, t * t, t * q, q * q, y, t * y, q * y, y * y} {
		s[weight+i] += w * v
	}
}

func (s *Sums) ran(took, output, taken float64) {
	output /= tokenScale
	s[outputs] += output
	s[outputTaken] += output * taken
	s[outputTakenTaken] += output * taken * taken
	s[heldTaken] += took * taken
	s[runs]++
	s[heldMillis] += took
}

func (s *Sums) offered(work float64) {
	s[requests]++
	s[effort] += Time(work)
}

// fit returns the milliseconds of a reading, of a thousand tokens and of a million
// pairs: least squares, drawn to the assumptions while few readings are known. None
// of them is negative.
func (s Sums) fit() (base, perToken, perPair float64) {
	a := [3][3]float64{
		{s[weight] + baseWeight, s[tokens], s[related]},
		{s[tokens], s[tokensTokens] + tokenWeight, s[tokensRelated]},
		{s[related], s[tokensRelated], s[relatedRelated] + pairWeight},
	}
	b := [3]float64{
		s[millis] + baseWeight*assumedBase, s[tokensMillis] + tokenWeight*assumedPerToken, s[relatedMillis] + pairWeight*assumedPerPair,
	}
	x := solve(a, b, [3]bool{true, true, true})
	// Tokens and pairs grow together, so a fit may trade one against the other.
	use := [3]bool{x[0] >= 0, true, x[2] >= 0}
	if !use[0] || !use[2] {
		x = solve(a, b, use)
	}
	return max(x[0], 0), max(x[1], leastPerToken), max(x[2], 0)
}

// solve solves a system of equations by Gauss's elimination without the unknowns that are not used.
func solve(a [3][3]float64, b [3]float64, use [3]bool) (x [3]float64) {
	for i := range a {
		if !use[i] {
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

// slowdown fits the time of a run for each token that it may generate to the part of
// the engine that was taken, and returns its growth until the engine is half taken.
func (s Sums) slowdown() float64 {
	if s[outputs] <= 0 || s[heldMillis] <= 0 {
		return 0
	}
	mean, pace := s[outputTaken]/s[outputs], s[heldMillis]/s[outputs]
	spread := s[outputTakenTaken]/s[outputs] - mean*mean
	// The variance of an assumed reading draws the fit to no growth while little varies.
	slope := (s[heldTaken]/s[outputs] - mean*pace) / (max(spread, 0) + assumedSpread)
	empty := max(pace-slope*mean, leastEmpty*pace)
	return min(max(halfTaken*slope/empty, 0), mostSlowdown)
}

func (s Sums) profile() Profile {
	base, perToken, perPair := s.fit()
	p := Profile{
		Base: base, PerToken: perToken / tokenScale, PerPair: perPair / pairScale, Error: assumedError,
		Prompt:    microsPerMilli * (s[effort] + assumedPrompt) / (s[requests] + 1),
		Hold:      (s[heldMillis] + assumedHold) / (s[runs] + 1),
		PerOutput: (s[heldMillis] + assumedHold) / (s[outputs] + assumedOutput) / tokenScale,
		Slowdown:  s.slowdown(),
		Known:     s[requests] >= leastRequests,
	}
	if squares := s.squares(base, perToken, perPair); squares > 0 {
		p.Error = math.Sqrt((squares + assumedError*assumedError) / (s[weight] + 1))
	}
	span := float64(memorySpan)
	p.Reading = s[effort] / span
	return p
}

// squares returns the weighted sum of squared errors of a fit.
func (s Sums) squares(base, perToken, perPair float64) float64 {
	x := [3]float64{base, perToken, perPair}
	m := [3][3]float64{
		{s[weight], s[tokens], s[related]},
		{s[tokens], s[tokensTokens], s[tokensRelated]},
		{s[related], s[tokensRelated], s[relatedRelated]},
	}
	sum := s[millisMillis]
	for i, y := range [3]float64{s[millis], s[tokensMillis], s[relatedMillis]} {
		sum -= 2 * x[i] * y
		for j := range m {
			sum += x[i] * x[j] * m[i][j]
		}
	}
	return sum
}
