package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/load"
)

func curveCommand() *cli.Command {
	return &cli.Command{
		Name: "curve",
		Usage: "send rising rates to brokers in front of fake nodes, to each version in turn, and print how many " +
			"requests were served, rejected and lost",
		Flags: []cli.Flag{
			versionsFlag(),
			&cli.StringFlag{
				Name: "rates", Value: "1000,2000,4000,8000,12000,15000,20000", Usage: "requests a second",
			},
			&cli.DurationFlag{Name: "for", Value: 3 * time.Second, Usage: "length of a run"},
			&cli.IntFlag{Name: "rounds", Value: 1},
			&cli.IntFlag{Name: "nodes", Value: 64},
			&cli.DurationFlag{Name: "unit", Value: 100 * time.Microsecond, Usage: "time of a node for one unit"},
			&cli.IntFlag{Name: "cores", Value: 1, Usage: "the broker's cores"},
			&cli.IntFlag{Name: "sockets", Value: 4096, Usage: "the broker's socket limit"},
			&cli.FloatFlag{Name: "memory", Value: 128, Usage: "the broker's memory limit, MB"},
			&cli.IntFlag{
				Name: "connections", Value: 12000,
				Usage: "maximum of open client connections; a request that would need one more is unsent",
			},
			&cli.BoolFlag{
				Name:  "bounded",
				Usage: "clients wait for a free connection instead, up to 2 s past their deadline",
			},
			&cli.IntFlag{Name: "volumes", Value: 2000},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write all figures to `FILE`"},
		},
		Action: measureCurve,
	}
}

// versionsFlag returns the flag for the versions of the broker to compare.
func versionsFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "broker", Value: []string{"now=bin/junctionwharf"},
		Usage: "`NAME=PROGRAM[:SITE]` of a version and its site file; may be repeated",
	}
}

// version is a version of the broker to measure.
type version struct {
	name    string
	program string
	site    string // path of the site file; empty for none
}

func parseVersion(text string) (version, error) {
	name, rest, found := strings.Cut(text, "=")
	if !found {
		return version{}, fmt.Errorf("--broker: %q is not NAME=PROGRAM", text)
	}
	program, site, _ := strings.Cut(rest, ":")
	return version{name: name, program: program, site: site}, nil
}

// curvePoint is the result of one broker at one rate.
type curvePoint struct {
	Round       int     `json:"round"`
	Broker      string  `json:"broker"`
	Rate        float64 `json:"rate"`
	Sent        int     `json:"sent"`
	Served      int     `json:"served"`
	Busy        int     `json:"busy"`
	Failed      int     `json:"failed"`
	Lost        int     `json:"lost"`
	Closed      int     `json:"closed"`
	Unsent      int     `json:"unsent"`
	Late        int     `json:"late"` // answers after the client's deadline
	P50         int64   `json:"p50_us"`
	P99         int64   `json:"p99_us"`
	RejectedP99 int64   `json:"busy_p99_us"`
	// MaxSendLag is the longest delay of a request past its intended send time. If it exceeds a few ms, the clients or
	// their connections were the limit, not the broker.
	MaxSendLag int64 `json:"behind_us"`
	PeakKB     int64 `json:"peak_kib"`
	// RejectedAtAdmission is the part of Busy that the broker rejected before queueing, according to its metrics.
	RejectedAtAdmission float64 `json:"door_refused"`
	Dials               int     `json:"dials"`
}

func measureCurve(ctx context.Context, cmd *cli.Command) error {
	rates, err := parseRates(cmd.String("rates"))
	if err != nil {
		return err
	}
	if n := cmd.Int("rounds"); n < 1 || n > 100 {
		return fmt.Errorf("--rounds: %d is not within 1 to 100", n)
	}
	bed, err := newTestbed("", cmd.Int("nodes"), cmd.Duration("unit"))
	if err != nil {
		return err
	}
	defer bed.close()
	bed.limits = brokerLimits{Cores: cmd.Int("cores"), Sockets: cmd.Int("sockets"), MemoryMB: cmd.Float("memory")}
	points, err := bed.playCurve(ctx, cmd, rates)
	if err != nil {
		return err
	}
	clearProgress()
	if err := saveJSON(cmd, points); err != nil {
		return err
	}
	return printCurve(os.Stdout, points, cmd.Duration("for"))
}

