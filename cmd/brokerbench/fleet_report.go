package main

import (
	"context"
	"errors"
	"fmt"
	"html/template"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

var fleetPage = template.Must(template.New("fleet").Funcs(template.FuncMap{"ms": func(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) },
	"two": func(v float64) string { return fmt.Sprintf("%.2f", v) }}).Parse(`<!doctype html><meta charset="utf-8"><title>Fleet runs</title>
<style>body{font:15px sans-serif;max-width:75em;margin:2em auto}table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ccc}
th:first-child,td:first-child{text-align:left}.bad{color:#b00}img{max-width:100%}</style>
<h1>Fleet runs of real processes</h1>
{{range .}}<h2>{{.Name}}: {{.Brokers}} brokers, {{.Nodes}} nodes</h2>
<table><tr><th>version<th>runs<th>fullest over mean<th>95% interval<th>worst second<th>of an even draw<th>idle nodes<th>not served, per thousand<th>p99 ms<th>new connections<th>most at a node<th>breaches</tr>
{{range .Versions}}<tr><td>{{.Version}}<td>{{.Runs}}<td>{{two .Full}}<td>{{two .Low}} to {{two .High}}<td>{{two .Worst}}<td>{{two .Random}}<td>{{.Idle}}<td>{{two .Missed}}<td>{{ms .P99}}<td>{{.Dials}}<td>{{.Peak}}<td{{if .Breaches}} class="bad"{{end}}>{{.Breaches}}</tr>
{{end}}</table>
<p>The first run, phase by phase:</p>
<table><tr><th>version<th>from s<th>to s<th>sent<th>served<th>refused<th>failed<th>lost<th>p99 ms<th>fullest over mean<th>worst second<th>idle</tr>
{{range .Versions}}{{$v := .Version}}{{range .Phases}}<tr><td>{{$v}}<td>{{.FromS}}<td>{{.ToS}}<td>{{.Sent}}<td>{{.Served}}<td>{{.Rejected}}<td>{{.Failed}}<td>{{.Lost}}<td>{{ms .P99}}<td>{{two .MaxOverMean}}<td>{{two .WorstSecond}}<td>{{.IdleNodes}}</tr>
{{end}}{{end}}</table>
<p><img src="{{.Plot}}" alt="requests by node, fullest first"></p>
{{end}}`))

type fleetVersion struct {
	Version                                string
	Runs, Idle, Dials, Peak, Breaches      int
	Full, Low, High, Worst, Random, Missed float64
	P99                                    int64
	Phases                                 any
	first                                  fleetRun
}

type fleetPart struct {
	Name, Plot     string
	Brokers, Nodes int
	Versions       []*fleetVersion
}

func reportFleet(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errors.New("no figures")
	}
	to := cmd.String("to")
	var parts []*fleetPart
	byVersion := map[string][]fleetRun{}
	for _, path := range cmd.Args().Slice() {
		runs, err := readRuns(path)
		if err != nil {
			return err
		}
		for _, r := range runs {
			at := slices.IndexFunc(parts, func(p *fleetPart) bool { return p.Name == r.Scenario })
			if at < 0 {
				parts = append(parts, &fleetPart{Name: r.Scenario, Brokers: r.Brokers, Nodes: r.Nodes, Plot: r.Scenario + ".svg"})
				at = len(parts) - 1
			}
			key := r.Scenario + "\x00" + r.Version
			if byVersion[key] == nil {
				parts[at].Versions = append(parts[at].Versions, &fleetVersion{Version: r.Version, first: r, Phases: r.Phases})
			}
			byVersion[key] = append(byVersion[key], r)
		}
	}
	for _, p := range parts {
		for _, v := range p.Versions {
			v.sum(byVersion[p.Name+"\x00"+v.Version])
		}
		if err := p.draw(filepath.Join(filepath.Dir(to), p.Plot)); err != nil {
			return err
		}
	}
	file, err := os.Create(to)
	if err != nil {
		return err
	}
	return errors.Join(fleetPage.Execute(file, parts), file.Close())
}

// sum takes the means over runs, and the 95% interval of the fullest over the mean by Student's t at few runs.
func (v *fleetVersion) sum(runs []fleetRun) {
	var full []float64
	sent, served := 0, 0
	for _, r := range runs {
		full = append(full, r.All.MaxOverMean)
		v.Worst, v.Random, v.P99 = max(v.Worst, r.All.WorstSecond), max(v.Random, r.All.RandomWorstSecond), max(v.P99, r.All.P99)
		v.Idle, v.Dials, v.Peak, v.Breaches = max(v.Idle, r.All.IdleNodes), max(v.Dials, r.Dials), max(v.Peak, r.PeakConns), v.Breaches+len(r.Violations)
		sent, served = sent+r.All.Sent, served+r.All.Served
	}
	v.Runs, v.Missed = len(runs), 1000*float64(sent-served)/math.Max(1, float64(sent))
	v.Full = stat.Mean(full, nil)
	v.Low, v.High = v.Full, v.Full
	if len(full) > 1 {
		t := []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26}
		width := t[min(len(full)-2, len(t)-1)] * stat.StdErr(stat.StdDev(full, nil), float64(len(full)))
		v.Low, v.High = v.Full-width, v.Full+width
	}
}

// draw plots requests by node, the fullest first, against the mean.
func (p *fleetPart) draw(path string) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = p.Name+": requests by node, fullest first", "node", "requests over the mean"
	var lines []any
	for _, v := range p.Versions {
		var counts []float64
		sum := 0.0
		for _, c := range v.first.PerNode {
			counts, sum = append(counts, float64(c)), sum+float64(c)
		}
		slices.SortFunc(counts, func(a, b float64) int { return int(b - a) })
		points := make(plotter.XYs, len(counts))
		for i, c := range counts {
			points[i] = plotter.XY{X: float64(i + 1), Y: math.Min(6, c*float64(len(counts))/math.Max(1, sum))}
		}
		lines = append(lines, v.Version, points)
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return err
	}
	chart.Y.Min = 0
	return chart.Save(20*vg.Centimeter, 8*vg.Centimeter, path)
}
