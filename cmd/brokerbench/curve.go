package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/load"
	"junctionwharf/internal/logging"
)

func curveCommand() *cli.Command {
	return &cli.Command{
		Name:  "curve",
		Usage: "offer rising rates to brokers among stand-ins, version by version in turn, and say what was served, refused and lost",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "broker", Value: []string{"now=bin/junctionwharf"}, Usage: "`NAME=PROGRAM[:SITE]` of a version and its site file; may stand several times"},
			&cli.StringFlag{Name: "rates", Value: "1000,2000,4000,8000,12000,15000,20000", Usage: "requests a second"},
			&cli.DurationFlag{Name: "for", Value: 3 * time.Second, Usage: "length of a run"},
			&cli.IntFlag{Name: "rounds", Value: 1},
			&cli.IntFlag{Name: "nodes", Value: 64},
			&cli.DurationFlag{Name: "unit", Value: 100 * time.Microsecond, Usage: "a node's time for a unit"},
			&cli.IntFlag{Name: "cores", Value: 1, Usage: "the broker's"},
			&cli.IntFlag{Name: "sockets", Value: 4096, Usage: "the broker's"},
			&cli.FloatFlag{Name: "memory", Value: 128, Usage: "the broker's, MB"},
			&cli.IntFlag{Name: "connections", Value: 12000, Usage: "the clients', at once; what would need more is counted as unsent"},
			&cli.BoolFlag{Name: "bounded", Usage: "clients wait for one of the connections instead, up to 2 s past their deadline"},
			&cli.IntFlag{Name: "volumes", Value: 2000},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write all figures to `FILE`"},
		},
		Action: measureCurve,
	}
}

// point is what one broker made of one rate.
type point struct {
	Round   int     `json:"round"`
	Broker  string  `json:"broker"`
	Rate    float64 `json:"rate"`
	Sent    int     `json:"sent"`
	Served  int     `json:"served"`
	Busy    int     `json:"busy"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"`
	Closed  int     `json:"closed"`
	Unsent  int     `json:"unsent"`
	Late    int     `json:"late"` // answers after the client's deadline
	P50     int64   `json:"p50_us"`
	P99     int64   `json:"p99_us"`
	BusyP99 int64   `json:"busy_p99_us"`
	Behind  int64   `json:"behind_us"` // the latest that a client sent: beyond a few ms the clients, or their connections, were the limit
	PeakKB  int64   `json:"peak_kib"`
	Door    float64 `json:"door_refused"` // of Busy, as the broker counts
	Dials   int     `json:"dials"`
}

func measureCurve(ctx context.Context, cmd *cli.Command) error {
	var rates []float64
	for text := range strings.SplitSeq(cmd.String("rates"), ",") {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || !(rate > 0) {
			return fmt.Errorf("--rates: %q is no rate", text)
		}
		rates = append(rates, rate)
	}
	if n := cmd.Int("rounds"); n < 1 || n > 100 {
		return fmt.Errorf("--rounds: %d is not within 1 to 100", n)
	}
	f, err := newFleet("", cmd.Int("nodes"), cmd.Duration("unit"))
	if err != nil {
		return err
	}
	defer f.close()
	f.cores, f.sockets = cmd.Int("cores"), cmd.Int("sockets")
	f.memory = cmd.Float("memory")
	var points []point
	versions := cmd.StringSlice("broker")
	for round := range cmd.Int("rounds") {
		for i, rate := range rates {
			for j, version := range versions {
				if logging.IsTerminal(os.Stderr) {
					fmt.Fprintf(os.Stderr, "\rround %d, rate %d of %d, version %d of %d ", round+1, i+1, len(rates), j+1, len(versions))
				}
				name, program, found := strings.Cut(version, "=")
				if !found {
					return fmt.Errorf("--broker: %q is no NAME=PROGRAM", version)
				}
				f.program, f.site, _ = strings.Cut(program, ":")
				p, err := f.offer(ctx, cmd, rate, uint64(cmd.Uint("seed"))+uint64(round))
				if err != nil {
					return err
				}
				p.Round, p.Broker = round, name
				points = append(points, p)
			}
		}
	}
	clearProgress()
	if err := saveJSON(cmd, points); err != nil {
		return err
	}
	return printCurve(os.Stdout, points, cmd.Duration("for"))
}

// offer has a new broker meet one rate.
func (f *fleet) offer(ctx context.Context, cmd *cli.Command, rate float64, seed uint64) (point, error) {
	r, err := f.start(ctx, "", "", 10)
	if err != nil {
		return point{}, err
	}
	t, err := f.traffic(cmd, rate, seed)
	if err != nil {
		r.kill()
		return point{}, err
	}
	result, err := load.Run(ctx, t, load.Options{Addresses: []string{r.address}, MaxConnections: cmd.Int("connections"), WaitForConnection: cmd.Bool("bounded")})
	figures := r.figures()
	r.kill()
	if err := errors.Join(err, ctx.Err()); err != nil {
		return point{}, err
	}
	all := result.All
	return point{Rate: rate, Sent: all.Sent(), Served: all.Counts[load.Served], Busy: all.Counts[load.Rejected], Failed: all.Counts[load.Failed],
		Lost: all.Counts[load.Lost], Closed: all.Counts[load.Closed], Unsent: all.Counts[load.Unsent], Late: all.Late, P50: all.Latency.ValueAtPercentile(50), P99: all.Latency.ValueAtPercentile(99),
		BusyP99: all.RejectionLatency.ValueAtPercentile(99), Behind: result.MaxSendLag.Microseconds(), PeakKB: r.peak(), Door: figures["door_refused"], Dials: result.Dials}, nil
}

func printCurve(w io.Writer, points []point, length time.Duration) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "rate\tversion\tserved/s\trefused\tat the door\tfailed\tlost\tclosed\tunsent\tlate\tp50 ms\tp99\tp99 of refusals\tsent late, ms\tdials\tpeak MiB\t")
	for _, p := range points {
		ms := func(us int64) float64 { return float64(us) / 1000 }
		_, _ = fmt.Fprintf(table, "%.0f\t%s\t%.0f\t%d\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t\n", p.Rate, p.Broker, float64(p.Served)/length.Seconds(), p.Busy, p.Door, p.Failed,
			p.Lost, p.Closed, p.Unsent, p.Late, ms(p.P50), ms(p.P99), ms(p.BusyP99), ms(p.Behind), p.Dials, p.PeakKB>>10)
	}
	return table.Flush()
}
