package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
)

// spreadWorkers limits the number of models that run concurrently. Each model keeps a core busy, so that two of eight
// cores stay free.
const spreadWorkers = 6

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name: "spread",
		Usage: "compare load balancing policies for the nodes of a shard, in a model of brokers with limited views; " +
			"docs/spread.md",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "brokers", Value: 300},
			&cli.IntFlag{Name: "nodes", Value: 200},
			&cli.FloatFlag{Name: "rate", Value: 5, Usage: "requests a second of a broker"},
			&cli.FloatFlag{Name: "uneven", Value: 1, Usage: "rate of one broker in twenty, as a multiple of the mean"},
			&cli.FloatFlag{Name: "slow", Value: 0, Usage: "fraction of the nodes with half speed"},
			&cli.FloatFlag{Name: "load", Value: 0.5, Usage: "load as a fraction of the nodes' capacity"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "length of a run in model time"},
			&cli.IntFlag{
				Name: "rounds", Value: 5, Usage: "rounds; each has a new seed and the same arrivals for all policies",
			},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write all figures to `FILE`"},
		},
		Action: runSpread,
	}
}

func runSpread(_ context.Context, cmd *cli.Command) error {
	options := spreadOptions{
		brokers: cmd.Int("brokers"),
		nodes:   cmd.Int("nodes"),
		rate:    cmd.Float("rate"),
		uneven:  cmd.Float("uneven"),
		slow:    cmd.Float("slow"),
		load:    cmd.Float("load"),
		length:  cmd.Duration("for"),
	}
	rounds := cmd.Int("rounds")
	if err := options.check(rounds); err != nil {
		return err
	}
	runs := playSpreadRounds(options, rounds, uint64(cmd.Uint("seed")))
	if err := saveJSON(cmd, runs); err != nil {
		return err
	}
	return printSpread(os.Stdout, runs, rounds)
}

// check returns an error that names the first flag that is out of range.
func (o spreadOptions) check(rounds int) error {
	flags := []struct {
		name  string
		valid bool
	}{
		{"brokers", o.brokers >= 1 && o.brokers <= 2000},
		{"nodes", o.nodes >= 2 && o.nodes <= 2000},
		{"rate", o.rate > 0},
		{"load", o.load > 0 && o.load < 1},
		{"slow", o.slow >= 0 && o.slow < 0.5},
		{"for", o.length >= time.Second && o.length <= time.Hour},
		{"rounds", rounds >= 1 && rounds <= 100},
	}
	for _, flag := range flags {
		if !flag.valid {
			return fmt.Errorf("--%s is out of range", flag.name)
		}
	}
	return nil
}

// playSpreadRounds runs each policy in each round. The seed increases by 1 from round to round. All policies of a round
// receive the same arrivals.
func playSpreadRounds(options spreadOptions, rounds int, seed uint64) []spreadRun {
	runs := make([]spreadRun, rounds*len(spreadPolicies))
	var wait sync.WaitGroup
	workers := make(chan struct{}, spreadWorkers)
	for round := range rounds {
		for i, policy := range spreadPolicies {
			workers <- struct{}{}
			wait.Go(func() {
				run := playSpread(options, policy, seed+uint64(round))
				run.Round = round
				runs[round*len(spreadPolicies)+i] = run
				<-workers
			})
		}
	}
	wait.Wait()
	return runs
}

// printSpread prints a row for each policy with the means over the rounds.
func printSpread(w io.Writer, runs []spreadRun, rounds int) error {
	mean := func(policy string, figure func(spreadRun) float64) float64 {
		sum := 0.0
		for _, r := range runs {
			if r.Policy == policy {
				sum += figure(r)
			}
		}
		return sum / float64(rounds)
	}
	p99 := func(r spreadRun) float64 { return r.P99 }
	table := newTable(w)
	_, _ = fmt.Fprintln(table, "way\tfullest/mean\tworst second\tidle\tp50 ms\tp99 ms\tp99 to the oracle's\t"+
		"connections\tmost at a node\tslow node's part\t")
	for _, policy := range spreadPolicies {
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.0f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t%.2f\t\n",
			policy,
			mean(policy, func(r spreadRun) float64 { return r.MaxOverMean }),
			mean(policy, func(r spreadRun) float64 { return r.WorstSecond }),
			mean(policy, func(r spreadRun) float64 { return float64(r.IdleNodes) }),
			mean(policy, func(r spreadRun) float64 { return r.P50 }),
			mean(policy, p99),
			mean(policy, p99)/mean(policyOracle, p99),
			mean(policy, func(r spreadRun) float64 { return float64(r.Connections) }),
			mean(policy, func(r spreadRun) float64 { return float64(r.MaxConnections) }),
			mean(policy, func(r spreadRun) float64 { return r.SlowNodeShare }))
	}
	return table.Flush()
}
