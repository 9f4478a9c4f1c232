// Package recorder keeps the numbered events of one instance in a ring buffer and
// writes them to the log.
package recorder

import (
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Code is the number of a kind of event; Catalogue describes each.
type Code int

// Event is a recorded occurrence in an instance.
type Event struct {
	Code        Code             `json:"code"`
	Name        string           `json:"name"`
	Stamp       timekeeper.Stamp `json:"stamp"`
	Instance    string           `json:"instance"`
	Incarnation int64            `json:"incarnation"`
	DataCentre  string           `json:"data-centre"`
	Request     string           `json:"request,omitempty"`
	Order       string           `json:"order,omitempty"`
	Workspace   string           `json:"workspace,omitempty"`
	Target      string           `json:"target,omitempty"`
	Cause       string           `json:"cause,omitempty"`
	// Inputs are the values behind a decision; they appear only in the log.
	Inputs []zap.Field `json:"-"`
}

// Origin identifies the process that records events.
type Origin struct {
	Instance    string
	Incarnation int64
	DataCentre  string
}

// Recorder records events of one instance. It is safe for concurrent use.
type Recorder struct {
	origin  Origin
	stamper *timekeeper.Stamper
	log     *zap.Logger

	mu      sync.Mutex
	counts  map[Code]int64
	ring    []Event
	next    int
	dropped int64
}

// New returns a recorder that keeps the last size events.
func New(o Origin, s *timekeeper.Stamper, log *zap.Logger, size int) *Recorder {
	return &Recorder{origin: o, stamper: s, log: log, counts: map[Code]int64{}, ring: make([]Event, 0, max(size, 1))}
}

// Record stamps an event, adds it to the ring buffer and writes it to the log.
// Callers set Code and the fields that apply.
func (r *Recorder) Record(e Event) {
	entry := Catalogue[e.Code]
	e.Name = entry.Name
	e.Stamp = r.stamper.Next()
	e.Instance, e.Incarnation, e.DataCentre = r.origin.Instance, r.origin.Incarnation, r.origin.DataCentre
	r.keep(e)
	if checked := r.log.Check(entry.Level, e.Name); checked != nil {
		checked.Write(fields(e)...)
	}
}

func (r *Recorder) keep(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[e.Code]++
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
	r.dropped++
}

// Events returns the events in order of their stamps and how many older ones were dropped.
func (r *Recorder) Events() ([]Event, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.ring))
	events = append(events, r.ring[r.next:]...)
	return append(events, r.ring[:r.next]...), r.dropped
}

// Timeline is one instance's part of the time line.
type Timeline struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	DataCentre  string `json:"data-centre"`
	// Dropped is the number of older events that the ring buffer no longer holds.
	Dropped int64   `json:"dropped"`
	Events  []Event `json:"events"`
}

// Timeline returns the instance's part of the time line.
func (r *Recorder) Timeline() Timeline {
	events, dropped := r.Events()
	return Timeline{
		Instance: r.origin.Instance, Incarnation: r.origin.Incarnation, DataCentre: r.origin.DataCentre,
		Dropped: dropped, Events: events,
	}
}

// Counts returns how many events of each name were recorded since the start.
func (r *Recorder) Counts() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64, len(r.counts))
	for code, n := range r.counts {
		counts[Catalogue[code].Name] = n
	}
	return counts
}

func fields(e Event) []zap.Field {
	list := []zap.Field{
		zap.Int("event", int(e.Code)),
		zap.String("instance", e.Instance),
		zap.String("data-centre", e.DataCentre),
		zap.Int64("incarnation", e.Incarnation),
	}
	for _, f := range []struct{ name, value string }{
		{"request", e.Request}, {"order", e.Order}, {"workspace", e.Workspace}, {"target", e.Target}, {"cause", e.Cause},
	} {
		if f.value != "" {
			list = append(list, zap.String(f.name, f.value))
		}
	}
	return append(list, e.Inputs...)
}

// Entry describes a kind of event.
type Entry struct {
	Name    string
	Level   zapcore.Level
	Meaning string
	Action  string
}
