// Package estimator predicts the cost of a request in prefill and output tokens.
// It learns from the finished requests of each workspace and route.
package estimator

import (
	"math"
	"sync"
)

// Sizes, averaging and priors.
const (
	// defaultMaxEntries holds 26,000 workspaces with two routes each in the newer half.
	defaultMaxEntries = 104_000
	// maxRoutes limits the number of route profiles; a catalogue has tens of routes.
	maxRoutes = 1024
	// averageWindow is the number of answers that an average effectively covers. It
	// must be short enough to follow a mix that changes within minutes.
	averageWindow = 64
	// priorAnswers is the weight of the route's average, in answers of the workspace.
	priorAnswers = 4
	// bytesPerToken is the assumed length of a token of text.
	bytesPerToken = 4
	// defaultOutput is the expected output, in tokens, of a route without answers.
	defaultOutput = 256
)

// Cost is the work of a request in prefill and output tokens.
type Cost struct {
	Prefill float64
	Output  float64
}

// Tokens returns the sum of prefill and output tokens.
func (c Cost) Tokens() float64 { return c.Prefill + c.Output }

// Request holds what is known of a request before it runs.
type Request struct {
	Workspace   string
	Route       string
	PromptBytes int
	// MaxOutput is the caller's limit on output tokens; 0 means none.
	MaxOutput int
}

// Answer holds what is known of a request after it ran.
type Answer struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Partial marks an incomplete answer; only its prompt counts.
	Partial bool
}

// Estimate is the predicted cost of one request. It is immutable.
type Estimate struct {
	// PromptTokens is the expected number of prompt tokens, cached ones included.
	PromptTokens float64
	Cost
	maxOutput float64
	lengths   lengthHistogram
}

// WithStreamed returns the estimate corrected for n output tokens received so far.
// It expects the mean length of answers longer than that.
func (e Estimate) WithStreamed(n int) Estimate {
	e.Output = max(e.lengths.meanAbove(float64(n)), float64(n))
	if e.maxOutput > 0 {
		e.Output = max(min(e.Output, e.maxOutput), float64(n))
	}
	return e
}

// profileKey identifies a profile.
type profileKey struct{ workspace, route string }

// profile holds decaying sums over the answers of one workspace and route.
type profile struct {
	lengths      lengthHistogram
	promptBytes  float64
	promptTokens float64
	cachedTokens float64
}

// Estimator learns and predicts costs. It is safe for concurrent use.
//
// Profiles are kept in two halves. When the newer half is full, it replaces the
// older one, whose profiles are dropped. This limits memory without an LRU list.
type Estimator struct {
	mu           sync.Mutex
	halfCapacity int
	newer        map[profileKey]*profile
	older        map[profileKey]*profile
	routes       map[string]*profile
	// prior is the profile for routes without answers.
	prior profile
}

// New returns an estimator that has only its prior.
func New(options ...Option) *Estimator {
	e := &Estimator{halfCapacity: defaultMaxEntries / 2, newer: map[profileKey]*profile{}, routes: map[string]*profile{}}
	e.prior.lengths.add(defaultOutput)
	e.prior.promptBytes, e.prior.promptTokens = bytesPerToken, 1
	for _, option := range options {
		option(e)
	}
	return e
}

// Estimate predicts the cost of a request.
func (e *Estimator) Estimate(r Request) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	prior := e.prior
	if p, ok := e.routes[r.Route]; ok {
		prior = *p
	}
	combined := profile{}
	if p := e.lookup(profileKey{r.Workspace, r.Route}); p != nil {
		combined = *p
	}
	// The prior's sums are scaled to the weight of priorAnswers answers.
	scale := priorAnswers / max(prior.lengths.total(), 1)
	combined.add(prior, scale)
	if combined.lengths.total() < 1 {
		// There were only partial answers, which have no known length.
		combined.lengths.merge(e.prior.lengths, 1)
	}
	prompt := float64(r.PromptBytes) * combined.promptTokens / combined.promptBytes
	estimate := Estimate{
		PromptTokens: prompt,
		Cost:         Cost{Prefill: prompt * (1 - combined.cachedTokens/combined.promptTokens)},
		maxOutput:    float64(r.MaxOutput),
		lengths:      combined.lengths,
	}
	return estimate.WithStreamed(0)
}

