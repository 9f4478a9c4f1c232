// Package reloader reloads the settings file of a running process.
package reloader

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/recorder"
)

// pollInterval is the time between checks of the settings file for changes.
const pollInterval = 5 * time.Second

// Reloader puts the settings of a file into force while the process runs.
type Reloader[S any] struct {
	// Load reads and checks the file.
	Load func() (S, error)
	// LogLevel returns the log level of settings. Level is set to it; other settings take
	// effect after a restart.
	LogLevel func(S) string
	Level    zap.AtomicLevel
	Record   func(recorder.Event)
}

// Run reloads the file on SIGHUP and when its contents have changed, until the context
// ends. Settings that are missing or invalid leave those in force.
func (r Reloader[S]) Run(ctx context.Context, current S, hangups <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastFailure := ""
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			requested = true
		case <-ticker.C:
		}
		next, err := r.Load()
		if err != nil {
			if requested || err.Error() != lastFailure {
				r.record("invalid settings: " + err.Error())
			}
			lastFailure = err.Error()
			continue
		}
		lastFailure = ""
		if reflect.DeepEqual(next, current) {
			if requested {
				r.record("no change")
			}
			continue
		}
		current = next
		if err := r.Level.UnmarshalText([]byte(r.LogLevel(next))); err != nil {
			r.record("invalid settings: " + err.Error())
			continue
		}
		r.record("log level applied; other settings take effect after a restart")
	}
}

func (r Reloader[S]) record(cause string) {
	r.Record(recorder.Event{Code: recorder.SettingsReloaded, Cause: cause})
}
