package main

import (
	"context"
	_ "embed" // for the page's template
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"junctionwharf/internal/capacity"
)

// Ranges of the plots. axisMin, axisMax, curveStart and curveEnd are numbers of brokers.
const (
	axisMin      = 50
	axisMax      = 1000
	curveStart   = 60   // below the smallest measured fleet
	curveEnd     = 930  // the planned size
	curveStep    = 1.1  // factor between two points of a curve
	smallestPlot = 1e-6 // minimum of a plotted value, since a logarithmic axis has no 0
)

//go:embed capacity.html.tmpl
var capacityPageText string

var capacityPage = template.Must(
	template.New("capacity").Funcs(template.FuncMap{"name": curveName}).Parse(capacityPageText))

// capacityReport is the data of the page.
type capacityReport struct {
	Charts  []capacityChart
	Missing []string // cells of the grid without a run
}

// capacityChart is a measure and its plot.
type capacityChart struct {
	capacity.Chart
	Plot string // name of the plot file
}

func curveName(c capacity.Curve) string {
	if c.SeparateControl {
		return c.Role + ", control set aside"
	}
	return c.Role
}

// reportCapacity writes the page and the plots of the raw runs.
func reportCapacity(_ context.Context, cmd *cli.Command) error {
	runs, missing, err := capacity.Load(cmd.String("raw"))
	if err != nil {
		return err
	}
	page := cmd.String("to")
	report := capacityReport{Missing: missing}
	for i, c := range capacity.Charts(runs) {
		chart := capacityChart{Chart: c, Plot: fmt.Sprintf("capacity-%d.svg", i)}
		if err := chart.draw(filepath.Join(filepath.Dir(page), chart.Plot)); err != nil {
			return fmt.Errorf("%s: %w", c.Measure, err)
		}
		report.Charts = append(report.Charts, chart)
	}
	if len(report.Charts) == 0 {
		return fmt.Errorf("%s: no runs found", cmd.String("raw"))
	}
	file, err := os.Create(page)
	if err != nil {
		return err
	}
	return errors.Join(capacityPage.Execute(file, report), file.Close())
}

// draw plots a measure over the number of brokers. Both axes are logarithmic, because roles differ by a factor of 100.
func (c *capacityChart) draw(path string) error {
	chart := plot.New()
	chart.X.Label.Text = "brokers"
	chart.Y.Label.Text = c.Measure
	for _, axis := range []*plot.Axis{&chart.X, &chart.Y} {
		axis.Scale = plot.LogScale{}
		axis.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for i, curve := range c.Curves {
		if err := addCurve(chart, curve, i); err != nil {
			return err
		}
	}
	budget, err := plotter.NewLine(plotter.XYs{{X: axisMin, Y: c.Budget}, {X: axisMax, Y: c.Budget}})
	if err != nil {
		return err
	}
	budget.Dashes = plotutil.Dashes(1)
	chart.Add(budget)
	chart.Legend.Add("budget", budget)
	chart.Legend.Top = true
	chart.Legend.Left = true
	chart.X.Min = axisMin
	chart.X.Max = axisMax
	return chart.Save(20*vg.Centimeter, 11*vg.Centimeter, path)
}

// addCurve adds the runs of a role as dots and the fitted law as a line.
func addCurve(chart *plot.Plot, curve capacity.Curve, index int) error {
	var dots plotter.XYs
	for i := range curve.X {
		dots = append(dots, plotter.XY{X: curve.X[i], Y: math.Max(curve.Y[i], smallestPlot)})
	}
	scatter, err := plotter.NewScatter(dots)
	if err != nil {
		return err
	}
	scatter.Color = plotutil.Color(index)
	scatter.Shape = plotutil.Shape(index)
	chart.Add(scatter)
	chart.Legend.Add(curveName(curve), scatter)
	return addFit(chart, curve, scatter.Color)
}

// addFit adds the line of a curve's fitted law, if there is one.
func addFit(chart *plot.Plot, curve capacity.Curve, color color.Color) error {
	var points plotter.XYs
	for x := float64(curveStart); curve.Fit.Law != "" && x <= curveEnd; x *= curveStep {
		if y := curve.Fit.At(x); y > 0 {
			points = append(points, plotter.XY{X: x, Y: y})
		}
	}
	if len(points) < 2 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = color
	chart.Add(line)
	return nil
}
