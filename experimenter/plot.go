package experimenter

import (
	"fmt"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/gypsumwharf/gypsumwharf/emulator"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// drawPlots writes a plot for each site and pattern: the credit of each second, with
// one line for each policy.
func drawPlots(prefix string, results []emulator.Result) error {
	pictures := map[string]*plot.Plot{}
	lines := map[string]int{}
	for _, g := range groupResults(results) {
		name := fmt.Sprintf("%s-%s-%s.png", prefix, g[0].Site, g[0].Pattern)
		picture := pictures[name]
		if picture == nil {
			picture = plot.New()
			picture.Title.Text = g[0].Site + ", " + g[0].Pattern
			picture.X.Label.Text, picture.Y.Label.Text = "second", "credit earned of credit owed"
			picture.Y.Min, picture.Y.Max = 0, 1
			pictures[name] = picture
		}
		line, err := plotter.NewLine(meanCredit(g))
		if err != nil {
			return errors.Wrap(err, "add a line to a plot")
		}
		line.Color = plotutil.Color(lines[name])
		lines[name]++
		picture.Add(line)
		picture.Legend.Add(string(g[0].Policy), line)
	}
	return savePlots(pictures)
}

// savePlots writes plots by file name.
func savePlots(pictures map[string]*plot.Plot) error {
	for name, picture := range pictures {
		if err := picture.Save(plotWidth, plotHeight, name); err != nil {
			return errors.Wrapf(err, "write %s", name)
		}
	}
	return nil
}

// meanCredit returns the mean credit of each second over the seeds.
func meanCredit(g []emulator.Result) plotter.XYs {
	points := make(plotter.XYs, len(g[0].Seconds)-1)
	for i := range points {
		points[i].X = float64(i)
		for _, r := range g {
			points[i].Y += r.Credit(i, i+1) / float64(len(g))
		}
	}
	return points
}
