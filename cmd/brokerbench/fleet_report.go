package main

import (
	"context"
	_ "embed" // for the page's template
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

	"junctionwharf/internal/fleetharness"
)

// maxPlottedRatio caps a node's plotted ratio of requests to the mean, so that one overloaded node does not flatten the
// curve of all others.
const maxPlottedRatio = 6

// studentT95 contains the quantiles of Student's t distribution for a two-sided 95% interval, from one degree of
// freedom on. The last value is used for all higher degrees.
var studentT95 = []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26}

// The page's template names fields of fleetScenario, fleetVersion and fleetharness.Phase. The compiler does not check
// these names, but TestFleetPageShowsPhases does.
//
//go:embed fleet.html.tmpl
var fleetPageText string

var fleetPage = template.Must(template.New("fleet").Funcs(template.FuncMap{
	"ms":  func(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) },
	"two": func(v float64) string { return fmt.Sprintf("%.2f", v) },
}).Parse(fleetPageText))

// fleetVersion summarizes the runs of one version in one scenario. MaxOverMean is a mean with its 95% interval,
// UnservedPerMill covers all runs, Violations is a total, and the other figures are maxima.
type fleetVersion struct {
	Version         string
	Runs            int
	MaxOverMean     float64
	IntervalLow     float64
	IntervalHigh    float64
	WorstSecond     float64
	RandomWorst     float64
	IdleNodes       int
	UnservedPerMill float64 // requests not served, per thousand
	P99             int64   // µs
	Dials           int
	PeakConns       int
	Violations      int
	Phases          []fleetharness.Phase // of the first run

	runs []fleetRun
}

// fleetScenario is the section of the page for one scenario.
type fleetScenario struct {
	Name     string
	Plot     string // name of the plot file
	Brokers  int
	Nodes    int
	Versions []*fleetVersion
}

// fleetSections contains the sections of the page, in the order of the figures.
type fleetSections []*fleetScenario

func reportFleet(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errors.New("no figures file given")
	}
	var sections fleetSections
	for _, path := range cmd.Args().Slice() {
		runs, err := readRuns(path)
		if err != nil {
			return err
		}
		for _, run := range runs {
			sections.add(run)
		}
	}
	page := cmd.String("to")
	for _, scenario := range sections {
		for _, version := range scenario.Versions {
			version.summarize()
		}
		if err := scenario.draw(filepath.Join(filepath.Dir(page), scenario.Plot)); err != nil {
			return err
		}
	}
	file, err := os.Create(page)
	if err != nil {
		return err
	}
	return errors.Join(fleetPage.Execute(file, sections), file.Close())
}

// add adds a run to the section of its scenario, under its version.
func (s *fleetSections) add(run fleetRun) {
	index := slices.IndexFunc(*s, func(f *fleetScenario) bool { return f.Name == run.Scenario })
	if index < 0 {
		index = len(*s)
		*s = append(*s, &fleetScenario{
			Name: run.Scenario, Plot: run.Scenario + ".svg", Brokers: run.Brokers, Nodes: run.Nodes,
		})
	}
	scenario := (*s)[index]
	sameVersion := func(v *fleetVersion) bool { return v.Version == run.Version }
	if i := slices.IndexFunc(scenario.Versions, sameVersion); i >= 0 {
		scenario.Versions[i].runs = append(scenario.Versions[i].runs, run)
		return
	}
	scenario.Versions = append(scenario.Versions, &fleetVersion{
		Version: run.Version, Phases: run.Phases, runs: []fleetRun{run},
	})
}

// summarize computes the figures from the runs.
func (v *fleetVersion) summarize() {
	var ratios []float64
	sent := 0
	served := 0
	for _, r := range v.runs {
		ratios = append(ratios, r.All.MaxOverMean)
		v.WorstSecond = max(v.WorstSecond, r.All.WorstSecond)
		v.RandomWorst = max(v.RandomWorst, r.All.RandomWorstSecond)
		v.P99 = max(v.P99, r.All.P99)
		v.IdleNodes = max(v.IdleNodes, r.All.IdleNodes)
		v.Dials = max(v.Dials, r.Dials)
		v.PeakConns = max(v.PeakConns, r.PeakConns)
		v.Violations += len(r.Violations)
		sent += r.All.Sent
		served += r.All.Served
	}
	v.Runs = len(v.runs)
	v.UnservedPerMill = 1000 * float64(sent-served) / math.Max(1, float64(sent))
	v.MaxOverMean = stat.Mean(ratios, nil)
	width := confidence95(ratios)
	v.IntervalLow = v.MaxOverMean - width
	v.IntervalHigh = v.MaxOverMean + width
}

// confidence95 returns half the width of the 95% interval of the mean, by Student's t distribution. It returns 0 for
// fewer than two values.
func confidence95(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	t := studentT95[min(len(values)-2, len(studentT95)-1)]
	return t * stat.StdErr(stat.StdDev(values, nil), float64(len(values)))
}

// draw plots, for each version's first run, the requests of each node over the mean, in descending order.
func (f *fleetScenario) draw(path string) error {
	chart := plot.New()
	chart.Title.Text = f.Name + ": requests by node, fullest first"
	chart.X.Label.Text = "node"
	chart.Y.Label.Text = "requests over the mean"
	var lines []any // pairs of a name and its points, the arguments of AddLines
	for _, v := range f.Versions {
		lines = append(lines, v.Version, nodePoints(v.runs[0].PerNode))
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return err
	}
	chart.Y.Min = 0
	return chart.Save(20*vg.Centimeter, 8*vg.Centimeter, path)
}

func nodePoints(perNode map[string]int) plotter.XYs {
	var counts []float64
	total := 0.0
	for _, count := range perNode {
		counts = append(counts, float64(count))
		total += float64(count)
	}
	slices.SortFunc(counts, func(a, b float64) int { return int(b - a) })
	points := make(plotter.XYs, len(counts))
	for i, count := range counts {
		ratio := count * float64(len(counts)) / math.Max(1, total)
		points[i] = plotter.XY{X: float64(i + 1), Y: math.Min(maxPlottedRatio, ratio)}
	}
	return points
}
