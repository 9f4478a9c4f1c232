// Package experimenter runs an experiment file on the emulator and shows what came of
// it: a table of all policies, and a plot of the credit over time.
package experimenter

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/emulator"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1 // The experiment could not be run or written.
	ExitUsage  = 2 // Arguments or the experiment file are faulty.
)

var errUsage = errors.New("usage")

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, args []string, out, diagnostics io.Writer) int {
	c := newCommand()
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(diagnostics)
	err := c.ExecuteContext(ctx)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage), errors.Is(err, emulator.ErrMalformed):
		fmt.Fprintf(diagnostics, "gypsumwharf-experiment: %v\n", err)
		return ExitUsage
	default:
		fmt.Fprintf(diagnostics, "gypsumwharf-experiment: %v\n", err)
		return ExitFailed
	}
}

func newCommand() *cobra.Command {
	c := &cobra.Command{
		Use:           "gypsumwharf-experiment FILE",
		Short:         "Play loads on emulated engines with the product's decisions and with baselines",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 1 {
				return errors.Wrapf(errUsage, "give one experiment file, not %d", len(args))
			}
			return nil
		},
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Wrap(errUsage, err.Error()) })
	image := c.Flags().String("plot", "", "draw the credit over time of each site and pattern into PNG files whose names begin so")
	quiet := c.Flags().Bool("quiet", false, "show no progress")
	c.RunE = func(c *cobra.Command, args []string) error {
		data, err := os.ReadFile(args[0])
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		e, err := emulator.Parse(data)
		if err != nil {
			return errors.WithMessage(err, args[0])
		}
		progress := io.Discard
		if !*quiet {
			progress = c.ErrOrStderr()
		}
		results, err := play(c.Context(), e, progress)
		if err != nil {
			return err
		}
		if err := write(c.OutOrStdout(), results); err != nil {
			return errors.Wrap(err, "write the table")
		}
		if *image == "" {
			return nil
		}
		return draw(*image, results)
	}
	return c
}

// play plays all runs of an experiment, or ends early with the context.
func play(ctx context.Context, e emulator.Experiment, progress io.Writer) ([]emulator.Result, error) {
	bar := progressbar.NewOptions(len(e.Sites)*len(e.Patterns)*len(e.Policies)*e.Seeds,
		progressbar.OptionSetWriter(progress), progressbar.OptionSetDescription("playing"), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	var results []emulator.Result
	for _, s := range e.Sites {
		for _, p := range e.Patterns {
			for _, policy := range e.Policies {
				for seed := range e.Seeds {
					if err := ctx.Err(); err != nil {
						return nil, errors.Wrap(err, "experiment ended early")
					}
					results = append(results, emulator.Play(s, p, policy, uint64(seed)+1))
					_ = bar.Add(1) // A progress bar that cannot be shown stops nothing.
				}
			}
		}
	}
	return results, nil
}

// write writes one line for each site, pattern and policy: means over the seeds.
func write(w io.Writer, results []emulator.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "site\tpattern\tpolicy\tasked\tin time\tlate\trefused\tcredit\tworst second\tread again\t")
	for _, g := range groups(results) {
		n := float64(len(g))
		var asked, inTime, late, refused, again int
		var credit, worst float64
		for _, r := range g {
			asked, inTime, late, refused, again = asked+r.Asked, inTime+r.InTime, late+r.Late, refused+r.Refused, again+r.ReadAgain
			credit, worst = credit+r.Whole()/n, worst+r.Worst(1)/n
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%d\t\n", g[0].Site, g[0].Pattern, g[0].Policy, asked, inTime, late, refused, credit, worst, again)
	}
	return table.Flush()
}

// groups returns the results with the same site, pattern and policy together, in
// their order.
func groups(results []emulator.Result) [][]emulator.Result {
	type key struct {
		site, pattern string
		policy        emulator.Policy
	}
	index := map[key]int{}
	var list [][]emulator.Result
	for _, r := range results {
		k := key{r.Site, r.Pattern, r.Policy}
		i, ok := index[k]
		if !ok {
			i = len(list)
			index[k] = i
			list = append(list, nil)
		}
		list[i] = append(list[i], r)
	}
	return list
}
