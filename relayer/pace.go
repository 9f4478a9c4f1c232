package relayer

import (
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
	"github.com/gypsumwharf/gypsumwharf/tracker"
)

// maxWritingShare is the largest share of a stream's time that its caller may take to
// receive it: the pace of a stream to a slower caller says little of the target.
const maxWritingShare = 0.1

// streamPace measures the events of a stream after the first.
type streamPace struct {
	first, last timekeeper.Reading // When events were read.
	later       int                // Events after the first.
	writing     timekeeper.Millis  // Time in which the caller received events.
}

func (s *streamPace) add(at timekeeper.Reading) {
	if s.first == (timekeeper.Reading{}) {
		s.first, s.last = at, at
		return
	}
	s.last = at
	s.later++
}

// recordPace learns from the pace of a stream that an engine generated.
func (p *pendingRequest) recordPace(a Attempt, ticket *tracker.Ticket, s streamPace) {
	took := s.last.Since(s.first)
	if !p.service.Engines || s.later == 0 || took <= 0 || float64(s.writing) > maxWritingShare*float64(took) {
		return
	}
	ticket.RecordStream(p.Profiler.RecordStream(p.service.Name, took, s.later, a.utilization), s.later)
}
