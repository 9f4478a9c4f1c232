// Package experimenter runs an experiment file on the emulator and shows the results:
// a table of all policies, and a plot of the credit over time.
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
	ExitUsage  = 2 // The arguments or the experiment file are invalid.
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
		Args:          oneFile,
	}
	c.AddCommand(newOrdersCommand())
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Wrap(errUsage, err.Error()) })
	plotPrefix := c.Flags().String("plot", "", "write plots of the credit over time, one for each site and pattern, to PNG files with this path prefix")
	quiet := c.Flags().Bool("quiet", false, "show no progress")
	c.RunE = func(c *cobra.Command, args []string) error {
		e, err := load(args[0], emulator.Parse)
		if err != nil {
			return err
		}
		progress := io.Discard
		if !*quiet {
			progress = c.ErrOrStderr()
		}
		results, err := runAll(c.Context(), e, progress)
		if err != nil {
			return err
		}
		if err := writeTable(c.OutOrStdout(), results); err != nil {
			return errors.Wrap(err, "write the table")
		}
		if *plotPrefix == "" {
			return nil
		}
		return drawPlots(*plotPrefix, results)
	}
	return c
}

func oneFile(_ *cobra.Command, args []string) error {
	if len(args) != 1 {
		return errors.Wrapf(errUsage, "expected one experiment file, got %d", len(args))
	}
	return nil
}

// load reads and parses an experiment file.
func load[E any](path string, parse func([]byte) (E, error)) (E, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none E
		return none, errors.Wrap(errUsage, err.Error())
	}
	e, err := parse(data)
	return e, errors.WithMessage(err, path)
}

// runAll runs an experiment for all its sites, patterns, policies and seeds, or stops
// early when the context ends.
func runAll(ctx context.Context, e emulator.Experiment, progress io.Writer) ([]emulator.Result, error) {
	bar := progressbar.NewOptions(len(e.Sites)*len(e.Patterns)*len(e.Policies)*e.Seeds,
		progressbar.OptionSetWriter(progress), progressbar.OptionSetDescription("playing"), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	var results []emulator.Result
	for _, s := range e.Sites {
		for _, p := range e.Patterns {
			for _, policy := range e.Policies {
				for seed := range e.Seeds {
					if err := ctx.Err(); err != nil {
						return nil, errors.Wrap(err, "experiment interrupted")
					}
					results = append(results, emulator.Run(s, p, policy, uint64(seed)+1))
					_ = bar.Add(1) // A progress bar that cannot be shown doesn't stop the experiment.
				}
			}
		}
	}
	return results, nil
}

// writeTable writes one line for each site, pattern and policy: counts summed and
// credits averaged over the seeds.
func writeTable(w io.Writer, results []emulator.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "site\tpattern\tpolicy\tasked\tin time\tlate\trefused\tcredit\tworst second\tread again\t")
	for _, g := range groupResults(results) {
		n := float64(len(g))
		var requests, inTime, late, refused, recomputed int
		var credit, worst float64
		for _, r := range g {
			requests, inTime, late, refused, recomputed = requests+r.Requests, inTime+r.InTime, late+r.Late, refused+r.Refused, recomputed+r.RecomputedTokens
			credit, worst = credit+r.Overall()/n, worst+r.Worst(1)/n
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%d\t\n", g[0].Site, g[0].Pattern, g[0].Policy, requests, inTime, late, refused, credit, worst, recomputed)
	}
	return table.Flush()
}

// groupResults groups the results by site, pattern and policy and keeps their order.
func groupResults(results []emulator.Result) [][]emulator.Result {
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
