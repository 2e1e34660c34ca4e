package main

import (
	"context"
	"errors"
	"fmt"
	"html/template"
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

var capacityPage = template.Must(template.New("capacity").Funcs(template.FuncMap{"name": curveName}).Parse(`<!doctype html><meta charset="utf-8"><title>What control costs</title>
<style>body{font:15px sans-serif;max-width:70em;margin:2em auto}td,th{padding:.2em .7em;text-align:right}th:first-child,td:first-child{text-align:left}img{max-width:100%}</style>
<h1>What control costs, by the number of brokers</h1>
<p>Of each role the broker with most; dots are runs, lines the law that leaves least.</p>
{{range .Charts}}<h2>{{.Measure}}</h2>
<p><img src="{{.Plot}}" alt="{{.Measure}} over brokers"></p>
<table><tr><th>role<th>law<th>R²<th>runs<th>at 930 by it<th>budget</tr>
{{$budget := .Budget}}{{range .Curves}}<tr><td>{{name .}}{{if .Fit.Law}}<td>{{.Fit.Law}}<td>{{printf "%.2f" .Fit.R2}}<td>{{.Fit.N}}<td>{{printf "%.4g" (.Fit.At 930)}}{{else}}<td>too few sizes<td><td>{{len .X}}<td>{{end}}<td>{{$budget}}</tr>
{{end}}</table>{{end}}
{{if .Missing}}<p>Not run: {{range .Missing}}{{.}} {{end}}</p>{{end}}`))

func curveName(c capacity.Curve) string {
	if c.SeparateControl {
		return c.Role + ", control set aside"
	}
	return c.Role
}

type capacityChart struct {
	capacity.Chart
	Plot string // its file
}

// reportCapacity draws the slopes of the raw runs.
func reportCapacity(_ context.Context, cmd *cli.Command) error {
	runs, missing, err := capacity.Load(cmd.String("raw"))
	if err != nil {
		return err
	}
	to := cmd.String("to")
	var charts []capacityChart
	for i, c := range capacity.Charts(runs) {
		chart := capacityChart{c, fmt.Sprintf("capacity-%d.svg", i)}
		if err := chart.draw(filepath.Join(filepath.Dir(to), chart.Plot)); err != nil {
			return fmt.Errorf("%s: %w", c.Measure, err)
		}
		charts = append(charts, chart)
	}
	if len(charts) == 0 {
		return fmt.Errorf("%s: no runs", cmd.String("raw"))
	}
	file, err := os.Create(to)
	if err != nil {
		return err
	}
	return errors.Join(capacityPage.Execute(file, struct {
		Charts  []capacityChart
		Missing []string
	}{charts, missing}), file.Close())
}

// draw plots a measure over brokers on logarithmic axes: roles differ by a hundred times.
func (c *capacityChart) draw(path string) error {
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "brokers", c.Measure
	chart.X.Scale, chart.Y.Scale = plot.LogScale{}, plot.LogScale{}
	chart.X.Tick.Marker, chart.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for i, curve := range c.Curves {
		var dots, line plotter.XYs
		for j := range curve.X {
			dots = append(dots, plotter.XY{X: curve.X[j], Y: math.Max(curve.Y[j], 1e-6)})
		}
		scatter, err := plotter.NewScatter(dots)
		if err != nil {
			return err
		}
		scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Shape(i)
		chart.Add(scatter)
		chart.Legend.Add(curveName(curve), scatter)
		for x := 60.0; curve.Fit.Law != "" && x <= 930; x *= 1.1 {
			if y := curve.Fit.At(x); y > 0 {
				line = append(line, plotter.XY{X: x, Y: y})
			}
		}
		if len(line) > 1 {
			drawn, err := plotter.NewLine(line)
			if err != nil {
				return err
			}
			drawn.Color = plotutil.Color(i)
			chart.Add(drawn)
		}
	}
	budget, err := plotter.NewLine(plotter.XYs{{X: 50, Y: c.Budget}, {X: 1000, Y: c.Budget}})
	if err != nil {
		return err
	}
	budget.Dashes = plotutil.Dashes(1)
	chart.Add(budget)
	chart.Legend.Add("budget", budget)
	chart.Legend.Top, chart.Legend.Left = true, true
	chart.X.Min, chart.X.Max = 50, 1000
	return chart.Save(20*vg.Centimeter, 11*vg.Centimeter, path)
}
