package commander

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/renderer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func newTimeline() *cobra.Command {
	c := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all instances in causal order",
		Long: "Gathers the events of all reachable instances, merges them in causal order and\n" +
			"says which instances or spans are missing.",
		Args: noArguments,
	}
	flags := newInstanceFlags(c)
	var filter renderer.Filter
	c.Flags().StringVar(&filter.Workspace, "workspace", "", "only events of a workspace")
	c.Flags().StringVar(&filter.Target, "target", "", "only events of a target")
	c.Flags().StringVar(&filter.Request, "request", "", "only events of a request id")
	c.Flags().StringVar(&filter.Order, "order", "", "only events of an order id")
	since := c.Flags().Duration("since", 0, "only events of the last span of time, such as 5m")
	page := c.Flags().String("html", "", "write one self-contained page to a file")
	c.RunE = func(c *cobra.Command, _ []string) error {
		addresses, err := operatorAddresses(c.Context(), *flags.instances, *flags.platform)
		if err != nil {
			return err
		}
		if *since > 0 {
			filter.From = timekeeper.FromTime(time.Now().Add(-*since))
		}
		merged := renderer.Merge(instanceTimelines(queryAll[recorder.Timeline](c.Context(), addresses, "/timeline", *flags.token)))
		merged = merged.Filtered(filter)
		if *page != "" {
			return errors.Wrap(os.WriteFile(*page, []byte(merged.HTML()), 0o644), "write page")
		}
		return printOutput(c, merged, func(w io.Writer) { merged.Text(w) })
	}
	return c
}

func instanceTimelines(answers []instanceAnswer[recorder.Timeline]) []renderer.InstanceTimeline {
	timelines := make([]renderer.InstanceTimeline, 0, len(answers))
	for _, a := range answers {
		timeline := renderer.InstanceTimeline{Address: a.Address, Error: a.Error}
		if a.Answer != nil {
			timeline.Timeline = *a.Answer
		}
		timelines = append(timelines, timeline)
	}
	return timelines
}
