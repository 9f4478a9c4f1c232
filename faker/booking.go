package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// maxBodyBytes limits the request bodies that stand-ins read.
const maxBodyBytes = 64 << 20

func copyLimited(w io.Writer, r io.Reader) (int64, error) {
	return io.Copy(w, io.LimitReader(r, maxBodyBytes))
}

// Reservation is one reservation that a booking server made.
type Reservation struct {
	ID             string `json:"id"`
	Request        string `json:"request"`
	IdempotencyKey string `json:"idempotency-key"`
	Body           string `json:"body"`
}

// Booking is a stand-in for a booking server. It isn't idempotent: it makes a
// reservation for every request that reaches it.
type Booking struct {
	name  string
	clock timekeeper.Clock
	delay time.Duration

	mu           sync.Mutex
	reservations []Reservation
	runs         []*Run
	running      int
	leaving      bool
	fault        func(Run) Misbehaviour
}

// NewBooking returns a booking server that answers each call after a delay.
func NewBooking(name string, c timekeeper.Clock, delay time.Duration) *Booking {
	return &Booking{name: name, clock: c, delay: delay}
}

// Handler serves availability checks, reservations and the load report.
func (b *Booking) Handler() http.Handler {
	s := echo.New()
	s.HideBanner = true
	s.GET("/load", func(c echo.Context) error { return c.JSON(http.StatusOK, b.load()) })
	s.GET("/records", func(c echo.Context) error { return c.JSON(http.StatusOK, b.Reservations()) })
	s.POST("/leaving/:leaving", func(c echo.Context) error {
		b.SetLeaving(c.Param("leaving") == "true")
		return c.NoContent(http.StatusNoContent)
	})
	s.GET("/*", b.availability)
	s.POST("/*", b.reserve)
	return s
}

// SetFault sets a function that chooses the fault of each later request; nil ends all faults.
func (b *Booking) SetFault(f func(Run) Misbehaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

// SetLeaving makes the server report that it is leaving.
func (b *Booking) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

// Reservations returns the reservations made, in order.
func (b *Booking) Reservations() []Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Reservation{}, b.reservations...)
}

// Runs returns the requests that reached the server, in order of arrival.
func (b *Booking) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return copyRuns(b.runs)
}

func (b *Booking) load() LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return LoadReport{Name: b.name, At: b.clock.Now(), Running: b.running, Leaving: b.leaving, Role: "service"}
}

func (b *Booking) begin(run *Run) Misbehaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, run)
	b.running++
	if b.fault == nil {
		return Misbehaviour{}
	}
	return b.fault(*run)
}

func (b *Booking) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *Booking) availability(c echo.Context) error {
	run, _, err := readRun(c, b.clock)
	if err != nil {
		return err
	}
	fault := b.begin(run)
	defer b.end()
	if done := misbehave(c, run, fault); done {
		return nil
	}
	time.Sleep(b.delay)
	return c.JSON(http.StatusOK, map[string]any{"request": run.Request, "available": true})
}

func (b *Booking) reserve(c echo.Context) error {
	run, body, err := readRun(c, b.clock)
	if err != nil {
		return err
	}
	fault := b.begin(run)
	defer b.end()
	if !json.Valid(body) {
		c.Response().Header().Set("X-Request-Id", run.Request)
		return c.JSON(http.StatusBadRequest, map[string]string{"error": "body is not JSON"})
	}
	time.Sleep(b.delay)
	b.mu.Lock()
	reservation := Reservation{
		ID: b.name + "-" + run.Request, Request: run.Request,
		IdempotencyKey: run.IdempotencyKey, Body: run.Body,
	}
	b.reservations = append(b.reservations, reservation)
	b.mu.Unlock()
	if done := misbehave(c, run, fault); done {
		return nil
	}
	return c.JSON(http.StatusCreated, map[string]any{"request": run.Request, "reservation": reservation.ID})
}

// misbehave sets the answer's request id and applies a fault. It reports whether
// nothing more is to be sent.
func misbehave(c echo.Context, run *Run, fault Misbehaviour) bool {
	id := run.Request
	if fault.WrongID {
		id = "crossed-" + id
	}
	c.Response().Header().Set("X-Request-Id", id)
	if fault.DropAfter != 0 {
		_ = drop(c)
		return true
	}
	if fault.Stalled {
		<-c.Request().Context().Done()
		return true
	}
	return false
}
