package commander

import (
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/assembler"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/storer"
)

type checkOutput struct {
	DataCentres int `json:"data-centres"`
	Routes      int `json:"routes"`
	Targets     int `json:"targets"`
	Workspaces  int `json:"workspaces"`
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Check a folder of declarations and list all faults",
		Args:  oneArgument("folder of declarations"),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := declarer.LoadDir(args[0])
			if err != nil {
				return err
			}
			out := checkOutput{len(d.DataCentres), len(d.Routes), len(d.Targets), len(d.Workspaces)}
			return printOutput(c, out, func(w io.Writer) {
				fmt.Fprintf(w, "no faults: %d data centres, %d routes, %d targets, %d workspaces\n",
					out.DataCentres, out.Routes, out.Targets, out.Workspaces)
			})
		},
	}
}

type planOutput struct {
	Generation int64             `json:"generation"`
	Changes    []declarer.Change `json:"changes"`
}

func newPlan() *cobra.Command {
	c := &cobra.Command{
		Use:   "plan DIR",
		Short: "Show the difference between a folder of declarations and what is in force",
		Args:  oneArgument("folder of declarations"),
	}
	platform := platformFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		d, err := declarer.LoadDir(args[0])
		if err != nil {
			return err
		}
		client := storer.NewClient(*platform)
		defer client.Close()
		current, err := assembler.ReadConfiguration(c.Context(), client)
		if err != nil {
			return err
		}
		out := planOutput{Generation: current.Generation, Changes: declarer.Diff(current.Declaration, d)}
		return printOutput(c, out, func(w io.Writer) { writePlan(w, out) })
	}
	return c
}

func writePlan(w io.Writer, p planOutput) {
	if len(p.Changes) == 0 {
		fmt.Fprintf(w, "no changes to generation %d\n", p.Generation)
		return
	}
	fmt.Fprintf(w, "%d changes to generation %d:\n", len(p.Changes), p.Generation)
	for _, change := range p.Changes {
		fmt.Fprintf(w, "  %s\n", change)
	}
}

// author returns the operator's name for the record of a change.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return fmt.Sprintf("uid-%d", os.Getuid())
}
