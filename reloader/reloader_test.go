package reloader_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/reloader"
)

// settings is a settings file's contents.
type settings struct {
	level string
	peers []string
}

// Guards against changed settings that are not noticed, against invalid ones that replace
// those in force, and against a log that repeats one fault of the file without end.
func TestReload(t *testing.T) {
	invalid := errors.New("unknown field")
	for name, c := range map[string]struct {
		next     settings
		err      error
		hangups  int
		level    zap.AtomicLevel
		recorded int
	}{
		"unchanged":           {settings{"info", []string{"a"}}, nil, 0, zap.NewAtomicLevelAt(zap.InfoLevel), 0},
		"unchanged, hangups":  {settings{"info", []string{"a"}}, nil, 2, zap.NewAtomicLevelAt(zap.InfoLevel), 2},
		"changed":             {settings{"warn", []string{"a"}}, nil, 0, zap.NewAtomicLevelAt(zap.WarnLevel), 1},
		"changed, hangups":    {settings{"warn", []string{"b"}}, nil, 2, zap.NewAtomicLevelAt(zap.WarnLevel), 2},
		"invalid":             {settings{}, invalid, 0, zap.NewAtomicLevelAt(zap.InfoLevel), 1},
		"invalid, hangups":    {settings{}, invalid, 2, zap.NewAtomicLevelAt(zap.InfoLevel), 2},
		"level that is wrong": {settings{"loud", nil}, nil, 0, zap.NewAtomicLevelAt(zap.InfoLevel), 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				recorded := 0
				level := zap.NewAtomicLevelAt(zap.InfoLevel)
				hangups := make(chan os.Signal, 1)
				r := reloader.Reloader[settings]{
					Load: func() (settings, error) { return c.next, c.err }, LogLevel: func(s settings) string { return s.level },
					Level: level, Record: func(recorder.Event) { recorded++ },
				}
				go r.Run(ctx, settings{"info", []string{"a"}}, hangups)
				for range c.hangups {
					hangups <- syscall.SIGHUP
					time.Sleep(time.Second)
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				assert.Equal(t, level.Level(), c.level.Level())
				assert.Equal(t, recorded, c.recorded)
			})
		})
	}
}