// Observe learns from a finished request.
func (e *Estimator) Observe(r Request, a Answer) {
	if a.PromptTokens <= 0 || a.OutputTokens < 0 || a.CachedTokens < 0 || r.PromptBytes < 0 {
		return
	}
	a.CachedTokens = min(a.CachedTokens, a.PromptTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lookupOrCreate(profileKey{r.Workspace, r.Route}).observe(r, a)
	if p, ok := e.routes[r.Route]; ok {
		p.observe(r, a)
		return
	}
	if len(e.routes) < maxRoutes {
		p := &profile{}
		p.observe(r, a)
		e.routes[r.Route] = p
	}
}

// Len returns the number of profiles kept.
func (e *Estimator) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.newer) + len(e.older)
}

// lookup returns a profile, or nil, and moves it to the newer half.
func (e *Estimator) lookup(key profileKey) *profile {
	if p, ok := e.newer[key]; ok {
		return p
	}
	p, ok := e.older[key]
	if !ok {
		return nil
	}
	delete(e.older, key)
	e.insert(key, p)
	return p
}

func (e *Estimator) lookupOrCreate(key profileKey) *profile {
	if p := e.lookup(key); p != nil {
		return p
	}
	p := &profile{}
	e.insert(key, p)
	return p
}

func (e *Estimator) insert(key profileKey, p *profile) {
	if len(e.newer) >= e.halfCapacity {
		e.older, e.newer = e.newer, make(map[profileKey]*profile, e.halfCapacity/4)
	}
	e.newer[key] = p
}

// observe adds one answer and reduces the weight of older ones.
func (p *profile) observe(r Request, a Answer) {
	const decay = 1 - 1.0/averageWindow
	p.promptBytes = p.promptBytes*decay + float64(max(r.PromptBytes, 1))
	p.promptTokens = p.promptTokens*decay + float64(a.PromptTokens)
	p.cachedTokens = p.cachedTokens*decay + float64(a.CachedTokens)
	if a.Partial {
		return
	}
	p.lengths.scale(decay)
	p.lengths.add(float64(a.OutputTokens))
}

// add adds the scaled sums of another profile.
func (p *profile) add(other profile, scale float64) {
	p.promptBytes += other.promptBytes * scale
	p.promptTokens += other.promptTokens * scale
	p.cachedTokens += other.cachedTokens * scale
	p.lengths.merge(other.lengths, scale)
}

// bucketCount is the number of buckets of output lengths. Bucket i holds lengths in
// [2^i, 2^(i+1)), and the last one all longer ones too.
const bucketCount = 18

// lengthHistogram is a decaying histogram of output lengths. Unlike a mean alone,
// it gives the expected length of an answer that is already partly received.
type lengthHistogram struct {
	count [bucketCount]float32
	sum   [bucketCount]float32
}

func bucketOf(tokens float64) int {
	return min(max(int(math.Log2(max(tokens, 1))), 0), bucketCount-1)
}

func (l *lengthHistogram) add(tokens float64) {
	i := bucketOf(tokens)
	l.count[i]++
	l.sum[i] += float32(tokens)
}

func (l *lengthHistogram) scale(factor float32) {
	for i := range bucketCount {
		l.count[i] *= factor
		l.sum[i] *= factor
	}
}

func (l *lengthHistogram) merge(other lengthHistogram, scale float64) {
	for i := range bucketCount {
		l.count[i] += other.count[i] * float32(scale)
		l.sum[i] += other.sum[i] * float32(scale)
	}
}

func (l *lengthHistogram) total() float64 {
	var total float64
	for _, c := range l.count {
		total += float64(c)
	}
	return total
}

// meanAbove returns the mean length of answers that are longer than received. If
// there were none, it returns one and a half times received.
func (l *lengthHistogram) meanAbove(received float64) float64 {
	first := 0
	if received >= 1 {
		first = bucketOf(received)
	}
	var count, sum float64
	for i := first; i < bucketCount; i++ {
		average := float64(l.sum[i]) / float64(l.count[i])
		if l.count[i] == 0 || average <= received {
			continue
		}
		count += float64(l.count[i])
		sum += float64(l.sum[i])
	}
	if count < 0.01 {
		return received * 1.5
	}
	return sum / count
}
