package commander

import (
	"context"
	"expvar"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/configurer"
	"github.com/gypsumwharf/gypsumwharf/reloader"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func newServe(hangups <-chan os.Signal) *cobra.Command {
	c := &cobra.Command{
		Annotations: runsInstance,
		Use:         "serve --settings FILE",
		Short:       "Run one entry instance until it is told to stop",
		Args:        noArguments,
	}
	path := c.Flags().String("settings", "", "file with the instance's settings, JSON with comments")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *path == "" {
			return errors.Wrap(errUsage, "--settings is missing")
		}
		settings, err := configurer.Load(*path)
		if err != nil {
			return err
		}
		log, level, err := newLog(settings)
		if err != nil {
			return err
		}
		defer func() { _ = log.Sync() }()
		if os.Getenv("GOGC") == "" {
			debug.SetGCPercent(gcPercent)
		}
		instance, err := assembler.New(settings, assembler.Options{Clock: timekeeper.System(), Log: log})
		if err != nil {
			return err
		}
		// expvar panics when a name is published twice, so the command publishes it and
		// not the instance, of which a process may run several.
		expvar.Publish("gypsumwharf", instance.Metrics())
		reloading, stopReloading := context.WithCancel(context.WithoutCancel(c.Context()))
		defer stopReloading()
		settingsReloader := reloader.Reloader[configurer.Settings]{
			Load:     func() (configurer.Settings, error) { return configurer.Load(*path) },
			LogLevel: func(s configurer.Settings) string { return string(s.LogLevel) },
			Level:    level, Record: instance.Record,
		}
		go settingsReloader.Run(reloading, settings, hangups)
		return instance.Run(c.Context())
	}
	return c
}

// gcPercent bounds the garbage beside what is in use. Large bodies are most of it, and the
// settings bound only those in use.
const gcPercent = 40

// newLog returns the log of an instance, and the level that can be changed while it is used.
func newLog(s configurer.Settings) (*zap.Logger, zap.AtomicLevel, error) {
	level, err := zap.ParseAtomicLevel(string(s.LogLevel))
	if err != nil {
		return nil, level, errors.Wrap(err, "log-level")
	}
	configuration := zap.NewProductionConfig()
	configuration.Level = level
	configuration.DisableCaller = true
	configuration.Sampling = nil
	log, err := configuration.Build()
	return log, level, errors.Wrap(err, "open log")
}
