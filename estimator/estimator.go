// Package estimator predicts what a request costs in prefill and output tokens.
// It learns from finished answers of each workspace and route.
package estimator

import (
	"math"
	"sync"
)

// Bounds of what is kept and how fast it is forgotten.
const (
	// defaultEntries holds 26,000 workspaces with two routes each in the newer half.
	defaultEntries = 104_000
	// maxRoutes bounds the route priors; a catalogue has tens of routes.
	maxRoutes = 1024
	// memory is the number of answers that weigh in an estimate: a mix that swings
	// within minutes must replace what was learned before it.
	memory = 64
	// priorAnswers is the weight of the route's average beside a workspace's own answers.
	priorAnswers = 4
	// bytesPerToken is the prior for the length of a token of text.
	bytesPerToken = 4
	// defaultOutput is the expected output of a route without any answer yet.
	defaultOutput = 256
)

// Cost is the work of a request in tokens of both phases.
type Cost struct {
	Prefill float64
	Output  float64
}

// Tokens returns the tokens of both phases together.
func (c Cost) Tokens() float64 { return c.Prefill + c.Output }

// Request is what is known of a request before it runs.
type Request struct {
	Workspace   string
	Route       string
	PromptBytes int
	// MaxOutput is the caller's own bound on output tokens; 0 means none.
	MaxOutput int
}

// Answer is what is known of a request after it ran.
type Answer struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Partial marks an answer that was cut short; only its prompt counts.
	Partial bool
}

// Estimate is the predicted cost of one request. It is immutable.
type Estimate struct {
	// Prompt is the expected number of prompt tokens, cached ones included.
	Prompt float64
	Cost
	maximum float64
	lengths lengths
}

// WithStreamed returns the estimate corrected for n output tokens that arrived:
// the expected length of answers at least that long.
func (e Estimate) WithStreamed(n int) Estimate {
	e.Output = max(e.lengths.mean(float64(n)), float64(n))
	if e.maximum > 0 {
		e.Output = max(min(e.Output, e.maximum), float64(n))
	}
	return e
}

// id names what is learned together.
type id struct{ workspace, route string }

// profile is what was learned of one workspace and route.
type profile struct {
	lengths lengths
	bytes   float64
	prompt  float64
	cached  float64
}

// Estimator learns and predicts costs. It is safe for concurrent use.
//
// Profiles live in two halves: when the newer half is full, the older one is
// dropped, which bounds memory without a list in order of use.
type Estimator struct {
	mu      sync.Mutex
	half    int
	newer   map[id]*profile
	older   map[id]*profile
	routes  map[string]*profile
	unknown profile
}

// New returns an estimator that knows only its priors.
func New(options ...Option) *Estimator {
	e := &Estimator{half: defaultEntries / 2, newer: map[id]*profile{}, routes: map[string]*profile{}}
	e.unknown.lengths.add(defaultOutput)
	e.unknown.bytes, e.unknown.prompt = bytesPerToken, 1
	for _, option := range options {
		option(e)
	}
	return e
}

// Estimate predicts the cost of a request.
func (e *Estimator) Estimate(r Request) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	prior := e.unknown
	if p, ok := e.routes[r.Route]; ok {
		prior = *p
	}
	known := profile{}
	if p := e.find(id{r.Workspace, r.Route}); p != nil {
		known = *p
	}
	// The prior's sums are scaled to the weight of priorAnswers answers.
	scale := priorAnswers / max(prior.lengths.total(), 1)
	known.add(prior, scale)
	if known.lengths.total() < 1 {
		// Only partial answers were seen, which tell nothing about length.
		known.lengths.merge(e.unknown.lengths, 1)
	}
	prompt := float64(r.PromptBytes) * known.prompt / known.bytes
	estimate := Estimate{
		Prompt:  prompt,
		Cost:    Cost{Prefill: prompt * (1 - known.cached/known.prompt)},
		maximum: float64(r.MaxOutput),
		lengths: known.lengths,
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
	e.obtain(id{r.Workspace, r.Route}).observe(r, a)
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

// find returns a profile and moves it to the newer half.
func (e *Estimator) find(key id) *profile {
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

func (e *Estimator) obtain(key id) *profile {
	if p := e.find(key); p != nil {
		return p
	}
	p := &profile{}
	e.insert(key, p)
	return p
}

func (e *Estimator) insert(key id, p *profile) {
	if len(e.newer) >= e.half {
		e.older, e.newer = e.newer, make(map[id]*profile, e.half/4)
	}
	e.newer[key] = p
}

// observe adds one answer and lets older ones fade.
func (p *profile) observe(r Request, a Answer) {
	const keep = 1 - 1.0/memory
	p.bytes = p.bytes*keep + float64(max(r.PromptBytes, 1))
	p.prompt = p.prompt*keep + float64(a.PromptTokens)
	p.cached = p.cached*keep + float64(a.CachedTokens)
	if a.Partial {
		return
	}
	p.lengths.scale(keep)
	p.lengths.add(float64(a.OutputTokens))
}

// add mixes another profile into this one.
func (p *profile) add(other profile, scale float64) {
	p.bytes += other.bytes * scale
	p.prompt += other.prompt * scale
	p.cached += other.cached * scale
	p.lengths.merge(other.lengths, scale)
}

// buckets of output lengths: bucket i holds lengths in [2^i, 2^(i+1)), the last one all above.
const buckets = 18

// lengths is a fading histogram of output lengths. It gives the expected length
// of an answer of which a part has already arrived, which a mean alone cannot.
type lengths struct {
	count [buckets]float32
	sum   [buckets]float32
}

func bucketOf(tokens float64) int {
	return min(max(int(math.Log2(max(tokens, 1))), 0), buckets-1)
}

func (l *lengths) add(tokens float64) {
	i := bucketOf(tokens)
	l.count[i]++
	l.sum[i] += float32(tokens)
}

func (l *lengths) scale(factor float32) {
	for i := range buckets {
		l.count[i] *= factor
		l.sum[i] *= factor
	}
}

func (l *lengths) merge(other lengths, scale float64) {
	for i := range buckets {
		l.count[i] += other.count[i] * float32(scale)
		l.sum[i] += other.sum[i] * float32(scale)
	}
}

func (l *lengths) total() float64 {
	var total float64
	for _, c := range l.count {
		total += float64(c)
	}
	return total
}

// mean returns the expected length of answers that are longer than reached; if
// none was seen, half as much again as what has arrived.
func (l *lengths) mean(reached float64) float64 {
	first := 0
	if reached >= 1 {
		first = bucketOf(reached)
	}
	var count, sum float64
	for i := first; i < buckets; i++ {
		average := float64(l.sum[i]) / float64(l.count[i])
		if l.count[i] == 0 || average <= reached {
			continue
		}
		count += float64(l.count[i])
		sum += float64(l.sum[i])
	}
	if count < 0.01 {
		return reached * 1.5
	}
	return sum / count
}
