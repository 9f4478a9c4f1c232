package recorder

import (
	"bufio"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// maxQueuedLines is how many lines are queued for a slow reader; a line has about 400 bytes.
	maxQueuedLines = 2048
	// limitInterval is the interval over which lines are limited and dropped lines are counted.
	limitInterval = timekeeper.Second
	// writeBufferBytes is the size of the buffer that combines lines into one write.
	writeBufferBytes = 16 << 10
)

// Shedder writes log lines from one goroutine and never blocks the goroutines that
// log. Above its limit of lines per second, and when the reader is too slow, it
// drops lines and counts them. Warnings and errors have a limit of their own, so
// that they are not dropped because of lines of lower levels.
type Shedder struct {
	limit int64
	lines chan []byte
	out   io.Writer

	infoLines    atomic.Int64 // Lines of levels debug and info in this interval.
	warningLines atomic.Int64 // Lines of higher levels in this interval.
	shed         atomic.Int64
	shedTotal    atomic.Int64
}

// NewShedder returns a shedder with a limit of lines per second, which applies
// separately to warnings and errors and to lower levels.
func NewShedder(out io.Writer, limit int) *Shedder {
	return &Shedder{limit: int64(limit), lines: make(chan []byte, maxQueuedLines), out: out}
}

// Shed returns how many lines were dropped since the start.
func (s *Shedder) Shed() int64 { return s.shedTotal.Load() }

// Logger returns a logger that writes JSON lines through the shedder.
func (s *Shedder) Logger(level zapcore.LevelEnabler) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), s, level)
	return zap.New(&sheddingCore{core, s})
}

// Write implements zapcore.WriteSyncer; it queues a copy of the line.
func (s *Shedder) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.shed.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Shedder) Sync() error { return nil }

// allow counts a line of a level and reports whether it is within the limit.
func (s *Shedder) allow(level zapcore.Level) bool {
	used := &s.infoLines
	if level >= zapcore.WarnLevel {
		used = &s.warningLines
	}
	if used.Add(1) <= s.limit {
		return true
	}
	s.shed.Add(1)
	return false
}

// Run writes lines until the context ends, then the lines still queued. After each
// interval in which lines were dropped it calls report with their number.
func (s *Shedder) Run(ctx context.Context, report func(shed int64)) {
	w := bufio.NewWriterSize(s.out, writeBufferBytes)
	var reporting sync.WaitGroup
	reporting.Go(func() { s.reportShed(ctx, report) })
	for {
		select {
		case line := <-s.lines:
			s.flush(w, line)
		case <-ctx.Done():
			reporting.Wait()
			for len(s.lines) > 0 {
				s.flush(w, <-s.lines)
			}
			return
		}
	}
}

// flush writes a line and all that are queued behind it. Write errors are ignored:
// there is no other place to log them.
func (s *Shedder) flush(w *bufio.Writer, line []byte) {
	_, _ = w.Write(line)
	for n := len(s.lines); n > 0; n-- {
		_, _ = w.Write(<-s.lines)
	}
	if w.Flush() != nil {
		w.Reset(s.out) // Otherwise it would return the same error for all later lines.
	}
}

func (s *Shedder) reportShed(ctx context.Context, report func(int64)) {
	ticker := time.NewTicker(limitInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.infoLines.Store(0)
		s.warningLines.Store(0)
		if n := s.shed.Swap(0); n > 0 {
			s.shedTotal.Add(n)
			report(n)
		}
	}
}

// sheddingCore applies the limit before a line is encoded.
type sheddingCore struct {
	zapcore.Core
	shedder *Shedder
}

// With implements zapcore.Core.
func (c *sheddingCore) With(fields []zapcore.Field) zapcore.Core {
	return &sheddingCore{c.Core.With(fields), c.shedder}
}

// Check implements zapcore.Core.
func (c *sheddingCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) || !c.shedder.allow(e.Level) {
		return checked
	}
	return checked.AddCore(e, c.Core)
}
