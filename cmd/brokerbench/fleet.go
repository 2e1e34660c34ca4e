package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/fleetharness"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "run many brokers as processes among stand-ins, with faults between them, and check the rules; docs/fleetrig.md",
		Commands: []*cli.Command{{
			Name:      "run",
			Usage:     "play a scenario, version by version in turn",
			ArgsUsage: "SCENARIO.toml ...",
			Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: "broker", Value: []string{"now=bin/junctionwharf"}, Usage: "`NAME=PROGRAM[:SITE]` of a version and its site file; may stand several times"},
				&cli.UintFlag{Name: "seed", Usage: "instead of the scenario's"},
				&cli.IntFlag{Name: "rounds", Value: 1, Usage: "with seeds that follow each other"},
				&cli.IntFlag{Name: "stories", Usage: "tell so many requests of each ending other than served"},
				&cli.StringFlag{Name: "json", Usage: "write all figures to `FILE`"},
			},
			Action: runFleet,
		}, {
			Name:      "report",
			Usage:     "make a page of figures that run wrote",
			ArgsUsage: "FIGURES.json",
			Flags:     []cli.Flag{&cli.StringFlag{Name: "to", Value: "fleet.html", Usage: "the page's `FILE`; plots lie beside it"}},
			Action:    reportFleet,
		}},
	}
}

// fleetRun is one run of one version.
type fleetRun struct {
	Version string `json:"version"`
	*fleetharness.Report
}

func runFleet(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return fmt.Errorf("no scenario")
	}
	var runs []fleetRun
	broken := 0
	for _, path := range cmd.Args().Slice() {
		scenario, err := fleetharness.Load(path)
		if err != nil {
			return err
		}
		if cmd.IsSet("seed") {
			scenario.Seed = uint64(cmd.Uint("seed"))
		}
		for range cmd.Int("rounds") {
			for _, version := range cmd.StringSlice("broker") {
				name, program, found := strings.Cut(version, "=")
				if !found {
					return fmt.Errorf("--broker: %q is no NAME=PROGRAM", version)
				}
				program, site, _ := strings.Cut(program, ":")
				played := *scenario
				if site != "" {
					text, err := os.ReadFile(site)
					if err != nil {
						return err
					}
					played.SiteTOML = string(text)
				}
				report, err := playFleet(ctx, program, &played, cmd.Int("stories"))
				if err != nil {
					return fmt.Errorf("%s, %s: %w", path, name, err)
				}
				runs = append(runs, fleetRun{name, report})
				broken += len(report.Violations)
				printFleet(os.Stdout, name, report)
			}
			scenario.Seed++
		}
	}
	if err := saveJSON(cmd, runs); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d breaches", broken)
	}
	return nil
}

func playFleet(ctx context.Context, program string, scenario *fleetharness.Scenario, stories int) (*fleetharness.Report, error) {
	rig, err := fleetharness.New(program, scenario)
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	starting, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	if err := rig.Start(starting); err != nil {
		return nil, err
	}
	report, err := rig.Run(ctx)
	for _, s := range rig.DescribeUnserved(stories) {
		fmt.Println(s)
	}
	return report, err
}

func printFleet(w io.Writer, name string, r *fleetharness.Report) {
	_, _ = fmt.Fprintf(w, "%s, %s, seed %d: %d brokers, %d nodes; %d connections made to nodes, at most %d at one; %d calls of discovery; %d datagrams\n", r.Scenario, name, r.Seed,
		r.Brokers, r.Nodes, r.Dials, r.PeakConns, r.DiscoveryCalls, r.Datagrams)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "from s\tto s\tsent\tserved\tin aim\trefused\tfailed\tlost\tbroker down\tlate\tp50 ms\tp99 ms\tfullest/mean\tworst second\tof a draw\tidle nodes\tworst\t")
	for _, p := range append(r.Phases, r.All) {
		_, _ = fmt.Fprintf(table, "%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t%s\t\n", p.FromS, p.ToS, p.Sent, p.Served, p.InObjective, p.Rejected, p.Failed, p.Lost, p.Excluded, p.Late,
			float64(p.P50)/1000, float64(p.P99)/1000, p.MaxOverMean, p.WorstSecond, p.RandomWorstSecond, p.IdleNodes, p.WorstSecondAt)
	}
	_ = table.Flush()
	if len(r.BalancedAfterS) > 0 {
		_, _ = fmt.Fprintf(w, "load is even again after the end of each event, s: %.2f\n", r.BalancedAfterS)
	}
	if a := r.Agreement; a != nil {
		at := func(part float64) float64 {
			if len(a.CommitToAllUS) == 0 {
				return 0
			}
			return float64(a.CommitToAllUS[min(len(a.CommitToAllUS)-1, int(part*float64(len(a.CommitToAllUS))))]) / 1000
		}
		_, _ = fmt.Fprintf(w, "agreement: %d versions acted on, proposals %v, longest contradiction %.3f ms; from commit to all acting, ms: p50 %.0f, p99 %.0f, largest %.0f; %.0f bytes a second and broker, at most %.0f; %.1f MB a broker\n",
			a.Versions, a.ProposalOutcomes, float64(a.LongestUS)/1000, at(0.5), at(0.99), at(1), a.MeanBytesPerS, a.MaxBytesPerS, a.MemoryMB)
		if a.Trace != "" {
			_, _ = fmt.Fprintln(w, a.Trace)
		}
	}
	printCold(w, r.SlowStart)
	if n := len(r.RestartMS); n > 0 {
		at := func(part float64) float64 { return r.RestartMS[min(n-1, int(part*float64(n)))] }
		_, _ = fmt.Fprintf(w, "%d brokers started again, ready after, ms: least %.0f, p50 %.0f, p90 %.0f, p99 %.0f, largest %.0f\n", n, r.RestartMS[0], at(0.5), at(0.9), at(0.99), r.RestartMS[n-1])
	}
	for i, b := range r.Violations {
		if i == 5 {
			_, _ = fmt.Fprintf(w, "and %d more breaches\n", len(r.Violations)-i)
			break
		}
		_, _ = fmt.Fprintf(w, "BREACH at %s: %s: %s\n", b.At, b.Rule, b.Trace)
	}
}

// printCold prints, for each second of a cold node's age, the fullest window over all nodes.
func printCold(w io.Writer, seconds []fleetharness.SlowStartSecond) {
	var fullest []fleetharness.SlowStartSecond
	for _, c := range seconds {
		for len(fullest) <= c.AgeS {
			fullest = append(fullest, fleetharness.SlowStartSecond{AgeS: len(fullest)})
		}
		if f := &fullest[c.AgeS]; f.Limit == 0 || c.Units/c.Limit > f.Units/f.Limit {
			*f = c
		}
	}
	if len(fullest) == 0 {
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "age s\tnode\tunits in the window\tbears N\tpart\tN + 2 root N + 2\t")
	for _, f := range fullest {
		if f.Limit > 0 {
			_, _ = fmt.Fprintf(table, "%d\t%s\t%.0f\t%.0f\t%.2f\t%.0f\t\n", f.AgeS, f.Node, f.Units, f.Limit, f.Units/f.Limit, f.Limit+2*math.Sqrt(f.Limit)+2)
		}
	}
	_ = table.Flush()
}

func readRuns(path string) ([]fleetRun, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var runs []fleetRun
	if err := json.Unmarshal(text, &runs); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return runs, nil
}
