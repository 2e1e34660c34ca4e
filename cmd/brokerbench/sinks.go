package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/load"
)

// sinksConnections is the maximum number of client connections, more than the rates of this command need at a time.
const sinksConnections = 1024

func sinksCommand() *cli.Command {
	return &cli.Command{
		Name: "sinks",
		Usage: "measure in paired runs whether healthy, stalled or dead metrics receivers change what clients see, " +
			"and check that the received counts equal the broker's",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "broker", Value: "bin/junctionwharf", Usage: "the broker's program"},
			&cli.IntFlag{Name: "rounds", Value: 10},
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "length of a run"},
			&cli.FloatFlag{Name: "rate", Value: 1500},
			&cli.IntFlag{
				Name: "interval", Value: 1,
				Usage: "export interval in the compared runs, s; the default of a site file is 10",
			},
			&cli.IntFlag{Name: "nodes", Value: 16},
			&cli.IntFlag{Name: "volumes", Value: 2000},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write all figures to `FILE`"},
		},
		Action: measureSinks,
	}
}

// Variants of a run. Each one is a state of the metrics receivers.
const (
	sinksOff      = "off"
	sinksOffAgain = "off again"
	sinksHealthy  = "healthy"
	sinksStalled  = "stalled"
	sinksDead     = "dead"
)

// sinkVariants are the variants of a round, which runs them in a new random order. Off occurs twice: the difference
// between its two runs is the noise.
var sinkVariants = []string{sinksOff, sinksOffAgain, sinksHealthy, sinksStalled, sinksDead}

// sinkRun is the result that clients saw in one run.
type sinkRun struct {
	Round   int     `json:"round"`
	Variant string  `json:"variant"`
	P50     float64 `json:"p50_us"`
	P99     float64 `json:"p99_us"`
	P999    float64 `json:"p99_9_us"`
	Served  int     `json:"served"`
	Busy    int     `json:"busy"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"` // including requests whose connection was closed
	PeakKB  int64   `json:"peak_kib"`
}

func measureSinks(ctx context.Context, cmd *cli.Command) error {
	rounds := cmd.Int("rounds")
	if rounds < 2 || rounds > 1000 {
		return fmt.Errorf("--rounds: %d is not within 2 to 1000", rounds)
	}
	bed, err := newTestbed(cmd.String("broker"), cmd.Int("nodes"), time.Millisecond)
	if err != nil {
		return err
	}
	defer bed.close()
	if err := bed.checkCounts(ctx, cmd, os.Stdout); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(uint64(cmd.Uint("seed")), 9))
	var runs []sinkRun
	for round := range rounds {
		for i, v := range random.Perm(len(sinkVariants)) {
			showProgress("round %d of %d, run %d of %d", round+1, rounds, i+1, len(sinkVariants))
			run, err := bed.playSinks(ctx, cmd, round, sinkVariants[v])
			if err != nil {
				return err
			}
			runs = append(runs, run)
		}
	}
	clearProgress()
	if err := saveJSON(cmd, runs); err != nil {
		return err
	}
	return compareSinks(os.Stdout, runs, random)
}

// prepareSinks puts the receivers into the state of a variant and returns the broker's metrics targets.
func (b *testbed) prepareSinks(variant string, interval int) metricsTargets {
	targets := metricsTargets{interval: interval}
	b.carbon.SetMode(fakes.Reading)
	switch variant {
	case sinksHealthy:
		targets.graphite = b.carbon.Address()
		targets.collectd = b.collectd.Address()
	case sinksStalled:
		b.carbon.SetMode(fakes.NotReading)
		targets.graphite = b.carbon.Address()
		targets.collectd = b.collectd.Address()
	case sinksDead:
		targets.graphite = b.closed
		targets.collectd = b.closed
	}
	return targets
}

// playSinks starts a broker with the receivers of a variant and sends it the load.
func (b *testbed) playSinks(ctx context.Context, cmd *cli.Command, round int, variant string) (sinkRun, error) {
	process, err := b.startBroker(ctx, b.prepareSinks(variant, cmd.Int("interval")))
	if err != nil {
		return sinkRun{}, err
	}
	traffic, err := b.traffic(cmd, cmd.Float("rate"), uint64(cmd.Uint("seed"))+uint64(round))
	if err != nil {
		process.kill()
		return sinkRun{}, err
	}
	result, err := load.Run(ctx, traffic, load.Options{
		Addresses: []string{process.address}, MaxConnections: sinksConnections, WaitForConnection: true,
	})
	process.kill()
	if err != nil {
		return sinkRun{}, err
	}
	latency := result.All.Latency
	counts := result.All.Counts
	return sinkRun{
		Round:   round,
		Variant: variant,
		P50:     float64(latency.ValueAtPercentile(50)),
		P99:     float64(latency.ValueAtPercentile(99)),
		P999:    float64(latency.ValueAtPercentile(99.9)),
		Served:  counts[load.Served],
		Busy:    counts[load.Rejected],
		Failed:  counts[load.Failed],
		Lost:    counts[load.Lost] + counts[load.Closed],
		PeakKB:  process.peakKiB(),
	}, ctx.Err()
}
