package experimenter

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/gypsumwharf/gypsumwharf/emulator"
)

func newOrdersCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "orders FILE",
		Short: "Compare what engines cost and serve with the product's orders, without orders and with perfect ones",
		Args:  oneFile,
	}
	plotPrefix := c.Flags().String("plot", "", "write plots of spend against service, one for each fleet, to PNG files with this path prefix")
	c.RunE = func(c *cobra.Command, args []string) error {
		e, err := load(args[0], emulator.ParseOrders)
		if err != nil {
			return err
		}
		totals, err := runOrders(c.Context(), e)
		if err != nil {
			return err
		}
		if err := writeOrderTable(c.OutOrStdout(), totals); err != nil {
			return errors.Wrap(err, "write the table")
		}
		if *plotPrefix == "" {
			return nil
		}
		return drawOrders(*plotPrefix, totals)
	}
	return c
}

// orderTotal is the mean outcome of a policy over the seeds.
type orderTotal struct {
	fleet  string
	policy emulator.OrderPolicy
	spend  float64 // Of a second.
	served float64 // Share of the work.
	worst  float64 // Share of the work in the worst second.
}

// runOrders runs an experiment for all its fleets, policies and seeds, or stops early when
// the context ends.
func runOrders(ctx context.Context, e emulator.OrderExperiment) ([]orderTotal, error) {
	policies := []emulator.OrderPolicy{emulator.OrderNothing{}}
	for _, h := range e.Headrooms {
		policies = append(policies, emulator.OrderByProduct{Headroom: h})
	}
	for _, h := range e.Limits {
		policies = append(policies, emulator.OrderByDemand{Headroom: h})
	}
	policies = append(policies, emulator.OrderClairvoyant{})
	var totals []orderTotal
	for _, f := range e.Fleets {
		for _, p := range policies {
			t := orderTotal{fleet: f.Name, policy: p}
			for seed := range e.Seeds {
				if err := ctx.Err(); err != nil {
					return nil, errors.Wrap(err, "experiment interrupted")
				}
				r := emulator.RunOrders(f, p, uint64(seed)+1)
				n := float64(e.Seeds)
				t.spend, t.served, t.worst = t.spend+r.Spend/f.Seconds/n, t.served+r.ServedShare()/n, t.worst+r.WorstSecond()/n
			}
			totals = append(totals, t)
		}
	}
	return totals, nil
}

func writeOrderTable(w io.Writer, totals []orderTotal) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "fleet\torders\tspend a second\tserved\tworst second\t")
	for _, t := range totals {
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%.3f\t%.3f\t\n", t.fleet, t.policy, t.spend, t.served, t.worst)
	}
	return table.Flush()
}

// drawOrders writes a plot for each fleet: the spend and the served share of each policy.
func drawOrders(prefix string, totals []orderTotal) error {
	pictures := map[string]*plot.Plot{}
	points := map[string]int{}
	for _, t := range totals {
		name := fmt.Sprintf("%s-%s.png", prefix, t.fleet)
		picture := pictures[name]
		if picture == nil {
			picture = plot.New()
			picture.Title.Text = t.fleet
			picture.X.Label.Text, picture.Y.Label.Text = "spend a second", "served share of the work"
			pictures[name] = picture
		}
		point, err := plotter.NewScatter(plotter.XYs{{X: t.spend, Y: t.served}})
		if err != nil {
			return errors.Wrap(err, "add a point to a plot")
		}
		point.Color, point.Shape = plotutil.Color(points[name]), plotutil.Shape(points[name])
		points[name]++
		picture.Add(point)
		picture.Legend.Add(t.policy.String(), point)
	}
	return savePlots(pictures)
}