func parseRates(text string) ([]float64, error) {
	var rates []float64
	for part := range strings.SplitSeq(text, ",") {
		rate, err := strconv.ParseFloat(part, 64)
		if err != nil || !(rate > 0) {
			return nil, fmt.Errorf("--rates: %q is not a rate above 0", part)
		}
		rates = append(rates, rate)
	}
	return rates, nil
}

// playCurve measures the versions in turn at each rate, so that other load on the machine affects all versions alike.
func (b *testbed) playCurve(ctx context.Context, cmd *cli.Command, rates []float64) ([]curvePoint, error) {
	var points []curvePoint
	versions := cmd.StringSlice("broker")
	for round := range cmd.Int("rounds") {
		seed := uint64(cmd.Uint("seed")) + uint64(round)
		for i, rate := range rates {
			for j, text := range versions {
				showProgress("round %d, rate %d of %d, version %d of %d", round+1, i+1, len(rates), j+1, len(versions))
				v, err := parseVersion(text)
				if err != nil {
					return nil, err
				}
				b.program = v.program
				b.site = v.site
				point, err := b.playRate(ctx, cmd, rate, seed)
				if err != nil {
					return nil, err
				}
				point.Round = round
				point.Broker = v.name
				points = append(points, point)
			}
		}
	}
	return points, nil
}

// playRate starts a broker and sends it the load of one rate.
func (b *testbed) playRate(ctx context.Context, cmd *cli.Command, rate float64, seed uint64) (curvePoint, error) {
	process, err := b.startBroker(ctx, noMetrics)
	if err != nil {
		return curvePoint{}, err
	}
	traffic, err := b.traffic(cmd, rate, seed)
	if err != nil {
		process.kill()
		return curvePoint{}, err
	}
	result, err := load.Run(ctx, traffic, load.Options{
		Addresses:         []string{process.address},
		MaxConnections:    cmd.Int("connections"),
		WaitForConnection: cmd.Bool("bounded"),
	})
	metrics := process.metrics()
	process.kill()
	if err := errors.Join(err, ctx.Err()); err != nil {
		return curvePoint{}, err
	}
	all := result.All
	return curvePoint{
		Rate:                rate,
		Sent:                all.Sent(),
		Served:              all.Counts[load.Served],
		Busy:                all.Counts[load.Rejected],
		Failed:              all.Counts[load.Failed],
		Lost:                all.Counts[load.Lost],
		Closed:              all.Counts[load.Closed],
		Unsent:              all.Counts[load.Unsent],
		Late:                all.Late,
		P50:                 all.Latency.ValueAtPercentile(50),
		P99:                 all.Latency.ValueAtPercentile(99),
		RejectedP99:         all.RejectionLatency.ValueAtPercentile(99),
		MaxSendLag:          result.MaxSendLag.Microseconds(),
		PeakKB:              process.peakKiB(),
		RejectedAtAdmission: metrics["door_refused"],
		Dials:               result.Dials,
	}, nil
}

func printCurve(w io.Writer, points []curvePoint, length time.Duration) error {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	table := newTable(w)
	_, _ = fmt.Fprintln(table, "rate\tversion\tserved/s\trefused\tat the door\tfailed\tlost\tclosed\tunsent\tlate\t"+
		"p50 ms\tp99\tp99 of refusals\tsent late, ms\tdials\tpeak MiB\t")
	for _, p := range points {
		_, _ = fmt.Fprintf(table, "%.0f\t%s\t%.0f\t%d\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t\n",
			p.Rate, p.Broker, float64(p.Served)/length.Seconds(), p.Busy, p.RejectedAtAdmission,
			p.Failed, p.Lost, p.Closed, p.Unsent, p.Late,
			ms(p.P50), ms(p.P99), ms(p.RejectedP99), ms(p.MaxSendLag), p.Dials, p.PeakKB>>10)
	}
	return table.Flush()
}
