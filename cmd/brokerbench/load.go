package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"junctionwharf/internal/config"
	"junctionwharf/internal/load"

	"junctionwharf/scheduler"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load to a running broker and say what came back",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "the broker's configuration `FILE`: its address, classes and plans", Required: true},
			&cli.StringSliceFlag{Name: "address", Usage: "send to `ADDR` instead; may stand several times"},
			&cli.FloatFlag{Name: "rate", Value: 200, Usage: "requests a second"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "length of the run"},
			&cli.StringFlag{Name: "mix", Usage: "shares of classes, such as lesson-read=55,record-write=30"},
			&cli.IntFlag{Name: "volumes", Value: 40},
			&cli.FloatFlag{Name: "skew", Usage: "Zipf's exponent over volumes, above 1; 0: all alike"},
			&cli.IntFlag{Name: "shards", Usage: "draw from so many shards; 0: as many as the settings name"},
			&cli.IntFlag{Name: "units", Value: 4, Usage: "a request's units at the most"},
			&cli.IntFlag{Name: "connections", Value: 256},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "of all draws: the same seed sends the same requests"},
			&cli.StringFlag{Name: "json", Usage: "write the result to `FILE`"},
			&cli.StringFlag{Name: "hdr", Usage: "write latencies of each second to `FILE`, an HdrHistogram log"},
		},
		Action: sendLoad,
	}
}

// mixClasses makes the classes of settings into a mix: all alike, or by shares as in "a=1,b=2".
func mixClasses(classes []scheduler.Class, mix string) ([]load.RequestClass, error) {
	shares := map[string]float64{}
	if mix != "" {
		for part := range strings.SplitSeq(mix, ",") {
			name, text, found := strings.Cut(part, "=")
			share, err := strconv.ParseFloat(text, 64)
			if !found || err != nil || !(share >= 0) {
				return nil, fmt.Errorf("--mix: %q is no class=share", part)
			}
			shares[name] = share
		}
	}
	var kinds []load.RequestClass
	for _, c := range classes {
		k := load.RequestClass{Name: c.Name, Share: 1, Write: c.Idempotency != scheduler.Idempotent, Deadline: c.Deadline}
		if mix != "" {
			k.Share = shares[c.Name]
			delete(shares, c.Name)
		}
		kinds = append(kinds, k)
	}
	for name := range shares {
		return nil, fmt.Errorf("--mix: class %q is not in the settings", name)
	}
	return kinds, nil
}

func sendLoad(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String("config")
	c, err := config.Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return os.Getenv(name)
	})
	if err != nil {
		return err
	}
	kinds, err := mixClasses(c.Settings.Scheduler.Classes, cmd.String("mix"))
	if err != nil {
		return err
	}
	t := load.Traffic{Classes: kinds, Volumes: cmd.Int("volumes"), Skew: cmd.Float("skew"), Shards: cmd.Int("shards"), MaxUnits: cmd.Int("units"),
		Brokers: c.Settings.Scheduler.Brokers, Rate: cmd.Float("rate"), Duration: cmd.Duration("for"), Seed: uint64(cmd.Uint("seed"))}
	for _, p := range c.Settings.Scheduler.Plans {
		t.Plans = append(t.Plans, p.Name)
	}
	if t.Shards == 0 {
		t.Shards = max(1, c.Settings.Shards)
	}
	opt := load.Options{Addresses: cmd.StringSlice("address"), MaxConnections: cmd.Int("connections"), WaitForConnection: true, Progress: progress(t.Duration)}
	if len(opt.Addresses) == 0 {
		opt.Addresses = []string{c.Listen}
	}
	result, err := load.Run(ctx, t, opt)
	clearProgress()
	if err != nil {
		return err
	}
	if err := writeFile(cmd.String("json"), func(w io.Writer) error { return writeJSON(w, result) }); err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	if err := writeFile(cmd.String("hdr"), func(w io.Writer) error { return writeHDR(w, result) }); err != nil {
		return fmt.Errorf("--hdr: %w", err)
	}
	return printResult(os.Stdout, result)
}

