package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/template"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/graphite"
)

func dashboardCommand() *cli.Command {
	return &cli.Command{
		Name:  "dashboard",
		Usage: "print a dashboard for Graphite's web application, by the paths that a broker tells",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "prefix", Value: "junctionwharf", Usage: "graphite.prefix of the site file"},
			&cli.StringFlag{Name: "broker", Value: "*", Usage: "a broker's name; * for all"},
			&cli.IntFlag{Name: "top", Value: 10, Usage: "volumes and nodes shown"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return writeDashboard(os.Stdout, cmd.String("prefix"), cmd.String("broker"), cmd.Int("top"))
		},
	}
}

//go:embed dashboard.json.tmpl
var dashboardText string

// graph is one picture: its title and what it draws.
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
	at := prefix + "." + broker
	rate := func(path string) string { return "perSecond(" + at + "." + path + ")" }
	heaviest := func(kind, last string) string {
		return fmt.Sprintf("highestAverage(groupByNode(perSecond(%s.%s.*.%s),%d,'sum'),%d)", at, kind, last, nodesOf(at)+1, top)
	}
	slowest := func(kind string) string {
		return fmt.Sprintf("highestMax(groupByNode(%s.%s.*.whole_us.p99,%d,'max'),%d)", at, kind, nodesOf(at)+1, top)
	}
	graphs := []graph{
		{"Requests a second, by end", []string{rate("all.served"), rate("all.busy"), rate("all.failed"), rate("all.left")}},
		{"Refused a second, by class", []string{heaviest("class", "busy")}},
		{"Refused a second, by plan", []string{heaviest("plan", "busy")}},
		{"Which volume: units a second", []string{heaviest("volume", "units_milli")}},
		{"Which volume: slowest p99, us", []string{slowest("volume")}},
		{"Which node: attempts a second", []string{heaviest("node", "attempts")}},
		{"Which node: attempts not answered a second", []string{heaviest("node", "attempts_timed_out"), heaviest("node", "attempts_broken")}},
		{"Which node: p99 at the node, us", []string{fmt.Sprintf("highestMax(groupByNode(%s.node.*.at_node_us.p99,%d,'max'),%d)", at, nodesOf(at)+1, top)}},
		{"Latency by class: p99, us", []string{slowest("class")}},
		{"Waiting in the broker: p99, us", []string{at + ".class.*.waiting_us.p99"}},
		{"Nodes listed and avoided", []string{at + ".hosts_listed", at + ".hosts_down"}},
		{"Telemetry itself", []string{at + ".telemetry.*.queue_bytes", at + ".telemetry.*.dropped_intervals", at + ".telemetry.series"}},
	}
	return dashboardTemplate.Execute(w, struct {
		Name   string
		Graphs []graph
	}{"junctionwharf " + prefix + " " + broker, graphs})
}

// nodesOf counts the parts of a path.
func nodesOf(path string) int {
	n := 1
	for i := range len(path) {
		if path[i] == '.' {
			n++
		}
	}
	return n
}
