package commander

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/distributor"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// progressInterval is the polling interval while apply waits for the instances.
const progressInterval = 200 * time.Millisecond

type applyOutput struct {
	Generation int64             `json:"generation"`
	ApplyID    string            `json:"apply-id"`
	Changes    []declarer.Change `json:"changes"`
	Behind     []string          `json:"behind"`
}

// applyFlags are the flags of the apply command.
type applyFlags struct {
	instanceFlags
	base    *int64
	applyID *string
	wait    *time.Duration
}

func newApply() *cobra.Command {
	c := &cobra.Command{
		Use:   "apply DIR",
		Short: "Put a folder of declarations in force and wait until every live instance has it",
		Args:  oneArgument("folder of declarations"),
	}
	flags := applyFlags{
		instanceFlags: newInstanceFlags(c),
		base:          c.Flags().Int64("base", -1, "generation that the plan was made for; another one in force is a conflict"),
		applyID:       c.Flags().String("apply-id", "", "id of an apply whose outcome is unknown, to find out or finish it"),
		wait:          c.Flags().Duration("wait", 30*time.Second, "longest wait for the instances"),
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		d, err := declarer.LoadDir(args[0])
		if err != nil {
			return err
		}
		out, err := flags.apply(c.Context(), d)
		if out.Generation == 0 {
			return err
		}
		if printErr := printOutput(c, out, func(w io.Writer) { writeApply(w, out) }); printErr != nil {
			return printErr
		}
		return err
	}
	return c
}

func writeApply(w io.Writer, out applyOutput) {
	fmt.Fprintf(w, "generation %d accepted, %d changes\n", out.Generation, len(out.Changes))
	if len(out.Behind) > 0 {
		fmt.Fprintf(w, "not yet in force at: %s\n", strings.Join(out.Behind, ", "))
	}
}

// apply publishes the declarations and waits until every live instance has them in force.
func (f applyFlags) apply(ctx context.Context, d declarer.Declaration) (applyOutput, error) {
	client := storer.NewClient(*f.platform)
	defer client.Close()
	current, err := assembler.ReadConfiguration(ctx, client)
	if err != nil {
		return applyOutput{}, err
	}
	out := applyOutput{Generation: current.Generation, ApplyID: *f.applyID, Changes: declarer.Diff(current.Declaration, d), Behind: []string{}}
	if out.ApplyID == "" {
		out.ApplyID = rand.Text()
	}
	if len(out.Changes) > 0 || current.Generation == 0 {
		p := distributor.Publication{
			Declaration: d, Author: author(), ApplyID: out.ApplyID, Summary: summary(out.Changes), Base: current.Generation,
			HighestReported: f.highestGeneration(ctx),
		}
		if *f.base >= 0 {
			p.Base = *f.base
		}
		change, err := distributor.Publish(ctx, client, timekeeper.System(), p)
		if err != nil {
			return applyOutput{}, errors.Wrapf(err, "apply %s", out.ApplyID)
		}
		out.Generation = change.Generation
	}
	out.Behind = f.awaitGeneration(ctx, out.Generation)
	if len(out.Behind) > 0 {
		return out, errors.Wrapf(errIncomplete, "generation %d, waited %s", out.Generation, *f.wait)
	}
	return out, nil
}

// summary describes the changes. An operator whose own apply conflicts with them sees it.
func summary(changes []declarer.Change) string {
	if len(changes) == 1 {
		return changes[0].Action + " " + changes[0].Kind + " " + changes[0].Name
	}
	return fmt.Sprintf("%d changes", len(changes))
}

// pollInstances returns the live instances and the generation that each answering
// instance has in force. Live are those that answer, reject the request, or are a
// peer of one that answers. When there are none, all count as live.
func (f applyFlags) pollInstances(ctx context.Context) (live []string, generations map[string]int64) {
	generations = map[string]int64{}
	addresses, err := operatorAddresses(ctx, *f.instances, *f.platform)
	if err != nil {
		return nil, generations
	}
	var known []string
	for _, a := range queryAll[assembler.Status](ctx, addresses, "/status", *f.token) {
		switch {
		case a.Answer != nil:
			generations[a.Answer.Instance] = a.Answer.Generation
			known = append(append(known, a.Answer.Instance), a.Answer.Peers...)
		case a.Refused:
			known = append(known, a.Address)
		}
	}
	if len(known) == 0 {
		known = addresses
	}
	slices.Sort(known)
	return slices.Compact(known), generations
}

// highestGeneration returns the highest generation that an instance has in force.
func (f applyFlags) highestGeneration(ctx context.Context) int64 {
	var highest int64
	_, generations := f.pollInstances(ctx)
	for _, g := range generations {
		highest = max(highest, g)
	}
	return highest
}

// awaitGeneration polls until every live instance has the generation or the wait
// is over, and returns the instances that lack it.
func (f applyFlags) awaitGeneration(ctx context.Context, generation int64) []string {
	deadline := time.Now().Add(*f.wait)
	for {
		live, generations := f.pollInstances(ctx)
		behind := distributor.LaggingInstances(generation, live, generations)
		if len(behind) == 0 {
			return []string{}
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return behind
		}
		time.Sleep(progressInterval)
	}
}
