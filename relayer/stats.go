package relayer

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// maxLatency is the upper end of the histograms, in milliseconds.
const maxLatency = 120_000

// noticeablePace is the relative time from which an engine counts as slow.
const noticeablePace = 1.25

// Stats are the counters and latency histograms of a relayer.
type Stats struct {
	Served          *expvar.Int // Requests whose answer was relayed completely.
	Abandoned       *expvar.Int // Requests whose caller disconnected.
	Retries         *expvar.Int // Calls to targets charged to the retry budget.
	Resumed         *expvar.Int // Streams resumed at another target.
	Prefills        *expvar.Int // Prompts prefilled on a separate engine.
	Paces           *expvar.Map // The same by the learned pace of the engine: quick, usual or slow.
	Refusals        *expvar.Map // Refused and failed requests by reason.
	Outcomes        *expvar.Map // Attempts by outcome.
	Reports         *expvar.Map // Answers in which targets asked to be left alone, by what they said.
	Crashes         *expvar.Map // Crashes of targets with requests in flight, by what showed them.
	DataCentresLost *expvar.Int // Data centres of which no target could be reached.
	AwaitedStartup  *expvar.Int // Requests that waited for the start of the process to be complete.
	Urgencies       *expvar.Map // Requests by level of urgency and result, where urgencies differ.
	FirstAnswer     *Histogram  // Time from arrival to the first event, or to the whole answer if it isn't streamed.
	WholeAnswer     *Histogram  // Time from arrival to the end of the answer.
	PrefillTime     *Histogram  // Duration of the prefill call.
}

// NewStats returns counters at zero.
func NewStats() *Stats {
	return &Stats{
		Served: new(expvar.Int), Abandoned: new(expvar.Int), Retries: new(expvar.Int),
		Resumed: new(expvar.Int), Prefills: new(expvar.Int), Paces: new(expvar.Map).Init(),
		Refusals: new(expvar.Map).Init(), Outcomes: new(expvar.Map).Init(), Reports: new(expvar.Map).Init(), Urgencies: new(expvar.Map).Init(),
		Crashes: new(expvar.Map).Init(), DataCentresLost: new(expvar.Int), AwaitedStartup: new(expvar.Int),
		FirstAnswer: newHistogram(), WholeAnswer: newHistogram(), PrefillTime: newHistogram(),
	}
}

// Map returns the counters and histograms under their metric names.
func (s *Stats) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("requests-served", s.Served)
	m.Set("requests-abandoned", s.Abandoned)
	m.Set("attempts-repeated", s.Retries)
	m.Set("streams-resumed", s.Resumed)
	m.Set("prompts-read", s.Prefills)
	m.Set("prompts-read-by-pace", s.Paces)
	m.Set("refusals", s.Refusals)
	m.Set("attempt-outcomes", s.Outcomes)
	m.Set("target-reports", s.Reports)
	m.Set("target-crashes", s.Crashes)
	m.Set("data-centres-lost", s.DataCentresLost)
	m.Set("requests-that-awaited-startup", s.AwaitedStartup)
	m.Set("urgencies", s.Urgencies)
	m.Set("first-answer-milliseconds", s.FirstAnswer)
	m.Set("whole-answer-milliseconds", s.WholeAnswer)
	m.Set("prompt-reading-milliseconds", s.PrefillTime)
	return m
}

// paceLabel returns the label under which a pace is counted.
func paceLabel(pace float64) string {
	switch {
	case pace < 1/noticeablePace:
		return "quick"
	case pace > noticeablePace:
		return "slow"
	default:
		return "usual"
	}
}

// Histogram is a latency histogram that implements expvar.Var. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(1, maxLatency, 2)}
}

// Record adds one latency; values out of range count as the nearest bound.
func (h *Histogram) Record(m timekeeper.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(int64(m), 1), maxLatency)) // Always in range.
}

// String returns the count and the quantiles as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := new(expvar.Map).Init()
	for name, value := range map[string]int64{
		"count": h.values.TotalCount(), "p50": h.values.ValueAtQuantile(50), "p90": h.values.ValueAtQuantile(90),
		"p99": h.values.ValueAtQuantile(99), "max": h.values.Max(),
	} {
		m.Add(name, value)
	}
	return m.String()
}
