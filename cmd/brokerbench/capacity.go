package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/capacity"
)

func capacityCommand() *cli.Command {
	raw := &cli.StringFlag{Name: "raw", Value: "docs/measurements/capacity", Usage: "`FOLDER` with the raw runs"}
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the control-plane costs of a fleet by role, and make the tables of docs/CAPACITY.md",
		Commands: []*cli.Command{
			{
				Name:  "run",
				Usage: "run the cells of the grid that have no raw run yet, one at a time",
				Flags: []cli.Flag{
					raw,
					&cli.StringFlag{
						Name: "program", Value: "bin/junctionwharf",
						Usage: "the broker's program; brokerbench must be in the same folder",
					},
					&cli.StringSliceFlag{Name: "cell", Usage: "`NAME` of a cell to run; default: all cells"},
				},
				Action: runCapacity,
			},
			connectionsCommand(),
			{
				Name:  "report",
				Usage: "write an HTML page of the costs over the number of brokers, with plots in the same folder",
				Flags: []cli.Flag{
					raw,
					&cli.StringFlag{Name: "to", Value: "capacity.html", Usage: "`FILE` of the page"},
				},
				Action: reportCapacity,
			},
			{
				Name:  "page",
				Usage: "write the tables into the page",
				Flags: []cli.Flag{
					raw,
					&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md"},
					&cli.BoolFlag{Name: "whole", Usage: "fail if a cell of the grid has no raw run"},
				},
				Action: writeCapacity,
			},
		},
	}
}

// runCapacity runs the cells that have no raw run. A cell's file is written when its run has ended, so that a long
// measurement can be interrupted and resumed.
func runCapacity(ctx context.Context, cmd *cli.Command) error {
	if err := os.MkdirAll(cmd.String("raw"), 0o755); err != nil {
		return err
	}
	chosen := cmd.StringSlice("cell")
	for _, cell := range capacity.Grid {
		if len(chosen) > 0 && !slices.Contains(chosen, cell.Name()) {
			continue
		}
		path := filepath.Join(cmd.String("raw"), cell.Name()+".json")
		if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
			continue
		}
		report, err := playFleet(ctx, cmd.String("program"), cell.Scenario(), 0)
		if err != nil {
			return fmt.Errorf("%s: %w", cell.Name(), err)
		}
		printFleet(os.Stdout, "now", report)
		text, err := json.Marshal(report)
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// writeCapacity replaces the section of tables in the page.
func writeCapacity(_ context.Context, cmd *cli.Command) error {
	runs, missing, err := capacity.Load(cmd.String("raw"))
	if err != nil {
		return err
	}
	if cmd.Bool("whole") && len(missing) > 0 {
		return fmt.Errorf("%s: cell has no run", missing[0])
	}
	costs, err := capacity.LoadConnectionCosts(cmd.String("raw"))
	if err != nil {
		return err
	}
	section, err := capacity.Render(runs, missing, costs)
	if err != nil {
		return err
	}
	path := cmd.String("page")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := capacity.Replace(string(text), section)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(page), 0o644)
}