// tallies names the tallies of a result.
func tallies(r *load.Result, each func(group, name string, t *load.Stats)) {
	for i, t := range r.ByClass {
		each("class", r.Traffic.Classes[i].Name, t)
	}
	for i, t := range r.ByPlan {
		each("plan", r.Traffic.Plans[i], t)
	}
	each("all", "", r.All)
}

func printResult(w io.Writer, r *load.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "\tsent\tserved\tbusy\tfailed\tlost\tclosed\tp50 ms\tp90\tp99\tp99.9\tmax\t")
	tallies(r, func(group, name string, t *load.Stats) {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t", strings.TrimSpace(group+" "+name), t.Sent(), t.Counts[load.Served], t.Counts[load.Rejected],
			t.Counts[load.Failed], t.Counts[load.Lost], t.Counts[load.Closed])
		for _, p := range []float64{50, 90, 99, 99.9, 100} {
			_, _ = fmt.Fprintf(table, "%.1f\t", float64(t.Latency.ValueAtPercentile(p))/1000)
		}
		_, _ = fmt.Fprintln(table)
	})
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "latency counts from the intended time; sent %v late at the most, over %d connections\n", r.MaxSendLag.Round(time.Microsecond), r.Dials)
	return err
}

type tallyJSON struct {
	Group   string `json:"group"`
	Name    string `json:"name,omitempty"`
	Sent    int    `json:"sent"`
	Served  int    `json:"served"`
	Busy    int    `json:"busy"`
	Failed  int    `json:"failed"`
	Lost    int    `json:"lost"`
	Closed  int    `json:"closed"`
	P50US   int64  `json:"p50_us"`
	P90US   int64  `json:"p90_us"`
	P99US   int64  `json:"p99_us"`
	P999US  int64  `json:"p99_9_us"`
	MaxUS   int64  `json:"max_us"`
	MeanUS  int64  `json:"mean_us"`
	StdevUS int64  `json:"stdev_us"`
}

func writeJSON(w io.Writer, r *load.Result) error {
	out := struct {
		Seed     uint64      `json:"seed"`
		Rate     float64     `json:"rate"`
		LengthS  float64     `json:"length_s"`
		BehindUS int64       `json:"behind_us"`
		Tallies  []tallyJSON `json:"tallies"`
	}{Seed: r.Traffic.Seed, Rate: r.Traffic.Rate, LengthS: r.Traffic.Duration.Seconds(), BehindUS: r.MaxSendLag.Microseconds()}
	tallies(r, func(group, name string, t *load.Stats) {
		h := t.Latency
		out.Tallies = append(out.Tallies, tallyJSON{group, name, t.Sent(), t.Counts[load.Served], t.Counts[load.Rejected], t.Counts[load.Failed],
			t.Counts[load.Lost], t.Counts[load.Closed], h.ValueAtPercentile(50), h.ValueAtPercentile(90), h.ValueAtPercentile(99), h.ValueAtPercentile(99.9),
			h.Max(), int64(h.Mean()), int64(h.StdDev())})
	})
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

// writeHDR writes a log that HdrHistogram's own tools read, an interval a second, in µs.
func writeHDR(w io.Writer, r *load.Result) error {
	log := hdrhistogram.NewHistogramLogWriter(w)
	if err := log.OutputLogFormatVersion(); err != nil {
		return err
	}
	if err := log.OutputComment("[latency in microseconds from the intended time of each request]"); err != nil {
		return err
	}
	start := r.StartedAt.UnixMilli()
	if err := log.OutputStartTime(start); err != nil {
		return err
	}
	log.SetBaseTime(start)
	if err := log.OutputLegend(); err != nil {
		return err
	}
	for i, h := range r.LatencyBySecond {
		h.SetStartTimeMs(start + int64(i)*1000)
		h.SetEndTimeMs(start + int64(i+1)*1000)
		if err := log.OutputIntervalHistogram(h); err != nil {
			return err
		}
	}
	return nil
}
