package main

import (
	"context"
	_ "embed" // for the dashboard's template
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/template"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/graphite"
)

func dashboardCommand() *cli.Command {
	return &cli.Command{
		Name:  "dashboard",
		Usage: "print a dashboard for Graphite's web application, with the series that a broker exports",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "prefix", Value: "junctionwharf", Usage: "graphite.prefix of the site file"},
			&cli.StringFlag{Name: "broker", Value: "*", Usage: "name of a broker; * for all"},
			&cli.IntFlag{Name: "top", Value: 10, Usage: "number of volumes and nodes to show"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return writeDashboard(os.Stdout, cmd.String("prefix"), cmd.String("broker"), cmd.Int("top"))
		},
	}
}

//go:embed dashboard.json.tmpl
var dashboardText string

// graph is one graph of the dashboard: its title and its Graphite expressions.
type graph struct {
	Title   string
	Targets []string
}

var dashboardTemplate = template.Must(template.New("dashboard").Funcs(template.FuncMap{
	"json": func(v any) (string, error) {
		text, err := json.Marshal(v)
		return string(text), err
	},
	"query": func(g graph) string {
		return url.Values{"target": g.Targets, "title": {g.Title}}.Encode()
	},
}).Parse(dashboardText))

// dashboardData is the data of the template.
type dashboardData struct {
	Name   string
	Graphs []graph
}

// writeDashboard writes the dashboard of one broker, or of all brokers for "*".
func writeDashboard(w io.Writer, prefix, broker string, top int) error {
	if err := graphite.CheckPrefix(prefix); err != nil {
		return fmt.Errorf("--prefix: %w", err)
	}
	if broker != "*" {
		broker = string(graphite.AppendName(nil, broker))
	}
	if top < 1 || top > 100 {
		return fmt.Errorf("--top: %d is not within 1 to 100", top)
	}
	return dashboardTemplate.Execute(w, dashboardData{
		Name:   "junctionwharf " + prefix + " " + broker,
		Graphs: dashboardGraphs(targets{root: prefix + "." + broker, top: top}),
	})
}

// targets builds Graphite expressions over the series below root.
type targets struct {
	root string
	top  int // number of series in a ranking
}

// series returns the full path of a series below root.
func (t targets) series(path string) string { return t.root + "." + path }

// rate returns the expression for a counter's increase per second.
func (t targets) rate(path string) string { return "perSecond(" + t.series(path) + ")" }

// nameIndex returns the index of the path segment with the name of a class, plan, volume or node. The segment follows
// root and the dimension.
func (t targets) nameIndex() int { return strings.Count(t.root, ".") + 2 }

// highestRates returns the expression for the names of a dimension with the highest rates of a counter.
func (t targets) highestRates(dimension, counter string) string {
	counters := t.rate(dimension + ".*." + counter)
	return fmt.Sprintf("highestAverage(groupByNode(%s,%d,'sum'),%d)", counters, t.nameIndex(), t.top)
}

// highestMaxima returns the expression for the names of a dimension with the largest values of a figure.
func (t targets) highestMaxima(dimension, figure string) string {
	figures := t.series(dimension + ".*." + figure)
	return fmt.Sprintf("highestMax(groupByNode(%s,%d,'max'),%d)", figures, t.nameIndex(), t.top)
}

// dashboardGraphs returns the graphs in the order of an on-call engineer's questions: whether there is a problem, whom
// it affects and where it is.
func dashboardGraphs(t targets) []graph {
	return []graph{
		{"Requests a second, by end", []string{
			t.rate("all.served"), t.rate("all.busy"), t.rate("all.failed"), t.rate("all.left"),
		}},
		{"Refused a second, by class", []string{t.highestRates("class", "busy")}},
		{"Refused a second, by plan", []string{t.highestRates("plan", "busy")}},
		{"Which volume: units a second", []string{t.highestRates("volume", "units_milli")}},
		{"Which volume: slowest p99, us", []string{t.highestMaxima("volume", "whole_us.p99")}},
		{"Which node: attempts a second", []string{t.highestRates("node", "attempts")}},
		{"Which node: attempts not answered a second", []string{
			t.highestRates("node", "attempts_timed_out"), t.highestRates("node", "attempts_broken"),
		}},
		{"Which node: p99 at the node, us", []string{t.highestMaxima("node", "at_node_us.p99")}},
		{"Latency by class: p99, us", []string{t.highestMaxima("class", "whole_us.p99")}},
		{"Waiting in the broker: p99, us", []string{t.series("class.*.waiting_us.p99")}},
		{"Nodes listed and avoided", []string{t.series("hosts_listed"), t.series("hosts_down")}},
		{"Telemetry itself", []string{
			t.series("telemetry.*.queue_bytes"),
			t.series("telemetry.*.dropped_intervals"),
			t.series("telemetry.series"),
		}},
	}
}
