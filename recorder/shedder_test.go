package recorder

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// blockedWriter is a log output whose writes never return.
type blockedWriter struct{ entered chan struct{} }

func (s *blockedWriter) Write([]byte) (int, error) {
	s.entered <- struct{}{}
	select {}
}

// Guards against requests that block because the log is not read.
func TestABlockedReaderDelaysNobody(t *testing.T) {
	s := NewShedder(&blockedWriter{make(chan struct{}, 1)}, 1_000_000)
	go s.Run(t.Context(), func(int64) {})
	log := s.Logger(zapcore.InfoLevel)
	start := time.Now()
	for range 2 * maxQueuedLines {
		log.Info("line")
	}
	assert.Check(t, time.Since(start) < 2*time.Second, "logging took %s", time.Since(start))
	assert.Check(t, s.shed.Load() > 0)
}

// Guards against a log volume that grows with the load, failures that are dropped
// because of many successes, and dropped lines that are not counted.
func TestLinesAreBoundedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := NewShedder(&out, 10)
		ctx, cancel := context.WithCancel(t.Context())
		var shed int64
		var done sync.WaitGroup
		done.Go(func() { s.Run(ctx, func(n int64) { shed += n }) })
		log := s.Logger(zapcore.InfoLevel)
		for range 100 {
			log.Info("success")
			log.Debug("detail")
		}
		for range 5 {
			log.Warn("failure")
		}
		time.Sleep(1500 * time.Millisecond)
		log.Info("success")
		cancel()
		done.Wait()
		assert.Equal(t, strings.Count(out.String(), "success"), 11)
		assert.Equal(t, strings.Count(out.String(), "failure"), 5)
		assert.Equal(t, shed, int64(90))
		assert.Equal(t, s.Shed(), int64(90))
	})
}

// Guards against lines of a disabled level that are logged or count towards the limit.
func TestLevelsBelowTheLeastCostNothing(t *testing.T) {
	s := NewShedder(io.Discard, 1)
	s.Logger(zapcore.WarnLevel).Info("line")
	assert.Equal(t, len(s.lines), 0)
	assert.Equal(t, s.infoLines.Load(), int64(0))
}

// failingWriter is a log output whose first write fails.
type failingWriter struct {
	bytes.Buffer
	failed bool
}

func (w *failingWriter) Write(p []byte) (int, error) {
	if !w.failed {
		w.failed = true
		return 0, io.ErrShortWrite
	}
	return w.Buffer.Write(p)
}

// Guards against a log that stays empty for good after one failed write.
func TestLoggingOutlivesAFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &failingWriter{}
		s := NewShedder(out, 100)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx, func(int64) {}) }()
		log := s.Logger(zapcore.InfoLevel)
		log.Info("lost")
		synctest.Wait()
		log.Info("written")
		synctest.Wait()
		cancel()
		<-done
		assert.Check(t, strings.Contains(out.String(), "written"), "%q", out.String())
	})
}
