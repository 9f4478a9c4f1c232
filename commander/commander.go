// Package commander implements the command line.
package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/checker"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/storer"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that arguments, settings or declarations are faulty.
	ExitUsage = 2
	// ExitConflict means that another change came first.
	ExitConflict = 3
	// ExitIncomplete means that the change took effect, but not yet everywhere.
	ExitIncomplete = 4
	// ExitBroken means that a promise was broken.
	ExitBroken = 5
)

var (
	errUsage      = errors.New("usage")
	errRefused    = errors.New("instance refused the question")
	errIncomplete = errors.New("not in force everywhere")
	errBroken     = errors.New("a promise was broken")
)

// runsInstance annotates the commands that run an instance.
var runsInstance = map[string]string{"runs": "instance"}

// Options are what a command line gets from its process.
type Options struct {
	Out, Diagnostics io.Writer
	// Hangups receives SIGHUP. It interrupts commands that have no settings to reload.
	Hangups <-chan os.Signal
}

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, args []string, o Options) int {
	root := newRoot(o.Hangups)
	root.SetArgs(args)
	root.SetOut(o.Out)
	root.SetErr(o.Diagnostics)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(o.Diagnostics, "gypsumwharf: %v\n", err)
	}
	return exitCode(err)
}

// handleSignals lets an instance go on without a reader of its log, and ends the context of
// other commands on SIGHUP. Instances reload their settings then.
func handleSignals(c *cobra.Command, hangups <-chan os.Signal) {
	if c.Annotations["runs"] != "" {
		signal.Ignore(syscall.SIGPIPE)
		return
	}
	ctx, interrupt := context.WithCancel(c.Context())
	c.SetContext(ctx)
	go func() {
		defer interrupt()
		select {
		case <-hangups:
		case <-ctx.Done():
		}
	}()
}

func exitCode(err error) int {
	var faults checker.Faults
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults), errors.Is(err, errUsage), errors.Is(err, declarer.ErrNoFiles):
		return ExitUsage
	case errors.Is(err, storer.ErrConflict):
		return ExitConflict
	case errors.Is(err, errIncomplete):
		return ExitIncomplete
	case errors.Is(err, errBroken):
		return ExitBroken
	default:
		return ExitFailed
	}
}

func newRoot(hangups <-chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:   "gypsumwharf",
		Short: "Serve models and booking services from a limited fleet",
		Long: "Gypsumwharf serves models and booking services from a limited fleet.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 faulty arguments, settings or declarations,\n" +
			"3 another change came first, 4 not yet in force everywhere, 5 a promise was broken.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	asCommandGroup(root)
	root.PersistentPreRunE = func(c *cobra.Command, _ []string) error {
		// An unknown format must fail before the command takes effect.
		_, err := outputFormat(c)
		handleSignals(c, hangups)
		return err
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Wrap(errUsage, err.Error()) })
	root.PersistentFlags().String("output", "text", "form of the output: text or json")
	root.AddCommand(
		newServe(hangups), newEntry(hangups), newCheck(), newPlan(), newApply(), newKey(), newStatus(), newTimeline(), newStandin(), newDemo(), newVersion(),
	)
	return root
}

// oneArgument requires exactly one argument with the given meaning.
func oneArgument(meaning string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != 1 {
			return errors.Wrapf(errUsage, "give one %s, not %d", meaning, len(args))
		}
		return nil
	}
}

// noArguments rejects any positional argument.
func noArguments(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return errors.Wrapf(errUsage, "%q does not take %q", c.CommandPath(), args[0])
	}
	return nil
}

// asCommandGroup makes a command that only groups others show its help and reject
// unknown subcommands.
func asCommandGroup(c *cobra.Command) {
	c.Args = noArguments
	c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
}

// outputFormat returns the value of --output, or an error when it is unknown.
func outputFormat(c *cobra.Command) (string, error) {
	format, err := c.Flags().GetString("output")
	if err == nil && format != "text" && format != "json" {
		err = errors.Wrapf(errUsage, "--output is text or json, not %q", format)
	}
	return format, err
}

// printOutput writes v as JSON when --output json is given, or else as text.
func printOutput(c *cobra.Command, v any, text func(io.Writer)) error {
	format, err := outputFormat(c)
	if err != nil {
		return err
	}
	if format == "text" {
		text(c.OutOrStdout())
		return nil
	}
	encoder := json.NewEncoder(c.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// platformFlag adds the flag that names the platform.
func platformFlag(c *cobra.Command) *string {
	return c.Flags().String("platform", "http://127.0.0.1:21000", "base URL of the platform")
}
