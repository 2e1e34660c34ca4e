package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/fleetharness"
)

// fleetStartTimeout limits how long all brokers of a scenario together may take to start.
const fleetStartTimeout = 60 * time.Second

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet",
		Usage: "run many broker processes among fakes, inject faults and check the rules; " +
			"docs/fleetharness.md",
		Commands: []*cli.Command{
			{
				Name:      "run",
				Usage:     "run a scenario with each version in turn",
				ArgsUsage: "SCENARIO.toml ...",
				Flags: []cli.Flag{
					versionsFlag(),
					&cli.UintFlag{Name: "seed", Usage: "seed in place of the scenario's"},
					&cli.IntFlag{Name: "rounds", Value: 1, Usage: "number of rounds; each adds 1 to the seed"},
					&cli.IntFlag{Name: "stories", Usage: "print this many requests of each outcome other than served"},
					&cli.StringFlag{Name: "json", Usage: "write all figures to `FILE`"},
				},
				Action: runFleet,
			},
			{
				Name:      "report",
				Usage:     "write an HTML page from the figures of runs",
				ArgsUsage: "FIGURES.json",
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name: "to", Value: "fleet.html", Usage: "`FILE` of the page; plots go into the same folder",
					},
				},
				Action: reportFleet,
			},
		},
	}
}

// fleetRun is the report of one run with one version.
type fleetRun struct {
	Version string `json:"version"`
	*fleetharness.Report
}

func runFleet(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errors.New("no scenario file given")
	}
	var runs []fleetRun
	for _, path := range cmd.Args().Slice() {
		scenario, err := fleetharness.Load(path)
		if err != nil {
			return err
		}
		if cmd.IsSet("seed") {
			scenario.Seed = uint64(cmd.Uint("seed"))
		}
		for range cmd.Int("rounds") {
			played, err := playVersions(ctx, cmd, path, scenario)
			if err != nil {
				return err
			}
			runs = append(runs, played...)
			scenario.Seed++
		}
	}
	if err := saveJSON(cmd, runs); err != nil {
		return err
	}
	violations := 0
	for _, run := range runs {
		violations += len(run.Violations)
	}
	if violations > 0 {
		return fmt.Errorf("%d breaches", violations)
	}
	return nil
}

// playVersions runs a scenario with each version in turn and prints the reports.
func playVersions(
	ctx context.Context, cmd *cli.Command, path string, scenario *fleetharness.Scenario,
) ([]fleetRun, error) {
	var runs []fleetRun
	for _, text := range cmd.StringSlice("broker") {
		v, err := parseVersion(text)
		if err != nil {
			return nil, err
		}
		played := *scenario
		if v.site != "" {
			site, err := os.ReadFile(v.site)
			if err != nil {
				return nil, err
			}
			played.SiteTOML = string(site)
		}
		report, err := playFleet(ctx, v.program, &played, cmd.Int("stories"))
		if err != nil {
			return nil, fmt.Errorf("%s, %s: %w", path, v.name, err)
		}
		runs = append(runs, fleetRun{Version: v.name, Report: report})
		printFleet(os.Stdout, v.name, report)
	}
	return runs, nil
}

// playFleet runs a scenario once. It prints up to unserved requests of each outcome other than served.
func playFleet(
	ctx context.Context, program string, scenario *fleetharness.Scenario, unserved int,
) (*fleetharness.Report, error) {
	fleet, err := fleetharness.New(program, scenario)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	starting, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	if err := fleet.Start(starting); err != nil {
		return nil, err
	}
	report, err := fleet.Run(ctx)
	for _, description := range fleet.DescribeUnserved(unserved) {
		fmt.Println(description)
	}
	return report, err
}

// readRuns reads a file of figures that the run command wrote.
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
