package commander

import (
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/platform"
)

func newEntry(hangups <-chan os.Signal) *cobra.Command {
	c := &cobra.Command{
		Annotations: runsInstance,
		Use:         "entry --settings FILE",
		Short:       "Run one entry instance on a prepared platform until it is told to stop",
		Args:        noArguments,
	}
	path := c.Flags().String("settings", os.Getenv(platform.SettingsVariable), "file with the instance's settings, JSON with comments")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *path == "" {
			return errors.Wrap(errUsage, "--settings is missing")
		}
		return platform.Run(c.Context(), *path, hangups)
	}
	return c
}
