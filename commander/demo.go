package commander

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/demonstrator"
)

func newDemo() *cobra.Command {
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment on loopback under load and faults, and print what became of it",
		Args:  noArguments,
	}
	dir := c.Flags().String("declarations", "examples/tafelgast", "folder of declarations to apply")
	seconds := c.Flags().Int("seconds", 12, "length of the load, in seconds")
	page := c.Flags().String("html", "", "write the time line as one self-contained page to a file")
	c.RunE = func(c *cobra.Command, _ []string) error {
		report, err := demonstrator.Run(c.Context(), demonstrator.Options{Dir: *dir, Seconds: *seconds})
		if err != nil {
			return err
		}
		if *page != "" {
			if err := os.WriteFile(*page, []byte(report.Timeline.HTML()), 0o644); err != nil {
				return errors.Wrap(err, "write page")
			}
		}
		if err := printOutput(c, report, func(w io.Writer) { report.Write(w) }); err != nil {
			return err
		}
		if len(report.Broken) > 0 {
			return errors.Wrapf(errBroken, "%v", report.Broken)
		}
		return nil
	}
	return c
}
